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
  Duration heartbeat = std::chrono::milliseconds(150);
  /// Heartbeat of members without a vote, which do not count for the lease.
  Duration learner_heartbeat = std::chrono::milliseconds(500);
  /// Smallest time between two messages that carry only new commits to the same member.
  Duration commit_update_interval = std::chrono::milliseconds(20);
  Duration lease = std::chrono::seconds(1);
  /// The lease ends this much earlier, for clocks that run at different rates: 2% of the lease.
  Duration lease_margin = std::chrono::milliseconds(20);
  /// Votes are refused for `election_min` after the leader was heard. Not below `lease`.
  Duration election_min = std::chrono::seconds(1);
  Duration election_max = std::chrono::seconds(2);
  /// Time until a candidate without a majority tries again.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::milliseconds(300);
  /// Time between two attempts at an election by all voters after all of them were restarted. A few
  /// round trips.
  Duration restart_election_interval = std::chrono::milliseconds(40);
  /// Entries in one request; a member far behind gets more, within `max_batch_bytes`.
  std::size_t max_batch_entries = 1024;
  std::size_t max_batch_bytes = 1024UL * 1024;
  /// Entries sent to a member and not yet acknowledged.
  std::size_t max_unacknowledged = 4096;
  /// Proposals beyond this many bytes or entries without a commit are refused.
  std::size_t max_uncommitted_entries = 16384;
  std::size_t max_uncommitted_bytes = 16UL * 1024 * 1024;
  std::size_t max_entry_bytes = 8UL * 1024 * 1024;
  std::size_t snapshot_part_bytes = 256UL * 1024;
  /// Entries kept behind a snapshot for members that are only a little behind.
  std::size_t retained_entries = 256;
};

/// What the caller does after a call, in this order:
/// 1. sync `hard_state`; 2. send `messages`; 3. save `install`, truncate, append and sync;
/// 4. pass `write` to Persisted. Steps 3 of several calls may share one sync. `messages` never
/// wait for step 3, and never overtake the `hard_state` of an earlier call.
struct Effects {
  std::optional<HardState> hard_state;
  std::vector<Message> messages;
  /// A snapshot received from the leader: replaces the application's state and the log up to it.
  std::shared_ptr<const Snapshot> install;
  std::optional<Index> truncate_from;
  std::vector<Entry> append;
  /// Number of the write in `install`, `truncate_from` and `append`; 0 if there is none.
  std::uint64_t write = 0;
  /// Newly committed entries in order; applied after `install`.
  std::vector<Entry> committed;
};

/// Answer to a proposal or a membership change.
enum class ProposeStatus {
  kAccepted,
  kConfirming,  ///< The change is proposed when a majority of the voters after it has answered.
  kNotLeader,
  kNoLease,
  kTooLarge,
  kOverloaded,
  kChangePending,  ///< An earlier change of the voters, or the term's first entry, is uncommitted.
  kNotCaughtUp,    ///< The standby has not synced what the leader has committed.
  kUnknownMember,
  kAlreadyMember,
  kLastVoter,
  kRemovesLeader,  ///< The leader leaves only after StepDown, by its successor's change.
  kQuorumAtRisk,   ///< Too few of the voters after the change answer.
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
  /// Position of the first entry if accepted. The proposal is committed only if the entry that is
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

/// One replica of the log: elections with pre-vote and check quorum, a leader lease, replication,
/// snapshots and membership changes. It decides only; the caller persists and sends.
class Replica {
 public:
  /// @param state what LogStore recovered, or BootstrapState, or an empty state for a new member
  /// @param seed randomises election timeouts
  /// @param now start time; votes are refused for `election_min` after it, because the replica may
  ///     have acknowledged a leader's lease just before it stopped
  /// @throws AgreementError if the configuration or the state contradicts itself
  Replica(ReplicaConfig config, PersistentState state, std::uint64_t seed, TimePoint now);

  Effects Step(const Message& message, TimePoint now);
  /// Call every 10 to 50 ms.
  Effects Tick(TimePoint now);
  ProposeResult Propose(std::string data, TimePoint now);
  /// Proposes several entries that share one broadcast.
  ProposeResult ProposeBatch(std::vector<std::string> batch, TimePoint now);
  /// The write with this number, and all before it, are synced.
  Effects Persisted(std::uint64_t write, TimePoint now);
  /// Proposes a change. Changes of the voters go one at a time, and only after a majority of the
  /// voters after the change has answered a new request: a voter or standby that stopped a moment
  /// ago must not be counted on.
  ProposeResult ChangeMembership(const MembershipChange& change, TimePoint now);
  /// Gives up leadership and does not campaign for twice the longest election timeout, so that
  /// another voter leads. For a planned stop.
  Effects StepDown(TimePoint now);
  /// Takes the application's state after `index`, which is committed, and drops older entries
  /// from memory. The caller saves the snapshot with LogStore::SaveSnapshot.
  std::shared_ptr<const Snapshot> Compact(Index index, std::string data);
  /// The next change that restores `target_voters` voters: a standby that has caught up replaces a
  /// voter that was silent for `dead_after`, or becomes a further voter. Nothing if this replica
  /// does not lead or no change helps.
  std::optional<MembershipChange> PlanRepair(std::size_t target_voters, Duration dead_after,
                                             TimePoint now) const;

