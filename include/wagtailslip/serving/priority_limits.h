#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/placement.h"

namespace wagtailslip::serving {

struct PriorityLimitSettings {
  /// Time for which an event of a more urgent rank counts as pressure, and window in which requests
  /// are counted.
  Duration pressure_window = std::chrono::milliseconds(1000);
  /// A request that is placed at an engine with at least this share of its slots in use shows
  /// pressure: the next ones find few free slots.
  double pressure_utilization = 0.85;
  /// Share of an engine's slots up to which it is given requests of the most urgent rank that have
  /// waited as long as they may. It is above 1: these may wait in the queue of the engine, which
  /// admits by priority.
  double max_urgent_utilization = 1.09;
  /// Share of the slots of an engine outside this process's subset, for the most urgent rank and
  /// for all others.
  double max_urgent_utilization_outside_subset = 0.9;
  double max_utilization_outside_subset = 0.6;
  /// Share of the slots of the subset that the least urgent rank leaves free under pressure; ranks
  /// in between leave a part of it.
  double reserved_utilization = 0.15;
  /// Share of the slots of the subset that requests which return after a refusal leave free for new
  /// ones.
  double reserved_for_new = 0.15;
  /// Share of the requests of each rank that may use all slots even under pressure, so that no rank
  /// is starved. Each rank has to be served at least a quarter as often as all requests.
  double floor = 0.34;
  /// Most requests of a rank that its floor lets through at a time.
  double max_floor_credit = 3;
  /// Bounds of the time after which refused callers should come back. They honour a third of their
  /// remaining time.
  Duration min_retry_after = std::chrono::milliseconds(300);
  Duration max_retry_after = std::chrono::milliseconds(2000);
};

/// Limits, by rank, on the requests of one service whose requests have more than one
/// priority. Less urgent ranks stop at a lower utilization of the engines while more urgent ones
/// wait, are refused or find nearly full engines. Decides for the requests of one process, from
/// what this process has seen.
class PriorityLimits {
 public:
  struct RankCounters {
    std::uint64_t placed = 0;
    /// Placed by the floor although the rank's limit was reached.
    std::uint64_t placed_by_floor = 0;
    std::uint64_t refused = 0;
  };

  explicit PriorityLimits(PriorityLimitSettings settings = {}) : settings_(settings) {}

  /// Sets the number of ranks; 0 is the most urgent. With one rank there are no limits.
  void SetRanks(std::size_t count);
  bool active() const { return ranks_.size() > 1; }

  /// A request arrives for the first time, or returns after a refusal.
  void OnArrival(std::uint32_t rank, bool returned, TimePoint now);
  /// A request has to wait.
  void OnWaiting(std::uint32_t rank, TimePoint now);
  /// A request was placed.
  /// @param utilization share of the engine's slots that were in use
  void OnPlaced(std::uint32_t rank, double utilization, TimePoint now);
  void OnRefused(std::uint32_t rank, TimePoint now);

  /// Whether more urgent requests lack capacity.
  bool UnderPressure(std::uint32_t rank, TimePoint now) const;
  /// Whether the rank has been given less than its floor.
  bool BelowFloor(std::uint32_t rank) const;
  /// Limits for a request.
  /// @param returned the caller was refused before
  /// @param last_try the request is refused if it is not placed now
  UtilizationLimits Limits(std::uint32_t rank, bool returned, bool last_try, TimePoint now) const;
  /// Time after which a refused caller should come back. The most urgent come back first.
  /// @param time_left remaining time of the caller
  Duration RetryAfter(std::uint32_t rank, Duration time_left, std::minstd_rand& random,
                      TimePoint now) const;
  /// Counters by rank.
  std::vector<RankCounters> counters() const;

 private:
  struct Rank {
    /// Last time at which a request of the rank lacked capacity.
    std::optional<TimePoint> pressure_at;
    /// Requests that the floor lets through now.
    double floor_credit = 0;
    /// Decaying counts of requests that were placed and refused.
    double placed = 0;
    double refused = 0;
    TimePoint counted_at{};
    RankCounters counters;
  };
  void Decay(Rank& rank, TimePoint now) const;
  Rank& At(std::uint32_t rank);
  const Rank& At(std::uint32_t rank) const;

  PriorityLimitSettings settings_;
  std::vector<Rank> ranks_;
};

}  // namespace wagtailslip::serving
