#include "wagtailslip/spread/origin_backoff.h"

#include <algorithm>

namespace wagtailslip::spread {
namespace {

constexpr Duration kInitialPause = std::chrono::milliseconds(250);

// Adds up to a quarter of the pause, so that agents that were refused at the same time do not retry
// at the same time.
Duration AddJitter(Duration pause, std::uint64_t jitter) {
  return pause + pause * static_cast<std::int64_t>(jitter % 256) / 1024;
}

}  // namespace

void OriginBackoff::OnRefused(Duration retry_after, std::uint64_t jitter, TimePoint now) {
  unreachable_ = false;
  Pause(retry_after <= Duration::zero() ? Backoff() : retry_after, jitter, now);
}

void OriginBackoff::OnFailed(std::uint64_t jitter, TimePoint now) {
  unreachable_ = true;
  Pause(probe_pause_ > Duration::zero() ? probe_pause_ : Backoff(), jitter, now);
}

Duration OriginBackoff::Backoff() {
  const Duration pause = std::min(max_pause_, kInitialPause * (1 << std::min(failures_, 10U)));
  ++failures_;
  return pause;
}

void OriginBackoff::Pause(Duration pause, std::uint64_t jitter, TimePoint now) {
  retry_at_ = std::max(retry_at_, now + AddJitter(pause, jitter));
}

}  // namespace wagtailslip::spread
