#include "control_log.h"

#include <algorithm>
#include <set>

#include "gen/mesh_types.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/codec/deflate.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {
namespace {

using process::Event;
using process::LogEvent;

constexpr std::uint64_t kFirstIncarnation = 1;
// Callers retry at another process after 1 s, so a much later outcome would not reach them.
constexpr Duration kProposalTimeout = std::chrono::milliseconds(1800);
constexpr Duration kRepairPeriod = std::chrono::milliseconds(100);
// Silence after which a voter is considered dead. A wiped or replaced process must be a voter again
// within the catch-up time of the deployment, 4 s.
constexpr Duration kVoterTimeout = std::chrono::milliseconds(1600);
// A standby may be promoted if it was caught up with the leader within this time.
constexpr Duration kMaxCaughtUpAge = std::chrono::milliseconds(700);
// A member that has not heard from a leader for this long asks to join again.
constexpr Duration kLeaderContactTimeout = std::chrono::milliseconds(1500);
// Limit on the size of a decompressed configuration.
constexpr std::size_t kMaxConfigBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t kMaxTargetsPerModel = 4;
// A snapshot is taken once this many entries or bytes were applied since the last one.
constexpr std::uint64_t kSnapshotEntries = 64;
constexpr std::size_t kSnapshotBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kRetainedEntries = 16;

agreement::ReplicaConfig LogConfig(const agreement::ReplicaId& id) {
  agreement::ReplicaConfig config;
  config.id = id;
  config.heartbeat = std::chrono::milliseconds(120);
  config.lease = std::chrono::milliseconds(700);
  config.lease_margin = std::chrono::milliseconds(20);
  config.election_min = std::chrono::milliseconds(700);
  config.election_max = std::chrono::milliseconds(1300);
  config.learner_heartbeat = std::chrono::milliseconds(200);
  config.max_unacknowledged = 256;
  config.max_entry_bytes = 5UL * 1024 * 1024;
  config.retained_entries = kRetainedEntries;
  return config;
}

std::string EncodeCommand(const Command& command) {
  wire::ControlCommand w;
  if (command.config_version != 0) {
    wire::ServiceConfigBody body;
    body.version = command.config_version;
    body.body = command.config_body;
    w.__set_service_config(body);
  } else if (command.retry_blocks) {
    w.__set_retry_blocks(*command.retry_blocks);
  } else if (command.crash_verdict) {
    w.__set_crash_verdict(mesh::ToWire(*command.crash_verdict));
  } else if (command.domain_drain) {
    wire::DomainDrain drain;
    drain.domain = command.domain_drain->domain;
    drain.drained = command.domain_drain->drained;
    drain.utc_ms = command.domain_drain->utc_ms;
    w.__set_domain_drain(drain);
  } else {
    wire::WeightsTarget target;
    target.model = command.model;
    target.version = command.weights_version;
    target.named_utc_ms = command.named_utc_ms;
    w.__set_target(target);
  }
  return codec::EncodeCompact(w);
}

Command DecodeCommand(const std::string& data) {
  auto w = codec::DecodeCompact<wire::ControlCommand>(data);
  Command command;
  if (w.__isset.service_config) {
    command.config_version = w.service_config.version;
    command.config_body = std::move(w.service_config.body);
  }
  if (w.__isset.target) {
    command.model = w.target.model;
    command.weights_version = w.target.version;
    command.named_utc_ms = w.target.named_utc_ms;
  }
  if (w.__isset.retry_blocks) command.retry_blocks = w.retry_blocks;
  if (w.__isset.crash_verdict) command.crash_verdict = mesh::FromWire(w.crash_verdict);
  if (w.__isset.domain_drain) {
    command.domain_drain =
        serving::DomainDrain{w.domain_drain.domain, w.domain_drain.drained, w.domain_drain.utc_ms};
  }
  return command;
}

}  // namespace

std::string CompressConfig(std::string_view body) { return codec::Deflate(body); }

std::string DecompressConfig(std::string_view packed) {
  return codec::Inflate(packed, kMaxConfigBytes);
}

