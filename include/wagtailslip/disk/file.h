#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wagtailslip/disk/error.h"

namespace wagtailslip::disk {

/// An open file. Every operation raises IoError or DiskFullError when it fails.
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
  /// The whole content.
  std::string ReadAll() const;
  std::uint64_t Size() const;
  void Truncate(std::uint64_t size);
  /// fdatasync: data and the file size.
  void SyncData();
  void Close();

 private:
  std::string path_;
  int fd_ = -1;
};

/// Makes creations, renames and removals in a folder durable.
void SyncFolder(const std::string& folder);

/// Replaces a file so that a crash leaves the old or the new content: temporary file, fsync,
/// rename, fsync of the folder.
void ReplaceFile(const std::string& folder, const std::string& name, std::string_view data);

void RemoveFile(const std::string& path);

}  // namespace wagtailslip::disk
