// Frames between processes, the configuration lease and the published state of an entry process.
#include <algorithm>

#include "entry_control.h"
#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/agreement_codec.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/codec/limit_codec.h"
#include "wagtailslip/codec/record_codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

// The lease outlives three learner heartbeats, and a change is in force within it and one election.
constexpr Duration kConfigLease = std::chrono::milliseconds(1500);
// The leader renews its own lease each tick; this bridges a late tick and stays far below the time
// after which a successor may call a change in force.
constexpr Duration kLeaderRenewal = std::chrono::milliseconds(300);
constexpr Duration kPublishPeriod = std::chrono::milliseconds(100);
// Longer than an election, in which no process has a lease.
constexpr Duration kForgottenAfter = std::chrono::seconds(4);
constexpr Duration kJoinPeriod = std::chrono::milliseconds(500);
constexpr Duration kRegisterTimeout = std::chrono::seconds(5);
constexpr Duration kJoinRecordTimeout = std::chrono::seconds(3);

}  // namespace

bool EntryControl::Leading(TimePoint now) const {
  return replica_->role() == agreement::Role::kLeader && replica_->HasLease(now);
}

std::string EntryControl::AddressOf(const std::string& process) const {
  const auto it = peers_.find(process);
  if (it != peers_.end() && !it->second.address.empty()) return it->second.address;
  const auto row = machine_.state().processes.find(process);
  return row == machine_.state().processes.end() ? "" : row->second.info.peer_address;
}

void EntryControl::Send(const std::string& process, const wire::PeerMessage& body, TimePoint now) {
  const std::string address = AddressOf(process);
  if (address.empty()) return;
  wire::Frame frame;
  frame.protocol = 1;
  frame.sender = settings_.id;
  frame.incarnation = static_cast<std::int64_t>(incarnation_);
  frame.sender_address = settings_.peer_listen;
  frame.sent_at_ns = now.time_since_epoch().count();
  frame.applied_revision = static_cast<std::int64_t>(machine_.revision());
  if (Leading(now)) {
    // The echo carries the receiver's own clock, so a delayed frame cannot prolong a lease.
    const auto it = peers_.find(process);
    if (it != peers_.end()) frame.echo_ns = it->second.sent_at_ns;
    frame.in_force_revision = static_cast<std::int64_t>(in_force_);
  }
  frame.body = body;
  outlets_.send(address, codec::EncodeCompact(frame));
}

void EntryControl::OnFrame(const wire::Frame& frame, TimePoint now) {
  const auto& body = frame.body;
  if (body.__isset.agent_heartbeat) return OnAgentHeartbeat(frame, now);
  auto& peer = peers_[frame.sender];
  peer.address = frame.sender_address;
  peer.heard = now;
  peer.applied = static_cast<config::Revision>(frame.applied_revision);
  peer.sent_at_ns = frame.sent_at_ns;
  if (body.__isset.agreement) {
    HandleEffects(replica_->Step(codec::FromWire(body.agreement), now), now);
  } else if (body.__isset.propose_request) {
    OnProposeRequest(frame.sender, body.propose_request, now);
  } else if (body.__isset.propose_reply) {
    OnProposeReply(body.propose_reply, now);
  } else if (body.__isset.order_batch) {
    OnOrderBatch(body.order_batch, now);
  } else if (body.__isset.load_batch) {
    for (const auto& it : body.load_batch.reports) reports_.Take(it, frame.sender, now);
    publish_due_ = true;
  } else if (body.__isset.limits) {
    outlets_.limits(codec::LimitsFromWire(body.limits));
  } else if (body.__isset.join_request && Leading(now)) {
    const agreement::ReplicaId id{body.join_request.id.process,
                                  static_cast<std::uint64_t>(body.join_request.id.incarnation)};
    const auto kind = body.join_request.has_disk ? agreement::ChangeKind::kAddStandby
                                                 : agreement::ChangeKind::kAddLearner;
    auto result = replica_->ChangeMembership({kind, id}, now);
    if (result.status == agreement::ProposeStatus::kAccepted) {
      LogEvent(Event::kMembershipChanged,
               {{"change", agreement::kChangeKinds.Name(kind)}, {"member", id.Text()}});
    }
    HandleEffects(std::move(result.effects), now);
  }
  NoteLease(frame, now);
}

