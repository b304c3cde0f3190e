#include "wagtailslip/membership/registry.h"

#include <algorithm>
#include <utility>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::membership {
namespace {

/// With fewer peers, their silence is not enough evidence that this process is disconnected.
constexpr std::size_t kMinIsolationPeers = 3;

}  // namespace

Registry::Answer Registry::Announce(const config::EndpointJoined& endpoint, TimePoint now) {
  return Register(endpoints_, endpoint.endpoint_id, endpoint.incarnation, endpoint.failure_domain,
                  endpoint, now);
}

Registry::Answer Registry::AnnounceProcess(const config::ProcessStarted& process, TimePoint now) {
  return Register(processes_, process.process, process.incarnation, process.failure_domain, process,
                  now);
}

Registry::Answer Registry::Register(Peers& peers, const std::string& id, std::uint64_t incarnation,
                                    const std::string& domain, const config::Record& join_record,
                                    TimePoint now) {
  const auto it = peers.find(id);
  if (it != peers.end() && incarnation < it->second.incarnation) {
    return {ReceiveStatus::kOlderIncarnation, {}};
  }
  Peer& peer = peers[id];
  peer = Peer{};
  peer.incarnation = incarnation;
  peer.failure_domain = domain;
  peer.last_heard = now;
  peer.last_indirect_contact = now;
  peer.join_record = join_record;
  return {ReceiveStatus::kAccepted,
          {{id, incarnation, Health::kAlive, Cause::kNone, true, std::optional(join_record)}}};
}

void Registry::Adopt(const config::EndpointJoined& endpoint, TimePoint now) {
  const auto it = endpoints_.find(endpoint.endpoint_id);
  if (it != endpoints_.end() && endpoint.incarnation <= it->second.incarnation) return;
  Register(endpoints_, endpoint.endpoint_id, endpoint.incarnation, endpoint.failure_domain,
           endpoint, now);
}

void Registry::Release(const std::string& id) { endpoints_.erase(id); }

Registry::Answer Registry::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  return HandleHeartbeat(endpoints_, heartbeat, now);
}

Registry::Answer Registry::OnProcessHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  return HandleHeartbeat(processes_, heartbeat, now);
}

Registry::Answer Registry::HandleHeartbeat(Peers& peers, const Heartbeat& heartbeat,
                                           TimePoint now) {
  const auto it = peers.find(heartbeat.id);
  if (it == peers.end()) return {ReceiveStatus::kUnknown, {}};
  Peer& peer = it->second;
  if (heartbeat.incarnation < peer.incarnation) return {ReceiveStatus::kOlderIncarnation, {}};
  if (heartbeat.incarnation > peer.incarnation || peer.health == Health::kRemoved) {
    return {ReceiveStatus::kUnknown, {}};
  }
  if (heartbeat.sequence <= peer.sequence) return {ReceiveStatus::kDuplicate, {}};
  const Duration gap = now - peer.last_heard;
  const Duration transit = now.time_since_epoch() - heartbeat.sent_at;
  // A pause of this process delays the arrival of queued heartbeats, so the minimum is used.
  if (!peer.min_transit || transit < *peer.min_transit) peer.min_transit = transit;
  const bool late =
      transit - *peer.min_transit > options_.slow_delay || gap > options_.suspect_after;
  peer.sequence = heartbeat.sequence;
  peer.last_heard = now;
  peer.connection_closed = false;
  peer.load = heartbeat.load;
  peer.timely_heartbeats = late ? 0 : peer.timely_heartbeats + 1;
  const bool recovered = peer.health == Health::kSlow
                             ? peer.timely_heartbeats >= options_.recovery_heartbeats
                             : peer.health == Health::kAlive && !late;
  Answer answer;
  Update(heartbeat.id, peer, recovered ? Health::kAlive : Health::kSlow,
         recovered ? Cause::kNone : Cause::kSlow, &peers == &processes_, now, answer.transitions);
  return answer;
}

bool Registry::MayRoute(const Peer& peer, bool is_process, TimePoint now) const {
  if (peer.health == Health::kAlive) return true;
  // An engine that answers gets requests even if its agent is slow, silent or dead. For an entry
  // process there is no such second evidence of liveness.
  return !is_process && peer.health != Health::kRemoved &&
         now - peer.last_indirect_contact <= options_.suspect_after &&
         (!peer.connection_closed || peer.last_indirect_contact > peer.closed_at);
}

void Registry::Update(const std::string& id, Peer& peer, Health health, Cause cause,
                      bool is_process, TimePoint now, std::vector<Transition>& out) {
  const Health health_before = std::exchange(peer.health, health);
  const Cause cause_before = std::exchange(peer.cause, cause);
  const bool routable_before = std::exchange(peer.routable, MayRoute(peer, is_process, now));
  if (health_before == health && cause_before == cause && routable_before == peer.routable) return;
  out.push_back({id, peer.incarnation, health, cause, peer.routable, std::nullopt});
}

Registry::Answer Registry::Leave(const std::string& id, std::uint64_t incarnation,
                                 const std::string& reason, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return {ReceiveStatus::kUnknown, {}};
  Peer& peer = it->second;
  if (incarnation < peer.incarnation) return {ReceiveStatus::kOlderIncarnation, {}};
  if (incarnation > peer.incarnation) return {ReceiveStatus::kUnknown, {}};
  if (peer.health == Health::kRemoved) return {ReceiveStatus::kDuplicate, {}};
  peer.last_heard = now;
  Answer answer;
  Remove(id, peer, false, Cause::kLeft, reason, now, answer.transitions);
  return answer;
}

