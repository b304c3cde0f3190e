#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/agreement/log.h"
#include "wagtailslip/agreement/message.h"
#include "wagtailslip/agreement/progress.h"
#include "wagtailslip/agreement/types.h"
#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::agreement {

/// Role of a replica.
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };
inline constexpr EnumTable<Role, 4> kRoles{{{{Role::kFollower, "follower"},
                                             {Role::kPreCandidate, "pre-candidate"},
                                             {Role::kCandidate, "candidate"},
                                             {Role::kLeader, "leader"}}}};

struct ReplicaConfig {
  ReplicaId id;
  /// Heartbeat interval for voters.
  Duration heartbeat = std::chrono::milliseconds(150);
  /// Heartbeat interval for non-voting members, which do not count for the lease.
  Duration learner_heartbeat = std::chrono::milliseconds(500);
  /// Minimum time between two messages to the same member that are sent only because the commit
  /// index advanced.
  Duration commit_update_interval = std::chrono::milliseconds(20);
  Duration lease = std::chrono::seconds(1);
  /// The leader ends its lease this much earlier, because clocks run at different rates: 2% of the
  /// lease.
  Duration lease_margin = std::chrono::milliseconds(20);
  /// Shortest and longest election timeout. Votes are refused for `election_min` after a message
  /// from the leader, so it must not be below `lease`.
  Duration election_min = std::chrono::seconds(1);
  Duration election_max = std::chrono::seconds(2);
  /// Time until a candidate that was not elected tries again.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::milliseconds(300);
  /// Time between two attempts at an election that needs all votes, after all voters restarted. A
  /// few round trips.
  Duration restart_election_interval = std::chrono::milliseconds(40);
  /// Maximum entries in one request. A member that is far behind gets more, within
  /// `max_batch_bytes`.
  std::size_t max_batch_entries = 1024;
  std::size_t max_batch_bytes = 1024UL * 1024;
  /// Maximum entries sent to a member and not yet acknowledged.
  std::size_t max_unacknowledged = 4096;
  /// Limits on uncommitted entries; proposals beyond them are refused.
  std::size_t max_uncommitted_entries = 16384;
  std::size_t max_uncommitted_bytes = 16UL * 1024 * 1024;
  std::size_t max_entry_bytes = 8UL * 1024 * 1024;
  std::size_t snapshot_part_bytes = 256UL * 1024;
  /// Entries before a snapshot that stay in memory, so that members slightly behind need no
  /// snapshot.
  std::size_t retained_entries = 256;
};

/// Actions that the caller takes after a call, in this order:
/// 1. sync `hard_state`; 2. send `messages`; 3. save the received snapshot `install`, truncate from
/// `truncate_from`, append `append`, and sync; 4. pass `write` to Persisted. Step 3 of several
/// calls may share one sync. Sending `messages` never waits for step 3, because messages
/// acknowledge, and the leader counts for itself, only entries that were reported to Persisted. It
/// never precedes the sync of an earlier call's `hard_state`.
struct Effects {
  std::optional<HardState> hard_state;
  std::vector<Message> messages;
  /// A snapshot received from the leader. It replaces the application state and the log up to its
  /// index.
  std::shared_ptr<const Snapshot> install;
  std::optional<Index> truncate_from;
  std::vector<Entry> append;
  /// Number of the write in `install`, `truncate_from` and `append`; 0 if there is none.
  std::uint64_t write = 0;
  /// Newly committed entries in log order, to be applied after `install`.
  std::vector<Entry> committed;
};

