#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/error.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::spread {

/// Thrown for invalid manifests, member lists and settings of weight distribution.
class SpreadError : public Error {
 public:
  using Error::Error;
};

/// Position of a chunk in its manifest.
using ChunkIndex = std::uint32_t;

/// A contiguous part of an artifact, identified by its digest.
struct Chunk {
  Digest digest;
  /// Size in bytes.
  std::uint64_t size = 0;

  bool operator==(const Chunk&) const = default;
};

/// Result of checking a received chunk against its size and digest.
enum class ChunkResult { kOk, kCorrupt };
inline constexpr EnumTable<ChunkResult, 2> kChunkResults{
    {{{ChunkResult::kOk, "ok"}, {ChunkResult::kCorrupt, "corrupt"}}}};

/// The chunks of one version of a model or adapter.
struct Manifest {
  std::string model;
  std::string version;
  config::ArtifactKind kind = config::ArtifactKind::kModel;
  /// Version of the model that an adapter belongs to; empty for a model.
  std::string base_version;
  std::vector<Chunk> chunks;
  /// SHA-256 of the concatenated raw chunk digests.
  Digest root;

  /// Computes the value that `root` must have.
  Digest ComputeRoot() const;

  /// Checks names, sizes, the sizes of repeated digests, the base version and the root.
  /// @throws SpreadError that names the invalid field and the index of the chunk
  void Validate() const;

  /// Sum of the chunk sizes in bytes.
  std::uint64_t TotalSize() const;

  /// Checks a received body against the size and digest of a chunk.
  ChunkResult Check(ChunkIndex chunk, std::string_view body) const;
};

/// Maximum number of chunks, and maximum size of a chunk. The size limit bounds the time and the
/// traffic lost when one transfer misses its deadline or is corrupt.
inline constexpr std::size_t kMaxChunks = 65536;
inline constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{256} << 20;

/// Chunks that a change from one version to another keeps, fetches and drops.
struct Difference {
  /// Positions of a shared chunk in the old and in the new version.
  struct Shared {
    ChunkIndex from;
    ChunkIndex to;
  };
  std::vector<Shared> shared;
  /// Chunks of the new version that the old one lacks.
  std::vector<ChunkIndex> added;
  /// Chunks of the old version that the new one lacks.
  std::vector<ChunkIndex> dropped;
  /// Size of `added` in bytes, with repeated digests counted once.
  std::uint64_t added_bytes = 0;
};

/// Compares two versions by the digests of their chunks.
Difference Compare(const Manifest& from, const Manifest& to);

}  // namespace wagtailslip::spread
