#include "wagtailslip/serving/placement.h"

#include <algorithm>

#include "wagtailslip/serving/subsets.h"

namespace wagtailslip::serving {
namespace {

// Statuses are kept for more engines than a service has, for addresses that are used again.
constexpr std::size_t kMaxEngineStatuses = 10000;
// Cost in milliseconds of each other request that would be lost if the endpoint ended. Outweighs
// distance.
constexpr double kCostPerOtherRequest = 50;
// Limits how often subsets are recomputed, because the endpoints' weights change in bursts.
constexpr Duration kMinSubsetInterval = std::chrono::milliseconds(50);

// Bounds of reported speeds: an endpoint that claims to take no time must not appear free.
constexpr double kMinSlowdown = 0.1;
constexpr double kMaxSlowdown = 1000;

traffic::EjectorConfig MakeEjectorConfig() {
  traffic::EjectorConfig config;
  config.first_ejection = std::chrono::milliseconds(700);
  config.longest_ejection = std::chrono::seconds(5);
  config.probe_timeout = std::chrono::seconds(3);
  return config;
}

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

/// Time per output token while all slots of an engine are in use.
Duration DecodeTimePerToken(const EngineProfile& engine, double steps) {
  const Duration step = engine.step + engine.step_per_request * static_cast<int>(engine.slots);
  return std::chrono::duration_cast<Duration>(step * steps);
}

}  // namespace

Placement::Placement(PlacementSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      ejector_(MakeEjectorConfig()),
      warmup_(settings_.warmup_tolerance),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

void Placement::Sync(const InstanceTable& table, const ServiceConfig& config) {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    const auto* known = table.Find(it->first);
    if (known == nullptr) {
      ejector_.Remove(it->first);
      permits_.Remove(it->first);
      cold_.Remove(it->first);
      warmup_.Remove(it->first);
      it = endpoints_.erase(it);
    } else {
      ++it;
    }
  }
  pools_.clear();
  by_address_.clear();
  limits_cold_ = false;
  for (const auto& [id, record] : table.endpoints()) {
    Endpoint& endpoint = endpoints_[id];
    const bool restarted = endpoint.record.started_ms != record.started_ms;
    if (restarted) {
      const std::uint32_t own_requests = endpoint.own_requests;
      const double pending_prompt_tokens = endpoint.pending_prompt_tokens;
      std::deque<TimePoint> pending_since = std::move(endpoint.pending_since);
      endpoint = Endpoint{};
      endpoint.own_requests = own_requests;
      endpoint.pending_since = std::move(pending_since);
      endpoint.pending_prompt_tokens = pending_prompt_tokens;
      ejector_.Remove(id);
      ejector_.Add(id, record.service);
      permits_.RemoveBefore(id, record.started_ms);
      warmup_.Remove(id);
    }
    if (restarted || record.sequence > endpoint.record.sequence) {
      // Announcements are seconds apart, so an engine status received since is more recent. Only a
      // newer version in the announcement overrides it.
      if (restarted || record.weights > endpoint.weights_version ||
          endpoint.reported_at == TimePoint{}) {
        // Only the sidecar knows whether a load is intact. Where none has reported yet, as after a
        // restart of this process, the weights were in use before.
        if (restarted || record.weights > endpoint.weights_version) {
          endpoint.weights_unconfirmed = engine_statuses_.contains(record.address);
        }
        endpoint.weights_version = record.weights;
      }
    }
    endpoint.record = record;
    const auto region = settings_.regions.find(record.failure_domain);
    endpoint.region = region == settings_.regions.end() ? std::string() : region->second;
    endpoint.drained = drained_domains_.domains.contains(record.failure_domain);
    const Service* service = config.FindService(record.service);
    endpoint.has_engine = service != nullptr && service->engine.has_value();
    endpoint.prefill_tokens_per_ms = endpoint.has_engine ? service->engine->prefill_rate / 1000 : 0;
    endpoint.decode_time_per_token =
        endpoint.has_engine ? DecodeTimePerToken(*service->engine, settings_.steps_per_token)
                            : Duration::zero();
    endpoint.warmup_per_second =
        service != nullptr ? service->warmup_per_second * std::min(1.0, settings_.warmup_overshoot)
                           : 0;
    limits_cold_ = limits_cold_ || endpoint.warmup_per_second > 0;
    pools_[record.service].push_back(&endpoint);
    by_address_[record.address] = &endpoint;
    const auto received = engine_statuses_.find(record.address);
    if (restarted && received != engine_statuses_.end()) {
      ApplyStatus(endpoint, received->second);
    }
  }
  subsets_stale_ = true;
}

void Placement::AssignSubsets(TimePoint now) {
  subsets_stale_ = false;
  subsets_assigned_at_ = now;
  for (const auto& [service, endpoints] : pools_) {
    const std::int64_t min_weights_version = min_weights_versions_[service];
    std::map<std::string, std::string> domains;
    for (const Endpoint* it : endpoints) {
      if (it->record.state != EndpointState::kServing || it->leaving || it->drained) continue;
      if (it->has_engine &&
          (it->weights_version == 0 || it->weights_version < min_weights_version || it->swapping ||
           it->weights_unconfirmed))
        continue;
      domains[it->record.id] = it->record.failure_domain;
    }
    const auto own = OwnSubset(self_, processes_, domains);
    // Processes that address lookups do not name have no subset.
    const bool excluded = !processes_.empty() && !processes_.contains(self_);
    const double processes_per_endpoint = domains.empty() ? 1.0
                                                          : static_cast<double>(processes_.size()) /
                                                                static_cast<double>(domains.size());
    for (Endpoint* it : endpoints) {
      it->in_subset = !excluded && (own.empty() || own.contains(it->record.id));
      it->processes_per_endpoint = std::max(1.0, processes_per_endpoint);
    }
  }
}

void Placement::SetProcesses(const std::string& self,
                             std::map<std::string, std::string> processes) {
  self_ = self;
  processes_ = std::move(processes);
}

bool Placement::SetDrainedDomains(DrainedDomains drained, TimePoint now) {
  const bool newer = UpdateDrains(drained_domains_, std::move(drained), now);
  // The endpoints of a domain may have become cold while they got no requests.
  for (const auto& [domain, end] : drained_domains_.ended) {
    cold_.SetColdUntilAnnounced(domain, end.at);
  }
  if (!newer) return false;
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.drained = drained_domains_.domains.contains(endpoint.record.failure_domain);
  }
  subsets_stale_ = true;
  return true;
}

