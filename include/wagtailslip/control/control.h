#pragma once

#include "wagtailslip/deployment/node_settings.h"

namespace wagtailslip::control {

/// Runs a control process until a stop signal: the replicated log, the directory of endpoints and
/// the address lookup.
/// @return exit status of the program
int RunControl(const deployment::NodeSettings& settings);

}  // namespace wagtailslip::control
