#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "wagtailslip/config/state.h"

namespace wagtailslip::config {

/// Applies committed records in log order. Deterministic: every process that applies the same
/// records has the same state and gives the same answers.
class StateMachine {
 public:
  explicit StateMachine(Limits limits = {});

  /// Applies one record.
  /// @param index position of the record in the log; greater than every earlier one
  /// @throws InvariantViolation if the index goes back or the state is inconsistent
  ApplyResult Apply(const Record& record, Revision index);

  const State& state() const { return state_; }
  Revision revision() const { return state_.revision; }

  /// Copy of the whole state for a snapshot.
  State CopyState() const { return state_; }
  /// Replaces the whole state.
  /// @throws InvariantViolation if the snapshot is inconsistent
  void Restore(State state);

  /// Most specific rule: account and kind, then account, then kind, then "*" for both. A built-in
  /// rule with default values if none matches.
  const Rule& FindRule(const std::string& account, const std::string& kind) const;
  /// Nothing if there is no such object.
  const VersionHistory* FindVersionHistory(const std::string& model,
                                           const std::string& adapter = {}) const;
  const Rollout* FindRollout(const std::string& id) const;
  const Call* FindCall(const std::string& account, const std::string& key) const;
  const Endpoint* FindEndpoint(const std::string& id) const;

  /// Time of the next scheduled change; nothing if none is scheduled. The leader proposes
  /// ApplySchedule when it has come.
  std::optional<UtcTime> NextScheduledTime() const;

  /// Checks the invariants over the whole state.
  /// @throws InvariantViolation
  void CheckInvariants() const;

 private:
  using Calls = std::map<std::string, Call>;

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

  /// Answers a command from memory, or runs it and remembers the answer.
  template <typename Command>
  ApplyResult RunDeduplicated(const Command& command);
  ApplyResult Run(const CreateRollout& command, bool check_base);
  ApplyResult Run(const ControlRollout& command);
  ApplyResult Run(const SetRule& command, bool check_base);
  ApplyResult Run(const SubmitSheet& command);
  ApplyResult Run(const DrainEndpoint& command);
  void EvictCommands();

  /// Result builders for the record at the present revision.
  ApplyResult Applied(std::string object = {}) const;
  ApplyResult Unchanged(std::string object = {}) const;
  ApplyResult Rejected(std::string code, std::string field, std::string message) const;
  ApplyResult Conflict(const std::string& object, const std::string& conflicting_request_id,
                       Revision revision) const;

  /// Fires an event of the rollout chart and performs what the new state implies.
  ApplyResult FireRollout(Rollout& rollout, const std::string& event, const std::string& reason);
  void CompleteRollout(Rollout& rollout, VersionHistory& history);
  void ClearIncompatibleAdapters(const VersionHistory& model_history);
  void OpenBatch(Rollout& rollout, VersionHistory& history,
                 const std::vector<std::string>& endpoints);
  void EvictRollouts();

  void ApplyChange(const PendingChange& pending, UtcTime now);

  void EvictEndpoints();
  void EvictCalls();
  void EvictCall(std::uint64_t sequence);
  void EvictBodies();
  void MarkCallsUnknown(const std::string& process);
  void IndexCall(Calls::iterator call);
  void RemovePending(const Call& call);
  bool IsKeyExpired(const std::string& map_key, const std::optional<UtcTime>& issued) const;

  Limits limits_;
  State state_;
  // Derived from state_; rebuilt by Restore.
  std::map<Revision, std::string> command_order_;
  std::map<std::uint64_t, Calls::iterator> call_order_;
  std::size_t body_bytes_ = 0;
  /// No call with a smaller sequence has a body.
  std::uint64_t body_cursor_ = 0;
  /// Sequences of pending calls by owner.
  std::map<std::string, std::set<std::uint64_t>> pending_by_owner_;
  std::unordered_map<std::uint64_t, std::uint32_t> evicted_key_counts_;
  /// Counts rollouts created by one record.
  int rollouts_created_ = 0;
};

/// Whether a rollout distributes or swaps at present; paused and returning ones count.
bool IsActive(const Rollout& rollout);
/// Whether endpoints return to the last good version.
bool IsRollingBack(const Rollout& rollout);
/// What a rollout distributes.
Artifact ArtifactOf(const Rollout& rollout);

}  // namespace wagtailslip::config
