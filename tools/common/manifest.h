#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::tools {

/// One chunk of an artifact.
struct ManifestChunk {
  Digest digest;
  std::uint64_t size = 0;
};

/// The chunks of one version of a model or adapter.
struct Manifest {
  std::string model;
  std::string version;
  std::string kind = "model";
  /// For an adapter, the model that it extends; empty for a model.
  std::string base;
  std::uint64_t chunk_bytes = 0;
  std::vector<ManifestChunk> chunks;
  Digest root;

  std::uint64_t Bytes() const;
};

/// SHA-256 of the chunk digests (32 bytes each) in order.
Digest RootDigest(const std::vector<ManifestChunk>& chunks);

nlohmann::json ToJson(const Manifest& manifest);
/// @throws ToolError if the text is no manifest or its root doesn't match its chunks
Manifest ParseManifest(std::string_view text);

}  // namespace wagtailslip::tools
