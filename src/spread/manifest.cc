#include "wagtailslip/spread/manifest.h"

#include <unordered_map>

namespace wagtailslip::spread {

Digest Manifest::ComputeRoot() const {
  Sha256Stream stream;
  for (const Chunk& chunk : chunks) {
    stream.Update(
        {reinterpret_cast<const char*>(chunk.digest.bytes.data()), chunk.digest.bytes.size()});
  }
  return stream.Finish();
}

void Manifest::Validate() const {
  const auto fail = [this](const std::string& text) {
    throw SpreadError("manifest " + model + "/" + version + ": " + text);
  };
  if (model.empty()) fail("model is empty");
  if (version.empty()) fail("version is empty");
  const bool adapter = kind == config::ArtifactKind::kAdapter;
  if (adapter && base_version.empty()) fail("base_version of an adapter is empty");
  if (!adapter && !base_version.empty()) fail("base_version is set, but kind is model");
  if (chunks.empty()) fail("chunks is empty");
  if (chunks.size() > kMaxChunks) {
    fail("chunks has " + std::to_string(chunks.size()) + " entries, more than " +
         std::to_string(kMaxChunks));
  }
  std::unordered_map<Digest, std::size_t> seen;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    const std::string name = "chunks[" + std::to_string(i) + "]";
    if (chunks[i].size == 0) fail(name + ".size is 0");
    if (chunks[i].size > kMaxChunkBytes) {
      fail(name + ".size is " + std::to_string(chunks[i].size) + ", more than " +
           std::to_string(kMaxChunkBytes));
    }
    const auto [it, fresh] = seen.emplace(chunks[i].digest, i);
    if (!fresh && chunks[it->second].size != chunks[i].size) {
      fail(name + ".size differs from chunks[" + std::to_string(it->second) +
           "].size, which has the same digest");
    }
  }
  const Digest expected = ComputeRoot();
  if (root != expected) fail("root is " + root.Hex() + ", but the chunks give " + expected.Hex());
}

std::uint64_t Manifest::TotalSize() const {
  std::uint64_t total = 0;
  for (const Chunk& chunk : chunks) total += chunk.size;
  return total;
}

ChunkResult Manifest::Check(ChunkIndex chunk, std::string_view body) const {
  WTS_INVARIANT(chunk < chunks.size());
  return body.size() == chunks[chunk].size && Sha256(body) == chunks[chunk].digest
             ? ChunkResult::kOk
             : ChunkResult::kCorrupt;
}

Difference Compare(const Manifest& from, const Manifest& to) {
  std::unordered_map<Digest, ChunkIndex> old_chunks;
  for (ChunkIndex i = 0; i < from.chunks.size(); ++i) old_chunks.emplace(from.chunks[i].digest, i);
  std::unordered_map<Digest, ChunkIndex> new_chunks;
  Difference difference;
  for (ChunkIndex i = 0; i < to.chunks.size(); ++i) {
    const bool first = new_chunks.emplace(to.chunks[i].digest, i).second;
    const auto it = old_chunks.find(to.chunks[i].digest);
    if (it != old_chunks.end()) {
      difference.shared.push_back({it->second, i});
    } else {
      difference.added.push_back(i);
      if (first) difference.added_bytes += to.chunks[i].size;
    }
  }
  for (ChunkIndex i = 0; i < from.chunks.size(); ++i) {
    if (!new_chunks.contains(from.chunks[i].digest)) difference.dropped.push_back(i);
  }
  return difference;
}

}  // namespace wagtailslip::spread
