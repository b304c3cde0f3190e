#pragma once

#include <string>
#include <vector>

namespace wagtailslip::cli {

/// Text table with a header line and columns padded to their widest cell.
std::string FormatTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows);

/// One line of a progress bar, without a line end.
/// @param done number of finished parts
/// @param total number of all parts
std::string FormatProgress(std::size_t done, std::size_t total, std::size_t width = 30);

}  // namespace wagtailslip::cli
