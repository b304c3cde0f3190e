#include <algorithm>
#include <functional>
#include <tuple>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::agreement {
namespace {

/// SplitMix64: a small generator with the same sequence on every standard library.
std::uint64_t NextRandom(std::uint64_t& state) {
  std::uint64_t z = state += 0x9e3779b97f4a7c15ULL;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
  return z ^ z >> 31;
}

}  // namespace

void Replica::ResetElectionDeadline(TimePoint now, Duration min, Duration max) {
  const auto span = static_cast<std::uint64_t>((max - min).count()) + 1;
  const auto extra = static_cast<Duration::rep>(NextRandom(random_state_) % span);
  election_deadline_ = now + min + Duration(extra);
}

bool Replica::HasRecentLeaderContact(TimePoint now) const {
  if (role_ == Role::kLeader) return HasLease(now);
  return now < leader_heard_at_ + config_.election_min;
}

void Replica::OnLeaderMessage(const Message& m, TimePoint sent_at, TimePoint now) {
  WTS_INVARIANT(role_ != Role::kLeader);
  WTS_INVARIANT(!leader_ || *leader_ == m.from);
  role_ = Role::kFollower;
  leader_ = m.from;
  leader_seen_since_start_ = true;
  leader_heard_at_ = now;
  leader_sent_at_ = std::max(leader_sent_at_, sent_at);
  ResetElectionDeadline(now, config_.election_min, config_.election_max);
}

void Replica::SetVote(const ReplicaId& candidate) {
  WTS_INVARIANT(!vote_ || *vote_ == candidate);
  vote_ = candidate;
}

void Replica::BecomeFollower(Term term, std::optional<ReplicaId> leader, TimePoint now) {
  WTS_INVARIANT(term >= term_);
  if (role_ == Role::kLeader) ++counters_.step_downs;
  if (term > term_) {
    term_ = term;
    vote_.reset();
  }
  role_ = Role::kFollower;
  leader_ = std::move(leader);
  leader_match_ = 0;
  leader_sent_at_ = TimePoint{};
  acknowledgement_due_ = false;
  progress_.clear();
  voter_progress_.clear();
  unconfirmed_change_.reset();
  votes_.clear();
  ResetElectionDeadline(now, config_.election_min, config_.election_max);
}

Effects Replica::StepDown(TimePoint now) {
  if (role_ == Role::kLeader) {
    BecomeFollower(term_, std::nullopt, now);
    ResetElectionDeadline(now, 2 * config_.election_max, 3 * config_.election_max);
  }
  return TakeEffects();
}

void Replica::Campaign(ElectionQuorum election_quorum, bool pre_vote, TimePoint now) {
  election_quorum_ = election_quorum;
  const bool after_restart = election_quorum == ElectionQuorum::kAllVotersAfterRestart;
  if (pre_vote) {
    ++counters_.pre_campaigns;
    role_ = Role::kPreCandidate;
  } else {
    ++counters_.campaigns;
    role_ = Role::kCandidate;
    ++term_;
    vote_.reset();
    SetVote(config_.id);
  }
  leader_.reset();
  leader_match_ = 0;
  leader_sent_at_ = TimePoint{};
  acknowledgement_due_ = false;
  votes_ = {config_.id};
  // A pre-vote of an election by all voters does not delay the next majority election.
  if (!after_restart || !pre_vote) {
    ResetElectionDeadline(now, config_.retry_min, config_.retry_max);
  }
  if (HasWonElection()) {
    if (pre_vote) {
      Campaign(election_quorum, false, now);
    } else {
      BecomeLeader(now);
    }
    return;
  }
  const Term term = pre_vote ? term_ + 1 : term_;
  for (const auto& [id, role] : membership_.members()) {
    const bool promoted = pending_change_ && ChangeAt(*pending_change_).id == id;
    if (id == config_.id || (role != MemberRole::kVoter && !promoted)) continue;
    SendWithTerm(id, term, VoteRequest{pre_vote, log_.last(), log_.last_term(), after_restart});
  }
}

bool Replica::IsElectable() const {
  if (membership_.IsVoter(config_.id)) return true;
  // The standby of a pending replacement may be the only electable replica: with the longest log,
  // it refuses its vote to all others.
  const auto after = MembershipAfterReplacement();
  return after && after->IsVoter(config_.id);
}

bool Replica::MayStartRestartElection() const {
  // Does not interrupt a majority election that is in progress.
  const bool idle =
      role_ == Role::kFollower ||
      (role_ == Role::kPreCandidate && election_quorum_ == ElectionQuorum::kAllVotersAfterRestart);
  return idle && !leader_seen_since_start_ && IsElectable();
}

