#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/weights_targets.h"

namespace wagtailslip::wire {
class WeightsTarget;
}

namespace wagtailslip::mesh {

/// A target version that was not known before.
struct LearnedTarget {
  std::string model;
  std::int64_t version = 0;
  /// Time since it was named, as the message states it.
  Duration age{};
  /// How much later than by the wall clocks of the two processes it was taken to be named; zero if
  /// the message does not state the wall-clock time.
  Duration delay{};
};

/// Adds the target versions of a message.
/// @param now when the message is processed
/// @return those that are newer than all known ones
std::vector<LearnedTarget> ApplyTargets(const std::vector<wire::WeightsTarget>& received,
                                        serving::WeightsTargets& targets, TimePoint now,
                                        UtcTime utc_now);

}  // namespace wagtailslip::mesh
