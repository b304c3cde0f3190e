#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wagtailslip/traffic/ejector.h"
#include "wagtailslip/traffic/prefix_hints.h"
#include "wagtailslip/traffic/route_strategy.h"
#include "wagtailslip/traffic/routing_snapshot.h"

namespace wagtailslip::traffic {

/// What an endpoint must offer to get a request.
struct RouteRequest {
  std::string model;
  config::EndpointRole kind = config::EndpointRole::kEngine;
  EngineRole role = EngineRole::kMixed;
  /// Version to stay on, for a resumed stream.
  std::optional<Digest> version;
  /// Adapter that must be loaded; empty for none.
  std::string adapter;
  /// Endpoints that this call has tried already.
  std::span<const std::string> excluded;
  /// Hashes of the prompt up to the end of each block, from the first block on.
  std::span<const std::uint64_t> prefix;
  /// Whether the request may test an ejected endpoint. Not for calls that may not be repeated.
  bool may_probe = true;
};

/// Why no endpoint was chosen.
enum class NoRoute { kUnknownModel, kNoneServing, kNoneMatching, kAllTried };
inline constexpr EnumTable<NoRoute, 4> kNoRoutes{{{{NoRoute::kUnknownModel, "unknown-model"},
                                                   {NoRoute::kNoneServing, "none-serving"},
                                                   {NoRoute::kNoneMatching, "none-matching"},
                                                   {NoRoute::kAllTried, "all-tried"}}}};

/// Result of a routing decision.
struct RouteChoice {
  /// Null if there is none. Valid as long as the snapshot.
  const RoutingEndpoint* endpoint = nullptr;
  /// Snapshot that the endpoint belongs to.
  std::shared_ptr<const RoutingSnapshot> snapshot;
  /// Version that the answer must carry: that of the adapter if one was asked for.
  Digest version;
  /// Leading blocks of the prompt that the endpoint probably holds.
  std::uint32_t cached_blocks = 0;
  bool probe = false;
  NoRoute reason = NoRoute::kUnknownModel;
};

/// Result of a batch of cache events.
enum class CacheFeed { kApplied, kRepeated, kGap };
inline constexpr EnumTable<CacheFeed, 3> kCacheFeeds{{{{CacheFeed::kApplied, "applied"},
                                                       {CacheFeed::kRepeated, "repeated"},
                                                       {CacheFeed::kGap, "gap"}}}};

struct RouterConfig {
  /// Place of this process.
  std::string region;
  std::string failure_domain;
  /// Differs between processes, so that they don't choose alike.
  std::uint64_t seed = 1;
  /// Time over which an endpoint that starts to serve reaches its full share.
  Duration slow_start = std::chrono::seconds(10);
  std::size_t hint_capacity = 65536;
  Duration hint_max_age = std::chrono::minutes(5);
};

/// Chooses endpoints for requests. Used by one strand.
class Router final : private RouteView {
 public:
  /// Requests per slot up to which the processes together fill an endpoint. A little more than
  /// one, since requests never spread evenly and an idle slot is lost.
  static constexpr double kOvercommit = 1.15;

  struct Counters {
    std::uint64_t choices = 0;
    std::uint64_t probes = 0;
    /// Choices among ejected endpoints because no other was left.
    std::uint64_t last_resort = 0;
    std::uint64_t no_route = 0;
    std::uint64_t prefix_hits = 0;
    std::uint64_t cache_gaps = 0;
    std::uint64_t snapshots = 0;
  };

  /// Load of one endpoint for the state dump.
  struct EndpointStatus {
    std::uint32_t own_in_flight = 0;
    double estimated_load = 0;
    double ramp = 1;
    HealthState health = HealthState::kHealthy;
  };

  /// @param ejector outlives the router; its endpoints are kept in step with the snapshots
  Router(RouterConfig config, std::unique_ptr<RouteStrategy> strategy, Ejector& ejector);

  /// Replaces the snapshot. One with a lower revision is ignored.
  /// @return false if the snapshot was ignored
  bool Swap(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now);

  RouteChoice Choose(const RouteRequest& request, TimePoint now);

  /// Notes that a request was sent to a chosen endpoint.
  void Started(const RouteChoice& choice, const RouteRequest& request, TimePoint now);
  /// Notes that a started request has ended, and how.
  void Finished(const std::string& endpoint, AttemptResult result, TimePoint now);

