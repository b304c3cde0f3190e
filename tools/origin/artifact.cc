#include "origin/artifact.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>
#include <random>
#include <sstream>
#include <vector>

#include "common/faults.h"

namespace wagtailslip::tools {
namespace {

std::vector<std::string> Split(std::string_view text, char mark) {
  std::vector<std::string> parts;
  std::istringstream stream{std::string(text)};
  for (std::string part; std::getline(stream, part, mark);) parts.push_back(part);
  return parts;
}

[[noreturn]] void RaisePart(std::string_view artifact, std::string_view part) {
  throw ToolError("artifact '" + std::string(artifact) + "': '" + std::string(part) +
                  "' is not valid");
}

std::uint64_t ParseNumber(std::string_view artifact, const std::string& text) {
  std::size_t used = 0;
  std::uint64_t value = 0;
  try {
    if (!text.empty() && text.front() != '-') value = std::stoull(text, &used);
  } catch (const std::logic_error&) {
    used = 0;
  }
  if (used == 0 || used != text.size()) RaisePart(artifact, text);
  return value;
}

void ParseOption(ArtifactSpec& spec, std::string_view artifact, const std::string& part) {
  const auto equals = part.find('=');
  if (equals == std::string::npos) RaisePart(artifact, part);
  const std::string name = part.substr(0, equals);
  const std::string value = part.substr(equals + 1);
  if (name == "kind" && (value == "model" || value == "adapter")) {
    spec.kind = value;
  } else if (name == "base" && !value.empty()) {
    spec.base = value;
  } else if (name == "share") {
    const auto at = value.find('@');
    if (at == std::string::npos) RaisePart(artifact, part);
    spec.shared_with = value.substr(0, at);
    char* end = nullptr;
    spec.share = std::strtod(value.c_str() + at + 1, &end);
    if (*end != '\0' || !(spec.share >= 0 && spec.share <= 1)) RaisePart(artifact, part);
  } else {
    RaisePart(artifact, part);
  }
}

/// Bytes of one chunk. The seed sequence keeps the chunks of neighbouring seeds apart.
std::string GenerateChunk(std::uint64_t seed, std::uint64_t index, std::uint64_t size) {
  std::seed_seq sequence{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32),
                         static_cast<std::uint32_t>(index)};
  std::mt19937_64 random(sequence);
  std::string bytes(size, '\0');
  for (std::size_t i = 0; i < size; i += sizeof(std::uint64_t)) {
    const std::uint64_t word = random();
    std::memcpy(bytes.data() + i, &word, std::min<std::size_t>(sizeof(word), size - i));
  }
  return bytes;
}

}  // namespace

ArtifactSpec ParseArtifactSpec(std::string_view text) {
  const auto parts = Split(text, ':');
  if (parts.size() < 4 || parts[0].empty() || parts[1].empty()) {
    throw ToolError("artifact '" + std::string(text) + "' is not model:version:bytes:seed");
  }
  ArtifactSpec spec;
  spec.model = parts[0];
  spec.version = parts[1];
  spec.bytes = ParseNumber(text, parts[2]);
  spec.seed = ParseNumber(text, parts[3]);
  for (std::size_t i = 4; i < parts.size(); ++i) ParseOption(spec, text, parts[i]);
  if (spec.bytes == 0) RaisePart(text, parts[2]);
  if (spec.kind == "adapter" && spec.base.empty()) {
    throw ToolError("artifact '" + std::string(text) + "': an adapter needs base=MODEL");
  }
  return spec;
}

ArtifactStore::ArtifactStore(std::uint64_t chunk_bytes, std::uint64_t max_bytes)
    : chunk_bytes_(chunk_bytes), max_bytes_(max_bytes) {}

void ArtifactStore::Add(const ArtifactSpec& spec) {
  const std::string key = spec.model + "/" + spec.version;
  if (manifests_.contains(key)) throw ToolError("artifact " + key + " is given twice");
  const Manifest* shared = nullptr;
  if (!spec.shared_with.empty()) {
    shared = FindManifest(spec.model, spec.shared_with);
    if (shared == nullptr) {
      throw ToolError("artifact " + key + " shares chunks with " + spec.shared_with +
                      ", which must be given before it");
    }
  }
  Manifest manifest;
  manifest.model = spec.model;
  manifest.version = spec.version;
  manifest.kind = spec.kind;
  manifest.base = spec.base;
  manifest.chunk_bytes = chunk_bytes_;
  std::uint64_t index = 0;
  for (std::uint64_t offset = 0; offset < spec.bytes; offset += chunk_bytes_, ++index) {
    const std::uint64_t size = std::min(chunk_bytes_, spec.bytes - offset);
    // Shared chunks are spread evenly: one is shared whenever the running count passes a whole.
    const bool reuse = shared != nullptr && index < shared->chunks.size() &&
                       shared->chunks[index].size == size &&
                       std::floor(static_cast<double>(index + 1) * spec.share) >
                           std::floor(static_cast<double>(index) * spec.share);
    if (reuse) {
      manifest.chunks.push_back(shared->chunks[index]);
      continue;
    }
    if (unique_bytes_ + size > max_bytes_) {
      throw ToolError("artifact " + key + " passes the limit of " + std::to_string(max_bytes_) +
                      " bytes for all artifacts");
    }
    std::string bytes = GenerateChunk(spec.seed, index, size);
    const Digest digest = Sha256(bytes);
    manifest.chunks.push_back(ManifestChunk{digest, size});
    if (chunks_.emplace(digest, std::move(bytes)).second) unique_bytes_ += size;
  }
  manifest.root = RootDigest(manifest.chunks);
  manifests_.emplace(key, std::move(manifest));
}

const Manifest* ArtifactStore::FindManifest(const std::string& model,
                                            const std::string& version) const {
  const auto it = manifests_.find(model + "/" + version);
  return it == manifests_.end() ? nullptr : &it->second;
}

const std::string* ArtifactStore::FindChunk(const Digest& digest) const {
  const auto it = chunks_.find(digest);
  return it == chunks_.end() ? nullptr : &it->second;
}

}  // namespace wagtailslip::tools
