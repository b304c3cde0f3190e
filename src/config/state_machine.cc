#include "wagtailslip/config/state_machine.h"

#include "wagtailslip/rollout/chart.h"

namespace wagtailslip::config {

StateMachine::StateMachine(Limits limits) : limits_(limits) {
  // Parses the state charts now, so that an invalid chart fails at startup and not at the first
  // rollout.
  rollout::RolloutChart();
  rollout::ReplicaChart();
}

ApplyResult StateMachine::Apply(const Record& record, Revision index) {
  WTS_INVARIANT(index > state_.revision);
  state_.revision = index;
  rollouts_created_ = 0;
  return std::visit([this](const auto& r) { return On(r); }, record);
}

ApplyResult StateMachine::On(const NoOp& /*record*/) { return Applied(); }
ApplyResult StateMachine::On(const CreateRollout& record) { return RunDeduplicated(record); }
ApplyResult StateMachine::On(const ControlRollout& record) { return RunDeduplicated(record); }
ApplyResult StateMachine::On(const SetRule& record) { return RunDeduplicated(record); }
ApplyResult StateMachine::On(const SubmitSheet& record) { return RunDeduplicated(record); }
ApplyResult StateMachine::On(const DrainEndpoint& record) { return RunDeduplicated(record); }

template <typename Command>
ApplyResult StateMachine::RunDeduplicated(const Command& command) {
  const CommandId& id = command.command;
  if (id.request_id.empty() || id.request_id.size() > 128) {
    return Rejected("invalid", "request_id", "a request id has 1 to 128 characters");
  }
  const Digest content = ContentDigest(command);
  if (const auto it = state_.commands.find(id.request_id); it != state_.commands.end()) {
    if (it->second.content != content) {
      return Rejected("request_id_reused", "request_id",
                      "request id " + id.request_id + " was used with other content");
    }
    ApplyResult answer = it->second.result;
    answer.status = ApplyStatus::kDuplicate;
    return answer;
  }
  // A command that was sent before the newest evicted one may have been applied and evicted too.
  if (id.seen_revision != 0 && id.seen_revision < state_.evicted_command_revision) {
    return Rejected("request_too_old", "request_id",
                    "the answers to commands sent before revision " +
                        std::to_string(state_.evicted_command_revision) +
                        " are forgotten; read the object and send a new request id");
  }
  ApplyResult answer;
  if constexpr (requires { Run(command, true); }) {
    answer = Run(command, true);
  } else {
    answer = Run(command);
  }
  WTS_INVARIANT(!state_.commands.contains(id.request_id));
  state_.commands[id.request_id] = {content, answer};
  command_order_[state_.revision] = id.request_id;
  EvictCommands();
  return answer;
}

void StateMachine::EvictCommands() {
  while (command_order_.size() > limits_.commands) {
    const auto oldest = command_order_.begin();
    WTS_INVARIANT(oldest->first > state_.evicted_command_revision);
    state_.evicted_command_revision = oldest->first;
    state_.commands.erase(oldest->second);
    command_order_.erase(oldest);
  }
}

ApplyResult StateMachine::Applied(std::string object) const {
  return {.revision = state_.revision, .object = std::move(object)};
}

ApplyResult StateMachine::Unchanged(std::string object) const {
  return {.status = ApplyStatus::kUnchanged,
          .first_status = ApplyStatus::kUnchanged,
          .revision = state_.revision,
          .object = std::move(object)};
}

ApplyResult StateMachine::Rejected(std::string code, std::string field, std::string message) const {
  return {.status = ApplyStatus::kRejected,
          .first_status = ApplyStatus::kRejected,
          .revision = state_.revision,
          .code = std::move(code),
          .field = std::move(field),
          .message = std::move(message)};
}

ApplyResult StateMachine::Conflict(const std::string& object,
                                   const std::string& conflicting_request_id,
                                   Revision revision) const {
  return {.status = ApplyStatus::kConflict,
          .first_status = ApplyStatus::kConflict,
          .revision = state_.revision,
          .conflicting_request_id = conflicting_request_id,
          .object_revision = revision,
          .code = "conflict",
          .field = "base_revision",
          .message =
              object + " is at revision " + std::to_string(revision) +
              (conflicting_request_id.empty() ? "" : ", set by request " + conflicting_request_id),
          .object = object};
}

void StateMachine::Restore(State state) {
  state_ = std::move(state);
  command_order_.clear();
  call_order_.clear();
  body_bytes_ = 0;
  body_cursor_ = 0;
  pending_by_owner_.clear();
  evicted_key_counts_.clear();
  for (const auto& [id, command] : state_.commands) command_order_[command.result.revision] = id;
  for (auto it = state_.calls.begin(); it != state_.calls.end(); ++it) IndexCall(it);
  for (const auto hash : state_.evicted_key_hashes) ++evicted_key_counts_[hash];
  CheckInvariants();
}

const Rule& StateMachine::FindRule(const std::string& account, const std::string& kind) const {
  static const Rule default_rule;
  for (const auto& key :
       {RuleKey(account, kind), RuleKey(account, "*"), RuleKey("*", kind), RuleKey("*", "*")}) {
    if (const auto it = state_.rules.find(key); it != state_.rules.end()) return it->second.rule;
  }
  return default_rule;
}

const VersionHistory* StateMachine::FindVersionHistory(const std::string& model,
                                                       const std::string& adapter) const {
  const auto it = state_.version_histories.find(ArtifactKey(model, adapter));
  return it == state_.version_histories.end() ? nullptr : &it->second;
}

const Rollout* StateMachine::FindRollout(const std::string& id) const {
  const auto it = state_.rollouts.find(id);
  return it == state_.rollouts.end() ? nullptr : &it->second;
}

const Call* StateMachine::FindCall(const std::string& account, const std::string& key) const {
  const auto it = state_.calls.find(CallKey(account, key));
  return it == state_.calls.end() ? nullptr : &it->second;
}

const Endpoint* StateMachine::FindEndpoint(const std::string& id) const {
  const auto it = state_.endpoints.find(id);
  return it == state_.endpoints.end() ? nullptr : &it->second;
}

void StateMachine::CheckInvariants() const {
  WTS_INVARIANT(command_order_.size() == state_.commands.size());
  WTS_INVARIANT(call_order_.size() == state_.calls.size());
  for (const auto& [key, call] : state_.calls) {
    WTS_INVARIANT(call.runs <= 1);
    WTS_INVARIANT(call.sequence < state_.next_sequence);
    if (call.outcome != CallOutcome::kPending) continue;
    const auto owner = state_.processes.find(call.owner);
    WTS_INVARIANT(owner != state_.processes.end() && owner->second.present);
    WTS_INVARIANT(owner->second.info.incarnation == call.owner_incarnation);
  }
  for (const auto& [key, history] : state_.version_histories) {
    const auto it = state_.rollouts.find(history.rollout_id);
    WTS_INVARIANT(it != state_.rollouts.end());
    WTS_INVARIANT(history.command_revision <= state_.revision);
    for (const auto& [id, assignment] : history.assignments) {
      WTS_INVARIANT(assignment.revision <= state_.revision);
    }
  }
  std::map<std::string, int> active;
  for (const auto& [id, rollout] : state_.rollouts) {
    if (!IsActive(rollout)) continue;
    const std::string key = ArtifactKey(rollout.spec.model, rollout.spec.adapter);
    WTS_INVARIANT(++active[key] == 1);
    WTS_INVARIANT(state_.version_histories.at(key).rollout_id == id);
  }
}

}  // namespace wagtailslip::config
