#include "control_node.h"

#include <algorithm>

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
// Announcements that change nothing travel together.
constexpr Duration kRelayPeriod = std::chrono::milliseconds(250);
constexpr Duration kReadingPeriod = std::chrono::milliseconds(60);
// Versions that follow each other faster are sent to a process as one.
constexpr Duration kConfigPeriod = std::chrono::milliseconds(150);
// The leader feeds first. The others wait, so that one copy of a large configuration crosses the
// links between regions and not one from each control process.
constexpr Duration kFollowerFeedDelay = std::chrono::milliseconds(350);
// A large configuration goes to few processes in one step, so that commands do not wait for all.
constexpr std::size_t kConfigFeeds = 4;
constexpr Duration kConfigResend = std::chrono::milliseconds(700);
constexpr Duration kSourcePeriod = std::chrono::milliseconds(500);
constexpr Duration kJoinPeriod = std::chrono::milliseconds(300);
constexpr Duration kExpirePeriod = std::chrono::seconds(1);

wire::WeightsTarget TargetToWire(const std::string& model, const Target& target, TimePoint now) {
  wire::WeightsTarget w;
  w.model = model;
  w.version = target.version;
  w.age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - target.since).count();
  return w;
}

}  // namespace

ControlNode::ControlNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
                         std::int64_t incarnation, TimePoint now)
    : context_(context),
      settings_(settings),
      ticks_(context, kTickPeriod, [this] { Tick(); }),
      known_(settings) {
  auto self =
      mesh::MakeSelfMember(settings, MemberKind::kControl, settings.control_address, incarnation);
  self.accepting = true;
  mesh_ = std::make_unique<mesh::MeshNode>(context, net::ParseAddress(settings.mesh_address()),
                                           std::move(self), mesh::MeshLimits{}, *this);
  ControlLog::Outlets outlets;
  outlets.send = [this](const agreement::Message& message) {
    wire::MeshMessage w;
    w.__set_agreement(codec::ToWire(message));
    mesh_->Send(message.to.process, w);
  };
  outlets.schedule_flush = [this] {
    net::asio::post(context_, [this] { log_->Flush(MonotonicNow()); });
  };
  outlets.utc_now = [] { return process::UtcNow(); };
  outlets.on_change = [this] { OnAgreed(MonotonicNow()); };
  const std::vector<std::string> first_voters(known_.seeds().begin(), known_.seeds().end());
  log_ = std::make_unique<ControlLog>(settings, first_voters, outlets, incarnation, now);
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
  if (now >= relay_at_) FlushRelay(now);
  FeedConfig(now);
  RefreshSources(now);
  if (now >= join_at_) {
    join_at_ = now + kJoinPeriod;
    if (const auto id = log_->WantsPlace(now)) {
      wire::MeshMessage message;
      message.__isset.join = true;
      message.join.id.process = id->process;
      message.join.id.incarnation = static_cast<std::int64_t>(id->incarnation);
      mesh_->SendTo(Processes({MemberKind::kControl}), message);
    }
    UpdateLinks();
  }
  if (now >= expire_at_) {
    expire_at_ = now + kExpirePeriod;
    for (const auto& id : table_.Expire(serving::kEndpointLife, serving::kEndpointRecent, now)) {
      LogEvent(Event::kServiceEndpointGone, {{"endpoint", id}, {"reason", "no announcement"}});
    }
  }
}

std::set<std::string> ControlNode::ControlProcesses() {
  std::set<std::string> processes = known_.Addresses();
  for (const auto& [id, role] : log_->replica().membership().members()) {
    processes.insert(id.process);
  }
  for (const auto& it : mesh_->Members(MemberKind::kControl)) processes.insert(it.process);
  return processes;
}

void ControlNode::UpdateLinks() {
  mesh_->SetOutboundPeers(ControlProcesses());
  std::map<std::string, mesh::Member> members{{settings_.mesh_address(), mesh_->self()}};
  for (const auto& [id, role] : log_->replica().membership().members()) {
    members[id.process].process = id.process;
  }
  for (const MemberKind kind : {MemberKind::kControl, MemberKind::kIngress}) {
    for (const auto& it : mesh_->Members(kind)) members[it.process] = it;
  }
  if (members == announced_members_) return;
  announced_members_ = std::move(members);
  for (const auto& process :
       Processes({MemberKind::kControl, MemberKind::kIngress, MemberKind::kSidecar})) {
    SendMembers(process);
  }
}

void ControlNode::SendMembers(const std::string& process) {
  wire::MeshMessage message;
  message.__isset.members = true;
  for (const auto& [id, member] : announced_members_) {
    message.members.push_back(mesh::ToWire(member));
  }
  mesh_->Send(process, message);
}

std::vector<std::string> ControlNode::Processes(std::initializer_list<MemberKind> kinds) const {
  std::vector<std::string> processes;
  for (const MemberKind kind : kinds) {
    for (const auto& it : mesh_->Members(kind)) processes.push_back(it.process);
  }
  return processes;
}

