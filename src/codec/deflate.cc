#include "wagtailslip/codec/deflate.h"

#include <zlib.h>

#include <algorithm>

namespace wagtailslip::codec {
namespace {

// zlib level 1, the fastest. Routes repeat the same text with different names, so it already gives
// most of the size reduction.
constexpr int kCompressionLevel = 1;
constexpr std::size_t kInitialBufferBytes = std::size_t{256} * 1024;

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string result(size, '\0');
  const int status =
      compress2(reinterpret_cast<Bytef*>(result.data()), &size,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kCompressionLevel);
  if (status != Z_OK) throw CodecError("bytes cannot be compressed");
  result.resize(size);
  return result;
}

std::string Inflate(std::string_view bytes, std::size_t limit) {
  for (std::size_t capacity = std::min(kInitialBufferBytes, limit);;
       capacity = std::min(capacity * 4, limit)) {
    std::string result(capacity, '\0');
    uLongf size = capacity;
    const int status = uncompress(reinterpret_cast<Bytef*>(result.data()), &size,
                                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (status == Z_OK) {
      result.resize(size);
      return result;
    }
    if (status != Z_BUF_ERROR || capacity >= limit)
      throw CodecError("compressed bytes are damaged");
  }
}

}  // namespace wagtailslip::codec
