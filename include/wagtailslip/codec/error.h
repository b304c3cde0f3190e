#pragma once

#include "wagtailslip/base/error.h"

namespace wagtailslip::codec {

/// Bytes or text that do not decode to a valid value.
class CodecError : public Error {
 public:
  using Error::Error;
};

}  // namespace wagtailslip::codec
