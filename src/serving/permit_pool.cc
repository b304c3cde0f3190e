#include "wagtailslip/serving/permit_pool.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::serving {
namespace {

// The allocator gets at most a request per millisecond from all processes together, which costs it
// a few percent of a small core.
constexpr Duration kAskIntervalPerProcess = std::chrono::milliseconds(1);
constexpr Duration kMinAskInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxAskInterval = std::chrono::milliseconds(400);
// A request without a reply for this long goes to all control processes, because another one may
// lead now.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);
// Without a reply for this long the process uses its own share. Longer than electing another leader
// takes.
constexpr Duration kOwnShareAfter = std::chrono::milliseconds(1500);
// Part of an equal share of the limit that a process uses without an allocator. Processes that are
// cut off do not know whether the others still get the whole limit from the allocator.
constexpr double kOwnShareFraction = 0.25;
// Time constant of the demand estimate, and the time for which permits are kept in reserve.
constexpr double kDemandSeconds = 1;
constexpr double kReserveSeconds = 0.35;
// Longest time for which the allocator's word that there are no permits is taken for granted: other
// processes that wait for them may give up.
constexpr Duration kMaxDenial = std::chrono::seconds(1);
constexpr double kMinLimit = 0.1;
constexpr std::uint32_t kMaxWanted = 100;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void PermitPool::SetProcesses(std::size_t rank, std::size_t processes) {
  rank_ = rank;
  processes_ = processes;
}

bool PermitPool::Record(const LimitObservation& observation) {
  const auto* known = limits_.Observation(observation.endpoint);
  const bool restarted = known != nullptr && observation.started_ms > known->started_ms;
  const auto before = limits_.Find(observation.endpoint);
  if (!limits_.Record(observation)) return false;
  changed_.insert(observation.endpoint);
  Endpoint& endpoint = endpoints_[observation.endpoint];
  // Permits of the previous incarnation, or of a higher limit, would exceed the new one.
  const bool lowered = before && observation.per_second && *observation.per_second < *before;
  if (restarted || lowered) {
    counters_.expired += endpoint.held.size();
    endpoint.held.clear();
  }
  endpoint.denied_until = {};
  endpoint.next_own_slot = {};
  return true;
}

void PermitPool::Remove(const std::string& endpoint) {
  limits_.Remove(endpoint);
  endpoints_.erase(endpoint);
  changed_.erase(endpoint);
}

void PermitPool::RemoveBefore(const std::string& endpoint, std::int64_t started_ms) {
  const auto* known = limits_.Observation(endpoint);
  if (known != nullptr && known->started_ms < started_ms) Remove(endpoint);
}

void PermitPool::AddDemand(Endpoint& endpoint, double requests, TimePoint now) {
  const double elapsed_s = ToSeconds(now - endpoint.demand_at);
  endpoint.demand *= endpoint.demand_at == TimePoint{} ? 0 : std::exp(-elapsed_s / kDemandSeconds);
  endpoint.demand += requests / kDemandSeconds;
  endpoint.demand_at = now;
}

void PermitPool::DropExpired(Endpoint& endpoint, TimePoint now) {
  while (!endpoint.held.empty() && endpoint.held.front() <= now) {
    endpoint.held.pop_front();
    ++counters_.expired;
  }
}

bool PermitPool::allocator_known(TimePoint now) const {
  return !unanswered_since_ || now - *unanswered_since_ < kReplyTimeout;
}

bool PermitPool::uses_own_share(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kOwnShareAfter;
}

Duration PermitPool::OwnSlotInterval(double limit) const {
  const double share =
      kOwnShareFraction * std::max(limit, kMinLimit) / static_cast<double>(processes_);
  return std::max(FromSeconds(1 / share), Duration(1));
}

bool PermitPool::OwnSlotOpen(const std::string& id, Endpoint& endpoint, TimePoint now) {
  const auto limit = limits_.Find(id);
  if (!limit || processes_ == 0 || !uses_own_share(now)) {
    endpoint.next_own_slot = {};
    return false;
  }
  const Duration interval = OwnSlotInterval(*limit);
  if (endpoint.next_own_slot == TimePoint{}) {
    // Processes that lose the allocator at the same time take turns by rank.
    endpoint.next_own_slot =
        now + interval / static_cast<int>(processes_) * static_cast<int>(rank_ + 1);
  }
  // A slot that passed without a request is lost, so that saved slots are not used all at once.
  const Duration late = now - endpoint.next_own_slot - kPermitTtl;
  if (late >= Duration::zero()) endpoint.next_own_slot += (late / interval + 1) * interval;
  return endpoint.next_own_slot <= now;
}

bool PermitPool::Available(const std::string& endpoint, TimePoint now) {
  if (!IsLimited(endpoint)) return true;
  Endpoint& state = endpoints_[endpoint];
  DropExpired(state, now);
  return !state.held.empty() || OwnSlotOpen(endpoint, state, now);
}

std::optional<TimePoint> PermitPool::Take(const std::string& endpoint, TimePoint now) {
  const auto limit = limits_.Find(endpoint);
  if (!limit) return std::nullopt;
  Endpoint& state = endpoints_[endpoint];
  AddDemand(state, 1, now);
  ++counters_.taken;
  if (state.held.empty()) {
    ++counters_.own_share;
    // Asks the control processes, of which one may lead now or know a lower limit.
    state.missed = std::max(state.missed, 1U);
    const TimePoint expires_at = state.next_own_slot + kPermitTtl;
    state.next_own_slot += OwnSlotInterval(*limit);
    return expires_at;
  }
  const TimePoint expires_at = state.held.front();
  state.held.pop_front();
  return expires_at;
}

void PermitPool::GiveBack(const std::string& endpoint, TimePoint expires_at, TimePoint now) {
  if (!IsLimited(endpoint) || expires_at <= now) return;
  auto& held = endpoints_[endpoint].held;
  held.insert(std::upper_bound(held.begin(), held.end(), expires_at), expires_at);
  ++counters_.returned;
}

void PermitPool::OnMissed(const std::string& endpoint, bool again, TimePoint now) {
  Endpoint& state = endpoints_[endpoint];
  if (again) {
    // Its first miss counts already. Asks again only if that reply has come and brought nothing.
    const bool waits = std::any_of(pending_.begin(), pending_.end(), [](const Pending& it) {
      return !it.overdue && !it.rows.empty();
    });
    if (!waits) state.missed = std::max(state.missed, 1U);
    return;
  }
  AddDemand(state, 1, now);
  state.missed = std::min(state.missed + 1, kMaxWanted);
}

bool PermitPool::IsDenied(const std::string& endpoint, TimePoint now) const {
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() && now < it->second.denied_until;
}

TimePoint PermitPool::EarliestPermit(const std::string& endpoint, TimePoint now) {
  if (Available(endpoint, now)) return now;
  const Endpoint& state = endpoints_[endpoint];
  if (uses_own_share(now)) return processes_ == 0 ? now + kMaxDenial : state.next_own_slot;
  if (!allocator_known(now)) return now + kReplyTimeout;
  const TimePoint next_ask = state.asked > 0 ? now : last_asked_at_ + AskInterval();
  return std::max({now, state.denied_until, next_ask});
}

TimePoint PermitPool::QueueEnd(const std::string& endpoint, TimePoint now) const {
  const auto it = endpoints_.find(endpoint);
  return it == endpoints_.end() ? now : std::max(now, it->second.queue_ends_at);
}

Duration PermitPool::AskInterval() const {
  return std::clamp(kAskIntervalPerProcess * static_cast<int>(processes_), kMinAskInterval,
                    kMaxAskInterval);
}

std::uint32_t PermitPool::Wanted(const Endpoint& endpoint) const {
  const auto reserve = static_cast<std::uint32_t>(endpoint.demand * kReserveSeconds);
  const std::uint32_t needed = std::min(endpoint.missed + reserve, kMaxWanted);
  const auto covered = static_cast<std::uint32_t>(endpoint.held.size()) + endpoint.asked;
  return needed > covered ? needed - covered : 0;
}

void PermitPool::EndWait(Pending& pending) {
  if (pending.overdue) return;
  pending.overdue = true;
  for (const auto& row : pending.rows) {
    const auto it = endpoints_.find(row.endpoint);
    if (it != endpoints_.end()) it->second.asked -= std::min(it->second.asked, row.wanted);
  }
}

void PermitPool::CheckPending(TimePoint now) {
  for (auto& it : pending_) {
    if (it.overdue || now - it.sent_at < kReplyTimeout) continue;
    EndWait(it);
    // The allocator may not have received the limits.
    changed_.insert(it.reported.begin(), it.reported.end());
  }
  while (!pending_.empty() && now - pending_.front().sent_at >= kPermitTtl) pending_.pop_front();
}

std::optional<PermitRequest> PermitPool::NextRequest(TimePoint now) {
  if (limits_.observations().empty()) return std::nullopt;
  CheckPending(now);
  if (now - last_asked_at_ < AskInterval()) return std::nullopt;
  PermitRequest request;
  request.sent_at = now;
  for (auto& [id, state] : endpoints_) {
    const auto* observation = limits_.Observation(id);
    if (observation == nullptr || !observation->per_second) continue;
    DropExpired(state, now);
    AddDemand(state, 0, now);
    const std::uint32_t wanted = now < state.denied_until ? 0 : Wanted(state);
    state.missed = 0;
    if (wanted == 0) continue;
    state.asked += wanted;
    counters_.asked += wanted;
    request.rows.push_back({id, wanted});
    request.limits.push_back(*observation);
    changed_.erase(id);
  }
  for (const auto& id : changed_) {
    if (const auto* observation = limits_.Observation(id)) request.limits.push_back(*observation);
  }
  changed_.clear();
  if (request.limits.empty()) return std::nullopt;
  // After a time without requests nothing is known of the allocator.
  if (!unanswered_since_ || now - last_asked_at_ >= kOwnShareAfter) unanswered_since_ = now;
  last_asked_at_ = now;
  Pending& pending = pending_.emplace_back();
  pending.sent_at = now;
  pending.rows = request.rows;
  for (const auto& it : request.limits) pending.reported.push_back(it.endpoint);
  return request;
}

void PermitPool::OnGrant(const PermitGrant& grant, TimePoint now) {
  const auto pending = std::find_if(pending_.begin(), pending_.end(), [&grant](const Pending& it) {
    return it.sent_at == grant.request_sent_at;
  });
  // Another process with this address may have asked, or the reply is so late that the request was
  // repeated.
  if (pending == pending_.end()) return;
  unanswered_since_.reset();
  EndWait(*pending);
  pending_.erase(pending);
  const TimePoint expires_at = grant.request_sent_at + kPermitTtl;
  for (const auto& row : grant.rows) {
    const auto it = endpoints_.find(row.endpoint);
    if (it == endpoints_.end()) continue;
    counters_.granted += row.granted;
    it->second.denied_until = now + std::min(row.next, kMaxDenial);
    it->second.queue_ends_at = now + std::max(row.next, row.queue_delay);
    auto& held = it->second.held;
    const auto position = std::upper_bound(held.begin(), held.end(), expires_at);
    held.insert(position, row.granted, expires_at);
  }
}

}  // namespace wagtailslip::serving
