#pragma once

#include "wagtailslip/base/error.h"

namespace wagtailslip::serving {

/// A service configuration that is not valid, or a message about serving that cannot be used.
class ServingError : public Error {
 public:
  using Error::Error;
};

}  // namespace wagtailslip::serving
