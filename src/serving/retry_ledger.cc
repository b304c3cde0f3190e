#include "wagtailslip/serving/retry_ledger.h"

#include <algorithm>
#include <limits>

namespace wagtailslip::serving {
namespace {

std::int64_t IntervalNumber(TimePoint at) { return at.time_since_epoch() / kRetryInterval; }

}  // namespace

void RetryLedger::Advance(TimePoint now) {
  const std::int64_t number = std::max(IntervalNumber(now), current_);
  // A window that begins in the oldest interval in question reaches back by another window.
  const auto kept = static_cast<std::size_t>(2 * IntervalsPerWindow() + 2);
  if (intervals_.empty() || number - current_ > static_cast<std::int64_t>(kept)) {
    intervals_.assign(kept, {});
    current_ = number;
  }
  for (; current_ < number; ++current_) intervals_.emplace_back();
  while (intervals_.size() > kept) intervals_.pop_front();
}

void RetryLedger::AddRequests(std::uint32_t count, TimePoint at, TimePoint now) {
  Advance(now);
  const std::int64_t age = current_ - std::min(IntervalNumber(at), current_);
  if (age >= static_cast<std::int64_t>(intervals_.size())) return;
  intervals_[intervals_.size() - 1 - static_cast<std::size_t>(age)].requests += count;
}

void RetryLedger::AddRetries(std::uint64_t count, TimePoint now) {
  Advance(now);
  intervals_.back().retries += count;
}

double RetryLedger::Requests(std::int64_t first, std::int64_t last) const {
  const std::int64_t oldest = current_ + 1 - static_cast<std::int64_t>(intervals_.size());
  std::uint64_t sum = 0;
  for (std::int64_t i = std::max(first, oldest); i <= std::min(last, current_); ++i) {
    sum += intervals_[static_cast<std::size_t>(i - oldest)].requests;
  }
  return static_cast<double>(sum);
}

double RetryLedger::RequestsOfWindow(std::int64_t begin) const {
  // A request that is dated in interval i was sent in i, i + 1 or i + 2. Only those intervals are
  // counted whose requests are in the window wherever it begins in `begin`.
  const std::int64_t length = IntervalsPerWindow();
  return std::max({Requests(begin + 1, current_), Requests(begin - length + 1, begin - 3),
                   Requests(begin - length / 2 + 1, begin + length / 2 - 3)});
}

double RetryLedger::Available(double share, Duration lifetime, TimePoint now) {
  Advance(now);
  const std::int64_t first = current_ - IntervalsPerWindow();
  // Retries that are sent later also count in windows that have not begun.
  const std::int64_t last = current_ + lifetime / kRetryInterval + 1;
  double available = std::numeric_limits<double>::infinity();
  double retries = 0;
  for (std::int64_t begin = last; begin >= first; --begin) {
    if (begin <= current_) {
      const auto age = static_cast<std::size_t>(current_ - begin);
      retries += static_cast<double>(intervals_[intervals_.size() - 1 - age].retries);
    }
    const double allowed = limits_.ratio * RequestsOfWindow(begin) + limits_.extra;
    available = std::min(available, share * allowed - retries);
  }
  return available;
}

double RetryLedger::Allowed(TimePoint now) {
  Advance(now);
  return limits_.ratio * RequestsOfWindow(current_) + limits_.extra;
}

}  // namespace wagtailslip::serving