  /// Applies events of an engine's prefix cache.
  /// @param first_sequence sequence number of the first event
  /// @return kGap if events are missing; the caller then asks the engine for its whole state and
  ///   calls Resynchronise. Until then older hints of the endpoint are dropped.
  CacheFeed OnCacheEvents(const std::string& endpoint, std::uint64_t first_sequence,
                          std::span<const CacheEvent> events, TimePoint now);
  /// Replaces all hints of an endpoint.
  /// @param next_sequence sequence number of the event that follows this state
  void Resynchronise(const std::string& endpoint, std::uint64_t next_sequence,
                     std::span<const std::uint64_t> blocks, TimePoint now);

  /// Requests of a model or service that this process may have running at once: its even share of
  /// all slots, or what it already uses plus its even share of the free ones, if that is more.
  /// Ejected endpoints don't count.
  std::uint32_t Slots(const std::string& model) const;

  const std::shared_ptr<const RoutingSnapshot>& snapshot() const { return snapshot_; }
  const Counters& counters() const { return counters_; }
  std::optional<EndpointStatus> Status(const std::string& id, TimePoint now) const;
  std::size_t hints() const { return hints_.size(); }

 private:
  struct State {
    EndpointNumber number = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t in_flight = 0;
    /// Own starts (+1) and ends (-1) that the load report may not contain yet.
    std::deque<std::pair<TimePoint, int>> changes;
    /// Sum of `changes` after the report's measurement.
    int since_report = 0;
    /// Own requests in flight at the report's measurement.
    std::uint32_t at_report = 0;
    /// Own net starts since the report that leave room for the other processes.
    /// Own net starts since the report that leave the other processes their part of what was free.
    int allowance = 0;
    bool serving = false;
    /// Start of the current serving period; the ramp begins here.
    TimePoint serving_since{};
    std::uint32_t cache_epoch = 0;
    std::uint64_t next_cache_event = 0;
    const EndpointHealth* health = nullptr;
    /// Position in the snapshot; the endpoint is gone if it exceeds the snapshot's size.
    std::uint32_t index = 0;
  };

  // RouteView
  double Load(std::uint32_t index) const override;
  bool HasRoom(std::uint32_t index) const override;
  double Distance(std::uint32_t index) const override { return distances_[index]; }
  std::uint32_t CachedBlocks(std::uint32_t index) const override;
  std::span<const PrefixHints::Match> matches() const override { return matches_; }
  std::uint32_t IndexOf(EndpointNumber number) const override;
  std::uint64_t Random(std::uint64_t bound) override;

  /// Estimated requests at an endpoint now, from all processes.
  double Outstanding(const State& state) const;
  bool Matches(const RoutingEndpoint& endpoint, const RouteRequest& request) const;
  double Ramp(const State& state, TimePoint now) const;
  void Note(State& state, int change, TimePoint now);
  void AdoptReport(State& state, const LoadReport& load);
  /// Endpoints of the snapshot that match a kind of request, computed once per snapshot.
  struct Eligible {
    config::EndpointRole kind = config::EndpointRole::kEngine;
    EngineRole role = EngineRole::kMixed;
    std::optional<Digest> version;
    std::string adapter;
    std::vector<std::uint32_t> indexes;
    /// Why there are none.
    NoRoute reason = NoRoute::kUnknownModel;
  };

  const Eligible& EligibleFor(const RouteRequest& request);
  std::optional<std::uint32_t> FindProbe(TimePoint now);
  RouteChoice Chosen(std::uint32_t index, const RouteRequest& request);

  RouterConfig config_;
  std::unique_ptr<RouteStrategy> strategy_;
  Ejector& ejector_;
  std::mt19937_64 random_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::unordered_map<std::string, State> states_;
  /// By position in the snapshot.
  std::vector<State*> current_;
  std::vector<double> distances_;
  /// By model; cleared with each snapshot.
  std::unordered_map<std::string, std::vector<Eligible>> eligible_;
  /// Position in the snapshot by number, or kNowhere.
  std::vector<std::uint32_t> positions_;
  std::vector<EndpointNumber> free_numbers_;
  PrefixHints hints_;
  Counters counters_;
  // Scratch space of one decision, kept to save allocations.
  TimePoint decision_time_{};
  std::vector<std::uint32_t> candidates_;
  std::vector<std::uint32_t> ejected_;
  std::vector<PrefixHints::Match> matches_;
};

}  // namespace wagtailslip::traffic
