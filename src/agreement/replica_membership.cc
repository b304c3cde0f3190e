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

void Replica::NoteMembershipEntry(Index index) {
  const MembershipChange change = ChangeAt(index);
  // A leader proposes a change of the voters, or of the same member, only after the earlier one is
  // committed; so an entry in the log proves that the earlier one is committed, even after a
  // restart.
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

Membership Replica::AfterPendingChange() const {
  Membership after = membership_;
  if (pending_change_) after.Apply(ChangeAt(*pending_change_));
  return after;
}

std::optional<Membership> Replica::AfterReplacement() const {
  if (!pending_change_ || ChangeAt(*pending_change_).kind != ChangeKind::kReplace) {
    return std::nullopt;
  }
  return AfterPendingChange();
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
  for (const Index index : change_indexes_) NoteMembershipEntry(index);
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
  std::erase_if(progress_, [this](const auto& row) { return !membership_.Role(row.first); });
  const auto after = AfterReplacement();
  for (const auto& [id, role] : membership_.members()) {
    if (id == config_.id) continue;
    const auto [it, added] = progress_.try_emplace(id);
    it->second.voter = role == MemberRole::kVoter;
    it->second.counts_for_commit = it->second.voter || (after && after->IsVoter(id));
    if (added) it->second.next = (it->second.voter ? log_.last() : commit_) + 1;
    if (it->second.voter) voter_progress_.emplace_back(&it->first, &it->second);
  }
}

bool Replica::KeepsQuorum(const MembershipChange& change, TimePoint since) const {
  Membership after = membership_;
  after.Apply(change);
  std::size_t answering = after.IsVoter(config_.id) ? 1 : 0;
  bool promoted_answers =
      change.kind != ChangeKind::kPromote && change.kind != ChangeKind::kReplace;
  for (const auto& [id, progress] : progress_) {
    if (progress.last_contact < since || !after.IsVoter(id)) continue;
    ++answering;
    promoted_answers = promoted_answers || id == change.id;
  }
  return promoted_answers && answering >= after.quorum();
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
  // A leader that commits its own removal may be the only one that knows of the commit, while its
  // log is longer than those of the voters that need its vote.
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
      // A voter without a learner's history could take part in a majority that knows nothing.
      return ProposeStatus::kNotCaughtUp;
  }
  if (check != ProposeStatus::kAccepted) return check;
  return KeepsQuorum(change, now - config_.lease) ? ProposeStatus::kAccepted
                                                  : ProposeStatus::kQuorumAtRisk;
}

ProposeResult Replica::ChangeMembership(const MembershipChange& change, TimePoint now) {
  ProposeResult result;
  result.status = CheckChange(change, now);
  if (result.status != ProposeStatus::kAccepted) return result;
  result.first_index = log_.last() + 1;
  result.term = term_;
  if (!ChangesVoters(change) || KeepsQuorum(change, now)) {
    ProposeChange(change, now);
    result.effects = TakeEffects();
    return result;
  }
  if (confirming_ && now < confirming_->second + 2 * config_.heartbeat) {
    result.status =
        confirming_->first == change ? ProposeStatus::kConfirming : ProposeStatus::kChangePending;
    return result;
  }
  result.status = ProposeStatus::kConfirming;
  result.first_index = 0;
  confirming_.emplace(change, now);
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

void Replica::ContinueChange(TimePoint now) {
  const auto [change, since] = *confirming_;
  const bool expired = now >= since + 2 * config_.heartbeat;
  if (!expired && !KeepsQuorum(change, since)) return;
  confirming_.reset();
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
  // In one step: with three voters, one of them dead, the loss of a second disk between a removal
  // and a promotion would end the quorum, and a promotion first would raise it to three of four.
  if (dead) return MembershipChange{ChangeKind::kReplace, *ready, *dead};
  return std::nullopt;
}

}  // namespace wagtailslip::agreement
