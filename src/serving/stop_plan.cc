#include "wagtailslip/serving/stop_plan.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// The process exits this long before it would be killed. Work still in progress is aborted.
constexpr Duration kExitMargin = std::chrono::milliseconds(400);
// A request accepted later than 3 s after the signal must be answered, however long it takes. The
// remaining 200 ms cover the transit of a request.
constexpr Duration kMaxAcceptPeriod = std::chrono::milliseconds(2800);
// Share of the time until exit in which callers are accepted, if the grace period is short.
constexpr double kAcceptFraction = 0.37;

// Peers request bitmaps every 0.12 s and retry a busy source within 1 s. A source that has not
// been asked for a chunk for this long has none that others lack.
constexpr Duration kSourceIdleTimeout = std::chrono::milliseconds(1200);

}  // namespace

StopPlan MakeStopPlan(Duration grace) {
  StopPlan plan;
  plan.exit_after = std::max(grace - kExitMargin, Duration::zero());
  const auto accept_share = std::chrono::duration_cast<Duration>(plan.exit_after * kAcceptFraction);
  plan.accept_period = std::min(kMaxAcceptPeriod, accept_share);
  return plan;
}

bool SourceMayExit(const StoppingSource& source, TimePoint now) {
  if (now - source.signalled_at >= MakeStopPlan(source.grace).exit_after) return true;
  return !source.busy && now - source.last_upload_at >= kSourceIdleTimeout;
}

}  // namespace wagtailslip::serving
