#include "wagtailslip/process/metrics.h"

#include <spdlog/fmt/fmt.h>

namespace wagtailslip::process {
namespace {

constexpr int kBins = 60;
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 100000.0;

}  // namespace

Metrics::Metrics() {
  for (std::size_t i = 0; i < kLatencyCount; ++i) {
    histograms_.push_back(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<Cell>(), Axis(kBins, kLowestMs, kHighestMs)));
  }
}

void Metrics::Record(Latency latency, Duration value) {
  histograms_[static_cast<std::size_t>(latency)](ToMilliseconds(value));
}

std::string Metrics::Text() const {
  std::string text;
  for (const auto& [counter, name] : kCounters.rows) {
    text +=
        fmt::format("# TYPE wagtailslip_{0} counter\nwagtailslip_{0} {1}\n", name, Value(counter));
  }
  for (const auto& [gauge, name] : kGauges.rows) {
    text += fmt::format("# TYPE wagtailslip_{0} gauge\nwagtailslip_{0} {1}\n", name,
                        gauges_[static_cast<std::size_t>(gauge)].load(std::memory_order_relaxed));
  }
  for (std::size_t i = 0; i < kLatencyCount; ++i) {
    const auto name = kLatencies.rows[i].second;
    const auto& axis = histograms_[i].axis(0);
    text += fmt::format("# TYPE wagtailslip_{} histogram\n", name);
    std::uint64_t total = 0;
    for (int bin = -1; bin < axis.size(); ++bin) {
      total += histograms_[i].at(bin);
      text += fmt::format("wagtailslip_{}_bucket{{le=\"{:.6g}\"}} {}\n", name, axis.value(bin + 1),
                          total);
    }
    total += histograms_[i].at(axis.size());
    text += fmt::format("wagtailslip_{0}_bucket{{le=\"+Inf\"}} {1}\nwagtailslip_{0}_count {1}\n",
                        name, total);
  }
  return text;
}

}  // namespace wagtailslip::process
