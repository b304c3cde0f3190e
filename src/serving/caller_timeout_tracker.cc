#include "wagtailslip/serving/caller_timeout_tracker.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Longer than any pause between a refusal and the return, so that first attempts are seen as well.
constexpr Duration kWindow = std::chrono::seconds(10);
// What belongs to removed routes is forgotten with all the rest, which the next requests teach
// again.
constexpr std::size_t kMostGroups = 20000;

}  // namespace

Duration CallerTimeoutTracker::Note(const std::string& group, Duration time_left, TimePoint now) {
  if (groups_.size() >= kMostGroups) groups_.clear();
  Longest& longest = groups_[group];
  if (now - longest.since >= kWindow) {
    longest.previous = now - longest.since >= 2 * kWindow ? Duration::zero() : longest.current;
    longest.current = Duration::zero();
    longest.since = now;
  }
  longest.current = std::max(longest.current, time_left);
  return std::max(longest.current, longest.previous);
}

}  // namespace wagtailslip::serving
