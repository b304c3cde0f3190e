#include "cluster.h"

#include <algorithm>

namespace wagtailslip::simulation {
namespace {

constexpr Duration kRequestTimeout = std::chrono::milliseconds(800);
constexpr Duration kRepairInterval = std::chrono::milliseconds(300);

}  // namespace

std::uint64_t Random::Next() {
  std::uint64_t z = state_ += 0x9e3779b97f4a7c15ULL;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
  return z ^ z >> 31;
}

Duration Random::Between(Duration min, Duration max) {
  const auto span = static_cast<std::uint64_t>((max - min).count()) + 1;
  return min + Duration(static_cast<Duration::rep>(Below(span)));
}

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)), random_(options_.seed) {
  std::vector<agreement::ReplicaId> voters;
  for (std::size_t i = 0; i < options_.voters + options_.standbys; ++i) {
    auto node = std::make_unique<Node>();
    node->process = "e" + std::to_string(i + 1);
    node->id = {node->process, 1};
    positions_[node->process] = i;
    if (i < options_.voters) voters.push_back(node->id);
    nodes_.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i < options_.voters) nodes_[i]->disk.Load(agreement::BootstrapState(voters));
    Start(i);
  }
  clients_.resize(options_.clients);
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    Schedule(now_ + options_.client_pause, {EventKind::kClient, 0, 0, i, {}});
  }
}

void Cluster::Trace(const std::string& line) {
  if (options_.trace_lines == 0) return;
  if (trace_.size() >= options_.trace_lines) trace_.pop_front();
  char time[32];
  std::snprintf(time, sizeof(time), "%10.4f ", ToSeconds(now_.time_since_epoch()));
  trace_.push_back(time + line);
}

std::size_t Cluster::Find(const std::string& process) const {
  const auto it = positions_.find(process);
  if (it == positions_.end()) throw Error("unknown process " + process);
  return it->second;
}

TimePoint Cluster::LocalTime(const Node& node) const {
  const auto span = static_cast<double>(now_.time_since_epoch().count()) * node.clock_rate;
  return TimePoint(node.clock_offset + Duration(static_cast<Duration::rep>(span)));
}

void Cluster::Start(std::size_t i) {
  Node& node = *nodes_[i];
  ++node.start_count;
  node.clock_rate =
      1.0 + options_.clock_drift * (static_cast<double>(random_.Below(2001)) / 1000.0 - 1);
  // A monotonic clock may start at any value after a reboot.
  node.clock_offset = random_.Between(std::chrono::seconds(1), std::chrono::hours(24));
  node.frozen_until = TimePoint::min();
  node.sync_running = false;
  node.last_write = 0;
  node.elections_seen = 0;
  node.pending_requests.clear();
  node.application = Application{};
  agreement::PersistentState state = node.disk.State();
  if (state.snapshot) {
    node.application.Restore(state.snapshot->index, state.snapshot->data);
    checker_.CheckRestored(node.process, node.application.applied(), node.application.hash());
  }
  node.snapshot_index = node.application.applied();
  agreement::ReplicaConfig config = options_.replica;
  config.id = node.id;
  node.replica = std::make_unique<agreement::Replica>(config, std::move(state), random_.Next(),
                                                      LocalTime(node));
  Schedule(now_ + random_.Between(Duration(0), options_.tick),
           {EventKind::kTick, i, node.start_count, 0, {}});
  Schedule(now_ + kRepairInterval, {EventKind::kRepair, i, node.start_count, 0, {}});
  Trace(node.id.Text() + " started");
}

void Cluster::Schedule(TimePoint at, Event event) {
  std::size_t slot = slots_.size();
  if (free_slots_.empty()) {
    slots_.push_back(std::move(event));
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    slots_[slot] = std::move(event);
  }
  queue_.push({at, next_sequence_++, slot});
}

