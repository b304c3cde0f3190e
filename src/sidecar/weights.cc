#include "weights.h"

#include <spdlog/fmt/fmt.h>

#include <sstream>

namespace wagtailslip::sidecar {
namespace {

/// @throws spread::SpreadError if the manifest would be invalid
std::shared_ptr<const spread::Manifest> MakeValidManifest(const std::string& model,
                                                          std::int64_t version,
                                                          std::uint64_t chunk_bytes,
                                                          const std::vector<Digest>& digests) {
  auto manifest = std::make_shared<spread::Manifest>();
  manifest->model = model;
  manifest->version = std::to_string(version);
  for (const auto& it : digests) manifest->chunks.push_back({it, chunk_bytes});
  manifest->root = manifest->ComputeRoot();
  manifest->Validate();
  return manifest;
}

}  // namespace

std::string ChunkPath(const std::string& model, std::int64_t version, std::uint32_t chunk) {
  return fmt::format("/weights/{}/{}/chunks/{}", model, version, chunk);
}

std::string HavePath(const std::string& model, std::int64_t version) {
  return fmt::format("/weights/{}/{}/have", model, version);
}

std::string DigestsPath(const std::string& model, std::int64_t version) {
  return fmt::format("/weights/{}/{}/digests", model, version);
}

std::shared_ptr<const spread::Manifest> MakeManifest(const std::string& model, std::int64_t version,
                                                     const platform::ChunkDigests& answer) {
  // The origin's answers may be damaged. With a damaged version number, chunks of one version would
  // be staged and loaded as those of another.
  if (answer.version != version) {
    throw spread::SpreadError("the digests are for version " + std::to_string(answer.version) +
                              ", but version " + std::to_string(version) + " was requested");
  }
  if (!answer.model.empty() && answer.model != model) {
    throw spread::SpreadError("the digests are for model " + answer.model + ", but model " + model +
                              " was requested");
  }
  return MakeValidManifest(model, version, answer.chunk_bytes, answer.digests);
}

std::string EncodeDigests(const spread::Manifest& manifest) {
  std::string text = std::to_string(manifest.chunks.front().size);
  for (const auto& it : manifest.chunks) text += "\n" + it.digest.Hex();
  return text;
}

std::shared_ptr<const spread::Manifest> DecodeDigests(const std::string& model,
                                                      std::int64_t version,
                                                      const std::string& text) {
  std::istringstream lines(text);
  std::uint64_t chunk_bytes = 0;
  lines >> chunk_bytes;
  std::vector<Digest> digests;
  std::string hex;
  while (lines >> hex) {
    const auto digest = Digest::FromHex(hex);
    if (!digest) return nullptr;
    digests.push_back(*digest);
  }
  try {
    return MakeValidManifest(model, version, chunk_bytes, digests);
  } catch (const spread::SpreadError&) {
    // The caller asks another source.
    return nullptr;
  }
}

}  // namespace wagtailslip::sidecar
