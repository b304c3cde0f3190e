#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"
#include "wagtailslip/config/state.h"

namespace wagtailslip::codec {

/// Encodes the whole configuration for a snapshot.
std::string EncodeState(const config::State& state);

/// Decodes a snapshot.
/// @throws CodecError if the bytes are damaged or a value is outside its enumeration
config::State DecodeState(std::string_view bytes);

}  // namespace wagtailslip::codec
