#include <algorithm>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::agreement {

MembershipChange Replica::ChangeAt(Index index) const {
  const auto change = DecodeChange(log_.At(index).data);
  if (!change) {
    throw AgreementError("the membership entry " + std::to_string(index) + " cannot be decoded");
  }
  return *change;
}

std::optional<MembershipChange> Replica::pending_change() const {
  if (!pending_change_) return std::nullopt;
  return ChangeAt(*pending_change_);
}

bool Replica::ChangesVoters(const MembershipChange& change) const {
  return change.kind == ChangeKind::kPromote || change.kind == ChangeKind::kReplace ||
         (change.kind == ChangeKind::kRemove && membership_.IsVoter(change.id));
}

void Replica::OnMembershipEntry(Index index) {
  const MembershipChange change = ChangeAt(index);
  // A leader proposes another voter change, or another change of the same member, only after the
  // pending change is committed. Such an entry in the log therefore proves that the pending change
  // is committed, even after a restart.
  if (pending_change_ && (ChangesVoters(change) || ChangeAt(*pending_change_).Affects(change.id))) {
    ApplyPendingChange();
  }
  if (ChangesVoters(change)) {
    pending_change_ = index;
  } else {
    membership_.Apply(change);
  }
}

void Replica::ApplyPendingChange() {
  committed_change_ = *pending_change_;
  membership_.Apply(ChangeAt(*pending_change_));
  pending_change_.reset();
  if (role_ == Role::kLeader) RefreshProgress();
}

Membership Replica::MembershipAfterPendingChange() const {
  Membership after = membership_;
  if (pending_change_) after.Apply(ChangeAt(*pending_change_));
  return after;
}

std::optional<Membership> Replica::MembershipAfterReplacement() const {
  if (!pending_change_ || ChangeAt(*pending_change_).kind != ChangeKind::kReplace) {
    return std::nullopt;
  }
  return MembershipAfterPendingChange();
}

void Replica::RebuildMembership() {
  while (!change_indexes_.empty() && change_indexes_.back() > log_.last()) {
    change_indexes_.pop_back();
  }
  while (!change_indexes_.empty() && change_indexes_.front() <= base_index_) {
    change_indexes_.pop_front();
  }
  membership_ = base_membership_;
  pending_change_.reset();
  for (const Index index : change_indexes_) OnMembershipEntry(index);
  if (pending_change_ && *pending_change_ <= commit_) ApplyPendingChange();
}

Membership Replica::MembershipAt(Index index) const {
  Membership membership = base_membership_;
  for (const Index i : change_indexes_) {
    if (i > index) break;
    membership.Apply(ChangeAt(i));
  }
  return membership;
}

void Replica::RefreshProgress() {
  voter_progress_.clear();
  std::erase_if(progress_, [this](const auto& member) { return !membership_.Role(member.first); });
  const auto after = MembershipAfterReplacement();
  for (const auto& [id, role] : membership_.members()) {
    if (id == config_.id) continue;
    const auto [it, added] = progress_.try_emplace(id);
    it->second.voter = role == MemberRole::kVoter;
    it->second.counts_for_commit = it->second.voter || (after && after->IsVoter(id));
    if (added) it->second.next = (it->second.voter ? log_.last() : commit_) + 1;
    if (it->second.voter) voter_progress_.emplace_back(&it->first, &it->second);
  }
}

bool Replica::HasRespondingQuorum(const MembershipChange& change, TimePoint since) const {
  Membership after = membership_;
  after.Apply(change);
  std::size_t responding = after.IsVoter(config_.id) ? 1 : 0;
  bool promoted_responds =
      change.kind != ChangeKind::kPromote && change.kind != ChangeKind::kReplace;
  for (const auto& [id, progress] : progress_) {
    if (progress.last_contact < since || !after.IsVoter(id)) continue;
    ++responding;
    promoted_responds = promoted_responds || id == change.id;
  }
  return promoted_responds && responding >= after.quorum();
}

ProposeStatus Replica::CheckStandby(const ReplicaId& id, TimePoint now) const {
  const auto role = membership_.Role(id);
  if (!role) return ProposeStatus::kUnknownMember;
  if (role == MemberRole::kVoter) return ProposeStatus::kAlreadyMember;
  const Progress* standby = progress(id);
  const bool ready = role == MemberRole::kStandby && standby != nullptr &&
                     standby->caught_up_at != TimePoint::min() &&
                     now < standby->caught_up_at + config_.lease;
  return ready ? ProposeStatus::kAccepted : ProposeStatus::kNotCaughtUp;
}

ProposeStatus Replica::CheckRemoval(const ReplicaId& id) const {
  if (!membership_.IsVoter(id)) return ProposeStatus::kUnknownMember;
  // A leader that commits its own removal may be the only replica that knows of the commit. The
  // remaining voters would still need its vote, and its log is longer than theirs.
  return id == config_.id ? ProposeStatus::kRemovesLeader : ProposeStatus::kAccepted;
}

