// Messages between wagtailslip processes and records of the replicated log.
// Regenerate with tools/generate-thrift; the generated code is committed.
namespace cpp wagtailslip.wire

struct CommandId {
  1: string request_id
  2: i64 base_revision
  3: string operator_name
  4: i64 seen_revision
}

struct CreateRollout {
  1: CommandId command
  2: string model
  3: string version
  4: i16 kind
  5: string origin
  6: binary root
  7: i16 policy
  8: i32 minimum_serving
  9: i32 batch_size
  10: i32 failure_limit
  11: string adapter
  12: string base_version
}

struct ControlRollout {
  1: CommandId command
  2: string rollout_id
  3: i16 action
}

struct AdvanceRollout {
  1: string rollout_id
  2: string event
  3: list<string> endpoints
  4: string reason
  5: i32 batch
  6: bool returning
}

struct Rule {
  1: string account
  2: string kind
  3: i16 call_class
  4: i32 priority
  5: double weight
  6: double rate_limit
  7: i64 deadline_ns
}

struct SetRule {
  1: CommandId command
  2: Rule rule
}

union ScheduledBody {
  1: CreateRollout create_rollout
  2: SetRule set_rule
}

struct ScheduledChange {
  1: i64 effective_at_ns
  2: ScheduledBody change
}

struct SubmitSheet {
  1: CommandId command
  2: list<ScheduledChange> changes
  3: binary content
}

struct ApplySchedule {
  1: i64 now_ns
}

struct EndpointJoined {
  1: string endpoint_id
  2: i64 incarnation
  3: i16 role
  4: string address
  5: string agent_address
  6: string model
  7: string region
  8: string failure_domain
  9: bool obeys_fencing
  10: bool checks_sender
}

struct EndpointLeft {
  1: string endpoint_id
  2: i64 incarnation
  3: string reason
}

struct DrainEndpoint {
  1: CommandId command
  2: string endpoint_id
  3: bool drain
}

struct IntentRecorded {
  1: string account
  2: string key
  3: binary request
  4: string owner
  5: i64 owner_incarnation
  6: i64 at_ns
  7: i32 attempt
}

struct OutcomeRecorded {
  1: string account
  2: string key
  3: string owner
  4: i64 owner_incarnation
  5: i16 outcome
  6: i32 status
  7: string content_type
  8: binary body
  9: i32 attempt
}

struct ProcessStarted {
  1: string process
  2: i64 incarnation
  3: string http_address
  4: string region
  5: string failure_domain
  6: string peer_address
}

struct ProcessLeft {
  1: string process
  2: i64 incarnation
}

struct NoOp {
}

union Record {
  1: NoOp no_op
  2: CreateRollout create_rollout
  3: ControlRollout control_rollout
  4: AdvanceRollout advance_rollout
  5: SetRule set_rule
  6: SubmitSheet submit_sheet
  7: ApplySchedule apply_schedule
  8: EndpointJoined endpoint_joined
  9: EndpointLeft endpoint_left
  10: DrainEndpoint drain_endpoint
  11: IntentRecorded intent_recorded
  12: OutcomeRecorded outcome_recorded
  13: ProcessStarted process_started
  14: ProcessLeft process_left
}

// The whole configuration, as a snapshot of the replicated log carries it.
struct ApplyResult {
  1: i16 status
  2: i16 first_status
  3: i64 revision
  4: string winner
  5: i64 object_revision
  6: string code
  7: string field
  8: string message
  9: string object
}

struct RememberedCommand {
  1: binary content
  2: ApplyResult answer
}

struct Artifact {
  1: string version
  2: string base_version
  3: binary root
  4: string origin
  5: i16 policy
  6: string rollout_id
}

struct Rollout {
  1: string id
  2: CreateRollout spec
  3: string state
  4: i64 created
  5: i64 revision
  6: list<string> failed
  7: list<string> return_failed
  8: string reason
  9: i64 turned
  10: i32 batches
}

struct Assignment {
  1: Artifact artifact
  2: binary previous
  3: bool done
  4: i64 revision
}

struct Line {
  1: string model
  2: string adapter
  3: i64 command_revision
  4: string request_id
  5: string rollout_id
  6: optional Artifact last_good
  7: i64 last_good_revision
  8: optional Artifact previous_good
  9: list<binary> tolerated
  10: map<string, Assignment> assigned
}

struct RuleEntry {
  1: SetRule rule
  2: i64 command_revision
  3: string request_id
}

struct PendingChange {
  1: ScheduledChange change
  2: string id
}

struct EffectedChange {
  1: string id
  2: binary content
  3: i64 effective_at_ns
  4: i64 applied_at_ns
  5: bool late
  6: ApplyResult result
}

struct Sheet {
  1: i64 command_revision
  2: string request_id
  3: binary content
  4: list<PendingChange> pending
  5: list<EffectedChange> effected
  6: i64 clock_ns
}

struct Endpoint {
  1: EndpointJoined info
  2: bool present
  3: bool draining
  4: i64 joined
  5: i64 left
  6: string left_reason
  7: i64 command_revision
  8: string request_id
}

struct Process {
  1: ProcessStarted info
  2: bool present
  3: i64 revision
}

struct Call {
  1: string account
  2: string key
  3: binary request
  4: string owner
  5: i64 owner_incarnation
  6: i64 at_ns
  7: i64 sequence
  8: i32 runs
  9: i16 outcome
  10: i32 status
  11: string content_type
  12: binary body
  13: bool body_kept
  14: binary body_digest
  15: i32 attempt
}

