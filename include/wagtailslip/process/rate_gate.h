#pragma once

#include <algorithm>
#include <cstdint>

#include "wagtailslip/base/time.h"

namespace wagtailslip::process {

/// Paces transfers on one link. Each transfer reserves its bytes and starts after the returned
/// pause. Used by one thread.
class RateGate {
 public:
  /// @param bytes_per_second 0 for no limit
  explicit RateGate(std::uint64_t bytes_per_second) : rate_(bytes_per_second) {}

  /// @return time to wait before the transfer may start, so that it follows the previous one
  Duration ReserveStart(std::uint64_t bytes, TimePoint now) {
    if (rate_ == 0) return Duration::zero();
    const TimePoint start = std::max(free_at_, now);
    free_at_ = start + TimeFor(bytes);
    return start - now;
  }

  /// @return time to wait before the transfer may count as finished at the link's rate
  Duration Reserve(std::uint64_t bytes, TimePoint now) {
    if (rate_ == 0) return Duration::zero();
    free_at_ = std::max(free_at_, now) + TimeFor(bytes);
    return free_at_ - now;
  }

 private:
  Duration TimeFor(std::uint64_t bytes) const {
    return Duration(
        static_cast<std::int64_t>(1e9 * static_cast<double>(bytes) / static_cast<double>(rate_)));
  }

  std::uint64_t rate_;
  TimePoint free_at_{};
};

}  // namespace wagtailslip::process
