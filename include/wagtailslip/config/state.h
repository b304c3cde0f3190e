#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/config/record.h"

namespace wagtailslip::config {

/// Outcome of applying a record. kDuplicate: the same command or intent was applied before.
enum class ApplyStatus { kApplied, kUnchanged, kDuplicate, kConflict, kRejected };
inline constexpr EnumTable<ApplyStatus, 5> kApplyStatuses{
    {{{ApplyStatus::kApplied, "applied"},
      {ApplyStatus::kUnchanged, "unchanged"},
      {ApplyStatus::kDuplicate, "same-answer"},
      {ApplyStatus::kConflict, "conflict"},
      {ApplyStatus::kRejected, "rejected"}}}};

/// Result of applying a record.
struct ApplyResult {
  ApplyStatus status = ApplyStatus::kApplied;
  /// Status of the first result if `status` is kDuplicate; otherwise equal to `status`.
  ApplyStatus first_status = ApplyStatus::kApplied;
  /// Revision at which this result was first returned.
  Revision revision = 0;
  /// On a conflict, the request id of the command that last changed the object.
  std::string conflicting_request_id;
  /// On a conflict, the current revision of the object.
  Revision object_revision = 0;
  /// On a rejection or conflict: machine-readable cause, offending field and human-readable
  /// message.
  std::string code;
  std::string field;
  std::string message;
  /// Id of the object, such as a rollout id.
  std::string object;

  bool ok() const {
    return first_status == ApplyStatus::kApplied || first_status == ApplyStatus::kUnchanged;
  }

  bool operator==(const ApplyResult&) const = default;
};

/// Result of an operator command, kept so that a retry gets the same result.
struct CachedResult {
  Digest content;
  ApplyResult result;

  bool operator==(const CachedResult&) const = default;
};

/// One version of a model or adapter, as endpoints load it.
struct Artifact {
  std::string version;
  std::string base_version;
  Digest root;
  std::string origin;
  SpreadPolicy policy = SpreadPolicy::kTimeFirst;
  /// Rollout that distributed it.
  std::string rollout_id;

  bool operator==(const Artifact&) const = default;
};

struct Rollout {
  std::string id;
  CreateRollout spec;
  /// Name of a state in charts/rollout.chart.
  std::string state;
  /// Revisions of the creation and of the last event.
  Revision created = 0;
  Revision revision = 0;
  /// Revision of the last change of `state`; used in the fencing tokens of endpoints that may not
  /// swap yet.
  Revision state_revision = 0;
  /// Batches opened so far.
  std::uint32_t batches = 0;
  /// Endpoints that failed to swap to the new version, and those that failed during a rollback.
  std::vector<std::string> failed;
  std::vector<std::string> rollback_failed;
  std::string reason;

  bool operator==(const Rollout&) const = default;
};

/// Artifact that an endpoint may swap to.
struct Assignment {
  Artifact artifact;
  /// Root digest of the version that the endpoint may serve until its swap is recorded.
  Digest previous;
  /// Whether the swap is recorded.
  bool swapped = false;
  Revision revision = 0;

  bool operator==(const Assignment&) const = default;
};

/// Versions, newest rollout and assignments of one model or of one adapter of a model.
struct VersionHistory {
  std::string model;
  std::string adapter;
  /// Revision and request id of the last operator command.
  Revision command_revision = 0;
  std::string request_id;
  /// Id of the newest rollout.
  std::string rollout_id;
  std::optional<Artifact> last_good;
  Revision last_good_revision = 0;
  /// Good version before `last_good`; a rollback of a completed rollout restores it.
  std::optional<Artifact> previous_good;
  /// Root digests, besides that of `last_good`, that endpoints without an assignment may serve
  /// until the rollout has ended.
  std::vector<Digest> permitted_roots;
  /// Assignments by endpoint id, made since the last rollout that was completed, rolled back or
  /// cancelled.
  std::map<std::string, Assignment> assignments;

  bool operator==(const VersionHistory&) const = default;
};

struct RuleEntry {
  Rule rule;
  Revision command_revision = 0;
  std::string request_id;

  bool operator==(const RuleEntry&) const = default;
};

struct PendingChange {
  ScheduledChange change;
  /// "<request id of the sheet>#<row>", with rows counted from 1.
  std::string id;

  bool operator==(const PendingChange&) const = default;
};

/// A scheduled change that was applied; `result` says whether it was accepted.
struct AppliedChange {
  std::string id;
  Digest content;
  UtcTime effective_at{};
  UtcTime applied_at{};
  /// Applied more than kScheduleLateThreshold after `effective_at`.
  bool late = false;
  ApplyResult result;

  bool operator==(const AppliedChange&) const = default;
};

struct Sheet {
  Revision command_revision = 0;
  std::string request_id;
  Digest content;
  /// Sorted by effective time, then by row.
  std::vector<PendingChange> pending;
  /// Oldest first; at most Limits::applied_changes.
  std::vector<AppliedChange> applied_changes;
  /// Latest time of an ApplySchedule record.
  UtcTime clock{};

