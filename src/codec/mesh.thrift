// Messages of the mesh: links between control, ingress and sidecar processes.
// Regenerate with tools/generate-thrift; the generated code is committed.
include "wagtailslip.thrift"
namespace cpp wagtailslip.wire

struct MeshMember {
  1: string process
  2: i16 kind
  3: string failure_domain
  4: string region
  5: string service_address
  6: bool accepting
  7: i64 incarnation
  // What the process understands (mesh::Member::protocol); not set by earlier releases.
  8: optional i16 protocol
}

// The list of processes that a control process sends: all of them, or the changes since `base`.
struct MemberChanges {
  // Revision that the changes apply to; 0 if `updated` is the whole list.
  1: i64 base
  2: i64 revision
  3: list<MeshMember> updated
  4: list<string> removed
  // The receiver lacks the list that the changes apply to and asks for the whole one. No other
  // field is used then.
  5: bool incomplete
}

// What an instance of a service said of itself.
struct InstanceRecord {
  1: string id
  2: i64 started_ms
  3: i64 sequence
  4: string service_name
  5: string address
  6: string failure_domain
  7: i32 slots
  8: i16 state
  9: i32 warmup_ms
  10: string model
  11: i64 weights
  12: i32 age_ms
}

struct InstanceAge {
  1: string id
  2: i32 age_ms
}

// What a control process knows of endpoints, instead of the records.
struct InstanceSummary {
  // Hashes of the endpoints and of the ends, without sequence numbers and times.
  1: i64 endpoints
  2: i64 ends
  // Largest age of the last announcement, `older` excepted; not set if there are too many of these.
  3: optional i32 max_age_ms
  4: list<InstanceAge> older
}

// Asks a control process for records of endpoints.
struct InstanceRequest {
  // All records, ends included.
  1: bool all
  2: list<string> ids
}

// Load and weights of an instance as its sidecar reads them.
struct InstanceReading {
  1: string address
  2: i64 started_ms
  3: i64 weights
  4: i32 running
  5: i32 waiting
  6: bool swapping
  7: double pace
  8: i64 next_weights
  9: i32 swap_in_ms
}

struct WeightsTarget {
  1: string model
  2: i64 version
  3: i64 age_ms
  // When the version was named, UTC; 0 in messages of earlier releases.
  4: i64 named_utc_ms
}

// Question for all targets, or the answer to it, which has them in MeshMessage.targets.
struct TargetsQuery {
  1: bool answer
  // Clock of the process that asks; returned in the answer.
  2: i64 asked_at_ns
}

struct ServiceConfigBody {
  1: i64 version
  2: binary body
}

// Where a sidecar finds the weights of the service beside it.
struct ModelSource {
  1: string service_name
  2: string model
  3: string origin
  4: i32 chunks
  5: i32 layers
}

struct JoinLog {
  1: wagtailslip.ReplicaId id
}

// Limit on the requests per second of all ingress processes that an endpoint named in a response.
// Times are ages, as the clocks of two machines are not comparable.
struct EndpointLimit {
  1: string endpoint
  2: i64 started_ms
  // Not set: the endpoint names no limit.
  3: optional double per_second
  // When the request was sent and when the response arrived.
  4: i32 sent_age_ms
  5: i32 answered_age_ms
}

struct PermitRow {
  1: string endpoint
  2: i32 wanted
  3: i32 granted
  // Grants only: time until the next permit, and until all that wait could have been served.
  4: i32 next_ms
  5: i32 queue_ms
}

// Request for permits, or the reply with the same rows.
struct Permits {
  1: bool grant
  // Clock of the process that asks; returned in the reply.
  2: i64 asked_at_ns
  3: list<PermitRow> rows
}

struct RetryRow {
  1: string service_name
  // Reports: requests of callers in the intervals before the report, most recent first.
  2: list<i32> requests
  3: i64 used
  4: i32 held
  5: i32 wanted
  // Grants only.
  6: i32 granted
  7: i32 reserve
}

// Report of an ingress process on requests and retries, or the grant of permits that replies to it.
struct Retries {
  1: bool grant
  // Clock of the process that reports; returned in the grant.
  2: i64 reported_at_ns
  // Clock of the process that grants; returned in the next report with the time since it arrived.
  3: i64 granted_at_ns
  4: i64 since_grant_ns
  5: i32 lifetime_ms
  6: bool counted
  7: list<RetryRow> rows
}

// An attempt whose response was not whole yet when its endpoint ended.
struct AttemptEnd {
  1: string endpoint
  2: i64 started_ms
  3: i32 age_ms
  4: list<string> parts
  // Key of the request.
  5: optional string request
  6: string service_name
  // The endpoint could not be reached to find out whether it ended.
  7: bool unconfirmed
  // Events that the endpoint had generated.
  8: optional i64 events
}

