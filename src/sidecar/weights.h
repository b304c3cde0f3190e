#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "platform/engine_calls.h"
#include "wagtailslip/spread/manifest.h"
#include "wagtailslip/spread/rejected_chunks.h"
#include "wagtailslip/spread/session.h"

namespace wagtailslip::sidecar {

/// In-memory chunks of one version of the weights of a model. Each chunk is verified before it is
/// stored here.
struct Weights {
  std::string model;
  std::int64_t version = 0;
  /// When this process started to fetch the version.
  TimePoint fetch_started{};
  std::shared_ptr<const spread::Manifest> manifest;
  /// Bytes of each chunk by its index; empty while the chunk is missing.
  std::vector<std::string> chunks;
  /// Decides which chunks to fetch from which source.
  std::unique_ptr<spread::Session> session;
  spread::RejectedChunks rejected;

  bool complete() const { return session && session->Complete(); }
};

// URL paths of the chunk server of a sidecar.

std::string ChunkPath(const std::string& model, std::int64_t version, std::uint32_t chunk);
/// Path of the bitmap of the chunks that a sidecar holds.
std::string HavePath(const std::string& model, std::int64_t version);
std::string DigestsPath(const std::string& model, std::int64_t version);

/// Builds the manifest of a version from the answer of the origin.
/// @throws spread::SpreadError if the answer is for another model or version, or is invalid
std::shared_ptr<const spread::Manifest> MakeManifest(const std::string& model, std::int64_t version,
                                                     const platform::ChunkDigests& answer);
/// Encodes the chunk size and the digests as text, one per line.
std::string EncodeDigests(const spread::Manifest& manifest);
/// Decodes the text form of EncodeDigests.
/// @return the manifest, or null if the text is malformed or the manifest is invalid
std::shared_ptr<const spread::Manifest> DecodeDigests(const std::string& model,
                                                      std::int64_t version,
                                                      const std::string& text);

}  // namespace wagtailslip::sidecar
