#include "ingress_node.h"

#include <algorithm>

#include "gen/mesh_types.h"
#include "platform/service_config.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/codec/deflate.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::ingress {
namespace {

using mesh::MemberKind;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr std::size_t kMostConfigBytes = std::size_t{32} * 1024 * 1024;
constexpr Duration kIngressMemory = std::chrono::seconds(20);
constexpr Duration kExpirePeriod = std::chrono::seconds(1);
// Requests are no longer sent to older weights this long before the bound, because they begin only
// after the engine's current pass. Where they wait for a slot or on their way the margin is longer.
constexpr Duration kWeightsMargin = std::chrono::milliseconds(2000);
constexpr Duration kBusyWeightsMargin = std::chrono::milliseconds(2800);
// The same where the engine's sidecar orders newer weights before: only a sidecar that stops within
// the life of its last reading leaves requests to be taken back.
constexpr Duration kPlannedWeightsMargin = std::chrono::milliseconds(900);
// A request that still waits at an engine this long before the bound is taken back. Covers the time
// in which this process learned of the version, and the way to the engine.
constexpr Duration kRecallMargin = std::chrono::milliseconds(500);

serving::PlacementSettings PlacementFor(const deployment::NodeSettings& settings) {
  serving::PlacementSettings placement;
  placement.failure_domain = settings.failure_domain;
  return placement;
}

serving::RepeatBounds BoundsFor(const deployment::NodeSettings& settings) {
  return {settings.bounds.retry_budget_ratio, settings.bounds.retry_budget_extra,
          settings.bounds.retry_window};
}

}  // namespace

IngressNode::IngressNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
                         std::int64_t incarnation)
    : context_(context),
      settings_(settings),
      ticks_(context, kTickPeriod, [this] { Tick(); }),
      known_(settings),
      placement_(PlacementFor(settings),
                 Hash64(settings.ip, static_cast<std::uint64_t>(incarnation))),
      admission_(placement_, Hash64(settings.ip, static_cast<std::uint64_t>(incarnation))),
      budget_(BoundsFor(settings)) {
  mesh_ = std::make_unique<mesh::MeshNode>(
      context, net::ParseAddress(settings.mesh_address()),
      mesh::MakeSelfMember(settings, MemberKind::kIngress, settings.caller_address, incarnation),
      mesh::MeshLimits{}, *this);
}

void IngressNode::Start() {
  UpdateLinks();
  mesh_->Start();
  ticks_.Start();
}

void IngressNode::StopTakingCallers() {
  leaving_ = true;
  auto self = mesh_->self();
  self.accepting = false;
  mesh_->UpdateSelf(self);
}

void IngressNode::Stop() {
  ticks_.Stop();
  mesh_->Stop();
}

void IngressNode::Tick() {
  const TimePoint now = MonotonicNow();
  Sync();
  if (admission_.waiting() > 0) Pump(now);
  if (now < expire_at_) return;
  expire_at_ = now + kExpirePeriod;
  for (const auto& id : table_.Expire(serving::kEndpointLife, serving::kEndpointRecent, now)) {
    LogEvent(Event::kServiceEndpointGone, {{"endpoint", id}, {"reason", "no announcement"}});
  }
}

void IngressNode::OnMemberUpdated(const mesh::Member& member) {
  LogEvent(Event::kLinkUp, {{"peer", member.process},
                            {"kind", mesh::kMemberKinds.Name(member.kind)},
                            {"accepting", member.accepting}});
  if (routes_) ReportVersion({member.process});
}

