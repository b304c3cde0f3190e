#pragma once

#include "wagtailslip/process/agent_settings.h"

namespace wagtailslip::process {

/// Runs an agent until SIGTERM or SIGINT, then stops gracefully.
/// @return exit status of the program
/// @throws Error if the process cannot start
int RunAgent(const AgentSettings& settings);

}  // namespace wagtailslip::process
