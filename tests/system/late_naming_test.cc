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
/// Time after the pause in which the process has to know the time of naming. It never learns it if
/// the message counts.
constexpr Duration kSettleTime = 8s;

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
        const std::string leader = cluster.ControlLeader();
        return !leader.empty() &&
               Send(cluster.Address(leader), verb::post, "/version-put", body.dump()).status == 200;
      });
      const auto named = std::chrono::steady_clock::now();
      std::this_thread::sleep_for(row.pause);
      cluster.Continue("i1");
      cluster.WaitFor(
          std::string(row.name) + ": i1 counts from the naming",
          [&] {
            const double since_naming = MillisecondsSince(named);
            const Reply reply = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state");
            const Json dump = reply.Body();
            if (!dump.is_object() || !dump["weights_targets"].contains("m")) return false;
            const Json& target = dump["weights_targets"]["m"]["2"];
            return target["named_ms_ago"].get<double>() >= since_naming;
          },
          kSettleTime);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LateNamingTest);

}  // namespace
}  // namespace wagtailslip::system_test
