#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "wagtailslip/base/time.h"

namespace wagtailslip::process {

/// Bounds the log lines of each event, so that a storm of one event neither fills the log nor costs
/// the time that requests need. Lines that are left out are counted.
class LogVolume {
 public:
  /// @param rate lines per second of one event
  /// @param burst lines that may come at once
  LogVolume(double rate, double burst) : rate_(rate), burst_(burst) {}

  /// Whether a line may be written now.
  /// @return lines of the event left out since the last one; nothing if this one is left out too
  std::optional<std::uint64_t> Admit(int event, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint updated{};
    std::uint64_t left_out = 0;
  };

  double rate_;
  double burst_;
  std::map<int, Bucket> buckets_;
};

}  // namespace wagtailslip::process
