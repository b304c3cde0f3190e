#include "wagtailslip/spread/origin_backoff.h"

#include <algorithm>

namespace wagtailslip::spread {
namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(250);

// Up to a quarter more than the pause, so that agents refused together do not return together.
Duration Spread(Duration pause, std::uint64_t jitter) {
  return pause + pause * static_cast<std::int64_t>(jitter % 256) / 1024;
}

}  // namespace

void OriginBackoff::OnRefused(Duration retry_after, std::uint64_t jitter, TimePoint now) {
  if (retry_after <= Duration::zero()) {
    OnFailed(jitter, now);
    return;
  }
  retry_at_ = std::max(retry_at_, now + Spread(retry_after, jitter));
}

void OriginBackoff::OnFailed(std::uint64_t jitter, TimePoint now) {
  const Duration pause = std::min(max_pause_, kFirstPause * (1 << std::min(failures_, 10U)));
  ++failures_;
  retry_at_ = std::max(retry_at_, now + Spread(pause, jitter));
}

}  // namespace wagtailslip::spread
