#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/config/record.h"

namespace wagtailslip::config {

/// How a record was applied.
enum class ApplyStatus { kApplied, kUnchanged, kDuplicate, kConflict, kRejected };
inline constexpr EnumTable<ApplyStatus, 5> kApplyStatuses{
    {{{ApplyStatus::kApplied, "applied"},
      {ApplyStatus::kUnchanged, "unchanged"},
      {ApplyStatus::kDuplicate, "same-answer"},
      {ApplyStatus::kConflict, "conflict"},
      {ApplyStatus::kRejected, "rejected"}}}};

/// Answer to a record.
struct ApplyResult {
  ApplyStatus status = ApplyStatus::kApplied;
  /// Status of the first answer where `status` is kRepeated; else equal to `status`.
  ApplyStatus first_status = ApplyStatus::kApplied;
  /// Revision at which the answer was first given.
  Revision revision = 0;
  /// Request id of the command that won where the answer is a conflict.
  std::string conflicting_request_id;
  /// Present revision of the object where the answer is a conflict.
  Revision object_revision = 0;
  /// Machine-readable cause, field at fault and text for people, where rejected.
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

/// First answer to an operator command, kept for resends.
struct CachedResult {
  Digest content;
  ApplyResult result;

  bool operator==(const CachedResult&) const = default;
};

/// What endpoints load.
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
  /// State of charts/rollout.chart.
  std::string state;
  Revision created = 0;
  Revision revision = 0;
  /// Revision of the last change of `state`; fencing tokens of endpoints that may not swap yet.
  Revision state_revision = 0;
  /// Batches opened so far.
  std::uint32_t batches = 0;
  /// Endpoints that failed on the way to the version, and on the way back.
  std::vector<std::string> failed;
  std::vector<std::string> rollback_failed;
  std::string reason;

  bool operator==(const Rollout&) const = default;
};

/// Artifact that an endpoint was allowed to swap to.
struct Assignment {
  Artifact artifact;
  /// Root that the endpoint may still serve until its swap is recorded.
  Digest previous;
  bool swapped = false;
  Revision revision = 0;

  bool operator==(const Assignment&) const = default;
};

/// Version history of one model, or of one adapter of a model.
struct VersionHistory {
  std::string model;
  std::string adapter;
  /// Revision and request id of the last operator command.
  Revision command_revision = 0;
  std::string request_id;
  /// Newest rollout.
  std::string rollout_id;
  std::optional<Artifact> last_good;
  Revision last_good_revision = 0;
  /// Good version before `last_good`; target of a rollback of a complete rollout.
  std::optional<Artifact> previous_good;
  /// Roots that endpoints without an assignment may still serve until the rollout has ended.
  std::vector<Digest> permitted_roots;
  /// Assignments by endpoint id since the last rollout that ended whole.
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
  /// "<request id of the sheet>#<row>"
  std::string id;

  bool operator==(const PendingChange&) const = default;
};

/// A scheduled change that took effect, or was tried.
struct AppliedChange {
  std::string id;
  Digest content;
  UtcTime effective_at{};
  UtcTime applied_at{};
  /// More than kScheduleLateness after its time.
  bool late = false;
  ApplyResult result;

  bool operator==(const AppliedChange&) const = default;
};

struct Sheet {
  Revision command_revision = 0;
  std::string request_id;
  Digest content;
  /// By effect time, then by row.
  std::vector<PendingChange> pending;
  /// Oldest first, bounded.
  std::vector<AppliedChange> applied_changes;
  UtcTime clock{};

  bool operator==(const Sheet&) const = default;
};

/// An endpoint. One that left is kept, within a bound, so that no older incarnation returns.
struct Endpoint {
  EndpointJoined info;
  bool present = true;
  bool draining = false;
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
  /// Order of recording; unique.
  std::uint64_t sequence = 0;
  std::uint32_t attempt = 1;
  /// Runs started under this key that were not reported as not-run; at most 1.
  std::uint32_t runs = 0;
  CallOutcome outcome = CallOutcome::kPending;
  std::uint32_t status = 0;
  std::string content_type;
  /// Empty if the body was larger than the bound or was dropped; then only the digest is known.
  std::string body;
  bool body_kept = false;
  Digest body_digest;

  bool operator==(const Call&) const = default;
};

/// The whole configuration. A plain structure that a codec can write.
struct State {
  Revision revision = 0;
  /// Remembered commands by request id.
  std::map<std::string, CachedResult> commands;
  /// Revision of the newest command that was forgotten.
  Revision evicted_command_revision = 0;
  /// By "model" or "model/adapter".
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
  /// Newest time in an at-most-once record.
  UtcTime call_clock{};
  /// Keys issued up to this time are refused unless they are in `calls`.
  UtcTime expired_keys_until{};
  /// Hashes of forgotten keys that carry no issue time, oldest first, bounded.
  std::vector<std::uint64_t> evicted_key_hashes;

  bool operator==(const State&) const = default;
};

/// Bounds of the state's memory.
struct Limits {
  // 690 changes a day are planned for; 10,000 covers two weeks of resends.
  std::size_t commands = 10'000;
  // A full window takes about 50 MB, and as much again while it is copied for a snapshot.
  std::size_t calls = 50'000;
  Duration call_age = std::chrono::hours(24);
  std::size_t call_body_bytes = 4096;
  // Bodies share this bound; the oldest are dropped first, so that a daemon stays under 128 MB.
  std::size_t call_bodies_total_bytes = std::size_t{16} << 20;
  std::size_t evicted_key_hashes = 200'000;
  std::size_t finished_rollouts = 1000;
  std::size_t absent_endpoints = 4096;
  std::size_t applied_changes = 4096;
};

/// A change that takes effect later than this after its time is reported as late.
inline constexpr Duration kScheduleLateThreshold = std::chrono::seconds(60);

/// Largest lead of a key's issue time over the time of its record.
inline constexpr Duration kKeyClockSkew = std::chrono::minutes(5);

/// Keys of State's maps.
std::string ArtifactKey(const std::string& model, const std::string& adapter);
std::string RuleKey(const std::string& account, const std::string& kind);
std::string CallKey(const std::string& account, const std::string& key);

/// Issue time that an idempotency key carries: a UUID of version 7, or "<Unix milliseconds>-..."
/// with 13 digits. Nothing if the key has another form or the time is not from 2020 to 2099, as
/// with an order number of 13 digits.
std::optional<UtcTime> KeyIssueTime(const std::string& key);

/// Digest of a command's content without its request id.
Digest ContentDigest(const CreateRollout& command);
Digest ContentDigest(const ControlRollout& command);
Digest ContentDigest(const SetRule& command);
Digest ContentDigest(const SubmitSheet& command);
Digest ContentDigest(const DrainEndpoint& command);
/// Digest of a scheduled change: its time and content.
Digest ContentDigest(const ScheduledChange& change);

}  // namespace wagtailslip::config
