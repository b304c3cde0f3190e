// Replica, log and proposals of an entry process. Leases and publishing are in entry_lease.cc, the
// leader's duties in entry_leader.cc.
#include "entry_control.h"

#include <algorithm>

#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/agreement_codec.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/codec/record_codec.h"
#include "wagtailslip/codec/state_codec.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

constexpr Duration kProposalRetry = std::chrono::milliseconds(400);
constexpr std::uint64_t kFirstIncarnation = 1;

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(UtcNow().time_since_epoch().count());
}

agreement::PersistentState InitialState(const EntrySettings& settings) {
  if (!settings.bootstrap || !settings.voters.contains(settings.id)) return {};
  std::vector<agreement::ReplicaId> voters;
  for (const auto& [id, address] : settings.voters) voters.push_back({id, kFirstIncarnation});
  return agreement::BootstrapState(voters);
}

}  // namespace

EntryControl::EntryControl(EntrySettings settings, EntryOutlets outlets, TimePoint now)
    : settings_(std::move(settings)),
      outlets_(std::move(outlets)),
      incarnation_(NewIncarnation()),
      // Numbers of an earlier start never come again, so a late reply to one of them matches
      // nothing.
      next_proposal_(static_cast<std::int64_t>(incarnation_)),
      rules_(std::make_shared<const RuleBook>(std::map<std::string, config::Rule>())) {
  started_at_ = now;
  for (const auto* known : {&settings_.voters, &settings_.peers}) {
    for (const auto& [id, address] : *known) {
      if (id != settings_.id) peers_[id].address = address;
    }
  }
  OpenReplica(now);
}

void EntryControl::OpenReplica(TimePoint now) {
  agreement::PersistentState state;
  agreement::ReplicaConfig config;
  if (settings_.data_folder.empty()) {
    // Without a disk every start is a new identity: promises of an earlier one are forgotten.
    config.id = {settings_.id, incarnation_};
  } else {
    disk::LogStoreOptions options;
    options.folder = settings_.data_folder;
    options.initial = InitialState(settings_);
    const bool first = !options.initial.entries.empty() || options.initial.snapshot != nullptr;
    options.identity = {settings_.id, first ? kFirstIncarnation : incarnation_};
    store_ = std::make_unique<disk::LogStore>(options);
    config.id = store_->identity();
    state = store_->TakeState();
  }
  if (state.snapshot) machine_.Restore(codec::DecodeState(state.snapshot->data));
  replica_ = std::make_unique<agreement::Replica>(config, std::move(state),
                                                  Hash64(settings_.id, incarnation_), now);
}

void EntryControl::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  outlets_.post_flush();
}

void EntryControl::HandleEffects(agreement::Effects effects, TimePoint now) {
  if (store_ && effects.hard_state) store_->SaveHardState(*effects.hard_state);
  for (const auto& message : effects.messages) {
    wire::PeerMessage body;
    body.__set_agreement(codec::ToWire(message));
    Send(message.to.process, body, now);
  }
  if (store_) store_->Write(effects);
  if (effects.write != 0) {
    last_write_ = effects.write;
    ScheduleFlush();
  }
  if (effects.install) {
    machine_.Restore(codec::DecodeState(effects.install->data));
    applied_since_snapshot_ = 0;
    // Several changes of the processes may be in the snapshot.
    process_changes_ += 2;
    Publish(now);
  }
  for (const auto& entry : effects.committed) ApplyEntry(entry, now);
  if (!effects.committed.empty()) {
    publish_due_ = true;
    publish_at_ = {};
    // Traffic must know a rule before an operator or a view does: a call that another process runs
    // by the new rule would run here by the old one, without a record.
    if (rules_due_) Publish(now);
    DeliverApplied();
  }
}

void EntryControl::ApplyEntry(const agreement::Entry& entry, TimePoint now) {
  LogOrigin origin;
  const auto it = in_log_.find(entry.index);
  if (it != in_log_.end()) {
    origin = it->second;
    in_log_.erase(it);
  }
  if (entry.index <= machine_.revision()) return;
  // Entries of the log itself take an index, so the revision follows them too.
  const config::Record record = entry.kind == agreement::EntryKind::kCommand
                                    ? codec::DecodeRecord(entry.data)
                                    : config::Record(config::NoOp{});
  const auto result = machine_.Apply(record, entry.index);
  ++applied_since_snapshot_;
  // Intents and outcomes of calls are frequent, and change no rule.
  if (!std::holds_alternative<config::IntentRecorded>(record) &&
      !std::holds_alternative<config::OutcomeRecorded>(record)) {
    rules_due_ = true;
  }
  if (std::holds_alternative<config::ProcessStarted>(record) ||
      std::holds_alternative<config::ProcessLeft>(record)) {
    ++process_changes_;
  }
  if (std::holds_alternative<config::EndpointJoined>(record) ||
      std::holds_alternative<config::EndpointLeft>(record)) {
    endpoints_revision_ = entry.index;
  }
  if (!result.ok() && !std::holds_alternative<config::IntentRecorded>(record)) {
    LogEvent(Event::kRecordRejected, {{"index", entry.index},
                                      {"status", config::kApplyStatuses.Name(result.status)},
                                      {"code", result.code},
                                      {"message", result.message}});
  }
  if (const auto* advance = std::get_if<config::AdvanceRollout>(&record); advance && result.ok()) {
    LogEvent(Event::kRolloutAdvanced, {{"rollout", advance->rollout_id},
                                       {"transition", advance->event},
                                       {"endpoints", advance->endpoints},
                                       {"reason", advance->reason}});
  }
  // Only the entry of the term in which it was proposed is the proposal itself.
  if (origin.term == entry.term && origin.proposal != 0) FinishProposal(origin, result, now);
}