/// Result of a proposal or a membership change.
enum class ProposeStatus {
  kAccepted,
  kConfirming,  ///< Not yet proposed: waits for replies of a majority of the resulting voter set.
  kNotLeader,
  kNoLease,
  kTooLarge,
  kOverloaded,
  kChangePending,  ///< An earlier voter change, or the term's first entry, is not committed.
  kNotCaughtUp,    ///< The standby has not synced all committed entries.
  kUnknownMember,
  kAlreadyMember,
  kLastVoter,
  kRemovesLeader,  ///< A leader cannot remove itself; StepDown lets the next leader do it.
  kQuorumAtRisk,   ///< Too few of the resulting voters reply.
};
inline constexpr EnumTable<ProposeStatus, 13> kProposeStatuses{{{
    {ProposeStatus::kAccepted, "accepted"},
    {ProposeStatus::kConfirming, "confirming"},
    {ProposeStatus::kNotLeader, "not-leader"},
    {ProposeStatus::kNoLease, "no-lease"},
    {ProposeStatus::kTooLarge, "too-large"},
    {ProposeStatus::kOverloaded, "overloaded"},
    {ProposeStatus::kChangePending, "change-pending"},
    {ProposeStatus::kNotCaughtUp, "not-caught-up"},
    {ProposeStatus::kUnknownMember, "unknown-member"},
    {ProposeStatus::kAlreadyMember, "already-member"},
    {ProposeStatus::kLastVoter, "last-voter"},
    {ProposeStatus::kRemovesLeader, "removes-leader"},
    {ProposeStatus::kQuorumAtRisk, "quorum-at-risk"},
}}};

struct ProposeResult {
  ProposeStatus status = ProposeStatus::kNotLeader;
  /// Index of the first proposed entry if accepted. The proposal is committed only if the entry
  /// committed at this index has `term`.
  Index first_index = 0;
  Term term = 0;
  Effects effects;
};

/// Counts since the start of the replica.
struct ReplicaCounters {
  std::uint64_t pre_campaigns = 0;
  std::uint64_t campaigns = 0;
  std::uint64_t elections_won = 0;
  std::uint64_t step_downs = 0;
  std::uint64_t votes_refused_by_lease = 0;
  std::uint64_t append_conflicts = 0;
  std::uint64_t snapshots_sent = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t messages_dropped = 0;
};

/// One replica of a Raft-like log: elections with pre-vote and check quorum, a leader lease,
/// replication, snapshots and membership changes. It does no I/O; the caller persists its state and
/// sends its messages.
class Replica {
 public:
  /// @param state what LogStore recovered, or BootstrapState, or an empty state for a new member
  /// @param seed seed of the random election timeouts
  /// @param now start time; votes are refused for `election_min` after it, because the replica may
  ///     have acknowledged a leader's lease just before it stopped
  /// @throws AgreementError if the configuration or the state is inconsistent
  Replica(ReplicaConfig config, PersistentState state, std::uint64_t seed, TimePoint now);

  Effects Step(const Message& message, TimePoint now);
  /// Call every 10 to 50 ms.
  Effects Tick(TimePoint now);
  ProposeResult Propose(std::string data, TimePoint now);
  /// Proposes several entries, which are sent in one round of requests.
  ProposeResult ProposeBatch(std::vector<std::string> batch, TimePoint now);
  /// Reports that the write with this number and all earlier writes are synced.
  Effects Persisted(std::uint64_t write, TimePoint now);
  /// Proposes a membership change. Voter changes are made one at a time, and only after a majority
  /// of the resulting voters has replied to a new request, because a voter or standby may have
  /// stopped since its last reply.
  ProposeResult ChangeMembership(const MembershipChange& change, TimePoint now);
  /// Gives up leadership and does not campaign for at least twice the longest election timeout, so
  /// that another voter becomes leader. For a planned stop.
  Effects StepDown(TimePoint now);
  /// Creates a snapshot from the application state after `index`, which is committed, and drops
  /// older entries from memory except for `retained_entries`. The caller saves the snapshot with
  /// LogStore::SaveSnapshot.
  std::shared_ptr<const Snapshot> Compact(Index index, std::string data);
  /// The next change that restores `target_voters` voters: a standby that has caught up is promoted
  /// if there are too few voters, or else replaces a voter that has not replied for `dead_after`.
  /// Nullopt if this replica is not the leader or no change helps.
  std::optional<MembershipChange> PlanRepair(std::size_t target_voters, Duration dead_after,
                                             TimePoint now) const;

