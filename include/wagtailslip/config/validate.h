#pragma once

#include <string>
#include <vector>

#include "wagtailslip/config/record.h"

namespace wagtailslip::config {

/// A field that cannot be accepted and why.
struct ValidationError {
  std::string field;
  std::string message;
};

/// Checks a command by itself, without the present state. Used by the state machine and, ahead of
/// it, by the check of the planners' sheet.
/// @return all faults; empty if the command is well formed
std::vector<ValidationError> Validate(const CreateRollout& command);
std::vector<ValidationError> Validate(const Rule& rule);

}  // namespace wagtailslip::config
