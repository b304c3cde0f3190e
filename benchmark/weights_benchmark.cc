// Measures rollouts of small weights in virtual time, with the figures of two deployments, and
// prints one CSV row per run. Usage: weights_benchmark [seeds [pattern]]; 3 seeds and all patterns
// if absent.
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "weights_model.h"

namespace wagtailslip::spread {
namespace {

struct Pattern {
  const char* name;
  WeightsConfig config;
};

void Print(const Pattern& pattern, const WeightsConfig& config) {
  const WeightsResult result = WeightsModel(config).Run();
  std::printf("%s,%.0f,%zu,%llu", pattern.name, config.origin_bits / 1e6, config.regions,
              static_cast<unsigned long long>(config.seed));
  for (std::size_t v = 0; v < 2; ++v) {
    if (v >= result.versions.size()) {
      std::printf(",,,,,,");
      continue;
    }
    const WeightsVersion& version = result.versions[v];
    const double named = config.named_at[v];
    std::printf(",%.2f,%.2f,%zu,%zu,%.2f,%.2f", version.first_left() - named,
                version.last_left(config.chunks) - named, version.left_by(config.gone_from),
                version.sent, version.first_whole - named, version.all_whole - named);
  }
  std::printf(",%.3f,%.3f,%zu,%zu,%zu\n", result.longest_idle, result.total_idle,
              result.refused_by_peers, result.refused_by_origin, result.connections_to_gone_origin);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
  const Pattern patterns[] = {
      {"one", {}},
      {"two", {.named_at = {0, 2}}},
      {"two-gone", {.named_at = {0, 2}, .gone_from = 2.5, .gone_to = 8.5}},
      {"two-silent", {.named_at = {0, 2}, .gone_from = 2.5, .gone_to = 8.5, .gone_silent = true}},
      {"stalled", {.stalled = 1, .stall_from = 0.5}},
      {"slow", {.slow = 1}},
  };
  std::printf(
      "pattern,origin_mbits,regions,seed,v1_first_left,v1_last_left,v1_left_at_gone,v1_sent,"
      "v1_first_whole,v1_all_whole,v2_first_left,v2_last_left,v2_left_at_gone,v2_sent,"
      "v2_first_whole,v2_all_whole,longest_idle,total_idle,refused_by_peers,refused_by_origin,"
      "connections_to_gone_origin\n");
  for (const Pattern& pattern : patterns) {
    if (argc > 2 && std::string_view(argv[2]) != pattern.name) continue;
    for (const double origin_bits : {9e6, 15e6}) {
      for (const std::size_t regions : {1, 2, 3}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
          WeightsConfig config = pattern.config;
          config.origin_bits = origin_bits;
          config.regions = regions;
          config.seed = seed;
          Print(pattern, config);
        }
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace wagtailslip::spread

int main(int argc, char** argv) { return wagtailslip::spread::Main(argc, argv); }
