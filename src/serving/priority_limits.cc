#include "wagtailslip/serving/priority_limits.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::serving {
namespace {

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ToSeconds(duration) * factor));
}

// Callers honour a Retry-After up to this part of their remaining time.
constexpr int kHonouredDivisor = 3;

}  // namespace

void PriorityLimits::SetRanks(std::size_t count) {
  if (count != ranks_.size()) ranks_.assign(count, Rank{});
}

PriorityLimits::Rank& PriorityLimits::At(std::uint32_t rank) {
  return ranks_[std::min<std::size_t>(rank, ranks_.size() - 1)];
}

const PriorityLimits::Rank& PriorityLimits::At(std::uint32_t rank) const {
  return ranks_[std::min<std::size_t>(rank, ranks_.size() - 1)];
}

void PriorityLimits::Decay(Rank& rank, TimePoint now) const {
  const double factor =
      std::exp(-ToSeconds(now - rank.counted_at) / ToSeconds(settings_.pressure_window));
  rank.placed *= factor;
  rank.refused *= factor;
  rank.counted_at = now;
}

void PriorityLimits::OnArrival(std::uint32_t rank, bool returned, TimePoint) {
  if (!active() || returned) return;
  Rank& state = At(rank);
  state.floor_credit = std::min(state.floor_credit + settings_.floor, settings_.max_floor_credit);
}

void PriorityLimits::OnWaiting(std::uint32_t rank, TimePoint now) {
  if (active()) At(rank).pressure_at = now;
}

void PriorityLimits::OnPlaced(std::uint32_t rank, double utilization, TimePoint now) {
  if (!active()) return;
  Rank& state = At(rank);
  if (utilization >= settings_.pressure_utilization) state.pressure_at = now;
  ++state.counters.placed;
  if (BelowFloor(rank) && UnderPressure(rank, now)) {
    ++state.counters.placed_by_floor;
  }
  state.floor_credit = std::max(state.floor_credit - 1, 0.0);
  Decay(state, now);
  ++state.placed;
}

void PriorityLimits::OnRefused(std::uint32_t rank, TimePoint now) {
  if (!active()) return;
  Rank& state = At(rank);
  state.pressure_at = now;
  ++state.counters.refused;
  Decay(state, now);
  ++state.refused;
}

bool PriorityLimits::UnderPressure(std::uint32_t rank, TimePoint now) const {
  const auto end = ranks_.begin() + std::min<std::ptrdiff_t>(rank, std::ssize(ranks_));
  return std::any_of(ranks_.begin(), end, [&](const Rank& it) {
    return it.pressure_at && now - *it.pressure_at <= settings_.pressure_window;
  });
}

bool PriorityLimits::BelowFloor(std::uint32_t rank) const {
  return active() && rank > 0 && At(rank).floor_credit >= 1;
}

UtilizationLimits PriorityLimits::Limits(std::uint32_t rank, bool returned, bool last_try,
                                         TimePoint now) const {
  UtilizationLimits limits;
  limits.outside_subset = settings_.max_utilization_outside_subset;
  if (rank == 0) {
    limits.outside_subset = settings_.max_urgent_utilization_outside_subset;
    if (last_try) limits.engine = settings_.max_urgent_utilization;
  } else if (UnderPressure(rank, now) && !BelowFloor(rank)) {
    const double position = static_cast<double>(rank) / static_cast<double>(ranks_.size() - 1);
    limits.subset = 1 - settings_.reserved_utilization * position;
  }
  if (returned) {
    limits.subset -= settings_.reserved_for_new;
    limits.outside_subset = settings_.max_utilization_outside_subset;
  }
  return limits;
}

Duration PriorityLimits::RetryAfter(std::uint32_t rank, Duration time_left,
                                    std::minstd_rand& random, TimePoint now) const {
  const Duration latest = std::clamp(time_left / kHonouredDivisor, settings_.min_retry_after,
                                     settings_.max_retry_after);
  // The share of the requests of this and more urgent ranks that is refused says how long the load
  // has to fall before the caller is served.
  double placed = 0;
  double refused = 0;
  for (std::size_t i = 0; i <= std::min<std::size_t>(rank, ranks_.size() - 1); ++i) {
    Rank it = ranks_[i];
    Decay(it, now);
    placed += it.placed;
    refused += it.refused;
  }
  const double pressure = refused / std::max(placed + refused, 1.0);
  const double position = (static_cast<double>(rank) + 1) /
                          static_cast<double>(std::max<std::size_t>(ranks_.size(), 1));
  const double longest = position * (1 + pressure) / 2;
  const double earliest = rank == 0 ? 0 : longest / 2;
  std::uniform_real_distribution<double> share(earliest, longest);
  return settings_.min_retry_after + Scaled(latest - settings_.min_retry_after, share(random));
}

std::vector<PriorityLimits::RankCounters> PriorityLimits::counters() const {
  std::vector<RankCounters> counters;
  for (const auto& it : ranks_) counters.push_back(it.counters);
  return counters;
}

}  // namespace wagtailslip::serving
