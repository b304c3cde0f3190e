#pragma once

#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::process {

/// Monotonic time of this process. Only the process layer and the programs read a clock.
TimePoint MonotonicNow();

/// UTC time of this machine.
UtcTime UtcNow();

/// UTC time as ISO 8601 text with milliseconds.
std::string FormatUtc(UtcTime time);

}  // namespace wagtailslip::process
