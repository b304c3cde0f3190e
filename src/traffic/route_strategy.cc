#include "wagtailslip/traffic/route_strategy.h"

#include <algorithm>
#include <limits>

namespace wagtailslip::traffic {
namespace {

constexpr std::uint32_t kHolderChoices = 2;
constexpr std::uint32_t kRandomChoices = 2;
/// Extra cost of a request that has to wait inside the engine, per unit of load above full.
constexpr double kWaitingCost = 4;
/// Further endpoints that are looked at where the first ones are all full. Not all of them: many
/// processes would find the same least loaded one in the same report.
constexpr std::size_t kFurtherChoices = 6;

double CostOfLoad(double load) { return load + kWaitingCost * std::max(0.0, load - 1); }

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
  double least_load = least;
  const auto consider = [&](std::uint32_t index) {
    const double cached = static_cast<double>(view.CachedBlocks(index)) / blocks;
    const double load = view.Load(index);
    const double cost = CostOfLoad(load) + view.Distance(index) + prefix_worth_ * (1 - cached);
    least_load = std::min(least_load, load);
    if (cost < least) {
      least = cost;
      best = index;
    }
  };
  // Holders are tried from a random one on: all processes know them in the same order.
  const auto matches = view.matches();
  const std::uint64_t first = matches.empty() ? 0 : view.Random(matches.size());
  std::uint32_t holders = 0;
  for (std::size_t i = 0; i < matches.size() && holders < kHolderChoices; ++i) {
    const auto& match = matches[(first + i) % matches.size()];
    const std::uint32_t index = view.IndexOf(match.endpoint);
    if (index == RouteView::kNowhere) continue;
    if (!std::binary_search(candidates.begin(), candidates.end(), index)) continue;
    if (!view.HasRoom(index)) continue;
    consider(index);
    ++holders;
  }
  for (std::uint32_t i = 0; i < kRandomChoices; ++i) {
    consider(candidates[view.Random(candidates.size())]);
  }
  // In a pool that is nearly full, two random choices rarely meet the endpoint with a free slot.
  if (least_load > 1) {
    const std::uint64_t begin = view.Random(candidates.size());
    for (std::size_t i = 0; i < std::min<std::size_t>(candidates.size(), kFurtherChoices); ++i) {
      consider(candidates[(begin + i) % candidates.size()]);
    }
  }
  return best;
}

}  // namespace wagtailslip::traffic
