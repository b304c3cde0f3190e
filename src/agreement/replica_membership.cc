#include <algorithm>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::agreement {

void Replica::NoteMembershipEntry(const Entry& entry) {
  const auto change = DecodeChange(entry.data);
  if (!change) throw AgreementError("a membership entry cannot be decoded");
  change_indexes_.push_back(entry.index);
  membership_.Apply(*change);
}

void Replica::RebuildMembership() {
  while (!change_indexes_.empty() && change_indexes_.back() > log_.last()) {
    change_indexes_.pop_back();
  }
  const Index start = snapshot_ ? std::max(snapshot_->index, log_.base()) : log_.base();
  while (!change_indexes_.empty() && change_indexes_.front() <= start) {
    change_indexes_.pop_front();
  }
  membership_ = MembershipAt(log_.last());
}

Membership Replica::MembershipAt(Index index) const {
  Membership membership = base_membership_;
  for (const Index i : change_indexes_) {
    if (i > index) break;
    const auto change = DecodeChange(log_.At(i).data);
    if (!change) throw AgreementError("a membership entry cannot be decoded");
    membership.Apply(*change);
  }
  return membership;
}

void Replica::RefreshProgress() {
  std::erase_if(progress_, [this](const auto& row) { return !membership_.Role(row.first); });
  for (const auto& [id, role] : membership_.members()) {
    if (id == config_.id) continue;
    const auto [it, added] = progress_.try_emplace(id);
    it->second.voter = role == MemberRole::kVoter;
    if (added) it->second.next = (it->second.voter ? log_.last() : commit_) + 1;
  }
}

bool Replica::VoterChangePending() const {
  for (auto it = change_indexes_.rbegin(); it != change_indexes_.rend() && *it > commit_; ++it) {
    const auto change = DecodeChange(log_.At(*it).data);
    if (change->kind != ChangeKind::kAddLearner && change->kind != ChangeKind::kAddStandby) {
      return true;
    }
  }
  return false;
}

ProposeResult Replica::ChangeMembership(const MembershipChange& change, TimePoint now) {
  ProposeResult result;
  result.status = CheckProposal(now);
  if (result.status != ProposeStatus::kAccepted) return result;
  const auto role = membership_.Role(change.id);
  const bool adds =
      change.kind == ChangeKind::kAddLearner || change.kind == ChangeKind::kAddStandby;
  const bool voters_change = change.kind == ChangeKind::kPromote ||
                             (change.kind == ChangeKind::kRemove && role == MemberRole::kVoter);
  if (change.kind == ChangeKind::kAddVoter || change.id.process.empty()) {
    result.status = ProposeStatus::kNotCaughtUp;
  } else if (adds && role) {
    result.status = ProposeStatus::kAlreadyMember;
  } else if (!adds && !role) {
    result.status = ProposeStatus::kUnknownMember;
  } else if (change.kind == ChangeKind::kPromote && role == MemberRole::kVoter) {
    result.status = ProposeStatus::kAlreadyMember;
  } else if (change.kind == ChangeKind::kRemove && role == MemberRole::kVoter &&
             membership_.voter_count() == 1) {
    result.status = ProposeStatus::kLastVoter;
  } else if (commit_ < term_start_ || (voters_change && VoterChangePending())) {
    result.status = ProposeStatus::kChangePending;
  } else if (change.kind == ChangeKind::kPromote) {
    const auto it = progress_.find(change.id);
    const bool ready = role == MemberRole::kStandby && it != progress_.end() &&
                       it->second.caught_up != TimePoint::min() &&
                       now < it->second.caught_up + config_.lease;
    if (!ready) result.status = ProposeStatus::kNotCaughtUp;
  }
  if (result.status != ProposeStatus::kAccepted) return result;
  result.first_index = log_.last() + 1;
  result.term = term_;
  AppendEntry(EntryKind::kMembership, EncodeChange(change));
  RefreshProgress();
  Broadcast(now);
  result.effects = TakeEffects();
  return result;
}

std::optional<MembershipChange> Replica::PlanRepair(std::size_t target_voters, Duration dead_after,
                                                    TimePoint now) const {
  if (!HasLease(now) || VoterChangePending() || commit_ < term_start_) return std::nullopt;
  std::optional<ReplicaId> dead;
  std::optional<ReplicaId> ready;
  for (const auto& [id, progress] : progress_) {
    const TimePoint contact = std::max(progress.contact, elected_at_);
    if (progress.voter && now >= contact + dead_after) dead = id;
    const bool caught_up =
        progress.caught_up != TimePoint::min() && now < progress.caught_up + config_.lease;
    if (membership_.Role(id) == MemberRole::kStandby && caught_up) ready = id;
  }
  // The dead voter leaves before the standby is promoted: with three voters, one of them dead, the
  // quorum then stays at two throughout, and adding first would raise it to three of four.
  if (dead && ready) return MembershipChange{ChangeKind::kRemove, *dead};
  if (ready && membership_.voter_count() < target_voters) {
    return MembershipChange{ChangeKind::kPromote, *ready};
  }
  return std::nullopt;
}

}  // namespace wagtailslip::agreement
