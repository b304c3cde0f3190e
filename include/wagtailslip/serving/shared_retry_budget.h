#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Limits on the retries that all ingress processes together may send to a service.
struct RetryLimits {
  /// Retries allowed per request of callers.
  double ratio = 0;
  /// Retries allowed in addition to the ratio, over all processes.
  double extra = 0;
  /// Length of the sliding window in which requests and retries are counted.
  Duration window = std::chrono::seconds(10);
};

/// This process's part of the retry budget: the ratio of its own requests plus an equal part of the
/// extra retries. The processes need not communicate, because the parts do not add up to more than
/// the whole as long as each process knows of all others.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryLimits limits) : limits_(limits) {}

  /// Counts a caller's request to a service.
  void OnRequest(const std::string& service, TimePoint now);
  /// Retries of the window, and how many are allowed in it.
  struct Status {
    double used = 0;
    double allowed = 0;
  };
  Status StatusOf(const std::string& service, std::size_t processes, TimePoint now);
  /// Whether Take would grant a retry.
  bool CanTake(const std::string& service, std::size_t processes, TimePoint now);
  /// Takes one retry from the budget.
  /// @param processes ingress processes that share the budget
  /// @return false if the budget of the window is used up; the retry must not be sent then
  bool Take(const std::string& service, std::size_t processes, TimePoint now);

 private:
  /// Counts of one interval. The intervals have a fixed length and are numbered; the window
  /// consists of the most recent ones.
  struct Interval {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  /// Removes the intervals of the service that have left the window, and returns the interval of
  /// `now`, which is added if it is new.
  Interval& CurrentInterval(const std::string& service, TimePoint now);

  RetryLimits limits_;
  std::map<std::string, std::deque<Interval>> intervals_;
};

}  // namespace wagtailslip::serving
