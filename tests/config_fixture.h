#pragma once

#include <string>

#include "wagtailslip/config/state_machine.h"

namespace wagtailslip::config {

/// Returns the UTC time at a number of seconds since the epoch.
inline UtcTime Utc(std::int64_t seconds) { return UtcTime(std::chrono::seconds(seconds)); }

inline CreateRollout MakeRollout(const std::string& request, Revision base,
                                 const std::string& version, const std::string& model = "m") {
  CreateRollout record;
  record.command = {.request_id = request, .base_revision = base, .operator_name = "op"};
  record.model = model;
  record.version = version;
  record.origin = "127.0.0.1:1";
  record.root = Sha256(model + version);
  return record;
}

inline EndpointJoined MakeEndpoint(const std::string& id, std::uint64_t incarnation = 1,
                                   const std::string& domain = "a") {
  EndpointJoined record;
  record.endpoint_id = id;
  record.incarnation = incarnation;
  record.address = "127.0.0.1:2";
  record.agent_address = "127.0.0.1:3";
  record.model = "m";
  record.region = "r";
  record.failure_domain = domain;
  return record;
}

/// Applies records to a state machine at consecutive indexes and checks its invariants after each.
struct TestLog {
  explicit TestLog(Limits limits = {}) : machine(limits) {}
  StateMachine machine;
  Revision index = 0;

  ApplyResult Apply(const Record& record) {
    const ApplyResult result = machine.Apply(record, ++index);
    machine.CheckInvariants();
    return result;
  }
  Revision CommandRevision(const std::string& model = "m") const {
    const VersionHistory* history = machine.FindVersionHistory(model);
    return history == nullptr ? 0 : history->command_revision;
  }
};

}  // namespace wagtailslip::config
