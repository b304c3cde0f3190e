#include "request_deadlines.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace wagtailslip::ingress {
namespace {

using std::chrono::seconds;

TimePoint At(Duration since_start) { return TimePoint(seconds(100) + since_start); }

class RequestDeadlinesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestDeadlinesTest);
  CPPUNIT_TEST(EndsRequestsAtTheirDeadlines);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that outlive their deadline, or the process that stops.
  void EndsRequestsAtTheirDeadlines() {
    struct Row {
      const char* name;
      TimePoint answer_by;
      Duration now;
      std::string expected;
    };
    const Row rows[] = {
        {"before all deadlines", TimePoint::max(), seconds(0), ""},
        {"at one of them", TimePoint::max(), seconds(1), "a"},
        {"two have the same", TimePoint::max(), seconds(2), "abc"},
        {"removed while they expire", TimePoint::max(), seconds(9), "abce"},
        {"before a stop", At(seconds(2)), seconds(1), "a"},
        {"the process stops", At(seconds(0)), seconds(0), "abce"},
    };
    for (const auto& row : rows) {
      RequestDeadlines deadlines;
      std::string ended;
      deadlines.Add(At(seconds(1)), [&] { ended += 'a'; });
      deadlines.Add(At(seconds(2)), [&] { ended += 'b'; });
      const auto removed = deadlines.Add(At(seconds(3)), [&] { ended += 'd'; });
      deadlines.Add(At(seconds(2)), [&] {
        ended += 'c';
        deadlines.Remove(removed);
      });
      deadlines.Add(At(seconds(4)), [&] { ended += 'e'; });
      deadlines.Expire(row.answer_by, At(row.now));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected, ended);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestDeadlinesTest);

}  // namespace
}  // namespace wagtailslip::ingress
