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

}  // namespace wagtailslip::serving
