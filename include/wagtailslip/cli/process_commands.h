#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace wagtailslip::cli {

/// Adds the subcommands `entry` and `agent`, which run a process until it is stopped.
/// @param run set to the work of the subcommand that was given on the command line
void AddProcessCommands(CLI::App& app, std::function<int()>& run);

}  // namespace wagtailslip::cli
