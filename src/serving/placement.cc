#include "wagtailslip/serving/placement.h"

#include <algorithm>

#include "wagtailslip/serving/subsets.h"

namespace wagtailslip::serving {
namespace {

// A swap ends long before this; a reading that old only says that its sidecar is gone.
constexpr Duration kSwapMemory = std::chrono::seconds(3);
// Subsets follow changes of the endpoints' weights, which come in bursts.
constexpr Duration kSubsetPeriod = std::chrono::milliseconds(50);

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

/// Time of a token while an engine has all slots in use.
Duration TokenTime(const EngineProfile& engine, double steps) {
  const Duration step = engine.step + engine.step_per_request * static_cast<int>(engine.slots);
  return std::chrono::duration_cast<Duration>(step * steps);
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
      const double pending_tokens = endpoint.pending_tokens;
      std::deque<TimePoint> pending = std::move(endpoint.pending);
      endpoint = Endpoint{};
      endpoint.own = own;
      endpoint.pending = std::move(pending);
      endpoint.pending_tokens = pending_tokens;
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
    endpoint.tokens_per_ms = endpoint.engine ? service->engine->prefill_rate / 1000 : 0;
    endpoint.token_time =
        endpoint.engine ? TokenTime(*service->engine, settings_.token_steps) : Duration::zero();
    pools_[record.service].push_back(&endpoint);
    by_address_[record.address] = &endpoint;
  }
  subsets_due_ = true;
}

void Placement::AssignSubsets(TimePoint now) {
  subsets_due_ = false;
  subsets_at_ = now;
  for (const auto& [service, endpoints] : pools_) {
    const std::int64_t least = least_weights_[service];
    std::map<std::string, std::string> domains;
    for (const Endpoint* it : endpoints) {
      if (it->record.state != EndpointState::kServing || it->leaving) continue;
      if (it->engine && (it->weights == 0 || it->weights < least || it->swapping)) continue;
      domains[it->record.id] = it->record.failure_domain;
    }
    const auto own = OwnSubset(self_, processes_, domains);
    const double sharers = domains.empty() ? 1.0
                                           : static_cast<double>(processes_.size()) /
                                                 static_cast<double>(domains.size());
    for (Endpoint* it : endpoints) {
      it->in_subset = own.empty() || own.contains(it->record.id);
      it->sharers = std::max(1.0, sharers);
    }
  }
}

void Placement::SetProcesses(const std::string& self,
                             std::map<std::string, std::string> processes) {
  self_ = self;
  processes_ = std::move(processes);
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
  const std::int64_t weights = next_incarnation ? 0 : reading.weights;
  subsets_due_ =
      subsets_due_ || endpoint.weights != weights || endpoint.swapping != reading.swapping;
  endpoint.weights = weights;
  endpoint.swapping = reading.swapping;
  endpoint.read_at = now;
  endpoint.pace = reading.pace;
  endpoint.next_weights = next_incarnation ? 0 : reading.next_weights;
  endpoint.swap_at = now + reading.swap_in;
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
    // Other processes send little to this one's part; to any other endpoint they are taken to send
    // as much as this one.
    if (endpoint.in_subset && processes_.size() > 1) return own * endpoint.sharers;
    return own * static_cast<double>(std::max<std::size_t>(processes_.size(), 1));
  }
  const double estimate =
      static_cast<double>(endpoint.reported) + own - static_cast<double>(endpoint.own_at_report);
  return std::max(own, estimate);
}

void Placement::OnConnect(const std::string& id, Duration took, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  Endpoint& endpoint = it->second;
  endpoint.connect = took;
  endpoint.connected_at = now;
  if (took > settings_.slow_connect) endpoint.slow_at = now;
}

bool Placement::SlowPath(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.slow_at != TimePoint{} && now - endpoint.slow_at < settings_.path_life;
}

bool Placement::Stalled(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.engine && !endpoint.pending.empty() &&
         now - endpoint.pending.front() > settings_.stalled;
}

double Placement::Cost(const Endpoint& endpoint, double load, TimePoint now) const {
  const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
  double cost = load * ToMilliseconds(settings_.per_request);
  if (endpoint.tokens_per_ms > 0) cost += endpoint.pending_tokens / endpoint.tokens_per_ms;
  cost *= endpoint.pace;
  if (load >= slots) cost += (load - slots + 1) * ToMilliseconds(settings_.per_queued);
  if (!endpoint.in_subset) cost += ToMilliseconds(settings_.other_subset);
  if (endpoint.record.failure_domain != settings_.failure_domain) {
    cost += ToMilliseconds(settings_.other_domain);
  }
  if (endpoint.record.warmup > Duration::zero()) cost += ToMilliseconds(settings_.warming_up);
  // The request and its first event wait on such a link as the connection did.
  if (SlowPath(endpoint, now)) cost += 2 * ToMilliseconds(endpoint.connect);
  return cost;
}

double Placement::Capacity(const Endpoint& endpoint, bool late) const {
  const double slots = std::max<std::uint32_t>(endpoint.record.slots, 1);
  if (!endpoint.engine) return slots * (1 + settings_.service_overflow);
  const double fill = late ? settings_.engine_fill_if_late : settings_.engine_fill;
  return slots * (endpoint.in_subset ? fill : std::min(fill, settings_.engine_fill_if_other));
}

