#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailslip::benchmark {

/// Value below which the given share of the samples lies.
inline double Percentile(std::vector<double> samples, double share) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto at = static_cast<std::size_t>(share * static_cast<double>(samples.size()));
  return samples[std::min(at, samples.size() - 1)];
}

/// Commits with real disk syncs against the batch size: three replicas, one thread each.
void RunCommit(const std::string& folder, double seconds);
/// Time without a leader after the leader is isolated or crashes, in virtual time.
void RunFailover(std::uint64_t seeds);
/// Time and memory of a restart after a number of changes.
void RunRestart(const std::string& folder);
/// Processor time and bytes of the leader against the number of learners.
void RunLearners(double changes_per_second);

}  // namespace wagtailslip::benchmark
