#include "wagtailslip/cli/table.h"

#include <algorithm>

namespace wagtailslip::cli {
namespace {

constexpr std::size_t kGap = 2;

void AppendRow(std::string& text, const std::vector<std::string>& cells,
               const std::vector<std::size_t>& widths) {
  for (std::size_t i = 0; i < cells.size(); ++i) {
    text += cells[i];
    if (i + 1 < cells.size()) text.append(widths[i] - cells[i].size() + kGap, ' ');
  }
  text += '\n';
}

}  // namespace

std::string FormatTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  widths.reserve(header.size());
  for (const auto& it : header) widths.push_back(it.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < widths.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  AppendRow(text, header, widths);
  for (const auto& row : rows) AppendRow(text, row, widths);
  return text;
}

std::string FormatProgress(std::size_t done, std::size_t total, std::size_t width) {
  const std::size_t filled = total == 0 ? 0 : width * done / total;
  return "[" + std::string(filled, '#') + std::string(width - filled, ' ') + "] " +
         std::to_string(done) + "/" + std::to_string(total);
}

}  // namespace wagtailslip::cli
