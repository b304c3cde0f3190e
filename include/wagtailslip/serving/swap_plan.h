#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Position of an endpoint among those of its service, by a hash that all processes share.
/// @param self must be in `endpoints`
std::size_t SwapRank(const std::string& self, std::vector<std::string> endpoints);

/// When an endpoint is ordered to load weights that it holds. The orders of a service are spread
/// evenly, so that the others keep serving.
/// @param rank position from SwapRank
/// @param count endpoints of the service
/// @param ready when the weights were whole beside this endpoint
/// @param latest when the last endpoint must have its order
TimePoint SwapTime(std::size_t rank, std::size_t count, TimePoint ready, TimePoint latest);

/// Time before the bound of a version at which its last endpoint is ordered to load it.
Duration LastSwapMargin();

/// Whether a version that was overtaken while it spreads is still worth the rest of its chunks. Its
/// chunks are lost to all if those who hold them turn to the newer one, which may be out of reach.
/// @param set_at when the version was named
/// @param bound time from the naming of a version until older ones may not answer
bool ShouldFinishSpreading(TimePoint set_at, Duration bound, TimePoint now);

}  // namespace wagtailslip::serving
