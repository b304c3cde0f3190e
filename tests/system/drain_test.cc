// Drained endpoints and stopped entry processes on real processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <thread>

#include "stream_load.h"

namespace wagtailslip::system_test {
namespace {

/// Stated bound after which a departing endpoint gets no new work.
constexpr Duration kDrainBound = 2s;

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(DrainedEndpointGetsNoNewWork);
  CPPUNIT_TEST(StopCutsNoStream);
  CPPUNIT_TEST_SUITE_END();

  static void StartAll(Cluster& cluster) {
    cluster.StartEntries();
    for (int i = 1; i <= 2; ++i) {
      cluster.StartEngine(i, "dispatch", "v1",
                          {"--token-ms", "10", "--first-token-ms", "5", "--slots", "64"});
    }
    cluster.WaitReady(cluster.entries(), 2);
  }

 public:
  // Guards against an entry process that still routes to an endpoint after its drain.
  void DrainedEndpointGetsNoNewWork() {
    Cluster cluster;
    StartAll(cluster);
    StreamLoad load(cluster, "dispatch", cluster.entries(), 8, 10);
    cluster.WaitFor("both engines serve",
                    [&] { return load.complete() >= 50 && load.Endpoints().size() == 2; });
    Json command;
    command["request_id"] = "drain-1";
    command["base_revision"] = cluster.Get("e2", "/v1/endpoints/g1")["command_revision"];
    const auto reply =
        Send(cluster.Address("e2"), verb::post, "/v1/endpoints/g1/drain", command.dump());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.response.body, 200U, reply.status);
    std::this_thread::sleep_for(kDrainBound);
    const auto requests = [&] {
      return cluster.Get("m1", "/counters")["requests"].get<std::uint64_t>();
    };
    const auto before = requests();
    CPPUNIT_ASSERT(before > 0);
    const auto complete = load.complete();
    cluster.WaitFor("more streams complete", [&] { return load.complete() >= complete + 400; });
    const auto after = requests();
    load.Finish();
    std::cout << load.complete() << " streams, " << after - before << " on the drained endpoint\n";
    CPPUNIT_ASSERT_EQUAL(before, after);
    for (const auto& it : load.Faults()) CPPUNIT_FAIL(it);
  }

  // Guards against a graceful stop that cuts streams in progress.
  void StopCutsNoStream() {
    constexpr std::size_t kStreams = 8;
    Cluster cluster;
    StartAll(cluster);
    const std::string name = cluster.WaitLeader();
    StreamLoad load(cluster, "dispatch", {name}, kStreams, 1200);
    cluster.WaitFor("all streams run", [&] {
      std::uint64_t running = 0;
      for (const char* agent : {"g1", "g2"}) {
        const Json view = cluster.Get(name, std::string("/v1/endpoints/") + agent);
        if (view.is_object()) running += view.value("running", 0);
      }
      return running == kStreams;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load.complete());
    cluster.Stop(name);
    load.Finish();
    CPPUNIT_ASSERT_EQUAL(0, cluster.WaitExit(name));
    std::cout << load.complete() << " streams complete over the stop of " << name << "\n";
    for (const auto& it : load.Faults()) CPPUNIT_FAIL(it);
    CPPUNIT_ASSERT_EQUAL(kStreams, load.complete());
    cluster.WaitLeader();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

}  // namespace
}  // namespace wagtailslip::system_test
