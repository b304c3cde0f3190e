#include "common/load_history.h"

namespace wagtailslip::tools {

void LoadHistory::Record(const LoadSample& sample) {
  // The last sample from before the lag stays: it is what a report shows until the next one ages.
  while (samples_.size() > 1 && samples_[1].time + lag_ <= sample.time) samples_.pop_front();
  samples_.push_back(sample);
}

LoadSample LoadHistory::Report(TimePoint now) const {
  LoadSample report;
  report.time = now - lag_;
  for (const auto& sample : samples_) {
    if (sample.time + lag_ > now) break;
    report = sample;
  }
  return report;
}

}  // namespace wagtailslip::tools
