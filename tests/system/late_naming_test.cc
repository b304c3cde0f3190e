// Processes that learn late that a version of weights was named.
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "cluster.h"

namespace wagtailslip::system_test {
namespace {

struct Row {
  const char* name;
  Duration pause;
};
/// Links are lost if a process stands still for longer than their idle timeout of 1.5 s.
const Row kRows[] = {
    {"shorter than the idle timeout of links", 1200ms},
    {"longer than the idle timeout of links", 2500ms},
};
/// Time after the pause in which the process has to know the time of naming.
constexpr Duration kSettleTime = 1s;

double MillisecondsSince(std::chrono::steady_clock::time_point since) {
  return ToMilliseconds(std::chrono::steady_clock::now() - since);
}

class LateNamingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateNamingTest);
  CPPUNIT_TEST(APausedProcessCountsFromTheNaming);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that begin on overtaken weights after the propagation bound, because
  // the message that named the newer ones waited at an ingress process that stood still, and the
  // process took them to be named only when it read the message.
  void APausedProcessCountsFromTheNaming() {
    for (const auto& row : kRows) {
      Cluster cluster;
      cluster.StartDeployment(3, 1);
      cluster.WaitFor("a control process leads", [&] { return !cluster.ControlLeader().empty(); });
      cluster.WaitFor("i1 has links", [&] {
        return cluster.LogLines("i1", "\"link.up\"").size() >= cluster.controls().size();
      });
      cluster.Freeze("i1");
      const Json body{{"model-name", "m"}, {"version", 2}};
      cluster.WaitFor("the version is named", [&] {
        return Send(cluster.Address(cluster.ControlLeader()), verb::post, "/version-put",
                    body.dump())
                   .status == 200;
      });
      const auto named = std::chrono::steady_clock::now();
      std::this_thread::sleep_for(row.pause);
      cluster.Continue("i1");
      std::this_thread::sleep_for(kSettleTime);
      const double since_naming = MillisecondsSince(named);
      const Reply reply = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state");
      const Json dump = reply.Body();
      const double believed = dump["weights_targets"]["m"]["2"]["named_ms_ago"].get<double>();
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ": named " + std::to_string(since_naming) +
                                 " ms ago, believed " + std::to_string(believed),
                             believed >= since_naming);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LateNamingTest);

}  // namespace
}  // namespace wagtailslip::system_test
