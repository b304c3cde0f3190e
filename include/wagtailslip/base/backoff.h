#pragma once

#include <algorithm>

#include "wagtailslip/base/time.h"

namespace wagtailslip {

/// Delay before another attempt: `initial`, doubled for each failure, but at most `max`.
inline Duration ExponentialBackoff(Duration initial, int failures, Duration max) {
  Duration value = initial;
  for (int i = 0; i < failures && value < max; ++i) value *= 2;
  return std::min(value, max);
}

}  // namespace wagtailslip
