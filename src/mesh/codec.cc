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
  if (member.protocol != 0) w.__set_protocol(static_cast<std::int16_t>(member.protocol));
  return w;
}

Member FromWire(const wire::MeshMember& w) {
  const auto kind = static_cast<MemberKind>(w.kind);
  if (kMemberKinds.Name(kind) == "?") throw MeshError("unknown member kind in a mesh message");
  return {w.process,         kind,        w.failure_domain, w.region,
          w.service_address, w.accepting, w.incarnation,    w.__isset.protocol ? w.protocol : 0};
}

wire::MemberChanges ToWire(const MemberChanges& changes) {
  wire::MemberChanges w;
  w.base = changes.base;
  w.revision = changes.revision;
  for (const auto& it : changes.updated) w.updated.push_back(ToWire(it));
  w.removed = changes.removed;
  return w;
}

MemberChanges FromWire(const wire::MemberChanges& w) {
  MemberChanges changes{w.base, w.revision, {}, w.removed};
  for (const auto& it : w.updated) changes.updated.push_back(FromWire(it));
  return changes;
}

wire::InstanceSummary ToWire(const serving::EndpointSummary& summary) {
  wire::InstanceSummary w;
  w.endpoints = static_cast<std::int64_t>(summary.digest.endpoints);
  w.ends = static_cast<std::int64_t>(summary.digest.ends);
  // Rounded up: a record must not look younger than it is.
  const auto age_ms = [](Duration age) {
    return ClampedMilliseconds(age + std::chrono::milliseconds(1));
  };
  if (summary.max_age) w.__set_max_age_ms(age_ms(*summary.max_age));
  for (const auto& [id, age] : summary.older) {
    wire::InstanceAge& it = w.older.emplace_back();
    it.id = id;
    it.age_ms = age_ms(age);
  }
  return w;
}

