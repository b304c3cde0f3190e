// Rollouts and rules.
#include <algorithm>

#include "wagtailslip/config/state_machine.h"
#include "wagtailslip/config/validate.h"
#include "wagtailslip/rollout/chart.h"

namespace wagtailslip::config {
namespace {

/// Events that only the leader proposes, in AdvanceRollout.
const std::set<std::string> kLeaderEvents = {"start",    "open", "swapped", "fail",
                                             "complete", "halt", "returned"};

constexpr std::pair<RolloutAction, const char*> kActionEvents[] = {
    {RolloutAction::kPause, "pause"},
    {RolloutAction::kResume, "resume"},
    {RolloutAction::kCancel, "cancel"},
    {RolloutAction::kRollBack, "rollback"}};

void AddOnce(std::vector<std::string>& list, const std::string& value) {
  if (std::find(list.begin(), list.end(), value) == list.end()) list.push_back(value);
}

}  // namespace

bool Running(const Rollout& rollout) {
  return rollout.state != "complete" && !rollout::RolloutChart().Final(rollout.state);
}

bool Returning(const Rollout& rollout) {
  return rollout.state == "halting" || rollout.state == "cancelling";
}

Artifact ArtifactOf(const Rollout& rollout) {
  const CreateRollout& spec = rollout.spec;
  return {spec.version, spec.base_version, spec.root, spec.origin, spec.policy, rollout.id};
}

ApplyResult StateMachine::Run(const CreateRollout& command, bool check_base) {
  if (const auto faults = FindFaults(command); !faults.empty()) {
    return Rejected("invalid", faults.front().field, faults.front().message);
  }
  const std::string key = LineKey(command.model, command.adapter);
  const auto at = state_.lines.find(key);
  const Line* line = at == state_.lines.end() ? nullptr : &at->second;
  const Revision present = line != nullptr ? line->command_revision : 0;
  if (check_base && command.command.base_revision != present) {
    return Conflict(key, line != nullptr ? line->request_id : "", present);
  }
  if (command.kind == ArtifactKind::kAdapter) {
    const Line* base = FindLine(command.model);
    if (base == nullptr || !base->last_good || base->last_good->version != command.base_version) {
      return Rejected("base_missing", "base_version",
                      "version " + command.base_version + " of model " + command.model +
                          " is not the one in service");
    }
  }
  if (line != nullptr) {
    if (line->last_good && line->last_good->version == command.version &&
        line->last_good->root != command.root) {
      return Rejected("version_reused", "root",
                      "version " + command.version + " has another root digest");
    }
    Rollout& newest = state_.rollouts.at(line->rollout_id);
    const bool same = newest.spec.version == command.version && newest.spec.root == command.root &&
                      newest.spec.base_version == command.base_version;
    const bool in_service =
        newest.state == "complete" && line->last_good && line->last_good->rollout_id == newest.id;
    if (same && (in_service || (Running(newest) && !Returning(newest)))) {
      return Unchanged(newest.id);
    }
    FireRollout(newest, "supersede", "replaced by version " + command.version);
  }
  ++created_;
  std::string id = "r" + std::to_string(state_.revision);
  if (created_ > 1) id += "-" + std::to_string(created_);
  Rollout rollout;
  rollout.id = id;
  rollout.spec = command;
  rollout.state = rollout::RolloutChart().initial();
  rollout.created = rollout.revision = rollout.turned = state_.revision;
  WTS_INVARIANT(state_.rollouts.emplace(id, std::move(rollout)).second);
  Line& updated = state_.lines[key];
  updated.model = command.model;
  updated.adapter = command.adapter;
  updated.command_revision = state_.revision;
  updated.request_id = command.command.request_id;
  updated.rollout_id = id;
  ForgetRollouts();
  return Applied(id);
}

ApplyResult StateMachine::Run(const ControlRollout& command) {
  const auto it = state_.rollouts.find(command.rollout_id);
  if (it == state_.rollouts.end()) {
    return Rejected("not_found", "rollout_id", "there is no rollout " + command.rollout_id);
  }
  Rollout& rollout = it->second;
  Line& line = state_.lines.at(LineKey(rollout.spec.model, rollout.spec.adapter));
  if (command.command.base_revision != line.command_revision) {
    return Conflict(rollout.id, line.request_id, line.command_revision);
  }
  if (command.action == RolloutAction::kRollBack && rollout.state == "complete") {
    if (line.rollout_id != rollout.id) {
      return Rejected("refused_in_state", "rollout_id", "a newer rollout replaced this one");
    }
    if (!line.previous_good) {
      return Rejected("no_earlier_version", "action", "there is no earlier good version");
    }
  }
  std::string event;
  for (const auto& [action, name] : kActionEvents) {
    if (action == command.action) event = name;
  }
  ApplyResult result = FireRollout(rollout, event, "by request " + command.command.request_id);
  if (result.status == ApplyStatus::kApplied) {
    line.command_revision = state_.revision;
    line.request_id = command.command.request_id;
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
  if (record.event != "start" && record.event != "halt" && record.returning != Returning(rollout)) {
    return Rejected("stale", "returning", "the rollout has turned round");
  }
  ApplyResult result = FireRollout(rollout, record.event, record.reason);
  if (result.status != ApplyStatus::kApplied) return result;
  Line& line = state_.lines.at(LineKey(rollout.spec.model, rollout.spec.adapter));
  if (record.event == "open") Open(rollout, line, record.endpoints);
  for (const auto& id : record.endpoints) {
    if (record.event == "fail") {
      AddOnce(Returning(rollout) ? rollout.return_failed : rollout.failed, id);
    }
    if (record.event != "swapped") continue;
    const auto assigned = line.assigned.find(id);
    if (assigned != line.assigned.end()) assigned->second.done = true;
  }
  return result;
}

void StateMachine::Open(Rollout& rollout, Line& line, const std::vector<std::string>& endpoints) {
  ++rollout.batches;
  const bool back = Returning(rollout);
  if (back && !line.last_good) return;
  const Artifact artifact = back ? *line.last_good : ArtifactOf(rollout);
  for (const auto& id : endpoints) {
    if (!state_.endpoints.contains(id)) continue;
    Assignment& assignment = line.assigned[id];
    if (assignment.revision != 0 && assignment.artifact.rollout_id == artifact.rollout_id) continue;
    // Until its swap is recorded the endpoint may serve what it was last known to serve.
    Digest previous;
    if (assignment.revision != 0) {
      previous = assignment.artifact.root;
    } else if (!line.tolerated.empty()) {
      previous = line.tolerated.back();
    } else if (line.last_good) {
      previous = line.last_good->root;
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
  Line& line = state_.lines.at(LineKey(rollout.spec.model, rollout.spec.adapter));
  const std::string before = std::exchange(rollout.state, transition.next);
  rollout.revision = state_.revision;
  if (!reason.empty()) rollout.reason = reason;
  if (rollout.state == before) return Applied(rollout.id);
  rollout.turned = state_.revision;
  if (rollout.state == "complete") {
    EnterComplete(rollout, line);
  } else if (rollout.state == "halting" && before == "complete") {
    line.tolerated = {rollout.spec.root};
    line.last_good = std::exchange(line.previous_good, std::nullopt);
    line.last_good_revision = state_.revision;
    if (line.adapter.empty()) DropOtherAdapters(line);
  } else if (rollout.state == "rolled-back" || rollout.state == "cancelled") {
    line.assigned.clear();
    line.tolerated.clear();
    line.last_good_revision = state_.revision;
  }
  return Applied(rollout.id);
}

void StateMachine::EnterComplete(Rollout& rollout, Line& line) {
  line.previous_good = line.last_good;
  line.last_good = ArtifactOf(rollout);
  line.last_good_revision = state_.revision;
  line.assigned.clear();
  line.tolerated.clear();
  if (line.adapter.empty()) DropOtherAdapters(line);
}

void StateMachine::DropOtherAdapters(const Line& model_line) {
  const std::string version = model_line.last_good ? model_line.last_good->version : "";
  for (auto& [key, line] : state_.lines) {
    if (line.model != model_line.model || line.adapter.empty()) continue;
    if (line.last_good && line.last_good->base_version != version) line.last_good.reset();
    if (line.previous_good && line.previous_good->base_version != version) {
      line.previous_good.reset();
    }
    Rollout& newest = state_.rollouts.at(line.rollout_id);
    if (newest.spec.base_version == version) continue;
    line.assigned.clear();
    line.tolerated.clear();
    FireRollout(newest, "supersede", "model " + line.model + " is now at version " + version);
  }
}

void StateMachine::ForgetRollouts() {
  if (state_.rollouts.size() <= limits_.finished_rollouts) return;
  std::set<std::string> used;
  for (const auto& [key, line] : state_.lines) used.insert(line.rollout_id);
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
  if (const auto faults = FindFaults(command.rule); !faults.empty()) {
    return Rejected("invalid", faults.front().field, faults.front().message);
  }
  const std::string key = RuleKey(command.rule.account, command.rule.kind);
  const std::string name = "rule " + command.rule.account + "/" + command.rule.kind;
  const auto it = state_.rules.find(key);
  const Revision present = it == state_.rules.end() ? 0 : it->second.command_revision;
  if (check_base && command.command.base_revision != present) {
    return Conflict(name, it == state_.rules.end() ? "" : it->second.request_id, present);
  }
  if (it != state_.rules.end() && it->second.rule == command.rule) return Unchanged(name);
  state_.rules[key] = {command.rule, state_.revision, command.command.request_id};
  return Applied(name);
}

}  // namespace wagtailslip::config
