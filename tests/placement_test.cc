// Tests of endpoint selection and admission control.
#include "wagtailslip/serving/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "wagtailslip/serving/admission.h"
#include "wagtailslip/serving/caller_timeout_tracker.h"

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration d) { return TimePoint(d + seconds(1000)); }

constexpr std::uint32_t kSlots = 16;

ServiceConfig EngineConfig() {
  ServiceConfig config;
  EngineProfile engine;
  engine.model = "m";
  engine.slots = kSlots;
  engine.prefill_rate = 19100;
  engine.step = milliseconds(9);
  config.services.push_back({"assistant", "/healthz", 100, engine, ""});
  config.services.push_back({"bookings", "/healthz", 100, std::nullopt, ""});
  return config;
}

InstanceTable Engines(int count, std::int64_t weights = 1) {
  InstanceTable table;
  for (int i = 0; i < count; ++i) {
    EndpointRecord record;
    record.id = "e" + std::to_string(i);
    record.started_ms = 1;
    record.sequence = 1;
    record.service = "assistant";
    record.address = "10.0.0." + std::to_string(i) + ":80";
    record.failure_domain = "a";
    record.slots = kSlots;
    record.model = "m";
    record.weights = weights;
    record.announced_at = At(seconds(0));
    table.Apply(record, At(seconds(0)));
  }
  return table;
}

PlacementSettings Settings() {
  PlacementSettings settings;
  settings.failure_domain = "a";
  return settings;
}

PlacementQuery Query(double prompt_tokens = 1000) {
  PlacementQuery query;
  query.service = "assistant";
  query.prompt_tokens = prompt_tokens;
  query.repeatable = true;
  return query;
}

// An engine with weights version 1 that has reported its status. Below 0, overdue_ms means that the
// request accepts any version. At 0, the request needs version 2 except at engines that have
// announced a swap. Above 0, it needs version 2 at all engines.
struct SwapRow {
  const char* name;
  std::int64_t next_weights_version;
  int time_until_swap_ms;
  double answer_tokens;
  int overdue_ms;
  int status_age_ms;
  bool accepted;
};
constexpr SwapRow kSwapRows[] = {
    {"a response that ends before the swap", 2, 2000, 100, -1, 0, true},
    {"a long response shortly before the swap", 2, 500, 200, -1, 0, false},
    {"a short response shortly before the swap", 2, 500, 10, -1, 0, true},
    {"no announced swap", 0, 0, 200, -1, 0, true},
    {"older weights without an announced swap", 0, 0, 10, 0, 0, false},
    {"older weights before an announced swap", 2, 1000, 10, 0, 0, true},
    {"a swap announced by a sidecar that has died since", 2, 2000, 10, 0, 1100, false},
    {"older weights right before the propagation deadline", 2, 1000, 10, 1, 0, false},
};

// Two engines with weights version 1, of which the first has a sidecar that has stopped reporting.
struct SilentSidecarRow {
  const char* name;
  std::int64_t newest_weights_version;
  /// Age of the last status of the first engine's sidecar, and of the second one's.
  int silent_ms;
  int other_ms;
  bool used;
};
constexpr SilentSidecarRow kSilentSidecarRows[] = {
    {"silent while a newer version is named", 2, 1100, 100, false},
    {"silent without a newer version", 1, 1100, 100, true},
    {"no version is named", 0, 1100, 100, true},
    {"one report late", 2, 900, 100, true},
    {"no sidecar is heard of", 2, 1100, 1100, true},
};

