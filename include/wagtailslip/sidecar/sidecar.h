#pragma once

#include "wagtailslip/deployment/node_settings.h"

namespace wagtailslip::sidecar {

/// Runs the sidecar of an engine until SIGTERM or SIGINT: fetches and verifies weights, stages them
/// at the engine, and sends the engine load commands.
/// @return exit status of the process
int RunSidecar(const deployment::NodeSettings& settings);

}  // namespace wagtailslip::sidecar
