#include "wagtailslip/process/clock.h"

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <ctime>

namespace wagtailslip::process {

TimePoint MonotonicNow() {
  // The steady clock stands still while a machine is suspended. A lease that was granted before
  // would then seem to hold after another process has taken over.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

UtcTime UtcNow() {
  return UtcTime(
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

std::string FormatUtc(UtcTime time) {
  const auto since_epoch = time.time_since_epoch();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(since_epoch);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch - seconds);
  std::tm parts{};
  const std::time_t whole = seconds.count();
  gmtime_r(&whole, &parts);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03d}Z", parts, millis.count());
}

}  // namespace wagtailslip::process
