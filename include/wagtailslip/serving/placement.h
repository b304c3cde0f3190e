#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/cold_endpoints.h"
#include "wagtailslip/serving/drained_domains.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/permit_pool.h"
#include "wagtailslip/serving/regions.h"
#include "wagtailslip/serving/service_config.h"
#include "wagtailslip/serving/warmup_pool.h"
#include "wagtailslip/traffic/ejector.h"

namespace wagtailslip::serving {

struct PlacementSettings {
  std::string failure_domain;
  /// Region of each failure domain. An endpoint in any other failure domain is not used where the
  /// regions of a request are restricted.
  std::map<std::string, std::string> regions;
  /// Share of an engine's slots up to which it is given requests. A request behind a full batch
  /// waits for a free slot and for the prefill of earlier prompts, and misses its latency
  /// objective.
  double max_engine_utilization = 1.0;
  /// Limit for a request that has already missed its latency objective. It is lower to keep slots
  /// free for new requests.
  double max_engine_utilization_if_late = 0.7;
  /// Limit for an engine outside this process's subset. The prompts queued there are unknown, so
  /// requests overflow only to engines that clearly have free slots.
  double max_engine_utilization_outside_subset = 0.6;
  /// Expected number of endpoints outside the subset that are considered for a request, sampled at
  /// random. Without sampling, all processes would send their overflow to the same endpoint, which
  /// all of them see as the least loaded.
  double outside_subset_sample_size = 2;
  /// Requests that a service without an engine is given beyond its slots, as a multiple of them.
  double service_overcommit = 1.0;
  /// Share of the slots up to which an engine starts a request without queueing it.
  double idle_utilization = 0.6;
  /// Limits on the prefill time of this process's requests that are already pending at an engine.
  /// Behind a longer backlog a new request would miss its latency objective. The limit for requests
  /// that have already missed it is lower, so that they do not delay others. The lower limit also
  /// applies outside the subset.
  Duration max_prefill_backlog = std::chrono::milliseconds(120);
  Duration max_prefill_backlog_if_late = std::chrono::milliseconds(50);
  /// Age at which a load report is no longer used.
  Duration load_report_ttl = std::chrono::milliseconds(1500);
  /// Time for which the speed that an endpoint reported in a response is used. It changes many
  /// times a second; after that the last status of its sidecar counts.
  Duration response_speed_ttl = std::chrono::milliseconds(500);
  /// Typical age of a sidecar's status when it arrives: control processes collect them.
  Duration status_age_on_arrival = std::chrono::milliseconds(60);
  /// Time without new requests after an endpoint refused one, usually because it was full.
  Duration refusal_backoff = std::chrono::milliseconds(120);
  /// Cost terms, as expected delay until the response starts. An endpoint outside the subset may
  /// have load that this process has not seen yet.
  Duration outside_subset_cost = std::chrono::milliseconds(60);
  Duration cross_domain_cost = std::chrono::milliseconds(5);
  Duration warmup_cost = std::chrono::milliseconds(150);
  /// Cost of each request that the endpoint already has.
  Duration cost_per_request = std::chrono::milliseconds(3);
  /// Weight of the delay that a request's prompt adds to the requests of this process that wait at
  /// the engine for their first event; 0 disregards it.
  double prompt_delay_weight = 0;
  /// Additional cost of each request beyond the slots: the time until a slot becomes free.
  Duration cost_per_queued_request = std::chrono::milliseconds(110);
  /// A connect that takes longer than this indicates a congested link. It allows for several round
  /// trips between regions.
  Duration slow_connect_threshold = std::chrono::milliseconds(40);
  /// Time for which the duration of a connect is taken as the state of the link.
  Duration link_state_ttl = std::chrono::milliseconds(2500);
  /// Time for which an announced weight swap is taken into account without a newer status. Sidecars
  /// send one every 400 ms.
  Duration swap_plan_ttl = std::chrono::milliseconds(1000);
  /// An engine whose sidecar has not reported for this long gets no requests while a newer version
  /// is named: it may have been told to load it, and from then on it holds requests, also those of
  /// callers who have left, until it has loaded. Sidecars report every 400 ms.
  Duration silent_sidecar_timeout = std::chrono::milliseconds(1000);
  /// An engine gets no requests if neither a status of its sidecar, which runs on the same
  /// instance, nor a response of its own has arrived for this long: the instance may stand still,
  /// and what an engine has accepted then cannot be withdrawn. Three periods of the status.
  Duration instance_silence_timeout = std::chrono::milliseconds(1200);
  /// How long after the load command a response may still be running. The swap waits for the
  /// longest response, and meanwhile the engine is mostly idle.
  Duration swap_overrun_allowance = std::chrono::milliseconds(300);
  /// Average time per output token in decoding steps. It exceeds 1 because the engine runs prefills
  /// between decoding steps.
  double steps_per_token = 1.5;
  /// An engine gets no further requests while one of this process has waited this long for its
  /// first event. The engine is overloaded, or its link accepts connections but delays requests.
  /// Most latency objectives are missed by then.
  Duration stall_timeout = std::chrono::milliseconds(700);
  /// Upper bound of the random term that keeps processes with the same load reports from choosing
  /// the same endpoint.
  Duration cost_jitter = std::chrono::milliseconds(10);
  /// A cold endpoint may get in any second this multiple of Service::warmup_per_second, and the
  /// tolerance in requests beyond it.
  double warmup_overshoot = 1.5;
  double warmup_tolerance = 5;
};

/// Limits by rank of a request on the use of engines, as shares of their slots; see PriorityLimits.
struct UtilizationLimits {
  /// Limit on all engines of the subset together. The ranks of a service differ by less than one
  /// slot of an engine.
  double subset = 1;
  /// Limits on the engine, inside and outside the subset.
  double engine = 1;
  double outside_subset = 1;
};

/// Requirements of a request for an endpoint.
struct PlacementQuery {
  std::string service;
  /// Ids of the endpoints that have already been tried for this request.
  std::vector<std::string> excluded;
  /// Oldest version of the weights that may answer; 0 for any.
  std::int64_t min_weights_version = 0;
  /// Oldest version that may answer where the request may have to queue, at the endpoint or on the
  /// link to it.
  std::int64_t min_weights_version_if_busy = 0;
  /// Oldest version that may answer at an endpoint whose sidecar has announced a swap. A request
  /// that arrives there late finds an engine that is swapping and refuses it, or that already has
  /// the newer weights.
  std::int64_t min_weights_version_if_swap_planned = 0;
  /// Newest version that was named for the model; 0 if none.
  std::int64_t newest_weights_version = 0;
  /// The only version that may answer; 0 for any.
  std::int64_t required_weights_version = 0;
  /// Tokens of the prompt, which the engine prefills before the response starts.
  double prompt_tokens = 0;
  /// Expected tokens of the response.
  double answer_tokens = 0;
  /// The request may run more than once, so it may also probe an ejected endpoint.
  bool repeatable = false;
  /// The request was refused before and has already missed its latency objective.
  bool late = false;
  /// Limits by rank that replace those of PlacementSettings.
  std::optional<UtilizationLimits> limits;
  /// The request waits in the queue, so this is not its first query.
  bool queued = false;
  /// The endpoint may end under the request, so that few other requests should be there.
  bool prefer_idle = false;
  AllowedRegions allowed_regions;
};

/// The endpoint chosen for a request.
struct PlacementResult {
  std::string id;
  std::string address;
  std::int64_t weights_version = 0;
  /// Estimated number of requests at the endpoint without this one, and its slots.
  double load = 0;
  std::uint32_t slots = 0;
  /// When the permit for the request expires; nothing if the endpoint needs none, or if the permit
  /// was used.
  std::optional<TimePoint> permit_expires_at;
  /// Start time of the endpoint's incarnation; the next one may have the same id and address.
  std::int64_t started_ms = 0;
  /// When a token of the cold endpoint was reserved for the request; nothing if it is warm.
  std::optional<TimePoint> warmup_reserved_at;
};

/// Status of an engine as polled by its sidecar.
struct EngineStatus {
  std::string address;
  std::int64_t started_ms = 0;
  std::int64_t weights_version = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// The engine is swapping its weights and takes no requests.
  bool swapping = false;
  /// Duration of a step relative to the normal one; 1 is normal speed.
  double slowdown = 1;
  /// Version of newer weights that are staged, verified and scheduled for loading; 0 for none.
  std::int64_t next_weights_version = 0;
  /// Time until the sidecar tells the engine to load them. From then on the engine accepts no
  /// requests until it has them.
  Duration time_until_swap{};
};

/// Load that an endpoint reported in a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// 0 if not stated.
  std::uint32_t slots = 0;
  /// Current duration of work relative to the usual one; nothing if not stated.
  std::optional<double> slowdown;
};

