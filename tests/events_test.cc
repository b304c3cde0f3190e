#include "wagtailslip/process/events.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cctype>
#include <fstream>
#include <string>
#include <vector>

namespace wagtailslip::process {
namespace {

constexpr const char* kSeverityNames[] = {"info", "warning", "error"};

/// Cells of a Markdown table row "| a | b |", without the blanks around them.
std::vector<std::string> SplitRow(const std::string& line) {
  std::vector<std::string> cells;
  std::size_t from = 1;
  while (from < line.size()) {
    const std::size_t end = line.find('|', from);
    if (end == std::string::npos) break;
    const std::string cell = line.substr(from, end - from);
    const std::size_t first = cell.find_first_not_of(' ');
    const std::size_t last = cell.find_last_not_of(' ');
    cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    from = end + 1;
  }
  return cells;
}

/// Rows of docs/events.md that begin with a number.
std::vector<std::vector<std::string>> ReadDocumentedRows() {
  const std::string path = std::string(WTS_DOCS_FOLDER) + "/events.md";
  std::ifstream file(path);
  CPPUNIT_ASSERT_MESSAGE("cannot read " + path, file.good());
  std::vector<std::vector<std::string>> rows;
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with('|')) continue;
    auto cells = SplitRow(line);
    const bool numbered = !cells.empty() && !cells[0].empty() &&
                          std::isdigit(static_cast<unsigned char>(cells[0][0])) != 0;
    if (numbered) rows.push_back(std::move(cells));
  }
  return rows;
}

class EventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsTest);
  CPPUNIT_TEST(DocumentationListsTheCatalogue);
  CPPUNIT_TEST(NumbersAscend);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an event without documentation, and against a row whose name, severity or
  // meaning is not the one that the program logs.
  void DocumentationListsTheCatalogue() {
    const auto catalogue = EventCatalogue();
    const auto rows = ReadDocumentedRows();
    for (std::size_t i = 0; i < catalogue.size() && i < rows.size(); ++i) {
      const EventRow& event = catalogue[i];
      const std::string number = std::to_string(static_cast<int>(event.event));
      const std::vector<std::string>& row = rows[i];
      CPPUNIT_ASSERT_EQUAL_MESSAGE("cells of row " + row[0], std::size_t{5}, row.size());
      CPPUNIT_ASSERT_EQUAL(number, row[0]);
      CPPUNIT_ASSERT_EQUAL("`" + std::string(event.name) + "`", row[1]);
      CPPUNIT_ASSERT_EQUAL(std::string(kSeverityNames[static_cast<int>(event.severity)]), row[2]);
      CPPUNIT_ASSERT_EQUAL(std::string(event.meaning), row[3]);
      CPPUNIT_ASSERT_MESSAGE("event " + number + " names no action", !row[4].empty());
    }
    CPPUNIT_ASSERT_EQUAL(catalogue.size(), rows.size());
  }

  // Guards against a number that is used twice, which would make alerts ambiguous.
  void NumbersAscend() {
    const auto catalogue = EventCatalogue();
    for (std::size_t i = 1; i < catalogue.size(); ++i) {
      CPPUNIT_ASSERT(catalogue[i - 1].event < catalogue[i].event);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

}  // namespace
}  // namespace wagtailslip::process
