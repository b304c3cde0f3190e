#pragma once

#include "wagtailslip/deployment/node_settings.h"

namespace wagtailslip::sidecar {

/// Runs the sidecar of an engine until a stop signal: fetches and checks weights, stages them
/// beside the engine, and orders the engine to load them.
/// @return exit status of the program
int RunSidecar(const deployment::NodeSettings& settings);

}  // namespace wagtailslip::sidecar