/// Chooses endpoints for requests by load, health, weights version and failure domain. Load is
/// estimated from reports, which lag behind, and from this process's own requests since the report.
class Placement {
 public:
  Placement(PlacementSettings settings, std::uint64_t seed);

  /// Sets the ingress processes that share the endpoints, with their failure domains. A process
  /// that is not one of them treats all endpoints as outside its subset.
  void SetProcesses(const std::string& self, std::map<std::string, std::string> processes);
  /// Sets the drained failure domains; see UpdateDrains.
  /// @return whether the revision is newer
  bool SetDrainedDomains(DrainedDomains drained, TimePoint now);
  const DrainedDomains& drained_domains() const { return drained_domains_; }
  /// When the drain of the failure domain ended; nothing if it is drained, was not drained, or if
  /// the drain ended more than kDrainEndTtl before this process started.
  std::optional<TimePoint> DrainEndedAt(const std::string& domain) const;
  /// Updates the endpoints and services to those of `table` and `config`.
  void Sync(const InstanceTable& table, const ServiceConfig& config);
  void OnEngineStatus(const EngineStatus& status, TimePoint now);
  /// Records the load that an endpoint reported in a response.
  void OnLoadReport(const std::string& id, const LoadReport& report, TimePoint now);

  /// Chooses an endpoint and counts the request as sent to it.
  /// @return nothing if no suitable endpoint has capacity now
  std::optional<PlacementResult> Choose(const PlacementQuery& query, TimePoint now);
  /// Records a connect to the endpoint.
  /// @param connect_time time until the connect succeeded or was given up
  void OnConnect(const std::string& id, Duration connect_time, TimePoint now);
  /// Removes a request from those whose response has not started. Must be called once for each
  /// choice, when the response has started or is no longer expected.
  void RemovePending(const std::string& id, double prompt_tokens);
  /// Ends a request and records its result for the endpoint's health.
  void Finish(const std::string& id, traffic::AttemptResult result, TimePoint now);
  /// Ends a request without a result that counts for the endpoint's health.
  void Release(const std::string& id);
  /// Ends a request that the endpoint did not run because it is full, is leaving or has restarted,
  /// and pauses the endpoint for `refusal_backoff`.
  void OnRefused(const std::string& id, TimePoint now);
  /// Records that the endpoint said in a response that it is leaving. This incarnation gets no more
  /// requests, whatever it announces, because announcements lag behind.
  /// @return false if this was already recorded, or the endpoint is unknown or has restarted
  bool MarkLeaving(const PlacementResult& placed);
  /// Sends the endpoint no new requests for the time `pause`, which this incarnation asked for.
  void Pause(const PlacementResult& placed, Duration pause, TimePoint now);
  /// Whether the incarnation that was chosen may still be sent a request; for example after
  /// connecting to it, which takes time.
  bool Accepts(const PlacementResult& placed, TimePoint now) const;
  /// Whether the endpoint that was chosen is in one of these regions.
  bool InRegions(const PlacementResult& placed, const AllowedRegions& regions) const;
  /// Whether the incarnation that was chosen is the newest known one with its id.
  bool IsCurrent(const PlacementResult& placed) const;
  /// Uses the permit of a request that is about to be sent, or takes one if the permit has expired
  /// or the endpoint has named a limit since it was chosen. Takes a token if the endpoint is cold.
  /// @return false if the request must not be sent
  bool UsePermit(PlacementResult& placed, TimePoint now);
  /// Puts back the permit of a request that was not sent, if it has one, and ends its reservation
  /// of a token.
  void ReturnPermit(PlacementResult& placed, TimePoint now);
  PermitPool& permits() { return permits_; }
  const PermitPool& permits() const { return permits_; }

