#include "wagtailslip/base/error.h"

namespace wagtailslip {

void RaiseInvariantViolation(const char* condition, const char* file, int line) {
  throw InvariantViolation(std::string("invariant violated: ") + condition + " at " + file + ":" +
                           std::to_string(line));
}

}  // namespace wagtailslip
