#include "wagtailslip/cli/operator_commands.h"

#include <openssl/rand.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
#include <thread>

#include "wagtailslip/cli/api_client.h"
#include "wagtailslip/cli/table.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::cli {
namespace {

using nlohmann::json;
using Verb = net::http::verb;

constexpr Duration kWatchPeriod = std::chrono::milliseconds(500);

/// Flags that all operator commands share.
struct Common {
  std::vector<std::string> entries;
  std::string token;
  bool as_json = false;
  double timeout_seconds = 10;
  std::string request_id;

  ApiClient Client() const {
    return {entries, token,
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(timeout_seconds))};
  }
};

std::string RandomId() {
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw CommandError(ExitCode::kInternal, "no random bytes for a request id");
  }
  return Sha256(std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()))
      .Hex()
      .substr(0, 32);
}

std::string Cell(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints an array of objects as a table of the named members, or as JSON.
void PrintRows(const Common& common, const json& rows, const std::vector<std::string>& columns) {
  if (common.as_json) {
    std::cout << rows.dump(2) << "\n";
    return;
  }
  std::vector<std::vector<std::string>> cells;
  for (const auto& row : rows) {
    std::vector<std::string> line;
    line.reserve(columns.size());
    for (const auto& it : columns) line.push_back(row.contains(it) ? Cell(row[it]) : "-");
    cells.push_back(std::move(line));
  }
  std::cout << FormatTable(columns, cells);
}

void PrintObject(const Common& common, const json& object) {
  if (common.as_json) {
    std::cout << object.dump(2) << "\n";
    return;
  }
  std::vector<std::vector<std::string>> cells;
  for (const auto& [name, value] : object.items()) {
    if (!value.is_array() && !value.is_object()) cells.push_back({name, Cell(value)});
  }
  std::cout << FormatTable({"field", "value"}, cells);
}

std::string ReadFile(const std::string& path) {
  if (path == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream file(path, std::ios::binary);
  if (!file) throw CommandError(ExitCode::kUsage, "cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Members of an operator command's JSON that identify it.
json CommandBody(const Common& common, std::uint64_t base_revision) {
  return {{"request_id", common.request_id.empty() ? RandomId() : common.request_id},
          {"base_revision", base_revision}};
}

std::uint64_t RevisionAt(const Common& common, const std::string& target) {
  return common.Client().Get(target).value("command_revision", std::uint64_t{0});
}

void AddCommon(CLI::App& command, Common& common) {
  command.add_option("--entry", common.entries, "Address ip:port of an entry process; repeatable")
      ->envname("WAGTAILSLIP_ENTRIES")
      ->delimiter(',')
      ->required();
  command.add_option("--token", common.token, "Operator's bearer token")
      ->envname("WAGTAILSLIP_TOKEN");
  command.add_flag("--json", common.as_json, "Print JSON for programs");
  command.add_option("--timeout", common.timeout_seconds, "Limit for each call in seconds")
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
}

void AddRequestId(CLI::App& command, Common& common) {
  command.add_option("--request-id", common.request_id,
                     "Id of the command; give the same id to resend it. Random if absent");
}

template <typename Table>
std::vector<std::string> Names(const Table& table) {
  std::vector<std::string> names;
  for (const auto& row : table.rows) names.emplace_back(row.second);
  return names;
}

struct RolloutFlags {
  std::string id;
  std::string model;
  std::string version;
  std::string kind = "model";
  std::string adapter;
  std::string base_version;
  std::string origin;
  std::string root;
  std::string policy = "time-first";
  std::uint32_t minimum_serving = 1;
  std::uint32_t batch_size = 1;
  std::uint32_t failure_limit = 2;
};

int CreateRolloutCommand(const Common& common, const RolloutFlags& flags) {
  const std::string line =
      "/v1/lines?model=" + flags.model + (flags.adapter.empty() ? "" : "&adapter=" + flags.adapter);
  json body = CommandBody(common, RevisionAt(common, line));
  body.update({{"model", flags.model},
               {"version", flags.version},
               {"kind", flags.kind},
               {"adapter", flags.adapter},
               {"base_version", flags.base_version},
               {"origin", flags.origin},
               {"root", flags.root},
               {"policy", flags.policy},
               {"minimum_serving", flags.minimum_serving},
               {"batch_size", flags.batch_size},
               {"failure_limit", flags.failure_limit}});
  PrintObject(common, common.Client().Send(Verb::post, "/v1/rollouts", body.dump()));
  return 0;
}

int ControlRolloutCommand(const Common& common, const std::string& id, const std::string& action) {
  const std::string target = "/v1/rollouts/" + id;
  const json body = CommandBody(common, RevisionAt(common, target));
  PrintObject(common, common.Client().Send(Verb::post, target + "/" + action, body.dump()));
  return 0;
}

int WatchRollout(const Common& common, const std::string& id) {
  static const std::set<std::string> kEnded{"complete", "cancelled", "rolled-back", "superseded"};
  const bool terminal = isatty(STDOUT_FILENO) != 0;
  std::string last;
  while (true) {
    const json rollout = common.Client().Get("/v1/rollouts/" + id);
    const std::string state = rollout.value("state", "");
    std::string line =
        FormatProgress(rollout.value("serving", 0U), rollout.value("endpoints", 0U)) + " " + state;
    if (const auto reason = rollout.value("reason", ""); !reason.empty())
      line += " (" + reason + ")";
    if (common.as_json) {
      std::cout << rollout.dump() << std::endl;
    } else if (terminal) {
      std::cout << "\r\033[K" << line << std::flush;
    } else if (line != last) {
      std::cout << line << std::endl;
    }
    last = line;
    if (kEnded.contains(state)) {
      if (terminal && !common.as_json) std::cout << "\n";
      return static_cast<int>(state == "complete" ? ExitCode::kOk : ExitCode::kRolloutFailed);
    }
    std::this_thread::sleep_for(kWatchPeriod);
  }
}

void AddRolloutCommands(CLI::App& app, std::function<int()>& run,
                        const std::shared_ptr<Common>& common) {
  auto* rollout = app.add_subcommand("rollout", "Create, watch and control rollouts");
  rollout->require_subcommand(1);
  const auto flags = std::make_shared<RolloutFlags>();

  auto* create =
      rollout->add_subcommand("create", "Distribute a version to all endpoints of a model");
  AddCommon(*create, *common);
  AddRequestId(*create, *common);
  create->add_option("--model", flags->model, "Model name")->required();
  create->add_option("--version", flags->version, "Version name")->required();
  create->add_option("--kind", flags->kind, "What is distributed")
      ->check(CLI::IsMember(Names(config::kArtifactKinds)))
      ->capture_default_str();
  create->add_option("--adapter", flags->adapter, "Name of the adapter");
  create->add_option("--base-version", flags->base_version,
                     "Version of the model that the adapter needs");
  create->add_option("--origin", flags->origin, "Address ip:port of the origin")->required();
  create->add_option("--root", flags->root,
                     "Root digest of the manifest; taken from the origin if absent");
  create->add_option("--policy", flags->policy, "Measure that the distribution favours")
      ->check(CLI::IsMember(Names(config::kSpreadPolicies)))
      ->capture_default_str();
  create
      ->add_option("--minimum-serving", flags->minimum_serving,
                   "Replicas that keep serving during a swap")
      ->capture_default_str();
  create->add_option("--batch-size", flags->batch_size, "Replicas that swap at the same time")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  create
      ->add_option("--failure-limit", flags->failure_limit,
                   "Failed replicas at which the rollout returns to the last good version")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  create->callback([=, &run] { run = [=] { return CreateRolloutCommand(*common, *flags); }; });

  auto* list = rollout->add_subcommand("list", "List rollouts, newest first");
  AddCommon(*list, *common);
  list->callback([=, &run] {
    run = [=] {
      PrintRows(*common, common->Client().Get("/v1/rollouts")["rollouts"],
                {"id", "model", "version", "state", "serving", "endpoints", "reason"});
      return 0;
    };
  });

  auto* show = rollout->add_subcommand("show", "Show one rollout and its endpoints");
  AddCommon(*show, *common);
  show->add_option("id", flags->id, "Rollout id")->required();
  show->callback([=, &run] {
    run = [=] {
      const json body = common->Client().Get("/v1/rollouts/" + flags->id);
      PrintObject(*common, body);
      if (!common->as_json) {
        PrintRows(*common, body.value("replicas", json::array()),
                  {"endpoint", "state", "chunks", "version", "failure_domain", "error"});
      }
      return 0;
    };
  });

  auto* watch = rollout->add_subcommand("watch", "Follow a rollout to its end");
  AddCommon(*watch, *common);
  watch->add_option("id", flags->id, "Rollout id")->required();
  watch->callback([=, &run] { run = [=] { return WatchRollout(*common, flags->id); }; });

  for (const auto& [action, name] : config::kRolloutActions.rows) {
    const std::string action_name(name);
    auto* control = rollout->add_subcommand(action_name, "Order a rollout to " + action_name);
    AddCommon(*control, *common);
    AddRequestId(*control, *common);
    control->add_option("id", flags->id, "Rollout id")->required();
    control->callback([=, &run] {
      run = [=] { return ControlRolloutCommand(*common, flags->id, action_name); };
    });
  }
}

struct RuleFlags {
  std::string account = "*";
  std::string kind = "*";
  std::string call_class = "repeatable";
  std::uint32_t priority = 5;
  double weight = 1;
  double rate_limit = 0;
  std::uint32_t deadline_ms = 0;
};

int SetRuleCommand(const Common& common, const RuleFlags& flags) {
  json body = CommandBody(
      common, RevisionAt(common, "/v1/rules?account=" + flags.account + "&kind=" + flags.kind));
  body.update({{"account", flags.account},
               {"kind", flags.kind},
               {"call_class", flags.call_class},
               {"priority", flags.priority},
               {"weight", flags.weight},
               {"rate_limit", flags.rate_limit},
               {"deadline_ms", flags.deadline_ms}});
  PrintObject(common, common.Client().Send(Verb::put, "/v1/rules", body.dump()));
  return 0;
}

void AddRuleCommands(CLI::App& app, std::function<int()>& run,
                     const std::shared_ptr<Common>& common) {
  auto* rule = app.add_subcommand("rule", "Priority rules for client accounts and request kinds");
  rule->require_subcommand(1);
  const auto flags = std::make_shared<RuleFlags>();
  auto* set = rule->add_subcommand("set", "Set the rule of an account and a request kind");
  AddCommon(*set, *common);
  AddRequestId(*set, *common);
  set->add_option("--account", flags->account, "Client account; * for all")->capture_default_str();
  set->add_option("--kind", flags->kind, "Request kind; * for all")->capture_default_str();
  set->add_option("--class", flags->call_class, "How calls may be treated")
      ->check(CLI::IsMember(Names(config::kCallClasses)))
      ->capture_default_str();
  set->add_option("--priority", flags->priority, "0 is served first")
      ->check(CLI::Range(0, 9))
      ->capture_default_str();
  set->add_option("--weight", flags->weight, "Share in fair queueing")
      ->check(CLI::Range(0.001, 1000.0))
      ->capture_default_str();
  set->add_option("--rate-limit", flags->rate_limit,
                  "Requests per second over all entry processes; 0 for none")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  set->add_option("--deadline-ms", flags->deadline_ms,
                  "Time in which an answer is useful; 0 for the caller's own")
      ->capture_default_str();
  set->callback([=, &run] { run = [=] { return SetRuleCommand(*common, *flags); }; });

  auto* list = rule->add_subcommand("list", "List the rules");
  AddCommon(*list, *common);
  list->callback([=, &run] {
    run = [=] {
      PrintRows(
          *common, common->Client().Get("/v1/rules")["rules"],
          {"account", "kind", "call_class", "priority", "weight", "rate_limit", "deadline_ms"});
      return 0;
    };
  });
}

struct SheetFlags {
  std::string file;
  std::string zone = "America/Bogota";
  std::string date_form = "ymd";
};

int SheetCommand(const Common& common, const SheetFlags& flags, const std::string& mode) {
  std::string target =
      "/v1/sheets?mode=" + mode + "&zone=" + flags.zone + "&dates=" + flags.date_form;
  if (mode == "submit") {
    const json body = CommandBody(common, RevisionAt(common, "/v1/sheets"));
    target += "&request_id=" + body["request_id"].get<std::string>() +
              "&base_revision=" + body["base_revision"].dump();
  }
  const json answer = common.Client().Send(Verb::post, target, ReadFile(flags.file), "text/csv");
  PrintObject(common, answer);
  if (!common.as_json && answer.contains("changes")) {
    PrintRows(common, answer["changes"], {"change", "effective_at", "object", "text"});
  }
  return 0;
}

void AddSheetCommands(CLI::App& app, std::function<int()>& run,
                      const std::shared_ptr<Common>& common) {
  auto* sheet = app.add_subcommand("sheet", "The planners' sheet");
  sheet->require_subcommand(1);
  const auto flags = std::make_shared<SheetFlags>();
  const std::pair<const char*, const char*> modes[] = {
      {"check", "Check a sheet and list every fault"},
      {"preview", "Show what a sheet would change"},
      {"submit", "Replace all scheduled changes that have not taken effect"}};
  for (const auto& [mode, text] : modes) {
    auto* command = sheet->add_subcommand(mode, text);
    AddCommon(*command, *common);
    AddRequestId(*command, *common);
    command->add_option("file", flags->file, "CSV file; - for standard input")->required();
    command->add_option("--zone", flags->zone, "Time zone of the sheet's times")
        ->capture_default_str();
    command->add_option("--dates", flags->date_form, "Order of day, month and year")
        ->check(CLI::IsMember({"ymd", "dmy", "mdy"}))
        ->capture_default_str();
    const std::string mode_name = mode;
    command->callback(
        [=, &run] { run = [=] { return SheetCommand(*common, *flags, mode_name); }; });
  }
}

void AddStateCommands(CLI::App& app, std::function<int()>& run,
                      const std::shared_ptr<Common>& common) {
  const auto id = std::make_shared<std::string>();
  const auto end_drain = std::make_shared<bool>(false);
  auto* drain = app.add_subcommand("drain", "Give an endpoint no new work");
  AddCommon(*drain, *common);
  AddRequestId(*drain, *common);
  drain->add_option("endpoint", *id, "Endpoint id")->required();
  drain->add_flag("--end", *end_drain, "Let the endpoint take work again");
  drain->callback([=, &run] {
    run = [=] {
      const std::string target = "/v1/endpoints/" + *id;
      json body = CommandBody(*common, RevisionAt(*common, target));
      body["drain"] = !*end_drain;
      PrintObject(*common, common->Client().Send(Verb::post, target + "/drain", body.dump()));
      return 0;
    };
  });

  auto* dump = app.add_subcommand("dump", "Print the state of one process as JSON");
  AddCommon(*dump, *common);
  dump->callback([=, &run] {
    run = [=] {
      std::cout << common->Client().Get("/debug/state").dump(2) << "\n";
      return 0;
    };
  });

  auto* addresses = app.add_subcommand("addresses", "Print the addresses that callers are given");
  AddCommon(*addresses, *common);
  addresses->callback([=, &run] {
    run = [=] {
      PrintRows(*common, common->Client().Get("/v1/addresses")["addresses"],
                {"address", "region", "failure_domain"});
      return 0;
    };
  });

  auto* status = app.add_subcommand("status", "Summary of processes and endpoints");
  AddCommon(*status, *common);
  status->callback([=, &run] {
    run = [=] {
      const json body = common->Client().Get("/v1/status");
      PrintObject(*common, body);
      if (!common->as_json) {
        PrintRows(*common, body["processes"], {"process", "role", "applied", "lease", "region"});
        PrintRows(*common, body["endpoints"],
                  {"endpoint", "model", "version", "health", "draining", "region"});
      }
      return 0;
    };
  });
}

}  // namespace

void AddOperatorCommands(CLI::App& app, std::function<int()>& run) {
  const auto common = std::make_shared<Common>();
  AddRolloutCommands(app, run, common);
  AddRuleCommands(app, run, common);
  AddSheetCommands(app, run, common);
  AddStateCommands(app, run, common);
}

}  // namespace wagtailslip::cli
