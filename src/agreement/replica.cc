#include "wagtailslip/agreement/replica.h"

#include <algorithm>

namespace wagtailslip::agreement {

Replica::Replica(ReplicaConfig config, PersistentState state, std::uint64_t seed, TimePoint now)
    : config_(std::move(config)),
      snapshot_(std::move(state.snapshot)),
      term_(state.hard_state.term),
      vote_(state.hard_state.vote),
      saved_(std::move(state.hard_state)),
      random_state_(seed),
      leader_heard_at_(now),
      next_restart_election_(now + config_.restart_election_interval) {
  if (config_.id.process.empty())
    throw AgreementError("the process name in the replica id is empty");
  if (config_.election_min < config_.lease || config_.lease_margin >= config_.lease) {
    throw AgreementError(
        "the election timeout election_min is below the lease, or lease_margin is not below it");
  }
  if (snapshot_) {
    base_membership_ = snapshot_->membership;
    base_index_ = snapshot_->index;
    commit_ = snapshot_->index;
    log_.Reset(snapshot_->index, snapshot_->term);
  }
  for (Entry& entry : state.entries) {
    if (entry.index <= log_.base()) continue;
    if (entry.index != log_.last() + 1 || entry.term > term_) {
      throw AgreementError(
          "entry " + std::to_string(entry.index) +
          " does not follow the recovered log or has a term after the current one");
    }
    if (entry.kind == EntryKind::kMembership) change_indexes_.push_back(entry.index);
    log_.Append(std::move(entry));
  }
  persisted_ = log_.last();
  if (saved_.commit > log_.last()) {
    throw AgreementError("the log ends at " + std::to_string(log_.last()) +
                         ", before the committed entry " + std::to_string(saved_.commit));
  }
  uncommitted_bytes_ = log_.bytes();
  CommitTo(saved_.commit);
  RebuildMembership();
  ResetElectionDeadline(now, config_.election_min, config_.election_max);
}

Effects Replica::Step(const Message& message, TimePoint now) {
  if (message.to != config_.id || message.from == config_.id) {
    ++counters_.messages_dropped;
    return TakeEffects();
  }
  const bool vote_request = std::holds_alternative<VoteRequest>(message.body);
  const auto* vote_reply = std::get_if<VoteReply>(&message.body);
  const bool granted_pre_vote = vote_reply && vote_reply->pre_vote && vote_reply->granted;
  // A vote request must not raise the term while a leader's lease may be valid, and a granted
  // pre-vote carries a term that no replica has started.
  if (message.term > term_ && !vote_request && !granted_pre_vote) {
    BecomeFollower(message.term, std::nullopt, now);
  }
  if (const auto* body = std::get_if<VoteRequest>(&message.body)) {
    OnVoteRequest(message, *body, now);
  } else if (vote_reply) {
    OnVoteReply(message, *vote_reply, now);
  } else if (const auto* body = std::get_if<AppendRequest>(&message.body)) {
    OnAppendRequest(message, *body, now);
  } else if (const auto* body = std::get_if<AppendReply>(&message.body)) {
    OnAppendReply(message, *body, now);
  } else if (const auto* body = std::get_if<SnapshotPart>(&message.body)) {
    OnSnapshotPart(message, *body, now);
  } else if (const auto* body = std::get_if<SnapshotReply>(&message.body)) {
    OnSnapshotReply(message, *body, now);
  }
  return TakeEffects();
}

Effects Replica::Tick(TimePoint now) {
  if (role_ == Role::kLeader) {
    const TimePoint contact = std::max(elected_at_, QuorumLastContact(now));
    if (now >= contact + config_.lease - config_.lease_margin) {
      BecomeFollower(term_, std::nullopt, now);
    } else {
      for (auto& [id, progress] : progress_) SendIfDue(id, progress, now);
    }
  } else if (now >= election_deadline_ && IsElectable()) {
    Campaign(ElectionQuorum::kMajority, true, now);
  } else if (MayStartRestartElection() && now >= next_restart_election_) {
    next_restart_election_ = now + config_.restart_election_interval;
    Campaign(ElectionQuorum::kAllVotersAfterRestart, true, now);
  }
  return TakeEffects();
}

ProposeStatus Replica::CheckProposal(TimePoint now) const {
  if (role_ != Role::kLeader) return ProposeStatus::kNotLeader;
  if (!HasLease(now)) return ProposeStatus::kNoLease;
  if (log_.last() - commit_ >= config_.max_uncommitted_entries) return ProposeStatus::kOverloaded;
  return ProposeStatus::kAccepted;
}

ProposeResult Replica::Propose(std::string data, TimePoint now) {
  std::vector<std::string> batch;
  batch.push_back(std::move(data));
  return ProposeBatch(std::move(batch), now);
}

ProposeResult Replica::ProposeBatch(std::vector<std::string> batch, TimePoint now) {
  ProposeResult result;
  result.status = CheckProposal(now);
  std::size_t bytes = 0;
  for (const std::string& data : batch) {
    if (data.size() > config_.max_entry_bytes) result.status = ProposeStatus::kTooLarge;
    bytes += data.size();
  }
  if (result.status != ProposeStatus::kAccepted) return result;
  if (uncommitted_bytes_ > 0 && uncommitted_bytes_ + bytes > config_.max_uncommitted_bytes) {
    result.status = ProposeStatus::kOverloaded;
    return result;
  }
  result.first_index = log_.last() + 1;
  result.term = term_;
  for (std::string& data : batch) AppendEntry(EntryKind::kCommand, std::move(data));
  Broadcast(now);
  result.effects = TakeEffects();
  return result;
}

Effects Replica::Persisted(std::uint64_t write, TimePoint now) {
  WTS_INVARIANT(write < next_write_);
  while (!pending_writes_.empty() && pending_writes_.front().write <= write) {
    persisted_ = std::max(persisted_, pending_writes_.front().last_index);
    pending_writes_.pop_front();
  }
  if (role_ == Role::kLeader) {
    MaybeCommit(now);
  } else if (acknowledgement_due_ && leader_) {
    AcknowledgeAppend();
  }
  return TakeEffects();
}

std::optional<Index> Replica::ReadIndex(TimePoint now) const {
  if (!HasLease(now) || commit_ < term_start_) return std::nullopt;
  return commit_;
}

const Progress* Replica::progress(const ReplicaId& id) const {
  const auto it = progress_.find(id);
  return role_ == Role::kLeader && it != progress_.end() ? &it->second : nullptr;
}

void Replica::Send(const ReplicaId& to, MessageBody body) {
  SendWithTerm(to, term_, std::move(body));
}

void Replica::SendWithTerm(const ReplicaId& to, Term term, MessageBody body) {
  effects_.messages.push_back({config_.id, to, term, std::move(body)});
}

Effects Replica::TakeEffects() {
  const bool save_commit = committed_change_ > saved_.commit && committed_change_ <= persisted_;
  if (saved_.term != term_ || saved_.vote != vote_ || save_commit) {
    WTS_INVARIANT(term_ >= saved_.term);
    // One vote per term: a saved vote does not change within its term.
    WTS_INVARIANT(term_ > saved_.term || !saved_.vote || saved_.vote == vote_);
    // The saved commit index never covers an entry that is not synced here: until the write
    // completes, the disk may hold a different entry at that index.
    saved_ = {term_, vote_, std::max(saved_.commit, std::min(commit_, persisted_))};
    effects_.hard_state = saved_;
  }
  if (effects_.install || effects_.truncate_from || !effects_.append.empty()) {
    effects_.write = next_write_++;
    pending_writes_.push_back({effects_.write, log_.last()});
  }
  Effects effects = std::move(effects_);
  effects_ = Effects{};
  return effects;
}

}  // namespace wagtailslip::agreement
