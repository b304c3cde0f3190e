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
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/service_config.h"
#include "wagtailslip/traffic/ejector.h"

namespace wagtailslip::serving {

struct PlacementSettings {
  std::string failure_domain;
  /// Part of an engine's slots that requests may fill. Behind a full batch a request waits for a
  /// slot and for the prompts before it, and misses its objective.
  double max_engine_utilization = 1.0;
  /// The same for a request that has missed its objective already, so that new ones find a slot.
  double max_engine_utilization_if_late = 0.7;
  /// The same at an engine of another process's subset. Its prompts are not known here, so only one
  /// that has clearly room takes what this process's own engines cannot.
  double max_engine_utilization_outside_subset = 0.6;
  /// Endpoints of other subsets that a request is offered to, drawn at random. All processes see
  /// the same one as the idlest, and would send it what they have left at once.
  double outside_subset_sample_size = 2;
  /// The same for other services, as a multiple of their slots.
  double service_overcommit = 1.0;
  /// Part of the slots up to which a request begins at once.
  double idle_utilization = 0.6;
  /// Longest time that an engine may need to read the prompts of this process's requests that have
  /// not begun, where another is to follow. Behind more of them it would miss its objective, and
  /// one that has missed it already must not stand in the way of others.
  Duration max_prefill_backlog = std::chrono::milliseconds(120);
  Duration max_prefill_backlog_if_late = std::chrono::milliseconds(50);
  /// Time for which a report of load counts.
  Duration load_report_ttl = std::chrono::milliseconds(1500);
  /// Time without new requests after an endpoint refused one because it was full.
  Duration refusal_backoff = std::chrono::milliseconds(120);
  /// Costs of a choice, as time until the answer begins. An endpoint of another process's subset
  /// has load that this process does not know yet.
  Duration outside_subset_cost = std::chrono::milliseconds(60);
  Duration cross_domain_cost = std::chrono::milliseconds(5);
  Duration warmup_cost = std::chrono::milliseconds(150);
  /// Growth of the cost with each request at the endpoint.
  Duration cost_per_request = std::chrono::milliseconds(3);
  /// Time until a slot is free, for each request beyond the slots.
  Duration cost_per_queued_request = std::chrono::milliseconds(110);
  /// A connection that takes longer shows a link on which requests queue. Several round trips
  /// between regions.
  Duration slow_connect_threshold = std::chrono::milliseconds(40);
  /// Time for which a connection tells the state of a link.
  Duration link_state_ttl = std::chrono::milliseconds(2500);
  /// Time for which an announced swap counts without another status. Sidecars send one every
  /// 400 ms.
  Duration swap_plan_ttl = std::chrono::milliseconds(1000);
  /// Time after the order to load by which an answer should have ended. Until its longest answer
  /// has ended, an engine works for few.
  Duration swap_overrun_allowance = std::chrono::milliseconds(300);
  /// Time of a token of an answer, as a multiple of the engine's step: it reads prompts in between.
  double steps_per_token = 1.5;
  /// An engine at which a request of this process has waited so long for its first event gets no
  /// further one: it is overloaded, or behind a link on which connections are quick and requests
  /// stand. Most objectives have passed by then.
  Duration stall_timeout = std::chrono::milliseconds(700);
  /// Range of the random part, which keeps processes with the same reports from choosing the same
  /// endpoint.
  Duration cost_jitter = std::chrono::milliseconds(10);
};

/// What a request needs.
struct PlacementQuery {
  std::string service;
  /// Endpoints that this request has been sent to.
  std::vector<std::string> excluded;
  /// Oldest version of weights that may answer; 0 for any.
  std::int64_t min_weights_version = 0;
  /// Oldest version that may answer at an endpoint where the request may have to wait, or on the
  /// way to it.
  std::int64_t min_weights_version_if_busy = 0;
  /// Oldest version that may answer at an endpoint whose sidecar has announced its swap: whatever
  /// is late on the way to it meets an engine that accepts nothing or has the newer weights.
  std::int64_t min_weights_version_if_swap_planned = 0;
  /// The only version that may answer; 0 for any.
  std::int64_t required_weights_version = 0;
  /// Tokens of the prompt, which an engine reads before the answer begins.
  double prompt_tokens = 0;
  /// Tokens that the answer is expected to have.
  double answer_tokens = 0;
  /// A request that may run more than once may also be used to probe an ejected endpoint.
  bool repeatable = false;
  /// The objective is missed already, because the request was refused before.
  bool late = false;
};

/// An endpoint that takes a request.
struct PlacementResult {
  std::string id;
  std::string address;
  std::int64_t weights_version = 0;
  /// Estimated requests at the endpoint before this one, and its slots.
  double load = 0;
  std::uint32_t slots = 0;
};

/// What a sidecar reads from the engine beside it.
struct EngineStatus {
  std::string address;
  std::int64_t started_ms = 0;
  std::int64_t weights_version = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// The engine changes its weights and takes no requests.
  bool swapping = false;
  /// Time of a step relative to the usual one.
  double slowdown = 1;
  /// Newer weights that are staged, checked and planned to be loaded; 0 for none.
  std::int64_t next_weights_version = 0;
  /// Time until the engine is ordered to load them. From then on it accepts nothing until it has
  /// them.
  Duration time_until_swap{};
};

/// Chooses endpoints by load, health, weights and failure domain. Load is estimated from reports,
/// which lag, and from this process's own requests since then.
class Placement {
 public:
  Placement(PlacementSettings settings, std::uint64_t seed);

