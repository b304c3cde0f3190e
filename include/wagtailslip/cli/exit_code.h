#pragma once

#include "wagtailslip/base/enum_table.h"

namespace wagtailslip::cli {

/// Exit status of the program.
enum class ExitCode {
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kConflict = 3,
  kRejected = 4,
  kUnreachable = 5,
  kNotFound = 6,
  kUnauthorized = 7,
  kRolloutFailed = 8,
};

/// Meaning of each exit status, printed by `wagtailslip --help`.
inline constexpr EnumTable<ExitCode, 9> kExitCodes{
    {{{ExitCode::kOk, "the command succeeded"},
      {ExitCode::kInternal, "internal error"},
      {ExitCode::kUsage, "wrong flags or settings"},
      {ExitCode::kConflict, "another command changed the object first"},
      {ExitCode::kRejected, "the system refused the command; nothing changed"},
      {ExitCode::kUnreachable, "no entry process answered"},
      {ExitCode::kNotFound, "the named object does not exist"},
      {ExitCode::kUnauthorized, "the token is missing, wrong or lacks the role"},
      {ExitCode::kRolloutFailed, "the watched rollout did not complete"}}}};

}  // namespace wagtailslip::cli
