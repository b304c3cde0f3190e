// Choice of endpoints and admission under the loads that they are made for.
#include "wagtailslip/serving/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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
    record.refreshed = At(seconds(0));
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

// An engine with version 1 whose sidecar has read it. Overdue is the time since the margin of an
// engine without an announced swap; above 0 that of an announced one has passed too.
struct SwapRow {
  const char* guards;
  std::int64_t next_weights;
  int swap_in_ms;
  double answer_tokens;
  int overdue_ms;
  int age_ms;
  bool taken;
};
constexpr SwapRow kSwapRows[] = {
    {"an answer that ends before the order", 2, 2000, 100, -1, 0, true},
    {"a long answer just before the order", 2, 500, 200, -1, 0, false},
    {"a short answer just before the order", 2, 500, 10, -1, 0, true},
    {"nothing announced", 0, 0, 200, -1, 0, true},
    {"older weights where nothing is announced", 0, 0, 10, 0, 0, false},
    {"older weights until the order", 2, 1000, 10, 0, 0, true},
    {"an announcement of a sidecar that has died", 2, 2000, 10, 0, 1100, false},
    {"older weights right before the bound", 2, 1000, 10, 1, 0, false},
};

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(AvoidsAnEndpointThatReadsALongPrompt);
  CPPUNIT_TEST(StopsAtTheSlots);
  CPPUNIT_TEST(EmptiesAnEngineBeforeItsSwap);
  CPPUNIT_TEST(PacesPromptsOfAnEmptyEngine);
  CPPUNIT_TEST(AvoidsAnEndpointBehindASlowLink);
  CPPUNIT_TEST(AvoidsAnEndpointThatBeginsNothing);
  CPPUNIT_TEST(DividesTheEndpointsWithDueWeights);
  CPPUNIT_TEST(SendsNothingToALeavingEndpoint);
  CPPUNIT_TEST(KeepsThePauseOfAnEndpoint);
  CPPUNIT_TEST(LeavesOutUnfitEndpoints);
  CPPUNIT_TEST(PrefersItsOwnPartUntilThatIsFull);
  CPPUNIT_TEST(KeepsALoneFailingEndpoint);
  CPPUNIT_TEST(LeavesAFailingEndpointForHealthyOnes);
  CPPUNIT_TEST(ForgetsWeightsOfARestartedEndpoint);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Pattern: an endpoint with few requests whose prompts are long answers later than one with more
  // requests that are already running.
  void AvoidsAnEndpointThatReadsALongPrompt() {
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

  void StopsAtTheSlots() {
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
    // A report of requests of other processes takes the room as well.
    Placement other(Settings(), 1);
    other.Sync(Engines(1), EngineConfig());
    other.OnEngineStatus({"10.0.0.0:80", 1, 1, kSlots, 2, false, 1}, now);
    CPPUNIT_ASSERT(!other.Choose(Query(), now));
    CPPUNIT_ASSERT(other.Choose(Query(), now + seconds(5)));
  }

  // Pattern: a machine behind a narrow link looks idle, because requests reach it late. One that
  // waits on its way may begin after the bound of its weights, or after its caller has left.
  void AvoidsAnEndpointBehindASlowLink() {
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
    auto ending = Query();
    ending.min_weights_version_if_busy = 2;
    CPPUNIT_ASSERT(placement.Choose(ending, now));
    ending.excluded = {"e0"};
    CPPUNIT_ASSERT(!placement.Choose(ending, now));
    // A link is not known for ever.
    ending.excluded = {};
    CPPUNIT_ASSERT(!placement.Choose(ending, now + seconds(4)));
    ending.min_weights_version_if_busy = 0;
    ending.excluded = {"e0"};
    CPPUNIT_ASSERT(placement.Choose(ending, now + seconds(4)));
  }

  // Pattern: a machine's link is narrowed while it fetches chunks. Connections are quick, requests
  // stand, and the engine looks idle until the first of them is given up after 1.8 s.
  void AvoidsAnEndpointThatBeginsNothing() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(placement.Choose(Query(100), now));
    CPPUNIT_ASSERT(placement.Choose(Query(100), now + milliseconds(500)));
    CPPUNIT_ASSERT(!placement.Choose(Query(100), now + milliseconds(800)));
    // The first begins; the second has waited for 0.3 s.
    placement.RemovePending("e0", 100);
    CPPUNIT_ASSERT(placement.Choose(Query(100), now + milliseconds(800)));
    CPPUNIT_ASSERT(!placement.Choose(Query(100), now + milliseconds(1300)));
  }

  // Pattern: few endpoints have the weights that are due; all processes see them idle and send them
  // more than they can read.
  void DividesTheEndpointsWithDueWeights() {
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
      // The last one begins within the longest objective of the users' prompts, 500 ms.
      CPPUNIT_ASSERT_MESSAGE(std::to_string(n), n * 1000 / 19.1 <= 500);
    }
  }

  // Pattern: engines that come back empty take the whole queue at once and read one prompt after
  // the other, so that most miss their objective although every engine looks free.
  void PacesPromptsOfAnEmptyEngine() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    const TimePoint now = At(seconds(1));
    const auto prompt_ms = 1000 / 19.1;
    int placed = 0;
    while (placement.Choose(Query(), now)) ++placed;
    // The last one begins within 400 ms, the shortest objective of the users' prompts.
    CPPUNIT_ASSERT(placed * prompt_ms <= 400);
    CPPUNIT_ASSERT(placed * prompt_ms >= 150);
    auto late = Query();
    late.late = true;
    for (int i = 0; i + 2 < placed; ++i) placement.RemovePending("e0", 1000);
    CPPUNIT_ASSERT_MESSAGE("a late one does not block the next", !placement.Choose(late, now));
    CPPUNIT_ASSERT(placement.Choose(Query(), now));
    for (int i = 0; i < placed; ++i) placement.RemovePending("e0", 1000);
    CPPUNIT_ASSERT(placement.Choose(late, now));
    // A prompt of any length is read where none waits.
    for (int i = 0; i < placed; ++i) placement.RemovePending("e0", 1000);
    CPPUNIT_ASSERT(placement.Choose(Query(20000), now));
  }

  // Guards against requests to an endpoint that said in an answer that it leaves, while its own
  // announcement is still under way or says otherwise. A new start under its id takes requests.
  void SendsNothingToALeavingEndpoint() {
    Placement placement(Settings(), 1);
    auto table = Engines(1);
    placement.Sync(table, EngineConfig());
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(placement.Choose(Query(), now));
    CPPUNIT_ASSERT(placement.MarkLeaving("e0"));
    CPPUNIT_ASSERT_MESSAGE("is reported once", !placement.MarkLeaving("e0"));
    CPPUNIT_ASSERT(!placement.Choose(Query(), now));
    CPPUNIT_ASSERT_MESSAGE("a connection may be open already", !placement.Accepts("e0", now));
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
    CPPUNIT_ASSERT(!placement.MarkLeaving("unknown"));
  }

  // Guards against requests to an endpoint that asked for a pause, up to its end and not beyond.
  void KeepsThePauseOfAnEndpoint() {
    struct Case {
      const char* name;
      Duration after;
      bool accepts;
    };
    const Case cases[] = {{"at once", milliseconds(0), false},
                          {"after the pause of a full endpoint", milliseconds(500), false},
                          {"just before the end", milliseconds(2999), false},
                          {"at the end", milliseconds(3000), true}};
    for (const auto& [name, after, accepts] : cases) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1), EngineConfig());
      const TimePoint now = At(seconds(1));
      placement.Choose(Query(), now);
      // The request that was answered with the pause is over.
      placement.RemovePending("e0", 1000);
      placement.Pause("e0", seconds(3), now);
      // The shorter pause after a refusal does not end the longer one.
      placement.OnRefused("e0", now);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, accepts, placement.Accepts("e0", now + after));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, accepts,
                                   placement.Choose(Query(), now + after).has_value());
    }
  }

  // Guards against requests to endpoints that would refuse them or answer with other weights.
  void LeavesOutUnfitEndpoints() {
    const TimePoint now = At(seconds(1));
    struct Case {
      const char* name;
      std::int64_t weights;
      bool swapping;
      PlacementQuery query;
      bool fits;
    };
    PlacementQuery newer = Query();
    newer.min_weights_version = 2;
    PlacementQuery exact = Query();
    exact.required_weights_version = 1;
    PlacementQuery tried = Query();
    tried.excluded = {"e0"};
    const Case cases[] = {
        {"fit", 1, false, Query(), true},         {"no weights", 0, false, Query(), false},
        {"swapping", 1, true, Query(), false},    {"older weights", 1, false, newer, false},
        {"new weights", 2, false, newer, true},   {"other weights", 2, false, exact, false},
        {"tried before", 1, false, tried, false},
    };
    for (const auto& it : cases) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1, it.weights), EngineConfig());
      placement.OnEngineStatus({"10.0.0.0:80", 1, it.weights, 0, 0, it.swapping, 1}, now);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.fits, placement.Choose(it.query, now).has_value());
    }
  }

  // Pattern: several processes that see the same lagging reports would all choose the endpoint that
  // looks idle.
  void PrefersItsOwnPartUntilThatIsFull() {
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

  // Guards against a service that is given up because its only endpoint failed some requests.
  void KeepsALoneFailingEndpoint() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    for (int i = 0; i < 50; ++i) {
      const TimePoint now = At(seconds(1) + milliseconds(20) * i);
      CPPUNIT_ASSERT(placement.Choose(Query(), now));
      placement.RemovePending("e0", 1000);
      placement.Finish("e0", traffic::AttemptResult::kBroken, now);
    }
  }

  // Pattern: an endpoint that fails at once looks idle and draws requests.
  void LeavesAFailingEndpointForHealthyOnes() {
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

  // Pattern: engines change their weights one after the other under load. Until its order each goes
  // on with what ends in time; a long answer begun just before would leave the engine working for
  // one caller.
  void EmptiesAnEngineBeforeItsSwap() {
    for (const SwapRow& row : kSwapRows) {
      Placement placement(Settings(), 1);
      placement.Sync(Engines(1), EngineConfig());
      const TimePoint now = At(seconds(10));
      EngineStatus reading{"10.0.0.0:80", 1, 1, 0, 0, false, 1};
      reading.next_weights_version = row.next_weights;
      reading.time_until_swap = milliseconds(row.swap_in_ms);
      placement.OnEngineStatus(reading, now);
      auto query = Query();
      query.answer_tokens = row.answer_tokens;
      // The first margins have passed, and with the last row the last one as well.
      query.min_weights_version = row.overdue_ms >= 0 ? 2 : 0;
      query.min_weights_version_if_busy = query.min_weights_version;
      query.min_weights_version_if_swap_planned = row.overdue_ms > 0 ? 2 : 0;
      const TimePoint then = now + milliseconds(row.age_ms);
      const auto placed = placement.Choose(query, then);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.guards, row.taken, placed.has_value());
      if (!placed) continue;
      CPPUNIT_ASSERT_MESSAGE(row.guards,
                             placement.WeightsAllowed(*placed, query, milliseconds(300), then));
      // The sidecar has died meanwhile: nothing cuts the engine off any more.
      const bool may = placement.WeightsAllowed(*placed, query, milliseconds(3), then + seconds(2));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.guards, row.overdue_ms < 0, may);
    }
  }

  void ForgetsWeightsOfARestartedEndpoint() {
    Placement placement(Settings(), 1);
    auto table = Engines(1);
    placement.Sync(table, EngineConfig());
    const TimePoint now = At(seconds(1));
    // The sidecar reads the next incarnation before it has announced itself.
    placement.OnEngineStatus({"10.0.0.0:80", 2, 0, 0, 0, false, 1}, now);
    CPPUNIT_ASSERT(!placement.Choose(Query(), now));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(RefusesAtOnceWithoutEndpoints);
  CPPUNIT_TEST(EndsAWaitAtTheLatestStart);
  CPPUNIT_TEST(SmallAccountPassesALargeOne);
  CPPUNIT_TEST(UrgentGoesFirst);
  CPPUNIT_TEST(SpreadsTheReturnOfRefusedCallers);
  CPPUNIT_TEST(NewRequestsGoBeforeLateOnes);
  CPPUNIT_TEST(ReturnsLaterWhileNoneMayAnswer);
  CPPUNIT_TEST(LearnsTheTimeThatCallersGive);
  CPPUNIT_TEST_SUITE_END();

  static Applicant Make(std::uint64_t id, const std::string& account, TimePoint now) {
    Applicant applicant;
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
  void RefusesAtOnceWithoutEndpoints() {
    Placement placement(Settings(), 1);
    placement.Sync(InstanceTable(), EngineConfig());
    Admission admission(placement, 1);
    const auto verdict = admission.Offer(Make(1, "shop", At(seconds(1))), At(seconds(1)));
    CPPUNIT_ASSERT(std::get<Refusal>(verdict).reason == RefusalReason::kNoEndpoint);
    CPPUNIT_ASSERT(std::get<Refusal>(verdict).retry_after > Duration::zero());
  }

  // Guards against a request that is held although it can no longer meet its objective.
  void EndsAWaitAtTheLatestStart() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(1), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    Fill(placement, now);
    CPPUNIT_ASSERT(
        std::holds_alternative<std::monostate>(admission.Offer(Make(1, "shop", now), now)));
    CPPUNIT_ASSERT(admission.Pump(now + milliseconds(199)).empty());
    const auto verdicts = admission.Pump(now + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT(std::get<Refusal>(verdicts[0].second).reason == RefusalReason::kWaitedTooLong);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, admission.waiting());
  }

  // Pattern: a large account keeps the queue full; a small one must not wait behind all of it.
  void SmallAccountPassesALargeOne() {
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
      for (const auto& [id, verdict] : admission.Pump(now)) order.push_back(id);
    }
    const auto at = std::find(order.begin(), order.end(), 100) - order.begin();
    CPPUNIT_ASSERT_MESSAGE("position " + std::to_string(at), at <= 1);
  }

  void UrgentGoesFirst() {
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
    const auto verdicts = admission.Pump(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, verdicts[0].first);
  }

  // Pattern: after an outage, callers that were refused come back beside new ones. Each that is
  // served first makes a new one miss its objective as well.
  void NewRequestsGoBeforeLateOnes() {
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
    auto verdicts = admission.Pump(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, verdicts[0].first);
    // A new request is not made to wait because late ones do.
    placement.RemovePending("e0", 1000);
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    CPPUNIT_ASSERT(
        std::holds_alternative<PlacementResult>(admission.Offer(Make(3, "b", now), now)));
    placement.RemovePending("e0", 1000);
    placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
    // One free slot is left to the next new request.
    CPPUNIT_ASSERT(admission.Pump(now).empty());
    verdicts.clear();
    for (std::uint32_t freed = 1; verdicts.empty() && freed < kSlots / 2; ++freed) {
      placement.Finish("e0", traffic::AttemptResult::kSuccess, now);
      verdicts = admission.Pump(now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verdicts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, verdicts[0].first);
  }

  // Guards against returns that only meet the next refusal while no endpoint may answer.
  void ReturnsLaterWhileNoneMayAnswer() {
    Placement placement(Settings(), 1);
    placement.Sync(Engines(4), EngineConfig());
    Admission admission(placement, 1);
    const TimePoint now = At(seconds(1));
    auto overtaken = Make(1, "a", now);
    overtaken.query.min_weights_version = 2;
    overtaken.latest_start = now;
    const auto verdict = admission.Offer(overtaken, now);
    CPPUNIT_ASSERT(std::get<Refusal>(verdict).retry_after > milliseconds(1200));
  }

  void LearnsTheTimeThatCallersGive() {
    CallerTimeoutTracker usual;
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(usual.Record("r", seconds(6), now) == seconds(6));
    CPPUNIT_ASSERT(usual.Record("r", seconds(4), now + seconds(1)) == seconds(6));
    CPPUNIT_ASSERT(usual.Record("other", seconds(1), now + seconds(1)) == seconds(1));
    // A route whose callers give less from now on is learned anew.
    CPPUNIT_ASSERT(usual.Record("r", seconds(3), now + seconds(60)) == seconds(3));
  }

  // Pattern: callers that were refused together come back together and are refused again.
  void SpreadsTheReturnOfRefusedCallers() {
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
