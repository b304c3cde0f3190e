#pragma once

#include <cstdint>

#include "wagtailslip/base/time.h"

namespace wagtailslip::spread {

/// Honours the rate limit of the weight store and backs off while it fails.
class StoreBudget {
 public:
  /// @param longest_pause longest pause after failures in a row
  explicit StoreBudget(Duration longest_pause = std::chrono::seconds(5))
      : longest_pause_(longest_pause) {}

  /// True if a request may be sent.
  bool MayAsk(TimePoint now) const { return now >= open_at_; }

  /// Earliest time of the next request.
  TimePoint open_at() const { return open_at_; }

  /// Handles a 429 or 503.
  /// @param retry_after time that the store named, 0 if none
  /// @param jitter random value that spreads the agents' retries
  void OnRefused(Duration retry_after, std::uint64_t jitter, TimePoint now);

  /// Handles a timeout or a failed connection.
  void OnFailed(std::uint64_t jitter, TimePoint now);

  void OnServed() { failures_ = 0; }

 private:
  Duration longest_pause_;
  TimePoint open_at_{};
  std::uint32_t failures_ = 0;
};

}  // namespace wagtailslip::spread
