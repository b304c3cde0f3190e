#include "wagtailslip/traffic/router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

/// Cost of leaving the failure domain or the region, in requests per slot. The way between regions
/// takes 3 ms and shares a narrow link; a full endpoint nearby still costs more.
constexpr double kOtherDomain = 0.05;
constexpr double kOtherRegion = 0.3;
/// Share of an endpoint's slots that counts at the beginning of its slow start.
constexpr double kFirstRamp = 0.1;
/// Kinds of requests per model whose endpoints are remembered.
constexpr std::size_t kMostEligible = 32;
/// Changes kept for an endpoint whose reports have stopped.
constexpr std::size_t kMostChanges = 8192;

}  // namespace

Router::Router(RouterConfig config, std::unique_ptr<RouteStrategy> strategy, Ejector& ejector)
    : config_(std::move(config)),
      strategy_(std::move(strategy)),
      ejector_(ejector),
      random_(config_.seed),
      snapshot_(std::make_shared<RoutingSnapshot>(std::vector<RoutingEndpoint>{}, 0, 1)),
      hints_(config_.hint_capacity, config_.hint_max_age) {}

bool Router::Swap(std::shared_ptr<const RoutingSnapshot> snapshot, TimePoint now) {
  if (snapshot->revision() < snapshot_->revision()) return false;
  const bool first = counters_.snapshots == 0;
  std::fill(positions_.begin(), positions_.end(), kNowhere);
  current_.clear();
  distances_.clear();
  eligible_.clear();
  snapshot_ = std::move(snapshot);
  std::uint32_t index = 0;
  for (const RoutingEndpoint& endpoint : snapshot_->endpoints()) {
    auto [it, added] = states_.try_emplace(endpoint.id);
    State& state = it->second;
    if (added) {
      if (free_numbers_.empty()) {
        state.number = static_cast<EndpointNumber>(positions_.size());
        positions_.push_back(kNowhere);
      } else {
        state.number = free_numbers_.back();
        free_numbers_.pop_back();
      }
    }
    if (added || endpoint.incarnation != state.incarnation) {
      // A restarted endpoint has an empty cache and no failures yet.
      state.incarnation = endpoint.incarnation;
      ++state.cache_epoch;
      state.next_cache_event = 0;
      ejector_.Add(endpoint.id, endpoint.model);
      state.health = ejector_.Find(endpoint.id);
      if (!added) state.serving = false;
    }
    const bool serving = endpoint.serving == ServingState::kServing && !endpoint.draining;
    if (serving && !state.serving) {
      // What served before this process began needs no slow start.
      state.serving_since = first ? now - config_.slow_start : now;
    }
    state.serving = serving;
    state.index = index;
    positions_[state.number] = index++;
    current_.push_back(&state);
    AdoptReport(state, endpoint.load);
    const bool near = endpoint.region == config_.region;
    const bool same = near && endpoint.failure_domain == config_.failure_domain;
    distances_.push_back(same ? 0 : near ? kOtherDomain : kOtherRegion);
  }
  for (auto it = states_.begin(); it != states_.end();) {
    State& state = it->second;
    const bool gone = positions_[state.number] == kNowhere;
    if (gone && state.health != nullptr) {
      ejector_.Remove(it->first);
      state.health = nullptr;
    }
    // The state of a removed endpoint stays until its last request has ended.
    if (gone && state.in_flight == 0) {
      free_numbers_.push_back(state.number);
      it = states_.erase(it);
    } else {
      ++it;
    }
  }
  ++counters_.snapshots;
  return true;
}

void Router::AdoptReport(State& state, const LoadReport& load) {
  while (!state.changes.empty() && state.changes.front().first <= load.measured_at) {
    state.changes.pop_front();
  }
  state.since_report = 0;
  for (const auto& [time, change] : state.changes) state.since_report += change;
  state.at_report = static_cast<std::uint32_t>(
      std::max(0, static_cast<int>(state.in_flight) - state.since_report));
  const double free = kOvercommit * load.slots - load.running - load.waiting;
  // A part below one slot becomes a whole slot for some processes and none for the others.
  const double dither = static_cast<double>(Random(1 << 20)) / (1 << 20);
  state.allowance = static_cast<int>(std::floor(free / snapshot_->entry_processes() + dither));
}

void Router::Note(State& state, int change, TimePoint now) {
  state.changes.emplace_back(now, change);
  state.since_report += change;
  if (state.changes.size() > kMostChanges) {
    state.since_report -= state.changes.front().second;
    state.changes.pop_front();
  }
}

double Router::Ramp(const State& state, TimePoint now) const {
  const double part = ToSeconds(now - state.serving_since) / ToSeconds(config_.slow_start);
  return std::clamp(kFirstRamp + (1 - kFirstRamp) * part, kFirstRamp, 1.0);
}

