// Requests to cold endpoints: leases and tokens.
#include "wagtailslip/serving/placement.h"

namespace wagtailslip::serving {

bool Placement::IsCold(const Endpoint& endpoint, TimePoint now) {
  return endpoint.warmup_per_second > 0 && cold_.Find(endpoint.record.id, now).has_value();
}

std::optional<ColdReason> Placement::FindCold(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || it->second.warmup_per_second <= 0) return std::nullopt;
  return cold_.Find(id, now);
}

bool Placement::LimitsAllow(const Endpoint& endpoint, TimePoint now) {
  const std::string& id = endpoint.record.id;
  return permits_.Available(id, now) && (!IsCold(endpoint, now) || warmup_.Available(id, now));
}

void Placement::OnMissed(const Endpoint& endpoint, const PlacementQuery& query, bool placed,
                         TimePoint now) {
  const std::string& id = endpoint.record.id;
  if (!permits_.Available(id, now)) {
    permits_.OnMissed(id, query.queued, now);
  } else if (endpoint.in_subset || !placed) {
    // A lease keeps other processes from the endpoint, so one outside the subset is asked for only
    // if there is no other way.
    warmup_.OnMissed(id, query.queued, now);
  }
}

std::optional<TimePoint> Placement::ReserveWarmup(const Endpoint& endpoint, TimePoint now) {
  if (!IsCold(endpoint, now)) return std::nullopt;
  warmup_.Reserve(endpoint.record.id, now);
  return now;
}

bool Placement::UseWarmup(PlacementResult& placed, TimePoint now) {
  const auto it = endpoints_.find(placed.id);
  if (it == endpoints_.end() || !IsCold(it->second, now)) return true;
  const auto reserved_at = placed.warmup_reserved_at;
  placed.warmup_reserved_at.reset();
  return warmup_.Use(placed.id, reserved_at, now);
}

std::optional<WarmupLeaseRequest> Placement::NextWarmupRequest(TimePoint now) {
  cold_.Observe(now);
  if (!limits_cold_ || warmup_.asked_recently(now)) return std::nullopt;
  if (subsets_stale_) AssignSubsets(now);
  std::vector<WarmupPool::Candidate> candidates;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!IsCold(endpoint, now)) continue;
    const bool usable = endpoint.record.state == EndpointState::kServing && !endpoint.leaving;
    candidates.push_back({{id, endpoint.record.started_ms},
                          endpoint.warmup_per_second,
                          usable && endpoint.in_subset});
  }
  warmup_.SetCandidates(candidates);
  return warmup_.NextRequest(now);
}

}  // namespace wagtailslip::serving
