// Measures weight distribution with real Sessions over simulated links in virtual time, and prints
// one CSV row per run. Usage: spread_benchmark [suite...]; see kSuites for the names. Without
// arguments, all suites run.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <vector>

#include "link_fake.h"

namespace wagtailslip::spread {
namespace {

struct Job {
  std::string suite;
  SimulationConfig config;
};

SimulationConfig BaseConfig(std::size_t instances) {
  SimulationConfig config;
  config.instances = instances;
  // The current scale has 3 regions, the target scale 2 with 4 failure domains.
  config.regions = instances <= 96 ? 3 : 2;
  config.domains = instances <= 96 ? 2 : 4;
  return config;
}

constexpr std::size_t kSizes[] = {3, 12, 48, 96, 600, 2500};
constexpr config::SpreadPolicy kPolicies[] = {config::SpreadPolicy::kTimeFirst,
                                              config::SpreadPolicy::kOriginBytesFirst};

void AddSizes(const std::string& suite, std::vector<Job>& jobs) {
  for (const std::size_t n : kSizes) {
    for (const auto policy : kPolicies) {
      SimulationConfig config = BaseConfig(n);
      config.policy = policy;
      jobs.push_back({suite, config});
    }
  }
}

void AddStrategies(const std::string& suite, std::vector<Job>& jobs) {
  for (const std::size_t n : kSizes) {
    for (const auto strategy : {StrategyKind::kOriginOnly, StrategyKind::kChain,
                                StrategyKind::kTree, StrategyKind::kInterleavedTrees}) {
      SimulationConfig config = BaseConfig(n);
      config.strategy = strategy;
      // N copies from the origin take N / 2 times the bound T, but a run is stopped at 20 T.
      if (strategy == StrategyKind::kOriginOnly && n > 96) continue;
      jobs.push_back({suite, config});
    }
  }
}

void AddFaults(const std::string& suite, std::vector<Job>& jobs) {
  std::vector<Scenario> scenarios;
  scenarios.push_back({});
  scenarios.push_back({.name = "kill-1", .kill = 1});
  scenarios.push_back({.name = "kill-2", .kill = 2});
  scenarios.push_back({.name = "kill-domain", .kill_domain = true});
  scenarios.push_back({.name = "cut-region", .partition = 0.5});
  scenarios.push_back({.name = "corrupt-1%", .corrupt = 0.01});
  scenarios.push_back({.name = "stalled-1", .stalled = 1});
  scenarios.push_back({.name = "slow-1", .slow = 1});
  scenarios.push_back({.name = "kill-1+corrupt-1%", .kill = 1, .corrupt = 0.01});
  scenarios.push_back({.name = "store-limit", .origin_requests_per_second = 10});
  for (const std::size_t n : {std::size_t{12}, std::size_t{48}, std::size_t{600}}) {
    for (const auto policy : kPolicies) {
      for (const Scenario& scenario : scenarios) {
        SimulationConfig config = BaseConfig(n);
        config.policy = policy;
        config.scenario = scenario;
        jobs.push_back({suite, config});
      }
    }
  }
}

void AddSeeds(const std::string& suite, std::vector<Job>& jobs) {
  for (const std::size_t n : {std::size_t{48}, std::size_t{96}, std::size_t{600}}) {
    for (const auto policy : kPolicies) {
      for (std::uint64_t seed = 2; seed <= 6; ++seed) {
        SimulationConfig config = BaseConfig(n);
        config.policy = policy;
        config.seed = seed;
        jobs.push_back({suite, config});
      }
    }
  }
}

struct Suite {
  const char* name;
  void (*add)(const std::string&, std::vector<Job>&);
};
constexpr Suite kSuites[] = {
    {"sizes", AddSizes}, {"strategies", AddStrategies}, {"faults", AddFaults}, {"seeds", AddSeeds}};

void Print(const Job& job, const SimulationResult& r) {
  static std::mutex mutex;
  const std::scoped_lock lock(mutex);
  const SimulationConfig& c = job.config;
  std::printf(
      "%s,%s,%s,%zu,%zu,%s,%llu,%.1f,%.3f,%.3f,%.3f,%zu,%zu,%.3f,%.3f,%.4f,%.3f,%.2f,%.0f,%.1f,"
      "%.0f,%llu,%llu,%llu,%llu,%.3f\n",
      job.suite.c_str(), std::string(kStrategyKinds.Name(c.strategy)).c_str(),
      std::string(config::kSpreadPolicies.Name(c.policy)).c_str(), c.instances, c.chunks,
      c.scenario.name.c_str(), static_cast<unsigned long long>(c.seed), r.bound, r.t50, r.t95,
      r.t100, r.complete, r.survivors, r.origin_copies, r.cross_copies, r.duplicate_share,
      r.cpu_seconds, r.tick_microseconds, r.control_bytes, r.control_messages, r.memory,
      static_cast<unsigned long long>(r.refusals), static_cast<unsigned long long>(r.failures),
      static_cast<unsigned long long>(r.corrupt), static_cast<unsigned long long>(r.takeovers),
      r.upload_use);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  std::vector<Job> jobs;
  for (const Suite& suite : kSuites) {
    bool wanted = argc == 1;
    for (int i = 1; i < argc; ++i) wanted = wanted || std::strcmp(argv[i], suite.name) == 0;
    if (wanted) suite.add(suite.name, jobs);
  }
  // WTS_SPREAD_MAX skips runs with more instances, for a short benchmark.
  const char* max = std::getenv("WTS_SPREAD_MAX");
  if (max != nullptr) {
    std::erase_if(jobs, [&](const Job& j) { return j.config.instances > std::stoul(max); });
  }
  std::printf(
      "suite,strategy,policy,instances,chunks,scenario,seed,bound_s,t50,t95,t100,complete,"
      "survivors,origin_copies,cross_copies,duplicate_share,cpu_s,tick_us,control_bytes_s,"
      "control_messages_s,memory_bytes,refusals,failures,corrupt,takeovers,upload_use\n");
  // Starts the largest runs first. At most 4 run concurrently, because the machine is shared.
  std::atomic<std::size_t> next{0};
  std::vector<std::future<void>> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(std::async(std::launch::async, [&] {
      for (std::size_t k = next++; k < jobs.size(); k = next++) {
        const Job& job = jobs[jobs.size() - 1 - k];
        Print(job, Simulation(job.config).Run());
      }
    }));
  }
  for (auto& worker : workers) worker.get();
  return 0;
}

}  // namespace
}  // namespace wagtailslip::spread

int main(int argc, char** argv) { return wagtailslip::spread::Main(argc, argv); }
