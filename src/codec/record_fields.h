#pragma once

#include <algorithm>

#include "field_copy.h"
#include "gen/wagtailslip_types.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::codec {

// Each function lists the fields of one struct, for both directions: C is ToWireCopy or
// FromWireCopy. D and W are the domain struct and the wire struct; the source is const.

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
  copy(d.batch, w.batch);
  copy(d.rolling_back, w.returning);
}

template <typename C, typename D, typename W>
void CopyRuleFields(const C& copy, D& d, W& w) {
  copy(d.account, w.account);
  copy(d.kind, w.kind);
  copy(d.call_class, w.call_class);
  copy(d.priority, w.priority);
  copy(d.weight, w.weight);
  copy(d.rate_limit, w.rate_limit);
  copy(d.deadline, w.deadline_ns);
}

template <typename C, typename D, typename W>
void CopySetRule(const C& copy, D& d, W& w) {
  CopyCommand(copy, d.command, w.command);
  CopyRuleFields(copy, d.rule, w.rule);
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
  copy(d.attempt, w.attempt);
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
  copy(d.attempt, w.attempt);
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

template <typename C, typename D, typename W>
void CopyResult(const C& copy, D& d, W& w) {
  copy(d.status, w.status);
  copy(d.first_status, w.first_status);
  copy(d.revision, w.revision);
  copy(d.conflicting_request_id, w.winner);
  copy(d.object_revision, w.object_revision);
  copy(d.code, w.code);
  copy(d.field, w.field);
  copy(d.message, w.message);
  copy(d.object, w.object);
}

inline wire::ScheduledChange ScheduledToWire(const config::ScheduledChange& d) {
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

inline config::ScheduledChange ScheduledFromWire(const wire::ScheduledChange& w) {
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

}  // namespace wagtailslip::codec
