// Endpoints that leave while processes stand still, and calls to leave that arrive late, on real
// processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cluster.h"

namespace wagtailslip::system_test {
namespace {

constexpr const char* kService = "bookings";

class EndpointLeaveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointLeaveTest);
  CPPUNIT_TEST(AProcessThatStoodStillLearnsWhoHasLeft);
  CPPUNIT_TEST(AnEndpointThatGoesOnAfterALateCallIsUsedAgain);
  CPPUNIT_TEST_SUITE_END();

  static void Start(Cluster& cluster) {
    cluster.StartDeployment(3, 1);
    cluster.SetConfig(
        {{"version", 1},
         {"route-table", Json::array({{{"name", "r"},
                                       {"host", "h.example"},
                                       {"path-prefix", "/"},
                                       {"route-type", "idempotent"},
                                       {"timeout-ms", 1000},
                                       {"target-latency-ms", 300},
                                       {"backend", kService},
                                       {"max-attempts", 2},
                                       {"public", true}}})},
         {"backends", Json::array({{{"name", kService}, {"max-connections", 100}}})}});
  }

  static bool Announce(const Cluster& cluster, const std::string& control, int number,
                       int sequence) {
    const std::string id = "e" + std::to_string(number);
    const Json announcement{{"backend", kService},
                            {"address", cluster.ReplicaAddress(number)},
                            {"zone", "za"},
                            {"version", "v1"},
                            {"batch-slots", 4},
                            {"state", "ready"},
                            {"sequence", sequence},
                            {"born", 1000},
                            {"warmup-remaining-ms", 0}};
    return Send(cluster.Address(control), verb::post, "/replicas/" + id + "/heartbeat",
                announcement.dump())
               .status == 200;
  }

  static void WaitAnnounced(const Cluster& cluster, int number) {
    cluster.WaitFor("an endpoint is announced", [&] { return Announce(cluster, "c1", number, 1); });
    WaitKnown(cluster, number, true);
  }

  static void WaitLeft(const Cluster& cluster, const std::string& control, int number) {
    cluster.WaitFor("the call to leave is acknowledged", [&] {
      return Send(cluster.Address(control), verb::post,
                  "/replicas/e" + std::to_string(number) + "/deregister")
                 .status == 200;
    });
  }

  /// Waits until each control process has logged an event of its link to the ingress process.
  static void WaitIngressLinks(const Cluster& cluster, const std::string& event) {
    const auto logged = [&](const std::string& control) {
      const auto lines = cluster.LogLines(control, event);
      return std::any_of(lines.begin(), lines.end(), [](const std::string& line) {
        return line.find("\"kind\":\"ingress\"") != std::string::npos;
      });
    };
    cluster.WaitFor(event, [&] {
      return std::all_of(cluster.controls().begin(), cluster.controls().end(), logged);
    });
  }

  static void WaitKnown(const Cluster& cluster, int number, bool known) {
    cluster.WaitFor(
        "endpoint " + std::to_string(number) + (known ? " is in use" : " is not in use"), [&] {
          const Json state = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state").Body();
          return state.is_object() &&
                 state["endpoints"].contains("e" + std::to_string(number)) == known;
        });
  }

 public:
  // Guards against requests to an endpoint whose end was sent over a link that was closed because
  // its receiver stood still. Endpoints of a service without any announcements do not expire, so
  // nothing else takes it out of use. The process that acknowledged the end is gone as well.
  void AProcessThatStoodStillLearnsWhoHasLeft() {
    Cluster cluster;
    Start(cluster);
    WaitAnnounced(cluster, 0);
    WaitAnnounced(cluster, 1);
    WaitIngressLinks(cluster, "link.up");
    cluster.Freeze("i1");
    WaitIngressLinks(cluster, "link.lost");
    WaitLeft(cluster, "c1", 0);
    cluster.Kill("c1");
    cluster.Continue("i1");
    WaitKnown(cluster, 0, false);
    WaitKnown(cluster, 1, true);
  }

  // Guards against an endpoint that is out of use for good because a call to leave of its
  // predecessor arrived late.
  void AnEndpointThatGoesOnAfterALateCallIsUsedAgain() {
    Cluster cluster;
    Start(cluster);
    WaitAnnounced(cluster, 0);
    WaitLeft(cluster, "c2", 0);
    WaitKnown(cluster, 0, false);
    int sequence = 1;
    cluster.WaitFor("the endpoint is in use again", [&] {
      Announce(cluster, "c3", 0, ++sequence);
      const Json state = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state").Body();
      return state.is_object() && state["endpoints"].contains("e0");
    });
    CPPUNIT_ASSERT(!cluster.LogLines("c3", "service_endpoint.restored").empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndpointLeaveTest);

}  // namespace
}  // namespace wagtailslip::system_test
