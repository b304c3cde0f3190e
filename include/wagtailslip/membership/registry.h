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

/// What is known about an agent or an entry process.
enum class Health { kAlive, kSlow, kSuspect, kRemoved };
inline constexpr EnumTable<Health, 4> kHealths{{{{Health::kAlive, "alive"},
                                                 {Health::kSlow, "slow"},
                                                 {Health::kSuspect, "suspect"},
                                                 {Health::kRemoved, "removed"}}}};

/// Why the health is other than alive.
enum class Cause { kNone, kDead, kSlow, kCutOff, kLeft };
inline constexpr EnumTable<Cause, 5> kCauses{{{{Cause::kNone, "none"},
                                               {Cause::kDead, "dead"},
                                               {Cause::kSlow, "slow"},
                                               {Cause::kCutOff, "cut off"},
                                               {Cause::kLeft, "left"}}}};

/// Times of the failure detector.
struct RegistryOptions {
  // Three lost heartbeats: one or two are lost in an ordinary burst on a shared link.
  Duration suspect_after = std::chrono::milliseconds(1500);
  Duration remove_after = std::chrono::seconds(10);
  // A closed connection is proof enough, but an agent that restarts announces itself within this.
  Duration remove_dead_after = std::chrono::seconds(3);
  // A heartbeat that arrives this much later than the fastest one marks its sender as slow.
  Duration slow_delay = std::chrono::seconds(1);
  /// Heartbeats in time after which a slow or suspect one counts as alive again.
  std::uint32_t recovery_heartbeats = 3;
  // A gap between two ticks longer than this is a pause of this process, not of its peers.
  Duration tick_gap = std::chrono::seconds(1);
  /// How long removed ones are remembered, so that an older incarnation is refused.
  Duration remember_removed = std::chrono::hours(1);
};

/// Load of an endpoint as its agent reports it.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Part of the KV cache in use, 0 to 1.
  double cache_used = 0;
  double tokens_per_second = 0;
};

/// A heartbeat, sent each 0.5 s.
struct Heartbeat {
  std::string id;
  std::uint64_t incarnation = 0;
  /// Counts up by one from the announcement.
  std::uint64_t sequence = 0;
  /// Time since the sender's start by its own clock, for the delay on the way.
  Duration sent_at{};
  LoadReport load;
};

/// Answer to an announcement or a heartbeat.
enum class ReceiveStatus { kAccepted, kUnknown, kOlderIncarnation, kDuplicate };
inline constexpr EnumTable<ReceiveStatus, 4> kReceiveStatuses{
    {{{ReceiveStatus::kAccepted, "accepted"},
      {ReceiveStatus::kUnknown, "unknown"},
      {ReceiveStatus::kOlderIncarnation, "older-incarnation"},
      {ReceiveStatus::kDuplicate, "duplicate"}}}};

/// A change that the process layer acts on.
struct Transition {
  std::string id;
  std::uint64_t incarnation = 0;
  Health health = Health::kAlive;
  Cause cause = Cause::kNone;
  /// Whether new work may go there.
  bool routable = true;
  /// Record to propose: EndpointJoined, EndpointLeft, ProcessStarted or ProcessLeft.
  std::optional<config::Record> record;
};

/// One agent or entry process.
struct Peer {
  std::uint64_t incarnation = 0;
  std::string failure_domain;
  Health health = Health::kAlive;
  Cause cause = Cause::kNone;
  bool routable = true;
  TimePoint last_heard{};
  /// Last sign of life by another way: an answer of the engine, a relay by another process.
  TimePoint last_indirect_contact{};
  bool connection_closed = false;
  TimePoint closed_at{};
  std::uint64_t sequence = 0;
  /// Smallest difference of arrival and sending seen; the base for delays.
  std::optional<Duration> min_transit;
  std::uint32_t timely_heartbeats = 0;
  LoadReport load;
  std::optional<config::Record> join_record;
};

/// Liveness of the agents whose home is this entry process, and of the other entry processes.
class Registry {
 public:
  explicit Registry(RegistryOptions options = {}) : options_(options) {}

  struct Answer {
    ReceiveStatus status = ReceiveStatus::kAccepted;
    std::vector<Transition> transitions;
  };

  /// An agent announces its endpoint.
  Answer Announce(const config::EndpointJoined& endpoint, TimePoint now);
  /// Takes an endpoint over from committed configuration when this process becomes its home; it
  /// has the full time until removal to be heard from.
  void Adopt(const config::EndpointJoined& endpoint, TimePoint now);
  /// Forgets an endpoint whose home is another process now.
  void Release(const std::string& id);
  /// Heartbeat of an agent. kUnknown asks the agent to announce itself again.
  Answer OnHeartbeat(const Heartbeat& heartbeat, TimePoint now);
  /// An agent leaves as planned.
  Answer Leave(const std::string& id, std::uint64_t incarnation, const std::string& reason,
               TimePoint now);
  /// The connection of an agent or process was closed or refused.
  std::vector<Transition> ConnectionClosed(const std::string& id, std::uint64_t incarnation,
                                           TimePoint now);
  /// The endpoint answered a request, or another process heard from it.
  void RecordIndirectContact(const std::string& id, TimePoint now);

  /// An entry process starts, or its home connection is back.
  Answer AnnounceProcess(const config::ProcessStarted& process, TimePoint now);
  Answer OnProcessHeartbeat(const Heartbeat& heartbeat, TimePoint now);

  /// Passes time. Call it each 0.1 s or so.
  std::vector<Transition> Tick(TimePoint now);

  /// Null if it is not known.
  const Peer* FindEndpoint(const std::string& id) const;
  const Peer* FindProcess(const std::string& id) const;
  const std::map<std::string, Peer>& endpoints() const { return endpoints_; }
  const std::map<std::string, Peer>& processes() const { return processes_; }
  /// Whether nobody is heard from, so that this process itself seems to be cut off. It then removes
  /// nobody.
  bool isolated() const { return isolated_; }

 private:
  using Peers = std::map<std::string, Peer>;

  Answer Enter(Peers& peers, const std::string& id, std::uint64_t incarnation,
               const std::string& domain, const config::Record& join_record, TimePoint now);
  Answer Hear(Peers& peers, const Heartbeat& heartbeat, TimePoint now);
  void TickPeers(Peers& peers, bool is_process, TimePoint now, std::vector<Transition>& out);
  /// Sets health and cause, derives whether new work may go there, and reports a change.
  void Update(const std::string& id, Peer& peer, Health health, Cause cause, bool is_process,
              TimePoint now, std::vector<Transition>& out);
  void Remove(const std::string& id, Peer& peer, bool is_process, Cause cause,
              const std::string& reason, TimePoint now, std::vector<Transition>& out);
  bool MayRoute(const Peer& peer, bool is_process, TimePoint now) const;
  bool Silent(const Peer& peer, TimePoint now) const;
  bool AllSilent(const Peers& peers, TimePoint now) const;

  RegistryOptions options_;
  Peers endpoints_;
  Peers processes_;
  std::optional<TimePoint> last_tick_;
  bool isolated_ = false;
};

/// Home entry process of an endpoint by rendezvous hash; empty if there is none.
std::string FindHomeProcess(const std::string& endpoint_id,
                            const std::vector<std::string>& processes);

}  // namespace wagtailslip::membership
