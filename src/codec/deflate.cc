#include "wagtailslip/codec/deflate.h"

#include <zlib.h>

#include <algorithm>

namespace wagtailslip::codec {
namespace {

// A route's text repeats with other names, so the fastest level already gives most of the gain.
constexpr int kLevel = 1;
constexpr std::size_t kFirstGuess = std::size_t{256} * 1024;

}  // namespace

std::string Deflate(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string result(size, '\0');
  const int status = compress2(reinterpret_cast<Bytef*>(result.data()), &size,
                               reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kLevel);
  if (status != Z_OK) throw CodecError("bytes cannot be compressed");
  result.resize(size);
  return result;
}

std::string Inflate(std::string_view bytes, std::size_t limit) {
  for (std::size_t room = std::min(kFirstGuess, limit);; room = std::min(room * 4, limit)) {
    std::string result(room, '\0');
    uLongf size = room;
    const int status = uncompress(reinterpret_cast<Bytef*>(result.data()), &size,
                                  reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
    if (status == Z_OK) {
      result.resize(size);
      return result;
    }
    if (status != Z_BUF_ERROR || room >= limit) throw CodecError("compressed bytes are damaged");
  }
}

}  // namespace wagtailslip::codec
