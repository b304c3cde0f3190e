// Measures the replicated log and its store.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "benchmark.h"

int main(int argc, char** argv) {
  namespace benchmark = wagtailslip::benchmark;
  CLI::App app("Measurements of the replicated log");
  app.require_subcommand(1);
  std::string folder = "agreement-benchmark-data";
  double seconds = 3;
  std::uint64_t seeds = 2000;
  double changes = 10;
  auto* commit = app.add_subcommand("commit", "commits a second against the batch size");
  commit->add_option("--folder", folder, "data folder, which is erased");
  commit->add_option("--seconds", seconds, "time for each batch size");
  auto* failover = app.add_subcommand("failover", "time without a leader");
  failover->add_option("--seeds", seeds, "number of runs");
  auto* restart = app.add_subcommand("restart", "restart time and memory");
  restart->add_option("--folder", folder, "data folder, which is erased");
  auto* learners = app.add_subcommand("learners", "leader's cost against the number of learners");
  learners->add_option("--changes", changes, "changes a second");
  CLI11_PARSE(app, argc, argv);
  if (*commit) benchmark::RunCommit(folder, seconds);
  if (*failover) benchmark::RunFailover(seeds);
  if (*restart) benchmark::RunRestart(folder);
  if (*learners) benchmark::RunLearners(changes);
  std::filesystem::remove_all(folder);
  return 0;
}