bool Cluster::Step() {
  if (queue_.empty()) return false;
  const QueuedEvent queued = queue_.top();
  queue_.pop();
  Event event = std::move(slots_[queued.slot]);
  free_slots_.push_back(queued.slot);
  now_ = std::max(now_, queued.at);
  ++events_;
  if (event.kind == EventKind::kClient) {
    OnClient(event.number);
    return true;
  }
  const std::size_t i = event.node;
  Node& node = *nodes_[i];
  const bool stale = event.kind != EventKind::kMessage && event.start_count != node.start_count;
  if (!node.replica || stale) return true;
  if (now_ < node.frozen_until) {
    Schedule(node.frozen_until, std::move(event));
    return true;
  }
  switch (event.kind) {
    case EventKind::kMessage:
      HandleEffects(i, node.replica->Step(event.message, LocalTime(node)));
      break;
    case EventKind::kTick:
      Schedule(now_ + options_.tick, {EventKind::kTick, i, node.start_count, 0, {}});
      HandleEffects(i, node.replica->Tick(LocalTime(node)));
      break;
    case EventKind::kSynced:
      node.sync_running = false;
      node.disk.Sync(event.number);
      HandleEffects(i, node.replica->Persisted(event.number, LocalTime(node)));
      if (node.replica) StartSync(i);
      break;
    case EventKind::kRepair:
      Schedule(now_ + kRepairInterval, {EventKind::kRepair, i, node.start_count, 0, {}});
      RepairMembership(i);
      break;
    default:
      break;
  }
  CheckInvariants(i);
  return true;
}

void Cluster::RunFor(Duration span) {
  const TimePoint end = now_ + span;
  while (!queue_.empty() && queue_.top().at <= end) Step();
  now_ = std::max(now_, end);
}

bool Cluster::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now_ + limit;
  while (!condition()) {
    if (now_ >= end || !Step()) return false;
  }
  return true;
}

void Cluster::HandleEffects(std::size_t i, agreement::Effects effects) {
  Node& node = *nodes_[i];
  if (effects.hard_state) {
    node.disk.SaveHardState(*effects.hard_state);
    if (options_.stop_after_save > 0 && random_.Chance(options_.stop_after_save)) {
      Crash(i);
      return;
    }
  }
  for (agreement::Message& message : effects.messages) SendMessage(i, std::move(message));
  if (effects.write > 0) {
    node.disk.Write(effects);
    node.last_write = effects.write;
    StartSync(i);
  }
  ApplyEffects(i, effects);
}

void Cluster::StartSync(std::size_t i) {
  Node& node = *nodes_[i];
  if (node.sync_running || node.disk.unsynced() == 0) return;
  node.sync_running = true;
  Schedule(now_ + random_.Between(options_.sync_min, options_.sync_max),
           {EventKind::kSynced, i, node.start_count, node.last_write, {}});
}

void Cluster::SendMessage(std::size_t from, agreement::Message message) {
  const auto to = positions_.find(message.to.process);
  if (to == positions_.end()) return;
  ++messages_;
  if (cut_links_.contains({from, to->second}) || random_.Chance(options_.drop)) return;
  const auto deliver = [&](agreement::Message sent) {
    Duration delay = random_.Between(options_.delay_min, options_.delay_max);
    if (random_.Chance(options_.late)) delay = random_.Between(delay, options_.late_max);
    Schedule(now_ + delay, {EventKind::kMessage, to->second, 0, 0, std::move(sent)});
  };
  if (random_.Chance(options_.duplicate)) deliver(message);
  deliver(std::move(message));
}

void Cluster::ApplyEffects(std::size_t i, const agreement::Effects& effects) {
  Node& node = *nodes_[i];
  if (effects.install) {
    node.application.Restore(effects.install->index, effects.install->data);
    checker_.CheckRestored(node.process, node.application.applied(), node.application.hash());
    node.snapshot_index = node.application.applied();
  }
  for (const agreement::Entry& entry : effects.committed) {
    const auto answer = node.application.Apply(entry);
    checker_.CheckApplied(*node.replica, entry, node.application.hash());
    if (!answer || node.pending_requests.erase(answer->first) == 0) continue;
    checker_.CheckAnswer(answer->first, answer->second);
    Client& client = clients_[answer->first.client];
    if (client.sequence == answer->first.sequence) client.waiting = false;
  }
  MaybeSnapshot(i);
}

void Cluster::MaybeSnapshot(std::size_t i) {
  Node& node = *nodes_[i];
  const agreement::Index applied = node.application.applied();
  if (options_.snapshot_every == 0 || applied < node.snapshot_index + options_.snapshot_every)
    return;
  node.snapshot_index = applied;
  node.disk.SaveSnapshot(node.replica->Compact(applied, node.application.Snapshot()));
}

