#include "wagtailslip/traffic/router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailslip::traffic {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration d) { return TimePoint(d); }

RoutingEndpoint Endpoint(const std::string& id, const std::string& version = "v1") {
  RoutingEndpoint endpoint;
  endpoint.id = id;
  endpoint.incarnation = 1;
  endpoint.model = "m";
  endpoint.version = Sha256(version);
  endpoint.region = "r1";
  endpoint.failure_domain = "d1";
  endpoint.load.slots = 8;
  return endpoint;
}

std::vector<RoutingEndpoint> Endpoints(int count) {
  std::vector<RoutingEndpoint> endpoints;
  for (int i = 0; i < count; ++i) endpoints.push_back(Endpoint("e" + std::to_string(i)));
  return endpoints;
}

std::shared_ptr<const RoutingSnapshot> Snapshot(std::vector<RoutingEndpoint> endpoints,
                                                std::uint32_t processes = 1) {
  return std::make_shared<RoutingSnapshot>(std::move(endpoints), 1, processes);
}

struct Fixture {
  explicit Fixture(std::uint64_t seed = 1, std::unique_ptr<RouteStrategy> strategy =
                                               std::make_unique<PrefixAwareTwoChoices>())
      : router({"r1", "d1", seed}, std::move(strategy), ejector) {}

  RouteChoice Send(const RouteRequest& request, TimePoint now) {
    RouteChoice choice = router.Choose(request, now);
    if (choice.endpoint != nullptr) router.Started(choice, request, now);
    return choice;
  }

  Ejector ejector;
  Router router;
};

struct FilterRow {
  const char* name;
  void (*change)(RoutingEndpoint& only);
  void (*ask)(RouteRequest& request);
  bool found;
  NoRoute reason;
};

const std::string kTried[] = {"e0"};

