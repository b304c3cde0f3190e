#include "control_node.h"

#include <algorithm>
#include <utility>

#include "platform/service_config.h"
#include "wagtailslip/codec/agreement_codec.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {
namespace {

using mesh::MemberKind;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
// Announcements that only refresh a record are relayed in batches with this period.
constexpr Duration kRelayPeriod = std::chrono::milliseconds(250);
// Load readings that arrive are relayed to the ingress processes in batches with this period.
constexpr Duration kReadingPeriod = std::chrono::milliseconds(60);
// Versions committed within this interval reach a process as the latest one only.
constexpr Duration kMinConfigInterval = std::chrono::milliseconds(150);
// The leader sends the configuration first. Followers send it only to processes that still lack it
// after this delay, so that a single copy of a large configuration crosses the links between
// regions rather than one from each control process.
constexpr Duration kFollowerSendDelay = std::chrono::milliseconds(350);
// Number of processes that are sent a configuration at a time. A large configuration sent to all of
// them at once would delay commands.
constexpr std::size_t kMaxConfigReceivers = 4;
constexpr Duration kConfigResendDelay = std::chrono::milliseconds(700);
constexpr Duration kSourcePeriod = std::chrono::milliseconds(500);
constexpr Duration kJoinPeriod = std::chrono::milliseconds(300);
constexpr Duration kExpirePeriod = std::chrono::seconds(1);

wire::WeightsTarget TargetToWire(const std::string& model, const WeightsTarget& target,
                                 TimePoint now) {
  wire::WeightsTarget w;
  w.model = model;
  w.version = target.version;
  w.age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - target.named_at).count();
  w.named_utc_ms = target.named_utc_ms;
  return w;
}

void LogRestored(const serving::EndpointRecord& record, TimePoint now) {
  LogEvent(Event::kServiceEndpointRestored,
           {{"endpoint", record.id},
            {"started_ms", record.started_ms},
            {"sequence", record.sequence},
            {"age_ms", ToMilliseconds(now - record.announced_at)}});
}

}  // namespace

ControlNode::ControlNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
                         std::int64_t incarnation, TimePoint now)
    : context_(context),
      settings_(settings),
      ticks_(context, kTickPeriod, [this] { Tick(); }),
      control_discovery_(settings),
      retry_allocator_({settings.bounds.retry_budget_ratio, settings.bounds.retry_budget_extra,
                        settings.bounds.retry_window}) {
  table_.SetServices({});
  auto self =
      mesh::MakeSelfMember(settings, MemberKind::kControl, settings.control_address, incarnation);
  self.accepting = true;
  mesh_ = std::make_unique<mesh::MeshNode>(context, net::ParseAddress(settings.mesh_address()),
                                           std::move(self), mesh::MeshLimits{}, *this);
  ControlLog::Callbacks callbacks;
  callbacks.send = [this](const agreement::Message& message) {
    wire::MeshMessage w;
    w.__set_agreement(codec::ToWire(message));
    mesh_->Send(message.to.process, w);
  };
  callbacks.schedule_flush = [this] {
    net::asio::post(context_, [this] { log_->Flush(MonotonicNow()); });
  };
  callbacks.utc_now = [] { return process::UtcNow(); };
  callbacks.on_change = [this] { OnStateChange(MonotonicNow()); };
  const std::vector<std::string> initial_voters(control_discovery_.seeds().begin(),
                                                control_discovery_.seeds().end());
  log_ = std::make_unique<ControlLog>(settings, initial_voters, callbacks, incarnation, now);
}

void ControlNode::Start() {
  UpdateLinks();
  mesh_->Start();
  ticks_.Start();
}

void ControlNode::BeginStop(TimePoint now) {
  auto self = mesh_->self();
  self.accepting = false;
  mesh_->UpdateSelf(self);
  log_->StepDown(now);
}

void ControlNode::Stop() {
  ticks_.Stop();
  mesh_->Stop();
}