double Router::Outstanding(const State& state) const {
  const LoadReport& load = snapshot_->endpoints()[state.index].load;
  const double own = state.in_flight;
  const double reported =
      std::max(static_cast<double>(load.running) + load.waiting + state.since_report, own);
  // What the other processes have sent since the report is unknown, but they saw the same report
  // and act alike, so the process's own requests tell something about theirs. Bounding the factor
  // for many processes doubled the wait at 32 processes.
  return (reported + own * snapshot_->entry_processes()) / 2;
}

bool Router::HasRoom(std::uint32_t index) const {
  const State& state = *current_[index];
  return state.since_report < state.allowance;
}

double Router::Load(std::uint32_t index) const {
  const State& state = *current_[index];
  const double slots = std::max<std::uint32_t>(1, snapshot_->endpoints()[index].load.slots);
  return (Outstanding(state) + 1) / (slots * Ramp(state, decision_time_));
}

std::uint32_t Router::CachedBlocks(std::uint32_t index) const {
  const State& state = *current_[index];
  for (const auto& match : matches_) {
    if (match.endpoint == state.number && match.epoch == state.cache_epoch) return match.blocks;
  }
  return 0;
}

std::uint32_t Router::IndexOf(EndpointNumber number) const {
  return number < positions_.size() ? positions_[number] : kNowhere;
}

std::uint64_t Router::Random(std::uint64_t bound) { return (random_() >> 32) * bound >> 32; }

bool Router::Matches(const RoutingEndpoint& endpoint, const RouteRequest& request) const {
  if (endpoint.kind != request.kind) return false;
  if (endpoint.role != EngineRole::kMixed && endpoint.role != request.role) return false;
  if (request.adapter.empty()) return !request.version || endpoint.version == *request.version;
  const auto adapter = endpoint.adapters.find(request.adapter);
  if (adapter == endpoint.adapters.end()) return false;
  return !request.version || adapter->second == *request.version;
}

const Router::Eligible& Router::EligibleFor(const RouteRequest& request) {
  std::vector<Eligible>& known = eligible_[request.model];
  for (const Eligible& entry : known) {
    if (entry.kind == request.kind && entry.role == request.role &&
        entry.version == request.version && entry.adapter == request.adapter) {
      return entry;
    }
  }
  if (known.size() >= kMostEligible) known.clear();
  Eligible& entry = known.emplace_back(
      Eligible{request.kind, request.role, request.version, request.adapter, {}, {}});
  const auto all = snapshot_->OfModel(request.model);
  if (!all.empty()) entry.reason = NoRoute::kNoneServing;
  for (const std::uint32_t index : all) {
    const RoutingEndpoint& endpoint = snapshot_->endpoints()[index];
    if (endpoint.serving != ServingState::kServing || endpoint.draining) continue;
    entry.reason = NoRoute::kNoneMatching;
    if (Matches(endpoint, request)) entry.indexes.push_back(index);
  }
  return entry;
}

RouteChoice Router::Choose(const RouteRequest& request, TimePoint now) {
  ++counters_.choices;
  decision_time_ = now;
  matches_.clear();
  const Eligible& eligible = EligibleFor(request);
  std::span<const std::uint32_t> candidates = eligible.indexes;
  // Without ejected or tried endpoints, all eligible ones are candidates as they stand.
  if (ejector_.out() > 0 || !request.excluded.empty()) {
    candidates_.clear();
    ejected_.clear();
    for (const std::uint32_t index : eligible.indexes) {
      const std::string& id = snapshot_->endpoints()[index].id;
      const auto tried = std::find(request.excluded.begin(), request.excluded.end(), id);
      if (tried != request.excluded.end()) continue;
      (ejector_.Allows(*current_[index]->health) ? candidates_ : ejected_).push_back(index);
    }
    if (request.may_probe) {
      if (const auto probe = FindProbe(now)) {
        ++counters_.probes;
        ejector_.StartProbe(snapshot_->endpoints()[*probe].id, now);
        RouteChoice choice = Chosen(*probe, request);
        choice.probe = true;
        return choice;
      }
    }
    if (candidates_.empty() && !ejected_.empty()) {
      // An ejected endpoint is better than none: ejection is a guess.
      ++counters_.last_resort;
      candidates_.swap(ejected_);
    }
    candidates = candidates_;
  }
  if (candidates.empty()) {
    ++counters_.no_route;
    RouteChoice none;
    none.reason = eligible.indexes.empty() ? eligible.reason : NoRoute::kAllTried;
    return none;
  }
  hints_.Lookup(request.prefix, now, matches_);
  std::erase_if(matches_, [&](const PrefixHints::Match& match) {
    const std::uint32_t index = IndexOf(match.endpoint);
    return index == kNowhere || current_[index]->cache_epoch != match.epoch;
  });
  return Chosen(strategy_->Pick(candidates, request.prefix, *this), request);
}

