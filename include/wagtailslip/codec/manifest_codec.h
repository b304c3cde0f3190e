#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"
#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::codec {

/// Parses the JSON of `GET /models/{model}/{version}/manifest` and validates it.
/// @throws CodecError with the name of the invalid field
spread::Manifest ParseManifest(std::string_view text);

/// Formats a manifest as JSON.
std::string FormatManifest(const spread::Manifest& manifest);

}  // namespace wagtailslip::codec
