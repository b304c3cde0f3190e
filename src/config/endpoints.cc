// Endpoints and entry processes.
#include "wagtailslip/config/state_machine.h"

namespace wagtailslip::config {

ApplyResult StateMachine::On(const EndpointJoined& record) {
  if (record.endpoint_id.empty()) return Rejected("invalid", "endpoint_id", "the id is missing");
  if (record.address.empty()) return Rejected("invalid", "address", "the address is missing");
  if (record.model.empty()) return Rejected("invalid", "model", "the model is missing");
  const auto it = state_.endpoints.find(record.endpoint_id);
  if (it != state_.endpoints.end()) {
    Endpoint& endpoint = it->second;
    if (record.incarnation < endpoint.info.incarnation) {
      return Rejected("older_incarnation", "incarnation",
                      "incarnation " + std::to_string(endpoint.info.incarnation) + " is known");
    }
    const bool same = record == endpoint.info;
    if (record.incarnation == endpoint.info.incarnation && !same) {
      return Rejected("incarnation_reused", "incarnation",
                      "the incarnation announced other addresses before");
    }
    if (same && endpoint.present) return Unchanged(record.endpoint_id);
  }
  Endpoint& endpoint = state_.endpoints[record.endpoint_id];
  if (endpoint.joined == 0) endpoint.command_revision = state_.revision;
  endpoint.info = record;
  endpoint.present = true;
  endpoint.joined = state_.revision;
  endpoint.left_reason.clear();
  // The new incarnation keeps its assignment only if it belongs to the current target, and then has
  // to swap again; assignments of earlier rollouts no longer apply.
  for (auto& [key, history] : state_.version_histories) {
    const auto assignment = history.assignments.find(record.endpoint_id);
    if (assignment == history.assignments.end()) continue;
    const Rollout& newest = state_.rollouts.at(history.rollout_id);
    const std::string target =
        IsRollingBack(newest) && history.last_good ? history.last_good->rollout_id : newest.id;
    if (assignment->second.artifact.rollout_id == target) {
      assignment->second.swapped = false;
    } else {
      history.assignments.erase(assignment);
    }
  }
  return Applied(record.endpoint_id);
}

ApplyResult StateMachine::On(const EndpointLeft& record) {
  const auto it = state_.endpoints.find(record.endpoint_id);
  if (it == state_.endpoints.end()) {
    return Rejected("not_found", "endpoint_id", "there is no endpoint " + record.endpoint_id);
  }
  Endpoint& endpoint = it->second;
  if (record.incarnation != endpoint.info.incarnation) {
    return Rejected("older_incarnation", "incarnation",
                    "incarnation " + std::to_string(endpoint.info.incarnation) + " is known");
  }
  if (!endpoint.present) return Unchanged(record.endpoint_id);
  endpoint.present = false;
  endpoint.left = state_.revision;
  endpoint.left_reason = record.reason;
  EvictEndpoints();
  return Applied(record.endpoint_id);
}

void StateMachine::EvictEndpoints() {
  std::map<Revision, std::string> absent;
  if (state_.endpoints.size() <= limits_.absent_endpoints) return;
  for (const auto& [id, endpoint] : state_.endpoints) {
    if (!endpoint.present) absent.emplace(endpoint.left, id);
  }
  while (absent.size() > limits_.absent_endpoints) {
    const std::string id = absent.begin()->second;
    state_.endpoints.erase(id);
    for (auto& [key, history] : state_.version_histories) history.assignments.erase(id);
    absent.erase(absent.begin());
  }
}

ApplyResult StateMachine::Run(const DrainEndpoint& command) {
  const auto it = state_.endpoints.find(command.endpoint_id);
  if (it == state_.endpoints.end() || !it->second.present) {
    return Rejected("not_found", "endpoint_id", "there is no endpoint " + command.endpoint_id);
  }
  Endpoint& endpoint = it->second;
  if (command.command.base_revision != endpoint.command_revision) {
    return Conflict(command.endpoint_id, endpoint.request_id, endpoint.command_revision);
  }
  if (endpoint.draining == command.drain) return Unchanged(command.endpoint_id);
  endpoint.draining = command.drain;
  endpoint.command_revision = state_.revision;
  endpoint.request_id = command.command.request_id;
  return Applied(command.endpoint_id);
}

ApplyResult StateMachine::On(const ProcessStarted& record) {
  if (record.process.empty()) return Rejected("invalid", "process", "the name is missing");
  const auto it = state_.processes.find(record.process);
  if (it != state_.processes.end()) {
    const Process& process = it->second;
    const std::uint64_t known = process.info.incarnation;
    if (record.incarnation < known) {
      return Rejected("older_incarnation", "incarnation",
                      "incarnation " + std::to_string(known) + " is known");
    }
    if (record.incarnation == known) {
      if (process.present && record == process.info) return Unchanged(record.process);
      // Its pending calls were set to unknown when it left, so the same incarnation cannot resume.
      return Rejected("incarnation_reused", "incarnation",
                      "the process needs a new incarnation to start again");
    }
    MarkCallsUnknown(record.process);
  }
  state_.processes[record.process] = {record, true, state_.revision};
  return Applied(record.process);
}

ApplyResult StateMachine::On(const ProcessLeft& record) {
  const auto it = state_.processes.find(record.process);
  if (it == state_.processes.end()) {
    return Rejected("not_found", "process", "there is no process " + record.process);
  }
  Process& process = it->second;
  if (record.incarnation != process.info.incarnation) {
    return Rejected("older_incarnation", "incarnation",
                    "incarnation " + std::to_string(process.info.incarnation) + " is known");
  }
  if (!process.present) return Unchanged(record.process);
  process.present = false;
  process.revision = state_.revision;
  MarkCallsUnknown(record.process);
  return Applied(record.process);
}

}  // namespace wagtailslip::config
