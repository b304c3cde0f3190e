#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/agreement/replica.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/disk/log_store.h"
#include "wagtailslip/serving/crash_verdicts.h"
#include "wagtailslip/serving/drained_domains.h"

namespace wagtailslip::control {

/// Command in the control log: a new service configuration, a new weights target for a model, the
/// blocks of the retry budget that may be in use, a verdict on what ends endpoints, or the drain of
/// a failure domain.
struct Command {
  /// Version of the service configuration; 0 if the command sets a weights target.
  std::int64_t config_version = 0;
  /// Service configuration, compressed with CompressConfig.
  std::string config_body;
  std::string model;
  std::int64_t weights_version = 0;
  /// When the operator named the weights version; UTC, milliseconds since the epoch.
  std::int64_t named_utc_ms = 0;
  std::optional<int> retry_blocks;
  std::optional<serving::CrashVerdict> crash_verdict;
  std::optional<serving::DomainDrain> domain_drain;
};

/// A weights version that an operator named as the one to serve.
struct WeightsTarget {
  std::int64_t version = 0;
  /// When it was named; UTC, milliseconds since the epoch. Lets a restarted process compute the age
  /// of the version.
  std::int64_t named_utc_ms = 0;
  /// The same time on the monotonic clock of this process.
  TimePoint named_at{};
};

/// State of the state machine that the control log replicates: the result of all applied commands.
struct ReplicatedState {
  std::int64_t config_version = 0;
  /// Compressed, as in Command.
  std::string config_body;
  /// The most recent targets of each model, oldest first. A superseded target is kept because its
  /// propagation bound still applies.
  std::map<std::string, std::vector<WeightsTarget>> targets;
  /// Blocks of the retry budget that may be in use, see serving::RetryAllocator.
  int retry_blocks = 0;
  serving::CrashVerdictList crash_verdicts;
  serving::DrainedDomains drained_domains;
};

/// Compresses a configuration for the log and for links to other processes. Compression matters
/// because each process receives a copy over links that requests also use.
std::string CompressConfig(std::string_view body);
/// Reverses CompressConfig.
/// @throws codec::CodecError if the data is corrupt
std::string DecompressConfig(std::string_view packed);

/// Replicated log of the control processes with its disk storage. Runs on one thread.
class ControlLog {
 public:
  struct Callbacks {
    std::function<void(const agreement::Message&)> send;
    /// Arranges for Flush to run after the current event handler.
    std::function<void()> schedule_flush;
    /// Called after state() has changed.
    std::function<void()> on_change;
    std::function<UtcTime()> utc_now;
  };
  /// Called once: with true if the command is committed, with false if it is rejected or
  /// its outcome is not known in time.
  using CommitCallback = std::function<void(bool committed)>;

  /// @throws disk::DiskError, agreement::AgreementError
  ControlLog(const deployment::NodeSettings& settings,
             const std::vector<std::string>& initial_voters, Callbacks callbacks,
             std::int64_t incarnation, TimePoint now);

  void Tick(TimePoint now);
  void OnMessage(const agreement::Message& message, TimePoint now);
  /// Handles a process that is not a member and asks to join: the leader adds it as a standby.
  void OnJoinRequest(const agreement::ReplicaId& id, TimePoint now);
  void Propose(const Command& command, CommitCallback done, TimePoint now);
  /// Proposes queued commands, syncs pending writes to disk and reports them as persisted.
  void Flush(TimePoint now);
  /// Gives up leadership before a planned stop.
  void StepDown(TimePoint now);

  /// Whether this process is the leader and holds a valid lease.
  bool HasLeaderLease(TimePoint now) const;
  /// Whether this process can serve linearizable reads: its applied state includes every
  /// acknowledged command.
  bool CanServeReads(TimePoint now) const;
  /// Whether the applied state includes everything that was committed before the current term. If
  /// false, the state may be far behind.
  bool CaughtUp() const { return replica_->CommittedInTerm(); }
  /// The newest configuration that was on disk at startup, until it is known whether it was
  /// committed; version 0 afterwards. It may be uncommitted, so use it only to find the sources of
  /// weights.
  const Command& recovered_config() const { return recovered_config_; }
  /// Id of the leader's process; empty if no leader is known.
  std::string Leader() const;
  /// Replica id to join the log with; nullopt while this process is a member in contact with a
  /// leader, or leads itself.
  std::optional<agreement::ReplicaId> IdToJoin(TimePoint now) const;
  const ReplicatedState& state() const { return state_; }
  const agreement::Replica& replica() const { return *replica_; }
  const disk::LogStoreCounters& disk_counters() const { return store_->counters(); }

 private:
  struct PendingProposal {
    agreement::Term term = 0;
    TimePoint deadline{};
    CommitCallback done;
  };

  void HandleEffects(agreement::Effects effects, TimePoint now);
  void Apply(const agreement::Entry& entry, TimePoint now);
  void ApplyTarget(const std::string& model, std::int64_t version, std::int64_t named_utc_ms,
                   TimePoint now);
  void ApplyCommand(const Command& command, TimePoint now);
  void ApplyDrain(const serving::DomainDrain& drain, TimePoint now);
  /// Time on the monotonic clock of an event at a wall-clock time, which a restarted process may
  /// learn of long after it; not later than `now`.
  TimePoint MonotonicTimeOf(std::int64_t utc_ms, TimePoint now) const;
  void Restore(const std::string& snapshot, TimePoint now);
  void ExpirePending(TimePoint now);
  void RepairMembership(TimePoint now);
  /// Next membership change towards the target number of voters. All processes are voters, so that
  /// the log stays available while more than half of them run; a dead voter is replaced by a
  /// standby that has caught up.
  std::optional<agreement::MembershipChange> PlanRepair(TimePoint now);
  void Compact(TimePoint now);

  std::string process_;
  Callbacks callbacks_;
  std::unique_ptr<disk::LogStore> store_;
  std::unique_ptr<agreement::Replica> replica_;
  ReplicatedState state_;
  Command recovered_config_;
  /// Position of recovered_config_ in the log.
  agreement::Index recovered_index_ = 0;
  agreement::Index applied_ = 0;
  std::uint64_t last_write_ = 0;
  std::uint64_t persisted_write_ = 0;
  bool flush_scheduled_ = false;
  std::vector<std::pair<std::string, CommitCallback>> queued_;
  std::map<agreement::Index, PendingProposal> pending_;
  agreement::Role last_role_ = agreement::Role::kFollower;
  TimePoint last_leader_contact_{};
  TimePoint leader_since_{};
  TimePoint next_repair_at_{};
  /// Largest number of voters, or of processes responsive at the same time, seen since this process
  /// became leader.
  std::size_t target_voters_ = 0;
  std::uint64_t applied_since_snapshot_ = 0;
  std::size_t bytes_since_snapshot_ = 0;
};

}  // namespace wagtailslip::control
