#pragma once

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/disk/error.h"

namespace wagtailslip::disk {

/// Digest and size of one chunk.
struct ChunkSpec {
  Digest digest;
  std::uint64_t bytes = 0;
};

/// The file of one version while its chunks arrive and after it is complete.
///
/// Writing and reading different chunks is safe from several threads.
class Artifact {
 public:
  /// Opens or creates the file and verifies the chunks that it holds already.
  /// @param path file of the complete version; chunks arrive in path + ".partial"
  /// @throws DiskError
  Artifact(std::filesystem::path path, std::vector<ChunkSpec> chunks);
  ~Artifact();
  Artifact(const Artifact&) = delete;
  Artifact& operator=(const Artifact&) = delete;

  std::size_t chunk_count() const { return chunks_.size(); }
  const std::vector<ChunkSpec>& chunks() const { return chunks_; }
  bool Has(std::size_t chunk) const { return present_[chunk].load(std::memory_order_acquire); }
  std::size_t present_count() const { return present_count_.load(std::memory_order_acquire); }
  bool sealed() const { return sealed_.load(std::memory_order_acquire); }
  const std::filesystem::path& path() const { return path_; }

  /// Stores a chunk after comparing it with its digest.
  /// @return false if the data does not match; nothing is stored then
  /// @throws DiskError
  bool Write(std::size_t chunk, std::string_view data);
  /// Reads a chunk that is present.
  /// @throws DiskError
  std::string Read(std::size_t chunk) const;
  /// Syncs the file, verifies every chunk from the file and gives it its final name.
  /// @param manifest text stored beside it as path + ".manifest"
  /// @throws DiskError if a chunk is missing or damaged; a damaged chunk is no longer present
  void Seal(std::string_view manifest);

 private:
  void VerifyPresent();
  std::filesystem::path partial() const { return path_.string() + ".partial"; }

  std::filesystem::path path_;
  std::vector<ChunkSpec> chunks_;
  std::vector<std::uint64_t> offsets_;
  std::vector<std::atomic<bool>> present_;
  std::atomic<std::size_t> present_count_{0};
  std::atomic<bool> sealed_{false};
  int file_ = -1;
};

/// The versions that one agent stores, by root digest. Safe from several threads.
class ArtifactStore {
 public:
  /// @param folder created if it is missing
  /// @param byte_limit bytes of all versions together; the oldest unused ones are removed
  /// @throws DiskError
  ArtifactStore(std::filesystem::path folder, std::uint64_t byte_limit);

  /// Opens a version and copies the chunks that other stored versions share with it.
  /// @param copied receives the number of chunks copied
  /// @throws DiskError, also when the version is larger than the byte limit
  std::shared_ptr<Artifact> Open(const Digest& root, std::vector<ChunkSpec> chunks,
                                 std::size_t* copied);
  std::shared_ptr<Artifact> Find(const Digest& root) const;
  /// A present chunk of any version.
  std::optional<std::string> ReadChunk(const Digest& digest) const;
  /// Removes versions that are not listed until the byte limit holds.
  /// @param keep versions in use
  void Evict(const std::vector<Digest>& keep);

 private:
  std::filesystem::path PathOf(const Digest& root) const;

  struct Location {
    std::weak_ptr<Artifact> artifact;
    std::size_t chunk = 0;
  };

  std::filesystem::path folder_;
  std::uint64_t byte_limit_;
  mutable std::mutex mutex_;
  std::vector<std::pair<Digest, std::shared_ptr<Artifact>>> artifacts_;
  std::unordered_map<Digest, std::vector<Location>> locations_;
};

}  // namespace wagtailslip::disk