ControlLog::ControlLog(const deployment::NodeSettings& settings,
                       const std::vector<std::string>& initial_voters, Callbacks callbacks,
                       std::int64_t incarnation, TimePoint now)
    : process_(settings.mesh_address()),
      callbacks_(std::move(callbacks)),
      last_leader_contact_(now) {
  disk::LogStoreOptions options;
  options.folder = settings.data_folder;
  const bool first = settings.first_start && std::find(initial_voters.begin(), initial_voters.end(),
                                                       process_) != initial_voters.end();
  options.identity = {process_,
                      first ? kFirstIncarnation : static_cast<std::uint64_t>(incarnation)};
  if (first) {
    std::vector<agreement::ReplicaId> voters;
    voters.reserve(initial_voters.size());
    for (const auto& it : initial_voters) voters.push_back({it, kFirstIncarnation});
    options.initial = agreement::BootstrapState(voters);
  }
  store_ = std::make_unique<disk::LogStore>(options);
  auto state = store_->TakeState();
  if (state.snapshot) {
    Restore(state.snapshot->data, now);
    applied_ = state.snapshot->index;
  }
  replica_ = std::make_unique<agreement::Replica>(
      LogConfig(store_->identity()), std::move(state),
      Hash64(process_, static_cast<std::uint64_t>(incarnation)), now);
  recovered_config_.config_version = state_.config_version;
  recovered_config_.config_body = state_.config_body;
  const auto& log = replica_->log();
  for (agreement::Index i = log.base() + 1; i <= log.last(); ++i) {
    if (log.At(i).kind != agreement::EntryKind::kCommand) continue;
    Command command = DecodeCommand(log.At(i).data);
    if (command.config_version > recovered_config_.config_version) {
      recovered_config_ = std::move(command);
      recovered_index_ = i;
    }
  }
}

bool ControlLog::HasLeaderLease(TimePoint now) const {
  return replica_->role() == agreement::Role::kLeader && replica_->HasLease(now);
}

bool ControlLog::CanServeReads(TimePoint now) const {
  const auto read = replica_->ReadIndex(now);
  return read && applied_ >= *read;
}

std::string ControlLog::Leader() const {
  return replica_->leader() ? replica_->leader()->process : std::string();
}

std::optional<agreement::ReplicaId> ControlLog::IdToJoin(TimePoint now) const {
  const bool member = replica_->membership().Role(replica_->id()).has_value();
  // A member that was removed while it was down or unreachable is not notified. Its only symptom is
  // that it no longer hears from a leader.
  if (member && (HasLeaderLease(now) || now - last_leader_contact_ < kLeaderContactTimeout))
    return std::nullopt;
  return replica_->id();
}

void ControlLog::OnJoinRequest(const agreement::ReplicaId& id, TimePoint now) {
  if (!HasLeaderLease(now)) return;
  auto result = replica_->ChangeMembership({agreement::ChangeKind::kAddStandby, id}, now);
  if (result.status == agreement::ProposeStatus::kAccepted) {
    LogEvent(Event::kMembershipChanged, {{"change", "add-standby"}, {"member", id.Text()}});
  }
  HandleEffects(std::move(result.effects), now);
}

void ControlLog::OnMessage(const agreement::Message& message, TimePoint now) {
  const bool from_leader = std::holds_alternative<agreement::AppendRequest>(message.body) ||
                           std::holds_alternative<agreement::SnapshotPart>(message.body);
  if (from_leader && message.to == replica_->id() && message.term >= replica_->term()) {
    last_leader_contact_ = now;
  }
  HandleEffects(replica_->Step(message, now), now);
}

void ControlLog::HandleEffects(agreement::Effects effects, TimePoint now) {
  if (effects.hard_state) store_->SaveHardState(*effects.hard_state);
  for (const auto& message : effects.messages) callbacks_.send(message);
  store_->Write(effects);
  if (effects.write != 0) {
    last_write_ = effects.write;
    if (!flush_scheduled_) {
      flush_scheduled_ = true;
      callbacks_.schedule_flush();
    }
  }
  bool changed = false;
  if (effects.install) {
    Restore(effects.install->data, now);
    applied_ = effects.install->index;
    applied_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
    changed = true;
  }
  for (const auto& entry : effects.committed) Apply(entry, now);
  // The entry was committed and is part of the state, or the entry of another leader replaced it.
  const bool replaced = effects.truncate_from && *effects.truncate_from <= recovered_index_;
  if (recovered_config_.config_version != 0 && (replaced || applied_ >= recovered_index_))
    recovered_config_ = Command{};
  if (changed || !effects.committed.empty()) callbacks_.on_change();
}

void ControlLog::Apply(const agreement::Entry& entry, TimePoint now) {
  if (entry.index <= applied_) return;
  applied_ = entry.index;
  ++applied_since_snapshot_;
  bytes_since_snapshot_ += entry.data.size();
  if (entry.kind == agreement::EntryKind::kCommand) ApplyCommand(DecodeCommand(entry.data), now);
  const auto it = pending_.find(entry.index);
  if (it == pending_.end()) return;
  // An entry of another term at this index means that another leader's entry replaced the
  // proposal.
  const bool committed = it->second.term == entry.term;
  CommitCallback done = std::move(it->second.done);
  pending_.erase(it);
  done(committed);
}

