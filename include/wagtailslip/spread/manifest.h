#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/error.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::spread {

/// Raised for a manifest or member list that is not valid.
class SpreadError : public Error {
 public:
  using Error::Error;
};

/// Position of a chunk in its manifest.
using ChunkIndex = std::uint32_t;

/// One piece of an artifact.
struct Chunk {
  Digest digest;
  /// Size in bytes.
  std::uint64_t size = 0;

  bool operator==(const Chunk&) const = default;
};

/// Result of checking a received chunk against its digest.
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

  /// Digest that `root` must have.
  Digest ComputeRoot() const;

  /// Checks names, sizes, repeated digests, the base version and the root.
  /// @throws SpreadError naming the field and the chunk
  void Validate() const;

  /// Sum of the chunk sizes in bytes.
  std::uint64_t TotalSize() const;

  /// Checks a received body against size and digest.
  ChunkResult Check(ChunkIndex chunk, std::string_view body) const;
};

/// Largest accepted number of chunks and chunk size. The chunk size bounds what one whole-chunk
/// deadline and one corrupt transfer can cost.
inline constexpr std::size_t kMaxChunks = 65536;
inline constexpr std::uint64_t kMaxChunkBytes = std::uint64_t{256} << 20;

/// What a change from one version to another keeps, fetches and drops.
struct Difference {
  struct Shared {
    ChunkIndex from;
    ChunkIndex to;
  };
  std::vector<Shared> shared;
  /// Chunks of the new version that the old one lacks.
  std::vector<ChunkIndex> added;
  /// Chunks of the old version that the new one lacks.
  std::vector<ChunkIndex> dropped;
  /// Bytes of `added`.
  std::uint64_t added_bytes = 0;
};

Difference Compare(const Manifest& from, const Manifest& to);

}  // namespace wagtailslip::spread
