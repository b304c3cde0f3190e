#include "wagtailslip/disk/file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <utility>

namespace wagtailslip::disk {

File::File(std::string path, int flags) : path_(std::move(path)) {
  constexpr mode_t kMode = 0640;
  fd_ = ::open(path_.c_str(), flags | O_CLOEXEC, kMode);
  if (fd_ < 0) ThrowIoError("open", path_);
}

File::~File() { Close(); }

File::File(File&& other) noexcept
    : path_(std::move(other.path_)), fd_(std::exchange(other.fd_, -1)) {}

File& File::operator=(File&& other) noexcept {
  if (this != &other) {
    Close();
    path_ = std::move(other.path_);
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void File::Close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void File::WriteAt(std::uint64_t offset, std::string_view data) {
  while (!data.empty()) {
    const ssize_t n = ::pwrite(fd_, data.data(), data.size(), static_cast<off_t>(offset));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) ThrowIoError("write", path_);
    data.remove_prefix(static_cast<std::size_t>(n));
    offset += static_cast<std::uint64_t>(n);
  }
}

std::string File::ReadAll() const {
  std::string data(Size(), '\0');
  std::size_t done = 0;
  while (done < data.size()) {
    const ssize_t n =
        ::pread(fd_, data.data() + done, data.size() - done, static_cast<off_t>(done));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) ThrowIoError("read", path_);
    if (n == 0) break;
    done += static_cast<std::size_t>(n);
  }
  data.resize(done);
  return data;
}

std::uint64_t File::Size() const {
  struct stat status {};
  if (::fstat(fd_, &status) != 0) ThrowIoError("fstat", path_);
  return static_cast<std::uint64_t>(status.st_size);
}

void File::Truncate(std::uint64_t size) {
  if (::ftruncate(fd_, static_cast<off_t>(size)) != 0) ThrowIoError("ftruncate", path_);
}

void File::SyncData() {
  if (::fdatasync(fd_) != 0) ThrowIoError("fdatasync", path_);
}

void SyncFolder(const std::string& folder) {
  const File file(folder, O_RDONLY | O_DIRECTORY);
  if (::fsync(file.fd()) != 0) ThrowIoError("fsync", folder);
}

void ReplaceFile(const std::string& folder, const std::string& name, std::string_view data) {
  const std::string target = folder + "/" + name;
  const std::string temporary = target + ".tmp";
  {
    File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    file.WriteAt(0, data);
    if (::fsync(file.fd()) != 0) ThrowIoError("fsync", temporary);
  }
  if (::rename(temporary.c_str(), target.c_str()) != 0) ThrowIoError("rename", temporary);
  SyncFolder(folder);
}

void RemoveFile(const std::string& path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) ThrowIoError("unlink", path);
}

}  // namespace wagtailslip::disk
