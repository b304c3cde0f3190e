#include "cluster.h"

namespace wagtailslip::simulation {

void Cluster::Crash(std::size_t i) {
  Node& node = *nodes_[i];
  if (!node.replica) return;
  node.disk.Crash(random_.Below(node.disk.unsynced() + 1));
  node.replica.reset();
  Trace(node.id.Text() + " crashed");
}

void Cluster::Restart(std::size_t i) {
  if (!nodes_[i]->replica) Start(i);
}

void Cluster::Freeze(std::size_t i, Duration span) {
  nodes_[i]->frozen_until = now_ + span;
  Trace(nodes_[i]->id.Text() + " frozen for " + std::to_string(ToSeconds(span)) + " s");
}

void Cluster::StepDown(std::size_t i) {
  Node& node = *nodes_[i];
  if (!node.replica) return;
  Trace(node.id.Text() + " steps down");
  HandleEffects(i, node.replica->StepDown(LocalTime(node)));
}

void Cluster::LoseDisk(std::size_t i) {
  Node& node = *nodes_[i];
  Crash(i);
  node.disk.Erase();
  lost_identities_.insert(node.id);
  ++node.id.incarnation;
  Trace(node.process + " lost its disk");
}

bool Cluster::IsUnresponsive(std::size_t i) const {
  const Node& node = *nodes_[i];
  if (!node.replica || now_ < node.frozen_until) return true;
  for (const auto& [from, to] : cut_links_) {
    if (from == i || to == i) return true;
  }
  for (const auto& other : nodes_) {
    if (!other->replica) continue;
    const agreement::Progress* progress = other->replica->progress(node.id);
    const TimePoint silent_since = LocalTime(*other) - std::chrono::seconds(1);
    if (progress && progress->last_contact < silent_since) return true;
  }
  return false;
}

bool Cluster::QuorumSurvivesLoss(const agreement::Membership& membership, std::size_t i) const {
  std::size_t gone = 0;
  for (const agreement::ReplicaId& id : membership.Voters()) {
    if (lost_identities_.contains(id) || id == nodes_[i]->id) ++gone;
  }
  return gone <= membership.voter_count() - membership.quorum();
}

bool Cluster::DiskLossIsTolerable(std::size_t i) const {
  const auto tolerable = [&](const agreement::Membership& membership) {
    if (!QuorumSurvivesLoss(membership, i)) return false;
    // A standby may be promoted before the leader notices its loss.
    if (membership.Role(nodes_[i]->id) == agreement::MemberRole::kStandby) {
      agreement::Membership after = membership;
      after.Apply({agreement::ChangeKind::kPromote, nodes_[i]->id});
      if (!QuorumSurvivesLoss(after, i)) return false;
    }
    // A voter that does not respond may be removed at any time, which together with this disk loss
    // makes two losses at once.
    for (const agreement::ReplicaId& id : membership.Voters()) {
      const std::size_t k = positions_.at(id.process);
      if (lost_identities_.contains(id) || k == i || !IsUnresponsive(k)) continue;
      agreement::Membership after = membership;
      after.Apply({agreement::ChangeKind::kRemove, id});
      if (!QuorumSurvivesLoss(after, i)) return false;
    }
    return true;
  };
  if (!tolerable(checker_.membership())) return false;
  // An uncommitted membership of a running or stopped replica may still be committed.
  for (const auto& node : nodes_) {
    if (node->replica) {
      const bool newer = node->replica->last_index() >= checker_.committed();
      if (newer && !tolerable(node->replica->membership())) return false;
      const auto pending = node->replica->pending_change();
      agreement::Membership after = node->replica->membership();
      if (pending) after.Apply(*pending);
      if (newer && !tolerable(after)) return false;
      continue;
    }
    agreement::PersistentState state = node->disk.State();
    agreement::Membership before;
    agreement::Membership membership;
    if (state.snapshot) before = membership = state.snapshot->membership;
    for (const agreement::Entry& entry : state.entries) {
      if (entry.kind != agreement::EntryKind::kMembership) continue;
      const std::size_t voters = membership.voter_count();
      agreement::Membership after = membership;
      after.Apply(*agreement::DecodeChange(entry.data));
      // The last voter change takes effect only once the restarted replica knows that it is
      // committed.
      if (after.voter_count() != voters) before = membership;
      membership = std::move(after);
    }
    const bool newer = !state.entries.empty() && state.entries.back().index >= checker_.committed();
    if (newer && !(tolerable(membership) && tolerable(before))) return false;
  }
  return true;
}

void Cluster::CutBoth(std::size_t a, std::size_t b) {
  Cut(a, b);
  Cut(b, a);
}

void Cluster::Isolate(std::size_t i) {
  for (std::size_t k = 0; k < nodes_.size(); ++k) {
    if (k != i) CutBoth(i, k);
  }
  Trace(nodes_[i]->id.Text() + " isolated");
}

std::string Cluster::Describe(std::size_t i) const {
  const Node& node = *nodes_[i];
  if (!node.replica) return node.id.Text() + " stopped";
  const agreement::Replica& replica = *node.replica;
  std::string text = node.id.Text() + " " + std::string(agreement::kRoles.Name(replica.role())) +
                     " term " + std::to_string(replica.term()) + " last " +
                     std::to_string(replica.last_index()) + " of term " +
                     std::to_string(replica.log().last_term()) + " synced " +
                     std::to_string(replica.persisted_index()) + " committed " +
                     std::to_string(replica.commit_index()) + " lease " +
                     std::to_string(static_cast<int>(HasLease(i))) + " members";
  for (const auto& [id, role] : replica.membership().members()) {
    text += " " + id.Text() + ":" + std::string(agreement::kMemberRoles.Name(role));
    if (const agreement::Progress* progress = replica.progress(id)) {
      text += "(match " + std::to_string(progress->match) + ", next " +
              std::to_string(progress->next) + ", state " +
              std::to_string(static_cast<int>(progress->state)) + ")";
    }
  }
  if (const auto pending = replica.pending_change()) {
    text += " pending " + std::string(agreement::kChangeKinds.Name(pending->kind)) + " " +
            pending->id.Text();
    if (pending->kind == agreement::ChangeKind::kReplace) {
      text += " for " + pending->replaced.Text();
    }
  }
  return text;
}

}  // namespace wagtailslip::simulation
