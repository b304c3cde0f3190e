#pragma once

#include "wagtailslip/codec/error.h"
#include "wagtailslip/traffic/rate_limiter.h"

namespace wagtailslip::wire {
class LimitMessage;
}

namespace wagtailslip::codec {

/// Converts a message of the rate limiter to its wire form.
wire::LimitMessage ToWire(const traffic::LimitMessage& message);

/// Converts a message of the rate limiter from its wire form.
traffic::LimitMessage LimitsFromWire(const wire::LimitMessage& message);

}  // namespace wagtailslip::codec
