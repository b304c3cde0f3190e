#include "wagtailslip/traffic/route_strategy.h"

#include <algorithm>
#include <limits>

namespace wagtailslip::traffic {
namespace {

constexpr std::uint32_t kHolderChoices = 2;
constexpr std::uint32_t kRandomChoices = 2;

}  // namespace

std::uint32_t RoundRobin::Pick(std::span<const std::uint32_t> candidates,
                               std::span<const std::uint64_t>, RouteView& view) {
  if (!begun_) turn_ = view.Random(candidates.size());
  begun_ = true;
  return candidates[turn_++ % candidates.size()];
}

std::uint32_t LeastOutstanding::Pick(std::span<const std::uint32_t> candidates,
                                     std::span<const std::uint64_t>, RouteView& view) {
  std::uint32_t best = candidates[0];
  double least = std::numeric_limits<double>::infinity();
  std::uint64_t ties = 0;
  for (const std::uint32_t index : candidates) {
    const double load = view.Load(index) + view.Distance(index);
    if (load < least) {
      least = load;
      best = index;
      ties = 1;
    } else if (load == least && view.Random(++ties) == 0) {
      best = index;
    }
  }
  return best;
}

std::uint32_t PrefixAwareTwoChoices::Pick(std::span<const std::uint32_t> candidates,
                                          std::span<const std::uint64_t> prefix, RouteView& view) {
  const double blocks = static_cast<double>(
      std::max<std::size_t>(1, std::min(prefix.size(), PrefixHints::kBlocksPerPrompt)));
  std::uint32_t best = RouteView::kNowhere;
  double least = std::numeric_limits<double>::infinity();
  const auto consider = [&](std::uint32_t index) {
    const double cached = static_cast<double>(view.CachedBlocks(index)) / blocks;
    const double cost = view.Load(index) + view.Distance(index) + prefix_worth_ * (1 - cached);
    if (cost < least) {
      least = cost;
      best = index;
    }
  };
  std::uint32_t holders = 0;
  for (const auto& match : view.matches()) {
    const std::uint32_t index = view.IndexOf(match.endpoint);
    if (index == RouteView::kNowhere) continue;
    if (!std::binary_search(candidates.begin(), candidates.end(), index)) continue;
    consider(index);
    if (++holders == kHolderChoices) break;
  }
  for (std::uint32_t i = 0; i < kRandomChoices; ++i) {
    consider(candidates[view.Random(candidates.size())]);
  }
  return best;
}

}  // namespace wagtailslip::traffic
