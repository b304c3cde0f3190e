#include "wagtailslip/traffic/ejector.h"

#include <algorithm>
#include <cmath>

#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

/// Weight of a new sample in the shares of failures.
constexpr double kSampleWeight = 0.05;
/// Doublings after which the ejection time stays at its longest.
constexpr std::uint32_t kMostDoublings = 16;

}  // namespace

void Ejector::Add(const std::string& id, const std::string& pool) {
  Remove(id);
  endpoints_[id].pool = pool;
  ++pools_[pool].endpoints;
}

void Ejector::Remove(const std::string& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  Restore(it->second);
  const auto pool = pools_.find(it->second.pool);
  const std::string name = pool->first;
  endpoints_.erase(it);
  if (--pool->second.endpoints == 0) {
    pools_.erase(pool);
    return;
  }
  // The pool shrank under its floor: the endpoint whose ejection ends first comes back.
  while (pool->second.out + Keep(pool->second) > pool->second.endpoints) {
    EndpointHealth* first = nullptr;
    for (auto& [other, health] : endpoints_) {
      if (health.pool != name || health.state == HealthState::kHealthy) continue;
      if (first == nullptr || health.until < first->until) first = &health;
    }
    WTS_INVARIANT(first != nullptr);
    Restore(*first);
  }
}

std::size_t Ejector::Keep(const Pool& pool) const {
  const double part = std::ceil(config_.floor * static_cast<double>(pool.endpoints));
  return std::max<std::size_t>(1, static_cast<std::size_t>(part));
}

const EndpointHealth* Ejector::Find(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool Ejector::WantsProbe(const EndpointHealth& health, TimePoint now) const {
  if (health.state == HealthState::kEjected) return now >= health.until;
  return health.state == HealthState::kHalfOpen &&
         now >= health.probe_started + config_.probe_timeout;
}

void Ejector::StartProbe(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || !WantsProbe(it->second, now)) return;
  it->second.state = HealthState::kHalfOpen;
  it->second.probe_started = now;
  ++counters_.probes;
}

bool Ejector::IsOutlier(const EndpointHealth& health) const {
  const Pool& pool = pools_.at(health.pool);
  return health.samples >= config_.least_samples && health.failure_share > config_.failure_share &&
         health.failure_share > config_.outlier_factor * pool.failure_share;
}

void Ejector::OnResult(const std::string& id, AttemptResult result, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  EndpointHealth& health = it->second;
  Pool& pool = pools_.at(health.pool);
  const bool failed = result != AttemptResult::kSuccess;
  const double sample = failed ? 1 : 0;
  ++health.samples;
  health.failure_share += kSampleWeight * (sample - health.failure_share);
  pool.failure_share +=
      kSampleWeight / static_cast<double>(pool.endpoints) * (sample - pool.failure_share);
  health.failures_in_a_row = failed ? health.failures_in_a_row + 1 : 0;
  if (health.state == HealthState::kHalfOpen) {
    if (failed) {
      Eject(health, now);
    } else {
      Restore(health);
      ++counters_.recoveries;
    }
    return;
  }
  // A late result of a request that was sent before the ejection changes nothing.
  if (health.state == HealthState::kEjected) return;
  if (!failed) {
    if (health.samples >= config_.least_samples) health.ejections = 0;
    return;
  }
  const std::uint32_t limit = config_.failures_in_a_row[static_cast<std::size_t>(result)];
  if ((limit > 0 && health.failures_in_a_row >= limit) || IsOutlier(health)) Eject(health, now);
}

void Ejector::Eject(EndpointHealth& health, TimePoint now) {
  Pool& pool = pools_.at(health.pool);
  if (health.state == HealthState::kHealthy) {
    if (pool.out + 1 + Keep(pool) > pool.endpoints) {
      ++counters_.prevented;
      return;
    }
    ++pool.out;
    ++out_;
  }
  WTS_INVARIANT(pool.out < pool.endpoints);
  health.state = HealthState::kEjected;
  const std::uint32_t doublings = std::min(health.ejections++, kMostDoublings);
  health.until = now + std::min(config_.longest_ejection,
                                config_.first_ejection * (std::int64_t{1} << doublings));
  ++counters_.ejections;
}

void Ejector::Restore(EndpointHealth& health) {
  if (health.state == HealthState::kHealthy) return;
  Pool& pool = pools_.at(health.pool);
  WTS_INVARIANT(pool.out > 0);
  --pool.out;
  --out_;
  health.state = HealthState::kHealthy;
  health.failures_in_a_row = 0;
  health.failure_share = 0;
  health.samples = 0;
}

}  // namespace wagtailslip::traffic