void ControlNode::Tick() {
  const TimePoint now = MonotonicNow();
  log_->Tick(now);
  if (now >= next_relay_at_) FlushRelay(now);
  SendSummaries(now);
  RepeatEnds(now);
  SendConfig(now);
  SendLimits(now);
  CommitRetryBlocks(now);
  LeadsWarmup(now);
  JudgeCrashes(now);
  SendVerdicts(now);
  RefreshSources(now);
  if (now >= next_join_at_) {
    next_join_at_ = now + kJoinPeriod;
    if (const auto id = log_->IdToJoin(now)) {
      wire::MeshMessage message;
      message.__isset.join = true;
      message.join.id.process = id->process;
      message.join.id.incarnation = static_cast<std::int64_t>(id->incarnation);
      mesh_->SendTo(LinkedProcesses({MemberKind::kControl}), message);
    }
    UpdateLinks();
  }
  if (now >= next_expiry_at_) {
    next_expiry_at_ = now + kExpirePeriod;
    for (const auto& id :
         table_.Expire(serving::kEndpointTtl, serving::kServiceActiveWindow, now)) {
      LogEvent(Event::kServiceEndpointGone, {{"endpoint", id}, {"reason", "no announcement"}});
    }
    PruneLimits(now);
  }
}

std::set<std::string> ControlNode::ControlProcesses() {
  std::set<std::string> processes = control_discovery_.Addresses();
  for (const auto& [id, role] : log_->replica().membership().members()) {
    processes.insert(id.process);
  }
  for (const auto& it : mesh_->Members(MemberKind::kControl)) processes.insert(it.process);
  return processes;
}

void ControlNode::UpdateLinks() {
  mesh_->SetOutboundPeers(ControlProcesses());
  // Receivers use only these fields. Without the others, a process that restarts or stops accepting
  // callers does not change the list.
  const auto entry = [](const std::string& process, MemberKind kind, const std::string& domain) {
    mesh::Member member;
    member.process = process;
    member.kind = kind;
    member.failure_domain = domain;
    return member;
  };
  mesh::MemberMap controls;
  controls[settings_.mesh_address()] = entry(settings_.mesh_address(), MemberKind::kControl, "");
  for (const auto& [id, role] : log_->replica().membership().members()) {
    controls[id.process] = entry(id.process, MemberKind::kControl, "");
  }
  for (const auto& it : mesh_->Members(MemberKind::kControl)) {
    controls[it.process] = entry(it.process, MemberKind::kControl, "");
  }
  mesh::MemberMap processes = controls;
  for (const auto& it : mesh_->Members(MemberKind::kIngress)) {
    processes[it.process] = entry(it.process, MemberKind::kIngress, it.failure_domain);
  }
  if (const auto changes = control_list_.Update(std::move(controls))) {
    SendMemberChanges(*changes, {MemberKind::kControl, MemberKind::kSidecar});
  }
  if (const auto changes = process_list_.Update(std::move(processes))) {
    SendMemberChanges(*changes, {MemberKind::kIngress});
  }
}

void ControlNode::SendMemberChanges(const mesh::MemberChanges& changes,
                                    std::initializer_list<MemberKind> kinds) {
  std::vector<std::string> receivers;
  for (const MemberKind kind : kinds) {
    for (const auto& it : mesh_->Members(kind)) {
      if (it.protocol >= mesh::kMeshProtocol) {
        receivers.push_back(it.process);
      } else {
        SendMembers(it);
      }
    }
  }
  if (receivers.empty()) return;
  wire::MeshMessage message;
  message.__set_member_changes(mesh::ToWire(changes));
  mesh_->SendTo(receivers, message);
}

void ControlNode::SendMembers(const mesh::Member& member) {
  const auto& list = member.kind == MemberKind::kIngress ? process_list_ : control_list_;
  wire::MeshMessage message;
  if (member.protocol >= mesh::kMeshProtocol) {
    message.__set_member_changes(mesh::ToWire(list.Whole()));
  } else {
    message.__isset.members = true;
    for (const auto& [id, it] : list.members()) message.members.push_back(mesh::ToWire(it));
  }
  mesh_->Send(member.process, message);
}

std::vector<std::string> ControlNode::LinkedProcesses(
    std::initializer_list<MemberKind> kinds) const {
  std::vector<std::string> processes;
  for (const MemberKind kind : kinds) {
    for (const auto& it : mesh_->Members(kind)) processes.push_back(it.process);
  }
  return processes;
}

void ControlNode::OnMemberUpdated(const mesh::Member& member, bool new_link) {
  const TimePoint now = MonotonicNow();
  const bool known = config_syncs_.contains(member.process);
  LogEvent(Event::kLinkUp, {{"peer", member.process},
                            {"kind", mesh::kMemberKinds.Name(member.kind)},
                            {"accepting", member.accepting}});
  // Otherwise the member has changed what it accepts.
  if (new_link) SendFullState(member, now);
  if (!known && member.kind == MemberKind::kControl) UpdateLinks();
}

