#pragma once

#include <string_view>

namespace wagtailslip::rollout {

/// Texts of charts/*.chart; CMake generates the definitions.
extern const std::string_view kRolloutChartText;
extern const std::string_view kReplicaChartText;

}  // namespace wagtailslip::rollout
