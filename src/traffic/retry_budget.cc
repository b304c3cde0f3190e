#include "wagtailslip/traffic/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::traffic {

void RetryBudget::Decay(TimePoint now) {
  const double seconds = ToSeconds(now - updated_);
  if (seconds <= 0) return;
  balance_ *= std::exp(-seconds / ToSeconds(kMemory));
  reserve_ = std::min(kReserve, reserve_ + kReserveRate * seconds);
  updated_ = now;
}

void RetryBudget::OnRequest(bool outer_retry, TimePoint now) {
  Decay(now);
  ++counters_.requests;
  if (!outer_retry) balance_ += kShare;
}

bool RetryBudget::Take(TimePoint now) {
  Decay(now);
  for (double* source : {&balance_, &reserve_}) {
    if (*source < 1) continue;
    *source -= 1;
    ++counters_.granted;
    return true;
  }
  ++counters_.denied;
  return false;
}

}  // namespace wagtailslip::traffic
