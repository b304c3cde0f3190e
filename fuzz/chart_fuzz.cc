#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wagtailslip/rollout/chart.h"

/// State charts: every state of an accepted chart reacts to every event.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using wagtailslip::rollout::Chart;
  try {
    const Chart chart = Chart::Parse(std::string_view(reinterpret_cast<const char*>(data), size));
    for (const auto& state : chart.states()) {
      for (const auto& event : chart.events()) chart.IsFinal(chart.Fire(state, event).next);
    }
  } catch (const wagtailslip::rollout::ChartError&) {
  }
  return 0;
}
