#pragma once

#include "wagtailslip/base/error.h"

namespace wagtailslip::disk {

/// A file under the data folder cannot be read, written or synced, or holds damaged data.
class DiskError : public Error {
 public:
  using Error::Error;
};

}  // namespace wagtailslip::disk
