#pragma once

#include <string>
#include <variant>

#include "wagtailslip/sheet/sheet.h"

namespace wagtailslip::sheet {

/// Reads "date time" in a zone, with an optional AM or PM and an optional UTC offset.
/// @return the time, or why the text cannot be read
std::variant<UtcTime, std::string> ReadTime(const std::string& text, const Options& options);

/// Local text "YYYY-MM-DD HH:MM:SS +HHMM" of a time.
std::string FormatTime(UtcTime time, const cctz::time_zone& zone);

}  // namespace wagtailslip::sheet