  /// True while this replica leads and no other replica can be leader.
  bool HasLease(TimePoint now) const;
  /// Index that must be applied before a read so that the read sees every committed entry; nullopt
  /// without a lease or before the term's first commit.
  std::optional<Index> ReadIndex(TimePoint now) const;
  /// Whether an entry of the current term is committed here, and with it every entry committed
  /// before. A restarted replica does not know at first which entries of its log are committed.
  bool CommittedInTerm() const { return commit_ > 0 && log_.TermAt(commit_) == term_; }
  Role role() const { return role_; }
  Term term() const { return term_; }
  const std::optional<ReplicaId>& leader() const { return leader_; }
  const ReplicaId& id() const { return config_.id; }
  Index commit_index() const { return commit_; }
  Index last_index() const { return log_.last(); }
  Index persisted_index() const { return persisted_; }
  /// The current members. A voter change takes effect when it is committed, because a change that
  /// cannot be committed must not cost the old voters their quorum. A change of other members takes
  /// effect when it is appended to the log.
  const Membership& membership() const { return membership_; }
  /// The voter change that is in the log and not yet committed.
  std::optional<MembershipChange> pending_change() const;
  const ReplicaCounters& counters() const { return counters_; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }
  const Log& log() const { return log_; }
  /// Replication state of a member if this replica is the leader; null otherwise.
  const Progress* progress(const ReplicaId& id) const;

 private:
  struct PendingWrite {
    std::uint64_t write;
    Index last_index;
  };
  struct IncomingSnapshot {
    Index index = 0;
    Term term = 0;
    Membership membership;
    std::string data;
  };

  // Elections.
  void OnVoteRequest(const Message& m, const VoteRequest& request, TimePoint now);
  void OnVoteReply(const Message& m, const VoteReply& reply, TimePoint now);
  /// Votes that an election needs.
  enum class ElectionQuorum {
    /// A majority of the voters, each of which has heard from no leader for `election_min`.
    kMajority,
    /// All voters, each of which has heard from no leader since its start or for `election_min`.
    kAllVotersAfterRestart
  };
  void Campaign(ElectionQuorum election_quorum, bool pre_vote, TimePoint now);
  void BecomeFollower(Term term, std::optional<ReplicaId> leader, TimePoint now);
  void BecomeLeader(TimePoint now);
  void SetVote(const ReplicaId& candidate);
  void ResetElectionDeadline(TimePoint now, Duration min, Duration max);
  bool HasRecentLeaderContact(TimePoint now) const;
  void OnLeaderMessage(const Message& m, TimePoint sent_at, TimePoint now);
  /// The membership once the pending replacement is committed; nullopt if none is pending.
  std::optional<Membership> MembershipAfterReplacement() const;
  /// Whether this replica is a voter or the standby of a pending replacement.
  bool IsElectable() const;
  bool MayStartRestartElection() const;
  bool HasWonElection() const;
  /// The membership once the pending change is committed.
  Membership MembershipAfterPendingChange() const;
  TimePoint QuorumLastContact(TimePoint now) const;
  // Replication.
  void OnAppendRequest(const Message& m, const AppendRequest& request, TimePoint now);
  void OnAppendReply(const Message& m, const AppendReply& reply, TimePoint now);
  void RejectAppend(const Message& m, const AppendRequest& request);
  void AcknowledgeAppend();
  void AppendEntry(EntryKind kind, std::string data);
  void Store(Entry entry);
  void Truncate(Index from);
  void Broadcast(TimePoint now);
  void SendAppend(const ReplicaId& to, Progress& progress, TimePoint now);
  bool HasWindowSpace(const Progress& progress) const {
    return progress.next - progress.match <= config_.max_unacknowledged;
  }
  void SendIfDue(const ReplicaId& to, Progress& progress, TimePoint now);
  Index MajorityMatch(const Membership& membership) const;
  void MaybeCommit(TimePoint now);
  void CommitTo(Index index);
  // Snapshots.
  void OnSnapshotPart(const Message& m, const SnapshotPart& part, TimePoint now);
  void OnSnapshotReply(const Message& m, const SnapshotReply& reply, TimePoint now);
  void SendSnapshotPart(const ReplicaId& to, Progress& progress, TimePoint now);
  void InstallSnapshot();
  // Membership.
  void OnMembershipEntry(Index index);
  void RebuildMembership();
  Membership MembershipAt(Index index) const;
  void RefreshProgress();
  bool ChangesVoters(const MembershipChange& change) const;
  void ApplyPendingChange();
  MembershipChange ChangeAt(Index index) const;
  /// Whether a majority of the voters after `change`, including the promoted one, has replied to a
  /// request sent at or after `since`.
  bool HasRespondingQuorum(const MembershipChange& change, TimePoint since) const;
  void ProposeChange(const MembershipChange& change, TimePoint now);
  void ProposeIfConfirmed(TimePoint now);
  ProposeStatus CheckStandby(const ReplicaId& id, TimePoint now) const;
  ProposeStatus CheckRemoval(const ReplicaId& id) const;
  ProposeStatus CheckChange(const MembershipChange& change, TimePoint now) const;