void Cluster::OnClient(std::size_t i) {
  Client& client = clients_[i];
  Schedule(now_ + random_.Between(options_.client_pause / 2, options_.client_pause * 2),
           {EventKind::kClient, 0, 0, i, {}});
  if (!client.waiting) {
    client.waiting = true;
    ++client.sequence;
  } else if (now_ < client.deadline) {
    return;
  } else {
    client.target = random_.Below(nodes_.size());
  }
  client.deadline = now_ + kRequestTimeout;
  Node* node = nodes_[client.target].get();
  if (!node->replica || now_ < node->frozen_until) return;
  if (node->replica->role() != agreement::Role::kLeader && node->replica->leader()) {
    client.target = positions_[node->replica->leader()->process];
    node = nodes_[client.target].get();
    if (!node->replica || now_ < node->frozen_until) return;
  }
  const Request request{static_cast<std::uint32_t>(i), client.sequence};
  agreement::ProposeResult result =
      node->replica->Propose(EncodeRequest(request), LocalTime(*node));
  if (result.status == agreement::ProposeStatus::kAccepted) {
    node->pending_requests.insert(request);
    HandleEffects(client.target, std::move(result.effects));
    CheckInvariants(client.target);
  } else {
    client.deadline = now_;
  }
}

void Cluster::RepairMembership(std::size_t i) {
  Node& node = *nodes_[i];
  if (!options_.repair || node.replica->role() != agreement::Role::kLeader) return;
  std::optional<agreement::MembershipChange> change =
      node.replica->PlanRepair(options_.voters, options_.dead_after, LocalTime(node));
  if (!change) {
    for (std::size_t k = 0; k < nodes_.size() && !change; ++k) {
      const Node& other = *nodes_[k];
      const bool member = node.replica->membership().Role(other.id).has_value();
      const bool reachable = !cut_links_.contains({k, i}) && !cut_links_.contains({i, k});
      if (other.replica && other.joins && !member && reachable) {
        change = {agreement::ChangeKind::kAddStandby, other.id};
      }
    }
  }
  if (!change) {
    // A standby that was replaced by a newer incarnation of its process never returns.
    for (const auto& [id, role] : node.replica->membership().members()) {
      const bool replaced = nodes_[positions_[id.process]]->id != id;
      if (replaced && role != agreement::MemberRole::kVoter && !change) {
        change = {agreement::ChangeKind::kRemove, id};
      }
    }
  }
  if (change) ChangeMembership(i, *change);
}

agreement::ProposeStatus Cluster::ChangeMembership(std::size_t i,
                                                   const agreement::MembershipChange& change) {
  Node& node = *nodes_[i];
  if (!node.replica) return agreement::ProposeStatus::kNotLeader;
  agreement::ProposeResult result = node.replica->ChangeMembership(change, LocalTime(node));
  if (result.status <= agreement::ProposeStatus::kConfirming) {
    Trace(node.id.Text() + " proposes " + std::string(agreement::kChangeKinds.Name(change.kind)) +
          " " + change.id.Text());
  }
  HandleEffects(i, std::move(result.effects));
  return result.status;
}

void Cluster::CheckInvariants(std::size_t i) {
  Node& node = *nodes_[i];
  if (node.replica && node.replica->counters().elections_won > node.elections_seen) {
    node.elections_seen = node.replica->counters().elections_won;
    Trace(node.id.Text() + " leads term " + std::to_string(node.replica->term()));
    checker_.CheckElected(*node.replica);
  }
  if (!node.replica || node.replica->role() != agreement::Role::kLeader || !HasLease(i)) return;
  std::vector<const agreement::Replica*> holders;
  for (std::size_t k = 0; k < nodes_.size(); ++k) {
    if (up(k) && HasLease(k)) holders.push_back(nodes_[k]->replica.get());
  }
  checker_.CheckLeaseHolders(holders);
}

bool Cluster::HasLease(std::size_t i) const {
  return up(i) && nodes_[i]->replica->HasLease(LocalTime(*nodes_[i]));
}

std::optional<std::size_t> Cluster::Leader() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (HasLease(i)) return i;
  }
  return std::nullopt;
}

}  // namespace wagtailslip::simulation
