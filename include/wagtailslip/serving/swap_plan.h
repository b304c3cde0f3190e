#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

struct SwapSettings {
  /// Time from the naming of a version until every endpoint must have begun its swap.
  Duration window = std::chrono::milliseconds(6400);
  /// Time that the spread of the weights usually takes; no swap is planned before it.
  Duration spread = std::chrono::milliseconds(2200);
  /// Largest number of groups that swap one after the other.
  std::size_t groups = 6;
};

/// Position of an endpoint among those of its service, by a hash that all processes share.
/// @param self must be in `endpoints`
std::size_t SwapRank(const std::string& self, std::vector<std::string> endpoints);

/// Time after the naming of a version at which an endpoint begins its swap if it holds the weights
/// by then. Endpoints swap in groups, so that the others keep serving.
/// @param rank position from SwapRank
/// @param count endpoints of the service
Duration SwapOffset(std::size_t rank, std::size_t count, const SwapSettings& settings);

}  // namespace wagtailslip::serving