// Each row guards against sending a request to an endpoint that must not get it.
const FilterRow kFilterRows[] = {
    {"plain", [](RoutingEndpoint&) {}, [](RouteRequest&) {}, true, NoRoute::kUnknownModel},
    {"unknown model", [](RoutingEndpoint&) {}, [](RouteRequest& r) { r.model = "x"; }, false,
     NoRoute::kUnknownModel},
    {"draining", [](RoutingEndpoint& e) { e.draining = true; }, [](RouteRequest&) {}, false,
     NoRoute::kNoneServing},
    {"loading", [](RoutingEndpoint& e) { e.serving = ServingState::kLoading; },
     [](RouteRequest&) {}, false, NoRoute::kNoneServing},
    {"other version", [](RoutingEndpoint&) {}, [](RouteRequest& r) { r.version = Sha256("v2"); },
     false, NoRoute::kNoneMatching},
    {"same version", [](RoutingEndpoint&) {}, [](RouteRequest& r) { r.version = Sha256("v1"); },
     true, NoRoute::kUnknownModel},
    {"no adapter", [](RoutingEndpoint&) {}, [](RouteRequest& r) { r.adapter = "a"; }, false,
     NoRoute::kNoneMatching},
    {"adapter", [](RoutingEndpoint& e) { e.adapters["a"] = Sha256("a1"); },
     [](RouteRequest& r) { r.adapter = "a"; }, true, NoRoute::kUnknownModel},
    {"other adapter version", [](RoutingEndpoint& e) { e.adapters["a"] = Sha256("a1"); },
     [](RouteRequest& r) {
       r.adapter = "a";
       r.version = Sha256("a2");
     },
     false, NoRoute::kNoneMatching},
    {"decode only", [](RoutingEndpoint& e) { e.role = EngineRole::kDecode; }, [](RouteRequest&) {},
     false, NoRoute::kNoneMatching},
    {"decode wanted", [](RoutingEndpoint& e) { e.role = EngineRole::kDecode; },
     [](RouteRequest& r) { r.role = EngineRole::kDecode; }, true, NoRoute::kUnknownModel},
    {"service for engine", [](RoutingEndpoint& e) { e.kind = config::EndpointRole::kService; },
     [](RouteRequest&) {}, false, NoRoute::kNoneMatching},
    {"tried", [](RoutingEndpoint&) {}, [](RouteRequest& r) { r.excluded = kTried; }, false,
     NoRoute::kAllTried},
};

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(FiltersEachRow);
  CPPUNIT_TEST(OldSnapshotIsIgnored);
  CPPUNIT_TEST(OwnRequestsCorrectALaggingReport);
  CPPUNIT_TEST(ReportedRequestsAreNotCountedTwice);
  CPPUNIT_TEST(PrefixGoesToItsHolderUntilItIsBusy);
  CPPUNIT_TEST(ManyProcessesDoNotCrowdOneHolder);
  CPPUNIT_TEST(CacheHintsEndWithGapsAndRestarts);
  CPPUNIT_TEST(ReturningEndpointStartsSlowly);
  CPPUNIT_TEST(NearEndpointIsPreferredUntilItIsBusy);
  CPPUNIT_TEST(EjectedEndpointIsAvoidedAndProbed);
  CPPUNIT_TEST(SlotsAreSharedBetweenProcesses);
  CPPUNIT_TEST(CrowdedEnginesTakeSlotsAway);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FiltersEachRow() {
    for (const FilterRow& row : kFilterRows) {
      Fixture fixture;
      auto endpoints = Endpoints(1);
      row.change(endpoints[0]);
      fixture.router.Swap(Snapshot(endpoints), At(seconds(0)));
      RouteRequest request{"m"};
      row.ask(request);
      const RouteChoice choice = fixture.router.Choose(request, At(seconds(0)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.found, choice.endpoint != nullptr);
      if (!row.found) CPPUNIT_ASSERT_MESSAGE(row.name, row.reason == choice.reason);
    }
  }

  // A configuration that was in force must not revert.
  void OldSnapshotIsIgnored() {
    Fixture fixture;
    const auto newer = std::make_shared<RoutingSnapshot>(Endpoints(1), 7, 1);
    CPPUNIT_ASSERT(fixture.router.Swap(newer, At(seconds(0))));
    CPPUNIT_ASSERT(!fixture.router.Swap(Snapshot(Endpoints(2)), At(seconds(0))));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.router.snapshot()->endpoints().size());
  }

  // With a stale report all requests of a burst would go to the endpoint that looked idle.
  void OwnRequestsCorrectALaggingReport() {
    Fixture fixture(1, std::make_unique<LeastOutstanding>());
    fixture.router.Swap(Snapshot(Endpoints(4)), At(seconds(0)));
    std::map<std::string, int> sent;
    for (int i = 0; i < 40; ++i) ++sent[fixture.Send({"m"}, At(seconds(1))).endpoint->id];
    for (const auto& [id, count] : sent) CPPUNIT_ASSERT_EQUAL(10, count);
  }

  void ReportedRequestsAreNotCountedTwice() {
    Fixture fixture;
    auto endpoints = Endpoints(1);
    fixture.router.Swap(Snapshot(endpoints), At(seconds(0)));
    fixture.Send({"m"}, At(seconds(1)));
    fixture.Send({"m"}, At(seconds(3)));
    endpoints[0].load.sequence = 1;
    endpoints[0].load.running = 1;
    endpoints[0].load.measured_at = At(seconds(2));
    fixture.router.Swap(Snapshot(endpoints), At(seconds(4)));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 8,
                                 fixture.router.Status("e0", At(seconds(4)))->estimated_load, 1e-9);
  }

  void PrefixGoesToItsHolderUntilItIsBusy() {
    Fixture fixture;
    fixture.router.Swap(Snapshot(Endpoints(16)), At(seconds(0)));
    const std::uint64_t prefix[] = {11, 12, 13};
    RouteRequest request{"m"};
    request.prefix = prefix;
    const std::string holder = fixture.Send(request, At(seconds(0))).endpoint->id;
    const RouteChoice again = fixture.Send(request, At(seconds(1)));
    CPPUNIT_ASSERT_EQUAL(holder, again.endpoint->id);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, again.cached_blocks);
    std::map<std::string, int> sent;
    for (int i = 0; i < 64; ++i) ++sent[fixture.Send(request, At(seconds(1))).endpoint->id];
    CPPUNIT_ASSERT(sent.size() > 4);
  }

  // All processes see the same holder of a popular prefix in the same report; together they must
  // not send it much more than the slots that were free.
  void ManyProcessesDoNotCrowdOneHolder() {
    constexpr std::uint32_t kProcesses = 64;
    const auto snapshot = Snapshot(Endpoints(100), kProcesses);
    const std::uint64_t prefix[] = {11, 12};
    const CacheEvent stored[] = {{11, true}, {12, true}};
    RouteRequest request{"m"};
    request.prefix = prefix;
    int sent = 0;
    for (std::uint32_t i = 0; i < kProcesses; ++i) {
      Fixture fixture(i + 1);
      fixture.router.Swap(snapshot, At(seconds(0)));
      fixture.router.OnCacheEvents("e7", 0, stored, At(seconds(0)));
      sent += fixture.Send(request, At(seconds(1))).endpoint->id == "e7" ? 1 : 0;
    }
    CPPUNIT_ASSERT(sent >= 1);
    CPPUNIT_ASSERT(sent <= 16);
  }

  // A hint that outlives the cache would send requests to an endpoint that must compute all anew.
  void CacheHintsEndWithGapsAndRestarts() {
    Fixture fixture;
    auto endpoints = Endpoints(1);
    fixture.router.Swap(Snapshot(endpoints), At(seconds(0)));
    const std::uint64_t prefix[] = {11};
    RouteRequest request{"m"};
    request.prefix = prefix;
    const auto cached = [&](Duration at) {
      return fixture.router.Choose(request, At(at)).cached_blocks;
    };
    const CacheEvent stored[] = {{11, true}, {12, true}};
    const CacheEvent evicted[] = {{11, false}};
    const CacheEvent other[] = {{99, true}};
    auto& router = fixture.router;
    CPPUNIT_ASSERT(router.OnCacheEvents("e0", 0, stored, At(seconds(0))) == CacheFeed::kApplied);
    CPPUNIT_ASSERT_EQUAL(1u, cached(seconds(1)));
    CPPUNIT_ASSERT(router.OnCacheEvents("e0", 0, stored, At(seconds(1))) == CacheFeed::kRepeated);
    CPPUNIT_ASSERT(router.OnCacheEvents("e0", 2, evicted, At(seconds(1))) == CacheFeed::kApplied);
    CPPUNIT_ASSERT_EQUAL(0u, cached(seconds(1)));
    router.Resynchronise("e0", 5, prefix, At(seconds(2)));
    CPPUNIT_ASSERT_EQUAL(1u, cached(seconds(2)));
    CPPUNIT_ASSERT_EQUAL(0u, cached(std::chrono::minutes(10)));
    CPPUNIT_ASSERT(router.OnCacheEvents("e0", 9, other, At(seconds(3))) == CacheFeed::kGap);
    CPPUNIT_ASSERT_EQUAL(0u, cached(seconds(3)));
    router.Resynchronise("e0", 20, prefix, At(seconds(4)));
    ++endpoints[0].incarnation;
    router.Swap(Snapshot(endpoints), At(seconds(5)));
    CPPUNIT_ASSERT_EQUAL(0u, cached(seconds(5)));
  }

  void ReturningEndpointStartsSlowly() {
    Fixture fixture;
    auto endpoints = Endpoints(8);
    endpoints[0].draining = true;
    fixture.router.Swap(Snapshot(endpoints), At(seconds(0)));
    endpoints[0].draining = false;
    fixture.router.Swap(Snapshot(endpoints), At(seconds(100)));
    CPPUNIT_ASSERT(fixture.router.Status("e0", At(seconds(100)))->ramp < 0.2);
    CPPUNIT_ASSERT(fixture.router.Status("e1", At(seconds(100)))->ramp == 1);
    CPPUNIT_ASSERT(fixture.router.Status("e0", At(seconds(110)))->ramp == 1);
    int sent = 0;
    for (int i = 0; i < 64; ++i) {
      sent += fixture.Send({"m"}, At(seconds(100))).endpoint->id == "e0" ? 1 : 0;
    }
    CPPUNIT_ASSERT(sent <= 2);
  }

  void NearEndpointIsPreferredUntilItIsBusy() {
    Fixture fixture(1, std::make_unique<LeastOutstanding>());
    auto endpoints = Endpoints(2);
    endpoints[1].region = "r2";
    fixture.router.Swap(Snapshot(endpoints), At(seconds(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("e0"), fixture.Send({"m"}, At(seconds(0))).endpoint->id);
    int far = 0;
    for (int i = 0; i < 15; ++i) {
      far += fixture.Send({"m"}, At(seconds(0))).endpoint->id == "e1" ? 1 : 0;
    }
    CPPUNIT_ASSERT(far >= 6 && far < 8);
  }

  void EjectedEndpointIsAvoidedAndProbed() {
    Fixture fixture;
    fixture.router.Swap(Snapshot(Endpoints(4)), At(seconds(0)));
    fixture.router.Finished("e0", AttemptResult::kConnectFailed, At(seconds(0)));
    // Its slots must not be filled at the others.
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(Router::kOvercommit * 3 * 8),
                         fixture.router.Slots("m"));
    for (int i = 0; i < 64; ++i) {
      CPPUNIT_ASSERT(fixture.router.Choose({"m"}, At(milliseconds(500))).endpoint->id != "e0");
    }
    RouteRequest once{"m"};
    once.may_probe = false;
    CPPUNIT_ASSERT(!fixture.router.Choose(once, At(seconds(1))).probe);
    const RouteChoice probe = fixture.Send({"m"}, At(seconds(1)));
    CPPUNIT_ASSERT(probe.probe && probe.endpoint->id == "e0");
    CPPUNIT_ASSERT(!fixture.router.Choose({"m"}, At(seconds(1))).probe);
    fixture.router.Finished("e0", AttemptResult::kSuccess, At(seconds(2)));
    CPPUNIT_ASSERT(fixture.ejector.Find("e0")->state == HealthState::kHealthy);
  }

  // Entry processes that each used all slots would overload the engines together.
  void SlotsAreSharedBetweenProcesses() {
    Fixture fixture;
    auto endpoints = Endpoints(4);
    fixture.router.Swap(Snapshot(endpoints, 4), At(seconds(0)));
    // Four endpoints of eight slots among four processes.
    const auto even = static_cast<std::uint32_t>(Router::kOvercommit * 4 * 8 / 4);
    CPPUNIT_ASSERT_EQUAL(even, fixture.router.Slots("m"));
    for (auto& endpoint : endpoints) endpoint.load.running = 8;
    fixture.router.Swap(Snapshot(endpoints, 4), At(seconds(1)));
    CPPUNIT_ASSERT_EQUAL(even, fixture.router.Slots("m"));
    endpoints[0].draining = true;
    fixture.router.Swap(Snapshot(endpoints, 4), At(seconds(2)));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(Router::kOvercommit * 3 * 8 / 4),
                         fixture.router.Slots("m"));
  }

  // Requests that wait first in, first out inside the engines would undo the fair order, so a
  // process that has too many there must not send more.
  void CrowdedEnginesTakeSlotsAway() {
    Fixture fixture;
    auto endpoints = Endpoints(4);
    fixture.router.Swap(Snapshot(endpoints, 4), At(seconds(0)));
    for (int i = 0; i < 64; ++i) fixture.Send({"m"}, At(seconds(1)));
    for (auto& endpoint : endpoints) {
      endpoint.load.running = endpoint.load.waiting = 8;
      endpoint.load.measured_at = At(seconds(2));
    }
    fixture.router.Swap(Snapshot(endpoints, 4), At(seconds(3)));
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(Router::kOvercommit * 4 * 8),
                         fixture.router.Slots("m"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace
}  // namespace wagtailslip::traffic
