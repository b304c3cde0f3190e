#include "ingress_node.h"

#include <algorithm>

#include "gen/mesh_types.h"
#include "platform/service_config.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/codec/deflate.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/mesh/target_sync.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"
#include "wagtailslip/serving/ingress_selection.h"
#include "wagtailslip/serving/relay_plan.h"
#include "wagtailslip/serving/stop_plan.h"

namespace wagtailslip::ingress {
namespace {

using mesh::MemberKind;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr std::size_t kMaxConfigBytes = std::size_t{32} * 1024 * 1024;
constexpr Duration kIngressCountHoldTime = std::chrono::seconds(20);
// Requests that began before a stopping process closed its idle connections may still arrive.
constexpr Duration kRequestTransit = std::chrono::milliseconds(200);
// An answer of a stopping process is sent this long before it exits.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(100);
// With more engines for each ingress process the order of the queues alone serves more: in a day
// with bursts 0.43 of the value instead of 0.39, with 13 processes before 52 engines.
constexpr double kMinEnginesPerProcess = 3;
constexpr Duration kExpirePeriod = std::chrono::seconds(1);
constexpr Duration kColdCheckPeriod = std::chrono::milliseconds(100);
// Requests stop going to outdated weights this long before the propagation bound expires, because
// an engine starts them only after its current pass. The margin is longer where requests wait for a
// slot or are delayed by the network.
constexpr Duration kWeightsMargin = std::chrono::milliseconds(2000);
constexpr Duration kBusyWeightsMargin = std::chrono::milliseconds(2800);
// The margin where the engine's sidecar has announced that it loads newer weights before the bound.
// Requests have to be cancelled then only if the sidecar stops while its last reading still counts.
constexpr Duration kPlannedWeightsMargin = std::chrono::milliseconds(900);
// A request that an engine has not started this long before the bound is cancelled. Covers the
// delay with which this process learned of the target version, and the network delay to the engine.
constexpr Duration kResponseStartMargin = std::chrono::milliseconds(500);

serving::PlacementSettings PlacementSettingsFor(const deployment::NodeSettings& settings) {
  serving::PlacementSettings placement;
  placement.failure_domain = settings.failure_domain;
  placement.regions = settings.regions;
  if (!settings.region.empty()) {
    placement.regions.emplace(settings.failure_domain, settings.region);
  }
  placement.warmup_overshoot = settings.bounds.warmup_overshoot;
  placement.warmup_tolerance = settings.bounds.warmup_tolerance;
  return placement;
}

serving::RetryLimits RetryBoundsFor(const deployment::NodeSettings& settings) {
  return {settings.bounds.retry_budget_ratio, settings.bounds.retry_budget_extra,
          settings.bounds.retry_window};
}

mesh::Member SelfOf(const deployment::NodeSettings& settings, std::int64_t incarnation) {
  return mesh::MakeSelfMember(settings, MemberKind::kIngress, settings.caller_address, incarnation);
}

}  // namespace

IngressNode::IngressNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
                         std::int64_t incarnation)
    : context_(context),
      settings_(settings),
      tick_timer_(context, kTickPeriod, [this] { Tick(); }),
      control_discovery_(settings),
      state_requester_(settings.mesh_address()),
      target_sync_(settings.bounds.weights_propagation),
      placement_(PlacementSettingsFor(settings),
                 Hash64(settings.ip, static_cast<std::uint64_t>(incarnation))),
      admission_(placement_, Hash64(settings.ip, static_cast<std::uint64_t>(incarnation))),
      retry_pool_(RetryBoundsFor(settings)),
      crash_guard_(SelfOf(settings, incarnation).Run()) {
  table_.SetServices({});
  mesh_ =
      std::make_unique<mesh::MeshNode>(context, net::ParseAddress(settings.mesh_address()),
                                       SelfOf(settings, incarnation), mesh::MeshLimits{}, *this);
}

void IngressNode::Start() {
  UpdateLinks();
  mesh_->Start();
  tick_timer_.Start();
}

