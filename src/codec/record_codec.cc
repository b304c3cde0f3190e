#include "wagtailslip/codec/record_codec.h"

#include <algorithm>

#include "field_copy.h"
#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/compact.h"

namespace wagtailslip::codec {
namespace {

// One function per struct lists its fields; C is ToWireCopy or FromWireCopy. D and W are the domain
// and wire structs, one of them const.

template <typename C, typename D, typename W>
void CopyCommand(const C& copy, D& d, W& w) {
  copy(d.request_id, w.request_id);
  copy(d.base_revision, w.base_revision);
  copy(d.operator_name, w.operator_name);
  copy(d.seen_revision, w.seen_revision);
}

template <typename C, typename D, typename W>
void CopyCreateRollout(const C& copy, D& d, W& w) {
  CopyCommand(copy, d.command, w.command);
  copy(d.model, w.model);
  copy(d.version, w.version);
  copy(d.kind, w.kind);
  copy(d.origin, w.origin);
  copy(d.root, w.root);
  copy(d.policy, w.policy);
  copy(d.minimum_serving, w.minimum_serving);
  copy(d.batch_size, w.batch_size);
  copy(d.failure_limit, w.failure_limit);
  copy(d.adapter, w.adapter);
  copy(d.base_version, w.base_version);
}

template <typename C, typename D, typename W>
void CopyControlRollout(const C& copy, D& d, W& w) {
  CopyCommand(copy, d.command, w.command);
  copy(d.rollout_id, w.rollout_id);
  copy(d.action, w.action);
}

template <typename C, typename D, typename W>
void CopyAdvanceRollout(const C& copy, D& d, W& w) {
  copy(d.rollout_id, w.rollout_id);
  copy(d.event, w.event);
  copy(d.endpoints, w.endpoints);
  copy(d.reason, w.reason);
}

template <typename C, typename D, typename W>
void CopySetRule(const C& copy, D& d, W& w) {
  CopyCommand(copy, d.command, w.command);
  copy(d.rule.account, w.rule.account);
  copy(d.rule.kind, w.rule.kind);
  copy(d.rule.call_class, w.rule.call_class);
  copy(d.rule.priority, w.rule.priority);
  copy(d.rule.weight, w.rule.weight);
  copy(d.rule.rate_limit, w.rule.rate_limit);
  copy(d.rule.deadline, w.rule.deadline_ns);
}

template <typename C, typename D, typename W>
void CopyEndpointJoined(const C& copy, D& d, W& w) {
  copy(d.endpoint_id, w.endpoint_id);
  copy(d.incarnation, w.incarnation);
  copy(d.role, w.role);
  copy(d.address, w.address);
  copy(d.agent_address, w.agent_address);
  copy(d.model, w.model);
  copy(d.region, w.region);
  copy(d.failure_domain, w.failure_domain);
  copy(d.obeys_fencing, w.obeys_fencing);
  copy(d.checks_sender, w.checks_sender);
}

template <typename C, typename D, typename W>
void CopyEndpointLeft(const C& copy, D& d, W& w) {
  copy(d.endpoint_id, w.endpoint_id);
  copy(d.incarnation, w.incarnation);
  copy(d.reason, w.reason);
}

template <typename C, typename D, typename W>
void CopyDrainEndpoint(const C& copy, D& d, W& w) {
  CopyCommand(copy, d.command, w.command);
  copy(d.endpoint_id, w.endpoint_id);
  copy(d.drain, w.drain);
}

template <typename C, typename D, typename W>
void CopyIntent(const C& copy, D& d, W& w) {
  copy(d.account, w.account);
  copy(d.key, w.key);
  copy(d.request, w.request);
  copy(d.owner, w.owner);
  copy(d.owner_incarnation, w.owner_incarnation);
  copy(d.at, w.at_ns);
}

template <typename C, typename D, typename W>
void CopyOutcome(const C& copy, D& d, W& w) {
  copy(d.account, w.account);
  copy(d.key, w.key);
  copy(d.owner, w.owner);
  copy(d.owner_incarnation, w.owner_incarnation);
  copy(d.outcome, w.outcome);
  copy(d.status, w.status);
  copy(d.content_type, w.content_type);
  copy(d.body, w.body);
}

template <typename C, typename D, typename W>
void CopyProcessStarted(const C& copy, D& d, W& w) {
  copy(d.process, w.process);
  copy(d.incarnation, w.incarnation);
  copy(d.http_address, w.http_address);
  copy(d.peer_address, w.peer_address);
  copy(d.region, w.region);
  copy(d.failure_domain, w.failure_domain);
}

template <typename C, typename D, typename W>
void CopyProcessLeft(const C& copy, D& d, W& w) {
  copy(d.process, w.process);
  copy(d.incarnation, w.incarnation);
}

wire::ScheduledChange ScheduledToWire(const config::ScheduledChange& d) {
  const ToWireCopy copy;
  wire::ScheduledChange w;
  copy(d.effective_at, w.effective_at_ns);
  if (const auto* rollout = std::get_if<config::CreateRollout>(&d.change)) {
    wire::CreateRollout body;
    CopyCreateRollout(copy, *rollout, body);
    w.change.__set_create_rollout(body);
  } else {
    wire::SetRule body;
    CopySetRule(copy, std::get<config::SetRule>(d.change), body);
    w.change.__set_set_rule(body);
  }
  return w;
}

config::ScheduledChange ScheduledFromWire(const wire::ScheduledChange& w) {
  const FromWireCopy copy;
  config::ScheduledChange d;
  copy(d.effective_at, w.effective_at_ns);
  if (w.change.__isset.create_rollout) {
    config::CreateRollout body;
    CopyCreateRollout(copy, body, w.change.create_rollout);
    d.change = body;
  } else if (w.change.__isset.set_rule) {
    config::SetRule body;
    CopySetRule(copy, body, w.change.set_rule);
    d.change = body;
  } else {
    throw CodecError("scheduled change has no body");
  }
  return d;
}

/// Sets the member of the wire union that belongs to a record.
struct RecordWriter {
  wire::Record& w;
  const ToWireCopy copy{};

