#include "wagtailslip/serving/caller_timeout_tracker.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Longer than any pause between a refusal and the return, so that first attempts are seen as well.
constexpr Duration kWindow = std::chrono::seconds(10);
// What belongs to removed routes is forgotten with all the rest, which the next requests teach
// again.
constexpr std::size_t kMaxGroups = 20000;

}  // namespace

Duration CallerTimeoutTracker::Record(const std::string& group, Duration time_left, TimePoint now) {
  if (groups_.size() >= kMaxGroups) groups_.clear();
  WindowMax& maximum = groups_[group];
  if (now - maximum.window_start >= kWindow) {
    maximum.previous =
        now - maximum.window_start >= 2 * kWindow ? Duration::zero() : maximum.current;
    maximum.current = Duration::zero();
    maximum.window_start = now;
  }
  maximum.current = std::max(maximum.current, time_left);
  return std::max(maximum.current, maximum.previous);
}

}  // namespace wagtailslip::serving
