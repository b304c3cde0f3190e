#pragma once

#include "wagtailslip/codec/error.h"
#include "wagtailslip/traffic/rate_limiter.h"

namespace wagtailslip::wire {
class LimitMessage;
}

namespace wagtailslip::codec {

/// Converts a rate limiter message to its wire form.
wire::LimitMessage ToWire(const traffic::LimitMessage& message);

/// Converts a rate limiter message from its wire form.
traffic::LimitMessage LimitsFromWire(const wire::LimitMessage& message);

}  // namespace wagtailslip::codec