void ControlLog::ApplyCommand(const Command& command, TimePoint now) {
  // A committed command with an older or equal version has no effect.
  if (command.config_version > state_.config_version) {
    state_.config_version = command.config_version;
    state_.config_body = command.config_body;
    LogEvent(Event::kServiceConfigAgreed,
             {{"version", command.config_version}, {"bytes", command.config_body.size()}});
  }
  if (command.retry_blocks) state_.retry_blocks = *command.retry_blocks;
  if (command.crash_verdict) {
    serving::ApplyVerdict(state_.crash_verdicts, *command.crash_verdict);
  }
  if (command.domain_drain) ApplyDrain(*command.domain_drain, now);
  if (command.weights_version > 0)
    ApplyTarget(command.model, command.weights_version, command.named_utc_ms, now);
}

void ControlLog::ApplyDrain(const serving::DomainDrain& drain, TimePoint now) {
  auto& state = state_.drained_domains;
  if (!serving::ApplyDrain(state, drain, MonotonicTimeOf(drain.utc_ms, now))) return;
  LogEvent(drain.drained ? Event::kDomainDrainBegan : Event::kDomainDrainFinished,
           {{"domain", drain.domain}, {"revision", state.revision}});
}

TimePoint ControlLog::MonotonicTimeOf(std::int64_t utc_ms, TimePoint now) const {
  const auto utc_now = std::chrono::duration_cast<std::chrono::milliseconds>(
      callbacks_.utc_now().time_since_epoch());
  return now - std::max(utc_now - std::chrono::milliseconds(utc_ms), std::chrono::milliseconds(0));
}

void ControlLog::ApplyTarget(const std::string& model, std::int64_t version,
                             std::int64_t named_utc_ms, TimePoint now) {
  auto& targets = state_.targets[model];
  if (!targets.empty() && version <= targets.back().version) return;
  // A restarted process may apply the entry long after it was committed, so the age is computed
  // from the wall-clock time at which the version was named.
  const auto utc_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      callbacks_.utc_now().time_since_epoch());
  const Duration age =
      std::max(utc_ms - std::chrono::milliseconds(named_utc_ms), std::chrono::milliseconds(0));
  targets.push_back({version, named_utc_ms, now - age});
  if (targets.size() > kMaxTargetsPerModel) targets.erase(targets.begin());
  LogEvent(Event::kWeightsNamed,
           {{"model", model}, {"version", version}, {"age_ms", ToMilliseconds(age)}});
}

void ControlLog::Restore(const std::string& snapshot, TimePoint now) {
  const auto w = codec::DecodeCompact<wire::ControlSnapshot>(snapshot);
  if (w.__isset.service_config && w.service_config.version > state_.config_version) {
    state_.config_version = w.service_config.version;
    state_.config_body = w.service_config.body;
  }
  for (const auto& it : w.targets) {
    ApplyTarget(it.model, it.version, it.named_utc_ms, now);
  }
  if (w.__isset.retry_blocks) state_.retry_blocks = w.retry_blocks;
  if (w.__isset.crash_verdicts) state_.crash_verdicts = mesh::FromWire(w.crash_verdicts);
  if (w.__isset.drained_domains) {
    state_.drained_domains = mesh::FromWire(w.drained_domains, now);
    for (auto& [domain, end] : state_.drained_domains.ended) {
      end.at = MonotonicTimeOf(end.utc_ms, now);
    }
  }
}

void ControlLog::Propose(const Command& command, CommitCallback done, TimePoint) {
  queued_.emplace_back(EncodeCommand(command), std::move(done));
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  callbacks_.schedule_flush();
}

void ControlLog::Flush(TimePoint now) {
  flush_scheduled_ = false;
  if (!queued_.empty()) {
    std::vector<std::string> batch;
    std::vector<CommitCallback> waiting;
    for (auto& [data, done] : queued_) {
      batch.push_back(std::move(data));
      waiting.push_back(std::move(done));
    }
    queued_.clear();
    auto result = replica_->ProposeBatch(std::move(batch), now);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if (result.status == agreement::ProposeStatus::kAccepted) {
        pending_[result.first_index + i] = {result.term, now + kProposalTimeout,
                                            std::move(waiting[i])};
      } else {
        waiting[i](false);
      }
    }
    HandleEffects(std::move(result.effects), now);
  }
  while (persisted_write_ < last_write_) {
    store_->Sync();
    persisted_write_ = last_write_;
    HandleEffects(replica_->Persisted(persisted_write_, now), now);
  }
}