void IngressNode::OnMemberLost(const mesh::Member& member) {
  LogEvent(Event::kLinkLost,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  known_.RemoveSource(member.process);
}

void IngressNode::OnMessage(const mesh::Member& from, const wire::MeshMessage& message) {
  const TimePoint now = MonotonicNow();
  if (message.__isset.members) {
    known_.UpdateFrom(from.process, message.members);
    std::map<std::string, std::string> ingress{
        {settings_.mesh_address(), settings_.failure_domain}};
    for (const auto& it : message.members) {
      if (it.kind == static_cast<std::int16_t>(MemberKind::kIngress)) {
        ingress[it.process] = it.failure_domain;
      }
    }
    NoteIngress(std::move(ingress), now);
    UpdateLinks();
  }
  if (message.__isset.instances) {
    for (const auto& it : message.instances) {
      const auto record = mesh::FromWire(it, now);
      if (table_.Apply(record, now) != serving::Announcement::kChanged) continue;
      LogEvent(Event::kServiceEndpointChanged,
               {{"endpoint", record.id},
                {"service", record.service},
                {"state", serving::kEndpointStates.Name(record.state)},
                {"weights", record.weights},
                {"from", from.process},
                {"age_ms", ToMilliseconds(now - record.refreshed)}});
    }
    Sync();
    SchedulePump();
  }
  if (message.__isset.readings) {
    for (const auto& it : message.readings) placement_.OnEngineStatus(mesh::FromWire(it), now);
    SchedulePump();
  }
  if (message.__isset.targets) {
    for (const auto& it : message.targets) {
      const TimePoint since = now - std::chrono::milliseconds(it.age_ms);
      if (!targets_.AddTarget(it.model, it.version, since)) continue;
      LogEvent(Event::kWeightsNamed,
               {{"model", it.model}, {"version", it.version}, {"age_ms", it.age_ms}});
    }
  }
  if (message.__isset.service_config) TakeConfig(message.service_config);
}

void IngressNode::NoteIngress(std::map<std::string, std::string> processes, TimePoint now) {
  // A process that is down for a moment has used its part of the budget and will be back.
  if (processes.size() >= processes_ || now - processes_at_ >= kIngressMemory) {
    processes_ = processes.size();
    processes_at_ = now;
  }
  if (processes == ingress_domains_) return;
  ingress_domains_ = std::move(processes);
  placement_.SetProcesses(settings_.mesh_address(), ingress_domains_);
  synced_revision_ = 0;
}

void IngressNode::TakeConfig(const wire::ServiceConfigBody& body) {
  if (routes_ && body.version <= routes_->config().version) {
    // The sender has not heard that this process has it.
    ReportVersion({});
    return;
  }
  try {
    auto config = std::make_shared<serving::ServiceConfig>(
        platform::DecodeServiceConfig(codec::Inflate(body.body, kMostConfigBytes)));
    routes_ = std::make_shared<const serving::RouteTable>(std::move(config));
  } catch (const Error& e) {
    LogEvent(Event::kServiceConfigRefused, {{"version", body.version}, {"error", e.what()}});
    return;
  }
  LogEvent(Event::kServiceConfigInForce,
           {{"version", body.version}, {"routes", routes_->config().routes.size()}});
  auto self = mesh_->self();
  if (!leaving_ && !self.accepting) {
    self.accepting = true;
    mesh_->UpdateSelf(self);
  }
  ReportVersion({});
  Sync();
  SchedulePump();
}

void IngressNode::ReportVersion(const std::vector<std::string>& processes) {
  wire::MeshMessage message;
  message.__isset.service_config = true;
  message.service_config.version = routes_->config().version;
  mesh_->SendTo(processes.empty() ? ControlProcesses() : processes, message);
}

std::vector<std::string> IngressNode::ControlProcesses() const {
  std::vector<std::string> processes;
  for (const auto& it : mesh_->Members(MemberKind::kControl)) processes.push_back(it.process);
  return processes;
}

void IngressNode::Sync() {
  if (!routes_) return;
  if (synced_revision_ != 0 && table_.revision() == synced_revision_ &&
      routes_->config().version == synced_version_)
    return;
  synced_revision_ = table_.revision();
  synced_version_ = routes_->config().version;
  placement_.Sync(table_, routes_->config());
}

void IngressNode::UpdateLinks() { mesh_->SetOutboundPeers(known_.Addresses()); }

void IngressNode::SetLeastWeights(const std::string& model, serving::PlacementQuery& query,
                                  TimePoint now) const {
  const Duration bound = settings_.bounds.weights_propagation;
  query.min_weights_version = targets_.NewestDue(model, bound - kWeightsMargin, now);
  query.min_weights_version_if_busy = targets_.NewestDue(model, bound - kBusyWeightsMargin, now);
  query.min_weights_version_if_swap_planned =
      targets_.NewestDue(model, bound - kPlannedWeightsMargin, now);
}

std::optional<TimePoint> IngressNode::LatestBegin(const std::string& model,
                                                  std::int64_t weights) const {
  const auto since = targets_.EarliestNewerTargetTime(model, weights);
  if (!since) return std::nullopt;
  return *since + settings_.bounds.weights_propagation - kRecallMargin;
}

serving::Verdict IngressNode::Offer(const serving::Applicant& applicant, OnVerdict later,
                                    TimePoint now) {
  auto verdict = admission_.Offer(applicant, now);
  if (std::holds_alternative<std::monostate>(verdict)) waiting_[applicant.id] = std::move(later);
  return verdict;
}

void IngressNode::Withdraw(std::uint64_t id) {
  admission_.Cancel(id);
  waiting_.erase(id);
}

void IngressNode::Pump(TimePoint now) {
  for (auto& [id, verdict] : admission_.Pump(now)) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) continue;
    const OnVerdict deliver = std::move(it->second);
    waiting_.erase(it);
    deliver(std::move(verdict));
  }
}