  bool operator==(const Sheet&) const = default;
};

/// An endpoint. Up to Limits::absent_endpoints that left are kept, so that an older incarnation is
/// rejected if it announces itself again.
struct Endpoint {
  EndpointJoined info;
  bool present = true;
  bool draining = false;
  /// Revisions at which the endpoint last joined and left.
  Revision joined = 0;
  Revision left = 0;
  std::string left_reason;
  Revision command_revision = 0;
  std::string request_id;

  bool operator==(const Endpoint&) const = default;
};

struct Process {
  ProcessStarted info;
  bool present = true;
  Revision revision = 0;

  bool operator==(const Process&) const = default;
};

/// An at-most-once call.
struct Call {
  std::string account;
  std::string key;
  Digest request;
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  UtcTime at{};
  /// Unique; increases in the order in which keys were recorded.
  std::uint64_t sequence = 0;
  std::uint32_t attempt = 1;
  /// Executions started under this key and not reported as not-run; at most 1.
  std::uint32_t runs = 0;
  CallOutcome outcome = CallOutcome::kPending;
  std::uint32_t status = 0;
  std::string content_type;
  /// Empty if the body exceeded Limits::call_body_bytes or was evicted; then only its digest is
  /// known.
  std::string body;
  bool body_kept = false;
  Digest body_digest;

  bool operator==(const Call&) const = default;
};

/// The complete replicated state, as plain data that a codec can serialise.
struct State {
  Revision revision = 0;
  /// Results of operator commands by request id.
  std::map<std::string, CachedResult> commands;
  /// Revision of the newest command whose result was evicted.
  Revision evicted_command_revision = 0;
  /// By ArtifactKey().
  std::map<std::string, VersionHistory> version_histories;
  std::map<std::string, Rollout> rollouts;
  /// By RuleKey().
  std::map<std::string, RuleEntry> rules;
  Sheet sheet;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::string, Process> processes;
  /// By CallKey().
  std::map<std::string, Call> calls;
  std::uint64_t next_sequence = 1;
  /// Latest time in an intent of an at-most-once call; the age of calls is measured against it.
  UtcTime call_clock{};
  /// Keys issued at or before this time are rejected as expired unless they are in `calls`.
  UtcTime expired_keys_until{};
  /// Hashes of evicted keys that carry no issue time. Oldest first, bounded.
  std::vector<std::uint64_t> evicted_key_hashes;

  bool operator==(const State&) const = default;
};

/// Limits on the size of the state.
struct Limits {
  /// Operator commands whose results are kept. At the planned 690 changes a day, 10,000 covers
  /// retries for two weeks.
  std::size_t commands = 10'000;
  /// At-most-once calls. 50,000 take about 50 MB, and as much again while they are copied for a
  /// snapshot.
  std::size_t calls = 50'000;
  /// Calls older than this are evicted.
  Duration call_age = std::chrono::hours(24);
  /// A larger body is not kept.
  std::size_t call_body_bytes = 4096;
  /// Total size of the bodies kept; the oldest are evicted first. Keeps a process under 128 MB.
  std::size_t call_bodies_total_bytes = std::size_t{16} << 20;
  /// Hashes of evicted keys without an issue time that are kept when the oldest are erased.
  std::size_t evicted_key_hashes = 200'000;
  /// Rollouts kept; the newest of each version history is kept in any case.
  std::size_t finished_rollouts = 1000;
  /// Endpoints kept after they left.
  std::size_t absent_endpoints = 4096;
  /// Scheduled changes kept after they were applied.
  std::size_t applied_changes = 4096;
};

/// A scheduled change that is applied later than this after its time is reported as late.
inline constexpr Duration kScheduleLateThreshold = std::chrono::seconds(60);

/// How far a key's issue time may lie ahead of the time of its record.
inline constexpr Duration kKeyClockSkew = std::chrono::minutes(5);

/// Key of State::version_histories: "model" or "model/adapter".
std::string ArtifactKey(const std::string& model, const std::string& adapter);
/// Key of State::rules.
std::string RuleKey(const std::string& account, const std::string& kind);
/// Key of State::calls.
std::string CallKey(const std::string& account, const std::string& key);

/// Returns the issue time that an idempotency key carries. Such a key is a version 7 UUID or starts
/// with a Unix time in milliseconds: 13 digits and "-". Returns nothing if the key has another form
/// or the time lies outside the years 2020 to 2099, as with an order number of 13 digits.
std::optional<UtcTime> KeyIssueTime(const std::string& key);

/// Digest of a command's content, without its request id and seen_revision.
Digest ContentDigest(const CreateRollout& command);
Digest ContentDigest(const ControlRollout& command);
Digest ContentDigest(const SetRule& command);
Digest ContentDigest(const SubmitSheet& command);
Digest ContentDigest(const DrainEndpoint& command);
/// Digest of the time and the content of a scheduled change.
Digest ContentDigest(const ScheduledChange& change);

}  // namespace wagtailslip::config