bool Placement::ReadsInTime(const Endpoint& endpoint, bool late) const {
  if (endpoint.tokens_per_ms <= 0) return true;
  // The prompt itself does not count, so that long ones are not passed over for short ones. The
  // processes that share an endpoint are taken to send as much as this one.
  const double reading =
      endpoint.pending_tokens / endpoint.tokens_per_ms * endpoint.pace * endpoint.sharers;
  const bool leaves_room = late || !endpoint.in_subset;
  return reading <=
         ToMilliseconds(leaves_room ? settings_.most_reading_if_late : settings_.most_reading);
}

bool Placement::SwapPlanned(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.next_weights > endpoint.weights && now - endpoint.read_at <= settings_.plan_life;
}

bool Placement::EndsBeforeSwap(const Endpoint& endpoint, const PlacementQuery& query,
                               TimePoint now) const {
  const double reading_ms =
      endpoint.tokens_per_ms > 0
          ? (endpoint.pending_tokens + query.prompt_tokens) / endpoint.tokens_per_ms
          : 0;
  const double answer_ms = query.answer_tokens * ToMilliseconds(endpoint.token_time);
  const double ends_in_ms = (reading_ms + answer_ms) * endpoint.pace;
  return ends_in_ms <= ToMilliseconds(endpoint.swap_at + settings_.swap_overrun - now);
}

bool Placement::Usable(const Endpoint& endpoint, const PlacementQuery& query, TimePoint now) const {
  if (endpoint.record.state != EndpointState::kServing || endpoint.leaving) return false;
  if (Contains(query.excluded, endpoint.record.id)) return false;
  if (!endpoint.engine) return true;
  if (endpoint.weights == 0) return false;
  if (SwapPlanned(endpoint, now)) {
    if (endpoint.weights < query.least_weights_if_planned) return false;
    if (!EndsBeforeSwap(endpoint, query, now)) return false;
  } else if (endpoint.weights < query.least_weights) {
    return false;
  } else if (endpoint.weights < query.least_weights_if_busy) {
    const bool idle = Load(endpoint, now) <= settings_.idle_part * endpoint.record.slots;
    const bool path_known =
        endpoint.connected_at != TimePoint{} && now - endpoint.connected_at < settings_.path_life;
    if (!idle || !path_known || SlowPath(endpoint, now)) return false;
  }
  if (query.exact_weights != 0 && endpoint.weights != query.exact_weights) return false;
  return !endpoint.swapping || now - endpoint.read_at > kSwapMemory;
}

std::optional<Placed> Placement::Choose(const PlacementQuery& query, TimePoint now) {
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return std::nullopt;
  std::int64_t& least = least_weights_[query.service];
  subsets_due_ = subsets_due_ || query.least_weights > least;
  least = std::max(least, query.least_weights);
  if (subsets_due_ && now - subsets_at_ >= kSubsetPeriod) AssignSubsets(now);
  std::uniform_real_distribution<double> noise(0, ToMilliseconds(settings_.noise));
  const auto others = std::count_if(pool->second.begin(), pool->second.end(),
                                    [](const Endpoint* it) { return !it->in_subset; });
  std::bernoulli_distribution sampled(
      others == 0 ? 0.0 : std::min(1.0, settings_.other_sample / static_cast<double>(others)));
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
    if (now < it->closed_until || Stalled(*it, now)) continue;
    if (!it->in_subset && !sampled(random_)) continue;
    const double load = Load(*it, now);
    if (load >= Capacity(*it, query.late) || !ReadsInTime(*it, query.late)) continue;
    const double score = Cost(*it, load, now) + noise(random_);
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
      if (load < Capacity(*it, query.late) && (best == nullptr || load < best_score)) {
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
  best->pending.push_back(now);
  best->pending_tokens += query.prompt_tokens;
  return placed;
}

void Placement::Begun(const std::string& id, double prompt_tokens) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  if (!it->second.pending.empty()) it->second.pending.pop_front();
  it->second.pending_tokens = std::max(0.0, it->second.pending_tokens - prompt_tokens);
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
  it->second.closed_until = std::max(it->second.closed_until, now + settings_.refusal_pause);
}

bool Placement::MarkLeaving(const std::string& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || it->second.leaving) return false;
  it->second.leaving = true;
  subsets_due_ = true;
  return true;
}

void Placement::Pause(const std::string& id, Duration pause, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  it->second.closed_until = std::max(it->second.closed_until, now + pause);
}

bool Placement::Accepts(const std::string& id, TimePoint now) const {
  const auto it = endpoints_.find(id);
  return it != endpoints_.end() && it->second.record.state == EndpointState::kServing &&
         !it->second.leaving && now >= it->second.closed_until;
}

bool Placement::MayAnswer(const Placed& placed, const PlacementQuery& query, Duration connect,
                          TimePoint now) const {
  const auto it = endpoints_.find(placed.id);
  if (it == endpoints_.end()) return false;
  if (SwapPlanned(it->second, now)) return placed.weights >= query.least_weights_if_planned;
  if (placed.weights < query.least_weights) return false;
  // The request waits on its way as long as the opening of the connection did.
  return connect <= settings_.slow_connect || placed.weights >= query.least_weights_if_busy;
}

Placement::Pool Placement::Survey(const PlacementQuery& query, TimePoint now) const {
  Pool result;
  const auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return result;
  for (const Endpoint* it : pool->second) {
    ++result.endpoints;
    if (!Usable(*it, query, now)) continue;
    ++result.usable;
    result.slots += Capacity(*it, query.late);
    result.load += Load(*it, now);
  }
  return result;
}

}  // namespace wagtailslip::serving
