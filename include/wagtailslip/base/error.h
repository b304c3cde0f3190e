#pragma once

#include <stdexcept>
#include <string>

namespace wagtailslip {

/// Root of all errors that the system raises. Each layer derives its own type and converts the
/// errors of the layers below it.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Raised when an invariant does not hold. The process ends rather than go on with wrong state.
class InvariantViolation : public Error {
 public:
  using Error::Error;
};

/// Raises InvariantViolation.
/// @param condition text of the condition that does not hold
/// @param file source file
/// @param line source line
[[noreturn]] void RaiseInvariantViolation(const char* condition, const char* file, int line);

}  // namespace wagtailslip

/// Asserts an invariant in every build type.
#define WTS_INVARIANT(condition)                                              \
  do {                                                                        \
    if (!(condition)) [[unlikely]]                                            \
      ::wagtailslip::RaiseInvariantViolation(#condition, __FILE__, __LINE__); \
  } while (false)
