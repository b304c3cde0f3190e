// Prints the fractions of requests that are served in time, served late and refused under load, and
// their latency, as CSV: deployments x limits per engine x loads x seeds.
#include <cstdio>

#include "overload_model.h"

int main() {
  using wagtailslip::benchmark::EngineParameters;
  using wagtailslip::benchmark::OverloadScenario;
  struct Deployment {
    const char* name;
    std::size_t processes;
    std::size_t engines;
  };
  struct Limit {
    const char* name;
    double fill;
    double fill_if_late;
    int reading_ms;
    int reading_if_late_ms;
  };
  const Deployment deployments[] = {{"small", 4, 14}, {"grown", 14, 45}};
  const Limit limits[] = {{"full-batch", 1.125, 1.125, 190, 70},
                          {"default", 1.0, 0.7, 120, 50},
                          {"two-thirds", 0.67, 0.5, 120, 50},
                          {"one-prompt", 1.0, 0.7, 40, 20}};
  const double loads[] = {0.5, 0.7, 0.85, 1.0, 1.3};
  std::puts("deployment,limit,load,seed,asked,in_time,late,refused,median_ms,p95_ms");
  for (const auto& deployment : deployments) {
    for (const auto& limit : limits) {
      for (const double load : loads) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          OverloadScenario overload;
          overload.processes = deployment.processes;
          overload.engines = deployment.engines;
          overload.kinds = wagtailslip::benchmark::TypicalRequestKinds();
          overload.load = load * static_cast<double>(deployment.engines) / 14;
          overload.seed = seed;
          overload.placement.max_engine_utilization = limit.fill;
          overload.placement.max_engine_utilization_if_late = limit.fill_if_late;
          overload.placement.max_prefill_backlog = std::chrono::milliseconds(limit.reading_ms);
          overload.placement.max_prefill_backlog_if_late =
              std::chrono::milliseconds(limit.reading_if_late_ms);
          const auto result = RunOverload(overload);
          std::printf("%s,%s,%.2f,%d,%zu,%.3f,%.3f,%.3f,%.0f,%.0f\n", deployment.name, limit.name,
                      load, static_cast<int>(seed), result.requests, result.InTimeFraction(),
                      result.LateFraction(), result.RefusedFraction(), result.median_ms,
                      result.p95_ms);
        }
      }
    }
  }
  return 0;
}
