#pragma once

#include "wagtailslip/process/entry_settings.h"

namespace wagtailslip::process {

/// Runs an entry process until SIGTERM or SIGINT, then stops gracefully.
/// @return exit status of the program
/// @throws Error if the process cannot start
int RunEntry(const EntrySettings& settings);

}  // namespace wagtailslip::process
