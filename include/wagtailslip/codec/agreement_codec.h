#pragma once

#include "wagtailslip/agreement/message.h"
#include "wagtailslip/codec/error.h"

namespace wagtailslip::wire {
class AgreementMessage;
}

namespace wagtailslip::codec {

/// Converts an agreement message to its wire form.
wire::AgreementMessage ToWire(const agreement::Message& message);

/// Converts an agreement message from its wire form.
/// @throws CodecError if the message has no body or an enum value is out of range
agreement::Message FromWire(const wire::AgreementMessage& message);

}  // namespace wagtailslip::codec
