#include "wagtailslip/mesh/codec.h"

#include <algorithm>

#include "gen/mesh_types.h"

namespace wagtailslip::mesh {
namespace {

std::int32_t ClampedMilliseconds(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(ms, 0, 1'000'000'000));
}

std::uint32_t Unsigned(std::int32_t value) {
  if (value < 0) throw MeshError("negative number in a mesh message");
  return static_cast<std::uint32_t>(value);
}

}  // namespace

wire::MeshMember ToWire(const Member& member) {
  wire::MeshMember w;
  w.process = member.process;
  w.kind = static_cast<std::int16_t>(member.kind);
  w.failure_domain = member.failure_domain;
  w.region = member.region;
  w.service_address = member.service_address;
  w.accepting = member.accepting;
  w.incarnation = member.incarnation;
  return w;
}

Member FromWire(const wire::MeshMember& w) {
  const auto kind = static_cast<MemberKind>(w.kind);
  if (kMemberKinds.Name(kind) == "?") throw MeshError("unknown member kind in a mesh message");
  return {w.process,         kind,        w.failure_domain, w.region,
          w.service_address, w.accepting, w.incarnation};
}

wire::InstanceRecord ToWire(const serving::EndpointRecord& record, TimePoint now) {
  wire::InstanceRecord w;
  w.id = record.id;
  w.started_ms = record.started_ms;
  w.sequence = record.sequence;
  w.service_name = record.service;
  w.address = record.address;
  w.failure_domain = record.failure_domain;
  w.slots = static_cast<std::int32_t>(record.slots);
  w.state = static_cast<std::int16_t>(record.state);
  w.warmup_ms = ClampedMilliseconds(record.warmup);
  w.model = record.model;
  w.weights = record.weights;
  w.age_ms = ClampedMilliseconds(now - record.announced_at);
  return w;
}

serving::EndpointRecord FromWire(const wire::InstanceRecord& w, TimePoint now) {
  serving::EndpointRecord record;
  record.id = w.id;
  record.started_ms = w.started_ms;
  record.sequence = w.sequence;
  record.service = w.service_name;
  record.address = w.address;
  record.failure_domain = w.failure_domain;
  record.slots = static_cast<std::uint32_t>(std::max(w.slots, 0));
  record.state = static_cast<serving::EndpointState>(w.state);
  if (serving::kEndpointStates.Name(record.state) == "?") {
    throw MeshError("unknown endpoint state in a mesh message");
  }
  record.warmup = std::chrono::milliseconds(w.warmup_ms);
  record.model = w.model;
  record.weights = w.weights;
  record.announced_at = now - std::chrono::milliseconds(w.age_ms);
  return record;
}

wire::InstanceReading ToWire(const serving::EngineStatus& reading) {
  wire::InstanceReading w;
  w.address = reading.address;
  w.started_ms = reading.started_ms;
  w.weights = reading.weights_version;
  w.running = static_cast<std::int32_t>(reading.running);
  w.waiting = static_cast<std::int32_t>(reading.waiting);
  w.swapping = reading.swapping;
  w.pace = reading.slowdown;
  w.next_weights = reading.next_weights_version;
  w.swap_in_ms = static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(reading.time_until_swap).count());
  return w;
}

serving::EngineStatus FromWire(const wire::InstanceReading& w) {
  return {w.address,
          w.started_ms,
          w.weights,
          static_cast<std::uint32_t>(std::max(w.running, 0)),
          static_cast<std::uint32_t>(std::max(w.waiting, 0)),
          w.swapping,
          w.pace,
          w.next_weights,
          std::chrono::milliseconds(w.swap_in_ms)};
}

wire::EndpointLimit ToWire(const serving::LimitObservation& observation, TimePoint now) {
  wire::EndpointLimit w;
  w.endpoint = observation.endpoint;
  w.started_ms = observation.started_ms;
  if (observation.per_second) w.__set_per_second(*observation.per_second);
  w.sent_age_ms = ClampedMilliseconds(now - observation.sent_at);
  w.answered_age_ms = ClampedMilliseconds(now - observation.answered_at);
  return w;
}

serving::LimitObservation FromWire(const wire::EndpointLimit& w, TimePoint now) {
  serving::LimitObservation observation;
  observation.endpoint = w.endpoint;
  observation.started_ms = w.started_ms;
  if (w.__isset.per_second) {
    // Also false for a value that is not a number.
    if (!(w.per_second >= 0)) throw MeshError("invalid request limit in a mesh message");
    observation.per_second = w.per_second;
  }
  observation.sent_at = now - std::chrono::milliseconds(w.sent_age_ms);
  observation.answered_at = now - std::chrono::milliseconds(w.answered_age_ms);
  return observation;
}

wire::MeshMessage ToWire(const serving::PermitRequest& request, TimePoint now) {
  wire::MeshMessage message;
  message.__isset.permits = true;
  message.permits.asked_at_ns = request.sent_at.time_since_epoch().count();
  for (const auto& it : request.rows) {
    wire::PermitRow row;
    row.endpoint = it.endpoint;
    row.wanted = static_cast<std::int32_t>(it.wanted);
    message.permits.rows.push_back(row);
  }
  message.__isset.limits = true;
  for (const auto& it : request.limits) message.limits.push_back(ToWire(it, now));
  return message;
}

serving::PermitRequest PermitRequestFromWire(const wire::MeshMessage& message,
                                             const std::string& process, TimePoint now) {
  serving::PermitRequest request;
  request.process = process;
  request.sent_at = TimePoint(Duration(message.permits.asked_at_ns));
  for (const auto& it : message.permits.rows) {
    request.rows.push_back({it.endpoint, static_cast<std::uint32_t>(std::max(it.wanted, 0))});
  }
  for (const auto& it : message.limits) request.limits.push_back(FromWire(it, now));
  return request;
}

wire::Retries ToWire(const serving::RetryReport& report) {
  wire::Retries w;
  w.reported_at_ns = report.sent_at.time_since_epoch().count();
  w.granted_at_ns = report.last_grant_at.time_since_epoch().count();
  w.since_grant_ns = report.since_last_grant.count();
  for (const auto& it : report.rows) {
    wire::RetryRow row;
    row.service_name = it.service;
    for (const auto n : it.requests) row.requests.push_back(static_cast<std::int32_t>(n));
    row.used = static_cast<std::int64_t>(it.used);
    row.held = static_cast<std::int32_t>(it.held);
    row.wanted = static_cast<std::int32_t>(it.wanted);
    w.rows.push_back(std::move(row));
  }
  return w;
}

serving::RetryReport RetryReportFromWire(const wire::Retries& w, const std::string& process,
                                         std::int64_t incarnation) {
  serving::RetryReport report;
  report.process = process;
  report.incarnation = incarnation;
  report.sent_at = TimePoint(Duration(w.reported_at_ns));
  report.last_grant_at = TimePoint(Duration(w.granted_at_ns));
  report.since_last_grant = Duration(w.since_grant_ns);
  for (const auto& it : w.rows) {
    serving::RetryReport::Row row;
    row.service = it.service_name;
    for (const auto n : it.requests) row.requests.push_back(Unsigned(n));
    row.used = static_cast<std::uint64_t>(std::max<std::int64_t>(it.used, 0));
    row.held = Unsigned(it.held);
    row.wanted = Unsigned(it.wanted);
    report.rows.push_back(std::move(row));
  }
  return report;
}

wire::Retries ToWire(const serving::RetryGrant& grant) {
  wire::Retries w;
  w.grant = true;
  w.reported_at_ns = grant.report_sent_at.time_since_epoch().count();
  w.granted_at_ns = grant.sent_at.time_since_epoch().count();
  w.lifetime_ms = ClampedMilliseconds(grant.lifetime);
  w.counted = grant.counted;
  for (const auto& it : grant.rows) {
    wire::RetryRow row;
    row.service_name = it.service;
    row.granted = static_cast<std::int32_t>(it.granted);
    row.reserve = static_cast<std::int32_t>(it.reserve);
    w.rows.push_back(std::move(row));
  }
  return w;
}

serving::RetryGrant RetryGrantFromWire(const wire::Retries& w) {
  serving::RetryGrant grant;
  grant.report_sent_at = TimePoint(Duration(w.reported_at_ns));
  grant.sent_at = TimePoint(Duration(w.granted_at_ns));
  grant.lifetime = std::chrono::milliseconds(Unsigned(w.lifetime_ms));
  grant.counted = w.counted;
  for (const auto& it : w.rows) {
    grant.rows.push_back({it.service_name, Unsigned(it.granted), Unsigned(it.reserve)});
  }
  return grant;
}

wire::PartReport ToWire(const serving::PartReport& report, TimePoint now) {
  wire::PartReport w;
  for (const auto& it : report.ends) {
    wire::AttemptEnd end;
    end.engine = it.engine;
    end.started_ms = it.started_ms;
    end.age_ms = ClampedMilliseconds(now - it.at);
    end.parts = it.parts;
    w.ends.push_back(std::move(end));
  }
  for (const auto& it : report.proofs) {
    wire::PartProof proof;
    proof.part = it.part;
    proof.age_ms = ClampedMilliseconds(now - it.at);
    w.proofs.push_back(std::move(proof));
  }
  w.proven_attempts = static_cast<std::int64_t>(report.proven_attempts);
  w.ended_attempts = static_cast<std::int64_t>(report.ended_attempts);
  w.refused = report.refused;
  return w;
}

serving::PartReport FromWire(const wire::PartReport& w, TimePoint now) {
  serving::PartReport report;
  for (const auto& it : w.ends) {
    report.ends.push_back(
        {it.engine, it.started_ms, now - std::chrono::milliseconds(Unsigned(it.age_ms)), it.parts});
  }
  for (const auto& it : w.proofs) {
    report.proofs.push_back({it.part, now - std::chrono::milliseconds(Unsigned(it.age_ms))});
  }
  report.proven_attempts = static_cast<std::uint64_t>(std::max<std::int64_t>(w.proven_attempts, 0));
  report.ended_attempts = static_cast<std::uint64_t>(std::max<std::int64_t>(w.ended_attempts, 0));
  report.refused = w.refused;
  return report;
}

wire::PartVerdict ToWire(const serving::PartVerdict& verdict) {
  wire::PartVerdict w;
  w.part = verdict.part;
  w.state = static_cast<std::int16_t>(verdict.state);
  w.times = static_cast<std::int32_t>(verdict.times);
  w.trial_process = verdict.trial_process;
  return w;
}

serving::PartVerdict FromWire(const wire::PartVerdict& w) {
  const auto state = static_cast<serving::PartState>(w.state);
  if (serving::kPartStates.Name(state) == "?") {
    throw MeshError("unknown state of a prompt part in a mesh message");
  }
  return {w.part, state, Unsigned(w.times), w.trial_process};
}

wire::PartVerdicts ToWire(const serving::PartVerdictList& list) {
  wire::PartVerdicts w;
  w.revision = list.revision;
  for (const auto& it : list.verdicts) w.rows.push_back(ToWire(it));
  return w;
}

serving::PartVerdictList FromWire(const wire::PartVerdicts& w) {
  serving::PartVerdictList list;
  list.revision = w.revision;
  for (const auto& it : w.rows) list.verdicts.push_back(FromWire(it));
  return list;
}

wire::Permits ToWire(const serving::PermitGrant& grant) {
  wire::Permits w;
  w.grant = true;
  w.asked_at_ns = grant.request_sent_at.time_since_epoch().count();
  for (const auto& it : grant.rows) {
    wire::PermitRow row;
    row.endpoint = it.endpoint;
    row.granted = static_cast<std::int32_t>(it.granted);
    row.next_ms = ClampedMilliseconds(it.next);
    row.queue_ms = ClampedMilliseconds(it.queue_delay);
    w.rows.push_back(row);
  }
  return w;
}

serving::PermitGrant PermitGrantFromWire(const wire::Permits& w) {
  serving::PermitGrant grant;
  grant.request_sent_at = TimePoint(Duration(w.asked_at_ns));
  for (const auto& it : w.rows) {
    grant.rows.push_back({it.endpoint, static_cast<std::uint32_t>(std::max(it.granted, 0)),
                          std::chrono::milliseconds(std::max(it.next_ms, 0)),
                          std::chrono::milliseconds(std::max(it.queue_ms, 0))});
  }
  return grant;
}

}  // namespace wagtailslip::mesh
