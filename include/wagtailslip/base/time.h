#pragma once

#include <chrono>
#include <cstdint>

namespace wagtailslip {

/// A span of time, nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// Clock tag for monotonic time. It has no `now`: only the process layer reads a clock.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  static constexpr bool is_steady = true;
};

/// Clock tag for UTC time since the Unix epoch, used for effect times of the planners' sheet.
struct UtcClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  static constexpr bool is_steady = false;
};

/// Monotonic time of one process. Values of different processes are not comparable.
using TimePoint = std::chrono::time_point<MonotonicClock, Duration>;

/// UTC time, comparable between processes as far as their clocks agree.
using UtcTime = std::chrono::time_point<UtcClock, Duration>;

/// Seconds as a floating-point number, for rates and reports.
inline double ToSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

/// Milliseconds as a floating-point number, for reports.
inline double ToMilliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

}  // namespace wagtailslip
