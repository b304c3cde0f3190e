#include "common/pacing.h"

#include <algorithm>

namespace wagtailslip::tools {

TimePoint Now() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

net::Task<void> Sleep(Duration duration) {
  if (duration <= Duration::zero()) co_return;
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor, duration);
  net::error_code ec;
  co_await timer.async_wait(net::asio::redirect_error(net::asio::use_awaitable, ec));
}

net::Task<void> SleepUntil(TimePoint when) { co_await Sleep(when - Now()); }

TokenBucket::TokenBucket(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst) {}

void TokenBucket::Refill(TimePoint now) {
  if (last_ != TimePoint{}) {
    tokens_ = std::min(burst_, tokens_ + ToSeconds(now - last_) * per_second_);
  }
  last_ = now;
}

Duration TokenBucket::TimeFor(double n) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n / per_second_));
}

Duration TokenBucket::Reserve(double n, TimePoint now) {
  if (!limited()) return Duration::zero();
  Refill(now);
  tokens_ -= n;
  return tokens_ >= 0 ? Duration::zero() : TimeFor(-tokens_);
}

Duration TokenBucket::TryTake(double n, TimePoint now) {
  if (!limited()) return Duration::zero();
  Refill(now);
  if (tokens_ < n) return std::max(TimeFor(n - tokens_), Duration(1));
  tokens_ -= n;
  return Duration::zero();
}

}  // namespace wagtailslip::tools
