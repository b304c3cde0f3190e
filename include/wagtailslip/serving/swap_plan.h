#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Position of an endpoint in the swap order of its service. The order is by hash of the address,
/// so all processes compute the same order.
/// @param self must be in `endpoints`
std::size_t SwapRank(const std::string& self, std::vector<std::string> endpoints);

/// When an endpoint is told to load new weights that it has received. The swaps of a service are
/// spread evenly over time, so that the other endpoints keep serving.
/// @param rank position from SwapRank
/// @param count endpoints of the service
/// @param ready when this endpoint's sidecar had received all of the weights
/// @param latest when the last endpoint must be told to load them
TimePoint SwapTime(std::size_t rank, std::size_t count, TimePoint ready, TimePoint latest);

/// Time between the last swap to a version and the version's propagation deadline, after which no
/// request may start on older weights.
Duration LastSwapMargin();

/// When an engine whose weights were overtaken, and which was not told to load newer ones, must be
/// told to drop them. From its answer on no request begins on them, however late it arrives.
/// @param overtaken_at when a newer version became a target
/// @param bound time from then until older versions may no longer answer
/// @param newer_staged newer weights are staged, and are about to be loaded instead
TimePoint DropTime(TimePoint overtaken_at, Duration bound, bool newer_staged);

/// Whether to go on fetching the chunks of a version that is superseded while it is being
/// distributed. If the processes that hold its chunks switch to the newer version, the chunks are
/// lost to all, and the newer version may be unavailable.
/// @param set_at when the version became a target
/// @param bound time from then until older versions may no longer answer
bool ShouldFinishSpreading(TimePoint set_at, Duration bound, TimePoint now);

}  // namespace wagtailslip::serving
