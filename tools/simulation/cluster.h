#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "application.h"
#include "checker.h"
#include "fake_disk.h"
#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::simulation {

/// Seeded random numbers (SplitMix64) with the same sequence on every platform.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Next();
  /// Number in [0, bound).
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : Next() % bound; }
  bool Chance(double probability) {
    return static_cast<double>(Next() >> 11) * 0x1.0p-53 < probability;
  }
  Duration Between(Duration min, Duration max);

 private:
  std::uint64_t state_;
};

struct ClusterOptions {
  std::uint64_t seed = 1;
  std::size_t voters = 3;
  std::size_t standbys = 1;
  std::size_t clients = 4;
  Duration delay_min = std::chrono::microseconds(500);
  Duration delay_max = std::chrono::milliseconds(2);
  Duration sync_min = std::chrono::microseconds(500);
  Duration sync_max = std::chrono::milliseconds(5);
  Duration tick = std::chrono::milliseconds(20);
  Duration client_pause = std::chrono::milliseconds(50);
  double drop = 0;
  double duplicate = 0;
  /// Probability that a message is delayed by up to `late_max`.
  double late = 0;
  Duration late_max = std::chrono::seconds(4);
  /// Probability that a process stops between saving its hard state and sending its messages.
  double stop_after_save = 0;
  /// Maximum deviation of a replica's clock rate from that of virtual time, as a fraction.
  double clock_drift = 0.005;
  /// Entries applied between two snapshots; 0 for none.
  std::size_t snapshot_every = 200;
  /// The leader repairs the membership and adds processes that ask to join.
  bool repair = true;
  Duration dead_after = std::chrono::seconds(3);
  agreement::ReplicaConfig replica;
  /// Number of trace lines that are kept; 0 for none.
  std::size_t trace_lines = 0;
};

/// Replicas with a fake network and fake disks, in virtual time. A run is determined by the options
/// and the calls.
class Cluster {
 public:
  struct Node {
    std::string process;
    agreement::ReplicaId id;
    std::unique_ptr<agreement::Replica> replica;
    FakeDisk disk;
    Application application;
    /// Number of starts of the process; events of an earlier start are dropped.
    std::uint64_t start_count = 0;
    double clock_rate = 1.0;
    Duration clock_offset{};
    TimePoint frozen_until = TimePoint::min();
    bool sync_running = false;
    std::uint64_t last_write = 0;
    std::uint64_t elections_seen = 0;
    std::set<Request> pending_requests;
    agreement::Index snapshot_index = 0;
    /// Whether the process asks to join when it is not a member.
    bool joins = true;
  };

  explicit Cluster(ClusterOptions options);

  /// Handles the next event. @return false if there is none
  bool Step();
  void RunFor(Duration span);
  /// Runs until the condition holds; false after `limit`.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // Faults. A process is identified by its position.
  void Crash(std::size_t node);
  void Restart(std::size_t node);
  void Freeze(std::size_t node, Duration span);
  /// Stops the process and erases its disk; the restarted process has a new incarnation.
  void LoseDisk(std::size_t node);
  /// Makes a leader give up its leadership.
  void StepDown(std::size_t node);
  /// True if every membership that may be in force keeps a majority with intact disks after this
  /// loss.
  bool DiskLossIsTolerable(std::size_t node) const;
  /// True if the disk of this identity was lost, so that the identity never returns.
  bool lost(const agreement::ReplicaId& id) const { return lost_identities_.contains(id); }
  void Cut(std::size_t from, std::size_t to) { cut_links_.insert({from, to}); }
  void CutBoth(std::size_t a, std::size_t b);
  void Isolate(std::size_t node);
  void HealLinks() { cut_links_.clear(); }

  /// Position of the replica that holds a lease; nullopt if there is none.
  std::optional<std::size_t> Leader() const;
  bool HasLease(std::size_t node) const;
  const Node& node(std::size_t i) const { return *nodes_[i]; }
  std::size_t size() const { return nodes_.size(); }
  bool up(std::size_t i) const { return nodes_[i]->replica != nullptr; }
  std::size_t Find(const std::string& process) const;
  TimePoint now() const { return now_; }
  std::uint64_t events() const { return events_; }
  std::uint64_t messages() const { return messages_; }
  const Checker& checker() const { return checker_; }
  ClusterOptions& options() { return options_; }
  Random& random() { return random_; }
  const std::deque<std::string>& trace() const { return trace_; }
  void Trace(const std::string& line);
  /// One line with the state of each process, for failure reports.
  std::string Describe(std::size_t node) const;
  agreement::ProposeStatus ChangeMembership(std::size_t node,
                                            const agreement::MembershipChange& change);

 private:
  enum class EventKind : std::uint8_t { kMessage, kTick, kSynced, kClient, kAnswer, kRepair };
  struct Event {
    EventKind kind;
    std::size_t node = 0;
    std::uint64_t start_count = 0;
    std::uint64_t number = 0;
    agreement::Message message;
  };
  struct QueuedEvent {
    TimePoint at;
    std::uint64_t sequence;
    std::size_t slot;
    bool operator>(const QueuedEvent& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Client {
    std::uint64_t sequence = 0;
    bool waiting = false;
    std::size_t target = 0;
    TimePoint deadline{};
  };

  void Start(std::size_t node);
  TimePoint LocalTime(const Node& node) const;
  bool IsUnresponsive(std::size_t node) const;
  bool QuorumSurvivesLoss(const agreement::Membership& membership, std::size_t node) const;
  void Schedule(TimePoint at, Event event);
  void HandleEffects(std::size_t node, agreement::Effects effects);
  void SendMessage(std::size_t from, agreement::Message message);
  void StartSync(std::size_t node);
  void ApplyEffects(std::size_t node, const agreement::Effects& effects);
  void MaybeSnapshot(std::size_t node);
  void OnClient(std::size_t client);
  void RepairMembership(std::size_t node);
  void CheckInvariants(std::size_t node);

  ClusterOptions options_;
  Random random_;
  TimePoint now_{};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::size_t> positions_;
  std::vector<Client> clients_;
  std::priority_queue<QueuedEvent, std::vector<QueuedEvent>, std::greater<>> queue_;
  std::vector<Event> slots_;
  std::vector<std::size_t> free_slots_;
  std::uint64_t next_sequence_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::set<agreement::ReplicaId> lost_identities_;
  Checker checker_;
  std::uint64_t events_ = 0;
  std::uint64_t messages_ = 0;
  std::deque<std::string> trace_;
};

}  // namespace wagtailslip::simulation
