#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::membership {

/// Health of an agent or entry process as seen by the failure detector.
enum class Health { kAlive, kSlow, kSuspect, kRemoved };
inline constexpr EnumTable<Health, 4> kHealths{{{{Health::kAlive, "alive"},
                                                 {Health::kSlow, "slow"},
                                                 {Health::kSuspect, "suspect"},
                                                 {Health::kRemoved, "removed"}}}};

/// Why a peer is not kAlive.
enum class Cause { kNone, kDead, kSlow, kCutOff, kLeft };
inline constexpr EnumTable<Cause, 5> kCauses{{{{Cause::kNone, "none"},
                                               {Cause::kDead, "dead"},
                                               {Cause::kSlow, "slow"},
                                               {Cause::kCutOff, "cut off"},
                                               {Cause::kLeft, "left"}}}};

/// Settings of the failure detector.
struct RegistryOptions {
  // Three missed heartbeats: an ordinary burst on a shared link can lose one or two.
  Duration suspect_after = std::chrono::milliseconds(1500);
  Duration remove_after = std::chrono::seconds(10);
  // A closed connection is sufficient evidence of a crash, but a restarting agent announces itself
  // within this time.
  Duration remove_dead_after = std::chrono::seconds(3);
  // A heartbeat whose delay exceeds the smallest one by more than this marks its sender as slow.
  Duration slow_delay = std::chrono::seconds(1);
  /// Consecutive timely heartbeats after which a slow or suspect peer is alive again.
  std::uint32_t recovery_heartbeats = 3;
  // A longer gap between two ticks means that this process was paused, not its peers.
  Duration tick_gap = std::chrono::seconds(1);
  /// How long removed peers are remembered, so that older incarnations are refused.
  Duration remember_removed = std::chrono::hours(1);
};

/// Load of an endpoint as reported by its agent.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Fraction of the KV cache in use, 0 to 1.
  double cache_used = 0;
  double tokens_per_second = 0;
};

/// Heartbeat, sent every 0.5 s.
struct Heartbeat {
  std::string id;
  std::uint64_t incarnation = 0;
  /// Incremented by one per heartbeat since the announcement.
  std::uint64_t sequence = 0;
  /// Time since the sender started, by its own clock; used to estimate the network delay.
  Duration sent_at{};
  LoadReport load;
};

/// Result of an announcement, heartbeat or departure.
enum class ReceiveStatus { kAccepted, kUnknown, kOlderIncarnation, kDuplicate };
inline constexpr EnumTable<ReceiveStatus, 4> kReceiveStatuses{
    {{{ReceiveStatus::kAccepted, "accepted"},
      {ReceiveStatus::kUnknown, "unknown"},
      {ReceiveStatus::kOlderIncarnation, "older-incarnation"},
      {ReceiveStatus::kDuplicate, "duplicate"}}}};

/// Change of a peer that the process layer must handle.
struct Transition {
  std::string id;
  std::uint64_t incarnation = 0;
  Health health = Health::kAlive;
  Cause cause = Cause::kNone;
  /// Whether new requests may be routed to the peer.
  bool routable = true;
  /// Record to propose: EndpointJoined, EndpointLeft, ProcessStarted or ProcessLeft.
  std::optional<config::Record> record;
};

/// Detector state of one agent or entry process.
struct Peer {
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  Health health = Health::kAlive;
  Cause cause = Cause::kNone;
  bool routable = true;
  TimePoint last_heard{};
  /// Last indirect evidence that the peer is alive: a response from its engine, or a report by
  /// another process that heard from it.
  TimePoint last_indirect_contact{};
  bool connection_closed = false;
  TimePoint closed_at{};
  std::uint64_t sequence = 0;
  /// Smallest difference between arrival and send time seen; delays are measured relative to it.
  std::optional<Duration> min_transit;
  std::uint32_t timely_heartbeats = 0;
  LoadReport load;
  std::optional<config::Record> join_record;
};

/// Tracks the liveness of the agents whose home is this entry process, and of the other entry
/// processes.
class Registry {
 public:
  explicit Registry(RegistryOptions options = {}) : options_(options) {}

  struct Answer {
    ReceiveStatus status = ReceiveStatus::kAccepted;
    std::vector<Transition> transitions;
  };

  /// Registers an endpoint that its agent announces.
  Answer Announce(const config::EndpointJoined& endpoint, TimePoint now);
  /// Takes over an endpoint from committed configuration when this process becomes its home. The
  /// endpoint gets the full removal timeout to send a heartbeat.
  void Adopt(const config::EndpointJoined& endpoint, TimePoint now);
  /// Drops an endpoint whose home is now another process.
  void Release(const std::string& id);
  /// Handles an agent's heartbeat. kUnknown asks the agent to announce itself again.
  Answer OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);
  /// Handles a planned departure of an agent.
  Answer Leave(const std::string& id, std::uint64_t incarnation, const std::string& reason,
               TimePoint now);
  /// Handles a closed or refused connection of an agent or process.
  std::vector<Transition> ConnectionClosed(const std::string& id, std::uint64_t incarnation,
                                           TimePoint now);
  /// Records that the endpoint answered a request or that another process heard from it.
  void RecordIndirectContact(const std::string& id, TimePoint now);

  /// Registers an entry process that starts, or whose home connection is restored.
  Answer AnnounceProcess(const config::ProcessStarted& process, TimePoint now);
  Answer OnProcessHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /// Applies the timeouts. Call it about every 0.1 s.
  std::vector<Transition> Tick(TimePoint now);

  /// Null if the id is unknown.
  const Peer* FindEndpoint(const std::string& id) const;
  const Peer* FindProcess(const std::string& id) const;
  const std::map<std::string, Peer>& endpoints() const { return endpoints_; }
  const std::map<std::string, Peer>& processes() const { return processes_; }
  /// Whether all peers are silent, so that this process itself is probably disconnected. It then
  /// removes no peer because of missing heartbeats.
  bool isolated() const { return isolated_; }

 private:
  using Peers = std::map<std::string, Peer>;

  Answer Register(Peers& peers, const std::string& id, std::uint64_t incarnation,
                  const std::string& domain, const config::Record& join_record, TimePoint now);
  Answer HandleHeartbeat(Peers& peers, const Heartbeat& heartbeat, TimePoint now);
  void TickPeers(Peers& peers, bool is_process, TimePoint now, std::vector<Transition>& out);
  /// Sets health and cause, derives routability, and appends a transition if anything changed.
  void Update(const std::string& id, Peer& peer, Health health, Cause cause, bool is_process,
              TimePoint now, std::vector<Transition>& out);
  void Remove(const std::string& id, Peer& peer, bool is_process, Cause cause,
              const std::string& reason, TimePoint now, std::vector<Transition>& out);
  bool MayRoute(const Peer& peer, bool is_process, TimePoint now) const;
  bool IsSilent(const Peer& peer, TimePoint now) const;
  bool AllSilent(const Peers& peers, TimePoint now) const;

  RegistryOptions options_;
  Peers endpoints_;
  Peers processes_;
  std::optional<TimePoint> last_tick_;
  bool isolated_ = false;
};

/// Selects the home entry process of an endpoint by rendezvous hashing; empty if there are no
/// processes.
std::string FindHomeProcess(const std::string& endpoint_id,
                            const std::vector<std::string>& processes);

}  // namespace wagtailslip::membership
