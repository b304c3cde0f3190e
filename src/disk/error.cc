#include "wagtailslip/disk/error.h"

#include <cerrno>
#include <system_error>

namespace wagtailslip::disk {

IoError::IoError(const std::string& operation, const std::string& path, int error_number)
    : DiskError(operation + " of " + path +
                " failed: " + std::generic_category().message(error_number)),
      error_number_(error_number) {}

DamagedDataError::DamagedDataError(const std::string& path, std::uint64_t offset,
                                   const std::string& what)
    : DiskError(path + " at offset " + std::to_string(offset) + ": " + what),
      path_(path),
      offset_(offset) {}

void ThrowIoError(const std::string& operation, const std::string& path) {
  const int error_number = errno;
  if (error_number == ENOSPC || error_number == EDQUOT || error_number == EFBIG) {
    throw DiskFullError(operation, path, error_number);
  }
  throw IoError(operation, path, error_number);
}

}  // namespace wagtailslip::disk
