#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/error.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::config {

/// Index of a record in the replicated log, and the revision of the configuration once that record
/// has been applied.
using Revision = std::uint64_t;

/// What a rollout distributes.
enum class ArtifactKind { kModel, kAdapter };
inline constexpr EnumTable<ArtifactKind, 2> kArtifactKinds{
    {{{ArtifactKind::kModel, "model"}, {ArtifactKind::kAdapter, "adapter"}}}};

/// What the distribution of chunks optimises: the total time or the bytes sent by the origin.
enum class SpreadPolicy { kTimeFirst, kOriginBytesFirst };
inline constexpr EnumTable<SpreadPolicy, 2> kSpreadPolicies{
    {{{SpreadPolicy::kTimeFirst, "time-first"},
      {SpreadPolicy::kOriginBytesFirst, "origin-bytes-first"}}}};

/// Operator actions on an existing rollout.
enum class RolloutAction { kPause, kResume, kCancel, kRollBack };
inline constexpr EnumTable<RolloutAction, 4> kRolloutActions{
    {{{RolloutAction::kPause, "pause"},
      {RolloutAction::kResume, "resume"},
      {RolloutAction::kCancel, "cancel"},
      {RolloutAction::kRollBack, "rollback"}}}};

/// Retry class of a request kind. Calls that are kAtMostOnce are not sent again once an endpoint
/// may have run them; the other classes may be. kLookup calls are also served without a lease.
enum class CallClass { kRepeatable, kLookup, kAtMostOnce, kDurable };
inline constexpr EnumTable<CallClass, 4> kCallClasses{{{{CallClass::kRepeatable, "repeatable"},
                                                        {CallClass::kLookup, "lookup"},
                                                        {CallClass::kAtMostOnce, "at-most-once"},
                                                        {CallClass::kDurable, "durable"}}}};

/// Whether an endpoint is an inference engine or another service.
enum class EndpointRole { kEngine, kService };
inline constexpr EnumTable<EndpointRole, 2> kEndpointRoles{
    {{{EndpointRole::kEngine, "engine"}, {EndpointRole::kService, "service"}}}};

/// Request id of an operator command and the revisions that it is based on.
struct CommandId {
  std::string request_id;
  /// Revision of the named object that the operator saw; 0 for an object that must not exist yet.
  Revision base_revision = 0;
  /// Configuration revision that the operator saw when the command was first sent; 0 if unknown.
  /// A retry keeps it, so that a command older than the cached results is recognised.
  Revision seen_revision = 0;
  /// Name of the operator, for the audit trail.
  std::string operator_name;

  bool operator==(const CommandId&) const = default;
};

/// Starts the distribution of a version to all endpoints that serve a model.
struct CreateRollout {
  CommandId command;
  std::string model;
  std::string version;
  ArtifactKind kind = ArtifactKind::kModel;
  /// Name of the adapter and the version of the model that it needs; empty for a model.
  std::string adapter;
  std::string base_version;
  /// Address "ip:port" of the origin that has the manifest and the chunks.
  std::string origin;
  /// Root digest of the manifest.
  Digest root;
  SpreadPolicy policy = SpreadPolicy::kTimeFirst;
  /// Minimum number of replicas that keep serving the model while a batch swaps.
  std::uint32_t minimum_serving = 1;
  /// Maximum number of replicas that swap at the same time.
  std::uint32_t batch_size = 1;
  /// Number of failed replicas at which the rollout halts and rolls back to the last good version.
  std::uint32_t failure_limit = 1;

  bool operator==(const CreateRollout&) const = default;
};

/// Operator action on a rollout.
struct ControlRollout {
  CommandId command;
  std::string rollout_id;
  RolloutAction action = RolloutAction::kPause;
};

/// Progress of a rollout, as decided by the leader.
struct AdvanceRollout {
  std::string rollout_id;
  /// Event name in charts/rollout.chart.
  std::string event;
  /// Endpoints that the event refers to: those that may swap from now on ("open"), that have
  /// swapped ("swapped") or that failed ("fail").
  std::vector<std::string> endpoints;
  std::string reason;
  /// Number of the batch that "open" starts. Any number other than the next one is rejected as
  /// stale, so that two decisions based on the same state do not open two batches.
  std::uint32_t batch = 0;
  /// Whether the event belongs to a rollback to the last good version.
  bool rolling_back = false;
};

