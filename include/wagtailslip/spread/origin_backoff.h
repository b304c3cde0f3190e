#pragma once

#include <cstdint>

#include "wagtailslip/base/time.h"

namespace wagtailslip::spread {

/// Honours the rate limit of the weight store and backs off while it fails.
class OriginBackoff {
 public:
  /// @param max_pause longest pause after failures in a row
  explicit OriginBackoff(Duration max_pause = std::chrono::seconds(5)) : max_pause_(max_pause) {}

  /// True if a request may be sent.
  bool MayRequest(TimePoint now) const { return now >= retry_at_; }

  /// Earliest time of the next request.
  TimePoint retry_at() const { return retry_at_; }

  /// Handles a 429 or 503.
  /// @param retry_after time that the store named, 0 if none
  /// @param jitter random value that spreads the agents' retries
  void OnRefused(Duration retry_after, std::uint64_t jitter, TimePoint now);

  /// Handles a timeout or a failed connection.
  void OnFailed(std::uint64_t jitter, TimePoint now);

  void OnSuccess() { failures_ = 0; }

 private:
  Duration max_pause_;
  TimePoint retry_at_{};
  std::uint32_t failures_ = 0;
};

}  // namespace wagtailslip::spread
