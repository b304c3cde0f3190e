#pragma once

#include "wagtailslip/deployment/node_settings.h"

namespace wagtailslip::control {

/// Runs a control process (replicated log, endpoint directory and address lookup) until it receives
/// SIGTERM or SIGINT.
/// @return the exit status of the program
int RunControl(const deployment::NodeSettings& settings);

}  // namespace wagtailslip::control
