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

/// Position of a record in the replicated log; also the revision of the configuration after it.
using Revision = std::uint64_t;

/// What a rollout distributes.
enum class ArtifactKind { kModel, kAdapter };
inline constexpr EnumTable<ArtifactKind, 2> kArtifactKinds{
    {{{ArtifactKind::kModel, "model"}, {ArtifactKind::kAdapter, "adapter"}}}};

/// Which measure the distribution favours.
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

/// How calls of a request kind may be treated.
enum class CallClass { kRepeatable, kLookup, kAtMostOnce, kDurable };
inline constexpr EnumTable<CallClass, 4> kCallClasses{{{{CallClass::kRepeatable, "repeatable"},
                                                        {CallClass::kLookup, "lookup"},
                                                        {CallClass::kAtMostOnce, "at-most-once"},
                                                        {CallClass::kDurable, "durable"}}}};

/// What an endpoint is.
enum class EndpointRole { kEngine, kService };
inline constexpr EnumTable<EndpointRole, 2> kEndpointRoles{
    {{{EndpointRole::kEngine, "engine"}, {EndpointRole::kService, "service"}}}};

/// Identity of an operator command: its id and the revision it was made against.
struct CommandId {
  std::string request_id;
  /// Revision of the named object that the operator saw; 0 for an object that must not exist yet.
  Revision base_revision = 0;
  /// Configuration revision that the operator saw when the command was first sent; 0 if unknown.
  /// A resend keeps it, so that a command older than the request-id memory is recognised.
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
  /// Replicas of the model that must keep serving while a batch swaps.
  std::uint32_t minimum_serving = 1;
  /// Largest number of replicas that swap at the same time.
  std::uint32_t batch_size = 1;
  /// Failed replicas at which the rollout halts and returns to the last good version.
  std::uint32_t failure_limit = 1;

  bool operator==(const CreateRollout&) const = default;
};

/// Operator action on a rollout.
struct ControlRollout {
  CommandId command;
  std::string rollout_id;
  RolloutAction action = RolloutAction::kPause;
};

/// Progress of a rollout decided by the leader.
struct AdvanceRollout {
  std::string rollout_id;
  /// Event of the rollout state chart.
  std::string event;
  /// Endpoints that may swap from now on, that have swapped, or that failed.
  std::vector<std::string> endpoints;
  std::string reason;
  /// Number of the batch that an "open" starts. One that is not the next is stale and refused, so
  /// that two decisions made from the same state do not open two batches.
  std::uint32_t batch = 0;
  /// Whether the event belongs to the way back to the last good version.
  bool rolling_back = false;
};

/// Priority rule for a client account and a request kind. "*" matches any.
struct Rule {
  std::string account = "*";
  std::string kind = "*";
  CallClass call_class = CallClass::kRepeatable;
  /// 0 is served first.
  std::uint32_t priority = 5;
  /// Share of the account in weighted fair queueing.
  double weight = 1.0;
  /// Limit over all entry processes in requests per second; 0 for none.
  double rate_limit = 0;
  /// Time in which an answer is useful; 0 for the caller's own deadline.
  Duration deadline{};

  bool operator==(const Rule&) const = default;
};

struct SetRule {
  CommandId command;
  Rule rule;

  bool operator==(const SetRule&) const = default;
};

/// A change of the planners' sheet that takes effect at a time.
struct ScheduledChange {
  UtcTime effective_at{};
  std::variant<CreateRollout, SetRule> change;

  bool operator==(const ScheduledChange&) const = default;
};

/// Replaces all scheduled changes that have not yet taken effect.
struct SubmitSheet {
  CommandId command;
  std::vector<ScheduledChange> changes;
  /// Digest of the sheet's content; the same sheet again changes nothing.
  Digest content;
};

/// Makes scheduled changes take effect up to a time. Proposed by the leader.
struct ApplySchedule {
  UtcTime now{};
};

/// An endpoint that announced itself.
struct EndpointJoined {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  EndpointRole role = EndpointRole::kEngine;
  /// Address "ip:port" of the engine or service.
  std::string address;
  /// Address "ip:port" of the agent, where peers fetch chunks.
  std::string agent_address;
  std::string model;
  std::string region;
  std::string failure_domain;
  bool obeys_fencing = false;
  bool checks_sender = false;

  bool operator==(const EndpointJoined&) const = default;
};

struct EndpointLeft {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  std::string reason;
};

struct DrainEndpoint {
  CommandId command;
  std::string endpoint_id;
  /// False ends a drain.
  bool drain = true;
};

/// Recorded before the first byte of an at-most-once call goes to an endpoint.
struct IntentRecorded {
  std::string account;
  std::string key;
  Digest request;
  /// Entry process that runs the call, with its incarnation.
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  UtcTime at{};
  /// 1 for a new key; one more than the last attempt for a key whose last attempt was not run. A
  /// record that is committed twice must not start a second run.
  std::uint32_t attempt = 1;
};

/// How an at-most-once call ended.
enum class CallOutcome { kPending, kComplete, kNotRun, kUnknown };
inline constexpr EnumTable<CallOutcome, 4> kCallOutcomes{{{{CallOutcome::kPending, "pending"},
                                                           {CallOutcome::kComplete, "complete"},
                                                           {CallOutcome::kNotRun, "not-run"},
                                                           {CallOutcome::kUnknown, "unknown"}}}};

struct OutcomeRecorded {
  std::string account;
  std::string key;
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  CallOutcome outcome = CallOutcome::kUnknown;
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  /// Attempt of the intent that ended; a late copy must not end a later attempt.
  std::uint32_t attempt = 1;
};

/// An entry process that started or ended; intents of an older incarnation become unknown.
struct ProcessStarted {
  std::string process;
  std::uint64_t incarnation = 0;
  /// Address "ip:port" for callers.
  std::string http_address;
  /// Address "ip:port" for frames from other processes.
  std::string peer_address;
  std::string region;
  std::string failure_domain;

  bool operator==(const ProcessStarted&) const = default;
};

struct ProcessLeft {
  std::string process;
  std::uint64_t incarnation = 0;
};

/// Commits nothing; a new leader appends it to learn its commit position.
struct NoOp {};

using Record = std::variant<NoOp, CreateRollout, ControlRollout, AdvanceRollout, SetRule,
                            SubmitSheet, ApplySchedule, EndpointJoined, EndpointLeft, DrainEndpoint,
                            IntentRecorded, OutcomeRecorded, ProcessStarted, ProcessLeft>;

}  // namespace wagtailslip::config
