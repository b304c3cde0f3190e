#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/sheet/sheet.h"

namespace wagtailslip::sheet {

/// Cells of one row.
struct TableRow {
  std::size_t number = 0;
  std::vector<std::string> cells;

  bool Blank() const;
};

/// Rows of a CSV text, without blank ones.
struct Table {
  std::vector<TableRow> rows;
  std::vector<Fault> faults;
};

/// Splits a CSV text into cells: byte order mark, line ends and delimiter are recognised.
Table ReadTable(std::string_view csv);

}  // namespace wagtailslip::sheet