ProposeStatus Replica::CheckChange(const MembershipChange& change, TimePoint now) const {
  const ProposeStatus status = CheckProposal(now);
  if (status != ProposeStatus::kAccepted) return status;
  if (change.id.process.empty()) return ProposeStatus::kUnknownMember;
  if (commit_ < term_start_) return ProposeStatus::kChangePending;
  if (pending_change_ && (ChangesVoters(change) || ChangeAt(*pending_change_).Affects(change.id))) {
    return ProposeStatus::kChangePending;
  }
  const auto role = membership_.Role(change.id);
  ProposeStatus check = ProposeStatus::kAccepted;
  switch (change.kind) {
    case ChangeKind::kAddLearner:
    case ChangeKind::kAddStandby:
      return role ? ProposeStatus::kAlreadyMember : ProposeStatus::kAccepted;
    case ChangeKind::kRemove:
      if (!role) return ProposeStatus::kUnknownMember;
      if (role != MemberRole::kVoter) return ProposeStatus::kAccepted;
      if (membership_.voter_count() == 1) return ProposeStatus::kLastVoter;
      check = CheckRemoval(change.id);
      break;
    case ChangeKind::kPromote:
      check = CheckStandby(change.id, now);
      break;
    case ChangeKind::kReplace:
      check = CheckStandby(change.id, now);
      if (check == ProposeStatus::kAccepted) check = CheckRemoval(change.replaced);
      break;
    case ChangeKind::kAddVoter:
      // A voter that did not catch up as a learner first could be part of a majority that lacks
      // committed entries.
      return ProposeStatus::kNotCaughtUp;
  }
  if (check != ProposeStatus::kAccepted) return check;
  return HasRespondingQuorum(change, now - config_.lease) ? ProposeStatus::kAccepted
                                                          : ProposeStatus::kQuorumAtRisk;
}

ProposeResult Replica::ChangeMembership(const MembershipChange& change, TimePoint now) {
  ProposeResult result;
  result.status = CheckChange(change, now);
  if (result.status != ProposeStatus::kAccepted) return result;
  result.first_index = log_.last() + 1;
  result.term = term_;
  if (!ChangesVoters(change) || HasRespondingQuorum(change, now)) {
    ProposeChange(change, now);
    result.effects = TakeEffects();
    return result;
  }
  if (unconfirmed_change_ && now < unconfirmed_change_->second + 2 * config_.heartbeat) {
    result.status = unconfirmed_change_->first == change ? ProposeStatus::kConfirming
                                                         : ProposeStatus::kChangePending;
    return result;
  }
  result.status = ProposeStatus::kConfirming;
  result.first_index = 0;
  unconfirmed_change_.emplace(change, now);
  for (auto& [id, progress] : progress_) {
    if (progress.voter || id == change.id) SendAppend(id, progress, now);
  }
  result.effects = TakeEffects();
  return result;
}

void Replica::ProposeChange(const MembershipChange& change, TimePoint now) {
  AppendEntry(EntryKind::kMembership, EncodeChange(change));
  RefreshProgress();
  Broadcast(now);
}

void Replica::ProposeIfConfirmed(TimePoint now) {
  const auto [change, since] = *unconfirmed_change_;
  const bool expired = now >= since + 2 * config_.heartbeat;
  if (!expired && !HasRespondingQuorum(change, since)) return;
  unconfirmed_change_.reset();
  if (!expired && CheckChange(change, now) == ProposeStatus::kAccepted) ProposeChange(change, now);
}

std::optional<MembershipChange> Replica::PlanRepair(std::size_t target_voters, Duration dead_after,
                                                    TimePoint now) const {
  if (!HasLease(now) || pending_change_ || commit_ < term_start_) return std::nullopt;
  std::optional<ReplicaId> dead;
  std::optional<ReplicaId> ready;
  for (const auto& [id, progress] : progress_) {
    const TimePoint contact = std::max(progress.last_contact, elected_at_);
    if (progress.voter && now >= contact + dead_after) dead = id;
    const bool caught_up =
        progress.caught_up_at != TimePoint::min() && now < progress.caught_up_at + config_.lease;
    if (membership_.Role(id) == MemberRole::kStandby && caught_up) ready = id;
  }
  if (!ready) return std::nullopt;
  if (membership_.voter_count() < target_voters) {
    return MembershipChange{ChangeKind::kPromote, *ready};
  }
  // Replaces in one step. With three voters, one of them dead, the loss of a second disk between a
  // removal and the promotion would end the quorum, and a promotion before the removal would raise
  // the quorum to three of four.
  if (dead) return MembershipChange{ChangeKind::kReplace, *ready, *dead};
  return std::nullopt;
}

}  // namespace wagtailslip::agreement
