#pragma once

#include <string>
#include <vector>

#include "wagtailslip/config/record.h"

namespace wagtailslip::config {

/// An invalid field and the reason why it is rejected.
struct ValidationError {
  std::string field;
  std::string message;
};

/// Validates the fields of a command or rule without regard to the current state. Used by the state
/// machine, and by the planners' sheet check before a sheet is submitted.
/// @return all errors; empty if the fields are valid
std::vector<ValidationError> Validate(const CreateRollout& command);
std::vector<ValidationError> Validate(const Rule& rule);

}  // namespace wagtailslip::config
