// Commands and records on rollouts and rules.
#include <algorithm>

#include "wagtailslip/config/state_machine.h"
#include "wagtailslip/config/validate.h"
#include "wagtailslip/rollout/chart.h"

namespace wagtailslip::config {
namespace {

/// Events that AdvanceRollout, which only the leader proposes, may carry.
const std::set<std::string> kLeaderEvents = {"start",    "open", "swapped", "fail",
                                             "complete", "halt", "returned"};

constexpr std::pair<RolloutAction, const char*> kActionEvents[] = {
    {RolloutAction::kPause, "pause"},
    {RolloutAction::kResume, "resume"},
    {RolloutAction::kCancel, "cancel"},
    {RolloutAction::kRollBack, "rollback"}};

void AppendIfAbsent(std::vector<std::string>& list, const std::string& value) {
  if (std::find(list.begin(), list.end(), value) == list.end()) list.push_back(value);
}

}  // namespace

bool IsActive(const Rollout& rollout) {
  return rollout.state != "complete" && !rollout::RolloutChart().IsFinal(rollout.state);
}

bool IsRollingBack(const Rollout& rollout) {
  return rollout.state == "halting" || rollout.state == "cancelling";
}

Artifact ArtifactOf(const Rollout& rollout) {
  const CreateRollout& spec = rollout.spec;
  return {spec.version, spec.base_version, spec.root, spec.origin, spec.policy, rollout.id};
}

ApplyResult StateMachine::Run(const CreateRollout& command, bool check_base) {
  if (const auto errors = Validate(command); !errors.empty()) {
    return Rejected("invalid", errors.front().field, errors.front().message);
  }
  const std::string key = ArtifactKey(command.model, command.adapter);
  const auto it = state_.version_histories.find(key);
  const VersionHistory* history = it == state_.version_histories.end() ? nullptr : &it->second;
  const Revision current = history != nullptr ? history->command_revision : 0;
  if (check_base && command.command.base_revision != current) {
    return Conflict(key, history != nullptr ? history->request_id : "", current);
  }
  if (command.kind == ArtifactKind::kAdapter) {
    const VersionHistory* base = FindVersionHistory(command.model);
    if (base == nullptr || !base->last_good || base->last_good->version != command.base_version) {
      return Rejected("base_missing", "base_version",
                      "version " + command.base_version + " of model " + command.model +
                          " is not the one in service");
    }
  }
  if (history != nullptr) {
    if (history->last_good && history->last_good->version == command.version &&
        history->last_good->root != command.root) {
      return Rejected("version_reused", "root",
                      "version " + command.version + " has another root digest");
    }
    Rollout& newest = state_.rollouts.at(history->rollout_id);
    const bool same = newest.spec.version == command.version && newest.spec.root == command.root &&
                      newest.spec.base_version == command.base_version;
    const bool in_service = newest.state == "complete" && history->last_good &&
                            history->last_good->rollout_id == newest.id;
    if (same && (in_service || (IsActive(newest) && !IsRollingBack(newest)))) {
      return Unchanged(newest.id);
    }
    FireRollout(newest, "supersede", "replaced by version " + command.version);
  }
  ++rollouts_created_;
  std::string id = "r" + std::to_string(state_.revision);
  if (rollouts_created_ > 1) id += "-" + std::to_string(rollouts_created_);
  Rollout rollout;
  rollout.id = id;
  rollout.spec = command;
  rollout.state = rollout::RolloutChart().initial();
  rollout.created = rollout.revision = rollout.state_revision = state_.revision;
  WTS_INVARIANT(state_.rollouts.emplace(id, std::move(rollout)).second);
  VersionHistory& updated = state_.version_histories[key];
  updated.model = command.model;
  updated.adapter = command.adapter;
  updated.command_revision = state_.revision;
  updated.request_id = command.command.request_id;
  updated.rollout_id = id;
  EvictRollouts();
  return Applied(id);
}

ApplyResult StateMachine::Run(const ControlRollout& command) {
  const auto it = state_.rollouts.find(command.rollout_id);
  if (it == state_.rollouts.end()) {
    return Rejected("not_found", "rollout_id", "there is no rollout " + command.rollout_id);
  }
  Rollout& rollout = it->second;
  VersionHistory& history =
      state_.version_histories.at(ArtifactKey(rollout.spec.model, rollout.spec.adapter));
  if (command.command.base_revision != history.command_revision) {
    return Conflict(rollout.id, history.request_id, history.command_revision);
  }
  if (command.action == RolloutAction::kRollBack && rollout.state == "complete") {
    if (history.rollout_id != rollout.id) {
      return Rejected("refused_in_state", "rollout_id", "a newer rollout replaced this one");
    }
    if (!history.previous_good) {
      return Rejected("no_earlier_version", "action", "there is no earlier good version");
    }
  }
  std::string event;
  for (const auto& [action, name] : kActionEvents) {
    if (action == command.action) event = name;
  }
  ApplyResult result = FireRollout(rollout, event, "by request " + command.command.request_id);
  if (result.status == ApplyStatus::kApplied) {
    history.command_revision = state_.revision;
    history.request_id = command.command.request_id;
  }
  return result;
}

ApplyResult StateMachine::On(const AdvanceRollout& record) {
  const auto it = state_.rollouts.find(record.rollout_id);
  if (it == state_.rollouts.end()) {
    return Rejected("not_found", "rollout_id", "there is no rollout " + record.rollout_id);
  }
  if (!kLeaderEvents.contains(record.event)) {
    return Rejected("invalid", "event", "event " + record.event + " is not the leader's");
  }
  Rollout& rollout = it->second;
  if (record.event == "open" && record.batch != rollout.batches + 1) {
    return Rejected("stale", "batch", "batch " + std::to_string(rollout.batches) + " is open");
  }
  if (record.event != "start" && record.event != "halt" &&
      record.rolling_back != IsRollingBack(rollout)) {
    return Rejected("stale", "returning", "the rollout has turned round");
  }
  ApplyResult result = FireRollout(rollout, record.event, record.reason);
  if (result.status != ApplyStatus::kApplied) return result;
  VersionHistory& history =
      state_.version_histories.at(ArtifactKey(rollout.spec.model, rollout.spec.adapter));
  if (record.event == "open") OpenBatch(rollout, history, record.endpoints);
  for (const auto& id : record.endpoints) {
    if (record.event == "fail") {
      AppendIfAbsent(IsRollingBack(rollout) ? rollout.rollback_failed : rollout.failed, id);
    }
    if (record.event != "swapped") continue;
    const auto assignment = history.assignments.find(id);
    if (assignment != history.assignments.end()) assignment->second.swapped = true;
  }
  return result;
}

void StateMachine::OpenBatch(Rollout& rollout, VersionHistory& history,
                             const std::vector<std::string>& endpoints) {
  ++rollout.batches;
  const bool rolling_back = IsRollingBack(rollout);
  if (rolling_back && !history.last_good) return;
  const Artifact artifact = rolling_back ? *history.last_good : ArtifactOf(rollout);
  for (const auto& id : endpoints) {
    if (!state_.endpoints.contains(id)) continue;
    Assignment& assignment = history.assignments[id];
    if (assignment.revision != 0 && assignment.artifact.rollout_id == artifact.rollout_id) continue;
    // Until its swap is recorded, the endpoint may serve the version it was last known to serve.
    Digest previous;
    if (assignment.revision != 0) {
      previous = assignment.artifact.root;
    } else if (!history.permitted_roots.empty()) {
      previous = history.permitted_roots.back();
    } else if (history.last_good) {
      previous = history.last_good->root;
    }
    assignment = {artifact, previous, false, state_.revision};
  }
}

ApplyResult StateMachine::FireRollout(Rollout& rollout, const std::string& event,
                                      const std::string& reason) {
  const auto& transition = rollout::RolloutChart().Fire(rollout.state, event);
  if (transition.reaction == rollout::Reaction::kRefuse) {
    return Rejected("refused_in_state", "rollout_id", transition.reason);
  }
  if (transition.reaction == rollout::Reaction::kIgnore) return Unchanged(rollout.id);
  VersionHistory& history =
      state_.version_histories.at(ArtifactKey(rollout.spec.model, rollout.spec.adapter));
  const std::string before = std::exchange(rollout.state, transition.next);
  rollout.revision = state_.revision;
  if (!reason.empty()) rollout.reason = reason;
  if (rollout.state == before) return Applied(rollout.id);
  rollout.state_revision = state_.revision;
  if (rollout.state == "complete") {
    CompleteRollout(rollout, history);
  } else if (rollout.state == "halting" && before == "complete") {
    history.permitted_roots = {rollout.spec.root};
    history.last_good = std::exchange(history.previous_good, std::nullopt);
    history.last_good_revision = state_.revision;
    if (history.adapter.empty()) ClearIncompatibleAdapters(history);
  } else if (rollout.state == "rolled-back" || rollout.state == "cancelled") {
    history.assignments.clear();
    history.permitted_roots.clear();
    history.last_good_revision = state_.revision;
  }
  return Applied(rollout.id);
}

void StateMachine::CompleteRollout(Rollout& rollout, VersionHistory& history) {
  history.previous_good = history.last_good;
  history.last_good = ArtifactOf(rollout);
  history.last_good_revision = state_.revision;
  history.assignments.clear();
  history.permitted_roots.clear();
  if (history.adapter.empty()) ClearIncompatibleAdapters(history);
}

void StateMachine::ClearIncompatibleAdapters(const VersionHistory& model_history) {
  const std::string version = model_history.last_good ? model_history.last_good->version : "";
  for (auto& [key, history] : state_.version_histories) {
    if (history.model != model_history.model || history.adapter.empty()) continue;
    if (history.last_good && history.last_good->base_version != version) history.last_good.reset();
    if (history.previous_good && history.previous_good->base_version != version) {
      history.previous_good.reset();
    }
    Rollout& newest = state_.rollouts.at(history.rollout_id);
    if (newest.spec.base_version == version) continue;
    history.assignments.clear();
    history.permitted_roots.clear();
    FireRollout(newest, "supersede", "model " + history.model + " is now at version " + version);
  }
}

void StateMachine::EvictRollouts() {
  if (state_.rollouts.size() <= limits_.finished_rollouts) return;
  std::set<std::string> used;
  for (const auto& [key, history] : state_.version_histories) used.insert(history.rollout_id);
  std::map<Revision, std::string> oldest;
  for (const auto& [id, rollout] : state_.rollouts) {
    if (!used.contains(id)) oldest.emplace(rollout.created, id);
  }
  for (const auto& [created, id] : oldest) {
    if (state_.rollouts.size() <= limits_.finished_rollouts) break;
    state_.rollouts.erase(id);
  }
}

ApplyResult StateMachine::Run(const SetRule& command, bool check_base) {
  if (const auto errors = Validate(command.rule); !errors.empty()) {
    return Rejected("invalid", errors.front().field, errors.front().message);
  }
  const std::string key = RuleKey(command.rule.account, command.rule.kind);
  const std::string name = "rule " + command.rule.account + "/" + command.rule.kind;
  const auto it = state_.rules.find(key);
  const Revision current = it == state_.rules.end() ? 0 : it->second.command_revision;
  if (check_base && command.command.base_revision != current) {
    return Conflict(name, it == state_.rules.end() ? "" : it->second.request_id, current);
  }
  if (it != state_.rules.end() && it->second.rule == command.rule) return Unchanged(name);
  state_.rules[key] = {command.rule, state_.revision, command.command.request_id};
  return Applied(name);
}

}  // namespace wagtailslip::config