std::vector<Transition> Registry::ConnectionClosed(const std::string& id, std::uint64_t incarnation,
                                                   TimePoint now) {
  std::vector<Transition> out;
  for (Peers* peers : {&endpoints_, &processes_}) {
    const auto it = peers->find(id);
    if (it == peers->end() || it->second.incarnation != incarnation ||
        it->second.health == Health::kRemoved) {
      continue;
    }
    Peer& peer = it->second;
    if (!peer.connection_closed) peer.closed_at = now;
    peer.connection_closed = true;
    peer.timely_heartbeats = 0;
    Update(id, peer, Health::kSuspect, Cause::kDead, peers == &processes_, now, out);
  }
  return out;
}

void Registry::RecordIndirectContact(const std::string& id, TimePoint now) {
  for (Peers* peers : {&endpoints_, &processes_}) {
    const auto it = peers->find(id);
    if (it != peers->end())
      it->second.last_indirect_contact = std::max(it->second.last_indirect_contact, now);
  }
}

bool Registry::IsSilent(const Peer& peer, TimePoint now) const {
  return now - peer.last_heard > options_.suspect_after;
}

bool Registry::AllSilent(const Peers& peers, TimePoint now) const {
  return std::all_of(peers.begin(), peers.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.health == Health::kRemoved ||
           (IsSilent(peer, now) && now - peer.last_indirect_contact > options_.suspect_after);
  });
}

std::vector<Transition> Registry::Tick(TimePoint now) {
  if (last_tick_ && now - *last_tick_ > options_.tick_gap) {
    // Heartbeats that arrived during the pause have not been read yet.
    const Duration pause = now - *last_tick_;
    for (Peers* peers : {&endpoints_, &processes_}) {
      for (auto& [id, peer] : *peers) {
        peer.last_heard += pause;
        peer.closed_at += pause;
        peer.min_transit.reset();
      }
    }
  }
  last_tick_ = now;
  const auto present = [](const Peers& peers) {
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [](const auto& entry) {
          return entry.second.health != Health::kRemoved && !entry.second.connection_closed;
        }));
  };
  const bool was_isolated = isolated_;
  isolated_ = present(endpoints_) + present(processes_) >= kMinIsolationPeers &&
              AllSilent(endpoints_, now) && AllSilent(processes_, now);
  if (was_isolated && !isolated_) {
    // Peers that are still silent get the time from suspicion to removal again, and stay suspect
    // until they are heard from.
    for (Peers* peers : {&endpoints_, &processes_}) {
      for (auto& [id, peer] : *peers)
        peer.last_heard = std::max(peer.last_heard, now - options_.suspect_after);
    }
  }
  std::vector<Transition> out;
  TickPeers(endpoints_, false, now, out);
  TickPeers(processes_, true, now, out);
  return out;
}

void Registry::TickPeers(Peers& peers, bool is_process, TimePoint now,
                         std::vector<Transition>& out) {
  for (auto it = peers.begin(); it != peers.end();) {
    const std::string& id = it->first;
    Peer& peer = it->second;
    if (peer.health == Health::kRemoved) {
      const bool forget = now - peer.last_heard > options_.remember_removed;
      it = forget ? peers.erase(it) : std::next(it);
      continue;
    }
    const bool recent_contact = now - peer.last_indirect_contact <= options_.suspect_after;
    const Duration silence = now - std::max(peer.last_heard, peer.last_indirect_contact);
    if (peer.connection_closed && !recent_contact &&
        now - peer.closed_at > options_.remove_dead_after) {
      Remove(id, peer, is_process, Cause::kDead, "connection closed", now, out);
    } else if (silence > options_.remove_after && !isolated_) {
      Remove(id, peer, is_process, peer.connection_closed ? Cause::kDead : Cause::kCutOff,
             "no heartbeat", now, out);
    } else if (peer.connection_closed) {
      Update(id, peer, Health::kSuspect, Cause::kDead, is_process, now, out);
    } else if (IsSilent(peer, now)) {
      peer.timely_heartbeats = 0;
      Update(id, peer, Health::kSuspect, Cause::kCutOff, is_process, now, out);
    } else {
      Update(id, peer, peer.health, peer.cause, is_process, now, out);
    }
    ++it;
  }
}

void Registry::Remove(const std::string& id, Peer& peer, bool is_process, Cause cause,
                      const std::string& reason, TimePoint now, std::vector<Transition>& out) {
  Update(id, peer, Health::kRemoved, cause, is_process, now, out);
  if (is_process) {
    out.back().record = config::ProcessLeft{id, peer.incarnation};
  } else {
    out.back().record = config::EndpointLeft{id, peer.incarnation,
                                             std::string(kCauses.Name(cause)) + ": " + reason};
  }
}

const Peer* Registry::FindEndpoint(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const Peer* Registry::FindProcess(const std::string& id) const {
  const auto it = processes_.find(id);
  return it == processes_.end() ? nullptr : &it->second;
}

std::string FindHomeProcess(const std::string& endpoint_id,
                            const std::vector<std::string>& processes) {
  std::string best;
  std::uint64_t weight = 0;
  for (const auto& process : processes) {
    const std::uint64_t value = Hash64(process, Hash64(endpoint_id));
    if (best.empty() || value > weight || (value == weight && process < best)) {
      best = process;
      weight = value;
    }
  }
  return best;
}

}  // namespace wagtailslip::membership