std::optional<TimePoint> Placement::DrainEndedAt(const std::string& domain) const {
  const auto it = drained_domains_.ended.find(domain);
  if (it == drained_domains_.ended.end()) return std::nullopt;
  return it->second.at;
}

void Placement::RecordLoadReport(Endpoint& endpoint, std::uint32_t count, TimePoint now) {
  endpoint.reported_requests = count;
  endpoint.own_requests_at_report = endpoint.own_requests;
  endpoint.reported_at = now;
}

void Placement::OnEngineStatus(const EngineStatus& status, TimePoint now) {
  any_status_at_ = now;
  const auto it = by_address_.find(status.address);
  if (it == by_address_.end()) return;
  if (engine_statuses_.size() >= kMaxEngineStatuses) engine_statuses_.clear();
  engine_statuses_[status.address] = {status, now};
  ApplyStatus(*it->second, {status, now});
}

void Placement::ApplyStatus(Endpoint& endpoint, const ReceivedStatus& received) {
  const EngineStatus& status = received.status;
  const TimePoint now = received.received_at;
  if (status.started_ms < endpoint.record.started_ms) return;
  // This incarnation has not announced itself yet and has none of the previous one's weights.
  const bool next_incarnation = status.started_ms > endpoint.record.started_ms;
  const std::int64_t weights_version = next_incarnation ? 0 : status.weights_version;
  subsets_stale_ = subsets_stale_ || endpoint.weights_version != weights_version ||
                   endpoint.swapping != status.swapping;
  endpoint.weights_version = weights_version;
  endpoint.weights_unconfirmed = false;
  endpoint.swapping = status.swapping;
  endpoint.status_at = now;
  // Also false for a value that is not a number.
  endpoint.slowdown =
      status.slowdown > 0 ? std::clamp(status.slowdown, kMinSlowdown, kMaxSlowdown) : 1;
  endpoint.next_weights_version = next_incarnation ? 0 : status.next_weights_version;
  endpoint.swap_at = now + status.time_until_swap;
  RecordLoadReport(endpoint, status.running + status.waiting, now);
}