/// Scheduling and retry rule for a client account and a request kind; "*" matches any value.
struct Rule {
  std::string account = "*";
  std::string kind = "*";
  CallClass call_class = CallClass::kRepeatable;
  /// 0 (served first) to 9.
  std::uint32_t priority = 5;
  /// Weight of the account in weighted fair queueing.
  double weight = 1.0;
  /// Limit in requests per second across all entry processes; 0 means no limit.
  double rate_limit = 0;
  /// Time after which an answer is of no use; 0 applies the caller's own deadline.
  Duration deadline{};

  bool operator==(const Rule&) const = default;
};

/// Creates or replaces a rule.
struct SetRule {
  CommandId command;
  Rule rule;

  bool operator==(const SetRule&) const = default;
};

/// A change from the planners' sheet and the time at which it takes effect.
struct ScheduledChange {
  UtcTime effective_at{};
  std::variant<CreateRollout, SetRule> change;

  bool operator==(const ScheduledChange&) const = default;
};

/// Replaces all scheduled changes that have not yet taken effect.
struct SubmitSheet {
  CommandId command;
  std::vector<ScheduledChange> changes;
  /// Digest of the sheet's content; submitting the same sheet again changes nothing.
  Digest content;
};

/// Applies the scheduled changes that are due at `now`. Proposed by the leader.
struct ApplySchedule {
  UtcTime now{};
};

/// An endpoint announced itself.
struct EndpointJoined {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  EndpointRole role = EndpointRole::kEngine;
  /// Address "ip:port" of the engine or service.
  std::string address;
  /// Address "ip:port" of the agent from which peers fetch chunks.
  std::string agent_address;
  std::string model;
  std::string region;
  std::string failure_domain;
  /// Whether the engine refuses orders with a stale fencing token.
  bool obeys_fencing = false;
  /// Whether the endpoint checks who sends an order.
  bool checks_sender = false;

  bool operator==(const EndpointJoined&) const = default;
};

/// An endpoint left or was removed.
struct EndpointLeft {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  std::string reason;
};

/// Starts or ends the draining of an endpoint.
struct DrainEndpoint {
  CommandId command;
  std::string endpoint_id;
  /// False ends a drain.
  bool drain = true;
};

/// Committed before the first byte of an at-most-once call is sent to an endpoint.
struct IntentRecorded {
  std::string account;
  std::string key;
  Digest request;
  /// Entry process that executes the call, and its incarnation.
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  UtcTime at{};
  /// 1 for a new key; the last attempt plus 1 if that attempt was not run. The number keeps a
  /// record that is committed twice from starting a second execution.
  std::uint32_t attempt = 1;
};

/// How an at-most-once call ended.
enum class CallOutcome { kPending, kComplete, kNotRun, kUnknown };
inline constexpr EnumTable<CallOutcome, 4> kCallOutcomes{{{{CallOutcome::kPending, "pending"},
                                                           {CallOutcome::kComplete, "complete"},
                                                           {CallOutcome::kNotRun, "not-run"},
                                                           {CallOutcome::kUnknown, "unknown"}}}};

/// The outcome and the answer of an at-most-once call.
struct OutcomeRecorded {
  std::string account;
  std::string key;
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  CallOutcome outcome = CallOutcome::kUnknown;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  /// Attempt that ended. A delayed duplicate must not end a later attempt.
  std::uint32_t attempt = 1;
};

/// An entry process started. Pending calls of its earlier incarnation become unknown.
struct ProcessStarted {
  std::string process;
  std::uint64_t incarnation = 0;
  /// Address "ip:port" for callers.
  std::string http_address;
  /// Address "ip:port" for messages from other processes.
  std::string peer_address;
  std::string region;
  std::string failure_domain;

  bool operator==(const ProcessStarted&) const = default;
};

/// An entry process ended. Its pending calls become unknown.
struct ProcessLeft {
  std::string process;
  std::uint64_t incarnation = 0;
};

/// Changes nothing. A new leader appends it to find out its commit index.
struct NoOp {};

using Record = std::variant<NoOp, CreateRollout, ControlRollout, AdvanceRollout, SetRule,
                            SubmitSheet, ApplySchedule, EndpointJoined, EndpointLeft, DrainEndpoint,
                            IntentRecorded, OutcomeRecorded, ProcessStarted, ProcessLeft>;

}  // namespace wagtailslip::config
