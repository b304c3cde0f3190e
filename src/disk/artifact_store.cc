#include "wagtailslip/disk/artifact_store.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace wagtailslip::disk {
namespace {

[[noreturn]] void ThrowErrno(const std::string& action, const std::filesystem::path& path) {
  throw DiskError(action + " " + path.string() + ": " + std::strerror(errno));
}

void ReadAt(int fd, char* data, std::size_t n, std::uint64_t offset,
            const std::filesystem::path& path) {
  while (n > 0) {
    const ssize_t bytes_read = pread(fd, data, n, static_cast<off_t>(offset));
    if (bytes_read < 0 && errno == EINTR) continue;
    if (bytes_read < 0) ThrowErrno("cannot read", path);
    if (bytes_read == 0) throw DiskError(path.string() + " ends early");
    data += bytes_read;
    n -= static_cast<std::size_t>(bytes_read);
    offset += static_cast<std::uint64_t>(bytes_read);
  }
}

void WriteAt(int fd, std::string_view data, std::uint64_t offset,
             const std::filesystem::path& path) {
  while (!data.empty()) {
    const ssize_t bytes_written = pwrite(fd, data.data(), data.size(), static_cast<off_t>(offset));
    if (bytes_written < 0 && errno == EINTR) continue;
    if (bytes_written < 0) ThrowErrno("cannot write", path);
    data.remove_prefix(static_cast<std::size_t>(bytes_written));
    offset += static_cast<std::uint64_t>(bytes_written);
  }
}

void WriteSynced(const std::filesystem::path& path, std::string_view data) {
  const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) ThrowErrno("cannot create", path);
  try {
    WriteAt(fd, data, 0, path);
    if (fsync(fd) != 0) ThrowErrno("cannot sync", path);
  } catch (...) {
    close(fd);
    throw;
  }
  close(fd);
}

void SyncFolder(const std::filesystem::path& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) ThrowErrno("cannot open", folder);
  const int result = fsync(fd);
  close(fd);
  if (result != 0) ThrowErrno("cannot sync", folder);
}

}  // namespace