void IngressNode::StopTakingCallers(TimePoint now) {
  draining_ = true;
  const auto plan = serving::MakeStopPlan(settings_.bounds.stop_grace);
  accept_until_ = now + plan.accept_period + kRequestTransit;
  answer_by_ = now + plan.exit_after - kAnswerMargin;
  auto self = mesh_->self();
  self.accepting = false;
  mesh_->UpdateSelf(self);
}

void IngressNode::Stop() {
  tick_timer_.Stop();
  mesh_->Stop();
}

void IngressNode::Tick() {
  const TimePoint now = MonotonicNow();
  deadlines_.Expire(answer_by_, now);
  SyncPlacement();
  if (admission_.waiting() > 0) DeliverVerdicts(now);
  AskForPermits(now);
  AskForWarmupLeases(now);
  ReportRetries(now);
  ReportCrashes(now);
  if (placement_.permits().uses_own_share(now) && !permit_allocator_lost_) {
    permit_allocator_lost_ = true;
    LogEvent(Event::kPermitAllocatorLost,
             {{"allocator", permit_allocator_}, {"processes", ingress_count_}});
  }
  AskForState(now);
  target_sync_.AskIfDue(*mesh_, now);
  if (now >= next_cold_check_) {
    next_cold_check_ = now + kColdCheckPeriod;
    TrackIsolation(now);
    LogColdEndpoints(now);
  }
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpirePeriod;
  AskForAgingEndpoints(now);
  for (const auto& id : table_.Expire(serving::kEndpointTtl, serving::kServiceActiveWindow, now)) {
    LogEvent(Event::kServiceEndpointGone, {{"endpoint", id}, {"reason", "no announcement"}});
  }
}

void IngressNode::OnMemberUpdated(const mesh::Member& member, bool new_link) {
  LogEvent(Event::kLinkUp, {{"peer", member.process},
                            {"kind", mesh::kMemberKinds.Name(member.kind)},
                            {"accepting", member.accepting}});
  if (new_link) state_requester_.OnLinkUp(member.process);
  if (routes_) ReportConfigVersion({member.process});
}

