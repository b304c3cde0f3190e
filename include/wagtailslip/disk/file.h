#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wagtailslip/disk/error.h"

namespace wagtailslip::disk {

/// Owns an open file descriptor. Operations throw IoError or DiskFullError on failure.
class File {
 public:
  File() = default;
  /// @param flags as for open(2); O_CLOEXEC is added
  File(std::string path, int flags);
  ~File();
  File(File&& other) noexcept;
  File& operator=(File&& other) noexcept;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  const std::string& path() const { return path_; }
  void WriteAt(std::uint64_t offset, std::string_view data);
  /// Reads the whole file.
  std::string ReadAll() const;
  std::uint64_t Size() const;
  void Truncate(std::uint64_t size);
  /// Syncs the data and the file size with fdatasync(2).
  void SyncData();
  void Close();

 private:
  std::string path_;
  int fd_ = -1;
};

/// Syncs a folder, which makes file creations, renames and removals in it durable.
void SyncFolder(const std::string& folder);

/// Replaces a file atomically: after a crash it has either the old or the new content. Writes and
/// syncs a temporary file, renames it and syncs the folder.
void ReplaceFile(const std::string& folder, const std::string& name, std::string_view data);

/// Removes a file. A missing file is not an error.
void RemoveFile(const std::string& path);

}  // namespace wagtailslip::disk
