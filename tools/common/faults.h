#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/error.h"

namespace wagtailslip::tools {

/// Wrong settings, or a request that a development program refuses.
class ToolError : public Error {
 public:
  using Error::Error;
};

/// Values of the fault switches. Shares lie between 0 (never) and 1 (always).
struct FaultValues {
  double delay_ms = 0;
  double stall = 0;
  double fail = 0;
  double refuse = 0;
  double corrupt = 0;
  double die = 0;
  double die_after = 0;
  double cross = 0;
  double wrong_version = 0;
  double lose_answer = 0;
  double load_fail = 0;
};

/// Name, range and meaning of one fault switch.
struct FaultField {
  std::string_view name;
  double FaultValues::*member;
  double maximum;
  std::string_view help;
};

/// All fault switches.
std::span<const FaultField> FaultFields();

/// Fault switches of one program, with the seeded draws that decide which requests they hit.
class Faults {
 public:
  /// @param supported names of the switches that the program has
  Faults(std::vector<std::string_view> supported, const FaultValues& values, std::uint64_t seed);

  const FaultValues& values() const { return values_; }
  /// Draws whether this request is hit.
  bool Hit(double FaultValues::*share);
  /// Counts a request against `die_after` and ends the process without clean-up when it is due.
  void CountRequest();
  /// Changes the named switches; the others stay. All values are checked before any changes.
  /// @throws ToolError that names the field at fault
  void Update(const nlohmann::json& changes);
  nlohmann::json ToJson() const;

 private:
  const FaultField& Find(std::string_view name) const;

  std::vector<std::string_view> supported_;
  FaultValues values_;
  std::mt19937_64 random_;
};

}  // namespace wagtailslip::tools
