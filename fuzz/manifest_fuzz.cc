#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wagtailslip/base/error.h"
#include "wagtailslip/codec/manifest_codec.h"

/// Manifests of the origin: an accepted one is formatted and parsed again without change.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace codec = wagtailslip::codec;
  try {
    const auto manifest =
        codec::ParseManifest(std::string_view(reinterpret_cast<const char*>(data), size));
    const auto again = codec::ParseManifest(codec::FormatManifest(manifest));
    WTS_INVARIANT(again.chunks == manifest.chunks && again.root == manifest.root);
  } catch (const codec::CodecError&) {
  }
  return 0;
}
