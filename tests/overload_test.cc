// What becomes of callers when they ask for more than the engines can do.
#include <cppunit/extensions/HelperMacros.h>

#include "overload_model.h"

namespace wagtailslip::benchmark {
namespace {

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(AnswersInTimeOrNotAtAll);
  CPPUNIT_TEST(ServesAllBelowTheLimit);
  CPPUNIT_TEST_SUITE_END();

  static std::string Describe(const OverloadResult& result) {
    return std::to_string(result.InTimeFraction()) + " in time, " +
           std::to_string(result.LateFraction()) + " late, " +
           std::to_string(result.RefusedFraction()) + " refused, median " +
           std::to_string(result.median_ms) + " ms";
  }

 public:
  // Pattern: sustained overload by a third. Every engine's batch is full, each request waits as
  // long as it may and is then answered late, although the engines could answer three quarters of
  // them in time. The bounds are the targets for the users' deployments.
  void AnswersInTimeOrNotAtAll() {
    struct Case {
      const char* name;
      std::size_t processes;
      std::size_t engines;
    };
    for (const auto& [name, processes, engines] :
         {Case{"4 processes, 14 engines", 4, 14}, Case{"14 processes, 45 engines", 14, 45}}) {
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        OverloadScenario overload;
        overload.processes = processes;
        overload.engines = engines;
        overload.kinds = TypicalRequestKinds();
        overload.load = static_cast<double>(engines) / 14;
        overload.seed = seed;
        const auto result = RunOverload(overload);
        CPPUNIT_ASSERT_MESSAGE(std::string(name) + ": " + Describe(result),
                               result.InTimeFraction() >= 0.65 && result.LateFraction() <= 0.12);
      }
    }
  }

  // Guards against limits that turn callers away while the engines have room.
  void ServesAllBelowTheLimit() {
    OverloadScenario overload;
    overload.kinds = TypicalRequestKinds();
    overload.load = 0.5;
    const auto result = RunOverload(overload);
    CPPUNIT_ASSERT_MESSAGE(Describe(result), result.InTimeFraction() >= 0.95);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace wagtailslip::benchmark
