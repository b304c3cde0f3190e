#include "entry_views.h"

#include <algorithm>

#include "wagtailslip/process/clock.h"

namespace wagtailslip::process {
namespace {

constexpr Duration kStale = std::chrono::milliseconds(1500);

const rollout::RolloutStatus* FindStatus(const EntryControl& control, const std::string& id) {
  for (const auto& it : control.rollout_status()) {
    if (it.rollout_id == id) return &it;
  }
  return nullptr;
}

/// Endpoints that a rollout concerns and those among them that serve its version.
struct Counts {
  std::size_t endpoints = 0;
  std::size_t serving = 0;
};

Counts CountServing(const EntryControl& control, const config::Rollout& rollout) {
  Counts counts;
  const auto line = config::ArtifactKey(rollout.spec.model, rollout.spec.adapter);
  for (const auto& [id, endpoint] : control.machine().state().endpoints) {
    if (!endpoint.present || endpoint.info.model != rollout.spec.model) continue;
    ++counts.endpoints;
    const auto* progress = control.reports().FindProgress(line, id);
    if (progress != nullptr && progress->served_root == rollout.spec.root) ++counts.serving;
  }
  return counts;
}

Json RolloutRow(const EntryControl& control, const config::Rollout& rollout) {
  const Counts counts = CountServing(control, rollout);
  Json row;
  row["id"] = rollout.id;
  row["model"] = rollout.spec.model;
  row["adapter"] = rollout.spec.adapter;
  row["version"] = rollout.spec.version;
  row["kind"] = config::kArtifactKinds.Name(rollout.spec.kind);
  row["root"] = rollout.spec.root.Hex();
  row["origin"] = rollout.spec.origin;
  row["policy"] = config::kSpreadPolicies.Name(rollout.spec.policy);
  row["state"] = rollout.state;
  row["endpoints"] = counts.endpoints;
  row["serving"] = counts.serving;
  row["failed"] = rollout.failed.size();
  row["reason"] = rollout.reason;
  row["revision"] = rollout.revision;
  const auto* line = control.machine().FindVersionHistory(rollout.spec.model, rollout.spec.adapter);
  row["command_revision"] = line == nullptr ? 0 : line->command_revision;
  if (const auto* status = FindStatus(control, rollout.id)) row["waiting"] = status->wait_reason;
  return row;
}

Json RuleRow(const config::RuleEntry& entry) {
  Json row;
  row["account"] = entry.rule.account;
  row["kind"] = entry.rule.kind;
  row["call_class"] = config::kCallClasses.Name(entry.rule.call_class);
  row["priority"] = entry.rule.priority;
  row["weight"] = entry.rule.weight;
  row["rate_limit"] = entry.rule.rate_limit;
  row["deadline_ms"] = entry.rule.deadline / std::chrono::milliseconds(1);
  row["command_revision"] = entry.command_revision;
  return row;
}

Json EndpointRow(const EntryControl& control, const std::string& id,
                 const config::Endpoint& endpoint, TimePoint now) {
  Json row;
  row["endpoint"] = id;
  row["model"] = endpoint.info.model;
  row["role"] = config::kEndpointRoles.Name(endpoint.info.role);
  row["address"] = endpoint.info.address;
  row["region"] = endpoint.info.region;
  row["failure_domain"] = endpoint.info.failure_domain;
  row["incarnation"] = endpoint.info.incarnation;
  row["present"] = endpoint.present;
  row["draining"] = endpoint.draining;
  row["command_revision"] = endpoint.command_revision;
  const auto* report = control.reports().Find(id);
  const bool current = report != nullptr && now - report->received < kStale;
  row["health"] = !current ? "silent" : report->healthy ? "healthy" : "unreachable";
  if (report != nullptr) {
    row["home"] = report->home.empty() ? control.settings().id : report->home;
    row["running"] = report->load.running;
    row["waiting"] = report->load.waiting;
  }
  const auto* progress = control.reports().FindProgress(endpoint.info.model, id);
  row["version"] = progress == nullptr ? "-" : progress->served_root.Hex().substr(0, 12);
  row["state"] = progress == nullptr ? "-" : rollout::kReplicaStates.Name(progress->state);
  return row;
}

Json ProcessRow(const EntryControl& control, const std::string& id, const config::Process& process,
                TimePoint now) {
  Json row;
  row["process"] = id;
  row["address"] = process.info.http_address;
  row["region"] = process.info.region;
  row["failure_domain"] = process.info.failure_domain;
  row["incarnation"] = process.info.incarnation;
  row["present"] = process.present;
  std::string role = "none";
  for (const auto& [member, part] : control.replica().membership().members()) {
    if (member.process == id) role = agreement::kMemberRoles.Name(part);
  }
  const auto& leader = control.replica().leader();
  if (leader && leader->process == id) role = "leader";
  row["role"] = role;
  if (id == control.settings().id) {
    row["applied"] = control.machine().revision();
    row["lease"] = control.HoldsLease(now);
  } else if (const auto it = control.peers().find(id);
             it != control.peers().end() && control.replica().role() == agreement::Role::kLeader) {
    // Only the leader hears all processes.
    row["applied"] = it->second.applied;
    row["lease"] = now - it->second.heard < kStale;
  }
  return row;
}

}  // namespace

Json ViewRollouts(const EntryControl& control) {
  std::vector<const config::Rollout*> rollouts;
  for (const auto& [id, rollout] : control.machine().state().rollouts) rollouts.push_back(&rollout);
  std::sort(rollouts.begin(), rollouts.end(),
            [](const auto* a, const auto* b) { return a->created > b->created; });
  Json rows = Json::array();
  for (const auto* it : rollouts) rows.push_back(RolloutRow(control, *it));
  Json body;
  body["rollouts"] = std::move(rows);
  return body;
}

Json ViewRollout(const EntryControl& control, const std::string& id, TimePoint now) {
  const auto* rollout = control.machine().FindRollout(id);
  if (rollout == nullptr) return nullptr;
  Json row = RolloutRow(control, *rollout);
  Json replicas = Json::array();
  const auto line = config::ArtifactKey(rollout->spec.model, rollout->spec.adapter);
  for (const auto& [endpoint_id, endpoint] : control.machine().state().endpoints) {
    if (!endpoint.present || endpoint.info.model != rollout->spec.model) continue;
    Json replica;
    replica["endpoint"] = endpoint_id;
    replica["failure_domain"] = endpoint.info.failure_domain;
    const auto* progress = control.reports().FindProgress(line, endpoint_id);
    if (progress != nullptr) {
      replica["state"] = rollout::kReplicaStates.Name(progress->state);
      replica["chunks"] =
          std::to_string(progress->chunks_present) + "/" + std::to_string(progress->chunks_total);
      replica["version"] = progress->served_root.Hex().substr(0, 12);
      replica["error"] = progress->error;
      replica["report_age_ms"] = ToMilliseconds(now - progress->received_at);
    }
    replicas.push_back(std::move(replica));
  }
  row["replicas"] = std::move(replicas);
  return row;
}

Json ViewLine(const EntryControl& control, const std::string& model, const std::string& adapter) {
  const auto* line = control.machine().FindVersionHistory(model, adapter);
  Json body;
  body["model"] = model;
  body["adapter"] = adapter;
  body["command_revision"] = line == nullptr ? 0 : line->command_revision;
  body["rollout"] = line == nullptr ? "" : line->rollout_id;
  if (line != nullptr && line->last_good) body["last_good"] = line->last_good->version;
  return body;
}

Json ViewRules(const EntryControl& control) {
  Json rows = Json::array();
  for (const auto& [key, entry] : control.machine().state().rules) rows.push_back(RuleRow(entry));
  Json body;
  body["rules"] = std::move(rows);
  return body;
}

Json ViewRule(const EntryControl& control, const std::string& account, const std::string& kind) {
  const auto& rules = control.machine().state().rules;
  const auto it = rules.find(config::RuleKey(account, kind));
  if (it != rules.end()) return RuleRow(it->second);
  Json body;
  body["account"] = account;
  body["kind"] = kind;
  body["command_revision"] = 0;
  return body;
}

Json ViewSheet(const EntryControl& control) {
  const auto& sheet = control.machine().state().sheet;
  Json pending = Json::array();
  for (const auto& it : sheet.pending) {
    Json row;
    row["id"] = it.id;
    row["effective_at"] = FormatUtc(it.change.effective_at);
    pending.push_back(std::move(row));
  }
  Json effected = Json::array();
  for (const auto& it : sheet.applied_changes) {
    Json row;
    row["id"] = it.id;
    row["effective_at"] = FormatUtc(it.effective_at);
    row["applied_at"] = FormatUtc(it.applied_at);
    row["late"] = it.late;
    row["status"] = config::kApplyStatuses.Name(it.result.status);
    row["message"] = it.result.message;
    effected.push_back(std::move(row));
  }
  Json body;
  body["command_revision"] = sheet.command_revision;
  body["content"] = sheet.content.Hex();
  body["pending"] = std::move(pending);
  body["effected"] = std::move(effected);
  return body;
}

Json ViewEndpoint(const EntryControl& control, const std::string& id, TimePoint now) {
  const auto* endpoint = control.machine().FindEndpoint(id);
  if (endpoint == nullptr) return nullptr;
  return EndpointRow(control, id, *endpoint, now);
}

Json ViewStatus(const EntryControl& control, TimePoint now) {
  const auto& state = control.machine().state();
  Json body;
  body["process"] = control.settings().id;
  body["revision"] = control.machine().revision();
  body["in_force"] = control.in_force();
  body["term"] = control.replica().term();
  const auto& leader = control.replica().leader();
  body["leader"] = leader ? leader->process : "";
  body["voters"] = control.replica().membership().voter_count();
  body["lease"] = control.HoldsLease(now);
  Json processes = Json::array();
  for (const auto& [id, process] : state.processes) {
    if (process.present) processes.push_back(ProcessRow(control, id, process, now));
  }
  body["processes"] = std::move(processes);
  Json endpoints = Json::array();
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.present) endpoints.push_back(EndpointRow(control, id, endpoint, now));
  }
  body["endpoints"] = std::move(endpoints);
  return body;
}

