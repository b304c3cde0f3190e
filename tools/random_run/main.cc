// Runs seeded random faults against simulated replicas and checks the protocol's properties.
#include <CLI/CLI.hpp>
#include <chrono>
#include <iostream>

#include "faults.h"

namespace wagtailslip::simulation {
namespace {

struct RunOptions {
  std::uint64_t seed = 1;
  std::uint64_t episodes = 1;
  std::uint64_t events = 25000;
  double seconds = 0;
  std::size_t trace = 0;
};

struct Totals {
  std::uint64_t episodes = 0;
  std::uint64_t events = 0;
  std::uint64_t messages = 0;
  std::uint64_t committed = 0;
  std::uint64_t answers = 0;
  Duration time{};
  std::map<std::string, std::uint64_t> faults;
};

ClusterOptions EpisodeOptions(std::uint64_t seed, std::size_t trace) {
  ClusterOptions options;
  options.seed = seed;
  Random random(seed ^ 0x5eed);
  options.voters = random.Chance(0.8) ? 3 : 5;
  options.standbys = 1 + random.Below(2);
  options.tick = std::chrono::milliseconds(40);
  options.client_pause = std::chrono::milliseconds(40);
  options.stop_after_save = 0.01;
  options.snapshot_every = random.Chance(0.8) ? 20 + random.Below(200) : 0;
  options.replica.snapshot_part_bytes = 16 + random.Below(100);
  options.replica.retained_entries = random.Below(30);
  options.replica.max_batch_entries = 1 + random.Below(50);
  options.replica.max_unacknowledged = 1 + random.Below(200);
  options.trace_lines = trace;
  return options;
}

/// After the faults end, a leader must be elected, clients must get answers again and the
/// membership must be repaired.
void CheckRecovery(Cluster& cluster, FaultInjector& faults) {
  constexpr Duration kLimit = std::chrono::seconds(30);
  faults.StopFaults();
  cluster.Trace("all faults end");
  const std::uint64_t answers = cluster.checker().answers();
  const auto recovered = [&] { return cluster.checker().answers() >= answers + 20; };
  if (!cluster.RunUntil(recovered, kLimit)) {
    throw CheckFailed("no progress within 30 s after the faults ended");
  }
  const auto repaired = [&] {
    const auto leader = cluster.Leader();
    if (!leader) return false;
    const agreement::Replica& replica = *cluster.node(*leader).replica;
    if (replica.membership().voter_count() != cluster.options().voters) return false;
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      const Cluster::Node& node = cluster.node(i);
      if (!replica.membership().Role(node.id)) return false;
      if (node.application.applied() + 50 < replica.commit_index()) return false;
    }
    return true;
  };
  if (!cluster.RunUntil(repaired, kLimit)) {
    throw CheckFailed("the membership was not repaired within 30 s after the faults ended");
  }
}

bool RunEpisode(const RunOptions& run, std::uint64_t seed, Totals& totals) {
  Cluster cluster(EpisodeOptions(seed, run.trace));
  FaultInjector faults(cluster);
  try {
    while (cluster.events() < run.events) {
      faults.Poll();
      cluster.Step();
    }
    CheckRecovery(cluster, faults);
  } catch (const Error& error) {
    for (const std::string& line : cluster.trace()) std::cerr << line << "\n";
    for (std::size_t i = 0; i < cluster.size(); ++i) std::cerr << cluster.Describe(i) << "\n";
    std::cerr << "seed " << seed << " failed at event " << cluster.events() << ", virtual time "
              << ToSeconds(cluster.now().time_since_epoch()) << " s: " << error.what() << "\n"
              << "repeat with: random_run --seed " << seed << " --episodes 1 --events "
              << run.events << " --trace 200\n";
    return false;
  }
  ++totals.episodes;
  totals.events += cluster.events();
  totals.messages += cluster.messages();
  totals.committed += cluster.checker().committed();
  totals.answers += cluster.checker().answers();
  totals.time += cluster.now().time_since_epoch();
  for (const auto& [name, count] : faults.counts()) totals.faults[name] += count;
  return true;
}

int Run(const RunOptions& run) {
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [&] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  Totals totals;
  for (std::uint64_t k = 0; run.seconds > 0 ? elapsed() < run.seconds : k < run.episodes; ++k) {
    if (!RunEpisode(run, run.seed + k, totals)) return 1;
  }
  std::cout << totals.episodes << " episodes, " << totals.events << " events, " << totals.messages
            << " messages, " << totals.committed << " entries committed, " << totals.answers
            << " answers, " << ToSeconds(totals.time) << " virtual seconds in " << elapsed()
            << " s\n";
  for (const auto& [name, count] : totals.faults)
    std::cout << "  " << name << ": " << count << "\n";
  return 0;
}

}  // namespace
}  // namespace wagtailslip::simulation

int main(int argc, char** argv) {
  wagtailslip::simulation::RunOptions run;
  CLI::App app("Random runs of the replicated log");
  app.add_option("--seed", run.seed, "seed of the first episode");
  app.add_option("--episodes", run.episodes, "number of episodes; each takes the next seed");
  app.add_option("--events", run.events, "events with faults in an episode");
  app.add_option("--seconds", run.seconds, "run for this time instead of a number of episodes");
  app.add_option("--trace", run.trace, "lines of trace printed on failure");
  CLI11_PARSE(app, argc, argv);
  return wagtailslip::simulation::Run(run);
}