void IngressNode::OnMemberLost(const mesh::Member& member) {
  LogEvent(Event::kLinkLost,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  control_discovery_.RemoveSource(member.process);
  state_requester_.OnLinkLost(member.process);
  SyncIngressProcesses(MonotonicNow());
}

void IngressNode::OnMembers(const mesh::Member& from, const wire::MeshMessage& message,
                            TimePoint now) {
  if (!control_discovery_.Update(from, message)) {
    wire::MeshMessage request;
    request.__isset.member_changes = true;
    request.member_changes.incomplete = true;
    mesh_->Send(from.process, request);
  }
  SyncIngressProcesses(now);
  UpdateLinks();
}

void IngressNode::SyncIngressProcesses(TimePoint now) {
  auto processes = control_discovery_.IngressDomains();
  processes[settings_.mesh_address()] = settings_.failure_domain;
  UpdateIngressProcesses(std::move(processes), now);
}

void IngressNode::OnInstanceSummary(const mesh::Member& from, const wire::MeshMessage& message,
                                    TimePoint now) {
  const auto summary = mesh::FromWire(message.instance_summary);
  table_.Refresh(summary, now);
  // The reply to a request for the full state has both.
  if (message.__isset.instances) state_requester_.OnState(from.process, now);
  state_requester_.OnDigest(from.process, summary.digest, table_.Digest());
  AskForState(now);
}

void IngressNode::AskForState(TimePoint now) {
  if (!state_requester_.any_pending()) return;
  const auto process = state_requester_.Next(table_.Digest(), now);
  if (!process) return;
  wire::MeshMessage message;
  message.__isset.instance_request = true;
  message.instance_request.all = true;
  mesh_->Send(*process, message);
}

void IngressNode::AskForAgingEndpoints(TimePoint now) {
  // With fewer processes every announcement is relayed to all of them.
  if (!serving::SendsSummaries(ingress_count_)) return;
  const auto processes = ControlProcesses();
  auto ids = table_.Aging(now);
  if (ids.empty() || processes.empty()) return;
  wire::MeshMessage message;
  message.__isset.instance_request = true;
  message.instance_request.ids = std::move(ids);
  mesh_->Send(processes[aging_requests_++ % processes.size()], message);
}

void IngressNode::OnMessage(const mesh::Member& from, const wire::MeshMessage& message) {
  const TimePoint now = MonotonicNow();
  if (message.__isset.members || message.__isset.member_changes) OnMembers(from, message, now);
  if (message.__isset.instances) {
    for (const auto& it : message.instances) {
      const auto record = mesh::FromWire(it, now);
      const auto result = table_.Apply(record, now);
      if (result != serving::AnnouncementResult::kIgnored &&
          record.state != serving::EndpointState::kGone) {
        placement_.OnAnnouncement(record, now);
      }
      if (!serving::Changed(result)) continue;
      crash_guard_.OnIncarnation(record.address, record.started_ms, now);
      LogEvent(Event::kServiceEndpointChanged,
               {{"endpoint", record.id},
                {"service", record.service},
                {"state", serving::kEndpointStates.Name(record.state)},
                {"weights", record.weights},
                {"started_ms", record.started_ms},
                {"from", from.process},
                {"age_ms", ToMilliseconds(now - record.announced_at)}});
    }
    SyncPlacement();
    ScheduleVerdictDelivery();
  }
  if (message.__isset.instance_summary) OnInstanceSummary(from, message, now);
  if (message.__isset.readings) {
    for (const auto& it : message.readings) placement_.OnEngineStatus(mesh::FromWire(it), now);
    ScheduleVerdictDelivery();
  }
  if (message.__isset.targets) {
    for (const auto& it : target_sync_.Receive(from.process, message, now, process::UtcNow())) {
      LogEvent(Event::kWeightsNamed, {{"model", it.model},
                                      {"version", it.version},
                                      {"age_ms", ToMilliseconds(it.age)},
                                      {"delay_ms", ToMilliseconds(it.delay)},
                                      {"from", from.process}});
    }
  }
  if (message.__isset.limits) OnRelayedLimits(message.limits, now);
  if (message.__isset.permits && message.permits.grant) OnPermitGrant(from, message.permits, now);
  if (message.__isset.warmup_leases && message.warmup_leases.grant) {
    OnWarmupGrant(from, message.warmup_leases, now);
  }
  if (message.__isset.retries && message.retries.grant) OnRetryGrant(from, message.retries, now);
  if (message.__isset.crash_verdicts) OnVerdicts(from, message.crash_verdicts, now);
  if (message.__isset.suspects) {
    std::vector<serving::SuspectSubject> suspects;
    for (const auto& it : message.suspects) suspects.push_back(mesh::FromWire(it));
    crash_guard_.SetSuspects(std::move(suspects), now);
    ReportCrashes(now);
  }
  if (message.__isset.drained_domains) OnDrainedDomains(from, message.drained_domains, now);
  if (message.__isset.service_config) ApplyConfig(message.service_config);
}

void IngressNode::UpdateIngressProcesses(std::map<std::string, std::string> processes,
                                         TimePoint now) {
  // Keep the old count for a while when processes disappear: a process that restarts has used its
  // share of the limits already.
  if (processes.size() >= ingress_count_ ||
      now - ingress_count_updated_at_ >= kIngressCountHoldTime) {
    ingress_count_ = processes.size();
    ingress_count_updated_at_ = now;
  }
  const auto rank = static_cast<std::size_t>(
      std::distance(processes.begin(), processes.find(settings_.mesh_address())));
  placement_.permits().SetProcesses(rank, ingress_count_);
  if (processes == ingress_domains_) return;
  ingress_domains_ = std::move(processes);
  SelectProcesses();
  synced_revision_ = 0;
}

bool IngressNode::LimitsByRank(const std::string& service) const {
  // Accounts of different priorities alone do not limit the use of engines.
  if (!routes_ || !routes_->RanksRoutes(service)) return false;
  const auto* known = routes_->config().FindService(service);
  if (known == nullptr || !known->engine) return false;
  const auto engines = static_cast<double>(serving::LargestServiceSize(table_));
  const auto processes = static_cast<double>(selected_processes_.size());
  return engines < kMinEnginesPerProcess * processes;
}

void IngressNode::ApplyRankLimits() {
  if (!routes_) return;
  for (const auto& it : routes_->config().services) {
    admission_.SetRanks(it.name, LimitsByRank(it.name) ? routes_->RankCount(it.name) : 1);
  }
}

void IngressNode::SelectProcesses() {
  auto selected = serving::SelectIngress(ingress_domains_, serving::LargestServiceSize(table_));
  if (selected == selected_processes_) return;
  selected_processes_ = std::move(selected);
  std::map<std::string, std::string> domains;
  for (const auto& it : selected_processes_) domains[it] = ingress_domains_.at(it);
  placement_.SetProcesses(settings_.mesh_address(), std::move(domains));
}

void IngressNode::ApplyConfig(const wire::ServiceConfigBody& body) {
  if (routes_ && body.version <= routes_->config().version) {
    // The sender does not know yet that this process has the configuration.
    ReportConfigVersion({});
    return;
  }
  try {
    auto config = std::make_shared<serving::ServiceConfig>(
        platform::DecodeServiceConfig(codec::Inflate(body.body, kMaxConfigBytes)));
    routes_ = std::make_shared<const serving::RouteTable>(std::move(config));
  } catch (const Error& e) {
    LogEvent(Event::kServiceConfigRefused, {{"version", body.version}, {"error", e.what()}});
    return;
  }
  table_.SetServices(routes_->config().ServiceNames());
  ApplyRankLimits();
  std::size_t max_ranks = 1;
  for (const auto& it : routes_->config().services) {
    max_ranks = std::max(max_ranks, routes_->RankCount(it.name));
    if (it.origin.empty()) retry_pool_.AddService(it.name);
  }
  ReportRetries(MonotonicNow());
  LogEvent(Event::kServiceConfigInForce, {{"version", body.version},
                                          {"routes", routes_->config().routes.size()},
                                          {"needs_key", routes_->needs_key()},
                                          {"accounts", routes_->config().AccountList().size()},
                                          {"ranks", max_ranks}});
  auto self = mesh_->self();
  if (!draining_ && !self.accepting) {
    self.accepting = true;
    mesh_->UpdateSelf(self);
  }
  ReportConfigVersion({});
  admission_.UpdateAllowedRegions(*routes_);
  SyncPlacement();
  ScheduleVerdictDelivery();
}

void IngressNode::ReportConfigVersion(const std::vector<std::string>& processes) {
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

void IngressNode::SyncPlacement() {
  if (!routes_) return;
  if (synced_revision_ != 0 && table_.revision() == synced_revision_ &&
      routes_->config().version == synced_version_)
    return;
  SelectProcesses();
  ApplyRankLimits();
  synced_revision_ = table_.revision();
  synced_version_ = routes_->config().version;
  placement_.Sync(table_, routes_->config());
}

void IngressNode::UpdateLinks() { mesh_->SetOutboundPeers(control_discovery_.Addresses()); }

void IngressNode::SetMinWeightsVersions(const std::string& model, serving::PlacementQuery& query,
                                        TimePoint now) const {
  const Duration bound = settings_.bounds.weights_propagation;
  query.newest_weights_version = target_sync_.targets().Newest(model);
  query.min_weights_version = target_sync_.targets().NewestDue(model, bound - kWeightsMargin, now);
  query.min_weights_version_if_busy =
      target_sync_.targets().NewestDue(model, bound - kBusyWeightsMargin, now);
  query.min_weights_version_if_swap_planned =
      target_sync_.targets().NewestDue(model, bound - kPlannedWeightsMargin, now);
}

std::optional<TimePoint> IngressNode::ResponseStartDeadline(const std::string& model,
                                                            std::int64_t weights_version) const {
  const auto since = target_sync_.targets().EarliestNewerTargetTime(model, weights_version);
  if (!since) return std::nullopt;
  return *since + settings_.bounds.weights_propagation - kResponseStartMargin;
}

std::optional<Duration> IngressNode::TimeSinceWeightsBound(const std::string& model,
                                                           std::int64_t weights_version,
                                                           TimePoint now) const {
  const auto since = target_sync_.targets().EarliestNewerTargetTime(model, weights_version);
  if (!since) return std::nullopt;
  return now - *since - settings_.bounds.weights_propagation;
}

serving::AdmissionDecision IngressNode::Offer(const serving::AdmissionRequest& applicant,
                                              VerdictCallback callback, TimePoint now) {
  auto verdict = admission_.Offer(applicant, now);
  AskForPermits(now);
  AskForWarmupLeases(now);
  if (std::holds_alternative<std::monostate>(verdict))
    verdict_callbacks_[applicant.id] = std::move(callback);
  return verdict;
}

void IngressNode::Withdraw(std::uint64_t id) {
  admission_.Cancel(id);
  verdict_callbacks_.erase(id);
}

void IngressNode::DeliverVerdicts(TimePoint now) {
  for (auto& [id, verdict] : admission_.ProcessWaiting(now)) {
    const auto it = verdict_callbacks_.find(id);
    if (it == verdict_callbacks_.end()) continue;
    const VerdictCallback callback = std::move(it->second);
    verdict_callbacks_.erase(it);
    callback(std::move(verdict));
  }
}

void IngressNode::ScheduleVerdictDelivery() {
  if (delivery_scheduled_ || admission_.waiting() == 0) return;
  delivery_scheduled_ = true;
  net::asio::post(context_, [this] {
    delivery_scheduled_ = false;
    DeliverVerdicts(MonotonicNow());
  });
}

void IngressNode::OnFinished(const std::string& endpoint, traffic::AttemptResult result,
                             TimePoint now) {
  placement_.Finish(endpoint, result, now);
  ScheduleVerdictDelivery();
}

void IngressNode::OnFinishedWithoutResult(const std::string& endpoint) {
  placement_.Release(endpoint);
  ScheduleVerdictDelivery();
}

void IngressNode::OnRefused(const std::string& endpoint, TimePoint now) {
  placement_.OnRefused(endpoint, now);
  ScheduleVerdictDelivery();
}

void IngressNode::OnEndpointDraining(const serving::PlacementResult& placed, TimePoint now) {
  const std::string& endpoint = placed.id;
  const auto* known = table_.Find(endpoint);
  if (known == nullptr || known->started_ms != placed.started_ms ||
      !placement_.MarkLeaving(placed)) {
    return;
  }
  LogEvent(Event::kServiceEndpointChanged,
           {{"endpoint", endpoint},
            {"service", known->service},
            {"state", serving::kEndpointStates.Name(serving::EndpointState::kDraining)},
            {"weights", known->weights},
            {"from", "its answer"}});
  if (known->state != serving::EndpointState::kServing) return;
  // The endpoint's own announcement may take seconds, so tell the control processes now. This
  // record takes the sequence number after the last known one. If the endpoint's next announcement
  // has the same number, InstanceTable::Apply ignores whichever arrives second, unless it says
  // kGone. Announcements with higher numbers replace this record.
  serving::EndpointRecord record = *known;
  record.state = serving::EndpointState::kDraining;
  ++record.sequence;
  wire::MeshMessage message;
  message.__isset.instances = true;
  message.instances.push_back(mesh::ToWire(record, now));
  mesh_->SendTo(ControlProcesses(), message);
}

void IngressNode::OnRetryAfter(const serving::PlacementResult& placed, Duration retry_after,
                               TimePoint now) {
  placement_.Pause(placed, retry_after, now);
  LogEvent(Event::kServiceEndpointChanged,
           {{"endpoint", placed.id}, {"pause_s", ToSeconds(retry_after)}, {"from", "its answer"}});
}

void IngressNode::AskForPermits(TimePoint now) {
  if (!placement_.permits().any_limited()) return;
  const auto request = placement_.permits().NextRequest(now);
  if (!request) return;
  const auto message = mesh::ToWire(*request, now);
  // Only the control process that leads grants permits.
  if (placement_.permits().allocator_known(now) && mesh_->Linked(permit_allocator_)) {
    mesh_->Send(permit_allocator_, message);
  } else {
    mesh_->SendTo(ControlProcesses(), message);
  }
}

void IngressNode::OnPermitGrant(const mesh::Member& from, const wire::Permits& permits,
                                TimePoint now) {
  permit_allocator_ = from.process;
  placement_.permits().OnGrant(mesh::PermitGrantFromWire(permits), now);
  if (permit_allocator_lost_) {
    permit_allocator_lost_ = false;
    LogEvent(Event::kPermitAllocatorRegained, {{"allocator", permit_allocator_}});
  }
  ScheduleVerdictDelivery();
}

void IngressNode::OnVerdicts(const mesh::Member& from, const wire::CrashVerdicts& verdicts,
                             TimePoint now) {
  auto list = mesh::FromWire(verdicts);
  const std::int64_t revision = list.revision;
  if (!crash_guard_.SetVerdicts(std::move(list), now)) return;
  nlohmann::json states = nlohmann::json::object();
  for (const auto& [subject, it] : crash_guard_.verdicts()) {
    states[subject.id] = serving::kVerdictStates.Name(it.state);
  }
  LogEvent(Event::kCrashVerdictsInForce,
           {{"revision", revision}, {"verdicts", states}, {"from", from.process}});
}

void IngressNode::OnDrainedDomains(const mesh::Member& from, const wire::DrainedDomains& drained,
                                   TimePoint now) {
  const auto before = placement_.drained_domains().domains;
  if (!placement_.SetDrainedDomains(mesh::FromWire(drained, now), now)) return;
  const auto& after = placement_.drained_domains();
  const auto log = [&](Event event, const std::string& domain) {
    LogEvent(event, {{"domain", domain}, {"revision", after.revision}, {"from", from.process}});
  };
  for (const auto& it : after.domains) {
    if (!before.contains(it)) log(Event::kDomainDrainBegan, it);
  }
  for (const auto& it : before) {
    if (!after.domains.contains(it)) log(Event::kDomainDrainFinished, it);
  }
  ScheduleVerdictDelivery();
}

serving::CrashDecision IngressNode::AdmitSubjects(
    const std::vector<serving::CrashSubject>& subjects, TimePoint now) {
  auto decision = crash_guard_.Admit(subjects, ingress_count_, now);
  if (decision.kind == serving::CrashDecision::Kind::kWait) ReportCrashes(now);
  return decision;
}

void IngressNode::ReportCrashes(TimePoint now) {
  const auto processes = ControlProcesses();
  crash_guard_.SetIsolated(processes.empty());
  const auto report = crash_guard_.NextReport(ingress_count_, now);
  if (!report) return;
  for (const auto& it : report->ends) {
    nlohmann::json subjects = nlohmann::json::array();
    for (const auto& subject : it.subjects) subjects.push_back(subject.id);
    LogEvent(Event::kAttemptEndedWithEndpoint, {{"endpoint", it.endpoint},
                                                {"service", it.service},
                                                {"started_ms", it.started_ms},
                                                {"age_ms", ToMilliseconds(now - it.at)},
                                                {"confirmed", it.confirmed},
                                                {"events", it.events},
                                                {"subjects", subjects}});
  }
  for (const auto& it : report->trial_ends) {
    LogEvent(Event::kCrashTrialEnded, {{"subject", it.subject.id},
                                       {"revision", it.revision},
                                       {"outcome", serving::kTrialOutcomes.Name(it.outcome)}});
  }
  wire::MeshMessage message;
  message.__set_crash_report(mesh::ToWire(*report, now));
  mesh_->SendTo(processes, message);
}

bool IngressNode::TakeRetry(const std::string& service, TimePoint now) {
  const bool taken = retry_pool_.Take(service, now);
  ReportRetries(now);
  return taken;
}

bool IngressNode::AskForRetryPermit(const std::string& service, TimePoint now) {
  retry_pool_.OnMissed(service);
  ReportRetries(now);
  return retry_pool_.MayComeSoon(service, now);
}

void IngressNode::ReportRetries(TimePoint now) {
  const auto report = retry_pool_.NextReport(ingress_count_, now);
  if (!report) return;
  wire::MeshMessage message;
  message.__set_retries(mesh::ToWire(*report));
  // Only the control process that leads grants permits.
  const std::string allocator = retry_pool_.allocator(now);
  if (!allocator.empty() && mesh_->Linked(allocator)) {
    mesh_->Send(allocator, message);
  } else {
    mesh_->SendTo(ControlProcesses(), message);
  }
  if (!retry_pool_.uses_own_share(now) || retry_allocator_lost_) return;
  retry_allocator_lost_ = true;
  LogEvent(Event::kRetryAllocatorLost, {{"allocator", allocator}});
}

void IngressNode::OnRetryGrant(const mesh::Member& from, const wire::Retries& retries,
                               TimePoint now) {
  retry_pool_.OnGrant(mesh::RetryGrantFromWire(retries), from.process, now);
  if (!retry_allocator_lost_ || retry_pool_.uses_own_share(now)) return;
  retry_allocator_lost_ = false;
  LogEvent(Event::kRetryAllocatorRegained, {{"allocator", from.process}});
}

void IngressNode::RecordLimit(const serving::LimitObservation& observation, std::string_view source,
                              TimePoint now) {
  if (!placement_.permits().Record(observation)) return;
  nlohmann::json fields{{"endpoint", observation.endpoint},
                        {"from", source},
                        {"age_ms", ToMilliseconds(now - observation.answered_at)}};
  if (observation.per_second) fields["limit"] = *observation.per_second;
  LogEvent(Event::kEndpointLimitChanged, fields);
  ScheduleVerdictDelivery();
}

void IngressNode::OnRelayedLimits(const std::vector<wire::EndpointLimit>& limits, TimePoint now) {
  for (const auto& it : limits) {
    const auto observation = mesh::FromWire(it, now);
    const auto* known = table_.Find(observation.endpoint);
    if (known == nullptr || observation.started_ms < known->started_ms) continue;
    RecordLimit(observation, "control process", now);
  }
}

void IngressNode::OnRequestLimit(const serving::PlacementResult& placed,
                                 std::optional<double> per_second, TimePoint sent_at,
                                 TimePoint now) {
  const auto* known = table_.Find(placed.id);
  if (known == nullptr || known->started_ms != placed.started_ms) return;
  RecordLimit({placed.id, placed.started_ms, per_second, sent_at, now}, "its answer", now);
  AskForPermits(now);
}

void IngressNode::OnUnreadableRequestLimit(const std::string& endpoint) {
  LogEvent(Event::kEndpointLimitUnreadable, {{"endpoint", endpoint}});
}

bool IngressNode::MaySend(serving::PlacementResult& placed, const std::string& model,
                          const serving::AllowedRegions& regions, Duration connect_time,
                          TimePoint now) {
  if (!placement_.Accepts(placed, now) || !placement_.InRegions(placed, regions)) return false;
  if (!model.empty()) {
    serving::PlacementQuery query;
    SetMinWeightsVersions(model, query, now);
    if (!placement_.WeightsAllowed(placed, query, connect_time, now)) return false;
  }
  return placement_.UsePermit(placed, now);
}

}  // namespace wagtailslip::ingress
