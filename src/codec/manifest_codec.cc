#include "wagtailslip/codec/manifest_codec.h"

#include <nlohmann/json.hpp>

namespace wagtailslip::codec {
namespace {

using nlohmann::json;

Digest ParseDigest(const json& value, const std::string& member) {
  const auto digest = Digest::FromHex(value.get<std::string>());
  if (!digest) throw CodecError("manifest: " + member + " is not a SHA-256 in hexadecimal");
  return *digest;
}

std::uint64_t ParseSize(const json& value) {
  // A conversion would wrap negative numbers and is undefined for large fractions.
  if (!value.is_number_unsigned()) throw CodecError("manifest: chunk size is not a whole number");
  return value.get<std::uint64_t>();
}

}  // namespace

spread::Manifest ParseManifest(std::string_view text) {
  try {
    const json body = json::parse(text);
    spread::Manifest manifest;
    manifest.model = body.at("model").get<std::string>();
    manifest.version = body.at("version").get<std::string>();
    const auto kind = config::kArtifactKinds.Find(body.at("kind").get<std::string>());
    if (!kind) throw CodecError("manifest: kind is neither model nor adapter");
    manifest.kind = *kind;
    if (body.contains("base") && body["base"].is_string()) manifest.base_version = body["base"];
    for (const auto& it : body.at("chunks")) {
      manifest.chunks.push_back(
          {ParseDigest(it.at("digest"), "chunk digest"), ParseSize(it.at("size"))});
    }
    manifest.root = ParseDigest(body.at("root"), "root");
    manifest.Validate();
    return manifest;
  } catch (const json::exception& e) {
    throw CodecError(std::string("manifest: ") + e.what());
  } catch (const spread::SpreadError& e) {
    throw CodecError(e.what());
  }
}

std::string FormatManifest(const spread::Manifest& manifest) {
  json chunks = json::array();
  for (const auto& it : manifest.chunks) {
    chunks.push_back({{"digest", it.digest.Hex()}, {"size", it.size}});
  }
  json body{{"model", manifest.model},
            {"version", manifest.version},
            {"kind", config::kArtifactKinds.Name(manifest.kind)},
            {"chunk_bytes", manifest.chunks.empty() ? 0 : manifest.chunks.front().size},
            {"chunks", std::move(chunks)},
            {"root", manifest.root.Hex()}};
  if (!manifest.base_version.empty()) body["base"] = manifest.base_version;
  return body.dump();
}

}  // namespace wagtailslip::codec
