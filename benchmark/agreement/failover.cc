#include <cstdio>

#include "benchmark.h"
#include "cluster.h"

namespace wagtailslip::benchmark {
namespace {

/// Virtual seconds from the loss of the leader to the lease of its successor.
double Failover(std::uint64_t seed, bool crash, double drop) {
  simulation::ClusterOptions options;
  options.seed = seed;
  options.drop = drop;
  options.repair = false;
  simulation::Cluster cluster(options);
  const auto led = [&] { return cluster.Leader().has_value(); };
  if (!cluster.RunUntil(led, std::chrono::seconds(60))) return 60;
  cluster.RunFor(cluster.random().Between(std::chrono::seconds(1), std::chrono::seconds(2)));
  const auto old = cluster.Leader();
  if (!old) return 0;
  const TimePoint start = cluster.now();
  if (crash) {
    cluster.Crash(*old);
  } else {
    cluster.Isolate(*old);
  }
  const auto succeeded = [&] {
    const auto leader = cluster.Leader();
    return leader && *leader != *old;
  };
  cluster.RunUntil(succeeded, std::chrono::seconds(60));
  return ToSeconds(cluster.now() - start);
}

}  // namespace

void RunFailover(std::uint64_t seeds) {
  struct Row {
    const char* name;
    bool crash;
    double drop;
  };
  constexpr Row kRows[] = {
      {"isolated", false, 0}, {"crashed", true, 0}, {"crashed, 5% message loss", true, 0.05}};
  std::printf("%-26s %8s %8s %8s  (s, %llu seeds)\n", "leader", "median", "99%", "worst",
              static_cast<unsigned long long>(seeds));
  for (const Row& row : kRows) {
    std::vector<double> samples;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      samples.push_back(Failover(seed, row.crash, row.drop));
    }
    std::printf("%-26s %8.3f %8.3f %8.3f\n", row.name, Percentile(samples, 0.5),
                Percentile(samples, 0.99), Percentile(samples, 1));
  }
}

}  // namespace wagtailslip::benchmark