  /// Takes over the ingress processes with their failure domains.
  void SetProcesses(const std::string& self, std::map<std::string, std::string> processes);
  /// Takes over the known endpoints and the services.
  void Sync(const InstanceTable& table, const ServiceConfig& config);
  void OnEngineStatus(const EngineStatus& status, TimePoint now);
  /// Takes the load that an endpoint added to an answer.
  void OnLoadReport(const std::string& id, std::uint32_t running, std::uint32_t waiting,
                    TimePoint now);

  /// The endpoint for a request; nothing if none has room now. Counts the request as started.
  std::optional<PlacementResult> Choose(const PlacementQuery& query, TimePoint now);
  /// A connection to the endpoint took this time, or was given up after it.
  void OnConnect(const std::string& id, Duration connect_time, TimePoint now);
  /// The answer of a request has begun, or will not begin any more; once for each choice.
  void RemovePending(const std::string& id, double prompt_tokens);
  /// The request at an endpoint has ended.
  void Finish(const std::string& id, traffic::AttemptResult result, TimePoint now);
  /// The request has ended in a way that says nothing of the endpoint.
  void Release(const std::string& id);
  /// The endpoint did not run a request: it is full, leaving, or another incarnation.
  void OnRefused(const std::string& id, TimePoint now);
  /// The endpoint said in an answer that it leaves. This incarnation gets nothing more, whatever it
  /// announces, because announcements lag.
  /// @return false if that was known, or the endpoint is not
  bool MarkLeaving(const std::string& id);
  /// The endpoint wants no requests for a while.
  void Pause(const std::string& id, Duration pause, TimePoint now);
  /// Whether an endpoint that was chosen may still be sent a request, for example after the time
  /// that a connection to it took.
  bool Accepts(const std::string& id, TimePoint now) const;
  /// Whether the weights of a chosen endpoint may still answer.
  /// @param connect_time time that the connection to it took
  bool WeightsAllowed(const PlacementResult& placed, const PlacementQuery& query,
                      Duration connect_time, TimePoint now) const;

  struct PoolStats {
    std::size_t endpoints = 0;
    /// Endpoints that could take this kind of request if they had room.
    std::size_t usable = 0;
    double slots = 0;
    double load = 0;
  };
  /// Places and load of the endpoints that a query allows.
  PoolStats GetPoolStats(const PlacementQuery& query, TimePoint now) const;

 private:
  struct Endpoint {
    EndpointRecord record;
    bool has_engine = false;
    bool swapping = false;
    /// Time of the last status.
    TimePoint status_at{};
    /// Announced swap.
    std::int64_t next_weights_version = 0;
    TimePoint swap_at{};
    double slowdown = 1;
    std::int64_t weights_version = 0;
    std::uint32_t own_requests = 0;
    /// When own requests were chosen whose answers have not begun, oldest first. Answers begin
    /// nearly in the order of the requests.
    std::deque<TimePoint> pending_since;
    /// Tokens of own prompts whose answers have not begun, and tokens read per millisecond.
    double pending_prompt_tokens = 0;
    double prefill_tokens_per_ms = 0;
    /// Time of a token of an answer.
    Duration decode_time_per_token{};
    bool in_subset = true;
    /// Processes to each endpoint that may be used, at least 1.
    double processes_per_endpoint = 1;
    /// Requests that a report counted, and this process's own at that time.
    std::uint32_t reported_requests = 0;
    std::uint32_t own_requests_at_report = 0;
    TimePoint reported_at{};
    TimePoint paused_until{};
    /// An answer of this incarnation said that it leaves.
    bool leaving = false;
    /// Time of the last connection, and of the last slow one.
    Duration connect_time{};
    TimePoint connected_at{};
    TimePoint slow_connect_at{};
  };

  double EstimateLoad(const Endpoint& endpoint, TimePoint now) const;
  /// Expected time in milliseconds until the answer of one more request begins.
  double Cost(const Endpoint& endpoint, double load, TimePoint now) const;
  bool IsLinkSlow(const Endpoint& endpoint, TimePoint now) const;
  bool IsStalled(const Endpoint& endpoint, TimePoint now) const;
  double Capacity(const Endpoint& endpoint, bool late) const;
  /// Whether the prompts ahead of a request leave it time to begin.
  bool HasPrefillCapacity(const Endpoint& endpoint, bool late) const;
  /// Whether the endpoint's sidecar lives and will order newer weights in time.
  bool IsSwapPlanned(const Endpoint& endpoint, TimePoint now) const;
  /// Whether a request would end soon enough for an announced swap.
  bool EndsBeforeSwap(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const;
  bool IsUsable(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const;
  /// Divides the endpoints that may be used now among the ingress processes.
  void AssignSubsets(TimePoint now);
  void RecordLoadReport(Endpoint& endpoint, std::uint32_t count, TimePoint now);

  PlacementSettings settings_;
  std::map<std::string, Endpoint> endpoints_;
  std::unordered_map<std::string, std::vector<Endpoint*>> pools_;
  std::unordered_map<std::string, Endpoint*> by_address_;
  traffic::Ejector ejector_;
  std::minstd_rand random_;
  std::map<std::string, std::string> processes_;
  std::string self_;
  /// Oldest weights that requests of a service were allowed last.
  std::map<std::string, std::int64_t> min_weights_versions_;
  bool subsets_stale_ = false;
  TimePoint subsets_assigned_at_{};
};

}  // namespace wagtailslip::serving
