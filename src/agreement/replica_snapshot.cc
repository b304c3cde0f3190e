#include <algorithm>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::agreement {

std::shared_ptr<const Snapshot> Replica::Compact(Index index, std::string data) {
  if (index > commit_ || index <= log_.base()) {
    throw AgreementError("cannot create a snapshot at index " + std::to_string(index) +
                         ": it is not after the start of the log, or it is after the commit index");
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = index;
  snapshot->term = log_.TermAt(index);
  snapshot->membership = MembershipAt(index);
  snapshot->data = std::move(data);
  base_membership_ = snapshot->membership;
  base_index_ = index;
  while (!change_indexes_.empty() && change_indexes_.front() <= index) change_indexes_.pop_front();
  snapshot_ = snapshot;
  const Index drop = index - std::min<Index>(index, config_.retained_entries);
  if (drop > log_.base()) log_.DropThrough(drop);
  return snapshot;
}

void Replica::SendSnapshotPart(const ReplicaId& to, Progress& progress, TimePoint now) {
  WTS_INVARIANT(progress.snapshot);
  const Snapshot& snapshot = *progress.snapshot;
  SnapshotPart part;
  part.index = snapshot.index;
  part.index_term = snapshot.term;
  part.offset = progress.snapshot_offset;
  part.total = snapshot.data.size();
  if (part.offset == 0) part.membership = snapshot.membership;
  part.data = snapshot.data.substr(part.offset, config_.snapshot_part_bytes);
  part.sent_at = now;
  progress.part_sent_at = now;
  Send(to, std::move(part));
}

void Replica::OnSnapshotPart(const Message& m, const SnapshotPart& part, TimePoint now) {
  if (m.term < term_) {
    Send(m.from, SnapshotReply{0, 0, TimePoint::min()});
    return;
  }
  OnLeaderMessage(m, part.sent_at, now);
  if (part.index <= commit_) {
    // The snapshot is already covered; the acknowledgement makes the leader send entries again.
    leader_match_ = std::max(leader_match_, part.index);
    AcknowledgeAppend();
    return;
  }
  if (part.offset == 0) {
    incoming_ = {part.index, part.index_term, part.membership, {}};
  } else if (incoming_.index != part.index || incoming_.term != part.index_term) {
    Send(m.from, SnapshotReply{part.index, 0, part.sent_at});
    return;
  }
  if (part.offset == incoming_.data.size()) incoming_.data += part.data;
  if (incoming_.data.size() < part.total) {
    Send(m.from, SnapshotReply{part.index, incoming_.data.size(), part.sent_at});
    return;
  }
  InstallSnapshot();
}

void Replica::InstallSnapshot() {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = incoming_.index;
  snapshot->term = incoming_.term;
  snapshot->membership = std::move(incoming_.membership);
  snapshot->data = std::move(incoming_.data);
  incoming_ = {};
  WTS_INVARIANT(snapshot->index > commit_);
  ++counters_.snapshots_installed;
  const Index index = snapshot->index;
  const bool keeps_suffix = index <= log_.last() && log_.TermAt(index) == snapshot->term;
  if (keeps_suffix) {
    log_.DropThrough(index);
  } else {
    log_.Reset(index, snapshot->term);
    // Pending writes of the discarded log do not advance persisted_; only the snapshot's write
    // does.
    persisted_ = std::min(persisted_, commit_);
    for (PendingWrite& pending : pending_writes_) {
      pending.last_index = std::min(pending.last_index, commit_);
    }
  }
  base_membership_ = snapshot->membership;
  base_index_ = index;
  uncommitted_bytes_ = log_.bytes();
  commit_ = index;
  RebuildMembership();
  leader_match_ = std::max(leader_match_, index);
  snapshot_ = snapshot;
  // After a restart, `committed` may still hold recovered entries that the snapshot covers.
  effects_.committed.clear();
  effects_.install = std::move(snapshot);
  acknowledgement_due_ = true;
}

void Replica::OnSnapshotReply(const Message& m, const SnapshotReply& reply, TimePoint now) {
  if (role_ != Role::kLeader || m.term != term_) return;
  const auto it = progress_.find(m.from);
  if (it == progress_.end()) return;
  Progress& progress = it->second;
  WTS_INVARIANT(reply.sent_at <= now);
  progress.last_contact = std::max(progress.last_contact, reply.sent_at);
  if (progress.state != SendState::kSnapshot || progress.snapshot->index != reply.index) return;
  if (reply.next_offset > progress.snapshot->data.size()) return;
  // Only a reply that advances the offset is answered at once; otherwise each duplicated reply
  // would add a second stream of parts. A reply that moves the offset back, after a restart of the
  // receiver or from an earlier transfer, is answered at the next timeout.
  const bool advances = reply.next_offset > progress.snapshot_offset;
  progress.snapshot_offset = reply.next_offset;
  if (advances) SendSnapshotPart(m.from, progress, now);
}

}  // namespace wagtailslip::agreement