Artifact::Artifact(std::filesystem::path path, std::vector<ChunkSpec> chunks)
    : path_(std::move(path)), chunks_(std::move(chunks)), present_(chunks_.size()) {
  std::uint64_t offset = 0;
  for (const auto& it : chunks_) {
    offsets_.push_back(offset);
    offset += it.bytes;
  }
  const bool complete = std::filesystem::exists(path_);
  const auto file_path = complete ? path_ : partial();
  fd_ = open(file_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (fd_ < 0) ThrowErrno("cannot open", file_path);
  if (ftruncate(fd_, static_cast<off_t>(offset)) != 0) ThrowErrno("cannot size", file_path);
  VerifyPresent();
  sealed_ = complete && present_count_ == chunks_.size();
}

Artifact::~Artifact() {
  if (fd_ >= 0) close(fd_);
}

void Artifact::VerifyPresent() {
  std::string data;
  for (std::size_t i = 0; i < chunks_.size(); ++i) {
    data.resize(chunks_[i].bytes);
    ReadAt(fd_, data.data(), data.size(), offsets_[i], path_);
    if (Sha256(data) != chunks_[i].digest) continue;
    present_[i] = true;
    ++present_count_;
  }
}

bool Artifact::Write(std::size_t chunk, std::string_view data) {
  if (data.size() != chunks_[chunk].bytes || Sha256(data) != chunks_[chunk].digest) return false;
  if (Has(chunk)) return true;
  WriteAt(fd_, data, offsets_[chunk], path_);
  if (!present_[chunk].exchange(true, std::memory_order_acq_rel)) ++present_count_;
  return true;
}

std::string Artifact::Read(std::size_t chunk) const {
  std::string data(chunks_[chunk].bytes, '\0');
  ReadAt(fd_, data.data(), data.size(), offsets_[chunk], path_);
  return data;
}

void Artifact::Seal(std::string_view manifest) {
  if (present_count() != chunks_.size()) throw DiskError(path_.string() + " is not complete");
  if (fsync(fd_) != 0) ThrowErrno("cannot sync", path_);
  for (std::size_t i = 0; i < chunks_.size(); ++i) {
    if (Sha256(Read(i)) == chunks_[i].digest) continue;
    present_[i] = false;
    --present_count_;
    throw DiskError(path_.string() + " is damaged at offset " + std::to_string(offsets_[i]));
  }
  WriteSynced(path_.string() + ".manifest", manifest);
  if (!sealed()) {
    std::error_code ec;
    std::filesystem::rename(partial(), path_, ec);
    if (ec) throw DiskError("cannot rename " + partial().string() + ": " + ec.message());
  }
  SyncFolder(path_.parent_path());
  sealed_ = true;
}

ArtifactStore::ArtifactStore(std::filesystem::path folder, std::uint64_t byte_limit)
    : folder_(std::move(folder)), byte_limit_(byte_limit) {
  std::error_code ec;
  std::filesystem::create_directories(folder_, ec);
  if (ec) throw DiskError("cannot create " + folder_.string() + ": " + ec.message());
}

std::filesystem::path ArtifactStore::PathOf(const Digest& root) const {
  return std::filesystem::absolute(folder_ / root.Hex());
}

std::shared_ptr<Artifact> ArtifactStore::Open(const Digest& root, std::vector<ChunkSpec> chunks,
                                              std::size_t* copied) {
  if (copied != nullptr) *copied = 0;
  if (auto found = Find(root)) return found;
  std::uint64_t bytes = 0;
  for (const auto& it : chunks) bytes += it.bytes;
  if (bytes > byte_limit_) {
    throw DiskError("version " + root.Hex() + " has " + std::to_string(bytes) +
                    " bytes; the limit is " + std::to_string(byte_limit_));
  }
  auto artifact = std::make_shared<Artifact>(PathOf(root), std::move(chunks));
  for (std::size_t i = 0; i < artifact->chunk_count(); ++i) {
    if (artifact->Has(i)) continue;
    const auto data = ReadChunk(artifact->chunks()[i].digest);
    if (data && artifact->Write(i, *data) && copied != nullptr) ++*copied;
  }
  const std::scoped_lock lock(mutex_);
  artifacts_.emplace_back(root, artifact);
  for (std::size_t i = 0; i < artifact->chunk_count(); ++i) {
    locations_[artifact->chunks()[i].digest].push_back({artifact, i});
  }
  return artifact;
}

std::shared_ptr<Artifact> ArtifactStore::Find(const Digest& root) const {
  const std::scoped_lock lock(mutex_);
  for (const auto& [digest, artifact] : artifacts_) {
    if (digest == root) return artifact;
  }
  return nullptr;
}

std::optional<std::string> ArtifactStore::ReadChunk(const Digest& digest) const {
  std::vector<Location> locations;
  {
    const std::scoped_lock lock(mutex_);
    const auto it = locations_.find(digest);
    if (it == locations_.end()) return std::nullopt;
    locations = it->second;
  }
  for (const auto& location : locations) {
    const auto artifact = location.artifact.lock();
    if (artifact && artifact->Has(location.chunk)) return artifact->Read(location.chunk);
  }
  return std::nullopt;
}

void ArtifactStore::Evict(const std::vector<Digest>& keep) {
  const std::scoped_lock lock(mutex_);
  std::uint64_t bytes = 0;
  for (const auto& [root, artifact] : artifacts_) {
    for (const auto& it : artifact->chunks()) bytes += it.bytes;
  }
  for (auto it = artifacts_.begin(); it != artifacts_.end() && bytes > byte_limit_;) {
    if (std::find(keep.begin(), keep.end(), it->first) != keep.end()) {
      ++it;
      continue;
    }
    for (const auto& chunk : it->second->chunks()) bytes -= chunk.bytes;
    const auto path = it->second->path().string();
    it = artifacts_.erase(it);
    std::error_code ec;
    for (const char* suffix : {"", ".partial", ".manifest"}) {
      std::filesystem::remove(path + suffix, ec);
    }
  }
}

}  // namespace wagtailslip::disk
