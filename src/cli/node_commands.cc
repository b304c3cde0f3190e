#include "wagtailslip/cli/node_commands.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "platform/settings.h"
#include "wagtailslip/cli/api_client.h"
#include "wagtailslip/control/control.h"
#include "wagtailslip/ingress/ingress.h"
#include "wagtailslip/process/events.h"
#include "wagtailslip/sidecar/sidecar.h"

namespace wagtailslip::cli {
namespace {

using deployment::NodeSettings;

/// A process of a deployment, and the settings that it cannot do without.
struct NodeCommand {
  const char* name;
  const char* description;
  int (*run)(const NodeSettings&);
  std::vector<std::string NodeSettings::*> required;
};

const std::vector<NodeCommand>& NodeCommands() {
  static const std::vector<NodeCommand> commands{
      {"control",
       "Run a control process: agreement on the configuration, directory of endpoints",
       control::RunControl,
       {&NodeSettings::data_folder, &NodeSettings::control_address}},
      {"ingress",
       "Run an ingress process: takes callers' requests and routes them",
       ingress::RunIngress,
       {&NodeSettings::caller_address}},
      {"sidecar",
       "Run the sidecar of an engine: brings the intended weights to it",
       sidecar::RunSidecar,
       {&NodeSettings::engine_address, &NodeSettings::engine_service}},
  };
  return commands;
}

struct NodeFlags {
  std::string settings;
  std::string log_level = "info";
  bool check = false;
};

int RunNode(const NodeCommand& command, const NodeFlags& flags) {
  NodeSettings settings;
  try {
    settings = platform::ReadSettings(flags.settings);
    for (const auto member : command.required) {
      if ((settings.*member).empty()) {
        throw deployment::SettingsError(std::string("settings: a ") + command.name +
                                        " process lacks an address or folder that it needs");
      }
    }
    if (settings.seeds.empty()) throw deployment::SettingsError("settings: there are no seeds");
  } catch (const deployment::SettingsError& e) {
    throw CommandError(ExitCode::kUsage, e.what());
  }
  if (flags.check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // Settings are read at the start; a process that is told of a change goes on with its own.
  std::signal(SIGHUP, SIG_IGN);
  process::StartLog(settings.name, flags.log_level, process::LogStream::kStandardOutput);
  return command.run(settings);
}

}  // namespace

void AddNodeCommands(CLI::App& app, std::function<int()>& run) {
  for (const auto& it : NodeCommands()) {
    const auto flags = std::make_shared<NodeFlags>();
    auto* command = app.add_subcommand(it.name, it.description);
    command->add_option("--settings", flags->settings, "Settings file of the deployment")
        ->envname(platform::kSettingsVariable)
        ->required();
    command->add_option("--log-level", flags->log_level, "Lowest severity that is logged")
        ->envname("WAGTAILSLIP_LOG_LEVEL")
        ->check(CLI::IsMember({"info", "warning", "error"}));
    command->add_flag("--check", flags->check, "Check the settings and end");
    command->callback([flags, &it, &run] { run = [flags, &it] { return RunNode(it, *flags); }; });
  }
}

}  // namespace wagtailslip::cli