  /// Records an announcement, also one that changed nothing but its time.
  void OnAnnouncement(const EndpointRecord& record, TimePoint now) { cold_.Record(record, now); }
  /// The endpoints of a failure domain that was drained or unreachable are cold until they are
  /// announced after `since`, if their service limits cold endpoints.
  void SetColdUntilAnnounced(const std::string& domain, TimePoint since) {
    cold_.SetColdUntilAnnounced(domain, since);
  }
  /// Why an endpoint is cold; nothing if it is warm or its service does not limit cold endpoints.
  std::optional<ColdReason> FindCold(const std::string& id, TimePoint now);
  /// The next request for leases on cold endpoints; nothing if none is needed.
  std::optional<WarmupLeaseRequest> NextWarmupRequest(TimePoint now);
  WarmupPool& warmup() { return warmup_; }
  const WarmupPool& warmup() const { return warmup_; }
  /// Whether requests may have to wait for permits, or for tokens of cold endpoints.
  bool any_limited() const { return limits_cold_ || permits_.any_limited(); }
  /// Whether the weights version of a chosen endpoint may still answer the request.
  /// @param connect_time time that connecting to the endpoint took
  bool WeightsAllowed(const PlacementResult& placed, const PlacementQuery& query,
                      Duration connect_time, TimePoint now) const;

