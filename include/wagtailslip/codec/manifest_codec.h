#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"
#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::codec {

/// Parses the JSON of `GET /models/{model}/{version}/manifest` and validates it.
/// @throws CodecError naming the member at fault
spread::Manifest ParseManifest(std::string_view text);

/// JSON text of a manifest.
std::string FormatManifest(const spread::Manifest& manifest);

}  // namespace wagtailslip::codec
