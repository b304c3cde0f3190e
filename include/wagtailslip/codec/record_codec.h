#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"
#include "wagtailslip/config/state.h"
#include "wagtailslip/rollout/controller.h"

namespace wagtailslip::wire {
class ApplyResult;
class EndpointJoined;
class EndpointOrder;
}  // namespace wagtailslip::wire

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

/// Converts the answer to a record.
void ApplyResultToWire(const config::ApplyResult& result, wire::ApplyResult& w);

/// @throws CodecError if a value is outside its enumeration
config::ApplyResult ApplyResultFromWire(const wire::ApplyResult& w);

/// Converts an order to an agent.
wire::EndpointOrder OrderToWire(const rollout::Order& order);

/// @throws CodecError if a value is outside its enumeration
rollout::Order OrderFromWire(const wire::EndpointOrder& w);

}  // namespace wagtailslip::codec
