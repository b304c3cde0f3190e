#include "wagtailslip/serving/swap_plan.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

// The last order precedes the bound of the weights by this time, in which the engine begins what it
// has accepted.
constexpr Duration kLastSwapMargin = std::chrono::milliseconds(1000);

}  // namespace

std::size_t SwapRank(const std::string& self, std::vector<std::string> endpoints) {
  std::sort(endpoints.begin(), endpoints.end(), [](const std::string& a, const std::string& b) {
    return std::pair(Hash64(a), a) < std::pair(Hash64(b), b);
  });
  const auto it = std::find(endpoints.begin(), endpoints.end(), self);
  return static_cast<std::size_t>(it - endpoints.begin());
}

TimePoint SwapTime(std::size_t rank, std::size_t count, TimePoint ready, TimePoint latest) {
  // Endpoints hold the weights at about the same time, so each takes its own for that of all.
  if (count <= 1 || latest <= ready) return ready;
  return ready + (latest - ready) * static_cast<int>(rank) / static_cast<int>(count - 1);
}

Duration LastSwapMargin() { return kLastSwapMargin; }

bool ShouldFinishSpreading(TimePoint set_at, Duration bound, TimePoint now) {
  return now < set_at + bound - kLastSwapMargin;
}

}  // namespace wagtailslip::serving
