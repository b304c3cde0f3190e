// Tests the decoding and encoding of platform messages.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "platform/control_calls.h"
#include "platform/engine_calls.h"
#include "platform/engine_state.h"
#include "platform/json_fields.h"
#include "platform/request_headers.h"
#include "platform/service_config.h"
#include "platform/settings.h"
#include "wagtailslip/serving/route_table.h"

namespace wagtailslip::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json SettingsFile() {
  return {{"node-name", "edge-1"},
          {"ip", "10.0.0.5"},
          {"zone", "north"},
          {"region", "upper"},
          {"port-range", {7700, 7710}},
          {"seed-nodes", {"10.0.0.1:8000", "10.0.0.2:8000"}},
          {"bootstrap", true},
          {"zones", {{"north", "upper"}, {"south", "lower"}}},
          {"listen-addrs", {{"frontend", "10.0.0.5:8005"}, {"readiness", "10.0.0.5:8002"}}},
          {"limits", {{"max-open-files", 900}, {"bandwidth-mbps", 8.0}}},
          {"timing-bounds", {{"version_ms", 8000}, {"retry-budget-extra", 104}}},
          {"a-field-of-tomorrow", json::array()}};
}

json ConfigFile() {
  return {{"version", 7},
          {"route-table",
           {{{"name", "r1"},
             {"host", "desk.example"},
             {"path-prefix", "/a/"},
             {"route-type", "streaming"},
             {"timeout-ms", 6000},
             {"target-latency-ms", 400},
             {"priority", 1},
             {"backend", "assistant"},
             {"max-attempts", 2},
             {"stream-resume", true}},
            {{"host", "desk.example"},
             {"path-prefix", "/b/"},
             {"route-type", "non_idempotent"},
             {"timeout-ms", 800},
             {"weighted-backends", {{{"backend", "bookings"}, {"weight", 3}}}}}}},
          {"backends",
           {{{"name", "assistant"},
             {"runtime",
              {{"batch-slots", 16},
               {"layers", 4},
               {"chunk-count", 8},
               {"read_per_s", 19000.0},
               {"model-list", {{{"name", "m1"}}}}}}},
            {{"name", "weights"}, {"upstream", "172.20.0.3:80"}},
            {{"name", "bookings"}, {"max-connections", 90}}}},
          {"limits", {{"idle-timeout-ms", 12000}}},
          {"tenants", {{{"name", "shop"}, {"api-keys", {"k1"}}, {"priority", 2}}}}};
}

json Announcement() {
  return {{"backend", "assistant"}, {"address", "10.0.0.9:80"},
          {"zone", "north"},        {"state", "ready"},
          {"sequence", 4},          {"born", 1700000000123},
          {"batch-slots", 16},      {"warmup-remaining-ms", 0},
          {"version", "v1"}};
}

class PlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformTest);
  CPPUNIT_TEST(DecodesSettings);
  CPPUNIT_TEST(RejectsInvalidSettings);
  CPPUNIT_TEST(DecodesConfiguration);
  CPPUNIT_TEST(DecodesAllowedRegions);
  CPPUNIT_TEST(DecodesWhetherKeysAreNeeded);
  CPPUNIT_TEST(RejectsInvalidConfiguration);
  CPPUNIT_TEST(ParsesControlCalls);
  CPPUNIT_TEST(RejectsInvalidAnnouncements);
  CPPUNIT_TEST(RejectsAnnouncementsOfOtherWriters);
  CPPUNIT_TEST(AcceptsAnnouncementsOfEndpoints);
  CPPUNIT_TEST(RejectsOddAnnouncements);
  CPPUNIT_TEST(SurvivesDamagedMessages);
  CPPUNIT_TEST(DistinguishesCompleteFromPartialWeights);
  CPPUNIT_TEST(EncodesLoadCommands);
  CPPUNIT_TEST(SetsAndStripsRequestHeaders);
  CPPUNIT_TEST(DecodesPromptParts);
  CPPUNIT_TEST(DecodesEndpointResponses);
  CPPUNIT_TEST(DecodesShutdownAndRetryAfter);
  CPPUNIT_TEST(DecodesLoadReports);
  CPPUNIT_TEST(KeepsRoutePriorityWithoutAccountPriority);
  CPPUNIT_TEST(DecodesRequestLimits);
  CPPUNIT_TEST(DecodesDigests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesSettings() {
    const auto settings = DecodeSettings(SettingsFile().dump());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5:7700"), settings.mesh_address());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5:7701"), settings.chunk_address());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5:8005"), settings.caller_address);
    CPPUNIT_ASSERT(settings.control_address.empty());
    CPPUNIT_ASSERT(settings.first_start);
    CPPUNIT_ASSERT_EQUAL(std::string("lower"), settings.regions.at("south"));
    CPPUNIT_ASSERT_EQUAL(1e6, settings.link_rate);
    CPPUNIT_ASSERT(settings.bounds.weights_propagation == std::chrono::seconds(8));
    CPPUNIT_ASSERT_EQUAL(104.0, settings.bounds.retry_budget_extra);
    CPPUNIT_ASSERT_EQUAL(1.5, settings.bounds.warmup_overshoot);
    CPPUNIT_ASSERT_EQUAL(5.0, settings.bounds.warmup_tolerance);
    json file = SettingsFile();
    file["timing-bounds"]["warmup-overshoot"] = 2;
    file["timing-bounds"]["warmup-tolerance"] = 0;
    const auto bounds = DecodeSettings(file.dump()).bounds;
    CPPUNIT_ASSERT_EQUAL(2.0, bounds.warmup_overshoot);
    CPPUNIT_ASSERT_EQUAL(0.0, bounds.warmup_tolerance);
  }

  // A process must not start if a setting is missing or invalid.
  void RejectsInvalidSettings() {
    const std::vector<std::function<void(json&)>> faults{
        [](json& s) { s.erase("ip"); },
        [](json& s) { s["ip"] = 7; },
        [](json& s) { s["port-range"] = {7700}; },
        [](json& s) {
          s["port-range"] = {7710, 7700};
        },
        [](json& s) { s["seed-nodes"] = "10.0.0.1:8000"; },
        [](json& s) { s["bootstrap"] = "yes"; },
        [](json& s) { s["timing-bounds"]["warmup-overshoot"] = -1.5; },
        [](json& s) { s["timing-bounds"]["warmup-overshoot"] = 0; },
        [](json& s) { s["timing-bounds"]["warmup-overshoot"] = 1e300; },
        [](json& s) { s["timing-bounds"]["warmup-tolerance"] = -1; },
        [](json& s) { s["timing-bounds"]["warmup-tolerance"] = 1e300; },
        [](json& s) { s["timing-bounds"]["warmup-tolerance"] = "5"; },
    };
    for (const auto& corrupt : faults) {
      json file = SettingsFile();
      corrupt(file);
      CPPUNIT_ASSERT_THROW_MESSAGE(file.dump(), DecodeSettings(file.dump()),
                                   deployment::SettingsError);
    }
    CPPUNIT_ASSERT_THROW(DecodeSettings("{\"ip\": "), deployment::SettingsError);
    CPPUNIT_ASSERT_THROW(ReadSettings("/nowhere/settings"), deployment::SettingsError);
  }

  void DecodesConfiguration() {
    const auto config = DecodeServiceConfig(ConfigFile().dump());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, config.version);
    CPPUNIT_ASSERT(config.routes[0].repeatable());
    CPPUNIT_ASSERT(config.routes[0].latency_objective == milliseconds(400));
    CPPUNIT_ASSERT(!config.routes[1].repeatable());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, config.routes[1].services[0].weight);
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), config.FindService("assistant")->engine->model);
    CPPUNIT_ASSERT_EQUAL(std::string("172.20.0.3:80"), config.FindService("weights")->origin);
    CPPUNIT_ASSERT(!config.FindService("bookings")->engine);
    CPPUNIT_ASSERT(config.limits.idle_timeout == std::chrono::seconds(12));
    CPPUNIT_ASSERT(config.accounts->at(0).priority == std::uint32_t{2});
    CPPUNIT_ASSERT_EQUAL(0.0, config.FindService("assistant")->warmup_per_second);
    json limited = ConfigFile();
    limited["backends"][0]["warmup-s"] = 3.5;
    limited["backends"][0]["warmup-per-s"] = 18;
    const auto assistant = *DecodeServiceConfig(limited.dump()).FindService("assistant");
    CPPUNIT_ASSERT(assistant.warmup == milliseconds(3500));
    CPPUNIT_ASSERT_EQUAL(18.0, assistant.warmup_per_second);
  }

  // Guards against a restriction that is not applied, and against one where none is meant.
  void DecodesAllowedRegions() {
    struct Case {
      const char* name;
      json field;
      std::vector<std::string> regions;
    };
    const Case cases[] = {
        {"several, one twice", {"south", "north", "south"}, {"north", "south"}},
        {"empty list", json::array(), {}},
        {"null", nullptr, {}},
    };
    for (const auto& it : cases) {
      json file = ConfigFile();
      file["route-table"][0]["allowed-regions"] = it.field;
      file["tenants"][0]["allowed-regions"] = it.field;
      const auto config = DecodeServiceConfig(file.dump());
      CPPUNIT_ASSERT_MESSAGE(it.name, config.routes[0].allowed_regions == it.regions);
      CPPUNIT_ASSERT_MESSAGE(it.name, config.accounts->at(0).allowed_regions == it.regions);
      CPPUNIT_ASSERT_MESSAGE(it.name, config.routes[1].allowed_regions.empty());
    }
  }

  // Guards against an account list whose last account or key was removed and that opens all routes,
  // against keys that stay needed without a list, and against a request without a key that counts
  // as one with an empty key.
  void DecodesWhetherKeysAreNeeded() {
    struct Case {
      const char* name;
      /// Value of the field; absent if it is discarded.
      json field;
      bool needs_key;
      bool has_k1;
    };
    const json discarded(json::value_t::discarded);
    const Case cases[] = {
        {"absent", discarded, false, false},
        {"empty list", json::array(), true, false},
        {"account without keys", json::array({{{"name", "a"}, {"api-keys", json::array()}}}), true,
         false},
        {"account with a key", json::array({{{"name", "a"}, {"api-keys", {"k1"}}}}), true, true},
        {"empty key", json::array({{{"name", "a"}, {"api-keys", {"", "k1"}}}}), true, true},
    };
    for (const auto& it : cases) {
      json file = ConfigFile();
      file.erase("tenants");
      if (!it.field.is_discarded()) file["tenants"] = it.field;
      const serving::RouteTable routes(
          std::make_shared<const serving::ServiceConfig>(DecodeServiceConfig(file.dump())));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.needs_key, routes.needs_key());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.has_k1, routes.FindAccount("k1") != nullptr);
      CPPUNIT_ASSERT_MESSAGE(it.name, routes.FindAccount("") == nullptr);
      // Requests that arrived under an earlier configuration are still ranked.
      CPPUNIT_ASSERT_MESSAGE(it.name, routes.RankCount("assistant") >= 1);
    }
    for (const json& invalid : {json(nullptr), json(""), json(0), json(false), json::object()}) {
      json file = ConfigFile();
      file["tenants"] = invalid;
      CPPUNIT_ASSERT_THROW_MESSAGE(file.dump(), DecodeServiceConfig(file.dump()),
                                   serving::ServingError);
    }
  }

  // An invalid or truncated configuration must be rejected, not applied without the invalid part.
  void RejectsInvalidConfiguration() {
    const std::vector<std::function<void(json&)>> faults{
        [](json& c) { c.erase("version"); },
        [](json& c) { c["version"] = "7"; },
        [](json& c) { c["route-table"] = json::object(); },
        [](json& c) { c["route-table"][0].erase("host"); },
        [](json& c) { c["route-table"][0]["route-type"] = "sometimes"; },
        [](json& c) { c["route-table"][0]["backend"] = "nowhere"; },
        [](json& c) { c["route-table"][0]["timeout-ms"] = 0; },
        [](json& c) { c["route-table"][0]["priority"] = -1; },
        [](json& c) { c["route-table"][1]["weighted-backends"][0]["weight"] = 0; },
        [](json& c) { c["route-table"][1]["path-prefix"] = "/a/"; },
        [](json& c) { c["backends"][0]["runtime"]["model-list"] = json::array(); },
        [](json& c) {
          c["tenants"].push_back({{"name", "b"}, {"api-keys", {"k1"}}});
        },
        [](json& c) { c["tenants"][0]["api-keys"] = "k1"; },
        [](json& c) { c["tenants"][0]["allowed-regions"] = "north"; },
        [](json& c) {
          c["route-table"][0]["allowed-regions"] = {"north", 7};
        },
        [](json& c) { c["route-table"][0]["allowed-regions"] = {""}; },
        [](json& c) { c["backends"][0]["warmup-s"] = -3; },
        [](json& c) { c["backends"][0]["warmup-s"] = 3000000; },
        [](json& c) { c["backends"][0]["warmup-s"] = 1e300; },
        [](json& c) { c["backends"][0]["warmup-s"] = "3"; },
        [](json& c) { c["backends"][0]["warmup-per-s"] = -18; },
        [](json& c) { c["backends"][0]["warmup-per-s"] = 1e-9; },
        [](json& c) { c["backends"][0]["warmup-per-s"] = 1e300; },
        [](json& c) { c["backends"][0]["warmup-per-s"] = json::array(); },
    };
    for (const auto& corrupt : faults) {
      json config = ConfigFile();
      corrupt(config);
      CPPUNIT_ASSERT_THROW_MESSAGE(config.dump(), DecodeServiceConfig(config.dump()),
                                   serving::ServingError);
    }
    const std::string whole = ConfigFile().dump();
    for (std::size_t n = 0; n < whole.size(); n += 7) {
      CPPUNIT_ASSERT_THROW(DecodeServiceConfig(whole.substr(0, n)), serving::ServingError);
    }
  }

  void ParsesControlCalls() {
    struct Case {
      const char* method;
      const char* path;
      ControlCall call;
      const char* endpoint;
      const char* failure_domain = "";
    };
    const Case cases[] = {
        {"POST", "/config/replace", ControlCall::kReplaceConfig, ""},
        {"GET", "/config/replace", ControlCall::kUnknown, ""},
        {"GET", "/config/fetch", ControlCall::kReadConfig, ""},
        {"POST", "/version-put", ControlCall::kSetTargetWeights, ""},
        {"GET", "/lookup", ControlCall::kLookup, ""},
        {"POST", "/replicas/i-1/heartbeat", ControlCall::kAnnounce, "i-1"},
        {"POST", "/replicas/i-1/deregister", ControlCall::kLeave, "i-1"},
        {"POST", "/replicas//heartbeat", ControlCall::kUnknown, ""},
        {"POST", "/replicas/a/b/heartbeat", ControlCall::kUnknown, ""},
        {"POST", "/drain/north/begin", ControlCall::kBeginDrain, "", "north"},
        {"POST", "/drain/north/finish", ControlCall::kFinishDrain, "", "north"},
        {"GET", "/drain/north/begin", ControlCall::kUnknown, ""},
        {"POST", "/drain//begin", ControlCall::kUnknown, ""},
        {"POST", "/drain/begin", ControlCall::kUnknown, ""},
        {"POST", "/drain/a/b/begin", ControlCall::kUnknown, ""},
        {"POST", "/drain/north/heartbeat", ControlCall::kUnknown, ""},
    };
    for (const auto& it : cases) {
      const auto parsed = ParseControlCall(it.method, it.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.path, std::string(kControlCalls.Name(it.call)),
                                   std::string(kControlCalls.Name(parsed.call)));
      CPPUNIT_ASSERT_EQUAL(std::string(it.endpoint), parsed.endpoint);
      CPPUNIT_ASSERT_EQUAL(std::string(it.failure_domain), parsed.failure_domain);
    }
  }

  // An announcement with missing or invalid fields must not add an endpoint.
  void RejectsInvalidAnnouncements() {
    const auto record = DecodeAnnouncement("i-1", Announcement().dump());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123}, record.started_ms);
    CPPUNIT_ASSERT(record.state == serving::EndpointState::kServing);
    const std::vector<std::function<void(json&)>> faults{
        [](json& a) { a.erase("address"); },    [](json& a) { a["state"] = "resting"; },
        [](json& a) { a["sequence"] = "4"; },   [](json& a) { a["backend"] = json::array(); },
        [](json& a) { a["born"] = 1.5; },       [](json& a) { a.erase("zone"); },
        [](json& a) { a["batch-slots"] = -1; },
    };
    for (const auto& corrupt : faults) {
      json announcement = Announcement();
      corrupt(announcement);
      CPPUNIT_ASSERT_THROW_MESSAGE(announcement.dump(),
                                   DecodeAnnouncement("i-1", announcement.dump()), PlatformError);
    }
    CPPUNIT_ASSERT_THROW(DecodeAnnouncement("i-1", "\x01\x02"), PlatformError);
  }

  // Guards against a server of another system that gets requests, because its announcement lacks
  // fields that every endpoint sends or has other values in them.
  void RejectsAnnouncementsOfOtherWriters() {
    struct Row {
      const char* field;
      // Whether every endpoint sends it.
      bool required;
      std::vector<std::string> wrong_types;
      std::vector<std::string> out_of_range;
    };
    const std::vector<std::string> no_texts{"null", "7", "true", "[]", "{}"};
    const std::vector<std::string> no_integers{"null", R"("4")", "true", "1.5", "[4]", "{}"};
    const Row rows[] = {
        {"backend", true, no_texts, {}},
        {"address", true, no_texts, {}},
        {"zone", true, no_texts, {}},
        {"version", true, no_texts, {}},
        {"state", true, no_texts, {}},
        {"batch-slots", true, no_integers, {"-1", "2147483648", "4294967296"}},
        {"warmup-remaining-ms",
         true,
         {"null", R"("0")", "true", "[0]", "{}"},
         {"-1", "-0.5", "86400001", "1e300"}},
        {"sequence", true, no_integers, {"9223372036854775808"}},
        {"born", false, no_integers, {"-1", "4102444800001", "18446744073709551615"}},
        {"phase", false, {"7", "true", "[]", "{}"}, {}},
        {"model-list", false, {"7", "true", R"("m")", "{}"}, {}},
    };
    CPPUNIT_ASSERT_NO_THROW(DecodeAnnouncement("i-1", Announcement().dump()));
    std::string wrong;
    const auto check = [&](const json& announcement, const std::string& name, DecodeFault fault) {
      try {
        DecodeAnnouncement("i-1", announcement.dump());
        wrong += "\n" + name + ": accepted";
      } catch (const PlatformError& e) {
        if (e.fault() == fault) return;
        wrong += "\n" + name + ": " + std::string(kDecodeFaults.Name(e.fault()));
      }
    };
    for (const auto& row : rows) {
      const std::string field = row.field;
      json announcement = Announcement();
      announcement.erase(field);
      if (row.required) check(announcement, field + " absent", DecodeFault::kMissingField);
      if (!row.required) CPPUNIT_ASSERT_NO_THROW(DecodeAnnouncement("i-1", announcement.dump()));
      const std::pair<DecodeFault, const std::vector<std::string>*> faults[] = {
          {DecodeFault::kWrongType, &row.wrong_types},
          {DecodeFault::kOutOfRange, &row.out_of_range}};
      for (const auto& [fault, values] : faults) {
        for (const auto& value : *values) {
          announcement[field] = json::parse(value);
          check(announcement, field + " " + value, fault);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
    const std::pair<const char*, DecodeFault> bodies[] = {
        {"\x01\x02", DecodeFault::kUnreadable},
        {"[]", DecodeFault::kUnreadable},
        {"", DecodeFault::kUnreadable},
        {R"({"backend":"\xff"})", DecodeFault::kUnreadable}};
    for (const auto& [body, fault] : bodies) {
      try {
        DecodeAnnouncement("i-1", body);
        CPPUNIT_FAIL(body);
      } catch (const PlatformError& e) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, std::string(kDecodeFaults.Name(fault)),
                                     std::string(kDecodeFaults.Name(e.fault())));
      }
    }
  }

  // Guards against an endpoint that is out of use because its announcement is refused: the example
  // of the protocol, which has no start; services without models; and values at their bounds.
  void AcceptsAnnouncementsOfEndpoints() {
    const auto example = DecodeAnnouncement(
        "i-7f3a91c2",
        R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"bne-a","version":"v1",)"
        R"("batch-slots":16,"state":"ready","warmup-remaining-ms":0,"phase":"unified",)"
        R"("model-list":[{"name":"daka510000","version":1,"loras":[]}],"sequence":4})");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, example.started_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{16}, example.slots);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, example.weights);
    const std::pair<const char*, const char*> values[] = {
        {"born", "0"},
        {"born", "4102444800000"},
        {"batch-slots", "0"},
        {"batch-slots", "2147483647"},
        {"warmup-remaining-ms", "0.0"},
        {"warmup-remaining-ms", "2499.7"},
        {"warmup-remaining-ms", "86400000"},
        {"sequence", "0"},
        {"sequence", "9223372036854775807"},
        {"version", R"("")"},
        {"state", R"("draining")"},
        {"phase", R"("prefill")"},
        {"phase", "null"},
        {"model-list", "[]"},
        {"model-list", "null"},
        {"other", R"({"a":[1]})"},
    };
    for (const auto& [field, value] : values) {
      json announcement = Announcement();
      announcement[field] = json::parse(value);
      CPPUNIT_ASSERT_NO_THROW_MESSAGE(announcement.dump(),
                                      DecodeAnnouncement("i-1", announcement.dump()));
    }
  }

  // An engine must not count as serving a version of which some layers are not loaded.
  void DistinguishesCompleteFromPartialWeights() {
    struct Case {
      const char* name;
      json layers;
      std::int64_t version;
    };
    const Case cases[] = {
        {"one range", {{{"source", 0}, {"to", 16}, {"version", 2}}}, 2},
        {"two ranges",
         {{{"source", 8}, {"to", 16}, {"version", 2}}, {{"source", 0}, {"to", 8}, {"version", 2}}},
         2},
        {"gap",
         {{{"source", 0}, {"to", 7}, {"version", 2}}, {{"source", 8}, {"to", 16}, {"version", 2}}},
         0},
        {"two versions",
         {{{"source", 0}, {"to", 8}, {"version", 1}}, {{"source", 8}, {"to", 16}, {"version", 2}}},
         0},
        {"none", json::array(), 0},
        {"one object", {{"source", 0}, {"to", 16}, {"version", 2}}, 2},
        {"one object with the upper layers", {{"source", 8}, {"to", 16}, {"version", 2}}, 0},
        {"not said", nullptr, 2},
    };
    for (const auto& it : cases) {
      const json report{{"model-list", {{{"name", "m1"}, {"version", 2}}}}, {"layers", it.layers}};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.version,
                                   DecodeLoadedWeights(report).complete_version);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, DecodeLoadedWeights(json::object()).complete_version);
    const auto state = DecodeEngineState(
        R"({"model-list":[],"busy":true,"active":3,"queued":1,"born":12,"pace":1.5,"sequence":7})");
    CPPUNIT_ASSERT(state.command_in_progress);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, state.commands.value_or(0));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, state.running);
    CPPUNIT_ASSERT_EQUAL(1.5, state.slowdown);
  }

  // A load command that does not name the number of accepted commands could be carried out twice.
  void EncodesLoadCommands() {
    const auto all = json::parse(MakeLoadRequest({"m1", 2, std::nullopt, 7}).body());
    CPPUNIT_ASSERT_EQUAL(std::string("start"), all["operation"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(7, all["expected-revision"].get<int>());
    CPPUNIT_ASSERT(!all.contains("source"));
    const auto part =
        json::parse(MakeLoadRequest({"m1", 2, serving::LayerRange{3, 4}, std::nullopt}).body());
    CPPUNIT_ASSERT_EQUAL(3, part["source"].get<int>());
    CPPUNIT_ASSERT_EQUAL(4, part["to"].get<int>());
    CPPUNIT_ASSERT(!part.contains("expected-revision"));
  }

  // The API key must not reach an endpoint, and a caller must not set the system's own fields.
  void SetsAndStripsRequestHeaders() {
    net::HttpRequest request(net::http::verb::post, "/a/x?y=1", 11);
    request.set("Host", "desk.example");
    request.set("Attempt-Id", "77");
    request.set("Authorization", "Bearer k1");
    request.set("Tenant", "forged");
    request.set("Target-Replica", "forged");
    request.set("Expected-Version", "9");
    request.set("Connection", "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Other", "kept");
    request.set("Last-Event-Id", "3");
    request.set("Deadline-Ms", "1500");
    request.set("Token-Usage", "1460,80");
    request.body() = "body";
    const auto caller = DecodeCallerRequest(request);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), caller.api_key);
    CPPUNIT_ASSERT(caller.time_left == milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, caller.last_event_id.value());
    CPPUNIT_ASSERT_EQUAL(1460.0, caller.prompt_tokens);

    ForwardedHeaders headers;
    headers.endpoint = "i-1";
    headers.account = "shop";
    headers.time_left = milliseconds(700);
    headers.priority = 12;
    headers.last_event_id = 8;
    const auto forwarded = MakeForwardedRequest(request, headers);
    const auto value = [&](const char* name) { return std::string(forwarded[name]); };
    CPPUNIT_ASSERT_EQUAL(std::string("/a/x?y=1"), std::string(forwarded.target()));
    CPPUNIT_ASSERT_EQUAL(std::string("body"), forwarded.body());
    CPPUNIT_ASSERT_EQUAL(std::string(), value("Authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string(), value("X-Hop"));
    CPPUNIT_ASSERT_EQUAL(std::string(), value("Expected-Version"));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), value("X-Other"));
    CPPUNIT_ASSERT_EQUAL(std::string("shop"), value("Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), value("Target-Replica"));
    CPPUNIT_ASSERT_EQUAL(std::string("700"), value("Deadline-Ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("9"), value("Request-Priority"));
    CPPUNIT_ASSERT_EQUAL(std::string("8"), value("Last-Event-Id"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         static_cast<std::ptrdiff_t>(forwarded.count("Last-Event-Id")));
  }

  // Guards against an entry of another writer that ends the processes that read it, or that is used
  // for requests: nested very deeply, with a number that is too large, or with a port out of range.
  void RejectsOddAnnouncements() {
    const auto nested = [](std::size_t levels, const char* open, const char* close) {
      std::string text;
      for (std::size_t i = 0; i < levels; ++i) text += open;
      text += "1";
      for (std::size_t i = 0; i < levels; ++i) text += close;
      return text;
    };
    const std::string known = Announcement().dump();
    const auto with = [&](const std::string& field, const std::string& value) {
      json announcement = Announcement();
      announcement.erase(field);
      const std::string rest = announcement.dump();
      return "{\"" + field + "\":" + value + "," + rest.substr(1);
    };
    const std::string odd[] = {
        with("other", nested(100, "[", "]")),
        with("other", nested(20000, "{\"a\":", "}")),
        with("model-list", nested(1'000'000, "[", "]")),
        with("other", "\"" + std::string(100'000, 'x') + "\""),
        with("batch-slots", "4294967296"),
        with("batch-slots", "1e400"),
        with("sequence", "9223372036854775808"),
        with("sequence", "1e30"),
        with("born", "18446744073709551615"),
        with("born", "9007199254740993"),
        with("warmup-remaining-ms", "1e300"),
        with("warmup-remaining-ms", "-1"),
        with("address", "\"10.0.0.1:99999\""),
        with("address", "\"10.0.0.1:0\""),
        with("address", "\"10.0.0.1:-80\""),
        with("address", "\"10.0.0.1\""),
        with("address", "\"replica.example:80\""),
        with("state", "\"\xff\""),
    };
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), DecodeAnnouncement("i-1", known).id);
    for (const auto& body : odd) {
      CPPUNIT_ASSERT_THROW_MESSAGE(body.substr(0, 200), DecodeAnnouncement("i-1", body),
                                   PlatformError);
    }
  }

  // The same for messages of others that were damaged on their way or written by another release:
  // what a process cannot read must be an error that it handles.
  void SurvivesDamagedMessages() {
    const std::string state = R"({"phase":"unified","model-list":[{"name":"m","version":3}],)"
                              R"("layers":[{"source":0,"to":4,"version":3}],"busy":false,)"
                              R"("sequence":2,"queued":1,"active":12,"pace":1.5,"born":17})";
    const std::string digests = R"({"model-name":"m","version":2,"chunk-bytes":32768,)"
                                R"("layers":16,"chunk-digests":["00ff"]})";
    const std::string staged = R"({"held":[1,2,3]})";
    const std::string target = R"({"model-name":"m","version":2})";
    const std::pair<std::string, std::function<void(const std::string&)>> decoders[] = {
        {Announcement().dump(), [](const auto& it) { DecodeAnnouncement("i-1", it); }},
        {state, [](const auto& it) { DecodeEngineState(it); }},
        {digests, [](const auto& it) { DecodeDigests(it); }},
        {staged, [](const auto& it) { DecodeStagedList(it); }},
        {target, [](const auto& it) { DecodeTargetWeights(it); }},
        {ConfigFile().dump(), [](const auto& it) { DecodeServiceConfig(it); }},
    };
    const char* const splices[] = {"[",  "{\"a\":", "1e999", "-1", "18446744073709551615",
                                   "\"", "null",    "\xff",  "[]", "99999999999999999999"};
    std::minstd_rand random(7);
    for (const auto& [sample, decode] : decoders) {
      for (int run = 0; run < 4000; ++run) {
        std::string text = sample;
        for (auto n = random() % 3 + 1; n > 0; --n) {
          const std::size_t at = random() % text.size();
          const std::string splice = splices[random() % std::size(splices)];
          const std::size_t repeated = random() % 20 == 0 ? 500 : 1;
          std::string inserted;
          for (std::size_t i = 0; i < repeated; ++i) inserted += splice;
          text.replace(at, random() % 6, inserted);
        }
        try {
          decode(text);
        } catch (const Error&) {
          continue;
        }
      }
    }
  }

  // Guards against blaming the last part, which is the request's own, and against lists that make
  // the system remember without bound.
  void DecodesPromptParts() {
    struct Row {
      std::string text;
      std::vector<std::string> parts;
    };
    const Row rows[] = {{"", {}},
                        {"a:800", {}},
                        {"a:800,b:410,c:250", {"a", "b"}},
                        {"a:800, b:410, a:3,c:250", {"a", "b"}},
                        {"a,,:7,b:x,c", {"a", "b"}},
                        {"a/b:1,\xff:1,c\"d:1,e:1,f:1", {"e"}},
                        {std::string(65, 'a') + ":1,b:2,c:3", {"b"}}};
    for (const auto& row : rows) {
      net::HttpRequest request(net::http::verb::post, "/", 11);
      request.set("Prefix-Hash", row.text);
      CPPUNIT_ASSERT_MESSAGE(row.text,
                             DecodeCallerRequest(request).shared_prompt_parts == row.parts);
    }
    std::string many;
    for (int i = 0; i < 500; ++i) many += "p" + std::to_string(i) + ":1,";
    net::HttpRequest request(net::http::verb::post, "/", 11);
    request.set("Prefix-Hash", many);
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, DecodeCallerRequest(request).shared_prompt_parts.size());
  }

  void DecodesEndpointResponses() {
    net::HttpResponse response;
    response.status = 503;
    response.headers["Not-Executed"] = "1";
    response.headers["Replica-Load"] = "3,1,8";
    auto decoded = DecodeEndpointResponse(response);
    CPPUNIT_ASSERT(decoded.not_run);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, decoded.load->waiting);
    CPPUNIT_ASSERT_EQUAL(std::string("Not-Executed: 1\r\n"), RelayedHeaderLines(response));
    response.headers.clear();
    CPPUNIT_ASSERT(!DecodeEndpointResponse(response).not_run);
    response.status = 421;
    CPPUNIT_ASSERT(DecodeEndpointResponse(response).not_run);
    const std::set<unsigned> promises{408, 421, 429, 503};
    for (const unsigned status : {200, 400, 408, 413, 421, 429, 431, 500, 502, 503, 504}) {
      response.status = status;
      CPPUNIT_ASSERT_EQUAL(promises.contains(status),
                           DecodeEndpointResponse(response).status_means_not_run);
    }
  }

  // No requests may go to an endpoint that is shutting down or sent Retry-After.
  void DecodesShutdownAndRetryAfter() {
    struct Case {
      unsigned status;
      const char* name;
      const char* value;
      bool draining;
      std::optional<Duration> retry_after;
    };
    const Case cases[] = {
        {200, "Server-Leaving", "1", true, std::nullopt},
        {503, "server-leaving", " 1", true, std::nullopt},
        {200, "Server-Leaving", "0", false, std::nullopt},
        {200, "Server-Leaving", "", false, std::nullopt},
        {503, "Retry-After", "2", false, Duration(std::chrono::seconds(2))},
        {503, "Retry-After", "0.25", false, Duration(std::chrono::milliseconds(250))},
        {503, "Retry-After", "1e300", false, Duration(std::chrono::hours(24))},
        {503, "Retry-After", "-1", false, std::nullopt},
        {503, "Retry-After", "nan", false, std::nullopt},
        {503, "Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT", false, std::nullopt},
        {200, "Retry-After", "2", false, std::nullopt},
    };
    for (const auto& it : cases) {
      net::HttpResponse response;
      response.status = it.status;
      response.headers[it.name] = it.value;
      const auto decoded = DecodeEndpointResponse(response);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.value, it.draining, decoded.draining);
      CPPUNIT_ASSERT_MESSAGE(it.value, it.retry_after == decoded.retry_after);
    }
  }

  // Guards against reports of new endpoints that are ignored because they have more figures, and
  // against damaged or hostile ones that end the process or make a full endpoint appear free.
  void DecodesLoadReports() {
    struct Case {
      const char* value;
      bool valid;
      std::uint32_t running;
      std::uint32_t waiting;
      std::optional<double> slowdown;
    };
    const Case cases[] = {
        {"12,3,12", true, 12, 3, std::nullopt},
        {"12,3,12,150", true, 12, 3, 1.5},
        {"12, 3, 12, 80, 7, x", true, 12, 3, 0.8},
        {"12,3,12,", true, 12, 3, std::nullopt},
        {"12,3,12,fast", true, 12, 3, std::nullopt},
        {"12,3,12,0", true, 12, 3, std::nullopt},
        {"12,3,12,-5", true, 12, 3, std::nullopt},
        {"12,3,12,nan", true, 12, 3, std::nullopt},
        {"12,3,12,1e-9", true, 12, 3, 0.1},
        {"12,3,12,1e300", true, 12, 3, 1000},
        {"1e300,4294967295,inf", true, 100000, 100000, std::nullopt},
        {"", false, 0, 0, std::nullopt},
        {"12", false, 0, 0, std::nullopt},
        {"12,3", false, 0, 0, std::nullopt},
        {"12,,12,100", false, 0, 0, std::nullopt},
        {"-1,0,12", false, 0, 0, std::nullopt},
        {"nan,0,12", false, 0, 0, std::nullopt},
        {"1e999,0,12", false, 0, 0, std::nullopt},
    };
    for (const auto& it : cases) {
      net::HttpResponse response;
      response.status = 200;
      response.headers["Replica-Load"] = it.value;
      const auto load = DecodeEndpointResponse(response).load;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.value, it.valid, load.has_value());
      if (!load) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.value, it.running, load->running);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.value, it.waiting, load->waiting);
      CPPUNIT_ASSERT_MESSAGE(it.value, it.slowdown == load->slowdown);
    }
    // A count that does not fit into the messages between processes would become negative there.
    const auto state = DecodeEngineState(R"({"model-list":[],"active":4294967295,"queued":0})");
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{100000}, state.running);
  }

  // Guards against accounts without a priority that count as the most urgent ones.
  void KeepsRoutePriorityWithoutAccountPriority() {
    json file = ConfigFile();
    file["tenants"].push_back({{"name", "desk"}, {"api-keys", {"k2"}}});
    const auto config = DecodeServiceConfig(file.dump());
    CPPUNIT_ASSERT(!config.accounts->at(1).priority);
    file["tenants"][1]["priority"] = "high";
    CPPUNIT_ASSERT_THROW(DecodeServiceConfig(file.dump()), serving::ServingError);
  }

  // A limit that is misread as none, or as 0, lets requests through or holds all of them back.
  void DecodesRequestLimits() {
    struct Case {
      const char* value;
      std::optional<double> limit;
      bool unreadable;
    };
    const Case cases[] = {
        {"12", 12, false},           {" 1.9", 1.9, false},
        {"0.25", 0.25, false},       {"0", 0, false},
        {"1e300", 1e6, false},       {"", std::nullopt, false},
        {"-1", std::nullopt, true},  {"nan", std::nullopt, true},
        {"few", std::nullopt, true},
    };
    for (const auto& it : cases) {
      net::HttpResponse response;
      response.status = 200;
      response.headers["Server-Limit"] = it.value;
      const auto decoded = DecodeEndpointResponse(response);
      CPPUNIT_ASSERT_MESSAGE(it.value, it.limit == decoded.request_limit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.value, it.unreadable, decoded.request_limit_unreadable);
    }
    const auto unlimited = DecodeEndpointResponse(net::HttpResponse{});
    CPPUNIT_ASSERT(!unlimited.request_limit && !unlimited.request_limit_unreadable);
  }

  void DecodesDigests() {
    const std::string hex(64, 'a');
    const auto digests = DecodeDigests(json{
        {"model-name", "m1"},
        {"version", 2},
        {"chunk-bytes", 32768},
        {"chunk-digests", {hex, hex}}}.dump());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, digests.digests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), digests.model);
    CPPUNIT_ASSERT_THROW(
        DecodeDigests(
            json{{"version", 2}, {"chunk-bytes", 32768}, {"chunk-digests", {"aa"}}}.dump()),
        PlatformError);
    CPPUNIT_ASSERT(DecodeLoadResult(409) == LoadResult::kConflict);
    CPPUNIT_ASSERT(DecodeLoadResult(412) == LoadResult::kRefused);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

}  // namespace
}  // namespace wagtailslip::platform
