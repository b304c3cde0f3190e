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

/// Digest and size of one chunk of a version.
struct ChunkSpec {
  Digest digest;
  std::uint64_t bytes = 0;
};

/// File of one model version, written chunk by chunk in any order until it is complete.
///
/// Different chunks may be read and written concurrently from several threads.
class Artifact {
 public:
  /// Opens or creates the file and verifies the digests of the chunks that it already contains.
  /// @param path final path; an incomplete version is stored in path + ".partial"
  /// @throws DiskError
  Artifact(std::filesystem::path path, std::vector<ChunkSpec> chunks);
  ~Artifact();
  Artifact(const Artifact&) = delete;
  Artifact& operator=(const Artifact&) = delete;

  std::size_t chunk_count() const { return chunks_.size(); }
  const std::vector<ChunkSpec>& chunks() const { return chunks_; }
  /// True if the chunk is in the file and matched its digest.
  bool Has(std::size_t chunk) const { return present_[chunk].load(std::memory_order_acquire); }
  std::size_t present_count() const { return present_count_.load(std::memory_order_acquire); }
  /// True if the version is complete and stored under its final path.
  bool sealed() const { return sealed_.load(std::memory_order_acquire); }
  const std::filesystem::path& path() const { return path_; }

  /// Verifies a chunk against its digest and stores it.
  /// @return false if the data does not match; nothing is stored then
  /// @throws DiskError
  bool Write(std::size_t chunk, std::string_view data);
  /// Reads a chunk for which Has() is true.
  /// @throws DiskError
  std::string Read(std::size_t chunk) const;
  /// Syncs the file, verifies every chunk as read back from the file, writes the manifest and
  /// renames the file to its final path.
  /// @param manifest text stored in path + ".manifest"
  /// @throws DiskError if a chunk is missing or damaged; Has() is false for a damaged chunk then
  void Seal(std::string_view manifest);

 private:
  /// Marks the chunks that match their digests as present.
  void VerifyPresent();
  std::filesystem::path partial() const { return path_.string() + ".partial"; }

  std::filesystem::path path_;
  std::vector<ChunkSpec> chunks_;
  std::vector<std::uint64_t> offsets_;
  std::vector<std::atomic<bool>> present_;
  std::atomic<std::size_t> present_count_{0};
  std::atomic<bool> sealed_{false};
  int fd_ = -1;
};

/// Model versions stored by one agent, keyed by root digest. Thread-safe.
class ArtifactStore {
 public:
  /// @param folder folder of the files; created if it is missing
  /// @param byte_limit maximum bytes of all versions together; Evict removes the oldest unused
  /// versions beyond it
  /// @throws DiskError
  ArtifactStore(std::filesystem::path folder, std::uint64_t byte_limit);

  /// Opens or creates a version and copies the chunks that it shares with other open versions.
  /// @param copied receives the number of chunks copied; may be null
  /// @throws DiskError, also when the version is larger than the byte limit
  std::shared_ptr<Artifact> Open(const Digest& root, std::vector<ChunkSpec> chunks,
                                 std::size_t* copied);
  /// Returns an open version, or null.
  std::shared_ptr<Artifact> Find(const Digest& root) const;
  /// Reads a chunk from any open version that has it; nullopt if none has it.
  std::optional<std::string> ReadChunk(const Digest& digest) const;
  /// Removes versions, in the order in which they were opened, until the byte limit holds.
  /// @param keep versions in use, which are not removed
  void Evict(const std::vector<Digest>& keep);

 private:
  std::filesystem::path PathOf(const Digest& root) const;

  /// A chunk of a stored version.
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
