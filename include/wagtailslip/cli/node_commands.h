#pragma once

#include <functional>

namespace CLI {
class App;
}

namespace wagtailslip::cli {

/// Adds the commands that run a process of a deployment with a settings file.
void AddNodeCommands(CLI::App& app, std::function<int()>& run);

}  // namespace wagtailslip::cli