  /// True while no other replica can lead.
  bool HasLease(TimePoint now) const;
  /// Position up to which a read must be applied to see every committed entry; nothing without a
  /// lease or before the term's first commit.
  std::optional<Index> ReadIndex(TimePoint now) const;
  /// Whether an entry of the current term is committed here, and with it all that was committed
  /// before. After a restart it is not known at first which entries of the log are committed.
  bool CommittedInTerm() const { return commit_ > 0 && log_.TermAt(commit_) == term_; }
  Role role() const { return role_; }
  Term term() const { return term_; }
  const std::optional<ReplicaId>& leader() const { return leader_; }
  const ReplicaId& id() const { return config_.id; }
  Index commit_index() const { return commit_; }
  Index last_index() const { return log_.last(); }
  Index persisted_index() const { return persisted_; }
  /// The members now. A change of the voters takes effect when it is committed, because a change
  /// that cannot be committed must not cost the old voters their quorum. A change of the other
  /// members takes effect when it is in the log.
  const Membership& membership() const { return membership_; }
  /// A change of the voters that is not yet committed.
  std::optional<MembershipChange> pending_change() const;
  const ReplicaCounters& counters() const { return counters_; }
  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }
  const Log& log() const { return log_; }
  /// Replication state of a member, on the leader; null otherwise.
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
  /// Kind of an election.
  enum class Electorate {
    /// A majority; each voter has heard no leader for `election_min`.
    kMajority,
    /// All voters; each has heard no leader since its start, or for `election_min`.
    kAllAfterRestart
  };
  void Campaign(Electorate electorate, bool pre_vote, TimePoint now);
  void BecomeFollower(Term term, std::optional<ReplicaId> leader, TimePoint now);
  void BecomeLeader(TimePoint now);
  void SetVote(const ReplicaId& candidate);
  void ResetElectionDeadline(TimePoint now, Duration least, Duration most);
  bool HeardLeaderRecently(TimePoint now) const;
  void HeardLeader(const Message& m, TimePoint sent_at, TimePoint now);
  /// The members once the pending replacement is committed; nothing if none is pending.
  std::optional<Membership> AfterReplacement() const;
  /// A voter, or the standby of a pending replacement.
  bool MayLead() const;
  bool MayAskAllVoters() const;
  bool Elected() const;
  /// The voters once the pending change is committed.
  Membership AfterPendingChange() const;
  TimePoint QuorumContact(TimePoint now) const;
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
  bool HasRoom(const Progress& progress) const {
    return progress.next - progress.match <= config_.max_unacknowledged;
  }
  void FeedMember(const ReplicaId& to, Progress& progress, TimePoint now);
  Index MajorityMatch(const Membership& membership) const;
  void MaybeCommit(TimePoint now);
  void CommitTo(Index index);
  // Snapshots.
  void OnSnapshotPart(const Message& m, const SnapshotPart& part, TimePoint now);
  void OnSnapshotReply(const Message& m, const SnapshotReply& reply, TimePoint now);
  void SendSnapshotPart(const ReplicaId& to, Progress& progress, TimePoint now);
  void Install();
  // Membership.
  void NoteMembershipEntry(Index index);
  void RebuildMembership();
  Membership MembershipAt(Index index) const;
  void RefreshProgress();
  bool ChangesVoters(const MembershipChange& change) const;
  void ApplyPendingChange();
  MembershipChange ChangeAt(Index index) const;
  bool KeepsQuorum(const MembershipChange& change, TimePoint since) const;
  void ProposeChange(const MembershipChange& change, TimePoint now);
  void ContinueChange(TimePoint now);
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
  /// Entries up to here are on this replica's disk.
  Index persisted_ = 0;
  std::uint64_t next_write_ = 1;
  std::deque<PendingWrite> pending_writes_;
  std::size_t uncommitted_bytes_ = 0;

  /// Membership at the snapshot, or empty at index 0.
  Index base_index_ = 0;
  Membership base_membership_;
  Membership membership_;
  /// Index of a change of the voters that is in the log and not yet in `membership_`.
  std::optional<Index> pending_change_;
  Index committed_change_ = 0;
  /// Indexes of the membership entries after the base.
  std::deque<Index> change_indexes_;

  std::uint64_t random_state_;
  TimePoint heard_at_;
  TimePoint election_deadline_;
  std::set<ReplicaId> votes_;
  Electorate electorate_ = Electorate::kMajority;
  /// A leader was heard, or this replica led, since its start.
  bool led_since_start_ = false;
  TimePoint restart_poll_at_;

  // Follower.
  /// Entries up to here match the leader of this term.
  Index verified_ = 0;
  TimePoint echo_{};
  bool acknowledgement_due_ = false;
  IncomingSnapshot incoming_;

  // Leader.
  std::map<ReplicaId, Progress> progress_;
  /// The voters in progress_ without this replica. The lease and the commit index look only at
  /// these, so that hundreds of learners cost nothing per message.
  std::vector<std::pair<const ReplicaId*, Progress*>> voter_progress_;
  TimePoint elected_at_{};
  Index term_start_ = 0;
  std::optional<std::pair<MembershipChange, TimePoint>> confirming_;

  Effects out_;
  ReplicaCounters counters_;
};

}  // namespace wagtailslip::agreement
