#include "wagtailslip/serving/shared_retry_budget.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

constexpr Duration kSlice = std::chrono::milliseconds(500);
// Fraction of the limit that is used. The rest covers retries that a stopped process of the same
// machine sent in the same window, and processes that do not know of each other yet.
constexpr double kUsableFraction = 0.75;

std::int64_t SliceOf(TimePoint now) { return now.time_since_epoch() / kSlice; }

}  // namespace

SharedRetryBudget::Slice& SharedRetryBudget::Current(const std::string& service, TimePoint now) {
  auto& slices = slices_[service];
  const std::int64_t number = SliceOf(now);
  // One slice more than the window, because the oldest is only partly inside.
  const std::int64_t oldest = number - limits_.window / kSlice - 1;
  while (!slices.empty() && slices.front().number < oldest) slices.pop_front();
  if (slices.empty() || slices.back().number < number) slices.push_back({number, 0, 0});
  return slices.back();
}

void SharedRetryBudget::OnRequest(const std::string& service, TimePoint now) {
  ++Current(service, now).requests;
}

bool SharedRetryBudget::CanTake(const std::string& service, std::size_t processes, TimePoint now) {
  Current(service, now);
  double requests = 0;
  double retries = 0;
  for (const auto& it : slices_[service]) {
    requests += it.requests;
    retries += it.retries;
  }
  const double part = limits_.extra / static_cast<double>(std::max<std::size_t>(processes, 1));
  return retries + 1 <= kUsableFraction * (limits_.ratio * requests + part);
}

bool SharedRetryBudget::Take(const std::string& service, std::size_t processes, TimePoint now) {
  if (!CanTake(service, processes, now)) return false;
  ++Current(service, now).retries;
  return true;
}

}  // namespace wagtailslip::serving