void Placement::OnLoadReport(const std::string& id, const LoadReport& report, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  Endpoint& endpoint = it->second;
  RecordLoadReport(endpoint, report.running + report.waiting, now);
  if (report.slots > 0) {
    endpoint.reported_slots = report.slots;
    endpoint.slots_reported_at = now;
  }
  if (report.slowdown) {
    endpoint.response_slowdown = std::clamp(*report.slowdown, kMinSlowdown, kMaxSlowdown);
    endpoint.response_slowdown_at = now;
  }
}

double Placement::Slowdown(const Endpoint& endpoint, TimePoint now) const {
  const bool usable =
      endpoint.response_slowdown_at != TimePoint{} &&
      now - endpoint.response_slowdown_at <= settings_.response_speed_ttl &&
      endpoint.response_slowdown_at + settings_.status_age_on_arrival >= endpoint.status_at;
  return usable ? endpoint.response_slowdown : endpoint.slowdown;
}

double Placement::Slots(const Endpoint& endpoint, TimePoint now) const {
  std::uint32_t slots = endpoint.record.slots;
  if (endpoint.reported_slots > 0 &&
      now - endpoint.slots_reported_at <= settings_.load_report_ttl) {
    slots = std::min(slots, endpoint.reported_slots);
  }
  return std::max<std::uint32_t>(slots, 1);
}

double Placement::EstimateLoad(const Endpoint& endpoint, TimePoint now) const {
  const double own = endpoint.own_requests;
  if (endpoint.reported_at == TimePoint{} ||
      now - endpoint.reported_at > settings_.load_report_ttl) {
    // Other processes send few requests to this process's subset. For all other endpoints, assume
    // that each process sends as many as this one.
    if (endpoint.in_subset && processes_.size() > 1) return own * endpoint.processes_per_endpoint;
    return own * static_cast<double>(std::max<std::size_t>(processes_.size(), 1));
  }
  const double estimate = static_cast<double>(endpoint.reported_requests) + own -
                          static_cast<double>(endpoint.own_requests_at_report);
  return std::max(own, estimate);
}

void Placement::OnConnect(const std::string& id, Duration connect_time, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  Endpoint& endpoint = it->second;
  endpoint.connect_time = connect_time;
  endpoint.connected_at = now;
  if (connect_time > settings_.slow_connect_threshold) endpoint.slow_connect_at = now;
}

bool Placement::IsLinkSlow(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.slow_connect_at != TimePoint{} &&
         now - endpoint.slow_connect_at < settings_.link_state_ttl;
}

bool Placement::IsStalled(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.has_engine && !endpoint.pending_since.empty() &&
         now - endpoint.pending_since.front() > settings_.stall_timeout;
}

