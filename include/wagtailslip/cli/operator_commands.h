#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace wagtailslip::cli {

/// Adds the subcommands that call the administration API.
/// @param run set to the work of the subcommand that was given on the command line
void AddOperatorCommands(CLI::App& app, std::function<int()>& run);

}  // namespace wagtailslip::cli
