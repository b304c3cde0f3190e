#include "wagtailslip/serving/swap_plan.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {

std::size_t SwapRank(const std::string& self, std::vector<std::string> endpoints) {
  std::sort(endpoints.begin(), endpoints.end(), [](const std::string& a, const std::string& b) {
    return std::pair(Hash64(a), a) < std::pair(Hash64(b), b);
  });
  const auto it = std::find(endpoints.begin(), endpoints.end(), self);
  return static_cast<std::size_t>(it - endpoints.begin());
}

Duration SwapOffset(std::size_t rank, std::size_t count, const SwapSettings& settings) {
  const std::size_t groups = std::clamp<std::size_t>(count, 1, settings.groups);
  const std::size_t group = rank % groups;
  if (groups == 1) return settings.spread;
  return settings.spread + (settings.window - settings.spread) * static_cast<int>(group) /
                               static_cast<int>(groups - 1);
}

}  // namespace wagtailslip::serving