serving::EndpointSummary FromWire(const wire::InstanceSummary& w) {
  serving::EndpointSummary summary;
  summary.digest = {static_cast<std::uint64_t>(w.endpoints), static_cast<std::uint64_t>(w.ends)};
  if (w.__isset.max_age_ms) summary.max_age = std::chrono::milliseconds(Unsigned(w.max_age_ms));
  for (const auto& it : w.older) {
    summary.older[it.id] = std::chrono::milliseconds(Unsigned(it.age_ms));
  }
  return summary;
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

namespace {

serving::CrashSubject SubjectFromWire(std::int16_t kind, const std::string& id) {
  const auto known = static_cast<serving::SubjectKind>(kind);
  if (serving::kSubjectKinds.Name(known) == "?") {
    throw MeshError("unknown kind of a crash subject in a mesh message");
  }
  return {known, id};
}

/// Ids of the subjects of a kind.
std::vector<std::string> Ids(const std::vector<serving::CrashSubject>& subjects,
                             serving::SubjectKind kind) {
  std::vector<std::string> ids;
  for (const auto& it : subjects) {
    if (it.kind == kind) ids.push_back(it.id);
  }
  return ids;
}

void AddSubjects(std::vector<serving::CrashSubject>& subjects, const std::vector<std::string>& ids,
                 serving::SubjectKind kind) {
  for (const auto& it : ids) subjects.push_back({kind, it});
}

wire::Subject ToWire(const serving::CrashSubject& subject) {
  wire::Subject w;
  w.id = subject.id;
  w.kind = static_cast<std::int16_t>(subject.kind);
  return w;
}

wire::AttemptEnd ToWire(const serving::EndedAttempt& attempt, TimePoint now) {
  using serving::SubjectKind;
  wire::AttemptEnd end;
  end.endpoint = attempt.endpoint;
  end.started_ms = attempt.started_ms;
  end.age_ms = ClampedMilliseconds(now - attempt.at);
  end.parts = Ids(attempt.subjects, SubjectKind::kPromptPart);
  const auto requests = Ids(attempt.subjects, SubjectKind::kRequest);
  if (!requests.empty()) end.__set_request(requests.front());
  end.service_name = attempt.service;
  end.unconfirmed = !attempt.confirmed;
  end.__set_events(static_cast<std::int64_t>(attempt.events));
  return end;
}

serving::EndedAttempt FromWire(const wire::AttemptEnd& w, TimePoint now) {
  using serving::SubjectKind;
  serving::EndedAttempt attempt;
  attempt.endpoint = w.endpoint;
  attempt.started_ms = w.started_ms;
  attempt.at = now - std::chrono::milliseconds(Unsigned(w.age_ms));
  AddSubjects(attempt.subjects, w.parts, SubjectKind::kPromptPart);
  if (w.__isset.request) attempt.subjects.push_back({SubjectKind::kRequest, w.request});
  attempt.service = w.service_name;
  attempt.confirmed = !w.unconfirmed;
  attempt.events = static_cast<std::uint64_t>(std::max<std::int64_t>(w.events, 0));
  return attempt;
}

}  // namespace

wire::CrashReport ToWire(const serving::CrashReport& report, TimePoint now) {
  using serving::SubjectKind;
  wire::CrashReport w;
  for (const auto& it : report.ends) {
    const bool starting = serving::StageOf(it.events) == serving::kStarting;
    if (!starting) w.__isset.later_ends = true;
    (starting ? w.ends : w.later_ends).push_back(ToWire(it, now));
  }
  for (const auto& it : report.proofs) {
    wire::SubjectProof proof;
    proof.id = it.subject.id;
    proof.kind = static_cast<std::int16_t>(it.subject.kind);
    proof.age_ms = ClampedMilliseconds(now - it.at);
    w.proofs.push_back(std::move(proof));
  }
  for (const auto& [service, it] : report.totals) {
    wire::ServiceAttempts attempts;
    attempts.service_name = service;
    attempts.begun = static_cast<std::int64_t>(it.begun);
    attempts.ended = static_cast<std::int64_t>(it.ended.front());
    attempts.__set_delivered(static_cast<std::int64_t>(it.delivered));
    attempts.__isset.ended_later = true;
    attempts.ended_later.assign(it.ended.begin() + 1, it.ended.end());
    w.attempts.push_back(std::move(attempts));
  }
  w.refused = Ids(report.refused, SubjectKind::kPromptPart);
  w.refused_requests = Ids(report.refused, SubjectKind::kRequest);
  w.asks = Ids(report.asks, SubjectKind::kRequest);
  for (const auto& it : report.trial_ends) {
    wire::TrialEnd end;
    end.subject = ToWire(it.subject);
    end.revision = it.revision;
    end.outcome = static_cast<std::int16_t>(it.outcome);
    w.trial_ends.push_back(std::move(end));
  }
  return w;
}

serving::CrashReport FromWire(const wire::CrashReport& w, TimePoint now) {
  using serving::SubjectKind;
  const auto age = [now](std::int32_t ms) { return now - std::chrono::milliseconds(Unsigned(ms)); };
  serving::CrashReport report;
  for (const auto* ends : {&w.ends, &w.later_ends}) {
    for (const auto& it : *ends) report.ends.push_back(FromWire(it, now));
  }
  for (const auto& it : w.proofs) {
    report.proofs.push_back({SubjectFromWire(it.kind, it.id), age(it.age_ms)});
  }
  for (const auto& it : w.attempts) {
    const auto count = [](std::int64_t n) {
      return static_cast<std::uint64_t>(std::max<std::int64_t>(n, 0));
    };
    serving::AttemptTotals totals;
    totals.begun = count(it.begun);
    totals.delivered = count(it.delivered);
    totals.ended.front() = count(it.ended);
    const std::size_t stages = std::min(it.ended_later.size(), totals.ended.size() - 1);
    for (std::size_t i = 0; i < stages; ++i) totals.ended[i + 1] = count(it.ended_later[i]);
    report.totals[it.service_name] = totals;
  }
  AddSubjects(report.refused, w.refused, SubjectKind::kPromptPart);
  AddSubjects(report.refused, w.refused_requests, SubjectKind::kRequest);
  AddSubjects(report.asks, w.asks, SubjectKind::kRequest);
  for (const auto& it : w.trial_ends) {
    const auto outcome = static_cast<serving::TrialOutcome>(it.outcome);
    if (serving::kTrialOutcomes.Name(outcome) == "?") {
      throw MeshError("unknown outcome of a trial in a mesh message");
    }
    report.trial_ends.push_back(
        {SubjectFromWire(it.subject.kind, it.subject.id), it.revision, outcome});
  }
  return report;
}

wire::SuspectSubject ToWire(const serving::SuspectSubject& suspect) {
  wire::SuspectSubject w;
  w.id = suspect.subject.id;
  w.kind = static_cast<std::int16_t>(suspect.subject.kind);
  w.ends = static_cast<std::int32_t>(suspect.ends);
  return w;
}

serving::SuspectSubject FromWire(const wire::SuspectSubject& w) {
  return {SubjectFromWire(w.kind, w.id), static_cast<std::uint32_t>(std::max(w.ends, 0))};
}

wire::CrashVerdict ToWire(const serving::CrashVerdict& verdict) {
  wire::CrashVerdict w;
  w.id = verdict.subject.id;
  w.kind = static_cast<std::int16_t>(verdict.subject.kind);
  w.held = verdict.state == serving::VerdictState::kHeld;
  const auto state = w.held ? serving::VerdictState::kCondemned : verdict.state;
  w.state = static_cast<std::int16_t>(state);
  w.times = static_cast<std::int32_t>(verdict.times);
  w.trial_process = verdict.trial_process;
  w.trials = static_cast<std::int32_t>(verdict.trials);
  w.revision = verdict.revision;
  return w;
}

serving::CrashVerdict FromWire(const wire::CrashVerdict& w) {
  const auto state =
      w.held ? serving::VerdictState::kHeld : static_cast<serving::VerdictState>(w.state);
  if (serving::kVerdictStates.Name(state) == "?") {
    throw MeshError("unknown state of a crash subject in a mesh message");
  }
  return {SubjectFromWire(w.kind, w.id),
          state,
          Unsigned(w.times),
          w.trial_process,
          Unsigned(w.trials),
          w.revision};
}

wire::CrashVerdicts ToWire(const serving::CrashVerdictList& list) {
  wire::CrashVerdicts w;
  w.revision = list.revision;
  for (const auto& it : list.verdicts) w.rows.push_back(ToWire(it));
  return w;
}

serving::CrashVerdictList FromWire(const wire::CrashVerdicts& w) {
  serving::CrashVerdictList list;
  list.revision = w.revision;
  for (const auto& it : w.rows) list.verdicts.push_back(FromWire(it));
  return list;
}

wire::DrainedDomains ToWire(const serving::DrainedDomains& drained, TimePoint now) {
  wire::DrainedDomains w;
  w.revision = drained.revision;
  w.domains.assign(drained.domains.begin(), drained.domains.end());
  for (const auto& [domain, end] : drained.ended) {
    if (now - end.at > serving::kDrainEndTtl) continue;
    wire::DrainEnd row;
    row.domain = domain;
    row.revision = end.revision;
    row.age_ms = ClampedMilliseconds(now - end.at);
    row.utc_ms = end.utc_ms;
    w.ended.push_back(row);
  }
  return w;
}

serving::DrainedDomains FromWire(const wire::DrainedDomains& w, TimePoint now) {
  serving::DrainedDomains drained{w.revision, {w.domains.begin(), w.domains.end()}, {}};
  for (const auto& it : w.ended) {
    drained.ended[it.domain] = {it.revision, it.utc_ms,
                                now - std::chrono::milliseconds(Unsigned(it.age_ms))};
  }
  return drained;
}

namespace {

wire::WarmupLeaseRow ToWire(const serving::WarmupLeaseKey& key, bool granted) {
  wire::WarmupLeaseRow row;
  row.endpoint = key.endpoint;
  row.started_ms = key.started_ms;
  row.granted = granted;
  return row;
}

}  // namespace

wire::WarmupLeases ToWire(const serving::WarmupLeaseRequest& request) {
  wire::WarmupLeases w;
  w.asked_at_ns = request.sent_at.time_since_epoch().count();
  for (const auto& it : request.rows) w.rows.push_back(ToWire(it, false));
  return w;
}

serving::WarmupLeaseRequest WarmupRequestFromWire(const wire::WarmupLeases& w,
                                                  const std::string& process) {
  serving::WarmupLeaseRequest request;
  request.process = process;
  request.sent_at = TimePoint(Duration(w.asked_at_ns));
  for (const auto& it : w.rows) request.rows.push_back({it.endpoint, it.started_ms});
  return request;
}

wire::WarmupLeases ToWire(const serving::WarmupLeaseGrant& grant) {
  wire::WarmupLeases w;
  w.grant = true;
  w.asked_at_ns = grant.request_sent_at.time_since_epoch().count();
  w.lifetime_ms = ClampedMilliseconds(grant.lifetime);
  for (const auto& it : grant.rows) w.rows.push_back(ToWire(it.key, it.granted));
  return w;
}

serving::WarmupLeaseGrant WarmupGrantFromWire(const wire::WarmupLeases& w) {
  serving::WarmupLeaseGrant grant;
  grant.request_sent_at = TimePoint(Duration(w.asked_at_ns));
  grant.lifetime = std::chrono::milliseconds(Unsigned(w.lifetime_ms));
  for (const auto& it : w.rows) {
    grant.rows.push_back({{it.endpoint, it.started_ms}, it.granted});
  }
  return grant;
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
