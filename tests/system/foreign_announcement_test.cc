// Announcements of other writers under the addresses and ids of endpoints, on control and ingress
// processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include "cluster.h"

namespace wagtailslip::system_test {
namespace {

constexpr const char* kService = "bookings";
constexpr const char* kForeignService = "nobody's";
constexpr std::int64_t kStartedMs = 1000;

Json Config(int version, const char* service) {
  return {{"version", version},
          {"route-table", Json::array({{{"name", "r"},
                                        {"host", "h.example"},
                                        {"path-prefix", "/"},
                                        {"route-type", "idempotent"},
                                        {"timeout-ms", 1000},
                                        {"backend", service},
                                        {"max-attempts", 2},
                                        {"public", true}}})},
          {"backends", Json::array({{{"name", service}, {"max-connections", 100}}})}};
}

struct Announcement {
  std::string id;
  const char* service = kService;
  std::int64_t started_ms = kStartedMs;
  int sequence = 1;
};

/// What an endpoint, or another writer, says of itself at the address of replica `replica`.
Json Body(const Cluster& cluster, const Announcement& it, int replica = 0) {
  return {{"backend", it.service},
          {"address", cluster.ReplicaAddress(replica)},
          {"zone", "za"},
          {"version", "v1"},
          {"batch-slots", 4},
          {"state", "ready"},
          {"warmup-remaining-ms", 0},
          {"sequence", it.sequence},
          {"born", it.started_ms}};
}

/// Announces an endpoint, or another writer, at the address of replica 0.
void Announce(const Cluster& cluster, const std::string& control, const Announcement& it) {
  const Json body = Body(cluster, it);
  cluster.WaitFor("an announcement is acknowledged", [&] {
    return Send(cluster.Address(control), verb::post, "/replicas/" + it.id + "/heartbeat",
                body.dump())
               .status == 200;
  });
}

/// Whether an ingress process has the endpoint in use, with its own service.
bool InUse(const Cluster& cluster, const std::string& id) {
  const Json state = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state").Body();
  return state.is_object() && state["endpoints"].contains(id) &&
         state["endpoints"][id]["service"] == kService;
}

class ForeignAnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignAnnouncementTest);
  CPPUNIT_TEST(EndpointsStayInUse);
  CPPUNIT_TEST(EndpointsOfServicesNamedLaterAreUsed);
  CPPUNIT_TEST(AnnouncementsThatLackFieldsChangeNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an endpoint that is out of use for good although all its announcements are
  // acknowledged, because another writer has announced a service that no configuration names under
  // its address or id.
  void EndpointsStayInUse() {
    const Announcement rows[] = {
        {"foreign", kForeignService, kStartedMs + 1000},
        {"e0", kForeignService, kStartedMs + 1000},
        {"e0", kForeignService, kStartedMs, 1000},
    };
    for (const bool configured : {true, false}) {
      for (const auto& row : rows) {
        Cluster cluster;
        cluster.StartDeployment(3, 1);
        if (configured) cluster.SetConfig(Config(1, kService));
        int sequence = 0;
        const auto announce = [&] {
          Announce(cluster, "c1", {"e0", kService, kStartedMs, ++sequence});
        };
        announce();
        for (const auto& it : cluster.controls()) {
          Announce(cluster, it, row);
          announce();
        }
        if (!configured) cluster.SetConfig(Config(1, kService));
        cluster.WaitFor("the endpoint is in use", [&] {
          announce();
          return InUse(cluster, "e0");
        });
        // A successor at the address takes over, and the endpoint before it does not come back.
        Announcement successor{"e1", kService, kStartedMs + 500, 0};
        const auto announce_successor = [&] {
          ++successor.sequence;
          Announce(cluster, "c2", successor);
        };
        cluster.WaitFor("the successor is in use", [&] {
          announce_successor();
          return InUse(cluster, "e1") && !InUse(cluster, "e0");
        });
        announce();
        announce_successor();
        CPPUNIT_ASSERT(InUse(cluster, "e1") && !InUse(cluster, "e0"));
      }
    }
  }

  // Guards against an endpoint that is not used once its service is named, or named again.
  void EndpointsOfServicesNamedLaterAreUsed() {
    Cluster cluster;
    cluster.StartDeployment(3, 1);
    cluster.SetConfig(Config(1, "other"));
    Announce(cluster, "c1", {"e0"});
    cluster.SetConfig(Config(2, kService));
    cluster.WaitFor("the endpoint is in use", [&] { return InUse(cluster, "e0"); });
    cluster.SetConfig(Config(3, "other"));
    Announce(cluster, "c2", {"e0", kService, kStartedMs, 2});
    cluster.SetConfig(Config(4, kService));
    cluster.WaitFor("the endpoint is in use again", [&] {
      const Json state = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state").Body();
      return state.is_object() && state["config"] == 4 && InUse(cluster, "e0");
    });
  }

  // Guards against a server of another system that gets requests, because its announcement lacks
  // fields and was taken for that of an endpoint; against an endpoint that is out of use because of
  // one such announcement under its id; and against a log that such a writer fills.
  void AnnouncementsThatLackFieldsChangeNothing() {
    Cluster cluster;
    cluster.StartDeployment(3, 1);
    cluster.SetConfig(Config(1, kService));
    int sequence = 0;
    const auto announce = [&] {
      Announce(cluster, "c1", {"e0", kService, kStartedMs, ++sequence});
    };
    cluster.WaitFor("the endpoint is in use", [&] {
      announce();
      return InUse(cluster, "e0");
    });
    const auto send = [&](const std::string& id, const Json& body) {
      return Send(cluster.Address("c1"), verb::post, "/replicas/" + id + "/heartbeat", body.dump())
          .status;
    };
    for (const char* field : {"version", "batch-slots", "warmup-remaining-ms"}) {
      // It names a later start, another failure domain and an address at which no endpoint is.
      const Announcement foreign{"foreign", kService, kStartedMs + 1000, 1000};
      Json body = Body(cluster, foreign, 1);
      body["zone"] = "zb";
      body.erase(field);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, 400U, send("foreign", body));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(field, 400U, send("e0", body));
    }
    Json wrong_type = Body(cluster, {"foreign"}, 1);
    wrong_type["version"] = 1;
    CPPUNIT_ASSERT_EQUAL(400U, send("foreign", wrong_type));
    // An endpoint that is announced later shows that the ingress process has all records before it.
    cluster.WaitFor("a later endpoint is in use", [&] {
      send("e1", Body(cluster, {"e1", kService, kStartedMs, ++sequence}, 2));
      return InUse(cluster, "e1");
    });
    const Json ingress = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state").Body();
    CPPUNIT_ASSERT(!ingress["endpoints"].contains("foreign"));
    CPPUNIT_ASSERT_EQUAL(std::string("za"),
                         ingress["endpoints"]["e0"]["failure_domain"].get<std::string>());
    const Json control = Send(cluster.Address("c1"), verb::get, "/debug/state").Body();
    CPPUNIT_ASSERT_EQUAL(6, control["announcements_refused"]["missing-field"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1, control["announcements_refused"]["wrong-type"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         cluster.LogLines("c1", "service_endpoint.announcement_refused").size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ForeignAnnouncementTest);

}  // namespace
}  // namespace wagtailslip::system_test
