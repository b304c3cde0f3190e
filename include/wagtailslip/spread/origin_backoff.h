#pragma once

#include <cstdint>

#include "wagtailslip/base/time.h"

namespace wagtailslip::spread {

/// Schedules requests to the origin (the weight store): honours its rate limit and backs off
/// exponentially while it fails.
class OriginBackoff {
 public:
  /// @param max_pause maximum backoff after consecutive failures
  explicit OriginBackoff(Duration max_pause = std::chrono::seconds(5)) : max_pause_(max_pause) {}

  /// Returns true if a request may be sent now.
  bool MayRequest(TimePoint now) const { return now >= retry_at_; }

  /// Earliest time of the next request.
  TimePoint retry_at() const { return retry_at_; }

  /// Handles a 429 or 503 response.
  /// @param retry_after value of the Retry-After header, 0 if absent
  /// @param jitter random value that spreads the retries of several agents
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