void ControlNode::OnMemberUpdated(const mesh::Member& member) {
  const TimePoint now = MonotonicNow();
  const bool known = feeds_.contains(member.process);
  LogEvent(Event::kLinkUp, {{"peer", member.process},
                            {"kind", mesh::kMemberKinds.Name(member.kind)},
                            {"accepting", member.accepting}});
  // A process that describes itself again has only changed what it accepts, unless the link is new.
  SendEverything(member, now);
  if (!known && member.kind == MemberKind::kControl) UpdateLinks();
}

void ControlNode::OnMemberLost(const mesh::Member& member) {
  LogEvent(Event::kLinkLost,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  feeds_.erase(member.process);
  known_.RemoveSource(member.process);
}

void ControlNode::SendEverything(const mesh::Member& member, TimePoint now) {
  feeds_[member.process] = Feed{};
  SendMembers(member.process);
  wire::MeshMessage message;
  message.__isset.instances = true;
  for (const auto& [id, record] : table_.endpoints()) {
    message.instances.push_back(mesh::ToWire(record, now));
  }
  message.__isset.targets = true;
  for (const auto& [model, targets] : log_->state().targets) {
    for (const auto& it : targets) message.targets.push_back(TargetToWire(model, it, now));
  }
  if (member.kind == MemberKind::kSidecar) message.__set_sources(sources_);
  mesh_->Send(member.process, message);
}

void ControlNode::OnMessage(const mesh::Member& from, const wire::MeshMessage& message) {
  const TimePoint now = MonotonicNow();
  if (message.__isset.agreement) {
    log_->OnMessage(codec::FromWire(message.agreement), now);
  }
  if (message.__isset.join) {
    log_->OnJoin({message.join.id.process, static_cast<std::uint64_t>(message.join.id.incarnation)},
                 now);
  }
  if (message.__isset.members && from.kind == MemberKind::kControl) {
    known_.UpdateFrom(from.process, message.members);
  }
  if (message.__isset.instances) OnRecords(message.instances, now);
  if (message.__isset.expected) {
    for (const auto& it : message.expected) {
      RelayExpected(it.model, it.version, {MemberKind::kSidecar});
    }
  }
  if (message.__isset.readings) {
    readings_.insert(readings_.end(), message.readings.begin(), message.readings.end());
    if (now >= readings_at_) {
      readings_at_ = now + kReadingPeriod;
      wire::MeshMessage relayed;
      relayed.__set_readings(readings_);
      readings_.clear();
      mesh_->SendTo(Processes({MemberKind::kIngress}), relayed);
    }
  }
  if (message.__isset.service_config) {
    // An ingress process names the version that is in force there.
    feeds_[from.process].config_version = message.service_config.version;
  }
}

void ControlNode::OnRecords(const std::vector<wire::InstanceRecord>& records, TimePoint now) {
  wire::MeshMessage relayed;
  for (const auto& it : records) {
    const auto record = mesh::FromWire(it, now);
    if (table_.Apply(record, now) == serving::Announcement::kChanged) {
      relayed.instances.push_back(it);
    }
  }
  if (relayed.instances.empty()) return;
  relayed.__isset.instances = true;
  // A sidecar has links to few control processes only, and an ingress process may have lost the one
  // to the sender.
  mesh_->SendTo(Processes({MemberKind::kIngress, MemberKind::kSidecar}), relayed);
}

void ControlNode::Announce(serving::EndpointRecord record, TimePoint now) {
  record.refreshed = now;
  const auto result = table_.Apply(record, now);
  if (result == serving::Announcement::kIgnored) return;
  const bool changed = result == serving::Announcement::kChanged;
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

void ControlNode::Leave(const std::string& id, TimePoint now) {
  auto record = table_.Leave(id, now);
  if (record.id.empty()) {
    // Another control process may know it.
    record.id = id;
    record.state = serving::EndpointState::kGone;
    record.refreshed = now;
  }
  LogEvent(Event::kServiceEndpointGone, {{"endpoint", id}, {"reason", "left"}});
  Relay(record, true, now);
}

void ControlNode::Relay(const serving::EndpointRecord& record, bool urgent, TimePoint now) {
  refreshed_.push_back(mesh::ToWire(record, now));
  if (!urgent) return;
  wire::MeshMessage message;
  message.__isset.instances = true;
  message.instances.push_back(refreshed_.back());
  refreshed_.pop_back();
  mesh_->SendTo(Processes({MemberKind::kControl, MemberKind::kIngress, MemberKind::kSidecar}),
                message);
}

void ControlNode::FlushRelay(TimePoint now) {
  relay_at_ = now + kRelayPeriod;
  if (!readings_.empty()) {
    wire::MeshMessage relayed;
    relayed.__set_readings(readings_);
    readings_.clear();
    mesh_->SendTo(Processes({MemberKind::kIngress}), relayed);
  }
  if (refreshed_.empty()) return;
  wire::MeshMessage message;
  message.__set_instances(refreshed_);
  refreshed_.clear();
  mesh_->SendTo(Processes({MemberKind::kControl, MemberKind::kIngress}), message);
}

void ControlNode::OnAgreed(TimePoint now) {
  FeedTargets(now);
  FeedConfig(now);
}

void ControlNode::FeedConfig(TimePoint now) {
  const auto& state = log_->state();
  if (state.config_version == 0) return;
  const bool leading = log_->Leading(now);
  std::vector<std::pair<TimePoint, std::string>> due;
  for (const auto& member : mesh_->Members(MemberKind::kIngress)) {
    Feed& feed = feeds_[member.process];
    if (feed.config_version >= state.config_version) {
      feed.behind_since = {};
      continue;
    }
    if (feed.behind_since == TimePoint{}) feed.behind_since = now;
    if (!leading && !log_->CaughtUp()) continue;
    if (!leading && now < feed.behind_since + kFollowerFeedDelay) continue;
    if (feed.sent_version == state.config_version && now < feed.sent_at + kConfigResend) continue;
    if (feed.sent_version != 0 && now < feed.sent_at + kConfigPeriod) continue;
    due.emplace_back(feed.sent_at, member.process);
  }
  if (due.empty()) return;
  std::sort(due.begin(), due.end());
  if (due.size() > kConfigFeeds) due.resize(kConfigFeeds);
  std::vector<std::string> receivers;
  for (const auto& [sent_at, process] : due) {
    feeds_[process].sent_version = state.config_version;
    feeds_[process].sent_at = now;
    receivers.push_back(process);
  }
  wire::MeshMessage message;
  wire::ServiceConfigBody body;
  body.version = state.config_version;
  body.body = state.config_body;
  message.__set_service_config(body);
  mesh_->SendTo(receivers, message);
}

void ControlNode::FeedTargets(TimePoint now) {
  wire::MeshMessage message;
  for (const auto& [model, targets] : log_->state().targets) {
    for (const auto& it : targets) {
      if (fed_targets_[model] >= it.version) continue;
      fed_targets_[model] = it.version;
      message.targets.push_back(TargetToWire(model, it, now));
    }
  }
  if (message.targets.empty()) return;
  message.__isset.targets = true;
  mesh_->SendTo(Processes({MemberKind::kIngress, MemberKind::kSidecar}), message);
}

void ControlNode::ExpectWeights(const std::string& model, std::int64_t version) {
  RelayExpected(model, version, {MemberKind::kSidecar, MemberKind::kControl});
}

void ControlNode::RelayExpected(const std::string& model, std::int64_t version,
                                std::initializer_list<MemberKind> kinds) {
  if (expected_[model] >= version || fed_targets_[model] >= version) return;
  expected_[model] = version;
  wire::WeightsTarget target;
  target.model = model;
  target.version = version;
  wire::MeshMessage message;
  message.__isset.expected = true;
  message.expected.push_back(target);
  mesh_->SendTo(Processes(kinds), message);
}

void ControlNode::RefreshSources(TimePoint now) {
  const bool held_is_newer = log_->held_config().config_version > log_->state().config_version;
  const std::int64_t version =
      held_is_newer ? log_->held_config().config_version : log_->state().config_version;
  const std::string& body =
      held_is_newer ? log_->held_config().config_body : log_->state().config_body;
  if (version == sources_version_ || now < sources_at_) return;
  sources_at_ = now + kSourcePeriod;
  sources_version_ = version;
  std::vector<wire::ModelSource> sources;
  try {
    const auto config = platform::DecodeServiceConfig(UnpackConfig(body));
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
  } catch (const serving::ServingError& e) {
    // It was checked before it was proposed, so only another release can have let it in.
    LogEvent(Event::kServiceConfigRefused, {{"version", version}, {"error", e.what()}});
    return;
  }
  if (sources == sources_) return;
  sources_ = std::move(sources);
  wire::MeshMessage message;
  message.__set_sources(sources_);
  mesh_->SendTo(Processes({MemberKind::kSidecar}), message);
}

std::string ControlNode::LeaderAddress() const {
  const std::string leader = log_->Leader();
  if (leader.empty() || leader == settings_.mesh_address()) return {};
  for (const auto& it : mesh_->Members(MemberKind::kControl)) {
    if (it.process == leader && it.accepting) return it.service_address;
  }
  return {};
}

bool ControlNode::InTouch() {
  const auto known = ControlProcesses();
  std::size_t linked = 0;
  for (const auto& it : known) {
    if (it == settings_.mesh_address() || mesh_->Linked(it)) ++linked;
  }
  return 2 * linked > known.size();
}

std::vector<std::string> ControlNode::IngressAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& it : mesh_->Members(MemberKind::kIngress)) {
    if (it.accepting && !it.service_address.empty()) addresses.push_back(it.service_address);
  }
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

}  // namespace wagtailslip::control
