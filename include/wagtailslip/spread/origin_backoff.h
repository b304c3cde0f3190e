#pragma once

#include <cstdint>

#include "wagtailslip/base/time.h"

namespace wagtailslip::spread {

/// Schedules requests to the origin (the weight store): honours its rate limit and backs off
/// exponentially while it fails.
class OriginBackoff {
 public:
  /// @param max_pause maximum backoff after consecutive failures
  /// @param probe_pause constant pause after a timeout or a failed connection; 0 for the backoff.
  /// An
  ///     origin that refuses requests is backed off from in any case.
  explicit OriginBackoff(Duration max_pause = std::chrono::seconds(5),
                         Duration probe_pause = Duration::zero())
      : max_pause_(max_pause), probe_pause_(probe_pause) {}

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

  void OnSuccess() {
    failures_ = 0;
    unreachable_ = false;
  }

  /// Returns whether the last request timed out or could not be sent.
  bool unreachable() const { return unreachable_; }

 private:
  void Pause(Duration pause, std::uint64_t jitter, TimePoint now);
  Duration Backoff();

  Duration max_pause_;
  Duration probe_pause_;
  TimePoint retry_at_{};
  std::uint32_t failures_ = 0;
  bool unreachable_ = false;
};

}  // namespace wagtailslip::spread