void ControlLog::ExpirePending(TimePoint now) {
  std::vector<CommitCallback> expired;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now >= it->second.deadline) {
      expired.push_back(std::move(it->second.done));
      it = pending_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& done : expired) done(false);
}

std::optional<agreement::MembershipChange> ControlLog::PlanRepair(TimePoint now) {
  const auto& membership = replica_->membership();
  std::set<std::string> live{process_};
  std::optional<agreement::ReplicaId> dead;
  std::optional<agreement::ReplicaId> ready;
  for (const auto& [id, role] : membership.members()) {
    const auto* progress = replica_->progress(id);
    if (progress == nullptr) continue;
    // Not `now - last_contact`, which overflows for a member that has never responded: its
    // `last_contact` is the minimum of TimePoint.
    const bool responsive = progress->last_contact > now - kVoterTimeout;
    if (responsive) live.insert(id.process);
    const bool observed_long_enough = now - leader_since_ >= kVoterTimeout;
    if (role == agreement::MemberRole::kVoter && !responsive && observed_long_enough) dead = id;
    if (role == agreement::MemberRole::kStandby && progress->caught_up_at > now - kMaxCaughtUpAge) {
      ready = id;
    }
  }
  target_voters_ = std::max({target_voters_, live.size(), membership.voter_count()});
  if (!ready) return std::nullopt;
  const bool old_incarnation_votes =
      std::any_of(membership.members().begin(), membership.members().end(), [&](const auto& row) {
        return row.first.process == ready->process && row.second == agreement::MemberRole::kVoter;
      });
  // The number of voters must not shrink while several members seem dead: acknowledged entries
  // would then be stored on too few disks to survive the tolerated number of disk losses.
  if (membership.voter_count() < target_voters_ && !old_incarnation_votes) {
    return agreement::MembershipChange{agreement::ChangeKind::kPromote, *ready};
  }
  if (dead) return agreement::MembershipChange{agreement::ChangeKind::kReplace, *ready, *dead};
  return std::nullopt;
}

void ControlLog::RepairMembership(TimePoint now) {
  if (now < next_repair_at_ || !HasLeaderLease(now)) return;
  next_repair_at_ = now + kRepairPeriod;
  const auto change = PlanRepair(now);
  if (!change) return;
  auto result = replica_->ChangeMembership(*change, now);
  if (result.status == agreement::ProposeStatus::kAccepted) {
    LogEvent(Event::kMembershipChanged, {{"change", agreement::kChangeKinds.Name(change->kind)},
                                         {"member", change->id.Text()}});
  }
  HandleEffects(std::move(result.effects), now);
}

void ControlLog::Compact(TimePoint now) {
  if (applied_since_snapshot_ < kSnapshotEntries && bytes_since_snapshot_ < kSnapshotBytes) return;
  applied_since_snapshot_ = 0;
  bytes_since_snapshot_ = 0;
  wire::ControlSnapshot w;
  if (state_.config_version != 0) {
    wire::ServiceConfigBody body;
    body.version = state_.config_version;
    body.body = state_.config_body;
    w.__set_service_config(body);
  }
  w.__set_retry_blocks(state_.retry_blocks);
  w.__set_crash_verdicts(mesh::ToWire(state_.crash_verdicts));
  if (state_.drained_domains.revision > 0) {
    w.__set_drained_domains(mesh::ToWire(state_.drained_domains, now));
  }
  for (const auto& [model, targets] : state_.targets) {
    for (const auto& target : targets) {
      wire::WeightsTarget it;
      it.model = model;
      it.version = target.version;
      it.named_utc_ms = target.named_utc_ms;
      w.targets.push_back(it);
    }
  }
  const auto snapshot = replica_->Compact(applied_, codec::EncodeCompact(w));
  if (snapshot) store_->SaveSnapshot(*snapshot);
}

void ControlLog::Tick(TimePoint now) {
  HandleEffects(replica_->Tick(now), now);
  if (replica_->role() != last_role_) {
    last_role_ = replica_->role();
    if (last_role_ == agreement::Role::kLeader) {
      leader_since_ = now;
      target_voters_ = 0;
    }
    LogEvent(Event::kReplicaRoleChanged,
             {{"role", agreement::kRoles.Name(last_role_)}, {"term", replica_->term()}});
  }
  ExpirePending(now);
  RepairMembership(now);
  Compact(now);
}

void ControlLog::StepDown(TimePoint now) {
  if (replica_->role() == agreement::Role::kLeader) HandleEffects(replica_->StepDown(now), now);
}

}  // namespace wagtailslip::control