  struct PoolStats {
    std::size_t endpoints = 0;
    /// Endpoints in the allowed regions, and those of them whose failure domain is not drained.
    std::size_t in_allowed_regions = 0;
    std::size_t not_drained = 0;
    /// Endpoints that could take the request if they had capacity.
    std::size_t usable = 0;
    double capacity = 0;
    double load = 0;
    /// Earliest time at which a limit that endpoints have named lets a request through: the time of
    /// the call if a usable endpoint has named none, or may get a permit soon.
    TimePoint next_permit_at = TimePoint::max();
    /// When a request that is refused now should come back because of the limits.
    TimePoint permit_queue_end = TimePoint::max();
  };
  /// Counts the endpoints of the query's service, and sums up the capacity and load of the usable
  /// ones.
  PoolStats GetPoolStats(const PlacementQuery& query, TimePoint now);

 private:
  struct Endpoint {
    EndpointRecord record;
    /// Region of its failure domain; empty if unknown.
    std::string region;
    /// Its failure domain is drained.
    bool drained = false;
    bool has_engine = false;
    bool swapping = false;
    /// Time of the last EngineStatus.
    TimePoint status_at{};
    /// Weights version and time of the announced swap.
    std::int64_t next_weights_version = 0;
    TimePoint swap_at{};
    double slowdown = 1;
    /// Slowdown that the endpoint itself reported last, and when.
    double response_slowdown = 1;
    TimePoint response_slowdown_at{};
    std::int64_t weights_version = 0;
    /// The endpoint has announced a start or weights that its sidecar has not reported yet, so its
    /// weights may be loaded from damaged chunks.
    bool weights_unconfirmed = false;
    std::uint32_t own_requests = 0;
    /// When this process placed its requests whose responses have not started, oldest first.
    /// Responses start almost in the order of the requests.
    std::deque<TimePoint> pending_since;
    /// Prompt tokens of these requests, and tokens that the engine prefills per millisecond.
    double pending_prompt_tokens = 0;
    double prefill_tokens_per_ms = 0;
    /// Time per output token while all slots are in use.
    Duration decode_time_per_token{};
    bool in_subset = true;
    /// Ingress processes per usable endpoint of the service, at least 1.
    double processes_per_endpoint = 1;
    /// Requests counted by the last load report, and this process's own when it arrived.
    std::uint32_t reported_requests = 0;
    std::uint32_t own_requests_at_report = 0;
    TimePoint reported_at{};
    /// Slots that the endpoint stated in a response, and when; 0 if it has not.
    std::uint32_t reported_slots = 0;
    TimePoint slots_reported_at{};
    TimePoint paused_until{};
    /// A response of this incarnation said that it is leaving.
    bool leaving = false;
    /// Duration and time of the last connect, and time of the last slow one.
    Duration connect_time{};
    TimePoint connected_at{};
    TimePoint slow_connect_at{};
    /// Requests per second while the endpoint is cold; 0 if its service does not limit them.
    double warmup_per_second = 0;
  };