void EntryControl::FinishProposal(const LogOrigin& origin, const config::ApplyResult& result,
                                  TimePoint now) {
  if (origin.process.empty()) {
    const auto it = local_.find(origin.proposal);
    if (it != local_.end()) it->second.result = result;
    return;
  }
  wire::ProposeReply reply;
  reply.proposal = origin.proposal;
  codec::ApplyResultToWire(result, reply.result);
  wire::PeerMessage body;
  body.__set_propose_reply(reply);
  Send(origin.process, body, now);
}

void EntryControl::DeliverApplied() {
  // A caller that reads after its command must see it, so the answer waits for the revision here.
  std::vector<std::pair<ProposalDone, config::ApplyResult>> ready;
  for (auto it = local_.begin(); it != local_.end();) {
    if (it->second.result && it->second.result->revision <= machine_.revision()) {
      ready.emplace_back(std::move(it->second.done), std::move(*it->second.result));
      it = local_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& [done, result] : ready) done(std::move(result));
}

void EntryControl::Propose(config::Record record, Duration timeout, ProposalDone done,
                           TimePoint now) {
  local_[next_proposal_++] = {std::move(record), std::move(done), now + timeout, now, std::nullopt};
  ScheduleFlush();
}

void EntryControl::ExpireProposals(TimePoint now) {
  std::vector<ProposalDone> expired;
  for (auto it = local_.begin(); it != local_.end();) {
    if (now >= it->second.deadline) {
      expired.push_back(std::move(it->second.done));
      it = local_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& done : expired) done(std::nullopt);
}

void EntryControl::SendProposals(TimePoint now) {
  const bool leading = Leading(now);
  const auto& leader = replica_->leader();
  for (auto& [id, proposal] : local_) {
    if (proposal.result || now < proposal.next_try) continue;
    if (leading) {
      queued_.push_back({proposal.record, "", id});
    } else if (leader && leader->process != settings_.id) {
      wire::ProposeRequest request;
      request.proposal = id;
      request.record = codec::EncodeRecord(proposal.record);
      wire::PeerMessage body;
      body.__set_propose_request(request);
      Send(leader->process, body, now);
    } else {
      continue;
    }
    proposal.next_try = now + kProposalRetry;
  }
}

void EntryControl::ProposeQueued(TimePoint now) {
  if (queued_.empty()) return;
  std::vector<std::string> batch;
  for (auto& it : queued_) {
    // The leader's clock orders the at-most-once window, so that callers of all entry processes
    // share one time.
    if (auto* intent = std::get_if<config::IntentRecorded>(&it.record)) intent->at = UtcNow();
    batch.push_back(codec::EncodeRecord(it.record));
  }
  auto result = replica_->ProposeBatch(std::move(batch), now);
  if (result.status == agreement::ProposeStatus::kAccepted) {
    for (std::size_t i = 0; i < queued_.size(); ++i) {
      in_log_[result.first_index + i] = {result.term, queued_[i].process, queued_[i].proposal};
    }
  }
  // What was refused is proposed again by its process after kProposalRetry.
  queued_.clear();
  HandleEffects(std::move(result.effects), now);
}

void EntryControl::Flush(TimePoint now) {
  flush_scheduled_ = false;
  SendProposals(now);
  ProposeQueued(now);
  while (persisted_write_ < last_write_) {
    if (store_) store_->Sync();
    persisted_write_ = last_write_;
    HandleEffects(replica_->Persisted(persisted_write_, now), now);
  }
}

void EntryControl::OnProposeRequest(const std::string& sender, const wire::ProposeRequest& request,
                                    TimePoint now) {
  if (!Leading(now)) return;
  // A resent request whose first copy is still in the log must not be appended again and again.
  for (const auto& [index, origin] : in_log_) {
    if (origin.process == sender && origin.proposal == request.proposal &&
        origin.term == replica_->term()) {
      return;
    }
  }
  queued_.push_back({codec::DecodeRecord(request.record), sender, request.proposal});
  ScheduleFlush();
}

void EntryControl::OnProposeReply(const wire::ProposeReply& reply, TimePoint) {
  const auto it = local_.find(reply.proposal);
  if (it == local_.end()) return;
  it->second.result = codec::ApplyResultFromWire(reply.result);
  DeliverApplied();
}

void EntryControl::Tick(TimePoint now) {
  HandleEffects(replica_->Tick(now), now);
  if (replica_->role() != last_role_) {
    last_role_ = replica_->role();
    if (last_role_ == agreement::Role::kLeader) leading_since_ = now;
    LogEvent(Event::kReplicaRoleChanged,
             {{"role", agreement::kRoles.Name(last_role_)}, {"term", replica_->term()}});
  }
  ExpireProposals(now);
  SendProposals(now);
  if (!queued_.empty()) ScheduleFlush();
  UpdateLease(now);
  Join(now);
  Register(now);
  if (Leading(now)) Lead(now);
  // A leader that leaves hands over once its withdrawal is committed, instead of leaving the others
  // to wait for the end of its lease.
  if (leaving_ && Withdrawn() && replica_->role() == agreement::Role::kLeader) {
    HandleEffects(replica_->StepDown(now), now);
  }
  RelayReports(now);
  MaybeCompact(now);
  if (publish_due_ || now >= publish_at_) Publish(now);
}

void EntryControl::MaybeCompact(TimePoint) {
  if (applied_since_snapshot_ < settings_.snapshot_entries) return;
  applied_since_snapshot_ = 0;
  const auto snapshot =
      replica_->Compact(machine_.revision(), codec::EncodeState(machine_.state()));
  if (store_ && snapshot) store_->SaveSnapshot(*snapshot);
}

}  // namespace wagtailslip::process
