#include "table.h"

#include <csv.h>

#include <algorithm>
#include <array>
#include <memory>

namespace wagtailslip::sheet {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
constexpr std::array<char, 3> kDelimiters = {',', ';', '\t'};

/// Makes every line end LF, because libcsv reports CR and LF of one line end as two rows.
std::string NormaliseLineEnds(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\r') {
      out += text[i];
      continue;
    }
    out += '\n';
    if (i + 1 < text.size() && text[i + 1] == '\n') ++i;
  }
  return out;
}

/// The delimiter that occurs most often outside quotes in the first row with content.
char FindDelimiter(std::string_view text) {
  std::array<std::size_t, kDelimiters.size()> counts{};
  bool quoted = false;
  for (const char c : text) {
    if (c == '"') quoted = !quoted;
    if (quoted) continue;
    if (c == '\n' && *std::max_element(counts.begin(), counts.end()) > 0) break;
    for (std::size_t i = 0; i < kDelimiters.size(); ++i) counts[i] += c == kDelimiters[i];
  }
  return kDelimiters[std::max_element(counts.begin(), counts.end()) - counts.begin()];
}

/// Whether the bytes are well-formed UTF-8 without a NUL.
bool Utf8Ok(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    std::size_t length = 0;
    if (lead != 0 && lead < 0x80) length = 1;
    if (lead >= 0xc2 && lead <= 0xdf) length = 2;
    if (lead >= 0xe0 && lead <= 0xef) length = 3;
    if (lead >= 0xf0 && lead <= 0xf4) length = 4;
    if (length == 0 || i + length > text.size()) return false;
    for (std::size_t k = 1; k < length; ++k) {
      if ((static_cast<unsigned char>(text[i + k]) & 0xc0) != 0x80) return false;
    }
    i += length;
  }
  return true;
}

/// Collects libcsv's callbacks.
struct Collector {
  Table table;
  TableRow row{.number = 1};

  static void OnCell(void* data, std::size_t size, void* self) {
    auto& row = static_cast<Collector*>(self)->row;
    row.cells.emplace_back(data == nullptr ? "" : std::string(static_cast<char*>(data), size));
  }
  static void OnRow(int /*terminator*/, void* self) {
    auto* collector = static_cast<Collector*>(self);
    const std::size_t number = collector->row.number;
    if (!collector->row.Blank()) collector->table.rows.push_back(std::move(collector->row));
    collector->row = {.number = number + 1};
  }
};

struct ParserDeleter {
  void operator()(csv_parser* parser) const {
    csv_free(parser);
    delete parser;
  }
};

}  // namespace

bool TableRow::Blank() const {
  return std::all_of(cells.begin(), cells.end(), [](const auto& cell) { return cell.empty(); });
}

Table ReadTable(std::string_view csv) {
  Collector collector;
  if (csv.size() > kSheetBytes) {
    collector.table.faults.push_back({0, "", "the sheet is larger than 4 MiB"});
    return collector.table;
  }
  if (csv.starts_with(kByteOrderMark)) csv.remove_prefix(kByteOrderMark.size());
  std::string text = NormaliseLineEnds(csv);
  std::string_view rest = text;
  char delimiter = 0;
  // Some spreadsheet programs name the delimiter in a first line of its own.
  if (rest.size() > 5 && rest.starts_with("sep=") && rest[5] == '\n') {
    delimiter = rest[4];
    rest.remove_prefix(6);
    collector.row.number = 2;
  }
  if (delimiter == 0) delimiter = FindDelimiter(rest);
  std::unique_ptr<csv_parser, ParserDeleter> parser(new csv_parser);
  if (csv_init(parser.get(), CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0) {
    throw SheetError("libcsv does not start");
  }
  csv_set_delim(parser.get(), static_cast<unsigned char>(delimiter));
  std::size_t parsed = csv_parse(parser.get(), rest.data(), rest.size(), Collector::OnCell,
                                 Collector::OnRow, &collector);
  bool ok = parsed == rest.size();
  if (ok) {
    ok = csv_fini(parser.get(), Collector::OnCell, Collector::OnRow, &collector) == 0;
  }
  if (!ok) {
    if (csv_error(parser.get()) != CSV_EPARSE) {
      throw SheetError(csv_strerror(csv_error(parser.get())));
    }
    const std::string what = parsed == rest.size()
                                 ? "a quoted cell is not closed; the sheet may be cut off"
                                 : "a quote within a cell must be doubled, and the cell quoted";
    collector.table.faults.push_back({collector.row.number, "", what});
  }
  for (const auto& row : collector.table.rows) {
    if (!std::all_of(row.cells.begin(), row.cells.end(), Utf8Ok)) {
      collector.table.faults.push_back(
          {row.number, "", "the text is not UTF-8; export the sheet as CSV UTF-8"});
    }
  }
  return std::move(collector.table);
}

}  // namespace wagtailslip::sheet
