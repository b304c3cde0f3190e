#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::wire {
class EndpointJoined;
}

namespace wagtailslip::codec {

/// Encodes a configuration record for the replicated log.
std::string EncodeRecord(const config::Record& record);

/// Decodes a configuration record.
/// @throws CodecError if the bytes are damaged or a value is outside its enumeration
config::Record DecodeRecord(std::string_view bytes);

/// Converts an endpoint description to its wire form.
wire::EndpointJoined ToWire(const config::EndpointJoined& endpoint);

/// Converts an endpoint description from its wire form.
/// @throws CodecError if a value is outside its enumeration
config::EndpointJoined FromWire(const wire::EndpointJoined& endpoint);

}  // namespace wagtailslip::codec
