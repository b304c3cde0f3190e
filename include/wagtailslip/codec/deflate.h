#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"

namespace wagtailslip::codec {

/// Compresses bytes in the zlib format.
/// @throws CodecError if the library refuses
std::string Deflate(std::string_view bytes);

/// Restores bytes that Deflate compressed.
/// @param limit largest accepted size of the result
/// @throws CodecError if the bytes are damaged or the result is larger
std::string Inflate(std::string_view bytes, std::size_t limit);

}  // namespace wagtailslip::codec