// Two engines, of which the first has announced a status once and nothing since.
struct SilentInstanceRow {
  const char* name;
  int silent_ms;
  /// Age of the last response of the first engine; nothing if there was none.
  std::optional<int> response_ms;
  /// Age of the last status of the second engine's sidecar.
  int other_ms;
  bool used;
};
constexpr SilentInstanceRow kSilentInstanceRows[] = {
    {"neither statuses nor responses", 1300, std::nullopt, 100, false},
    {"the last response is as old", 1300, 1250, 100, false},
    {"only the sidecar is silent", 5000, 200, 100, true},
    {"two statuses late", 1100, std::nullopt, 100, true},
    {"no sidecar is heard of", 1300, std::nullopt, 1300, true},
};

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(AvoidsEndpointBusyWithLongPrompt);
  CPPUNIT_TEST(PlacesNoMoreRequestsThanSlots);
  CPPUNIT_TEST(DrainsEngineBeforeSwap);
  CPPUNIT_TEST(AvoidsEngineWithSilentSidecar);
  CPPUNIT_TEST(AvoidsEngineOfSilentInstance);
  CPPUNIT_TEST(LimitsPrefillBacklog);
  CPPUNIT_TEST(AvoidsEndpointBehindSlowLink);
  CPPUNIT_TEST(AvoidsStalledEndpoint);
  CPPUNIT_TEST(DividesEndpointsWithRequiredWeights);
  CPPUNIT_TEST(SendsNothingToLeavingEndpoint);
  CPPUNIT_TEST(SeparatesIncarnationsOfAnEndpoint);
  CPPUNIT_TEST(RespectsRequestedPause);
  CPPUNIT_TEST(SkipsUnusableEndpoints);
  CPPUNIT_TEST(UsesLoadedWeightsOnlyOnceTheirSidecarReportsThem);
  CPPUNIT_TEST(PrefersOwnSubsetUntilFull);
  CPPUNIT_TEST(KeepsOnlyEndpointDespiteFailures);
  CPPUNIT_TEST(PrefersHealthyEndpoints);
  CPPUNIT_TEST(ForgetsWeightsOfRestartedEndpoint);
  CPPUNIT_TEST(UsesNewestSpeed);
  CPPUNIT_TEST(DistrustsImplausibleReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An endpoint with few requests but long prompts in prefill responds later than one with more
  // requests that are already decoding, so choosing by request count alone is wrong.
  void AvoidsEndpointBusyWithLongPrompt() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(2), EngineConfig());
    const TimePoint now = At(seconds(1));
    const auto first = placement.Choose(Query(4000), now);
    for (int i = 0; i < 3; ++i) {
      const auto other = placement.Choose(Query(300), now);
      CPPUNIT_ASSERT(other->id != first->id);
      placement.RemovePending(other->id, 300);
    }
    placement.RemovePending(first->id, 4000);
    CPPUNIT_ASSERT_EQUAL(first->id, placement.Choose(Query(300), now)->id);
  }

  void PlacesNoMoreRequestsThanSlots() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    const TimePoint now = At(seconds(1));
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      CPPUNIT_ASSERT(placement.Choose(Query(), now));
      placement.RemovePending("e0", 1000);
    }
    CPPUNIT_ASSERT(!placement.Choose(Query(), now));
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    CPPUNIT_ASSERT(placement.Choose(Query(), now));
    // Requests of other processes in a load report occupy slots as well.
    Placement other(Settings(), 1);
    other.Sync(Engines(1), EngineConfig());
    other.OnEngineStatus({"10.0.0.0:80", 1, 1, kSlots, 2, false, 1}, now);
    CPPUNIT_ASSERT(!other.Choose(Query(), now));
    CPPUNIT_ASSERT(other.Choose(Query(), now + seconds(5)));
  }

  // A machine behind a slow link looks idle because requests reach it late. A request delayed on
  // the link may start after the propagation deadline of newer weights, or after its caller has
  // left.
  void AvoidsEndpointBehindSlowLink() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(2), EngineConfig());
    const TimePoint now = At(seconds(1));
    placement.OnConnect("e0", milliseconds(3), now);
    placement.OnConnect("e1", milliseconds(300), now);
    for (int i = 0; i < 5; ++i) {
      const auto placed = placement.Choose(Query(), now);
      CPPUNIT_ASSERT_EQUAL(std::string("e0"), placed->id);
      placement.RemovePending(placed->id, 1000);
    }
    auto near_deadline = Query();
    near_deadline.min_weights_version_if_busy = 2;
    CPPUNIT_ASSERT(placement.Choose(near_deadline, now));
    near_deadline.excluded = {"e0"};
    CPPUNIT_ASSERT(!placement.Choose(near_deadline, now));
    // The state of a link expires.
    near_deadline.excluded = {};
    CPPUNIT_ASSERT(!placement.Choose(near_deadline, now + seconds(4)));
    near_deadline.min_weights_version_if_busy = 0;
    near_deadline.excluded = {"e0"};
    CPPUNIT_ASSERT(placement.Choose(near_deadline, now + seconds(4)));
  }

  // A machine's link is throttled while it fetches chunks: connects are fast, but requests stall.
  // The engine looks idle until the first request times out after 1.8 s.
  void AvoidsStalledEndpoint() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(placement.Choose(Query(100), now));
    CPPUNIT_ASSERT(placement.Choose(Query(100), now + milliseconds(500)));
    CPPUNIT_ASSERT(!placement.Choose(Query(100), now + milliseconds(800)));
    // The response to the first request starts; the second has waited for 0.3 s.
    placement.RemovePending("e0", 100);
    CPPUNIT_ASSERT(placement.Choose(Query(100), now + milliseconds(800)));
    CPPUNIT_ASSERT(!placement.Choose(Query(100), now + milliseconds(1300)));
  }

  // Few endpoints have the required weights. All processes see them as idle and together send them
  // more prompts than they can prefill in time.
  void DividesEndpointsWithRequiredWeights() {
    const std::map<std::string, std::string> processes{{"p1", "a"}, {"p2", "a"}, {"p3", "a"}};
    const TimePoint now = At(seconds(1));
    std::map<std::string, int> sent;
    for (const auto& [process, domain] : processes) {
      Placement placement(Settings(), 1);
      placement.SetProcesses(process, processes);
      auto table = Engines(6);
      placement.Sync(table, EngineConfig());
      // e4 and e5 have version 2.
      for (const char* address : {"10.0.0.4:80", "10.0.0.5:80"}) {
        placement.OnEngineStatus({address, 1, 2, 0, 0, false, 1}, now);
      }
      auto query = Query();
      query.min_weights_version = 2;
      while (const auto placed = placement.Choose(query, now)) ++sent[placed->id];
    }
    for (const auto& [id, n] : sent) {
      CPPUNIT_ASSERT(id == "e4" || id == "e5");
      // The last request must start within 500 ms, the longest latency objective in use.
      CPPUNIT_ASSERT_MESSAGE(std::to_string(n), n * 1000 / 19.1 <= 500);
    }
  }

  // Engines that return without load receive the whole queue at once and prefill one prompt after
  // the other. Most requests then miss their objective although every engine has free slots.
  void LimitsPrefillBacklog() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    const TimePoint now = At(seconds(1));
    const auto prompt_ms = 1000 / 19.1;
    int placed = 0;
    while (placement.Choose(Query(), now)) ++placed;
    // The last request must start within 400 ms, the shortest latency objective in use.
    CPPUNIT_ASSERT(placed * prompt_ms <= 400);
    CPPUNIT_ASSERT(placed * prompt_ms >= 150);
    auto late = Query();
    late.late = true;
    for (int i = 0; i + 2 < placed; ++i) placement.RemovePending("e0", 1000);
    CPPUNIT_ASSERT_MESSAGE("a late request does not delay new ones", !placement.Choose(late, now));
    CPPUNIT_ASSERT(placement.Choose(Query(), now));
    for (int i = 0; i < placed; ++i) placement.RemovePending("e0", 1000);
    CPPUNIT_ASSERT(placement.Choose(late, now));
    // An engine without a prefill backlog accepts a prompt of any length.
    for (int i = 0; i < placed; ++i) placement.RemovePending("e0", 1000);
    CPPUNIT_ASSERT(placement.Choose(Query(20000), now));
  }

  // Guards against requests to an endpoint that said in a response that it is leaving, while its
  // announcement is delayed or still says otherwise. A new incarnation with its id takes requests.
  void SendsNothingToLeavingEndpoint() {
    Placement placement(Settings(), 1);
    auto table = Engines(1);
    placement.Sync(table, EngineConfig());
    const TimePoint now = At(seconds(1));
    const auto placed = placement.Choose(Query(), now);
    CPPUNIT_ASSERT(placed);
    CPPUNIT_ASSERT(placement.MarkLeaving(*placed));
    CPPUNIT_ASSERT_MESSAGE("only the first call returns true", !placement.MarkLeaving(*placed));
    CPPUNIT_ASSERT(!placement.Choose(Query(), now));
    CPPUNIT_ASSERT_MESSAGE("a request is withheld even if a connection is already open",
                           !placement.Accepts(*placed, now));
    EndpointRecord record = *table.Find("e0");
    record.sequence = 9;
    table.Apply(record, now);
    placement.Sync(table, EngineConfig());
    CPPUNIT_ASSERT(!placement.Choose(Query(), now + seconds(60)));
    record.started_ms = 2;
    record.sequence = 1;
    table.Apply(record, now);
    placement.Sync(table, EngineConfig());
    CPPUNIT_ASSERT(placement.Choose(Query(), now));
    PlacementResult unknown;
    unknown.id = "unknown";
    CPPUNIT_ASSERT(!placement.MarkLeaving(unknown));
  }

  // Guards against a request that was placed on an endpoint and is sent to the next incarnation
  // with its id, and against a late response of one incarnation that takes the next one out of
  // service.
  void SeparatesIncarnationsOfAnEndpoint() {
    Placement placement(Settings(), 1);
    auto table = Engines(1);
    placement.Sync(table, EngineConfig());
    const TimePoint now = At(seconds(1));
    const auto placed = placement.Choose(Query(), now);
    CPPUNIT_ASSERT(placed && placement.Accepts(*placed, now));
    EndpointRecord record = *table.Find("e0");
    record.started_ms = 2;
    table.Apply(record, now);
    placement.Sync(table, EngineConfig());
    CPPUNIT_ASSERT(!placement.Accepts(*placed, now));
    CPPUNIT_ASSERT(!placement.MarkLeaving(*placed));
    placement.Pause(*placed, seconds(3), now);
    const auto next = placement.Choose(Query(), now);
    CPPUNIT_ASSERT(next && placement.Accepts(*next, now));
  }

  // Guards against requests to an endpoint during a pause that it asked for, and against avoiding
  // it afterwards.
  void RespectsRequestedPause() {
    struct Case {
      const char* name;
      Duration after;
      bool accepts;
    };
    const Case cases[] = {{"immediately", milliseconds(0), false},
                          {"after the shorter pause of a full endpoint", milliseconds(500), false},
                          {"just before the end", milliseconds(2999), false},
                          {"at the end", milliseconds(3000), true}};
    for (const auto& [name, after, accepts] : cases) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1), EngineConfig());
      const TimePoint now = At(seconds(1));
      const auto placed = placement.Choose(Query(), now);
      CPPUNIT_ASSERT(placed);
      // The request whose response asked for the pause has ended.
      placement.RemovePending("e0", 1000);
      placement.Pause(*placed, seconds(3), now);
      // The shorter pause after a refusal does not end the longer one.
      placement.OnRefused("e0", now);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, accepts, placement.Accepts(*placed, now + after));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, accepts,
                                   placement.Choose(Query(), now + after).has_value());
    }
  }

  // Guards against requests to endpoints that would refuse them or answer with a wrong version of
  // the weights.
  void SkipsUnusableEndpoints() {
    const TimePoint now = At(seconds(1));
    struct Case {
      const char* name;
      std::int64_t weights;
      bool swapping;
      PlacementQuery query;
      bool usable;
    };
    PlacementQuery newer = Query();
    newer.min_weights_version = 2;
    PlacementQuery exact = Query();
    exact.required_weights_version = 1;
    PlacementQuery tried = Query();
    tried.excluded = {"e0"};
    const Case cases[] = {
        {"usable", 1, false, Query(), true},      {"no weights", 0, false, Query(), false},
        {"swapping", 1, true, Query(), false},    {"older weights", 1, false, newer, false},
        {"newer weights", 2, false, newer, true}, {"other weights", 2, false, exact, false},
        {"tried before", 1, false, tried, false},
    };
    for (const auto& it : cases) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1, it.weights), EngineConfig());
      placement.OnEngineStatus({"10.0.0.0:80", 1, it.weights, 0, 0, it.swapping, 1}, now);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.usable, placement.Choose(it.query, now).has_value());
    }
  }

  // Guards against requests on weights that no sidecar has checked: the engine's own announcement,
  // which reaches this process on another way, names them as soon as they are loaded, while the
  // sidecar is paused, stopped or checking them.
  void UsesLoadedWeightsOnlyOnceTheirSidecarReportsThem() {
    constexpr const char* kAddress = "10.0.0.0:80";
    // A status has a start time of the engine, a version and whether a load is going on.
    struct Case {
      const char* name;
      std::vector<EngineStatus> before;
      std::int64_t announced_start;
      std::int64_t announced_weights;
      std::vector<EngineStatus> after;
      bool usable;
    };
    const EngineStatus idle{kAddress, 1, 1, 0, 0, false, 1};
    const EngineStatus swapping{kAddress, 1, 1, 0, 0, true, 1};
    const EngineStatus swapped{kAddress, 1, 2, 0, 0, false, 1};
    const EngineStatus checking{kAddress, 2, 2, 0, 0, true, 1};
    const EngineStatus restarted{kAddress, 2, 2, 0, 0, false, 1};
    const Case cases[] = {
        {"no status yet, as after a restart of this process", {}, 1, 2, {}, true},
        {"announced before the sidecar's next status", {idle}, 1, 2, {}, false},
        {"announced while the last status says swapping", {swapping}, 1, 2, {}, false},
        {"reported after the announcement", {swapping}, 1, 2, {swapped}, true},
        {"reported before the announcement", {swapping, swapped}, 1, 2, {}, true},
        {"a new incarnation without a status", {swapped}, 2, 2, {}, false},
        {"a new incarnation that is being checked", {swapped, checking}, 2, 2, {}, false},
        {"a new incarnation whose status came first", {swapped, restarted}, 2, 2, {}, true},
        {"a new incarnation whose status comes later", {swapped}, 2, 2, {restarted}, true},
        {"a late status of the old incarnation", {swapped}, 2, 2, {swapped}, false},
    };
    for (const auto& it : cases) {
      Placement placement(Settings(), 1);
      InstanceTable table = Engines(1, 1);
      placement.Sync(table, EngineConfig());
      for (const auto& status : it.before) placement.OnEngineStatus(status, At(seconds(1)));
      EndpointRecord record = *table.Find("e0");
      record.started_ms = it.announced_start;
      record.sequence = 2;
      record.weights = it.announced_weights;
      // A new incarnation mostly has a new id.
      if (it.announced_start != 1) record.id = "e1";
      table.Apply(record, At(seconds(1)));
      placement.Sync(table, EngineConfig());
      for (const auto& status : it.after) placement.OnEngineStatus(status, At(seconds(1)));
      // The time at which a status was received does not matter.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.usable,
                                   placement.Choose(Query(), At(seconds(10))).has_value());
    }
  }

  // Without subsets, several processes with the same outdated load reports would all choose the
  // endpoint that looks idle.
  void PrefersOwnSubsetUntilFull() {
    const std::map<std::string, std::string> processes{{"p1", "a"}, {"p2", "a"}};
    std::map<std::string, std::set<std::string>> used;
    for (const auto& [process, domain] : processes) {
      Placement placement(Settings(), 1);
      placement.SetProcesses(process, processes);
      placement.Sync(Engines(4), EngineConfig());
      const TimePoint now = At(seconds(1));
      for (int i = 0; i < 20; ++i) {
        const auto placed = placement.Choose(Query(), now);
        placement.RemovePending(placed->id, 1000);
        used[process].insert(placed->id);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used[process].size());
      for (int i = 0; i < 20; ++i) {
        const auto placed = placement.Choose(Query(), now);
        CPPUNIT_ASSERT(placed);
        placement.RemovePending(placed->id, 1000);
      }
    }
    for (const auto& id : used["p1"]) CPPUNIT_ASSERT(!used["p2"].contains(id));
  }

  // Guards against ejecting the only endpoint of a service because some requests failed.
  void KeepsOnlyEndpointDespiteFailures() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    for (int i = 0; i < 50; ++i) {
      const TimePoint now = At(seconds(1) + milliseconds(20) * i);
      CPPUNIT_ASSERT(placement.Choose(Query(), now));
      placement.RemovePending("e0", 1000);
      placement.Finish("e0", traffic::AttemptResult::kBroken, now);
    }
  }

  // An endpoint that fails requests immediately looks idle and would attract more of them.
  void PrefersHealthyEndpoints() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(4), EngineConfig());
    int failed = 0;
    for (int i = 0; i < 400; ++i) {
      const TimePoint now = At(seconds(1) + milliseconds(5) * i);
      const auto placed = placement.Choose(Query(), now);
      placement.RemovePending(placed->id, 1000);
      const bool bad = placed->id == "e2";
      failed += bad ? 1 : 0;
      placement.Finish(placed->id,
                       bad ? traffic::AttemptResult::kBroken : traffic::AttemptResult::kSuccess,
                       now + milliseconds(1));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(failed) + " of 400", failed < 40);
  }

  // Engines swap their weights one after the other under load. Until its swap, each accepts only
  // responses that end in time. A long response started shortly before the swap would delay it and
  // leave the engine working for one caller.
  void DrainsEngineBeforeSwap() {
    for (const SwapRow& row : kSwapRows) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1), EngineConfig());
      const TimePoint now = At(seconds(10));
      EngineStatus status{"10.0.0.0:80", 1, 1, 0, 0, false, 1};
      status.next_weights_version = row.next_weights_version;
      status.time_until_swap = milliseconds(row.time_until_swap_ms);
      placement.OnEngineStatus(status, now);
      auto query = Query();
      query.answer_tokens = row.answer_tokens;
      // From overdue_ms 0 version 2 is required without an announced swap, above 0 in all cases.
      query.min_weights_version = row.overdue_ms >= 0 ? 2 : 0;
      query.min_weights_version_if_busy = query.min_weights_version;
      query.min_weights_version_if_swap_planned = row.overdue_ms > 0 ? 2 : 0;
      const TimePoint then = now + milliseconds(row.status_age_ms);
      const auto placed = placement.Choose(query, then);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.accepted, placed.has_value());
      if (!placed) continue;
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             placement.WeightsAllowed(*placed, query, milliseconds(300), then));
      // After 2 s without a status the sidecar is taken for dead, and the announced swap does not
      // count any more.
      const bool may = placement.WeightsAllowed(*placed, query, milliseconds(3), then + seconds(2));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.overdue_ms < 0, may);
    }
  }

  // Guards against requests that reach an engine whose sidecar stopped right after it had told the
  // engine to load newer weights: the engine holds them until it has loaded, and then begins them
  // although their callers have left.
  void AvoidsEngineWithSilentSidecar() {
    for (const SilentSidecarRow& row : kSilentSidecarRows) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(2), EngineConfig());
      const TimePoint now = At(seconds(10));
      const TimePoint silent_since = now - milliseconds(row.silent_ms);
      auto query = Query();
      query.newest_weights_version = row.newest_weights_version;
      query.excluded = {"e1"};
      placement.OnEngineStatus({"10.0.0.0:80", 1, 1, 0, 0, false, 1}, silent_since);
      placement.OnEngineStatus({"10.0.0.1:80", 1, 1, 0, 0, false, 1},
                               now - milliseconds(row.other_ms));
      const auto before = placement.Choose(query, silent_since);
      CPPUNIT_ASSERT_MESSAGE(row.name, before.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.used,
                                   placement.WeightsAllowed(*before, query, milliseconds(3), now));
      placement.RemovePending("e0", 1000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.used, placement.Choose(query, now).has_value());
    }
  }

  // Guards against requests that are sent to an instance that stands still: its engine begins them
  // when the instance goes on, although their callers have left. They were sent there again once
  // the ones before them had been given up as silent.
  void AvoidsEngineOfSilentInstance() {
    for (const SilentInstanceRow& row : kSilentInstanceRows) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(2), EngineConfig());
      const TimePoint now = At(seconds(10));
      placement.OnEngineStatus({"10.0.0.0:80", 1, 1, 0, 0, false, 1},
                               now - milliseconds(row.silent_ms));
      if (row.response_ms) {
        placement.OnLoadReport("e0", {0, 0, kSlots, std::nullopt},
                               now - milliseconds(*row.response_ms));
      }
      placement.OnEngineStatus({"10.0.0.1:80", 1, 1, 0, 0, false, 1},
                               now - milliseconds(row.other_ms));
      auto query = Query();
      query.excluded = {"e1"};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.used, placement.Choose(query, now).has_value());
    }
  }

  // Guards against speeds that are used long after they were reported, and against a status that
  // was on its way while the endpoint reported a newer speed itself.
  void UsesNewestSpeed() {
    const auto prefers_second = [](Duration status_at, Duration now_after) {
      PlacementSettings settings = Settings();
      settings.cost_jitter = Duration::zero();
      Placement placement(settings, 1);
      placement.Sync(Engines(2), EngineConfig());
      const TimePoint now = At(seconds(1));
      for (int i = 0; i < 2; ++i) {
        placement.OnEngineStatus({"10.0.0." + std::to_string(i) + ":80", 1, 1, 8, 0, false, 1},
                                 now);
      }
      // The first endpoint has fewer requests and is slow.
      placement.OnLoadReport("e0", {6, 0, kSlots, 4.0}, now + milliseconds(10));
      if (status_at > Duration::zero()) {
        placement.OnEngineStatus({"10.0.0.0:80", 1, 1, 6, 0, false, 1}, now + status_at);
      }
      return placement.Choose(Query(), now + now_after)->id == "e1";
    };
    CPPUNIT_ASSERT(prefers_second(Duration::zero(), milliseconds(100)));
    CPPUNIT_ASSERT(prefers_second(milliseconds(40), milliseconds(100)));
    CPPUNIT_ASSERT(!prefers_second(milliseconds(90), milliseconds(100)));
    CPPUNIT_ASSERT(!prefers_second(Duration::zero(), milliseconds(600)));
  }

  // Guards against damaged or hostile reports that make a full endpoint appear free, or that let it
  // have more requests than it announced slots for.
  void DistrustsImplausibleReports() {
    for (const double slowdown : {0.0, -1.0, 1e300, std::nan("")}) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1), EngineConfig());
      const TimePoint now = At(seconds(1));
      placement.OnEngineStatus({"10.0.0.0:80", 1, 1, kSlots, 0, false, slowdown}, now);
      CPPUNIT_ASSERT(!placement.Choose(Query(), now));
      placement.OnLoadReport("e0", {100000, 100000, 100000, slowdown}, now);
      CPPUNIT_ASSERT(!placement.Choose(Query(), now));
      placement.OnLoadReport("e0", {kSlots, 0, 100000, slowdown}, now);
      CPPUNIT_ASSERT(!placement.Choose(Query(), now));
      placement.OnLoadReport("e0", {4, 0, 4, std::nullopt}, now);
      CPPUNIT_ASSERT(!placement.Choose(Query(), now));
    }
  }

  void ForgetsWeightsOfRestartedEndpoint() {
    Placement placement(Settings(), 1);
    auto table = Engines(1);
    placement.Sync(table, EngineConfig());
    const TimePoint now = At(seconds(1));
    // The sidecar reports the next incarnation before that has announced itself.
    placement.OnEngineStatus({"10.0.0.0:80", 2, 0, 0, 0, false, 1}, now);
    CPPUNIT_ASSERT(!placement.Choose(Query(), now));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(RefusesImmediatelyWithoutEndpoints);
  CPPUNIT_TEST(RefusesWaitingRequestAtLatestStart);
  CPPUNIT_TEST(SharesCapacityBetweenAccounts);
  CPPUNIT_TEST(ServesUrgentRequestsFirst);
  CPPUNIT_TEST(KeepsPlacesForUrgentRequestsUnderPressure);
  CPPUNIT_TEST(SpreadsRetryAfterTimes);
  CPPUNIT_TEST(ServesNewRequestsBeforeLateOnes);
  CPPUNIT_TEST(LengthensRetryAfterWithoutUsableEndpoint);
  CPPUNIT_TEST(TracksLongestCallerTimeout);
  CPPUNIT_TEST_SUITE_END();

  static AdmissionRequest Make(std::uint64_t id, const std::string& account, TimePoint now) {
    AdmissionRequest applicant;
    applicant.id = id;
    applicant.query = Query();
    applicant.account = account;
    applicant.arrived = now;
    applicant.latest_start = now + milliseconds(200);
    return applicant;
  }

  static void Fill(Placement& placement, TimePoint now) {
    while (placement.Choose(Query(), now)) placement.RemovePending("e0", 1000);
  }

 public:
  void RefusesImmediatelyWithoutEndpoints() {
    Placement placement(Settings(), 1);
    placement.Sync(InstanceTable(), EngineConfig());
    Admission admission(placement, 1);
    const auto verdict = admission.Offer(Make(1, "shop", At(seconds(1))), At(seconds(1)));
    CPPUNIT_ASSERT(std::get<Refusal>(verdict).reason == RefusalReason::kNoEndpoint);
    CPPUNIT_ASSERT(std::get<Refusal>(verdict).retry_after > Duration::zero());
  }

  // Guards against keeping a request queued that can no longer meet its latency objective.
  void RefusesWaitingRequestAtLatestStart() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    Fill(placement, now);
    CPPUNIT_ASSERT(
        std::holds_alternative<std::monostate>(admission.Offer(Make(1, "shop", now), now)));
    CPPUNIT_ASSERT(admission.ProcessWaiting(now + milliseconds(199)).empty());
    const auto verdicts = admission.ProcessWaiting(now + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT(std::get<Refusal>(verdicts[0].second).reason == RefusalReason::kWaitedTooLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, admission.waiting());
  }

  // Guards against requests of a small account that wait behind all of those of a large account
  // that keeps the queue full.
  void SharesCapacityBetweenAccounts() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    Fill(placement, now);
    for (std::uint64_t id = 1; id <= 20; ++id) admission.Offer(Make(id, "large", now), now);
    admission.Offer(Make(100, "small", now), now);
    // The large account has been served before.
    std::vector<std::uint64_t> order;
    for (int i = 0; i < 4; ++i) {
      placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
      for (const auto& [id, verdict] : admission.ProcessWaiting(now)) order.push_back(id);
    }
    const auto at = std::find(order.begin(), order.end(), 100) - order.begin();
    CPPUNIT_ASSERT_MESSAGE("position " + std::to_string(at), at <= 1);
  }

  void ServesUrgentRequestsFirst() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    Fill(placement, now);
    auto patient = Make(1, "a", now);
    patient.priority = 2;
    auto urgent = Make(2, "b", now);
    urgent.priority = 0;
    admission.Offer(patient, now);
    admission.Offer(urgent, now);
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    const auto verdicts = admission.ProcessWaiting(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, verdicts[0].first);
  }

  // Guards against urgent requests that find engines filled by less urgent ones, and against
  // callers with urgent requests that return after the others.
  void KeepsPlacesForUrgentRequestsUnderPressure() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    Admission admission(placement, 1);
    admission.SetRanks("assistant", 2);
    TimePoint now = At(seconds(1));
    const auto make = [&](std::uint64_t id, std::uint32_t priority) {
      auto request = Make(id, "a", now);
      request.priority = priority;
      request.latest_start = now + milliseconds(50);
      request.deadline = now + seconds(6);
      return request;
    };
    Fill(placement, now);
    admission.Offer(make(1, 0), now);
    now += milliseconds(50);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, admission.ProcessWaiting(now).size());
    // One slot is free, and an urgent request found none a moment ago.
    for (int i = 0; i < 2; ++i) placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(admission.Offer(make(2, 1), now)));
    CPPUNIT_ASSERT(std::holds_alternative<PlacementResult>(admission.Offer(make(3, 0), now)));
    double urgent = 0;
    double patient = 0;
    for (int i = 0; i < 100; ++i) {
      urgent += ToSeconds(admission.RetryAfter("assistant", 0, now + seconds(6), now));
      patient += ToSeconds(admission.RetryAfter("assistant", 1, now + seconds(6), now));
    }
    CPPUNIT_ASSERT(urgent < patient);
  }

  // After an outage, refused callers retry while new requests arrive. Each retry that is served
  // first makes a new request miss its objective as well.
  void ServesNewRequestsBeforeLateOnes() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    Fill(placement, now);
    auto late = Make(1, "a", now);
    late.query.late = true;
    late.latest_start = now + milliseconds(800);
    admission.Offer(late, now);
    admission.Offer(Make(2, "b", now), now);
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    auto verdicts = admission.ProcessWaiting(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, verdicts[0].first);
    // Waiting late requests do not make a new request wait.
    placement.RemovePending("e0", 1000);
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    CPPUNIT_ASSERT(
        std::holds_alternative<PlacementResult>(admission.Offer(Make(3, "b", now), now)));
    placement.RemovePending("e0", 1000);
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    // A single free slot is kept for the next new request.
    CPPUNIT_ASSERT(admission.ProcessWaiting(now).empty());
    verdicts.clear();
    for (std::uint32_t freed = 1; verdicts.empty() && freed < kSlots / 2; ++freed) {
      placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
      verdicts = admission.ProcessWaiting(now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, verdicts[0].first);
  }

  // Guards against retries that come so early that they are refused again because no endpoint is
  // usable yet.
  void LengthensRetryAfterWithoutUsableEndpoint() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(4), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    auto newer = Make(1, "a", now);
    newer.query.min_weights_version = 2;
    newer.latest_start = now;
    const auto verdict = admission.Offer(newer, now);
    CPPUNIT_ASSERT(std::get<Refusal>(verdict).retry_after > milliseconds(1200));
  }

  void TracksLongestCallerTimeout() {
    CallerTimeoutTracker tracker;
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(tracker.Record("r", seconds(6), now) == seconds(6));
    CPPUNIT_ASSERT(tracker.Record("r", seconds(4), now + seconds(1)) == seconds(6));
    CPPUNIT_ASSERT(tracker.Record("other", seconds(1), now + seconds(1)) == seconds(1));
    // Longer timeouts that callers no longer set are forgotten.
    CPPUNIT_ASSERT(tracker.Record("r", seconds(3), now + seconds(60)) == seconds(3));
  }

  // Callers that are refused at the same time must not retry at the same time, because they would
  // be refused again.
  void SpreadsRetryAfterTimes() {
    Placement placement(Settings(), 1);
    Admission admission(placement, 1);
    std::set<Duration> times;
    for (int i = 0; i < 50; ++i) times.insert(admission.RetryAfter("assistant", At(seconds(1))));
    CPPUNIT_ASSERT(times.size() > 40);
    CPPUNIT_ASSERT(*times.rbegin() - *times.begin() > milliseconds(100));
    CPPUNIT_ASSERT(*times.begin() > milliseconds(100));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace wagtailslip::serving