bool Replica::HasWonElection() const {
  if (election_quorum_ == ElectionQuorum::kAllVotersAfterRestart) {
    // A leader whose lease may still be valid is one of these voters. If it grants its vote without
    // having led or heard from a leader since its start, the restart ended its lease; otherwise it
    // refuses while the lease may be valid.
    const auto all_voted = [this](const Membership& membership) {
      const auto& members = membership.members();
      return std::all_of(members.begin(), members.end(), [this](const auto& member) {
        return member.second != MemberRole::kVoter || votes_.contains(member.first);
      });
    };
    return all_voted(membership_) && all_voted(MembershipAfterPendingChange());
  }
  const auto majority = [this](const Membership& membership) {
    const auto votes = std::count_if(votes_.begin(), votes_.end(),
                                     [&](const ReplicaId& id) { return membership.IsVoter(id); });
    return static_cast<std::size_t>(votes) >= membership.quorum();
  };
  // A majority of the voters before a replacement and a majority of the voters after it may be
  // disjoint. Until the replacement is known to be committed, a leader needs both.
  const auto after = MembershipAfterReplacement();
  return majority(membership_) && (!after || majority(*after));
}

void Replica::OnVoteRequest(const Message& m, const VoteRequest& request, TimePoint now) {
  const bool both_restarted = request.after_restart && !leader_seen_since_start_;
  const bool lease_may_hold = !both_restarted && HasRecentLeaderContact(now);
  if (lease_may_hold) ++counters_.votes_refused_by_lease;
  if (!request.pre_vote && m.term > term_ && !lease_may_hold)
    BecomeFollower(m.term, std::nullopt, now);
  const bool up_to_date =
      std::pair(request.last_term, request.last_index) >= std::pair(log_.last_term(), log_.last());
  bool granted = !lease_may_hold && up_to_date;
  if (request.pre_vote) {
    granted = granted && m.term > term_;
    // All voters start this pre-vote at about the same time. Each grants it only to candidates that
    // rank above itself, so that only one can get all votes.
    if (request.after_restart && IsElectable()) {
      granted = granted && std::tuple(request.last_term, request.last_index, m.from) >
                               std::tuple(log_.last_term(), log_.last(), config_.id);
    }
  } else {
    granted =
        granted && m.term == term_ && role_ == Role::kFollower && (!vote_ || *vote_ == m.from);
    if (granted) {
      SetVote(m.from);
      ResetElectionDeadline(now, config_.election_min, config_.election_max);
    }
  }
  SendWithTerm(m.from, granted ? m.term : term_, VoteReply{request.pre_vote, granted});
}

void Replica::OnVoteReply(const Message& m, const VoteReply& reply, TimePoint now) {
  const bool current = reply.pre_vote ? role_ == Role::kPreCandidate && m.term == term_ + 1
                                      : role_ == Role::kCandidate && m.term == term_;
  if (!current || !reply.granted) return;
  votes_.insert(m.from);
  if (!HasWonElection()) return;
  if (reply.pre_vote) {
    Campaign(election_quorum_, false, now);
  } else {
    BecomeLeader(now);
  }
}

void Replica::BecomeLeader(TimePoint now) {
  WTS_INVARIANT(role_ == Role::kCandidate);
  ++counters_.elections_won;
  role_ = Role::kLeader;
  leader_ = config_.id;
  leader_seen_since_start_ = true;
  elected_at_ = now;
  votes_.clear();
  progress_.clear();
  RefreshProgress();
  term_start_ = log_.last() + 1;
  AppendEntry(EntryKind::kNoOp, {});
  Broadcast(now);
}

TimePoint Replica::QuorumLastContact(TimePoint now) const {
  // Called for each proposal, so it selects one element instead of sorting all contacts.
  std::vector<TimePoint> contacts;
  contacts.reserve(membership_.voter_count());
  if (membership_.IsVoter(config_.id)) contacts.push_back(now);
  for (const auto& [id, progress] : voter_progress_) contacts.push_back(progress->last_contact);
  const std::size_t quorum = membership_.quorum();
  if (contacts.size() < quorum) return TimePoint::min();
  std::nth_element(contacts.begin(), contacts.begin() + static_cast<std::ptrdiff_t>(quorum - 1),
                   contacts.end(), std::greater<>());
  return contacts[quorum - 1];
}

bool Replica::HasLease(TimePoint now) const {
  // A leader that is not known to be a voter holds no lease, because other voters may not count it
  // as a voter and may elect another leader without it.
  if (role_ != Role::kLeader || !membership_.IsVoter(config_.id)) return false;
  const TimePoint contact = QuorumLastContact(now);
  const bool held =
      contact != TimePoint::min() && now < contact + config_.lease - config_.lease_margin;
  WTS_INVARIANT(!held || (leader_ && *leader_ == config_.id));
  return held;
}

}  // namespace wagtailslip::agreement
