#pragma once

#include "wagtailslip/deployment/node_settings.h"

namespace wagtailslip::ingress {

/// Runs an ingress process until a stop signal: takes callers' requests and routes them to
/// endpoints.
/// @return exit status of the program
int RunIngress(const deployment::NodeSettings& settings);

}  // namespace wagtailslip::ingress
