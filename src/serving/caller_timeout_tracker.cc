#include "wagtailslip/serving/caller_timeout_tracker.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Longer than any delay between a refusal and the retry, so that a window also contains first
// attempts.
constexpr Duration kWindow = std::chrono::seconds(10);
// At this size all groups are cleared, which also drops those of removed routes. The next requests
// fill in the others again.
constexpr std::size_t kMaxGroups = 20000;

}  // namespace

Duration CallerTimeoutTracker::Record(const std::string& group, Duration timeout, TimePoint now) {
  if (groups_.size() >= kMaxGroups) groups_.clear();
  WindowMax& maximum = groups_[group];
  if (now - maximum.window_start >= kWindow) {
    maximum.previous =
        now - maximum.window_start >= 2 * kWindow ? Duration::zero() : maximum.current;
    maximum.current = Duration::zero();
    maximum.window_start = now;
  }
  maximum.current = std::max(maximum.current, timeout);
  return std::max(maximum.current, maximum.previous);
}

}  // namespace wagtailslip::serving
