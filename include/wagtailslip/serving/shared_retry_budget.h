#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Bounds of the repeats that all ingress processes together may send to a service.
struct RetryLimits {
  /// Repeats for each request of callers.
  double ratio = 0;
  /// Repeats beyond the ratio, over all processes.
  double extra = 0;
  /// Length of the window that both are counted in.
  Duration window = std::chrono::seconds(10);
};

/// This process's part of the repeats: its own requests times the ratio, and an equal part of the
/// extra. Processes need not talk to each other, because the parts add up to no more than the
/// whole while each knows of all others.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryLimits bounds) : bounds_(bounds) {}

  /// Counts a request of a caller to a service.
  void OnRequest(const std::string& service, TimePoint now);
  /// Whether Take would grant a repeat.
  bool CanTake(const std::string& service, std::size_t processes, TimePoint now);
  /// Takes one repeat.
  /// @param processes ingress processes that share the budget
  /// @return false if the window has no room; nothing may be sent then
  bool Take(const std::string& service, std::size_t processes, TimePoint now);

 private:
  struct Slice {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  Slice& Current(const std::string& service, TimePoint now);

  RetryLimits bounds_;
  std::map<std::string, std::deque<Slice>> slices_;
};

}  // namespace wagtailslip::serving
