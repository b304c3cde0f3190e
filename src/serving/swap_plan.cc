#include "wagtailslip/serving/swap_plan.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

// The last load command precedes the propagation deadline by this time, so that the engine can
// start the requests that it has accepted before the deadline.
constexpr Duration kLastSwapMargin = std::chrono::milliseconds(1000);

// The command to drop overtaken weights precedes the propagation deadline by this time. Covers a
// poll of the engine, the command, and the delay with which this process learned of the target.
// Requests that the engine has not begun by then are withdrawn anyway.
constexpr Duration kDropMargin = std::chrono::milliseconds(500);
// The same where a load command is about to be sent, from which on nothing begins either.
constexpr Duration kDropMarginIfStaged = std::chrono::milliseconds(250);

}  // namespace

std::size_t SwapRank(const std::string& self, std::vector<std::string> endpoints) {
  std::sort(endpoints.begin(), endpoints.end(), [](const std::string& a, const std::string& b) {
    return std::pair(Hash64(a), a) < std::pair(Hash64(b), b);
  });
  const auto it = std::find(endpoints.begin(), endpoints.end(), self);
  return static_cast<std::size_t>(it - endpoints.begin());
}

TimePoint SwapTime(std::size_t rank, std::size_t count, TimePoint ready, TimePoint latest) {
  // Each endpoint knows only its own `ready`. All receive the weights at about the same time, so
  // the swap times are still spread almost evenly until `latest`.
  if (count <= 1 || latest <= ready) return ready;
  return ready + (latest - ready) * static_cast<int>(rank) / static_cast<int>(count - 1);
}

TimePoint DropTime(TimePoint overtaken_at, Duration bound, bool newer_staged) {
  return overtaken_at + bound - (newer_staged ? kDropMarginIfStaged : kDropMargin);
}

Duration LastSwapMargin() { return kLastSwapMargin; }

bool ShouldFinishSpreading(TimePoint set_at, Duration bound, TimePoint now) {
  return now < set_at + bound - kLastSwapMargin;
}

}  // namespace wagtailslip::serving
