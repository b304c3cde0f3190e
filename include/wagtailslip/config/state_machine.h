#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "wagtailslip/config/state.h"

namespace wagtailslip::config {

/// Applies committed records in log order. Deterministic: all processes that apply the same records
/// reach the same state and return the same results.
class StateMachine {
 public:
  explicit StateMachine(Limits limits = {});

  /// Applies one record.
  /// @param index log index of the record; must be greater than that of the previous record
  /// @throws InvariantViolation if the index does not increase or the state is inconsistent
  ApplyResult Apply(const Record& record, Revision index);

  const State& state() const { return state_; }
  Revision revision() const { return state_.revision; }

  /// Copies the complete state, for a snapshot.
  State CopyState() const { return state_; }
  /// Replaces the complete state by that of a snapshot.
  /// @throws InvariantViolation if the snapshot is inconsistent
  void Restore(State state);

  /// Returns the most specific rule: for the account and kind, then the account, then the kind,
  /// then "*" for both. If none matches, returns a rule with default values.
  const Rule& FindRule(const std::string& account, const std::string& kind) const;
  /// Lookups; each returns null if there is no such object.
  const VersionHistory* FindVersionHistory(const std::string& model,
                                           const std::string& adapter = {}) const;
  const Rollout* FindRollout(const std::string& id) const;
  const Call* FindCall(const std::string& account, const std::string& key) const;
  const Endpoint* FindEndpoint(const std::string& id) const;

  /// Returns the time of the next scheduled change, if any. The leader proposes ApplySchedule once
  /// that time is reached.
  std::optional<UtcTime> NextScheduledTime() const;

  /// Checks all invariants of the state.
  /// @throws InvariantViolation
  void CheckInvariants() const;

 private:
  using Calls = std::map<std::string, Call>;

  /// Each overload applies one type of record.
  ApplyResult On(const NoOp& record);
  ApplyResult On(const CreateRollout& record);
  ApplyResult On(const ControlRollout& record);
  ApplyResult On(const AdvanceRollout& record);
  ApplyResult On(const SetRule& record);
  ApplyResult On(const SubmitSheet& record);
  ApplyResult On(const ApplySchedule& record);
  ApplyResult On(const EndpointJoined& record);
  ApplyResult On(const EndpointLeft& record);
  ApplyResult On(const DrainEndpoint& record);
  ApplyResult On(const IntentRecorded& record);
  ApplyResult On(const OutcomeRecorded& record);
  ApplyResult On(const ProcessStarted& record);
  ApplyResult On(const ProcessLeft& record);

  /// Returns the cached result of a command with a known request id; otherwise runs the command and
  /// caches its result.
  template <typename Command>
  ApplyResult RunDeduplicated(const Command& command);
  /// Run a command that is not a duplicate. Scheduled changes run with `check_base` false, since
  /// they carry no base revision.
  ApplyResult Run(const CreateRollout& command, bool check_base);
  ApplyResult Run(const ControlRollout& command);
  ApplyResult Run(const SetRule& command, bool check_base);
  ApplyResult Run(const SubmitSheet& command);
  ApplyResult Run(const DrainEndpoint& command);
  void EvictCommands();

  /// Build the result of the record at the current revision.
  ApplyResult Applied(std::string object = {}) const;
  ApplyResult Unchanged(std::string object = {}) const;
  ApplyResult Rejected(std::string code, std::string field, std::string message) const;
  ApplyResult Conflict(const std::string& object, const std::string& conflicting_request_id,
                       Revision revision) const;

  /// Fires an event of the rollout's state chart and updates the version history to match the new
  /// state.
  ApplyResult FireRollout(Rollout& rollout, const std::string& event, const std::string& reason);
  void CompleteRollout(Rollout& rollout, VersionHistory& history);
  /// Ends the service and the rollouts of adapters that need another version of the model.
  void ClearIncompatibleAdapters(const VersionHistory& model_history);
  /// Starts the next batch: assigns the target version to the endpoints.
  void OpenBatch(Rollout& rollout, VersionHistory& history,
                 const std::vector<std::string>& endpoints);
  void EvictRollouts();

  void ApplyChange(const PendingChange& pending, UtcTime now);

  void EvictEndpoints();
  /// Evicts calls that are too old and then, if the window is still full, one that is not pending.
  void EvictCalls();
  void EvictCall(std::uint64_t sequence);
  /// Evicts the oldest bodies until the total is within the limit.
  void EvictBodies();
  /// Sets the outcome of all pending calls of an entry process to kUnknown.
  void MarkCallsUnknown(const std::string& process);
  void IndexCall(Calls::iterator call);
  void RemovePending(const Call& call);
  /// Whether a key that is not in State::calls was evicted, or may have been.
  bool IsKeyExpired(const std::string& map_key, const std::optional<UtcTime>& issued) const;

  Limits limits_;
  State state_;
  // Indexes derived from state_; Restore() rebuilds them.
  /// Request ids of cached commands by revision.
  std::map<Revision, std::string> command_order_;
  /// Calls by sequence.
  std::map<std::uint64_t, Calls::iterator> call_order_;
  /// Total size of the bodies kept.
  std::size_t body_bytes_ = 0;
  /// No call with a smaller sequence has a body; EvictBodies() starts here.
  std::uint64_t body_cursor_ = 0;
  /// Sequences of pending calls by owning process.
  std::map<std::string, std::set<std::uint64_t>> pending_by_owner_;
  /// Occurrences of each hash in State::evicted_key_hashes.
  std::unordered_map<std::uint64_t, std::uint32_t> evicted_key_counts_;
  /// Rollouts created by the current record; makes their ids unique.
  int rollouts_created_ = 0;
};

/// Whether a rollout is neither complete nor in a final state. Paused rollouts and those that roll
/// back are active.
bool IsActive(const Rollout& rollout);
/// Whether the endpoints of a rollout are being rolled back to the last good version.
bool IsRollingBack(const Rollout& rollout);
/// The artifact that a rollout distributes.
Artifact ArtifactOf(const Rollout& rollout);

}  // namespace wagtailslip::config