double Placement::Cost(const Endpoint& endpoint, double load, double prompt_tokens,
                       TimePoint now) const {
  const double slots = Slots(endpoint, now);
  double cost = load * ToMilliseconds(settings_.cost_per_request);
  if (endpoint.prefill_tokens_per_ms > 0) {
    const double delayed =
        settings_.prompt_delay_weight * static_cast<double>(endpoint.pending_since.size());
    cost +=
        (endpoint.pending_prompt_tokens + delayed * prompt_tokens) / endpoint.prefill_tokens_per_ms;
  }
  cost *= Slowdown(endpoint, now);
  if (load >= slots) cost += (load - slots + 1) * ToMilliseconds(settings_.cost_per_queued_request);
  if (!endpoint.in_subset) cost += ToMilliseconds(settings_.outside_subset_cost);
  if (endpoint.record.failure_domain != settings_.failure_domain) {
    cost += ToMilliseconds(settings_.cross_domain_cost);
  }
  if (endpoint.record.warmup > Duration::zero()) cost += ToMilliseconds(settings_.warmup_cost);
  // The request and its first event will be delayed on the link as much as the connect was.
  if (IsLinkSlow(endpoint, now)) cost += 2 * ToMilliseconds(endpoint.connect_time);
  return cost;
}

double Placement::Capacity(const Endpoint& endpoint, const PlacementQuery& query,
                           TimePoint now) const {
  const double slots = Slots(endpoint, now);
  if (!endpoint.has_engine) return slots * (1 + settings_.service_overcommit);
  if (query.limits) {
    return slots * (endpoint.in_subset ? query.limits->engine : query.limits->outside_subset);
  }
  const double utilization =
      query.late ? settings_.max_engine_utilization_if_late : settings_.max_engine_utilization;
  return slots * (endpoint.in_subset
                      ? utilization
                      : std::min(utilization, settings_.max_engine_utilization_outside_subset));
}

bool Placement::SubsetLimitReached(const std::vector<Endpoint*>& pool, const PlacementQuery& query,
                                   TimePoint now) const {
  if (!query.limits || query.limits->subset >= 1) return false;
  double load = 0;
  double slots = 0;
  for (const Endpoint* it : pool) {
    if (!it->in_subset || !it->has_engine || !IsUsable(*it, query, now)) continue;
    const double own_slots = Slots(*it, now);
    load += std::min(EstimateLoad(*it, now), own_slots);
    slots += own_slots;
  }
  return load >= slots * query.limits->subset;
}

bool Placement::HasPrefillCapacity(const Endpoint& endpoint, const PlacementQuery& query,
                                   TimePoint now) const {
  if (endpoint.prefill_tokens_per_ms <= 0) return true;
  // The request's own prompt does not count, so that long prompts are not starved by short ones.
  // Assumes that each process that shares the endpoint has as many prompts pending as this one.
  const double backlog_ms = endpoint.pending_prompt_tokens / endpoint.prefill_tokens_per_ms *
                            Slowdown(endpoint, now) * endpoint.processes_per_endpoint;
  const bool reduced_limit = (query.late && !query.limits) || !endpoint.in_subset;
  return backlog_ms <= ToMilliseconds(reduced_limit ? settings_.max_prefill_backlog_if_late
                                                    : settings_.max_prefill_backlog);
}

bool Placement::IsSwapPlanned(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.next_weights_version > endpoint.weights_version &&
         now - endpoint.status_at <= settings_.swap_plan_ttl;
}

bool Placement::MayLoadUnnoticed(const Endpoint& endpoint, std::int64_t newest_weights_version,
                                 TimePoint now) const {
  if (!endpoint.has_engine || endpoint.weights_version >= newest_weights_version) return false;
  // Where no sidecar is heard of, the links of this process are the likelier cause.
  const Duration timeout = settings_.silent_sidecar_timeout;
  return endpoint.status_at != TimePoint{} && now - endpoint.status_at > timeout &&
         now - any_status_at_ <= timeout;
}

bool Placement::MayStandStill(const Endpoint& endpoint, TimePoint now) const {
  if (!endpoint.has_engine || endpoint.status_at == TimePoint{}) return false;
  return now - endpoint.reported_at > settings_.instance_silence_timeout &&
         now - any_status_at_ <= settings_.silent_sidecar_timeout;
}

