#pragma once

#include "wagtailslip/deployment/node_settings.h"

namespace wagtailslip::sidecar {

/// Runs the sidecar of an engine until SIGTERM or SIGINT: fetches and verifies weights, stages them
/// at the engine, and orders the engine to load them.
/// @return exit status of the process
int RunSidecar(const deployment::NodeSettings& settings);

}  // namespace wagtailslip::sidecar
