#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::tools {

/// Distribution of times, within 1% of each value from 1 us to 1,000 s.
class TimeRecorder {
 public:
  TimeRecorder();

  void Record(Duration time);
  std::uint64_t count() const { return count_; }
  /// Upper edge of the bin that holds the quantile, in milliseconds; 0 without values.
  double Quantile(double q) const;
  /// Count, mean, quantiles and maximum in milliseconds.
  nlohmann::json ToJson() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram_;
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
  double max_ms_ = 0;
};

/// How a request ended.
enum class Ending { kComplete, kNotRun, kUnknown, kError, kBroken, kTimeout, kNoConnection };
inline constexpr EnumTable<Ending, 7> kEndings{{{{Ending::kComplete, "complete"},
                                                 {Ending::kNotRun, "not_run"},
                                                 {Ending::kUnknown, "unknown"},
                                                 {Ending::kError, "error"},
                                                 {Ending::kBroken, "broken"},
                                                 {Ending::kTimeout, "timeout"},
                                                 {Ending::kNoConnection, "no_connection"}}}};

/// What was measured for one part of the requests.
struct Row {
  std::uint64_t sent = 0;
  /// Requests that were not sent because too many were in flight.
  std::uint64_t dropped = 0;
  /// Further attempts of requests.
  std::uint64_t resent = 0;
  std::uint64_t violations = 0;
  std::map<Ending, std::uint64_t> endings;
  /// From the intended send time to the end of a complete answer.
  TimeRecorder latency;
  TimeRecorder first_token;
  TimeRecorder between_tokens;

  nlohmann::json ToJson() const;
};

}  // namespace wagtailslip::tools