bool Placement::EndsBeforeSwap(const Endpoint& endpoint, const PlacementQuery& query,
                               TimePoint now) const {
  const double prefill_ms =
      endpoint.prefill_tokens_per_ms > 0
          ? (endpoint.pending_prompt_tokens + query.prompt_tokens) / endpoint.prefill_tokens_per_ms
          : 0;
  const double decode_ms = query.answer_tokens * ToMilliseconds(endpoint.decode_time_per_token);
  const double total_ms = (prefill_ms + decode_ms) * Slowdown(endpoint, now);
  return total_ms <= ToMilliseconds(endpoint.swap_at + settings_.swap_overrun_allowance - now);
}

bool Placement::IsUsable(const Endpoint& endpoint, const PlacementQuery& query,
                         TimePoint now) const {
  if (endpoint.record.state != EndpointState::kServing || endpoint.leaving) return false;
  if (!InEligibleDomain(endpoint, query)) return false;
  if (Contains(query.excluded, endpoint.record.id)) return false;
  if (!endpoint.has_engine) return true;
  // A status that says "swapping" holds until the next one, however old it is: its sidecar may have
  // stopped before it checked the load.
  if (endpoint.weights_version == 0 || endpoint.weights_unconfirmed || endpoint.swapping) {
    return false;
  }
  if (MayLoadUnnoticed(endpoint, query.newest_weights_version, now)) return false;
  if (MayStandStill(endpoint, now)) return false;
  if (IsSwapPlanned(endpoint, now)) {
    if (endpoint.weights_version < query.min_weights_version_if_swap_planned) return false;
    if (!EndsBeforeSwap(endpoint, query, now)) return false;
  } else if (endpoint.weights_version < query.min_weights_version) {
    return false;
  } else if (endpoint.weights_version < query.min_weights_version_if_busy) {
    const bool idle =
        EstimateLoad(endpoint, now) <= settings_.idle_utilization * endpoint.record.slots;
    const bool link_state_known = endpoint.connected_at != TimePoint{} &&
                                  now - endpoint.connected_at < settings_.link_state_ttl;
    if (!idle || !link_state_known || IsLinkSlow(endpoint, now)) return false;
  }
  return query.required_weights_version == 0 ||
         endpoint.weights_version == query.required_weights_version;
}

