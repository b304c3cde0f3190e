#pragma once

#include <cstdint>
#include <deque>

#include "wagtailslip/base/time.h"

namespace wagtailslip::tools {

/// Load of an endpoint at one time.
struct LoadSample {
  TimePoint time;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
  std::uint64_t completed = 0;
  std::uint64_t tokens = 0;
};

/// Keeps load samples so that a report can lag behind.
class LoadHistory {
 public:
  explicit LoadHistory(Duration lag) : lag_(lag) {}

  void Record(const LoadSample& sample);
  /// The load as it was one lag ago; all zero before the first sample.
  LoadSample Report(TimePoint now) const;

 private:
  Duration lag_;
  std::deque<LoadSample> samples_;
};

}  // namespace wagtailslip::tools
