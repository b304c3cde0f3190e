#pragma once

#include <cstdint>
#include <deque>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/retry_permits.h"

namespace wagtailslip::serving {

/// Requests and retries of one service over all ingress processes, by interval, and how many
/// further retries the limits leave in every window.
///
/// A window allows ratio x requests + extra retries. Its requests are counted in the window itself,
/// in the one before it, or in the one half a window before it, whichever has most.
class RetryLedger {
 public:
  explicit RetryLedger(RetryLimits limits) : limits_(limits) {}

  /// Counts requests of callers.
  /// @param at the earliest time at which they may have been sent; they were sent less than two
  ///     intervals after it
  void AddRequests(std::uint32_t count, TimePoint at, TimePoint now);
  /// Counts retries that were sent before `now`.
  void AddRetries(std::uint64_t count, TimePoint now);
  /// Retries that may be sent from now on, within `lifetime`, without passing `share` of the limit
  /// in any window. Negative if the share was lowered.
  double Available(double share, Duration lifetime, TimePoint now);
  /// Retries that the limits allow in a window at the current rate of requests.
  double Allowed(TimePoint now);

 private:
  struct Interval {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  /// Adds the interval of `now`, and removes those that no window reaches any more.
  void Advance(TimePoint now);
  std::int64_t IntervalsPerWindow() const { return limits_.window / kRetryInterval; }
  /// Requests dated in the intervals from `first` to `last`, both included.
  double Requests(std::int64_t first, std::int64_t last) const;
  /// Most requests that surely count for every window that begins in the interval.
  double RequestsOfWindow(std::int64_t begin) const;

  RetryLimits limits_;
  /// Consecutive intervals; the last one is the current one.
  std::deque<Interval> intervals_;
  /// Number of the current interval.
  std::int64_t current_ = 0;
};

}  // namespace wagtailslip::serving