void IngressNode::SchedulePump() {
  if (pump_scheduled_ || admission_.waiting() == 0) return;
  pump_scheduled_ = true;
  net::asio::post(context_, [this] {
    pump_scheduled_ = false;
    Pump(MonotonicNow());
  });
}

void IngressNode::OnFinished(const std::string& endpoint, traffic::AttemptResult result,
                             TimePoint now) {
  placement_.Finish(endpoint, result, now);
  SchedulePump();
}

void IngressNode::OnReleased(const std::string& endpoint) {
  placement_.Release(endpoint);
  SchedulePump();
}

void IngressNode::OnRefused(const std::string& endpoint, TimePoint now) {
  placement_.OnRefused(endpoint, now);
  SchedulePump();
}

void IngressNode::OnLeaving(const std::string& endpoint, TimePoint now) {
  const auto* known = table_.Find(endpoint);
  if (known == nullptr || !placement_.MarkLeaving(endpoint)) return;
  LogEvent(Event::kServiceEndpointChanged,
           {{"endpoint", endpoint},
            {"service", known->service},
            {"state", serving::kEndpointStates.Name(serving::EndpointState::kDraining)},
            {"weights", known->weights},
            {"from", "its answer"}});
  if (known->state != serving::EndpointState::kServing) return;
  // Its own announcement may be seconds away. The number is the next one, so that an announcement
  // after that replaces this record.
  serving::EndpointRecord record = *known;
  record.state = serving::EndpointState::kDraining;
  ++record.sequence;
  wire::MeshMessage message;
  message.__isset.instances = true;
  message.instances.push_back(mesh::ToWire(record, now));
  mesh_->SendTo(ControlProcesses(), message);
}

void IngressNode::OnPause(const std::string& endpoint, Duration pause, TimePoint now) {
  placement_.Pause(endpoint, pause, now);
  LogEvent(Event::kServiceEndpointChanged,
           {{"endpoint", endpoint}, {"pause_s", ToSeconds(pause)}, {"from", "its answer"}});
}

bool IngressNode::MaySend(const serving::PlacementResult& placed, const std::string& model,
                          Duration connect, TimePoint now) const {
  if (!placement_.Accepts(placed.id, now)) return false;
  if (model.empty()) return true;
  serving::PlacementQuery query;
  SetLeastWeights(model, query, now);
  return placement_.WeightsAllowed(placed, query, connect, now);
}

}  // namespace wagtailslip::ingress
