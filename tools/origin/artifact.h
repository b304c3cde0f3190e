#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/manifest.h"

namespace wagtailslip::tools {

/// What a synthetic artifact is generated from.
struct ArtifactSpec {
  std::string model;
  std::string version;
  std::uint64_t bytes = 0;
  std::uint64_t seed = 0;
  std::string kind = "model";
  std::string base;
  /// Version of the same model whose chunks are reused; empty if none.
  std::string shared_with;
  /// Share of the chunks reused, 0 to 1.
  double share = 0;
};

/// Parses `model:version:bytes:seed`, followed by any of `:kind=adapter`, `:base=MODEL` and
/// `:share=VERSION@SHARE`.
/// @throws ToolError that names the part at fault
ArtifactSpec ParseArtifactSpec(std::string_view text);

/// Chunks of all artifacts, in memory, by digest.
class ArtifactStore {
 public:
  /// @param max_bytes limit for the memory that all chunks may take
  ArtifactStore(std::uint64_t chunk_bytes, std::uint64_t max_bytes);

  /// Generates an artifact from its seed.
  /// @throws ToolError if the version exists or the memory limit would be passed
  void Add(const ArtifactSpec& spec);
  /// The manifest of `model/version`, or nothing.
  const Manifest* FindManifest(const std::string& model, const std::string& version) const;
  /// Bytes of a chunk, or nothing.
  const std::string* FindChunk(const Digest& digest) const;
  const std::map<std::string, Manifest>& manifests() const { return manifests_; }
  std::uint64_t unique_bytes() const { return unique_bytes_; }

 private:
  std::uint64_t chunk_bytes_;
  std::uint64_t max_bytes_;
  std::uint64_t unique_bytes_ = 0;
  std::map<std::string, Manifest> manifests_;
  std::unordered_map<Digest, std::string> chunks_;
};

}  // namespace wagtailslip::tools