void ControlNode::OnMemberLost(const mesh::Member& member) {
  LogEvent(Event::kLinkLost,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  config_syncs_.erase(member.process);
  control_discovery_.RemoveSource(member.process);
  if (member.kind == MemberKind::kControl) repeat_ends_ = true;
}

void ControlNode::SendFullState(const mesh::Member& member, TimePoint now) {
  config_syncs_[member.process] = ConfigSync{};
  SendMembers(member);
  wire::MeshMessage message;
  if (member.kind == MemberKind::kIngress && member.protocol >= mesh::kMeshProtocol &&
      serving::SendsSummaries(mesh_->Members(MemberKind::kIngress).size())) {
    message.__set_instance_summary(mesh::ToWire(table_.Summary(now)));
  } else {
    message.__isset.instances = true;
    for (const auto& it : table_.Snapshot()) message.instances.push_back(mesh::ToWire(it, now));
  }
  AddTargets(message, now);
  if (member.kind == MemberKind::kSidecar) {
    message.__set_sources(sources_);
  } else {
    message.__isset.limits = true;
    for (const auto& [id, it] : permit_allocator_.limits().observations()) {
      message.limits.push_back(mesh::ToWire(it, now));
    }
    message.__set_crash_verdicts(mesh::ToWire(log_->state().crash_verdicts));
    AddDrainedDomains(message, now);
  }
  mesh_->Send(member.process, message);
}

void ControlNode::OnInstanceRequest(const mesh::Member& from, const wire::InstanceRequest& request,
                                    TimePoint now) {
  wire::MeshMessage reply;
  reply.__isset.instances = true;
  const auto records =
      request.all ? table_.Snapshot() : table_.Records({request.ids.begin(), request.ids.end()});
  for (const auto& it : records) reply.instances.push_back(mesh::ToWire(it, now));
  // Shows that the reply is the full state.
  if (request.all) reply.__set_instance_summary(mesh::ToWire(table_.Summary(now)));
  mesh_->Send(from.process, reply);
}

void ControlNode::SendSummaries(TimePoint now) {
  if (now < next_summary_at_) return;
  next_summary_at_ = now + serving::kSummaryInterval;
  const auto members = mesh_->Members(MemberKind::kIngress);
  if (!serving::SendsSummaries(members.size())) return;
  std::vector<std::string> receivers;
  for (const auto& it : members) {
    if (it.protocol >= mesh::kMeshProtocol) receivers.push_back(it.process);
  }
  wire::MeshMessage message;
  message.__set_instance_summary(mesh::ToWire(table_.Summary(now)));
  mesh_->SendTo(receivers, message);
}

void ControlNode::RepeatEnds(TimePoint now) {
  if (!repeat_ends_) return;
  repeat_ends_ = false;
  const auto receivers = LinkedProcesses({MemberKind::kIngress});
  // With fewer, every control process has relayed every record.
  if (!serving::SendsSummaries(receivers.size())) return;
  wire::MeshMessage message;
  for (const auto& it : recent_ends_.Get(now)) message.instances.push_back(mesh::ToWire(it, now));
  if (message.instances.empty()) return;
  message.__isset.instances = true;
  mesh_->SendTo(receivers, message);
}

void ControlNode::OnMessage(const mesh::Member& from, const wire::MeshMessage& message) {
  const TimePoint now = MonotonicNow();
  if (message.__isset.agreement) {
    log_->OnMessage(codec::FromWire(message.agreement), now);
  }
  if (message.__isset.join) {
    log_->OnJoinRequest(
        {message.join.id.process, static_cast<std::uint64_t>(message.join.id.incarnation)}, now);
  }
  if (message.__isset.member_changes && message.member_changes.incomplete) SendMembers(from);
  if (from.kind == MemberKind::kControl && !control_discovery_.Update(from, message)) {
    wire::MeshMessage request;
    request.__isset.member_changes = true;
    request.member_changes.incomplete = true;
    mesh_->Send(from.process, request);
  }
  if (message.__isset.instance_request) OnInstanceRequest(from, message.instance_request, now);
  if (message.__isset.targets_query && !message.targets_query.answer) {
    OnTargetsQuery(from, message.targets_query, now);
  }
  if (message.__isset.instances) OnRecords(from, message.instances, now);
  if (message.__isset.expected) {
    for (const auto& it : message.expected) {
      RelayPrefetch(it.model, it.version, {MemberKind::kSidecar});
    }
  }
  if (message.__isset.readings) {
    pending_readings_.insert(pending_readings_.end(), message.readings.begin(),
                             message.readings.end());
    if (now >= next_readings_at_) {
      next_readings_at_ = now + kReadingPeriod;
      wire::MeshMessage relayed;
      relayed.__set_readings(pending_readings_);
      pending_readings_.clear();
      mesh_->SendTo(LinkedProcesses({MemberKind::kIngress}), relayed);
    }
  }
  if (message.__isset.permits && !message.permits.grant) {
    OnPermitRequest(from, message, now);
  } else if (message.__isset.limits) {
    for (const auto& it : message.limits) permit_allocator_.Record(mesh::FromWire(it, now));
  }
  if (message.__isset.retries && !message.retries.grant) {
    OnRetryReport(from, message.retries, now);
  }
  if (message.__isset.warmup_leases && !message.warmup_leases.grant) {
    OnWarmupRequest(from, message.warmup_leases, now);
  }
  if (message.__isset.crash_report) OnCrashReport(from, message.crash_report, now);
  if (message.__isset.service_config) {
    // An ingress process reports the version that it has in force.
    config_syncs_[from.process].config_version = message.service_config.version;
  }
}

void ControlNode::OnRecords(const mesh::Member& from,
                            const std::vector<wire::InstanceRecord>& records, TimePoint now) {
  std::vector<wire::InstanceRecord> changed;
  for (const auto& it : records) {
    const auto record = mesh::FromWire(it, now);
    const auto result = table_.Apply(record, now);
    if (result == serving::AnnouncementResult::kRestored) LogRestored(record, now);
    if (!serving::Changed(result)) continue;
    changed.push_back(it);
    recent_ends_.Add(record, now);
    if (record.state != serving::EndpointState::kGone) continue;
    LogEvent(Event::kServiceEndpointGone, {{"endpoint", record.id},
                                           {"reason", "left"},
                                           {"from", from.process},
                                           {"started_ms", record.started_ms},
                                           {"sequence", record.sequence},
                                           {"age_ms", ToMilliseconds(now - record.announced_at)}});
  }
  if (!changed.empty()) RelayAgain(from, changed);
}

void ControlNode::RelayAgain(const mesh::Member& from,
                             const std::vector<wire::InstanceRecord>& records) {
  // Relayed because a sidecar is linked to only a few control processes, and an ingress process may
  // have lost its link to the sender.
  auto receivers = LinkedProcesses({MemberKind::kSidecar});
  const auto ingress = LinkedProcesses({MemberKind::kIngress});
  std::set<std::string> controls;
  for (const auto& it : mesh_->Members(MemberKind::kControl)) controls.insert(it.process);
  for (const auto& it : ingress) {
    // An ingress process sends a record to the control processes that it has a link to, which need
    // not be those that would be chosen.
    if (from.kind != MemberKind::kControl ||
        serving::RelaysAgain(settings_.mesh_address(), controls, from.process, it,
                             ingress.size())) {
      receivers.push_back(it);
    }
  }
  wire::MeshMessage message;
  message.__set_instances(records);
  mesh_->SendTo(receivers, message);
}

void ControlNode::Announce(serving::EndpointRecord record, TimePoint now) {
  record.announced_at = now;
  const auto result = table_.Apply(record, now);
  if (result == serving::AnnouncementResult::kIgnored) {
    LogEvent(Event::kAnnouncementIgnored, {{"endpoint", record.id},
                                           {"service", record.service},
                                           {"service_named", table_.Names(record.service)},
                                           {"address", record.address},
                                           {"started_ms", record.started_ms},
                                           {"sequence", record.sequence}});
    return;
  }
  if (result == serving::AnnouncementResult::kRestored) LogRestored(record, now);
  const bool changed = serving::Changed(result);
  if (changed) {
    LogEvent(Event::kServiceEndpointChanged,
             {{"endpoint", record.id},
              {"service", record.service},
              {"address", record.address},
              {"state", serving::kEndpointStates.Name(record.state)},
              {"weights", record.weights},
              {"started_ms", record.started_ms},
              {"sequence", record.sequence}});
  }
  Relay(record, changed, now);
}

void ControlNode::Leave(const std::string& id, UtcTime utc_now, TimePoint now) {
  auto record = table_.Leave(id, now);
  const bool known = !record.id.empty();
  if (!known) {
    // Unknown here, but another control process may have the endpoint: relay the removal of what
    // has started before the call.
    record.id = id;
    record.started_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(utc_now.time_since_epoch()).count();
    record.state = serving::EndpointState::kGone;
    record.announced_at = now;
    table_.Apply(record, now);
  }
  LogEvent(Event::kServiceEndpointGone, {{"endpoint", id},
                                         {"reason", "left"},
                                         {"known", known},
                                         {"started_ms", record.started_ms},
                                         {"sequence", record.sequence},
                                         {"age_ms", ToMilliseconds(now - record.announced_at)}});
  Relay(record, true, now);
}

void ControlNode::Relay(const serving::EndpointRecord& record, bool urgent, TimePoint now) {
  if (!urgent) {
    relay_queue_.push_back(record);
    return;
  }
  recent_ends_.Add(record, now);
  wire::MeshMessage message;
  message.__isset.instances = true;
  message.instances.push_back(mesh::ToWire(record, now));
  mesh_->SendTo(LinkedProcesses({MemberKind::kControl, MemberKind::kIngress, MemberKind::kSidecar}),
                message);
}

void ControlNode::FlushRelay(TimePoint now) {
  next_relay_at_ = now + kRelayPeriod;
  if (!pending_readings_.empty()) {
    wire::MeshMessage relayed;
    relayed.__set_readings(pending_readings_);
    pending_readings_.clear();
    mesh_->SendTo(LinkedProcesses({MemberKind::kIngress}), relayed);
  }
  if (relay_queue_.empty()) return;
  const auto ingress = mesh_->Members(MemberKind::kIngress);
  // Processes of earlier releases understand no summaries.
  std::vector<std::string> all_receivers = LinkedProcesses({MemberKind::kControl});
  std::vector<std::string> some_receivers;
  for (const auto& it : ingress) {
    const bool knows_summaries = it.protocol >= mesh::kMeshProtocol;
    (knows_summaries ? some_receivers : all_receivers).push_back(it.process);
  }
  wire::MeshMessage all;
  wire::MeshMessage some;
  for (const auto& it : std::exchange(relay_queue_, {})) {
    all.instances.push_back(mesh::ToWire(it, now));
    if (serving::RelaysRefresh(it, ingress.size())) some.instances.push_back(all.instances.back());
  }
  all.__isset.instances = true;
  mesh_->SendTo(all_receivers, all);
  if (some.instances.empty()) return;
  some.__isset.instances = true;
  mesh_->SendTo(some_receivers, some);
}

void ControlNode::OnStateChange(TimePoint now) {
  SyncVerdicts(now);
  SendDrainedDomains(now);
  SendTargets(now);
  SendConfig(now);
}

void ControlNode::SendConfig(TimePoint now) {
  const auto& state = log_->state();
  if (state.config_version == 0) return;
  const bool leading = log_->HasLeaderLease(now);
  std::vector<std::pair<TimePoint, std::string>> due;
  for (const auto& member : mesh_->Members(MemberKind::kIngress)) {
    ConfigSync& sync = config_syncs_[member.process];
    if (sync.config_version >= state.config_version) {
      sync.behind_since = {};
      continue;
    }
    if (sync.behind_since == TimePoint{}) sync.behind_since = now;
    if (!leading && !log_->CaughtUp()) continue;
    if (!leading && now < sync.behind_since + kFollowerSendDelay) continue;
    if (sync.sent_version == state.config_version && now < sync.sent_at + kConfigResendDelay)
      continue;
    if (sync.sent_version != 0 && now < sync.sent_at + kMinConfigInterval) continue;
    due.emplace_back(sync.sent_at, member.process);
  }
  if (due.empty()) return;
  std::sort(due.begin(), due.end());
  if (due.size() > kMaxConfigReceivers) due.resize(kMaxConfigReceivers);
  std::vector<std::string> receivers;
  for (const auto& [sent_at, process] : due) {
    config_syncs_[process].sent_version = state.config_version;
    config_syncs_[process].sent_at = now;
    receivers.push_back(process);
  }
  wire::MeshMessage message;
  wire::ServiceConfigBody body;
  body.version = state.config_version;
  body.body = state.config_body;
  message.__set_service_config(body);
  AddDrainedDomains(message, now);
  mesh_->SendTo(receivers, message);
}

void ControlNode::AddTargets(wire::MeshMessage& message, TimePoint now) const {
  message.__isset.targets = true;
  for (const auto& [model, targets] : log_->state().targets) {
    for (const auto& it : targets) message.targets.push_back(TargetToWire(model, it, now));
  }
}

void ControlNode::OnTargetsQuery(const mesh::Member& from, const wire::TargetsQuery& query,
                                 TimePoint now) {
  wire::MeshMessage reply;
  AddTargets(reply, now);
  reply.__set_targets_query(query);
  reply.targets_query.answer = true;
  mesh_->Send(from.process, reply);
}

void ControlNode::SendTargets(TimePoint now) {
  wire::MeshMessage message;
  for (const auto& [model, targets] : log_->state().targets) {
    for (const auto& it : targets) {
      if (sent_targets_[model] >= it.version) continue;
      sent_targets_[model] = it.version;
      message.targets.push_back(TargetToWire(model, it, now));
    }
  }
  if (message.targets.empty()) return;
  message.__isset.targets = true;
  mesh_->SendTo(LinkedProcesses({MemberKind::kIngress, MemberKind::kSidecar}), message);
}

void ControlNode::PrefetchWeights(const std::string& model, std::int64_t version) {
  RelayPrefetch(model, version, {MemberKind::kSidecar, MemberKind::kControl});
}

void ControlNode::RelayPrefetch(const std::string& model, std::int64_t version,
                                std::initializer_list<MemberKind> kinds) {
  if (prefetched_versions_[model] >= version || sent_targets_[model] >= version) return;
  prefetched_versions_[model] = version;
  wire::WeightsTarget target;
  target.model = model;
  target.version = version;
  wire::MeshMessage message;
  message.__isset.expected = true;
  message.expected.push_back(target);
  mesh_->SendTo(LinkedProcesses(kinds), message);
}

void ControlNode::RefreshSources(TimePoint now) {
  const bool recovered_is_newer =
      log_->recovered_config().config_version > log_->state().config_version;
  const std::int64_t version =
      recovered_is_newer ? log_->recovered_config().config_version : log_->state().config_version;
  const std::string& body =
      recovered_is_newer ? log_->recovered_config().config_body : log_->state().config_body;
  if (version == 0 || version == sources_version_ || now < next_sources_at_) return;
  next_sources_at_ = now + kSourcePeriod;
  sources_version_ = version;
  std::vector<wire::ModelSource> sources;
  try {
    const auto config = platform::DecodeServiceConfig(DecompressConfig(body));
    host_regions_ = serving::HostRegions(config);
    table_.SetServices(config.ServiceNames());
    std::string origin;
    for (const auto& it : config.services) {
      if (!it.origin.empty()) origin = it.origin;
    }
    for (const auto& it : config.services) {
      if (!it.engine) continue;
      wire::ModelSource source;
      source.service_name = it.name;
      source.model = it.engine->model;
      source.origin = origin;
      source.chunks = static_cast<std::int32_t>(it.engine->chunks);
      source.layers = static_cast<std::int32_t>(it.engine->layers);
      sources.push_back(source);
    }
  } catch (const Error& e) {
    // Configurations are validated before they are proposed, so only a process of another release
    // can have accepted this one.
    LogEvent(Event::kServiceConfigRefused, {{"version", version}, {"error", e.what()}});
    return;
  }
  if (sources == sources_) return;
  sources_ = std::move(sources);
  wire::MeshMessage message;
  message.__set_sources(sources_);
  mesh_->SendTo(LinkedProcesses({MemberKind::kSidecar}), message);
}

std::string ControlNode::LeaderAddress() const {
  const std::string leader = log_->Leader();
  if (leader.empty() || leader == settings_.mesh_address()) return {};
  for (const auto& it : mesh_->Members(MemberKind::kControl)) {
    if (it.process == leader && it.accepting) return it.service_address;
  }
  return {};
}

bool ControlNode::LinkedToMajority() {
  const auto known = ControlProcesses();
  std::size_t linked = 0;
  for (const auto& it : known) {
    if (it == settings_.mesh_address() || mesh_->Linked(it)) ++linked;
  }
  return 2 * linked > known.size();
}

}  // namespace wagtailslip::control
