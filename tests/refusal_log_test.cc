#include "refusal_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace wagtailslip::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration d) { return TimePoint(d + seconds(1000)); }

class RefusalLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalLogTest);
  CPPUNIT_TEST(LogsOneLineOfAWriterAndMinute);
  CPPUNIT_TEST(BoundsTheNumberOfWriters);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a writer of another system that fills the log with its announcements, and
  // against one that hides those of another.
  void LogsOneLineOfAWriterAndMinute() {
    RefusalLog log;
    struct Row {
      Duration at;
      const char* writer;
      // 0 if there is no line.
      std::uint64_t refused;
    };
    const Row rows[] = {
        {seconds(0), "a", 1},  {seconds(1), "a", 0},  {seconds(2), "b", 1},
        {seconds(59), "a", 0}, {seconds(60), "a", 3}, {seconds(61), "b", 0},
        {seconds(62), "b", 2}, {seconds(63), "a", 0}, {seconds(500), "a", 2},
    };
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.writer, row.refused,
                                   log.Add(row.writer, At(row.at)).value_or(0));
    }
  }

  // Guards against a writer that fills the log, and the memory, with ever new ids.
  void BoundsTheNumberOfWriters() {
    RefusalLog log;
    std::size_t lines = 0;
    // 1000 ids a second for 3 minutes; lines are due at 0, 60 and 120 s.
    for (int i = 0; i < 180'000; ++i) {
      if (log.Add("w" + std::to_string(i), At(milliseconds(i)))) ++lines;
    }
    CPPUNIT_ASSERT_EQUAL(3 * RefusalLog::kMaxWriters, lines);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RefusalLogTest);

}  // namespace
}  // namespace wagtailslip::control
