#pragma once

#include <cstdint>
#include <string>

#include "wagtailslip/base/error.h"

namespace wagtailslip::disk {

/// Base class of storage errors. A replica stops after an error of its log, so that it never
/// acknowledges entries that were not synced.
class DiskError : public Error {
 public:
  using Error::Error;
};

/// A file operation failed.
class IoError : public DiskError {
 public:
  /// @param operation name of the system call
  /// @param path file
  /// @param error_number value of errno
  IoError(const std::string& operation, const std::string& path, int error_number);
  int error_number() const { return error_number_; }

 private:
  int error_number_;
};

/// The disk is full, or the quota or the file size limit is reached.
class DiskFullError : public IoError {
 public:
  using IoError::IoError;
};

/// Another process uses the data folder.
class FolderLockedError : public DiskError {
 public:
  using DiskError::DiskError;
};

/// Acknowledged data is damaged or missing. The replica must not start from this folder.
class DamagedDataError : public DiskError {
 public:
  DamagedDataError(const std::string& path, std::uint64_t offset, const std::string& what);
  const std::string& path() const { return path_; }
  std::uint64_t offset() const { return offset_; }

 private:
  std::string path_;
  std::uint64_t offset_;
};

/// Throws DiskFullError or IoError for the current value of errno.
[[noreturn]] void ThrowIoError(const std::string& operation, const std::string& path);

}  // namespace wagtailslip::disk
