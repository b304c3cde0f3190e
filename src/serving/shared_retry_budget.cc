#include "wagtailslip/serving/shared_retry_budget.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

constexpr Duration kIntervalLength = std::chrono::milliseconds(500);
// Fraction of the limit that is used. The rest covers retries that a stopped process of the same
// machine sent in the same window, and processes that do not know of each other yet.
constexpr double kUsableFraction = 0.75;

std::int64_t IntervalNumber(TimePoint now) { return now.time_since_epoch() / kIntervalLength; }

}  // namespace

SharedRetryBudget::Interval& SharedRetryBudget::CurrentInterval(const std::string& service,
                                                                TimePoint now) {
  auto& intervals = intervals_[service];
  const std::int64_t number = IntervalNumber(now);
  // One interval more than the window, because the oldest is only partly inside.
  const std::int64_t oldest = number - limits_.window / kIntervalLength - 1;
  while (!intervals.empty() && intervals.front().number < oldest) intervals.pop_front();
  if (intervals.empty() || intervals.back().number < number) intervals.push_back({number, 0, 0});
  return intervals.back();
}

void SharedRetryBudget::OnRequest(const std::string& service, TimePoint now) {
  ++CurrentInterval(service, now).requests;
}

SharedRetryBudget::Status SharedRetryBudget::StatusOf(const std::string& service,
                                                      std::size_t processes, TimePoint now) {
  CurrentInterval(service, now);
  double requests = 0;
  Status status;
  for (const auto& it : intervals_[service]) {
    requests += it.requests;
    status.used += it.retries;
  }
  const double part = limits_.extra / static_cast<double>(std::max<std::size_t>(processes, 1));
  status.allowed = kUsableFraction * (limits_.ratio * requests + part);
  return status;
}

bool SharedRetryBudget::CanTake(const std::string& service, std::size_t processes, TimePoint now) {
  const Status status = StatusOf(service, processes, now);
  return status.used + 1 <= status.allowed;
}

bool SharedRetryBudget::Take(const std::string& service, std::size_t processes, TimePoint now) {
  if (!CanTake(service, processes, now)) return false;
  ++CurrentInterval(service, now).retries;
  return true;
}

}  // namespace wagtailslip::serving
