// Prints how much of the value of each kind of request is served under contention, as CSV:
// alternatives for allocating capacity by priority x deployments x load patterns x seeds.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "overload_model.h"

namespace {

using wagtailslip::benchmark::LoadPattern;
using wagtailslip::benchmark::OverloadScenario;
using wagtailslip::benchmark::PriorityPolicy;

struct Deployment {
  std::size_t processes;
  std::size_t engines;
};
constexpr Deployment kDeployments[] = {{13, 52}, {4, 14}, {70, 52}};

struct Policy {
  const char* name;
  PriorityPolicy policy;
};
constexpr Policy kPolicies[] = {{"none", PriorityPolicy::kNone},
                                {"none", PriorityPolicy::kNone},
                                {"queue-order", PriorityPolicy::kQueueOrder},
                                {"limits", PriorityPolicy::kLimits},
                                {"engine-queue", PriorityPolicy::kEngineQueue},
                                {"leader-shares", PriorityPolicy::kLeaderShares}};

}  // namespace

/// Usage: priority_benchmark [SEEDS [POLICY [PROMPT_DELAY_WEIGHT]]]
int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
  std::puts(
      "policy,processes,engines,pattern,seed,kind,requests,worth,in_time,late,refused_once,"
      "refused_twice,served,long_served,long_in_time,all_served,all_worth,utilization");
  for (const auto& policy : kPolicies) {
    if (argc > 2 && std::strcmp(argv[2], policy.name) != 0) continue;
    for (const auto& [processes, engines] : kDeployments) {
      for (const auto& [pattern, name] : wagtailslip::benchmark::kLoadPatterns) {
        for (int seed = 1; seed <= seeds; ++seed) {
          OverloadScenario overload =
              wagtailslip::benchmark::PrioritizedOverload(pattern, processes, engines);
          overload.seed = static_cast<std::uint64_t>(seed);
          overload.policy = policy.policy;
          if (argc > 3) overload.placement.prompt_delay_weight = std::atof(argv[3]);
          const auto result = RunOverload(overload);
          const double served = result.InTimeFraction() + result.LateFraction();
          for (const auto& [kind, it] : result.kinds) {
            const auto share = [&it = it](std::size_t count) {
              return static_cast<double>(count) / static_cast<double>(it.requests);
            };
            std::printf(
                "%s,%zu,%zu,%s,%d,%s,%zu,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f,%.3f\n",
                policy.name, processes, engines, name, seed, kind.c_str(), it.requests, it.worth,
                share(it.in_time), share(it.late), share(it.returned), share(it.refused),
                it.ServedFraction(), it.LongServedFraction(),
                static_cast<double>(it.long_in_time) / static_cast<double>(it.long_requests),
                served, result.worth, result.utilization);
          }
        }
      }
    }
  }
  return 0;
}
