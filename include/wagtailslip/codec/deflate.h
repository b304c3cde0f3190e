#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"

namespace wagtailslip::codec {

/// Compresses bytes in the zlib format.
/// @throws CodecError if zlib reports an error
std::string Deflate(std::string_view bytes);

/// Decompresses bytes that Deflate compressed.
/// @param limit maximum size of the result in bytes
/// @throws CodecError if the bytes are damaged or the result is larger
std::string Inflate(std::string_view bytes, std::size_t limit);

}  // namespace wagtailslip::codec