  void Send(const ReplicaId& to, MessageBody body);
  void SendWithTerm(const ReplicaId& to, Term term, MessageBody body);
  ProposeStatus CheckProposal(TimePoint now) const;
  Effects TakeEffects();

  ReplicaConfig config_;
  Log log_;
  std::shared_ptr<const Snapshot> snapshot_;
  Term term_ = 0;
  std::optional<ReplicaId> vote_;
  HardState saved_;
  Role role_ = Role::kFollower;
  std::optional<ReplicaId> leader_;
  Index commit_ = 0;
  /// Entries up to this index are synced to this replica's disk.
  Index persisted_ = 0;
  std::uint64_t next_write_ = 1;
  std::deque<PendingWrite> pending_writes_;
  std::size_t uncommitted_bytes_ = 0;

  /// Index and membership of the latest snapshot; 0 and empty without a snapshot.
  Index base_index_ = 0;
  Membership base_membership_;
  Membership membership_;
  /// Index of a voter change that is in the log and not yet in `membership_`.
  std::optional<Index> pending_change_;
  /// Index of the last committed voter change.
  Index committed_change_ = 0;
  /// Indexes of the membership entries after `base_index_`.
  std::deque<Index> change_indexes_;

  std::uint64_t random_state_;
  TimePoint leader_heard_at_;
  TimePoint election_deadline_;
  std::set<ReplicaId> votes_;
  ElectionQuorum election_quorum_ = ElectionQuorum::kMajority;
  /// Whether this replica has led or heard from a leader since its start.
  bool leader_seen_since_start_ = false;
  TimePoint next_restart_election_;

  // Follower.
  /// Entries up to this index match the log of this term's leader.
  Index leader_match_ = 0;
  /// Send time of the leader's newest request, returned in the acknowledgements.
  TimePoint leader_sent_at_{};
  bool acknowledgement_due_ = false;
  IncomingSnapshot incoming_;

  // Leader.
  std::map<ReplicaId, Progress> progress_;
  /// The voters in `progress_`, without this replica. The lease and the commit index use only
  /// these, so that hundreds of learners add no cost per message.
  std::vector<std::pair<const ReplicaId*, Progress*>> voter_progress_;
  TimePoint elected_at_{};
  Index term_start_ = 0;
  /// Voter change that waits for replies of the resulting quorum, and the start of the wait.
  std::optional<std::pair<MembershipChange, TimePoint>> unconfirmed_change_;

  Effects effects_;
  ReplicaCounters counters_;
};

}  // namespace wagtailslip::agreement