void EntryControl::SendLimits(const traffic::LimitMessage& message, TimePoint now) {
  wire::PeerMessage body;
  body.__set_limits(codec::ToWire(message));
  Send(std::visit([](const auto& it) { return it.to; }, message), body, now);
}

void EntryControl::NoteLease(const wire::Frame& frame, TimePoint) {
  const auto& leader = replica_->leader();
  if (frame.echo_ns == 0 || !leader || leader->process != frame.sender ||
      replica_->role() == agreement::Role::kLeader) {
    return;
  }
  lease_until_ = std::max(lease_until_, TimePoint(Duration(frame.echo_ns)) + kConfigLease);
  in_force_ = std::max(in_force_, static_cast<config::Revision>(frame.in_force_revision));
  if (required_ == 0) required_ = static_cast<config::Revision>(frame.applied_revision);
}

void EntryControl::UpdateLease(TimePoint now) {
  if (Leading(now)) {
    lease_until_ = now + kLeaderRenewal;
    const auto read = replica_->ReadIndex(now);
    if (required_ == 0 && read) required_ = *read;
    UpdateInForce(now);
  }
  const bool held = caught_up_;
  if (now >= lease_until_) {
    // The next lease must show again that this process has what was accepted meanwhile.
    required_ = 0;
    caught_up_ = false;
  } else {
    const auto it = machine_.state().processes.find(settings_.id);
    const bool registered = it != machine_.state().processes.end() && it->second.present &&
                            it->second.info.incarnation == incarnation_;
    caught_up_ = required_ != 0 && machine_.revision() >= required_ && registered;
  }
  if (held == caught_up_) return;
  publish_due_ = true;
  LogEvent(caught_up_ ? Event::kLeaseGained : Event::kLeaseLost,
           {{"revision", machine_.revision()}, {"required", required_}});
}

void EntryControl::UpdateInForce(TimePoint now) {
  config::Revision lowest = machine_.revision();
  for (const auto& [id, process] : machine_.state().processes) {
    if (id == settings_.id || !process.present) continue;
    const auto it = peers_.find(id);
    const TimePoint heard = it == peers_.end() ? TimePoint{} : it->second.heard;
    // A process that this leader has not heard may hold a lease of the leader before.
    const TimePoint lease_end = std::max(heard, leading_since_) + kConfigLease;
    if (now >= lease_end) continue;
    if (heard < leading_since_) return;
    lowest = std::min(lowest, it->second.applied);
  }
  in_force_ = std::max(in_force_, lowest);
}

void EntryControl::Join(TimePoint now) {
  // A voter that was removed while it was cut off is still a member in its own log, so a process
  // without a lease asks as well. The leader ignores the request of a member.
  const bool member = replica_->membership().Role(replica_->id()).has_value();
  const bool forgotten = now - std::max(lease_until_, started_at_) > kForgottenAfter;
  if (now < join_at_ || (member && !forgotten) || Leading(now)) return;
  join_at_ = now + kJoinPeriod;
  wire::PeerMessage body;
  wire::JoinRequest request;
  request.id.process = replica_->id().process;
  request.id.incarnation = static_cast<std::int64_t>(replica_->id().incarnation);
  request.has_disk = store_ != nullptr;
  body.__set_join_request(request);
  for (const auto& [id, peer] : peers_) Send(id, body, now);
}

void EntryControl::Register(TimePoint now) {
  if (registering_ || leaving_ || now >= lease_until_ || required_ == 0 ||
      machine_.revision() < required_) {
    return;
  }
  const auto it = machine_.state().processes.find(settings_.id);
  if (it != machine_.state().processes.end()) {
    if (it->second.present && it->second.info.incarnation == incarnation_) return;
    // The leader removed this process while it was cut off; it returns under a new incarnation.
    if (it->second.info.incarnation >= incarnation_) {
      incarnation_ = it->second.info.incarnation + 1;
    }
  }
  registering_ = true;
  config::ProcessStarted record{settings_.id,          incarnation_,     settings_.listen,
                                settings_.peer_listen, settings_.region, settings_.failure_domain};
  Propose(
      std::move(record), kRegisterTimeout,
      [this](const std::optional<config::ApplyResult>&) { registering_ = false; }, now);
}

