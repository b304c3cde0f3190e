#include "common/manifest.h"

#include <nlohmann/json.hpp>

#include "common/faults.h"

namespace wagtailslip::tools {
namespace {

Digest ParseDigest(const nlohmann::json& json) {
  const auto digest = Digest::FromHex(json.get<std::string>());
  if (!digest) throw ToolError("manifest: '" + json.get<std::string>() + "' is no digest");
  return *digest;
}

}  // namespace

std::uint64_t Manifest::Bytes() const {
  std::uint64_t bytes = 0;
  for (const auto& chunk : chunks) bytes += chunk.size;
  return bytes;
}

Digest RootDigest(const std::vector<ManifestChunk>& chunks) {
  Sha256Stream stream;
  for (const auto& chunk : chunks) {
    const auto& bytes = chunk.digest.bytes;
    stream.Update(std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
  }
  return stream.Finish();
}

nlohmann::json ToJson(const Manifest& manifest) {
  nlohmann::json json;
  json["model"] = manifest.model;
  json["version"] = manifest.version;
  json["kind"] = manifest.kind;
  if (!manifest.base.empty()) json["base"] = manifest.base;
  json["chunk_bytes"] = manifest.chunk_bytes;
  json["chunks"] = nlohmann::json::array();
  for (const auto& chunk : manifest.chunks) {
    nlohmann::json row;
    row["digest"] = chunk.digest.Hex();
    row["size"] = chunk.size;
    json["chunks"].push_back(std::move(row));
  }
  json["root"] = manifest.root.Hex();
  return json;
}

Manifest ParseManifest(std::string_view text) {
  Manifest manifest;
  try {
    const auto json = nlohmann::json::parse(text);
    manifest.model = json.at("model").get<std::string>();
    manifest.version = json.at("version").get<std::string>();
    manifest.kind = json.value("kind", "model");
    if (json.contains("base") && json["base"].is_string()) manifest.base = json["base"];
    manifest.chunk_bytes = json.at("chunk_bytes").get<std::uint64_t>();
    for (const auto& row : json.at("chunks")) {
      manifest.chunks.push_back(
          ManifestChunk{ParseDigest(row.at("digest")), row.at("size").get<std::uint64_t>()});
    }
    manifest.root = ParseDigest(json.at("root"));
  } catch (const nlohmann::json::exception& e) {
    throw ToolError(std::string("manifest: ") + e.what());
  }
  if (RootDigest(manifest.chunks) != manifest.root) {
    throw ToolError("manifest: the root digest doesn't match the chunk digests");
  }
  return manifest;
}

}  // namespace wagtailslip::tools