std::optional<PlacementResult> Placement::Choose(const PlacementQuery& query, TimePoint now) {
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return std::nullopt;
  std::int64_t& min_weights_version = min_weights_versions_[query.service];
  subsets_stale_ = subsets_stale_ || query.min_weights_version > min_weights_version;
  min_weights_version = std::max(min_weights_version, query.min_weights_version);
  if (subsets_stale_ && now - subsets_assigned_at_ >= kMinSubsetInterval) AssignSubsets(now);
  std::uniform_real_distribution<double> jitter(0, ToMilliseconds(settings_.cost_jitter));
  // Counts only what the sample below is taken from: a request that is restricted to few endpoints
  // would else find none of them in most samples.
  const auto outside_subset = std::count_if(
      pool->second.begin(), pool->second.end(),
      [&query](const Endpoint* it) { return !it->in_subset && InEligibleDomain(*it, query); });
  std::bernoulli_distribution sample(outside_subset == 0
                                         ? 0.0
                                         : std::min(1.0, settings_.outside_subset_sample_size /
                                                             static_cast<double>(outside_subset)));
  Endpoint* best = nullptr;
  double best_score = 0;
  bool best_is_probe = false;
  bool any_healthy = false;
  // The best of the endpoints that lack only a permit.
  Endpoint* without_permit = nullptr;
  double without_permit_score = 0;
  bool without_permit_denied = false;
  const bool subset_full = SubsetLimitReached(pool->second, query, now);
  for (Endpoint* it : pool->second) {
    if (subset_full && it->in_subset) continue;
    if (!IsUsable(*it, query, now)) continue;
    const auto* health = ejector_.Find(it->record.id);
    const bool healthy = health == nullptr || ejector_.Allows(*health);
    const bool probe =
        !healthy && query.repeatable && it->own_requests == 0 && ejector_.WantsProbe(*health, now);
    any_healthy = any_healthy || healthy;
    if (!healthy && !probe) continue;
    if (now < it->paused_until || IsStalled(*it, now)) continue;
    // Nobody else uses an endpoint whose lease this process holds.
    const bool leased = warmup_.LeaseLeft(it->record.id, now).has_value();
    if (!it->in_subset && !leased && !sample(random_)) continue;
    const double load = EstimateLoad(*it, now);
    if (load >= Capacity(*it, query, now) || !HasPrefillCapacity(*it, query, now)) continue;
    const double idle_cost = query.prefer_idle ? kCostPerOtherRequest * load : 0;
    const double score = Cost(*it, load, query.prompt_tokens, now) + idle_cost + jitter(random_);
    if (!LimitsAllow(*it, now)) {
      const bool denied = permits_.IsDenied(it->record.id, now);
      if (without_permit == nullptr ||
          std::pair(denied, score) < std::pair(without_permit_denied, without_permit_score)) {
        without_permit = it;
        without_permit_score = score;
        without_permit_denied = denied;
      }
      continue;
    }
    if (best == nullptr || probe || (score < best_score && !best_is_probe)) {
      best = it;
      best_score = score;
      best_is_probe = probe;
    }
  }
  if (best == nullptr && !any_healthy && !subset_full) {
    // All usable endpoints are ejected: use the least loaded one rather than none.
    for (Endpoint* it : pool->second) {
      if (!IsUsable(*it, query, now) || now < it->paused_until) continue;
      if (!LimitsAllow(*it, now)) {
        without_permit = it;
        continue;
      }
      const double load = EstimateLoad(*it, now);
      if (load < Capacity(*it, query, now) && (best == nullptr || load < best_score)) {
        best = it;
        best_score = load;
      }
    }
  }
  // A permit is asked for at the endpoint that would have been chosen, and at one endpoint only:
  // permits that other endpoints grant for the same request would expire.
  if (without_permit != nullptr && (best == nullptr || without_permit_score < best_score)) {
    OnMissed(*without_permit, query, best != nullptr, now);
  }
  if (best == nullptr) return std::nullopt;
  if (best_is_probe) ejector_.StartProbe(best->record.id, now);
  PlacementResult placed{best->record.id,         best->record.address,
                         best->weights_version,   EstimateLoad(*best, now),
                         best->record.slots,      permits_.Take(best->record.id, now),
                         best->record.started_ms, ReserveWarmup(*best, now)};
  ++best->own_requests;
  best->pending_since.push_back(now);
  best->pending_prompt_tokens += query.prompt_tokens;
  return placed;
}

void Placement::RemovePending(const std::string& id, double prompt_tokens) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (!it->second.pending_since.empty()) it->second.pending_since.pop_front();
  it->second.pending_prompt_tokens =
      std::max(0.0, it->second.pending_prompt_tokens - prompt_tokens);
}

void Placement::Finish(const std::string& id, traffic::AttemptResult result, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (it->second.own_requests > 0) --it->second.own_requests;
  ejector_.OnResult(id, result, now);
}

void Placement::Release(const std::string& id) {
  const auto it = endpoints_.find(id);
  if (it != endpoints_.end() && it->second.own_requests > 0) --it->second.own_requests;
}

void Placement::OnRefused(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (it->second.own_requests > 0) --it->second.own_requests;
  it->second.paused_until = std::max(it->second.paused_until, now + settings_.refusal_backoff);
}

