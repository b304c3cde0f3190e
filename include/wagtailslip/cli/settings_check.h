#pragma once

#include <string>
#include <vector>

#include "wagtailslip/process/agent_settings.h"
#include "wagtailslip/process/entry_settings.h"

namespace wagtailslip::cli {

/// One setting that may not be used.
struct SettingFault {
  std::string setting;
  std::string value;
  /// What is allowed.
  std::string allowed;
};

/// All faults of an entry process's settings; empty if it may start.
std::vector<SettingFault> CheckSettings(const process::EntrySettings& settings);

/// All faults of an agent's settings; empty if it may start.
std::vector<SettingFault> CheckSettings(const process::AgentSettings& settings);

/// One line for each fault.
std::string FormatFaults(const std::vector<SettingFault>& faults);

}  // namespace wagtailslip::cli
