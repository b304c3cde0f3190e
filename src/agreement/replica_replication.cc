#include <algorithm>
#include <functional>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::agreement {
namespace {

/// A member that is far behind gets 1/kCatchUpDivisor of its missing entries in one request, within
/// the byte limit, so that the number of round trips is logarithmic in its lag even with small
/// batches.
constexpr Index kCatchUpDivisor = 16;

}  // namespace

void Replica::AppendEntry(EntryKind kind, std::string data) {
  Store({log_.last() + 1, term_, kind, std::move(data)});
}

void Replica::Store(Entry entry) {
  uncommitted_bytes_ += entry.data.size();
  effects_.append.push_back(entry);
  const bool changes_members = entry.kind == EntryKind::kMembership;
  log_.Append(std::move(entry));
  if (!changes_members) return;
  change_indexes_.push_back(log_.last());
  OnMembershipEntry(log_.last());
}

void Replica::Truncate(Index from) {
  WTS_INVARIANT(role_ != Role::kLeader);
  WTS_INVARIANT(from > commit_);
  for (Index i = from; i <= log_.last(); ++i) uncommitted_bytes_ -= log_.At(i).data.size();
  log_.TruncateFrom(from);
  WTS_INVARIANT(effects_.append.empty());
  effects_.truncate_from = from;
  persisted_ = std::min(persisted_, from - 1);
  for (PendingWrite& pending : pending_writes_) {
    pending.last_index = std::min(pending.last_index, from - 1);
  }
  if (!change_indexes_.empty() && change_indexes_.back() >= from) RebuildMembership();
}

void Replica::OnAppendRequest(const Message& m, const AppendRequest& request, TimePoint now) {
  if (m.term < term_) {
    // The term of the reply makes a leader of an older term step down. The send time is not
    // returned: the sender may lead the current term by now, and its old request, possibly timed by
    // its clock before a reboot, must not renew the new lease.
    Send(m.from, AppendReply{.sent_at = TimePoint::min()});
    return;
  }
  OnLeaderMessage(m, request.sent_at, now);
  const Index prev = request.prev_index;
  if (prev > log_.last() || (prev >= log_.base() && log_.TermAt(prev) != request.prev_term)) {
    RejectAppend(m, request);
    return;
  }
  Index matched = prev;
  if (request.entries) {
    for (const Entry& entry : *request.entries) {
      WTS_INVARIANT(entry.index == matched + 1);
      matched = entry.index;
      if (entry.index <= log_.base()) continue;
      if (entry.index <= log_.last()) {
        if (log_.TermAt(entry.index) == entry.term) continue;
        Truncate(entry.index);
      }
      Store(entry);
    }
  }
  leader_match_ = std::max(leader_match_, matched);
  CommitTo(std::min(request.commit, leader_match_));
  if (effects_.append.empty()) {
    AcknowledgeAppend();
  } else {
    acknowledgement_due_ = true;
  }
}

void Replica::RejectAppend(const Message& m, const AppendRequest& request) {
  ++counters_.append_conflicts;
  Index hint = std::min(request.prev_index, log_.last());
  while (hint > std::max(log_.base(), commit_) && log_.TermAt(hint) > request.prev_term) --hint;
  Send(m.from, AppendReply{.success = false,
                           .match = std::min(leader_match_, persisted_),
                           .prev_index = request.prev_index,
                           .hint_index = hint,
                           .hint_term = hint >= log_.base() ? log_.TermAt(hint) : 0,
                           .sent_at = request.sent_at});
}

void Replica::AcknowledgeAppend() {
  acknowledgement_due_ = leader_match_ > persisted_;
  Send(*leader_, AppendReply{.success = true,
                             .match = std::min(leader_match_, persisted_),
                             .prev_index = leader_match_,
                             .sent_at = leader_sent_at_});
}

void Replica::OnAppendReply(const Message& m, const AppendReply& reply, TimePoint now) {
  if (role_ != Role::kLeader || m.term != term_) return;
  const auto it = progress_.find(m.from);
  if (it == progress_.end()) return;
  Progress& progress = it->second;
  WTS_INVARIANT(reply.sent_at <= now);
  progress.last_contact = std::max(progress.last_contact, reply.sent_at);
  if (reply.match > progress.match) {
    WTS_INVARIANT(reply.match <= log_.last());
    progress.match = reply.match;
    progress.next = std::max(progress.next, reply.match + 1);
  }
  if (reply.success) {
    if (progress.state == SendState::kSnapshot && progress.match >= progress.snapshot->index) {
      progress.snapshot.reset();
      progress.state = SendState::kReplicate;
    } else if (progress.state == SendState::kProbe) {
      progress.state = SendState::kReplicate;
      progress.next = std::max(progress.match, reply.prev_index) + 1;
    }
    if (progress.match >= progress.commit_sent) {
      progress.caught_up_at = std::max(progress.caught_up_at, reply.sent_at);
    }
  } else if (progress.state != SendState::kSnapshot) {
    const bool stale =
        reply.prev_index <= progress.match ||
        (progress.state == SendState::kProbe && reply.prev_index + 1 != progress.next);
    if (stale) return;
    Index candidate = std::min(reply.hint_index, log_.last());
    while (candidate > log_.base() && log_.TermAt(candidate) > reply.hint_term) --candidate;
    progress.next = std::max(std::min(candidate + 1, reply.prev_index), progress.match + 1);
    progress.state = SendState::kProbe;
  }
  progress.probe_sent = false;
  if (progress.counts_for_commit) MaybeCommit(now);
  if (unconfirmed_change_ && role_ == Role::kLeader) ProposeIfConfirmed(now);
  // A commit may have removed the sender, or this replica, which then no longer leads.
  if (role_ != Role::kLeader || !progress_.contains(m.from)) return;
  const Index limit = progress.counts_for_commit ? log_.last() : commit_;
  // Sends nothing while the window is full: a request without entries would cause an immediate
  // reply, and each duplicated message would start another such exchange.
  if (progress.state != SendState::kSnapshot && progress.next <= limit &&
      HasWindowSpace(progress)) {
    SendAppend(m.from, progress, now);
  }
}

