// Allowed regions of routes and accounts, drained failure domains, and address lookups by region.
#include "wagtailslip/serving/regions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "wagtailslip/serving/admission.h"
#include "wagtailslip/serving/drained_domains.h"
#include "wagtailslip/serving/host_regions.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/route_table.h"

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

constexpr std::uint32_t kSlots = 4;

TimePoint At(Duration d) { return TimePoint(d + seconds(1000)); }

/// Account "shop" on the route "desk.example/".
ServiceConfig Config(const Names& route_regions, const Names& account_regions) {
  ServiceConfig config;
  config.version = 1;
  config.services.push_back({"bookings", "/healthz", 100, std::nullopt, ""});
  Route route;
  route.name = "r";
  route.host = "desk.example";
  route.prefix = "/";
  route.timeout = seconds(1);
  route.services = {{"bookings", 1}};
  route.allowed_regions = route_regions;
  config.routes = {route};
  config.accounts = std::vector<Account>{{"shop", {"key"}, 0, account_regions}};
  return config;
}

RouteTable Table(const Names& route_regions, const Names& account_regions) {
  return RouteTable(std::make_shared<const ServiceConfig>(Config(route_regions, account_regions)));
}

RegionScope Scope() { return {"Desk.example:80", "/a", "shop", AllowedRegions()}; }

/// Endpoints named after their failure domain, one in each.
InstanceTable Endpoints(const Names& domains) {
  InstanceTable table;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    EndpointRecord record;
    record.id = domains[i];
    record.started_ms = 1;
    record.sequence = 1;
    record.service = "bookings";
    record.address = "10.0.0." + std::to_string(i) + ":80";
    record.failure_domain = domains[i];
    record.slots = kSlots;
    record.announced_at = At(seconds(0));
    table.Apply(record, At(seconds(0)));
  }
  return table;
}

/// Failure domains n1 and n2 are in the region north, s1 is in south; any other is unknown.
Placement MakePlacement(const Names& domains) {
  PlacementSettings settings;
  settings.failure_domain = "n1";
  settings.regions = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
  Placement placement(settings, 1);
  placement.Sync(Endpoints(domains), Config({}, {}));
  return placement;
}

PlacementQuery Query(const AllowedRegions& regions, const Names& excluded = {}) {
  PlacementQuery query;
  query.service = "bookings";
  query.repeatable = true;
  query.excluded = excluded;
  query.allowed_regions = regions;
  return query;
}

/// All endpoints that a query gets at any time.
std::set<std::string> Chosen(Placement& placement, const PlacementQuery& query) {
  std::set<std::string> chosen;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = At(seconds(1) + milliseconds(i));
    const auto placed = placement.Choose(query, now);
    if (!placed) continue;
    chosen.insert(placed->id);
    placement.RemovePending(placed->id, 0);
    // Requests end in batches, so that the load drives later ones to all endpoints.
    if (i % 5 == 4) {
      for (const auto& id : chosen) {
        for (std::uint32_t n = 0; n < 3 * kSlots; ++n) placement.Release(id);
      }
    }
  }
  return chosen;
}

AdmissionRequest Request(std::uint64_t id, const AllowedRegions& regions) {
  AdmissionRequest request;
  request.id = id;
  request.query = Query(regions);
  request.region_scope = Scope();
  request.region_scope.at_arrival = regions;
  request.account = "shop";
  request.arrived = At(seconds(1));
  request.latest_start = At(seconds(2));
  return request;
}

std::string ReasonOf(const AdmissionDecision& decision) {
  const auto* refusal = std::get_if<Refusal>(&decision);
  return refusal == nullptr ? "" : std::string(kRefusalReasons.Name(refusal->reason));
}

class RegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegionsTest);
  CPPUNIT_TEST(IntersectsRegionsOfRouteAndAccount);
  CPPUNIT_TEST(ChoosesOnlyEndpointsInAllowedRegions);
  CPPUNIT_TEST(RefusesAtOnceWithoutAllowedRegion);
  CPPUNIT_TEST(AppliesNarrowedRegionsToQueuedRequests);
  CPPUNIT_TEST(ChecksRegionsOfAChosenEndpoint);
  CPPUNIT_TEST(QueuesRegionsIndependently);
  CPPUNIT_TEST(RejectsRegionsWithoutName);
  CPPUNIT_TEST(SelectsIngressProcessesByRegion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against serving a request in a region that the route, the account, the configuration at
  // its arrival or the current one does not allow.
  void IntersectsRegionsOfRouteAndAccount() {
    struct Case {
      const char* name;
      Names route;
      Names account;
      Names at_arrival;
      bool north;
      bool south;
      bool none_left;
    };
    const Case cases[] = {
        {"nothing named", {}, {}, {}, true, true, false},
        {"route", {"north"}, {}, {}, true, false, false},
        {"account", {}, {"south"}, {}, false, true, false},
        {"both, one in common", {"north", "south"}, {"south", "west"}, {}, false, true, false},
        {"both, nothing in common", {"north"}, {"south"}, {}, false, false, true},
        {"widened since the arrival", {}, {}, {"south"}, false, true, false},
        {"narrowed since the arrival", {"south"}, {}, {"north", "south"}, false, true, false},
        {"moved since the arrival", {"north"}, {}, {"south"}, false, false, true},
        {"named twice", {"south", "north", "south"}, {}, {}, true, true, false},
    };
    for (const auto& it : cases) {
      RegionScope scope = Scope();
      scope.at_arrival = AllowedRegions(it.at_arrival);
      const auto allowed = Table(it.route, it.account).AllowedRegionsFor(scope);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.north, allowed.Allows("north"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.south, allowed.Allows("south"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.none_left, allowed.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, !allowed.restricted(), allowed.Allows(""));
    }
  }

  // Guards against first attempts and retries at an endpoint outside the allowed regions, or in a
  // failure domain of which the region is unknown.
  void ChoosesOnlyEndpointsInAllowedRegions() {
    struct Case {
      const char* name;
      Names regions;
      Names excluded;
      std::set<std::string> chosen;
    };
    const Case cases[] = {
        {"unrestricted", {}, {}, {"n1", "n2", "s1", "x1"}},
        {"one region", {"north"}, {}, {"n1", "n2"}},
        {"both known regions", {"north", "south"}, {}, {"n1", "n2", "s1"}},
        {"a region without endpoints", {"west"}, {}, {}},
        {"retry", {"north"}, {"n1"}, {"n2"}},
        {"retry after all endpoints of the region", {"south"}, {"s1"}, {}},
    };
    for (const auto& it : cases) {
      Placement placement = MakePlacement({"n1", "n2", "s1", "x1"});
      const auto chosen = Chosen(placement, Query(AllowedRegions(it.regions), it.excluded));
      CPPUNIT_ASSERT_MESSAGE(it.name, chosen == it.chosen);
    }
  }

  // Guards against a request that waits for endpoints which may never serve it, and against calling
  // an endpoint-free service a matter of regions.
  void RefusesAtOnceWithoutAllowedRegion() {
    struct Case {
      const char* name;
      Names domains;
      AllowedRegions regions;
      std::set<std::string> drained;
      const char* reason;
    };
    AllowedRegions none(Names{"north"});
    none.Intersect(AllowedRegions(Names{"south"}));
    const AllowedRegions south(Names{"south"});
    const Case cases[] = {
        {"nothing restricted", {"n1"}, {}, {}, ""},
        {"allowed", {"n1", "s1"}, south, {}, ""},
        {"empty intersection", {"n1", "s1"}, none, {}, "no-allowed-region"},
        {"empty intersection without endpoints", {}, none, {}, "no-allowed-region"},
        {"no endpoint there", {"n1", "n2"}, south, {}, "no-allowed-region"},
        {"unknown failure domain", {"x1"}, south, {}, "no-allowed-region"},
        {"no endpoint anywhere", {}, south, {}, "no-endpoint"},
        {"some domains drained", {"n1", "n2"}, {}, {"n1"}, ""},
        {"all domains drained", {"n1", "n2"}, {}, {"n1", "n2"}, "all-domains-drained"},
        {"unknown failure domain drained", {"x1"}, {}, {"x1"}, "all-domains-drained"},
        {"allowed region drained", {"n1", "s1"}, south, {"s1"}, "all-domains-drained"},
        {"other region drained", {"n1", "s1"}, south, {"n1"}, ""},
    };
    for (const auto& it : cases) {
      Placement placement = MakePlacement(it.domains);
      if (!it.drained.empty()) placement.SetDrainedDomains({1, it.drained, {}}, At(seconds(0)));
      Admission admission(placement, 1);
      const auto decision = admission.Offer(Request(1, it.regions), At(seconds(1)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.reason), ReasonOf(decision));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t{0}, admission.waiting());
      if (const auto* refusal = std::get_if<Refusal>(&decision)) {
        CPPUNIT_ASSERT_MESSAGE(it.name, refusal->retry_after > Duration::zero());
      }
    }
  }

  // Guards against a queued request that is placed by the regions of a superseded configuration, or
  // that keeps waiting after it has no region left.
  void AppliesNarrowedRegionsToQueuedRequests() {
    struct Case {
      const char* name;
      Names now_allowed;
      /// Endpoint whose requests end after the change; empty for none.
      const char* freed;
      /// Endpoint where the request is placed, the reason of its refusal, or empty if it waits.
      const char* result;
    };
    const Case cases[] = {
        {"unchanged", {}, "n1", "n1"},
        {"narrowed, capacity elsewhere", {"south"}, "n1", ""},
        {"narrowed, capacity there", {"south"}, "s1", "s1"},
        {"narrowed to a region without endpoints", {"west"}, "", "no-allowed-region"},
        {"narrowed to a region without endpoints, capacity elsewhere",
         {"west"},
         "n1",
         "no-allowed-region"},
    };
    for (const auto& it : cases) {
      Placement placement = MakePlacement({"n1", "s1"});
      Admission admission(placement, 1);
      const TimePoint now = At(seconds(1));
      while (placement.Choose(Query({}), now)) {
      }
      CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(admission.Offer(Request(1, {}), now)));
      admission.UpdateAllowedRegions(Table(it.now_allowed, {}));
      for (std::uint32_t i = 0; i < 2 * kSlots; ++i) placement.Release(it.freed);
      const auto decisions = admission.ProcessWaiting(now + milliseconds(1));
      std::string result;
      if (!decisions.empty()) {
        const auto* placed = std::get_if<PlacementResult>(&decisions[0].second);
        result = placed == nullptr ? ReasonOf(decisions[0].second) : placed->id;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(it.result), result);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t(result.empty() ? 1 : 0),
                                   admission.waiting());
    }
  }

  // Guards against a request that is sent on a connection which was opened before the regions
  // changed.
  void ChecksRegionsOfAChosenEndpoint() {
    Placement placement = MakePlacement({"n1"});
    const auto placed = placement.Choose(Query({}), At(seconds(1)));
    CPPUNIT_ASSERT(placed);
    CPPUNIT_ASSERT(placement.InRegions(*placed, AllowedRegions()));
    CPPUNIT_ASSERT(placement.InRegions(*placed, AllowedRegions(Names{"north"})));
    CPPUNIT_ASSERT(!placement.InRegions(*placed, AllowedRegions(Names{"south"})));
    placement.Sync(Endpoints({}), Config({}, {}));
    CPPUNIT_ASSERT(!placement.InRegions(*placed, AllowedRegions(Names{"north"})));
  }

  // Guards against requests that wait for a full region and hold up those that may be served in
  // another one.
  void QueuesRegionsIndependently() {
    Placement placement = MakePlacement({"n1", "s1"});
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    const AllowedRegions north(Names{"north"});
    const AllowedRegions south(Names{"south"});
    while (placement.Choose(Query(north), now)) {
    }
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(admission.Offer(Request(1, north), now)));
    for (std::uint64_t id = 2; id < 4; ++id) {
      const auto decision = admission.Offer(Request(id, id == 2 ? south : AllowedRegions()), now);
      const auto* placed = std::get_if<PlacementResult>(&decision);
      CPPUNIT_ASSERT(placed != nullptr && placed->id == "s1");
    }
    // Requests for the free region are placed whatever the order in the queue is.
    while (placement.Choose(Query(south), now)) {
    }
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(admission.Offer(Request(5, south), now)));
    for (std::uint32_t i = 0; i < 2 * kSlots; ++i) placement.Release("s1");
    const auto decisions = admission.ProcessWaiting(now + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, decisions[0].first);
  }

  // Guards against a configuration that allows endpoints whose region is unknown.
  void RejectsRegionsWithoutName() {
    Validate(Config({"north"}, {"south"}));
    CPPUNIT_ASSERT_THROW(Validate(Config({"north", ""}, {})), ServingError);
    CPPUNIT_ASSERT_THROW(Validate(Config({}, {""})), ServingError);
  }

  // Guards against lookups that send callers to an ingress process in a region where their requests
  // may not be served, and against lookups that return nothing.
  void SelectsIngressProcessesByRegion() {
    const std::vector<IngressAddress> everywhere{
        {"n", "north"}, {"s", "south"}, {"w", "west"}, {"x", ""}};
    const std::vector<IngressAddress> west_only{{"w", "west"}, {"x", ""}};
    struct Case {
      const char* name;
      const char* host;
      const char* region;
      std::vector<IngressAddress> processes;
      Names addresses;
    };
    const Case cases[] = {
        {"region of the caller", "desk.example", "south", everywhere, {"s"}},
        {"caller outside the allowed regions", "desk.example", "west", everywhere, {"w"}},
        {"name in capitals with a port", "DESK.example:80", "south", everywhere, {"s"}},
        {"none in the region of the caller", "desk.example", "east", everywhere, {"n", "s"}},
        {"unknown region of the caller", "desk.example", "", everywhere, {"n", "s"}},
        {"none in an allowed region", "desk.example", "east", west_only, {"w", "x"}},
        {"host without regions", "other.example", "south", everywhere, {"n", "s", "w", "x"}},
        {"no host", "", "south", everywhere, {"n", "s", "w", "x"}},
        {"no process", "desk.example", "south", {}, {}},
    };
    ServiceConfig config = Config({"north"}, {});
    config.routes.push_back(config.routes[0]);
    config.routes[1].prefix = "/b/";
    config.routes[1].allowed_regions = {"south"};
    config.routes.push_back(config.routes[0]);
    config.routes[2].host = "other.example";
    config.routes[2].allowed_regions.clear();
    const HostRegions regions(config);
    for (const auto& it : cases) {
      const auto addresses = regions.Select(it.host, it.region, it.processes);
      CPPUNIT_ASSERT_MESSAGE(it.name, addresses == it.addresses);
    }
  }
};

class DrainedDomainsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainedDomainsTest);
  CPPUNIT_TEST(RepeatedCommandsChangeNothing);
  CPPUNIT_TEST(SendsNothingToDrainedDomains);
  CPPUNIT_TEST(IgnoresOlderRevisions);
  CPPUNIT_TEST(KeepsTheTimeOfTheEnd);
  CPPUNIT_TEST(LearnsOfDrainsThatItMissed);
  CPPUNIT_TEST(RefusesQueuedRequestsOnceAllDomainsAreDrained);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against repeated calls, or a finish without a begin, that raise the revision or fail.
  void RepeatedCommandsChangeNothing() {
    struct Case {
      DomainDrain command;
      bool changed;
      std::int64_t revision;
      std::set<std::string> domains;
    };
    const Case cases[] = {
        {{"n1", false}, false, 0, {}},    {{"n1", true}, true, 1, {"n1"}},
        {{"n1", true}, false, 1, {"n1"}}, {{"s1", true}, true, 2, {"n1", "s1"}},
        {{"n1", false}, true, 3, {"s1"}}, {{"n1", false}, false, 3, {"s1"}},
        {{"s1", false}, true, 4, {}},
    };
    DrainedDomains state;
    for (const auto& it : cases) {
      CPPUNIT_ASSERT_EQUAL(it.changed, ApplyDrain(state, it.command, At(seconds(1))));
      CPPUNIT_ASSERT_EQUAL(it.revision, state.revision);
      CPPUNIT_ASSERT(state.domains == it.domains);
    }
  }

  // Guards against first attempts, retries and connections that were opened before the drain.
  void SendsNothingToDrainedDomains() {
    Placement placement = MakePlacement({"n1", "n2", "s1"});
    const auto before = placement.Choose(Query({}, {"n2", "s1"}), At(seconds(1)));
    CPPUNIT_ASSERT(before && placement.Accepts(*before, At(seconds(1))));
    placement.SetDrainedDomains({1, {"n1"}, {}}, At(seconds(1)));
    CPPUNIT_ASSERT(!placement.Accepts(*before, At(seconds(1))));
    CPPUNIT_ASSERT((Chosen(placement, Query({})) == std::set<std::string>{"n2", "s1"}));
    CPPUNIT_ASSERT((Chosen(placement, Query({}, {"n2"})) == std::set<std::string>{"s1"}));
    // Endpoints that announce themselves during the drain, and those that restart, are drained too.
    placement.Sync(Endpoints({"n2", "s1"}), Config({}, {}));
    placement.Sync(Endpoints({"n1", "n2", "s1"}), Config({}, {}));
    CPPUNIT_ASSERT((Chosen(placement, Query({})) == std::set<std::string>{"n2", "s1"}));
    placement.SetDrainedDomains({2, {}, {}}, At(seconds(5)));
    CPPUNIT_ASSERT((Chosen(placement, Query({})) == std::set<std::string>{"n1", "n2", "s1"}));
  }

  // Guards against a control process that is behind and undoes a drain.
  void IgnoresOlderRevisions() {
    Placement placement = MakePlacement({"n1", "n2"});
    CPPUNIT_ASSERT(placement.SetDrainedDomains({3, {"n1"}, {}}, At(seconds(1))));
    CPPUNIT_ASSERT(!placement.SetDrainedDomains({2, {}, {}}, At(seconds(2))));
    CPPUNIT_ASSERT(!placement.SetDrainedDomains({3, {"n2"}, {}}, At(seconds(2))));
    CPPUNIT_ASSERT((Chosen(placement, Query({})) == std::set<std::string>{"n2"}));
    CPPUNIT_ASSERT(!placement.DrainEndedAt("n1"));
  }

  // Guards against endpoints that count as warm although their failure domain was drained.
  void KeepsTheTimeOfTheEnd() {
    Placement placement = MakePlacement({"n1", "n2"});
    placement.SetDrainedDomains({2, {"n1", "n2"}, {}}, At(seconds(1)));
    CPPUNIT_ASSERT(!placement.DrainEndedAt("n1"));
    placement.SetDrainedDomains({3, {"n2"}, {}}, At(seconds(2)));
    CPPUNIT_ASSERT(placement.DrainEndedAt("n1") == At(seconds(2)));
    CPPUNIT_ASSERT(!placement.DrainEndedAt("n2"));
    // A later change of another failure domain keeps the time; a new drain removes it.
    placement.SetDrainedDomains({4, {}, {}}, At(seconds(3)));
    CPPUNIT_ASSERT(placement.DrainEndedAt("n1") == At(seconds(2)));
    CPPUNIT_ASSERT(placement.DrainEndedAt("n2") == At(seconds(3)));
    placement.SetDrainedDomains({5, {"n1"}, {}}, At(seconds(4)));
    CPPUNIT_ASSERT(!placement.DrainEndedAt("n1"));
  }

  // Guards against endpoints that count as warm at a process which was cut off during a drain or
  // started after it, and against an end that seems more recent each time it is told.
  void LearnsOfDrainsThatItMissed() {
    struct Case {
      const char* name;
      DrainedDomains known;
      DrainedDomains received;
      std::optional<TimePoint> ended_at;
    };
    const TimePoint before = At(seconds(3));
    const TimePoint later = At(seconds(5));
    const TimePoint now = At(seconds(9));
    const Case cases[] = {
        {"just started", {}, {2, {}, {{"n1", {2, 0, later}}}}, later},
        {"missed begin and finish", {4, {}, {}}, {6, {}, {{"n1", {6, 0, later}}}}, later},
        {"missed the finish", {1, {"n1"}, {}}, {2, {}, {{"n1", {2, 0, later}}}}, later},
        {"the sender does not know the time", {1, {"n1"}, {}}, {2, {}, {}}, now},
        {"told again", {2, {}, {{"n1", {2, 0, before}}}}, {2, {}, {{"n1", {2, 0, later}}}}, before},
        {"told first by a sender that does not know the time",
         {2, {}, {}},
         {2, {}, {{"n1", {2, 0, later}}}},
         later},
        {"a later drain",
         {2, {}, {{"n1", {2, 0, before}}}},
         {4, {}, {{"n1", {4, 0, later}}}},
         later},
        {"drained again", {2, {}, {{"n1", {2, 0, before}}}}, {3, {"n1"}, {}}, std::nullopt},
        {"a sender that is behind",
         {3, {"n1"}, {}},
         {2, {}, {{"n1", {2, 0, later}}}},
         std::nullopt},
    };
    for (const auto& it : cases) {
      Placement placement = MakePlacement({"n1"});
      placement.SetDrainedDomains(it.known, At(seconds(4)));
      placement.SetDrainedDomains(it.received, now);
      CPPUNIT_ASSERT_MESSAGE(it.name, placement.DrainEndedAt("n1") == it.ended_at);
    }
  }

  // Guards against requests that wait out their time for endpoints that get none.
  void RefusesQueuedRequestsOnceAllDomainsAreDrained() {
    Placement placement = MakePlacement({"n1", "n2"});
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    while (placement.Choose(Query({}), now)) {
    }
    for (std::uint64_t id = 1; id <= 2; ++id) {
      CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(admission.Offer(Request(id, {}), now)));
    }
    placement.SetDrainedDomains({1, {"n1"}, {}}, now);
    CPPUNIT_ASSERT(admission.ProcessWaiting(now + milliseconds(1)).empty());
    placement.SetDrainedDomains({2, {"n1", "n2"}, {}}, now);
    const auto decisions = admission.ProcessWaiting(now + milliseconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decisions.size());
    for (const auto& [id, decision] : decisions) {
      CPPUNIT_ASSERT_EQUAL(std::string("all-domains-drained"), ReasonOf(decision));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(DrainedDomainsTest);

}  // namespace
}  // namespace wagtailslip::serving
