#pragma once

#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {

/// Session limits for weights of a few megabytes that must reach all agents within seconds, over
/// links that carry one copy in about 2 s.
SessionLimits SmallWeightsLimits();

/// Timeout of a new connection to the origin for a chunk of this session.
Duration OriginConnectTimeout(const Session& session);

}  // namespace wagtailslip::spread
