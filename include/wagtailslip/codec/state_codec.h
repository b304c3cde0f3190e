#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"
#include "wagtailslip/config/state.h"

namespace wagtailslip::codec {

/// Encodes the complete configuration state for a snapshot.
std::string EncodeState(const config::State& state);

/// Decodes the configuration state of a snapshot.
/// @throws CodecError if the bytes are damaged or an enum value is out of range
config::State DecodeState(std::string_view bytes);

}  // namespace wagtailslip::codec