  void operator()(const config::NoOp&) const { w.__set_no_op({}); }
  void operator()(const config::CreateRollout& d) const {
    CopyCreateRollout(copy, d, w.create_rollout);
    w.__isset.create_rollout = true;
  }
  void operator()(const config::ControlRollout& d) const {
    CopyControlRollout(copy, d, w.control_rollout);
    w.__isset.control_rollout = true;
  }
  void operator()(const config::AdvanceRollout& d) const {
    CopyAdvanceRollout(copy, d, w.advance_rollout);
    w.__isset.advance_rollout = true;
  }
  void operator()(const config::SetRule& d) const {
    CopySetRule(copy, d, w.set_rule);
    w.__isset.set_rule = true;
  }
  void operator()(const config::SubmitSheet& d) const {
    CopyCommand(copy, d.command, w.submit_sheet.command);
    copy(d.content, w.submit_sheet.content);
    for (const auto& it : d.changes) w.submit_sheet.changes.push_back(ScheduledToWire(it));
    w.__isset.submit_sheet = true;
  }
  void operator()(const config::ApplySchedule& d) const {
    copy(d.now, w.apply_schedule.now_ns);
    w.__isset.apply_schedule = true;
  }
  void operator()(const config::EndpointJoined& d) const {
    CopyEndpointJoined(copy, d, w.endpoint_joined);
    w.__isset.endpoint_joined = true;
  }
  void operator()(const config::EndpointLeft& d) const {
    CopyEndpointLeft(copy, d, w.endpoint_left);
    w.__isset.endpoint_left = true;
  }
  void operator()(const config::DrainEndpoint& d) const {
    CopyDrainEndpoint(copy, d, w.drain_endpoint);
    w.__isset.drain_endpoint = true;
  }
  void operator()(const config::IntentRecorded& d) const {
    CopyIntent(copy, d, w.intent_recorded);
    w.__isset.intent_recorded = true;
  }
  void operator()(const config::OutcomeRecorded& d) const {
    CopyOutcome(copy, d, w.outcome_recorded);
    w.__isset.outcome_recorded = true;
  }
  void operator()(const config::ProcessStarted& d) const {
    CopyProcessStarted(copy, d, w.process_started);
    w.__isset.process_started = true;
  }
  void operator()(const config::ProcessLeft& d) const {
    CopyProcessLeft(copy, d, w.process_left);
    w.__isset.process_left = true;
  }
};

template <typename D, typename W>
config::Record Read(void (*copy_fields)(const FromWireCopy&, D&, const W&), const W& w) {
  D d;
  copy_fields(FromWireCopy{}, d, w);
  return d;
}

config::SubmitSheet SheetFromWire(const wire::SubmitSheet& w) {
  const FromWireCopy copy;
  config::SubmitSheet d;
  CopyCommand(copy, d.command, w.command);
  copy(d.content, w.content);
  for (const auto& it : w.changes) d.changes.push_back(ScheduledFromWire(it));
  return d;
}

config::Record FromWireRecord(const wire::Record& w) {
  const auto& is = w.__isset;
  if (is.no_op) return config::NoOp{};
  if (is.create_rollout)
    return Read<config::CreateRollout, wire::CreateRollout>(CopyCreateRollout, w.create_rollout);
  if (is.control_rollout)
    return Read<config::ControlRollout, wire::ControlRollout>(CopyControlRollout,
                                                              w.control_rollout);
  if (is.advance_rollout)
    return Read<config::AdvanceRollout, wire::AdvanceRollout>(CopyAdvanceRollout,
                                                              w.advance_rollout);
  if (is.set_rule) return Read<config::SetRule, wire::SetRule>(CopySetRule, w.set_rule);
  if (is.submit_sheet) return SheetFromWire(w.submit_sheet);
  if (is.apply_schedule) return config::ApplySchedule{UtcTime(Duration(w.apply_schedule.now_ns))};
  if (is.endpoint_joined)
    return Read<config::EndpointJoined, wire::EndpointJoined>(CopyEndpointJoined,
                                                              w.endpoint_joined);
  if (is.endpoint_left)
    return Read<config::EndpointLeft, wire::EndpointLeft>(CopyEndpointLeft, w.endpoint_left);
  if (is.drain_endpoint)
    return Read<config::DrainEndpoint, wire::DrainEndpoint>(CopyDrainEndpoint, w.drain_endpoint);
  if (is.intent_recorded)
    return Read<config::IntentRecorded, wire::IntentRecorded>(CopyIntent, w.intent_recorded);
  if (is.outcome_recorded)
    return Read<config::OutcomeRecorded, wire::OutcomeRecorded>(CopyOutcome, w.outcome_recorded);
  if (is.process_started)
    return Read<config::ProcessStarted, wire::ProcessStarted>(CopyProcessStarted,
                                                              w.process_started);
  if (is.process_left)
    return Read<config::ProcessLeft, wire::ProcessLeft>(CopyProcessLeft, w.process_left);
  throw CodecError("record has no known body");
}

}  // namespace

std::string EncodeRecord(const config::Record& record) {
  wire::Record w;
  std::visit(RecordWriter{w}, record);
  return EncodeCompact(w);
}

config::Record DecodeRecord(std::string_view bytes) {
  return FromWireRecord(DecodeCompact<wire::Record>(bytes));
}

wire::EndpointJoined ToWire(const config::EndpointJoined& endpoint) {
  wire::EndpointJoined w;
  CopyEndpointJoined(ToWireCopy{}, endpoint, w);
  return w;
}

config::EndpointJoined FromWire(const wire::EndpointJoined& endpoint) {
  config::EndpointJoined d;
  CopyEndpointJoined(FromWireCopy{}, d, endpoint);
  return d;
}

}  // namespace wagtailslip::codec
