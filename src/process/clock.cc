#include "wagtailslip/process/clock.h"

#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <ctime>

namespace wagtailslip::process {

TimePoint MonotonicNow() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
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
