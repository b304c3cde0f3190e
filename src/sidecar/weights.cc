#include "weights.h"

#include <spdlog/fmt/fmt.h>

#include <sstream>

namespace wagtailslip::sidecar {

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
                                                     std::uint64_t chunk_bytes,
                                                     const std::vector<Digest>& digests) {
  auto manifest = std::make_shared<spread::Manifest>();
  manifest->model = model;
  manifest->version = std::to_string(version);
  for (const auto& it : digests) manifest->chunks.push_back({it, chunk_bytes});
  manifest->root = manifest->ComputeRoot();
  return manifest;
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
  if (chunk_bytes == 0 || digests.empty()) return nullptr;
  return MakeManifest(model, version, chunk_bytes, digests);
}

}  // namespace wagtailslip::sidecar
