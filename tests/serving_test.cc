// Routes, the instance table, the attempt policy, the retry budget, event streams, swap and stop
// plans, weights targets and subsets.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/serving/attempt_policy.h"
#include "wagtailslip/serving/event_stream.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/route_table.h"
#include "wagtailslip/serving/service_config.h"
#include "wagtailslip/serving/stop_plan.h"
#include "wagtailslip/serving/stream_progress.h"
#include "wagtailslip/serving/subsets.h"
#include "wagtailslip/serving/swap_plan.h"
#include "wagtailslip/serving/weights_targets.h"

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration d) { return TimePoint(d + seconds(1000)); }

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.timeout = seconds(1);
  route.services = {{"bookings", 1}};
  return route;
}

ServiceConfig MakeConfig() {
  ServiceConfig config;
  config.version = 3;
  config.services.push_back({"bookings", "/healthz", 10, std::nullopt, ""});
  config.services.push_back({"assistant", "/healthz", 10, std::nullopt, ""});
  config.routes = {MakeRoute("desk.example", "/a/"), MakeRoute("desk.example", "/a/b/"),
                   MakeRoute("other.example", "/")};
  config.accounts = std::vector<Account>{{"shop", {"key-1", "key-2"}, 1}, {"seller", {"key-3"}, 0}};
  return config;
}

EndpointRecord Record(const std::string& id, std::int64_t started, std::int64_t sequence,
                      const std::string& address = "10.0.0.1:80") {
  EndpointRecord record;
  record.id = id;
  record.started_ms = started;
  record.sequence = sequence;
  record.service = "bookings";
  record.address = address;
  record.failure_domain = "a";
  record.slots = 4;
  record.announced_at = At(seconds(0));
  return record;
}

class ServiceConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceConfigTest);
  CPPUNIT_TEST(RejectsInconsistentConfigs);
  CPPUNIT_TEST(FindsTheLongestPrefixOfAHost);
  CPPUNIT_TEST(FindsAccountsByKey);
  CPPUNIT_TEST(RanksAccountsBeforeRoutes);
  CPPUNIT_TEST(SplitsRequestsByWeight);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against acknowledging a configuration that cannot be applied.
  void RejectsInconsistentConfigs() {
    struct Case {
      const char* name;
      void (*make_invalid)(ServiceConfig&);
    };
    const Case cases[] = {
        {"unknown service", [](ServiceConfig& c) { c.routes[0].services[0].service = "nowhere"; }},
        {"same host and prefix", [](ServiceConfig& c) { c.routes[1].prefix = "/a/"; }},
        {"zero weight", [](ServiceConfig& c) { c.routes[0].services[0].weight = 0; }},
        {"no service at all", [](ServiceConfig& c) { c.routes[0].services.clear(); }},
        {"no timeout", [](ServiceConfig& c) { c.routes[2].timeout = Duration::zero(); }},
        {"key of two accounts",
         [](ServiceConfig& c) { c.accounts->at(1).keys.push_back("key-1"); }},
        {"repeated service", [](ServiceConfig& c) { c.services[1].name = "bookings"; }},
    };
    Validate(MakeConfig());
    for (const auto& it : cases) {
      ServiceConfig config = MakeConfig();
      it.make_invalid(config);
      CPPUNIT_ASSERT_THROW_MESSAGE(it.name, Validate(config), ServingError);
    }
    ServiceConfig same_account = MakeConfig();
    same_account.accounts->at(0).keys.push_back("key-1");
    Validate(same_account);
  }

  // Guards against routing a request by a shorter prefix or by the route of another host.
  void FindsTheLongestPrefixOfAHost() {
    const RouteTable table(std::make_shared<const ServiceConfig>(MakeConfig()));
    struct Case {
      const char* host;
      const char* path;
      const char* route;
    };
    const Case cases[] = {
        {"desk.example", "/a/x", "desk.example/a/"},
        {"desk.example", "/a/b/x", "desk.example/a/b/"},
        {"DESK.example:80", "/a/b/", "desk.example/a/b/"},
        {"desk.example", "/a", ""},
        {"desk.example", "/c/", ""},
        {"other.example", "/c/", "other.example/"},
        {"nobody.example", "/a/", ""},
    };
    for (const auto& it : cases) {
      const Route* route = table.Find(it.host, it.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(it.host) + it.path, std::string(it.route),
                                   route == nullptr ? std::string() : route->name);
    }
  }

  void FindsAccountsByKey() {
    const RouteTable table(std::make_shared<const ServiceConfig>(MakeConfig()));
    CPPUNIT_ASSERT_EQUAL(std::string("shop"), table.FindAccount("key-2")->name);
    CPPUNIT_ASSERT(table.FindAccount("key-4") == nullptr);
    CPPUNIT_ASSERT(table.FindAccount("") == nullptr);
    CPPUNIT_ASSERT(table.needs_key());
  }

  // Guards against accounts without a priority that count as the most urgent ones, and against
  // route priorities that outweigh those of accounts.
  void RanksAccountsBeforeRoutes() {
    ServiceConfig config = MakeConfig();
    config.routes.resize(2);
    config.routes[0].priority = 2;
    config.routes[1].priority = 1;
    config.accounts->push_back({"desk", {"key-4"}, std::nullopt});
    const RouteTable table(std::make_shared<const ServiceConfig>(config));
    struct Case {
      const char* key;
      std::size_t route;
      std::uint32_t rank;
    };
    // The priorities are (0, 1), (0, 2), (1, 1), (1, 2) and (2, 2).
    const Case cases[] = {{"key-3", 1, 0}, {"key-3", 0, 1}, {"key-1", 1, 2},
                          {"key-4", 1, 2}, {"key-1", 0, 3}, {"key-4", 0, 4}};
    for (const auto& it : cases) {
      const auto priority = PriorityOf(config.routes[it.route], table.FindAccount(it.key));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.key, it.rank, table.Rank("bookings", priority));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, table.RankCount("bookings"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.RankCount("assistant"));
  }

  // Guards against sending requests to a service with weight 0.
  void SplitsRequestsByWeight() {
    Route route = MakeRoute("desk.example", "/");
    route.services = {{"assistant", 0}, {"bookings", 90}, {"other", 10}};
    std::map<std::string, int> counts;
    for (std::uint64_t key = 0; key < 1000; ++key) ++counts[PickService(route, key)];
    CPPUNIT_ASSERT_EQUAL(0, counts["assistant"]);
    CPPUNIT_ASSERT_EQUAL(900, counts["bookings"]);
    CPPUNIT_ASSERT_EQUAL(100, counts["other"]);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServiceConfigTest);

class InstanceTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceTableTest);
  CPPUNIT_TEST(IgnoresOutdatedAnnouncements);
  CPPUNIT_TEST(GivesAnAddressToTheNewestIncarnation);
  CPPUNIT_TEST(DoesNotRestoreAnEndpointThatLeft);
  CPPUNIT_TEST(AppliesALeaveWithoutIncarnation);
  CPPUNIT_TEST(AppliesALeaveWithALowerSequence);
  CPPUNIT_TEST(RestoresAnEndpointThatGoesOn);
  CPPUNIT_TEST(EndsOnlyWhatStartedBeforeACallToLeave);
  CPPUNIT_TEST(TellsOthersOfTheEndsItKnows);
  CPPUNIT_TEST(KeepsAServiceWithoutAnyAnnouncements);
  CPPUNIT_TEST(ForeignWritersTakeNothingFromEndpoints);
  CPPUNIT_TEST(EndpointsTakeBackWhatForeignWritersHold);
  CPPUNIT_TEST(KeepsEndpointsWhoseServiceIsNamedLater);
  CPPUNIT_TEST(ForeignWritersSayNothingOfEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a delayed announcement that overwrites a newer one.
  void IgnoresOutdatedAnnouncements() {
    InstanceTable table;
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(table.Apply(Record("i", 5, 4), now) == AnnouncementResult::kChanged);
    auto draining = Record("i", 5, 6);
    draining.state = EndpointState::kDraining;
    CPPUNIT_ASSERT(table.Apply(draining, now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(table.Apply(Record("i", 5, 5), now) == AnnouncementResult::kIgnored);
    CPPUNIT_ASSERT(table.Apply(Record("i", 4, 9), now) == AnnouncementResult::kIgnored);
    CPPUNIT_ASSERT(table.Find("i")->state == EndpointState::kDraining);
    // After a restart the sequence numbers of an id start again.
    CPPUNIT_ASSERT(table.Apply(Record("i", 7, 1), now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(table.Find("i")->state == EndpointState::kServing);
    CPPUNIT_ASSERT(table.Apply(Record("i", 7, 2), now) == AnnouncementResult::kRefreshed);
  }

  // Guards against two endpoints with the same address after the address was reused.
  void GivesAnAddressToTheNewestIncarnation() {
    InstanceTable table;
    const TimePoint now = At(seconds(1));
    table.Apply(Record("old", 5, 4), now);
    CPPUNIT_ASSERT(table.Apply(Record("new", 9, 1), now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(table.Find("old") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), table.FindByAddress("10.0.0.1:80")->id);
    CPPUNIT_ASSERT(table.Apply(Record("old", 5, 5), now) == AnnouncementResult::kIgnored);
    CPPUNIT_ASSERT(table.Apply(Record("older", 3, 1), now) == AnnouncementResult::kIgnored);
  }

  // Guards against sending requests to an endpoint that has left because of an announcement that
  // was still in transit.
  void DoesNotRestoreAnEndpointThatLeft() {
    InstanceTable table;
    const TimePoint now = At(seconds(1));
    table.Apply(Record("i", 5, 4), now);
    const auto gone = table.Leave("i", now);
    CPPUNIT_ASSERT(gone.state == EndpointState::kGone);
    CPPUNIT_ASSERT(table.Apply(Record("i", 5, 9), now) == AnnouncementResult::kIgnored);
    CPPUNIT_ASSERT(table.Apply(Record("i", 6, 1), now) == AnnouncementResult::kChanged);
    // Another process that knows the endpoint applies the relayed record.
    InstanceTable other;
    other.Apply(Record("i", 5, 4), now);
    CPPUNIT_ASSERT(other.Apply(gone, now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(other.Find("i") == nullptr);
  }

  void AppliesALeaveWithoutIncarnation() {
    InstanceTable table;
    const TimePoint now = At(seconds(1));
    CPPUNIT_ASSERT(table.Leave("i", now).id.empty());
    table.Apply(Record("i", 5, 4), now);
    EndpointRecord gone;
    gone.id = "i";
    gone.state = EndpointState::kGone;
    CPPUNIT_ASSERT(table.Apply(gone, now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(table.Find("i") == nullptr);
  }

  // Guards against requests to an endpoint that has left: the process that relays its leave
  // announcement may have missed the endpoint's last announcements and give it a lower sequence
  // number.
  void AppliesALeaveWithALowerSequence() {
    const TimePoint now = At(seconds(1));
    InstanceTable relay;
    relay.Apply(Record("i", 5, 4), now);
    InstanceTable table;
    table.Apply(Record("i", 5, 12), now);
    CPPUNIT_ASSERT(table.Apply(relay.Leave("i", now), now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(table.Find("i") == nullptr);
    // A later incarnation is not affected.
    table.Apply(Record("i", 7, 1), now);
    auto gone = Record("i", 5, 20);
    gone.state = EndpointState::kGone;
    CPPUNIT_ASSERT(table.Apply(gone, now) == AnnouncementResult::kIgnored);
  }

  // Guards against two faults: a call to leave that was held up ends the next incarnation of the
  // endpoint for good; announcements that were held up bring an endpoint back that has left.
  void RestoresAnEndpointThatGoesOn() {
    struct Row {
      const char* name;
      std::int64_t sequence;
      Duration after_leave;
      AnnouncementResult expected;
    };
    const Row rows[] = {
        {"sent before the call", 4, seconds(60), AnnouncementResult::kIgnored},
        {"numbers rise, but may have been sent before the call", 9,
         kMaxAnnouncementDelay - milliseconds(1), AnnouncementResult::kIgnored},
        {"late, and few numbers after the last one known", 4 + kMinLaterAnnouncements,
         kMaxAnnouncementDelay, AnnouncementResult::kIgnored},
        {"numbers rise for longer than a call is on its way", 5 + kMinLaterAnnouncements,
         kMaxAnnouncementDelay, AnnouncementResult::kRestored},
    };
    const TimePoint left_at = At(seconds(1));
    for (const bool relayed : {false, true}) {
      for (const auto& row : rows) {
        InstanceTable table;
        table.Apply(Record("i", 5, 4), left_at);
        const auto end = table.Leave("i", left_at);
        InstanceTable other;
        other.Apply(Record("i", 5, 4), left_at);
        other.Apply(end, left_at);
        auto record = Record("i", 5, row.sequence);
        record.announced_at = left_at + row.after_leave;
        InstanceTable& judged = relayed ? other : table;
        CPPUNIT_ASSERT_MESSAGE(row.name, judged.Apply(record, record.announced_at) == row.expected);
        const bool restored = row.expected == AnnouncementResult::kRestored;
        CPPUNIT_ASSERT_MESSAGE(row.name, (judged.Find("i") != nullptr) == restored);
        // The end is learned again, later, from a process that has heard nothing since.
        judged.Apply(end, record.announced_at);
        CPPUNIT_ASSERT_MESSAGE(row.name, (judged.Find("i") != nullptr) == restored);
      }
    }
  }

  // Guards against a call to leave, at a process that does not know the endpoint, which ends an
  // incarnation elsewhere that started after the call.
  void EndsOnlyWhatStartedBeforeACallToLeave() {
    const TimePoint now = At(seconds(1));
    EndpointRecord end;
    end.id = "i";
    end.started_ms = 100;
    end.state = EndpointState::kGone;
    end.announced_at = now;
    struct Row {
      std::int64_t started_ms;
      bool remains;
    };
    for (const Row& row : {Row{99, false}, Row{100, false}, Row{101, true}}) {
      for (const bool end_first : {false, true}) {
        InstanceTable table;
        if (end_first) table.Apply(end, now);
        table.Apply(Record("i", row.started_ms, 4), now);
        if (!end_first) table.Apply(end, now);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.started_ms), row.remains,
                                     table.Find("i") != nullptr);
      }
    }
  }

  // Guards against an endpoint that has left and remains in use at a process that missed its end,
  // and against an end that is kept longer each time it is passed on.
  void TellsOthersOfTheEndsItKnows() {
    constexpr int kEnds = 11000;
    InstanceTable table;
    for (int i = 0; i < kEnds; ++i) {
      const TimePoint now = At(milliseconds(i));
      const std::string id = std::to_string(i);
      table.Apply(Record(id, 5, 4, "10.0.0.1:" + id), now);
      table.Leave(id, now);
    }
    InstanceTable other;
    const std::string last = std::to_string(kEnds - 1);
    other.Apply(Record(last, 5, 7), At(seconds(1)));
    for (const auto& it : table.Snapshot()) other.Apply(it, At(seconds(60)));
    CPPUNIT_ASSERT(other.Find(last) == nullptr);
    // The oldest ends made room for the others.
    const auto ends = other.Snapshot();
    CPPUNIT_ASSERT_EQUAL(std::size_t{10000}, ends.size());
    for (const auto& it : ends) CPPUNIT_ASSERT(it.announced_at >= At(milliseconds(kEnds - 10000)));
    other.Expire(kEndpointTtl, kServiceActiveWindow, At(seconds(200)));
    CPPUNIT_ASSERT(other.Snapshot().empty());
  }

  // Guards against removing all endpoints of a service because announcements do not arrive.
  void KeepsAServiceWithoutAnyAnnouncements() {
    InstanceTable table;
    table.Apply(Record("a", 5, 4, "10.0.0.1:80"), At(seconds(0)));
    table.Apply(Record("b", 5, 4, "10.0.0.2:80"), At(seconds(0)));
    CPPUNIT_ASSERT(table.Expire(seconds(10), seconds(2), At(seconds(60))).empty());
    auto heard = Record("b", 5, 5, "10.0.0.2:80");
    heard.announced_at = At(seconds(60));
    table.Apply(heard, At(seconds(60)));
    const auto silent = table.Expire(seconds(10), seconds(2), At(seconds(61)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, silent.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), silent[0]);
    // The endpoint was only disconnected and announces itself under the same incarnation.
    CPPUNIT_ASSERT(table.Apply(Record("a", 5, 9, "10.0.0.1:80"), At(seconds(62))) ==
                   AnnouncementResult::kChanged);
  }

  /// An announcement of a service that no configuration names.
  static EndpointRecord Foreign(const std::string& id, std::int64_t started, std::int64_t sequence,
                                const std::string& address = "10.0.0.1:80") {
    auto record = Record(id, started, sequence, address);
    record.service = "nobody's";
    return record;
  }

  // Guards against an endpoint that is out of use for good because another writer announced a
  // service of its own under the endpoint's address or id.
  void ForeignWritersTakeNothingFromEndpoints() {
    struct Row {
      const char* name;
      std::vector<EndpointRecord> foreign;
    };
    const Row rows[] = {
        {"address, later start", {Foreign("f", 9, 1)}},
        {"address, earlier start", {Foreign("f", 1, 1)}},
        {"id, later start", {Foreign("i", 9, 1)}},
        {"id, same start, higher number", {Foreign("i", 5, 900)}},
        {"id, other address", {Foreign("i", 9, 1, "10.0.0.9:80")}},
        {"several in a row", {Foreign("f", 9, 1), Foreign("f", 9, 2), Foreign("g", 10, 1)}},
    };
    const TimePoint now = At(seconds(1));
    for (const auto& row : rows) {
      InstanceTable table;
      table.SetServices({"bookings"});
      table.Apply(Record("i", 5, 4), now);
      for (const auto& it : row.foreign) {
        CPPUNIT_ASSERT_MESSAGE(row.name, table.Apply(it, now) == AnnouncementResult::kIgnored);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("bookings"), table.Find("i")->service);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("i"),
                                   table.FindByAddress("10.0.0.1:80")->id);
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             table.Apply(Record("i", 5, 5), now) == AnnouncementResult::kRefreshed);
      // A successor takes over at once, and the endpoint before it does not come back.
      CPPUNIT_ASSERT_MESSAGE(
          row.name, table.Apply(Record("next", 7, 1), now) == AnnouncementResult::kChanged);
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             table.Apply(Record("i", 5, 6), now) == AnnouncementResult::kIgnored);
    }
  }

  // Guards against an endpoint that stays out of use because a foreign announcement came first, or
  // before there was a configuration.
  void EndpointsTakeBackWhatForeignWritersHold() {
    struct Row {
      const char* name;
      EndpointRecord foreign;
      bool named_before;
      bool endpoint_first;
    };
    const Row rows[] = {
        {"address", Foreign("f", 9, 7), true, false},
        {"id", Foreign("i", 9, 7), true, false},
        {"address, before the configuration", Foreign("f", 9, 7), false, false},
        {"id, before the configuration", Foreign("i", 9, 7), false, false},
        {"address of a known endpoint, before the configuration", Foreign("f", 9, 7), false, true},
        {"id of a known endpoint, before the configuration", Foreign("i", 9, 7), false, true},
    };
    const TimePoint now = At(seconds(1));
    for (const auto& row : rows) {
      InstanceTable table;
      table.SetServices(row.named_before ? std::set<std::string>{"bookings"}
                                         : std::set<std::string>{});
      if (row.endpoint_first) table.Apply(Record("i", 5, 3), now);
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             table.Apply(row.foreign, now) == AnnouncementResult::kChanged);
      table.SetServices({"bookings"});
      CPPUNIT_ASSERT_MESSAGE(row.name,
                             table.Apply(Record("i", 5, 4), now) == AnnouncementResult::kChanged);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("bookings"), table.Find("i")->service);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{1}, table.endpoints().size());
    }
  }

  // Guards against an endpoint that has to wait for its next announcement although its service has
  // just been named, and against one that is taken for gone while its service is not named.
  void KeepsEndpointsWhoseServiceIsNamedLater() {
    InstanceTable table;
    table.SetServices({});
    const TimePoint now = At(seconds(1));
    table.Apply(Record("i", 5, 4), now);
    table.SetServices({"bookings"});
    CPPUNIT_ASSERT_EQUAL(std::string("i"), table.FindByAddress("10.0.0.1:80")->id);
    // The configuration drops the service, and another one's endpoint gets the address meanwhile.
    table.SetServices({"assistant"});
    auto other = Record("other", 7, 1);
    other.service = "assistant";
    CPPUNIT_ASSERT(table.Apply(other, now) == AnnouncementResult::kChanged);
    CPPUNIT_ASSERT(table.Apply(Record("i", 5, 5), now) == AnnouncementResult::kIgnored);
    // The service is named again, and the endpoint announces another address.
    table.SetServices({"assistant", "bookings"});
    CPPUNIT_ASSERT(table.Apply(Record("i", 5, 6, "10.0.0.2:80"), now) ==
                   AnnouncementResult::kChanged);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.endpoints().size());
  }

  // Guards against foreign announcements that stay for good, and whose end or expiry bars an
  // endpoint with the same id; and against ones that keep a late call to leave in force.
  void ForeignWritersSayNothingOfEnds() {
    InstanceTable table;
    table.SetServices({"bookings"});
    table.Apply(Foreign("i", 900, 4), At(seconds(0)));
    const auto stale = table.Expire(seconds(10), seconds(2), At(seconds(10)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stale.size());
    auto record = Record("i", 5, 4);
    CPPUNIT_ASSERT(table.Apply(record, At(seconds(11))) == AnnouncementResult::kChanged);
    // A call to leave was late, and the endpoint goes on.
    table.Leave("i", At(seconds(12)));
    CPPUNIT_ASSERT(table.Apply(Foreign("i", 5, 900), At(seconds(13))) ==
                   AnnouncementResult::kIgnored);
    record = Record("i", 5, 5 + kMinLaterAnnouncements);
    record.announced_at = At(seconds(12)) + kMaxAnnouncementDelay;
    CPPUNIT_ASSERT(table.Apply(record, record.announced_at) == AnnouncementResult::kRestored);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTableTest);

class AttemptPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptPolicyTest);
  CPPUNIT_TEST(DecidesByOutcomeAndRouteKind);
  CPPUNIT_TEST(StopsWithoutBudgetTimeOrAttempts);
  CPPUNIT_TEST_SUITE_END();

  static Route RouteOf(RouteKind kind, bool resumable) {
    Route route = MakeRoute("desk.example", "/");
    route.kind = kind;
    route.resumable = resumable;
    route.max_attempts = 2;
    return route;
  }

 public:
  // Guards against running a request twice that may run only once, and against reporting a request
  // as not run although it may have run.
  void DecidesByOutcomeAndRouteKind() {
    struct Case {
      RouteKind kind;
      bool resumable;
      bool started;
      AttemptOutcome outcome;
      NextStep next;
    };
    constexpr auto kNonIdempotent = RouteKind::kNonIdempotent;
    constexpr auto kIdempotent = RouteKind::kIdempotent;
    constexpr auto kStream = RouteKind::kStreaming;
    const Case cases[] = {
        {kNonIdempotent, false, false, AttemptOutcome::kNotConnected, NextStep::kTryAnother},
        {kNonIdempotent, false, false, AttemptOutcome::kEndpointIneligible, NextStep::kTryAnother},
        {kNonIdempotent, false, false, AttemptOutcome::kNotRun, NextStep::kTryAnother},
        {kNonIdempotent, false, false, AttemptOutcome::kNoValidResponse, NextStep::kOutcomeUnknown},
        {kNonIdempotent, false, false, AttemptOutcome::kResponseTimeout, NextStep::kOutcomeUnknown},
        {kNonIdempotent, false, false, AttemptOutcome::kDeadlineExceeded,
         NextStep::kOutcomeUnknown},
        {kNonIdempotent, false, false, AttemptOutcome::kServerError, NextStep::kForwardFailure},
        {kIdempotent, false, false, AttemptOutcome::kNoValidResponse, NextStep::kTryAnother},
        {kIdempotent, false, false, AttemptOutcome::kServerError, NextStep::kTryAnother},
        {kIdempotent, false, false, AttemptOutcome::kResponseTimeout, NextStep::kTryAnother},
        {kIdempotent, false, false, AttemptOutcome::kDeadlineExceeded, NextStep::kOutcomeUnknown},
        {kStream, true, false, AttemptOutcome::kNoValidResponse, NextStep::kTryAnother},
        {kStream, true, false, AttemptOutcome::kWeightsSuperseded, NextStep::kTryAnother},
        {kStream, true, true, AttemptOutcome::kStreamInterrupted, NextStep::kContinueStream},
        {kStream, true, true, AttemptOutcome::kDeadlineExceeded, NextStep::kCutStream},
        {kStream, false, false, AttemptOutcome::kNoValidResponse, NextStep::kOutcomeUnknown},
        {kStream, false, false, AttemptOutcome::kWeightsSuperseded, NextStep::kOutcomeUnknown},
        {kStream, false, true, AttemptOutcome::kStreamInterrupted, NextStep::kCutStream},
        {kStream, true, false, AttemptOutcome::kCallerDisconnected, NextStep::kDone},
        {kNonIdempotent, false, true, AttemptOutcome::kDelivered, NextStep::kDone},
    };
    for (const auto& it : cases) {
      AttemptHistory history;
      history.response_started = it.started;
      RecordOutcome(history, it.outcome);
      const auto next = DecideNextStep(RouteOf(it.kind, it.resumable), history, it.outcome,
                                       seconds(1), [] { return true; });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(kRouteKinds.Name(it.kind)) + " after " +
                                       std::string(kAttemptOutcomes.Name(it.outcome)),
                                   std::string(kNextSteps.Name(it.next)),
                                   std::string(kNextSteps.Name(next)));
    }
  }

  void StopsWithoutBudgetTimeOrAttempts() {
    const Route route = RouteOf(RouteKind::kIdempotent, false);
    AttemptHistory history;
    RecordOutcome(history, AttemptOutcome::kNotRun);
    const auto refused = [] { return false; };
    const auto granted = [] { return true; };
    CPPUNIT_ASSERT(DecideNextStep(route, history, AttemptOutcome::kNotRun, seconds(1), refused) ==
                   NextStep::kRefuse);
    CPPUNIT_ASSERT(DecideNextStep(route, history, AttemptOutcome::kNotRun, milliseconds(5),
                                  granted) == NextStep::kRefuse);
    // A request that an earlier attempt may have run is never reported as not run.
    RecordOutcome(history, AttemptOutcome::kNoValidResponse);
    CPPUNIT_ASSERT(DecideNextStep(route, history, AttemptOutcome::kNoValidResponse, seconds(1),
                                  granted) == NextStep::kOutcomeUnknown);
    CPPUNIT_ASSERT(DecideNextStep(route, history, AttemptOutcome::kNotRun, seconds(1), granted) ==
                   NextStep::kOutcomeUnknown);
    // Without a connection nothing was sent, so the retry needs no budget.
    AttemptHistory unsent;
    RecordOutcome(unsent, AttemptOutcome::kNotConnected);
    CPPUNIT_ASSERT(DecideNextStep(route, unsent, AttemptOutcome::kNotConnected, seconds(1),
                                  refused) == NextStep::kTryAnother);
    // An ineligible endpoint was sent nothing either.
    RecordOutcome(unsent, AttemptOutcome::kEndpointIneligible);
    CPPUNIT_ASSERT(!unsent.may_have_run);
    for (std::uint32_t i = 2; i < kMaxUnsentAttempts; ++i) {
      RecordOutcome(unsent, AttemptOutcome::kNotConnected);
    }
    CPPUNIT_ASSERT(DecideNextStep(route, unsent, AttemptOutcome::kNotConnected, seconds(1),
                                  granted) == NextStep::kRefuse);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AttemptPolicyTest);

class StreamProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamProgressTest);
  CPPUNIT_TEST(FindsStreamsThatDoNotGetOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an endpoint that sends without end and counts as a sound one, and against one
  // that counts as faulty although its caller reads slowly or it says nothing.
  void FindsStreamsThatDoNotGetOn() {
    struct Row {
      const char* name;
      double max_tokens;
      std::size_t events;
      std::size_t bytes_after;
      Duration until_bytes;
      bool too_many_bytes;
      bool too_many_events;
      bool stalled;
    };
    constexpr std::size_t kMost = EventSplitter::kMaxEventBytes;
    const Row rows[] = {
        {"silent", 50, 3, 0, seconds(9), false, false, false},
        {"a part of an event", 50, 3, 9, seconds(1), false, false, false},
        {"a part of an event for long", 50, 3, 9, seconds(2), false, false, true},
        {"the largest event", 50, 3, kMost, seconds(1), false, false, false},
        {"more than the largest event", 50, 3, kMost + 1, seconds(1), true, false, false},
        {"an event for each token, and those that hold none", 50, 58, 0, seconds(1), false, false,
         false},
        {"more events than tokens", 50, 59, 0, seconds(1), false, true, false},
        {"tokens are not known", 0, 100000, 0, seconds(1), false, false, false},
    };
    for (const auto& row : rows) {
      StreamProgress progress;
      progress.SetMaxTokens(row.max_tokens);
      progress.BeginAttempt(At(seconds(0)));
      // Events of an attempt before count, its bytes do not.
      progress.OnNewEvents(1, At(seconds(1)));
      progress.OnBytes(kMost);
      progress.BeginAttempt(At(seconds(5)));
      progress.OnNewEvents(row.events - 1, At(seconds(6)));
      progress.OnForwarded(At(seconds(10)));
      progress.OnBytes(row.bytes_after);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.too_many_bytes, progress.TooManyBytes());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.too_many_events, progress.TooManyEvents());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.stalled,
                                   progress.Stalled(seconds(2), At(seconds(10) + row.until_bytes)));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamProgressTest);

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(EmitsOnlyCompleteEvents);
  CPPUNIT_TEST(ParsesIds);
  CPPUNIT_TEST(StopsAtBlocksThatAreNoEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against forwarding a partial event to the caller before the stream is interrupted.
  void EmitsOnlyCompleteEvents() {
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
      EventSplitter splitter;
      std::vector<StreamEvent> events;
      for (std::size_t at = 0; at < text.size(); at += step) {
        for (auto& it : splitter.Feed(text.substr(at, step))) events.push_back(std::move(it));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
      CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), events[0].bytes);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, events[1].id.value());
      CPPUNIT_ASSERT_EQUAL(std::string("id: 3\ndata: c\n"), std::string(splitter.rest()));
    }
  }

  void ParsesIds() {
    EventSplitter splitter;
    const auto events = splitter.Feed("weights: 2\nid:41\ndata: x\n\ndata: id: 7\n\nid: x\n\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{41}, events[0].id.value());
    CPPUNIT_ASSERT(!events[1].id);
    CPPUNIT_ASSERT(!events[2].id);
    CPPUNIT_ASSERT(splitter.rest().empty());
  }

  // Guards against forwarding an error that an endpoint writes into its stream, and against cutting
  // streams for lines that receivers ignore.
  void StopsAtBlocksThatAreNoEvents() {
    struct Case {
      const char* block;
      bool malformed;
    };
    const Case cases[] = {
        {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", true},
        {"the engine failed\n\n", true},
        {"{\"error\": \"the engine failed\"}\n\n", true},
        {"data-loss: yes\n\n", true},
        {"data\n\n", false},
        {"event: ping\n\n", false},
        {": comment\n\n", false},
        {"\n\n", false},
        {"weights: 3\nid: 2\ndata: b\n\n", false},
    };
    for (const auto& it : cases) {
      EventSplitter splitter;
      const std::string text = "id: 1\ndata: a\n\n" + std::string(it.block) + "id: 3\ndata: c\n\n";
      const auto events = splitter.Feed(text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.block, it.malformed, splitter.malformed());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.block, std::size_t{it.malformed ? 1U : 3U}, events.size());
      CPPUNIT_ASSERT_MESSAGE(it.block, splitter.Feed("id: 4\n\n").empty() == it.malformed);
      splitter.Reset();
      CPPUNIT_ASSERT_MESSAGE(it.block, !splitter.malformed());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

class SwapPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SwapPlanTest);
  CPPUNIT_TEST(SpreadsTheSwapsOverTheWindow);
  CPPUNIT_TEST(SwapsImmediatelyWithoutAWindow);
  CPPUNIT_TEST(FinishesASupersededVersionUntilItsDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against several endpoints that swap at the same time although the window has room, and
  // against an endpoint that swaps after the end of the window.
  void SpreadsTheSwapsOverTheWindow() {
    constexpr int kCount = 20;
    std::vector<std::string> endpoints;
    for (int i = 0; i < kCount; ++i) endpoints.push_back("10.0.0." + std::to_string(i) + ":80");
    const TimePoint ready{std::chrono::seconds(3)};
    const TimePoint latest{std::chrono::seconds(7)};
    std::set<TimePoint> times;
    for (const auto& it : endpoints) {
      const auto rank = SwapRank(it, endpoints);
      CPPUNIT_ASSERT(rank < endpoints.size());
      times.insert(SwapTime(rank, endpoints.size(), ready, latest));
    }
    CPPUNIT_ASSERT(*times.begin() == ready && *times.rbegin() == latest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kCount}, times.size());
    TimePoint last = ready;
    for (const TimePoint it : times) {
      CPPUNIT_ASSERT(it - last <= (latest - ready) / (kCount - 1) + std::chrono::microseconds(1));
      last = it;
    }
  }

  // Guards against dropping a superseded version that can still be completed: a second target is
  // set two seconds after the first, and the origin fails before it has uploaded the second.
  void FinishesASupersededVersionUntilItsDeadline() {
    CPPUNIT_ASSERT(ShouldFinishSpreading(At(seconds(18)), seconds(8), At(seconds(20))));
    CPPUNIT_ASSERT(!ShouldFinishSpreading(At(seconds(18)), seconds(8), At(seconds(26))));
    CPPUNIT_ASSERT(
        !ShouldFinishSpreading(At(seconds(18)), seconds(8), At(seconds(26)) - LastSwapMargin()));
  }

  void SwapsImmediatelyWithoutAWindow() {
    const TimePoint ready{std::chrono::seconds(8)};
    const TimePoint latest{std::chrono::seconds(7)};
    CPPUNIT_ASSERT(SwapTime(3, 20, ready, latest) == ready);
    CPPUNIT_ASSERT(SwapTime(0, 1, latest, ready) == latest);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SwapPlanTest);

struct SourceRow {
  const char* guards_against;
  int last_upload_ms;
  bool busy;
  int now_ms;
  bool may_exit;
};
constexpr SourceRow kSourceRows[] = {
    {"the only holder of a chunk exits at once", 0, false, 10, false},
    {"a source that is asked for chunks again and again exits", 3000, false, 3500, false},
    {"an upload is cut", 0, true, 3000, false},
    {"a source that nobody asks for chunks does not exit", 0, false, 1300, true},
    {"a source is killed in an upload", 7500, true, 7700, true},
};

class StopPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopPlanTest);
  CPPUNIT_TEST(StopsAcceptingCallersEarly);
  CPPUNIT_TEST(UploadsChunksBeforeExit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepting a request long after the signal and interrupting it when the process
  // exits.
  void StopsAcceptingCallersEarly() {
    for (const Duration grace : {seconds(8), seconds(30), seconds(3), seconds(1)}) {
      const auto plan = MakeStopPlan(grace);
      CPPUNIT_ASSERT(plan.accept_period <= seconds(3));
      CPPUNIT_ASSERT(plan.accept_period > Duration::zero());
      CPPUNIT_ASSERT(plan.accept_period < plan.exit_after && plan.exit_after < grace);
    }
    CPPUNIT_ASSERT(MakeStopPlan(Duration::zero()).exit_after == Duration::zero());
  }

  // Guards against losing chunks: machines are removed while a version is being distributed and the
  // origin is down, and the chunks that only they hold are unavailable for six seconds.
  void UploadsChunksBeforeExit() {
    for (const SourceRow& row : kSourceRows) {
      const TimePoint stop = At(seconds(20));
      const StoppingSource source{stop, stop + milliseconds(row.last_upload_ms), row.busy,
                                  seconds(8)};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.guards_against, row.may_exit,
                                   SourceMayExit(source, stop + milliseconds(row.now_ms)));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopPlanTest);

class WeightsTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsTargetsTest);
  CPPUNIT_TEST(EachVersionHasItsOwnDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against restarting the propagation deadline of a version when the next target is set.
  void EachVersionHasItsOwnDeadline() {
    WeightsTargets targets;
    targets.SetTarget("m", 2, At(seconds(30)));
    targets.SetTarget("m", 3, At(seconds(21)));
    targets.SetTarget("m", 2, At(seconds(18)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, targets.Newest("m"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, targets.NewestDue("m", seconds(6), At(seconds(23))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, targets.NewestDue("m", seconds(6), At(seconds(24))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, targets.NewestDue("m", seconds(6), At(seconds(27))));
    CPPUNIT_ASSERT(targets.EarliestNewerTargetTime("m", 1) == At(seconds(18)));
    CPPUNIT_ASSERT(targets.EarliestNewerTargetTime("m", 2) == At(seconds(21)));
    CPPUNIT_ASSERT(!targets.EarliestNewerTargetTime("m", 3));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, targets.Newest("other"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WeightsTargetsTest);

class SubsetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubsetsTest);
  CPPUNIT_TEST(SubsetsAreDisjointBalancedAndComplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against endpoints in the subsets of two processes or of none.
  void SubsetsAreDisjointBalancedAndComplete() {
    const std::map<std::string, std::string> processes{
        {"p1", "a"}, {"p2", "a"}, {"p3", "b"}, {"p4", "c"}};
    std::map<std::string, std::string> endpoints;
    const char* domains[] = {"a", "b", "c"};
    for (int i = 0; i < 22; ++i) endpoints["e" + std::to_string(i)] = domains[i % 3];
    std::set<std::string> seen;
    for (const auto& [process, domain] : processes) {
      const auto own = OwnSubset(process, processes, endpoints);
      CPPUNIT_ASSERT(own.size() == 5 || own.size() == 6);
      for (const auto& it : own) CPPUNIT_ASSERT(seen.insert(it).second);
    }
    CPPUNIT_ASSERT_EQUAL(endpoints.size(), seen.size());
    for (const auto& it : OwnSubset("p3", processes, endpoints)) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), endpoints[it]);
    }
    CPPUNIT_ASSERT(OwnSubset("p9", processes, endpoints).empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SubsetsTest);

}  // namespace
}  // namespace wagtailslip::serving