void Replica::Broadcast(TimePoint now) {
  for (const auto& [id, progress] : voter_progress_) {
    if (!progress->probe_sent && progress->state != SendState::kSnapshot &&
        HasWindowSpace(*progress)) {
      SendAppend(*id, *progress, now);
    }
  }
  MaybeCommit(now);
}

void Replica::SendIfDue(const ReplicaId& to, Progress& progress, TimePoint now) {
  const Duration heartbeat = progress.voter ? config_.heartbeat : config_.learner_heartbeat;
  const bool heartbeat_due =
      progress.sent_at == TimePoint::min() || now >= progress.sent_at + heartbeat;
  const bool commit_update_due = progress.state == SendState::kReplicate &&
                                 progress.commit_sent < commit_ &&
                                 now >= progress.sent_at + config_.commit_update_interval;
  if (heartbeat_due || commit_update_due) SendAppend(to, progress, now);
  if (progress.state == SendState::kSnapshot && now >= progress.part_sent_at + config_.heartbeat) {
    SendSnapshotPart(to, progress, now);
  }
}

void Replica::SendAppend(const ReplicaId& to, Progress& progress, TimePoint now) {
  if (progress.state != SendState::kSnapshot && progress.next <= log_.base()) {
    progress.state = SendState::kSnapshot;
    progress.snapshot = snapshot_;
    progress.snapshot_offset = 0;
    ++counters_.snapshots_sent;
    SendSnapshotPart(to, progress, now);
  }
  AppendRequest request;
  // During a snapshot transfer, the request only renews the lease: prev_index 0 always matches.
  if (progress.state != SendState::kSnapshot) {
    const Index limit = progress.counts_for_commit ? log_.last() : commit_;
    request.prev_index = progress.next - 1;
    request.prev_term = log_.TermAt(request.prev_index);
    if (HasWindowSpace(progress)) {
      const std::size_t catch_up_entries =
          limit < progress.next ? 0 : (limit - progress.next) / kCatchUpDivisor;
      request.entries =
          log_.Slice(progress.next, limit, std::max(config_.max_batch_entries, catch_up_entries),
                     config_.max_batch_bytes);
    }
    if (progress.state == SendState::kReplicate && request.entries) {
      progress.next = request.entries->back().index + 1;
    }
    progress.probe_sent = progress.state == SendState::kProbe;
  }
  request.commit = commit_;
  request.sent_at = now;
  progress.sent_at = now;
  progress.commit_sent = commit_;
  Send(to, std::move(request));
}

Index Replica::MajorityMatch(const Membership& membership) const {
  std::vector<Index> matches;
  matches.reserve(membership.voter_count());
  if (membership.IsVoter(config_.id)) matches.push_back(persisted_);
  for (const auto& [id, progress] : voter_progress_) {
    if (membership.IsVoter(*id)) matches.push_back(progress->match);
  }
  if (pending_change_) {
    const ReplicaId promoted = ChangeAt(*pending_change_).id;
    const Progress* promoted_progress = progress(promoted);
    if (promoted_progress != nullptr && !promoted_progress->voter && membership.IsVoter(promoted)) {
      matches.push_back(promoted_progress->match);
    }
  }
  const std::size_t quorum = membership.quorum();
  if (matches.size() < quorum) return 0;
  std::nth_element(matches.begin(), matches.begin() + static_cast<std::ptrdiff_t>(quorum - 1),
                   matches.end(), std::greater<>());
  return matches[quorum - 1];
}

void Replica::MaybeCommit(TimePoint now) {
  WTS_INVARIANT(role_ == Role::kLeader);
  Index index = MajorityMatch(membership_);
  if (index <= commit_) return;
  const auto after = MembershipAfterReplacement();
  if (after && index >= *pending_change_) {
    index = std::min(index, std::max(MajorityMatch(*after), *pending_change_ - 1));
  }
  // Only an entry of the leader's own term proves that a majority follows it. Earlier entries are
  // committed along with that entry.
  if (index <= commit_ || log_.TermAt(index) != term_) return;
  const Index change = committed_change_;
  CommitTo(index);
  if (committed_change_ != change) {
    // Sends the new commit index at once: if this replica lost its disk before another voter knew
    // of the commit, the others would still need the old quorum.
    for (const auto& [id, progress] : voter_progress_) SendAppend(*id, *progress, now);
  }
  if (!IsElectable()) {
    BecomeFollower(term_, std::nullopt, now);
  }
}

void Replica::CommitTo(Index index) {
  if (index <= commit_) return;
  WTS_INVARIANT(index <= log_.last());
  const Index before = commit_;
  for (Index i = commit_ + 1; i <= index; ++i) {
    uncommitted_bytes_ -= log_.At(i).data.size();
    effects_.committed.push_back(log_.At(i));
  }
  commit_ = index;
  WTS_INVARIANT(commit_ > before);
  if (pending_change_ && *pending_change_ <= commit_) ApplyPendingChange();
}

}  // namespace wagtailslip::agreement
