#include "wagtailslip/codec/record_codec.h"

#include "record_fields.h"
#include "wagtailslip/codec/compact.h"

namespace wagtailslip::codec {
namespace {

/// Writes a record to the corresponding field of the wire union.
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
config::Record FieldsFromWire(void (*copy_fields)(const FromWireCopy&, D&, const W&), const W& w) {
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

config::Record RecordFromWire(const wire::Record& w) {
  const auto& isset = w.__isset;
  if (isset.no_op) return config::NoOp{};
  if (isset.create_rollout)
    return FieldsFromWire<config::CreateRollout, wire::CreateRollout>(CopyCreateRollout,
                                                                      w.create_rollout);
  if (isset.control_rollout)
    return FieldsFromWire<config::ControlRollout, wire::ControlRollout>(CopyControlRollout,
                                                                        w.control_rollout);
  if (isset.advance_rollout)
    return FieldsFromWire<config::AdvanceRollout, wire::AdvanceRollout>(CopyAdvanceRollout,
                                                                        w.advance_rollout);
  if (isset.set_rule)
    return FieldsFromWire<config::SetRule, wire::SetRule>(CopySetRule, w.set_rule);
  if (isset.submit_sheet) return SheetFromWire(w.submit_sheet);
  if (isset.apply_schedule)
    return config::ApplySchedule{UtcTime(Duration(w.apply_schedule.now_ns))};
  if (isset.endpoint_joined)
    return FieldsFromWire<config::EndpointJoined, wire::EndpointJoined>(CopyEndpointJoined,
                                                                        w.endpoint_joined);
  if (isset.endpoint_left)
    return FieldsFromWire<config::EndpointLeft, wire::EndpointLeft>(CopyEndpointLeft,
                                                                    w.endpoint_left);
  if (isset.drain_endpoint)
    return FieldsFromWire<config::DrainEndpoint, wire::DrainEndpoint>(CopyDrainEndpoint,
                                                                      w.drain_endpoint);
  if (isset.intent_recorded)
    return FieldsFromWire<config::IntentRecorded, wire::IntentRecorded>(CopyIntent,
                                                                        w.intent_recorded);
  if (isset.outcome_recorded)
    return FieldsFromWire<config::OutcomeRecorded, wire::OutcomeRecorded>(CopyOutcome,
                                                                          w.outcome_recorded);
  if (isset.process_started)
    return FieldsFromWire<config::ProcessStarted, wire::ProcessStarted>(CopyProcessStarted,
                                                                        w.process_started);
  if (isset.process_left)
    return FieldsFromWire<config::ProcessLeft, wire::ProcessLeft>(CopyProcessLeft, w.process_left);
  throw CodecError("record has no known body");
}

}  // namespace

std::string EncodeRecord(const config::Record& record) {
  wire::Record w;
  std::visit(RecordWriter{w}, record);
  return EncodeCompact(w);
}

config::Record DecodeRecord(std::string_view bytes) {
  return RecordFromWire(DecodeCompact<wire::Record>(bytes));
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

namespace {

template <typename C, typename D, typename W>
void CopyOrder(const C& copy, D& d, W& w) {
  copy(d.endpoint_id, w.endpoint_id);
  copy(d.incarnation, w.incarnation);
  copy(d.token.term, w.token_term);
  copy(d.token.revision, w.token_revision);
  copy(d.model, w.model);
  copy(d.adapter, w.adapter);
  copy(d.kind, w.kind);
  copy(d.artifact.version, w.version);
  copy(d.artifact.base_version, w.base_version);
  copy(d.artifact.origin, w.origin);
  copy(d.artifact.root, w.root);
  copy(d.artifact.policy, w.policy);
  copy(d.artifact.rollout_id, w.rollout_id);
}

}  // namespace

void ApplyResultToWire(const config::ApplyResult& result, wire::ApplyResult& w) {
  CopyResult(ToWireCopy{}, result, w);
}

config::ApplyResult ApplyResultFromWire(const wire::ApplyResult& w) {
  config::ApplyResult result;
  CopyResult(FromWireCopy{}, result, w);
  return result;
}

wire::EndpointOrder OrderToWire(const rollout::Order& order) {
  wire::EndpointOrder w;
  CopyOrder(ToWireCopy{}, order, w);
  return w;
}

rollout::Order OrderFromWire(const wire::EndpointOrder& w) {
  rollout::Order order;
  CopyOrder(FromWireCopy{}, order, w);
  return order;
}

}  // namespace wagtailslip::codec
