#pragma once

#include "wagtailslip/base/error.h"

namespace wagtailslip::serving {

/// Thrown for an invalid service configuration or an invalid serving message.
class ServingError : public Error {
 public:
  using Error::Error;
};

}  // namespace wagtailslip::serving