Json ViewDump(const EntryControl& control, TimePoint now) {
  const auto& state = control.machine().state();
  const auto& counters = control.replica().counters();
  Json body = ViewStatus(control, now);
  Json replica;
  replica["identity"] = control.replica().id().Text();
  replica["role"] = agreement::kRoles.Name(control.replica().role());
  replica["commit"] = control.replica().commit_index();
  replica["last"] = control.replica().last_index();
  replica["persisted"] = control.replica().persisted_index();
  replica["has_lease"] = control.replica().HasLease(now);
  replica["elections_won"] = counters.elections_won;
  replica["step_downs"] = counters.step_downs;
  replica["snapshots_installed"] = counters.snapshots_installed;
  Json members = Json::array();
  for (const auto& [id, role] : control.replica().membership().members()) {
    Json member;
    member["id"] = id.Text();
    member["role"] = agreement::kMemberRoles.Name(role);
    if (const auto* progress = control.replica().progress(id)) member["match"] = progress->match;
    members.push_back(std::move(member));
  }
  replica["members"] = std::move(members);
  body["replica"] = std::move(replica);
  Json sizes;
  sizes["commands"] = state.commands.size();
  sizes["calls"] = state.calls.size();
  sizes["rollouts"] = state.rollouts.size();
  sizes["rules"] = state.rules.size();
  std::map<std::string, std::size_t> outcomes;
  std::uint32_t most_runs = 0;
  for (const auto& [key, call] : state.calls) {
    ++outcomes[std::string(config::kCallOutcomes.Name(call.outcome))];
    most_runs = std::max(most_runs, call.runs);
  }
  sizes["call_outcomes"] = outcomes;
  sizes["most_runs_of_one_key"] = most_runs;
  body["sizes"] = std::move(sizes);
  return body;
}

}  // namespace wagtailslip::process