bool Placement::IsCurrent(const PlacementResult& placed) const {
  const auto it = endpoints_.find(placed.id);
  return it != endpoints_.end() && it->second.record.started_ms == placed.started_ms;
}

bool Placement::MarkLeaving(const PlacementResult& placed) {
  if (!IsCurrent(placed)) return false;
  Endpoint& endpoint = endpoints_.at(placed.id);
  if (endpoint.leaving) return false;
  endpoint.leaving = true;
  subsets_stale_ = true;
  return true;
}

void Placement::Pause(const PlacementResult& placed, Duration pause, TimePoint now) {
  if (!IsCurrent(placed)) return;
  Endpoint& endpoint = endpoints_.at(placed.id);
  endpoint.paused_until = std::max(endpoint.paused_until, now + pause);
}

bool Placement::Accepts(const PlacementResult& placed, TimePoint now) const {
  if (!IsCurrent(placed)) return false;
  const Endpoint& endpoint = endpoints_.at(placed.id);
  return endpoint.record.state == EndpointState::kServing && !endpoint.leaving &&
         !endpoint.drained && now >= endpoint.paused_until;
}

bool Placement::InRegions(const PlacementResult& placed, const AllowedRegions& regions) const {
  const auto it = endpoints_.find(placed.id);
  return regions.Allows(it == endpoints_.end() ? std::string() : it->second.region);
}

bool Placement::UsePermit(PlacementResult& placed, TimePoint now) {
  if (!UseWarmup(placed, now)) return false;
  if (!permits_.IsLimited(placed.id)) return true;
  const bool valid = placed.permit_expires_at && now < *placed.permit_expires_at;
  placed.permit_expires_at.reset();
  if (valid) return true;
  if (!permits_.Available(placed.id, now)) return false;
  permits_.Take(placed.id, now);
  return true;
}

void Placement::ReturnPermit(PlacementResult& placed, TimePoint now) {
  if (placed.warmup_reserved_at) warmup_.Release(placed.id, *placed.warmup_reserved_at);
  placed.warmup_reserved_at.reset();
  if (!placed.permit_expires_at) return;
  permits_.GiveBack(placed.id, *placed.permit_expires_at, now);
  placed.permit_expires_at.reset();
}

bool Placement::WeightsAllowed(const PlacementResult& placed, const PlacementQuery& query,
                               Duration connect_time, TimePoint now) const {
  const auto it = endpoints_.find(placed.id);
  if (it == endpoints_.end()) return false;
  if (MayLoadUnnoticed(it->second, query.newest_weights_version, now)) return false;
  if (IsSwapPlanned(it->second, now))
    return placed.weights_version >= query.min_weights_version_if_swap_planned;
  if (placed.weights_version < query.min_weights_version) return false;
  // The request will be delayed on the link as long as the connect was.
  return connect_time <= settings_.slow_connect_threshold ||
         placed.weights_version >= query.min_weights_version_if_busy;
}

Placement::PoolStats Placement::GetPoolStats(const PlacementQuery& query, TimePoint now) {
  PoolStats result;
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return result;
  for (const Endpoint* it : pool->second) {
    ++result.endpoints;
    if (query.allowed_regions.Allows(it->region)) {
      ++result.in_allowed_regions;
      if (!it->drained) ++result.not_drained;
    }
    if (!IsUsable(*it, query, now)) continue;
    ++result.usable;
    result.capacity += Capacity(*it, query, now);
    result.load += EstimateLoad(*it, now);
    const std::string& id = it->record.id;
    TimePoint permit_at = permits_.EarliestPermit(id, now);
    if (IsCold(*it, now)) permit_at = std::max(permit_at, warmup_.EarliestToken(id, now));
    result.next_permit_at = std::min(result.next_permit_at, permit_at);
    result.permit_queue_end = std::min(result.permit_queue_end, permits_.QueueEnd(id, now));
  }
  return result;
}

}  // namespace wagtailslip::serving
