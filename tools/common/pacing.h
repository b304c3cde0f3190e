#pragma once

#include <cstdint>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"

namespace wagtailslip::tools {

/// Reads the monotonic clock.
TimePoint Now();

/// Waits; returns early only when the context stops.
net::Task<void> Sleep(Duration duration);
net::Task<void> SleepUntil(TimePoint when);

/// Token bucket. Reservations are granted in the order of the calls.
class TokenBucket {
 public:
  /// @param per_second rate of refill; 0 means no limit
  /// @param burst capacity in tokens
  TokenBucket(double per_second, double burst);

  /// Takes n tokens, going into debt if need be.
  /// @return the time to wait before the tokens may be used
  Duration Reserve(double n, TimePoint now);
  /// Takes n tokens if they are there.
  /// @return zero if taken, else the time until they will be there
  Duration TryTake(double n, TimePoint now);
  bool limited() const { return per_second_ > 0; }

 private:
  void Refill(TimePoint now);
  Duration TimeFor(double n) const;

  double per_second_;
  double burst_;
  double tokens_;
  TimePoint last_{};
};

}  // namespace wagtailslip::tools
