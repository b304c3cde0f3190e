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
/// @throws CodecError if the bytes are damaged or an enum value is out of range
config::Record DecodeRecord(std::string_view bytes);

/// Converts an endpoint description to its wire form.
wire::EndpointJoined ToWire(const config::EndpointJoined& endpoint);

/// Converts an endpoint description from its wire form.
/// @throws CodecError if an enum value is out of range
config::EndpointJoined FromWire(const wire::EndpointJoined& endpoint);

/// Converts the result of applying a record to its wire form.
void ApplyResultToWire(const config::ApplyResult& result, wire::ApplyResult& w);

/// Converts the result of applying a record from its wire form.
/// @throws CodecError if an enum value is out of range
config::ApplyResult ApplyResultFromWire(const wire::ApplyResult& w);

/// Converts an order for an agent to its wire form.
wire::EndpointOrder OrderToWire(const rollout::Order& order);

/// Converts an order for an agent from its wire form.
/// @throws CodecError if an enum value is out of range
rollout::Order OrderFromWire(const wire::EndpointOrder& w);

}  // namespace wagtailslip::codec
