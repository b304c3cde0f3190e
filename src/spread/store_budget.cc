#include "wagtailslip/spread/store_budget.h"

#include <algorithm>

namespace wagtailslip::spread {
namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(250);

// Up to a quarter more than the pause, so that agents refused together do not return together.
Duration Spread(Duration pause, std::uint64_t jitter) {
  return pause + pause * static_cast<std::int64_t>(jitter % 256) / 1024;
}

}  // namespace

void StoreBudget::OnRefused(Duration retry_after, std::uint64_t jitter, TimePoint now) {
  if (retry_after <= Duration::zero()) {
    OnFailed(jitter, now);
    return;
  }
  open_at_ = std::max(open_at_, now + Spread(retry_after, jitter));
}

void StoreBudget::OnFailed(std::uint64_t jitter, TimePoint now) {
  const Duration pause = std::min(longest_pause_, kFirstPause * (1 << std::min(failures_, 10U)));
  ++failures_;
  open_at_ = std::max(open_at_, now + Spread(pause, jitter));
}

}  // namespace wagtailslip::spread