void EntryControl::Leave(TimePoint now) {
  if (leaving_) return;
  leaving_ = true;
  Propose(
      config::ProcessLeft{settings_.id, incarnation_}, kRegisterTimeout,
      [](const std::optional<config::ApplyResult>&) {}, now);
}

bool EntryControl::Withdrawn() const {
  const auto it = machine_.state().processes.find(settings_.id);
  return it == machine_.state().processes.end() || !it->second.present;
}

void EntryControl::OnAgentHeartbeat(const wire::Frame& frame, TimePoint now) {
  const auto& beat = frame.body.agent_heartbeat;
  const config::EndpointJoined info = codec::FromWire(beat.endpoint);
  reports_.Take(beat.report, "", now);
  reports_.SetAgentAddress(info.endpoint_id, frame.sender_address);
  publish_due_ = true;
  const auto* known = machine_.FindEndpoint(info.endpoint_id);
  const auto ignore = [](const std::optional<config::ApplyResult>&) {};
  if (beat.leaving) {
    if (known != nullptr && known->present && known->info.incarnation == info.incarnation) {
      Propose(config::EndpointLeft{info.endpoint_id, info.incarnation, "graceful stop"},
              kJoinRecordTimeout, ignore, now);
    }
  } else if (known == nullptr || info.incarnation > known->info.incarnation ||
             (!known->present && info.incarnation == known->info.incarnation)) {
    Propose(info, kJoinRecordTimeout, ignore, now);
  }
  wire::HomeReply reply;
  const auto orders = orders_.find(info.endpoint_id);
  if (orders != orders_.end()) {
    for (const auto& it : orders->second) reply.orders.push_back(codec::OrderToWire(it));
  }
  reply.members_revision = static_cast<std::int64_t>(endpoints_revision_);
  if (beat.members_revision < reply.members_revision) {
    for (const auto& [id, endpoint] : machine_.state().endpoints) {
      if (!endpoint.present || endpoint.info.model != info.model ||
          endpoint.info.role != config::EndpointRole::kEngine) {
        continue;
      }
      auto& member = reply.members.emplace_back();
      member.endpoint_id = id;
      member.agent_address = endpoint.info.agent_address;
      member.region = endpoint.info.region;
      member.failure_domain = endpoint.info.failure_domain;
    }
  }
  for (const auto& [id, process] : machine_.state().processes) {
    if (process.present) reply.entries.push_back(process.info.peer_address);
  }
  wire::Frame answer;
  answer.protocol = 1;
  answer.sender = settings_.id;
  answer.incarnation = static_cast<std::int64_t>(incarnation_);
  answer.sender_address = settings_.peer_listen;
  answer.body.__set_home_reply(reply);
  outlets_.send(frame.sender_address, codec::EncodeCompact(answer));
}

void EntryControl::Publish(TimePoint now) {
  publish_due_ = rules_due_ = false;
  publish_at_ = now + kPublishPeriod;
  const auto& state = machine_.state();
  if (rules_revision_ != machine_.revision()) {
    std::map<std::string, config::Rule> rules;
    for (const auto& [key, entry] : state.rules) rules[key] = entry.rule;
    rules_ = std::make_shared<const RuleBook>(std::move(rules));
    rules_revision_ = machine_.revision();
  }
  auto published = std::make_shared<Published>();
  published->rules = rules_;
  published->applied = machine_.revision();
  published->in_force = in_force_;
  published->incarnation = incarnation_;
  published->process_changes = process_changes_;
  published->caught_up = caught_up_;
  published->lease_until = lease_until_;
  std::uint32_t live = 0;
  for (const auto& [id, process] : state.processes) {
    if (!process.present) continue;
    ++live;
    directory::EntryProcess out;
    out.id = id;
    out.incarnation = process.info.incarnation;
    out.address = process.info.http_address;
    out.location = {process.info.region, process.info.failure_domain};
    published->processes.push_back(std::move(out));
  }
  published->routing = std::make_shared<const traffic::RoutingSnapshot>(
      reports_.RoutingEndpoints(machine_, now), machine_.revision(), std::max(live, 1U));
  outlets_.published->Store(std::move(published));
}

}  // namespace wagtailslip::process