std::optional<std::uint32_t> Router::FindProbe(TimePoint now) {
  for (const std::uint32_t index : ejected_) {
    if (ejector_.WantsProbe(*current_[index]->health, now)) return index;
  }
  return std::nullopt;
}

RouteChoice Router::Chosen(std::uint32_t index, const RouteRequest& request) {
  RouteChoice choice;
  choice.endpoint = &snapshot_->endpoints()[index];
  choice.snapshot = snapshot_;
  choice.version = request.adapter.empty() ? choice.endpoint->version
                                           : choice.endpoint->adapters.at(request.adapter);
  choice.cached_blocks = CachedBlocks(index);
  if (choice.cached_blocks > 0) ++counters_.prefix_hits;
  return choice;
}

void Router::Started(const RouteChoice& choice, const RouteRequest& request, TimePoint now) {
  const auto it = states_.find(choice.endpoint->id);
  // The endpoint may have been removed between the choice and the start.
  if (it == states_.end()) return;
  State& state = it->second;
  ++state.in_flight;
  Note(state, 1, now);
  const std::size_t blocks = std::min(request.prefix.size(), PrefixHints::kBlocksPerPrompt);
  for (std::size_t i = 0; i < blocks; ++i) {
    hints_.Add(request.prefix[i], state.number, state.cache_epoch, now);
  }
}

void Router::Finished(const std::string& endpoint, AttemptResult result, TimePoint now) {
  ejector_.OnResult(endpoint, result, now);
  const auto it = states_.find(endpoint);
  // The start of the request was not counted if the endpoint was unknown then.
  if (it == states_.end() || it->second.in_flight == 0) return;
  --it->second.in_flight;
  Note(it->second, -1, now);
}

CacheFeed Router::OnCacheEvents(const std::string& endpoint, std::uint64_t first_sequence,
                                std::span<const CacheEvent> events, TimePoint now) {
  const auto it = states_.find(endpoint);
  if (it == states_.end()) return CacheFeed::kRepeated;
  State& state = it->second;
  const std::uint64_t end = first_sequence + events.size();
  if (first_sequence > state.next_cache_event) {
    // The missing events may have been evictions, so nothing known before is worth keeping.
    ++counters_.cache_gaps;
    ++state.cache_epoch;
    state.next_cache_event = first_sequence;
    for (const CacheEvent& event : events) {
      if (event.stored) hints_.Add(event.block, state.number, state.cache_epoch, now);
    }
    state.next_cache_event = end;
    return CacheFeed::kGap;
  }
  if (end <= state.next_cache_event) return CacheFeed::kRepeated;
  for (const CacheEvent& event : events.subspan(state.next_cache_event - first_sequence)) {
    if (event.stored) {
      hints_.Add(event.block, state.number, state.cache_epoch, now);
    } else {
      hints_.Remove(event.block, state.number);
    }
  }
  state.next_cache_event = end;
  return CacheFeed::kApplied;
}

void Router::Resynchronise(const std::string& endpoint, std::uint64_t next_sequence,
                           std::span<const std::uint64_t> blocks, TimePoint now) {
  const auto it = states_.find(endpoint);
  if (it == states_.end()) return;
  State& state = it->second;
  ++state.cache_epoch;
  state.next_cache_event = next_sequence;
  for (const std::uint64_t block : blocks) {
    hints_.Add(block, state.number, state.cache_epoch, now);
  }
}

std::uint32_t Router::Slots(const std::string& model) const {
  const double processes = snapshot_->entry_processes();
  double slots = 0;
  for (const std::uint32_t index : snapshot_->OfModel(model)) {
    const RoutingEndpoint& endpoint = snapshot_->endpoints()[index];
    if (endpoint.serving != ServingState::kServing || endpoint.draining) continue;
    if (!ejector_.Allows(*current_[index]->health)) continue;
    const double all = kOvercommit * endpoint.load.slots;
    const double used = static_cast<double>(endpoint.load.running) + endpoint.load.waiting;
    const double own = current_[index]->at_report;
    // Where requests wait inside an engine, each process gives up its part of the excess.
    const double mine = used > all ? own * all / used : own + (all - used) / processes;
    slots += std::max(all / processes, mine);
  }
  return slots > 0 ? std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots)) : 0;
}

std::optional<Router::EndpointStatus> Router::Status(const std::string& id, TimePoint now) const {
  const auto it = states_.find(id);
  if (it == states_.end() || it->second.health == nullptr) return std::nullopt;
  const State& state = it->second;
  const LoadReport& load = snapshot_->endpoints()[state.index].load;
  return EndpointStatus{state.in_flight,
                        Outstanding(state) / std::max<std::uint32_t>(1, load.slots),
                        Ramp(state, now), state.health->state};
}

}  // namespace wagtailslip::traffic