struct State {
  1: i64 revision
  2: map<string, RememberedCommand> commands
  3: i64 forgotten
  4: map<string, Line> lines
  5: map<string, Rollout> rollouts
  6: map<string, RuleEntry> rules
  7: Sheet sheet
  8: map<string, Endpoint> endpoints
  9: map<string, Process> processes
  10: map<string, Call> calls
  11: i64 next_sequence
  12: i64 call_clock_ns
  13: i64 call_floor_ns
  14: list<i64> retired_keys
}

struct ReplicaId {
  1: string process
  2: i64 incarnation
}

struct AgreementEntry {
  1: i64 index
  2: i64 term
  3: i16 kind
  4: binary data
}

struct MemberEntry {
  1: ReplicaId id
  2: i16 role
}

struct VoteRequest {
  1: bool pre_vote
  2: i64 last_index
  3: i64 last_term
  4: bool after_restart
}

struct VoteReply {
  1: bool pre_vote
  2: bool granted
}

struct AppendRequest {
  1: i64 prev_index
  2: i64 prev_term
  3: list<AgreementEntry> entries
  4: i64 commit
  5: i64 sent_at_ns
}

struct AppendReply {
  1: bool success
  2: i64 match
  3: i64 prev_index
  4: i64 hint_index
  5: i64 hint_term
  6: i64 sent_at_ns
}

struct SnapshotPart {
  1: i64 index
  2: i64 index_term
  3: list<MemberEntry> membership
  4: i64 offset
  5: i64 total
  6: binary data
  7: i64 sent_at_ns
}

struct SnapshotReply {
  1: i64 index
  2: i64 next_offset
  3: i64 sent_at_ns
}

union AgreementBody {
  1: VoteRequest vote_request
  2: VoteReply vote_reply
  3: AppendRequest append_request
  4: AppendReply append_reply
  5: SnapshotPart snapshot_part
  6: SnapshotReply snapshot_reply
}

struct AgreementMessage {
  1: ReplicaId sender
  2: ReplicaId receiver
  3: i64 term
  4: AgreementBody body
}

// A proposal that an entry process forwards to the leader.
struct ProposeRequest {
  1: i64 proposal
  2: binary record
}

struct ProposeReply {
  1: i64 proposal
  2: ApplyResult result
}

// Progress of one endpoint with one model or adapter, as its agent reports it.
struct LineReport {
  1: string model
  2: string adapter
  3: i16 replica_state
  4: binary target_root
  5: i32 chunks_present
  6: i32 chunks_total
  7: binary served_root
  8: string error
  9: i64 token_term
  10: i64 token_revision
}

// State of one endpoint as its agent reports it.
struct EndpointReport {
  1: string endpoint_id
  2: i64 incarnation
  3: i64 report_number
  4: i32 running
  5: i32 waiting
  6: i32 slots
  7: bool healthy
  8: list<LineReport> lines
}

struct AgentHeartbeat {
  1: EndpointJoined endpoint
  2: EndpointReport report
  3: bool leaving
  4: i64 members_revision
}

// Command of the leader to one endpoint about one model or adapter.
struct EndpointOrder {
  1: string endpoint_id
  2: i64 incarnation
  3: i64 token_term
  4: i64 token_revision
  5: string model
  6: string adapter
  7: i16 kind
  8: string version
  9: string base_version
  10: string origin
  11: binary root
  12: i16 policy
  13: string rollout_id
}

struct Member {
  1: string endpoint_id
  2: string agent_address
  3: string region
  4: string failure_domain
}

// Answer of the home entry process to a heartbeat.
struct HomeReply {
  1: list<EndpointOrder> orders
  // The member list is present only when the agent's revision of it is older.
  2: i64 members_revision
  3: list<Member> members
  4: list<string> entries
}

struct OrderBatch {
  1: i64 term
  2: list<EndpointOrder> orders
}

// Relay of endpoint reports between entry processes.
struct LoadBatch {
  1: list<EndpointReport> reports
}

// A process without a part in the log asks the leader to add it as a learner or standby.
struct JoinRequest {
  1: ReplicaId id
  2: bool has_disk
}

// Shares of a limit between entry processes; a report lends and a grant answers it.
struct LimitRow {
  1: string account
  2: string kind
  3: double demand
  4: double lent
  5: double rate
  6: bool wanted
}

struct LocalStamp {
  1: i64 incarnation
  2: i64 nanoseconds
}

struct LimitMessage {
  1: bool grant
  2: string sender
  3: string receiver
  4: LocalStamp stamp
  5: LocalStamp echo
  6: list<LimitRow> rows
}

union PeerMessage {
  1: AgreementMessage agreement
  2: ProposeRequest propose_request
  3: ProposeReply propose_reply
  4: AgentHeartbeat agent_heartbeat
  5: HomeReply home_reply
  6: OrderBatch order_batch
  7: LoadBatch load_batch
  8: JoinRequest join_request
  9: LimitMessage limits
}

// Every frame between processes. sent_at_ns is the sender's monotonic clock; echo_ns returns the
// newest sent_at_ns that the sender received from the addressee, which bounds the addressee's lease.
struct Frame {
  1: i16 protocol
  2: string sender
  3: i64 incarnation
  4: string sender_address
  5: i64 sent_at_ns
  6: i64 echo_ns
  7: i64 applied_revision
  8: PeerMessage body
  9: i64 in_force_revision
}
