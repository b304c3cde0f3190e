// Entry point of the one binary: parses the command line and runs a process or an operator command.
#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>

#include "wagtailslip/cli/api_client.h"
#include "wagtailslip/cli/exit_code.h"
#include "wagtailslip/cli/node_commands.h"
#include "wagtailslip/cli/operator_commands.h"
#include "wagtailslip/cli/process_commands.h"
#include "wagtailslip/process/signal_wait.h"

namespace {

using wagtailslip::cli::ExitCode;

std::string ExitCodeText() {
  std::string text = "Exit status:\n";
  for (const auto& [code, meaning] : wagtailslip::cli::kExitCodes.rows) {
    text += "  " + std::to_string(static_cast<int>(code)) + "  " + std::string(meaning) + "\n";
  }
  return text;
}

int Fail(ExitCode code, const std::string& message) {
  std::cerr << "wagtailslip: " << message << "\n";
  return static_cast<int>(code);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("wagtailslip spreads model weights to many instances and keeps requests flowing");
  app.require_subcommand(1);
  app.set_version_flag("--version", "wagtailslip 0.1.0");
  app.footer(ExitCodeText());
  app.option_defaults()->always_capture_default();
  std::function<int()> run;
  wagtailslip::cli::AddProcessCommands(app, run);
  wagtailslip::cli::AddNodeCommands(app, run);
  wagtailslip::cli::AddOperatorCommands(app, run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int status = app.exit(e);
    return status == 0 ? 0 : static_cast<int>(ExitCode::kUsage);
  }
  try {
    return run();
  } catch (const wagtailslip::cli::CommandError& e) {
    return Fail(e.code(), e.what());
  } catch (const std::exception& e) {
    return Fail(ExitCode::kInternal, e.what());
  }
}
