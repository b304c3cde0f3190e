#include "wagtailslip/serving/stop_plan.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// What is still in progress then ends with the process, before it is killed.
constexpr Duration kExitMargin = std::chrono::milliseconds(400);
// The users count on the answer to a request that is taken later than 3 s after the signal, however
// long it runs. The rest covers the way of a request.
constexpr Duration kMaxAcceptPeriod = std::chrono::milliseconds(2800);
// Part of a short grace period in which callers are taken.
constexpr double kAcceptFraction = 0.37;

// Neighbours ask for bitmaps every 0.12 s and come back to a busy source within a second, so one
// that nobody has asked for this time holds nothing that others lack.
constexpr Duration kSourceIdleTimeout = std::chrono::milliseconds(1200);

}  // namespace

StopPlan MakeStopPlan(Duration grace) {
  StopPlan plan;
  plan.exit_after = std::max(grace - kExitMargin, Duration::zero());
  const auto part = std::chrono::duration_cast<Duration>(plan.exit_after * kAcceptFraction);
  plan.accept_period = std::min(kMaxAcceptPeriod, part);
  return plan;
}

bool SourceMayExit(const StoppingSource& source, TimePoint now) {
  if (now - source.signalled_at >= MakeStopPlan(source.grace).exit_after) return true;
  return !source.uploading && now - source.last_upload_at >= kSourceIdleTimeout;
}

}  // namespace wagtailslip::serving