  double EstimateLoad(const Endpoint& endpoint, TimePoint now) const;
  /// Duration of work relative to the usual one, by the newest report.
  double Slowdown(const Endpoint& endpoint, TimePoint now) const;
  /// Announced slots, or fewer if the endpoint has reported fewer since; at least 1.
  double Slots(const Endpoint& endpoint, TimePoint now) const;
  /// Cost in milliseconds of sending one more request: the expected delay until its response
  /// starts.
  double Cost(const Endpoint& endpoint, double load, double prompt_tokens, TimePoint now) const;
  bool IsLinkSlow(const Endpoint& endpoint, TimePoint now) const;
  bool IsStalled(const Endpoint& endpoint, TimePoint now) const;
  /// Whether the engines of the subset that could take the request are used up to its limit.
  bool SubsetLimitReached(const std::vector<Endpoint*>& pool, const PlacementQuery& query,
                          TimePoint now) const;
  double Capacity(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const;
  /// Whether the prefill backlog is short enough for another request to start in time.
  bool HasPrefillCapacity(const Endpoint& endpoint, const PlacementQuery& query,
                          TimePoint now) const;
  /// Whether the endpoint's sidecar has announced a swap to newer weights and is still reporting.
  bool IsSwapPlanned(const Endpoint& endpoint, TimePoint now) const;
  /// Whether the engine may be loading newer weights without this process knowing it.
  bool MayLoadUnnoticed(const Endpoint& endpoint, std::int64_t newest_weights_version,
                        TimePoint now) const;
  /// Whether the engine's instance may stand still.
  bool MayStandStill(const Endpoint& endpoint, TimePoint now) const;
  /// Whether the response would end by the announced swap or within `swap_overrun_allowance` after.
  bool EndsBeforeSwap(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const;
  bool IsUsable(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const;
  /// Whether the request may be served in the endpoint's failure domain.
  static bool InEligibleDomain(const Endpoint& endpoint, const PlacementQuery& query) {
    return !endpoint.drained && query.allowed_regions.Allows(endpoint.region);
  }
  bool IsCold(const Endpoint& endpoint, TimePoint now);
  /// Whether the endpoint's limits let a request through: the one that it has named, and the one of
  /// cold endpoints.
  bool LimitsAllow(const Endpoint& endpoint, TimePoint now);
  /// Records that a request was not placed at the endpoint only because of its limits.
  /// @param placed the request was placed elsewhere
  void OnMissed(const Endpoint& endpoint, const PlacementQuery& query, bool placed, TimePoint now);
  std::optional<TimePoint> ReserveWarmup(const Endpoint& endpoint, TimePoint now);
  bool UseWarmup(PlacementResult& placed, TimePoint now);
  /// Divides the endpoints that are usable now among the ingress processes.
  void AssignSubsets(TimePoint now);
  struct ReceivedStatus {
    EngineStatus status;
    TimePoint received_at{};
  };
  /// Takes a status into account if it is not of an earlier incarnation.
  void ApplyStatus(Endpoint& endpoint, const ReceivedStatus& received);
  void RecordLoadReport(Endpoint& endpoint, std::uint32_t count, TimePoint now);

  PlacementSettings settings_;
  std::map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, std::vector<Endpoint*>> pools_;
  std::unordered_map<std::string, Endpoint*> by_address_;
  /// When the last status of any engine arrived.
  TimePoint any_status_at_{};
  /// Last status of each engine by its address, kept for the next incarnation there.
  std::unordered_map<std::string, ReceivedStatus> engine_statuses_;
  traffic::Ejector ejector_;
  PermitPool permits_;
  ColdEndpoints cold_;
  WarmupPool warmup_;
  /// A service limits the requests to its cold endpoints.
  bool limits_cold_ = false;
  std::minstd_rand random_;
  std::map<std::string, std::string> processes_;
  std::string self_;
  /// By service, the highest `min_weights_version` of any request so far.
  std::map<std::string, std::int64_t> min_weights_versions_;
  bool subsets_stale_ = false;
  TimePoint subsets_assigned_at_{};
  DrainedDomains drained_domains_;
};

}  // namespace wagtailslip::serving
