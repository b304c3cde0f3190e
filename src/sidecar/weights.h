#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wagtailslip/spread/manifest.h"
#include "wagtailslip/spread/session.h"

namespace wagtailslip::sidecar {

/// The chunks of one version of a model in memory, each checked before it is kept.
struct Weights {
  std::string model;
  std::int64_t version = 0;
  /// When this process began to fetch it.
  TimePoint begun{};
  std::shared_ptr<const spread::Manifest> manifest;
  /// Bytes by chunk; empty while a chunk is missing.
  std::vector<std::string> chunks;
  std::unique_ptr<spread::Session> session;

  bool complete() const { return session && session->Complete(); }
};

/// Paths of the chunk server of a sidecar.
std::string ChunkPath(const std::string& model, std::int64_t version, std::uint32_t chunk);
std::string HavePath(const std::string& model, std::int64_t version);
std::string DigestsPath(const std::string& model, std::int64_t version);

/// The manifest for digests that were received, and back.
std::shared_ptr<const spread::Manifest> MakeManifest(const std::string& model, std::int64_t version,
                                                     std::uint64_t chunk_bytes,
                                                     const std::vector<Digest>& digests);
std::string EncodeDigests(const spread::Manifest& manifest);
/// Null if the text is no list of digests.
std::shared_ptr<const spread::Manifest> DecodeDigests(const std::string& model,
                                                      std::int64_t version,
                                                      const std::string& text);

}  // namespace wagtailslip::sidecar