// What of a request may be the cause of ends; the kind is a serving::SubjectKind.
struct Subject {
  1: string id
  2: i16 kind
}

struct SubjectProof {
  1: string id
  2: i32 age_ms
  3: i16 kind
}

// Attempts at a service since the last report.
struct ServiceAttempts {
  1: string service_name
  // Got beyond serving::kStarting.
  2: i64 begun
  // Ended at that stage.
  3: i64 ended
  4: optional i64 delivered
  // Ended at a later stage, in the order of the stages.
  5: optional list<i64> ended_later
}

struct TrialEnd {
  1: Subject subject
  2: i64 revision
  3: i16 outcome
}

// Evidence of an ingress process on what may end endpoints.
struct CrashReport {
  1: list<AttemptEnd> ends
  2: list<SubjectProof> proofs
  // 3 and 4 were attempts over all services.
  // Parts of prompts.
  5: list<string> refused
  6: list<ServiceAttempts> attempts
  7: list<string> refused_requests
  // Requests that the process could try.
  8: list<string> asks
  9: list<TrialEnd> trial_ends
  // Ends at later stages than serving::kStarting. Apart from the others, as earlier
  // releases judge all ends by the attempts that ended at that stage.
  10: optional list<AttemptEnd> later_ends
}

struct SuspectSubject {
  1: string id
  2: i32 ends
  3: i16 kind
}

struct CrashVerdict {
  1: string id
  2: i16 state
  3: i32 times
  4: string trial_process
  5: i16 kind
  6: i32 trials
  7: i64 revision
  // The state is serving::VerdictState::kHeld. Earlier releases know only the states before it; for
  // them `state` says that the subject is condemned.
  8: bool held
}

struct CrashVerdicts {
  1: i64 revision
  2: list<CrashVerdict> rows
}

// End of the drain of a failure domain.
struct DrainEnd {
  1: string domain
  2: i64 revision
  3: i32 age_ms
  // In the log only: when the operator called, UTC.
  4: i64 utc_ms
}

// Failure domains whose endpoints get no requests by an operator's command.
struct DrainedDomains {
  1: i64 revision
  2: list<string> domains
  // Drains that ended a short time ago.
  3: list<DrainEnd> ended
}

// Command that begins or finishes the drain of a failure domain.
struct DomainDrain {
  1: string domain
  2: bool drained
  // When the operator called, UTC.
  3: i64 utc_ms
}

// Lease of an endpoint that is cold.
struct WarmupLeaseRow {
  1: string endpoint
  2: i64 started_ms
  // Grants only.
  3: bool granted
}

// Request for leases of cold endpoints, or the reply with the same rows.
struct WarmupLeases {
  1: bool grant
  // Clock of the process that asks; returned in the reply.
  2: i64 asked_at_ns
  // Grants only; counted from when the process asked.
  3: i32 lifetime_ms
  4: list<WarmupLeaseRow> rows
}

struct MeshMessage {
  1: optional MeshMember hello
  2: optional list<MeshMember> members
  3: optional list<InstanceRecord> instances
  4: optional list<InstanceReading> readings
  5: optional ServiceConfigBody service_config
  6: optional list<WeightsTarget> targets
  7: optional list<ModelSource> sources
  8: optional wagtailslip.AgreementMessage agreement
  9: optional JoinLog join
  // Versions that are being agreed on: fetched, and not loaded before they are named.
  10: optional list<WeightsTarget> expected
  11: optional Permits permits
  12: optional list<EndpointLimit> limits
  13: optional Retries retries
  14: optional CrashReport crash_report
  // All suspects of the process that leads.
  15: optional list<SuspectSubject> suspects
  16: optional CrashVerdicts crash_verdicts
  17: optional DrainedDomains drained_domains
  19: optional MemberChanges member_changes
  20: optional InstanceSummary instance_summary
  22: optional InstanceRequest instance_request
  18: optional WarmupLeases warmup_leases
  23: optional TargetsQuery targets_query
}

// An entry of the control log.
struct ControlCommand {
  1: optional ServiceConfigBody service_config
  2: optional WeightsTarget target
  // Blocks of the retry budget that may be in use.
  3: optional i32 retry_blocks
  4: optional CrashVerdict crash_verdict
  5: optional DomainDrain domain_drain
}

struct ControlSnapshot {
  1: optional ServiceConfigBody service_config
  2: list<WeightsTarget> targets
  3: optional i32 retry_blocks
  4: optional CrashVerdicts crash_verdicts
  5: optional DrainedDomains drained_domains
}
