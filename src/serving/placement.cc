#include "wagtailslip/serving/placement.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// A swap ends long before this; a reading that old only says that its sidecar is gone.
constexpr Duration kSwapMemory = std::chrono::seconds(3);

traffic::EjectorConfig HealthSettings() {
  traffic::EjectorConfig config;
  config.first_ejection = std::chrono::milliseconds(700);
  config.longest_ejection = std::chrono::seconds(5);
  config.probe_timeout = std::chrono::seconds(3);
  return config;
}

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

Placement::Placement(PlacementSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      ejector_(HealthSettings()),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

void Placement::Sync(const InstanceTable& table, const ServiceConfig& config) {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    const auto* known = table.Find(it->first);
    if (known == nullptr) {
      ejector_.Remove(it->first);
      it = endpoints_.erase(it);
    } else {
      ++it;
    }
  }
  pools_.clear();
  by_address_.clear();
  for (const auto& [id, record] : table.endpoints()) {
    Endpoint& endpoint = endpoints_[id];
    const bool restarted = endpoint.record.started_ms != record.started_ms;
    if (restarted) {
      const std::uint32_t own = endpoint.own;
      endpoint = Endpoint{};
      endpoint.own = own;
      ejector_.Remove(id);
      ejector_.Add(id, record.service);
    }
    if (restarted || record.sequence > endpoint.record.sequence) {
      // An announcement is made seconds apart; a reading that came since is newer.
      if (restarted || record.weights > endpoint.weights || endpoint.reported_at == TimePoint{}) {
        endpoint.weights = record.weights;
      }
    }
    endpoint.record = record;
    const Service* service = config.FindService(record.service);
    endpoint.engine = service != nullptr && service->engine.has_value();
    pools_[record.service].push_back(&endpoint);
    by_address_[record.address] = &endpoint;
  }
}

void Placement::NoteReport(Endpoint& endpoint, std::uint32_t count, TimePoint now) {
  endpoint.reported = count;
  endpoint.own_at_report = endpoint.own;
  endpoint.reported_at = now;
}

void Placement::OnReading(const EndpointReading& reading, TimePoint now) {
  const auto it = by_address_.find(reading.address);
  if (it == by_address_.end()) return;
  Endpoint& endpoint = *it->second;
  if (reading.started_ms < endpoint.record.started_ms) return;
  // An incarnation that has not announced itself yet holds nothing that the known one held.
  const bool next_incarnation = reading.started_ms > endpoint.record.started_ms;
  endpoint.weights = next_incarnation ? 0 : reading.weights;
  endpoint.swapping = reading.swapping;
  endpoint.swapping_at = now;
  endpoint.pace = reading.pace;
  NoteReport(endpoint, reading.running + reading.waiting, now);
}

void Placement::OnLoad(const std::string& id, std::uint32_t running, std::uint32_t waiting,
                       TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it != endpoints_.end()) NoteReport(it->second, running + waiting, now);
}

double Placement::Load(const Endpoint& endpoint, TimePoint now) const {
  const double own = endpoint.own;
  if (endpoint.reported_at == TimePoint{} || now - endpoint.reported_at > settings_.report_life) {
    // Without a report the other processes are taken to send as much as this one.
    return own * static_cast<double>(processes_);
  }
  const double estimate =
      static_cast<double>(endpoint.reported) + own - static_cast<double>(endpoint.own_at_report);
  return std::max(own, estimate);
}

double Placement::Capacity(const Endpoint& endpoint) const {
  const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
  return endpoint.engine ? slots + settings_.engine_overflow
                         : slots * (1 + settings_.service_overflow);
}

bool Placement::Usable(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const {
  if (endpoint.record.state != EndpointState::kServing) return false;
  if (Contains(query.excluded, endpoint.record.id)) return false;
  if (!endpoint.engine) return true;
  if (endpoint.weights == 0 || endpoint.weights < query.least_weights) return false;
  if (query.exact_weights != 0 && endpoint.weights != query.exact_weights) return false;
  return !endpoint.swapping || now - endpoint.swapping_at > kSwapMemory;
}

std::optional<Placed> Placement::Choose(const PlacementQuery& query, TimePoint now) {
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return std::nullopt;
  std::uniform_real_distribution<double> noise(0, settings_.noise);
  Endpoint* best = nullptr;
  double best_score = 0;
  bool best_is_probe = false;
  bool any_healthy = false;
  for (Endpoint* it : pool->second) {
    if (!Usable(*it, query, now)) continue;
    const auto* health = ejector_.Find(it->record.id);
    const bool healthy = health == nullptr || ejector_.Allows(*health);
    const bool probe =
        !healthy && query.repeatable && it->own == 0 && ejector_.WantsProbe(*health, now);
    any_healthy = any_healthy || healthy;
    if (!healthy && !probe) continue;
    if (now < it->closed_until) continue;
    const double load = Load(*it, now);
    if (load >= Capacity(*it)) continue;
    double score = load / std::max<std::uint32_t>(it->record.slots, 1) * it->pace + noise(random_);
    if (it->record.failure_domain != settings_.failure_domain) score += settings_.domain_preference;
    if (it->record.warmup > Duration::zero()) score += 0.5;
    if (best == nullptr || probe || (score < best_score && !best_is_probe)) {
      best = it;
      best_score = score;
      best_is_probe = probe;
    }
  }
  if (best == nullptr && !any_healthy) {
    // Endpoints that are all ejected are still better than none.
    for (Endpoint* it : pool->second) {
      if (!Usable(*it, query, now) || now < it->closed_until) continue;
      const double load = Load(*it, now);
      if (load < Capacity(*it) && (best == nullptr || load < best_score)) {
        best = it;
        best_score = load;
      }
    }
  }
  if (best == nullptr) return std::nullopt;
  if (best_is_probe) ejector_.StartProbe(best->record.id, now);
  Placed placed{best->record.id, best->record.address, best->weights, Load(*best, now),
                best->record.slots};
  ++best->own;
  return placed;
}

void Placement::Finish(const std::string& id, traffic::AttemptResult result, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (it->second.own > 0) --it->second.own;
  ejector_.OnResult(id, result, now);
}

void Placement::Release(const std::string& id) {
  const auto it = endpoints_.find(id);
  if (it != endpoints_.end() && it->second.own > 0) --it->second.own;
}

void Placement::Refused(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (it->second.own > 0) --it->second.own;
  it->second.closed_until = now + settings_.refusal_pause;
}

Placement::Pool Placement::Survey(const PlacementQuery& query, TimePoint now) const {
  Pool result;
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return result;
  for (const Endpoint* it : pool->second) {
    ++result.endpoints;
    if (!Usable(*it, query, now)) continue;
    ++result.usable;
    result.slots += Capacity(*it);
    result.load += Load(*it, now);
  }
  return result;
}

}  // namespace wagtailslip::serving
