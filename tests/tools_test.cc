#include "tools_test_util.h"

namespace wagtailslip::tools {
namespace {

/// Answers `GET /v1/addresses` with one address.
class Directory : public ToolServer {
 public:
  Directory() : ToolServer({}, ServerSettings{}) {
    Route(verb::get, "/v1/addresses", [this](net::HttpExchange& exchange) {
      ++asked;
      Json json;
      json["addresses"][0]["address"] = net::FormatAddress(address);
      json["max_age_seconds"] = 0.05;
      return exchange.Respond(200, json.dump());
    });
  }
  tcp::endpoint address;
  int asked = 0;

 protected:
  Json Counters() const override { return {}; }
};

class ToolsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ToolsTest);
  CPPUNIT_TEST(FaultsChangeWholeOrNotAtAll);
  CPPUNIT_TEST(BucketKeepsItsRate);
  CPPUNIT_TEST(ArtifactsAreRepeatableAndShareChunks);
  CPPUNIT_TEST(OriginServesAndCorruptsChunks);
  CPPUNIT_TEST(OriginLimitsRequests);
  CPPUNIT_TEST(ServiceCountsDuplicates);
  CPPUNIT_TEST(LoadRefusesOtherMachines);
  CPPUNIT_TEST(QuantilesAreWithinTwoPercent);
  CPPUNIT_TEST(LoadRunFindsTruncatedAnswers);
  CPPUNIT_TEST(LoadRunResendsWithTheSameKey);
  CPPUNIT_TEST(LoadRunFollowsTheAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A test that misspells one switch must not run with the others half changed.
  void FaultsChangeWholeOrNotAtAll() {
    Faults faults({"fail", "delay_ms"}, FaultValues{}, 1);
    for (const char* text : {R"({"fail":1,"fial":1})", R"({"fail":1,"delay_ms":-1})",
                             R"({"fail":1,"stall":1})", R"({"fail":"x"})", "[1]"}) {
      CPPUNIT_ASSERT_THROW(faults.Update(Json::parse(text)), ToolError);
      CPPUNIT_ASSERT_EQUAL(0.0, faults.values().fail);
    }
    faults.Update(Json::parse(R"({"fail":true})"));
    CPPUNIT_ASSERT(faults.Hit(&FaultValues::fail));
  }

  void BucketKeepsItsRate() {
    TokenBucket bucket(1000, 100);
    const TimePoint start(1s);
    CPPUNIT_ASSERT(bucket.Reserve(100, start) == 0s);
    CPPUNIT_ASSERT(bucket.Reserve(1000, start) == 1s);
    CPPUNIT_ASSERT(bucket.Reserve(500, start + 1s) == 500ms);
    CPPUNIT_ASSERT(bucket.TryTake(1, start + 1s) > 0s);
    // An idle link saves up no more than its burst.
    CPPUNIT_ASSERT(bucket.Reserve(200, start + 100s) == 100ms);
  }

  void ArtifactsAreRepeatableAndShareChunks() {
    ArtifactStore a(1024, 1 << 20);
    ArtifactStore b(1024, 1 << 20);
    for (auto* store : {&a, &b}) {
      for (const auto& spec : SmallOrigin().artifacts) store->Add(spec);
    }
    const auto& v1 = *a.FindManifest("m", "v1");
    const auto& v2 = *a.FindManifest("m", "v2");
    CPPUNIT_ASSERT(v2.root == b.FindManifest("m", "v2")->root);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10500}, v1.Bytes());
    int shared = 0;
    for (std::size_t i = 0; i < v1.chunks.size(); ++i) {
      shared += v1.chunks[i].digest == v2.chunks[i].digest ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(5, shared);
    auto text = ToJson(v1);
    CPPUNIT_ASSERT(ParseManifest(text.dump()).root == v1.root);
    text["chunks"].erase(0);
    CPPUNIT_ASSERT_THROW(ParseManifest(text.dump()), ToolError);
  }

  void OriginServesAndCorruptsChunks() {
    OriginSettings settings = SmallOrigin();
    settings.link_bytes_per_second = 1e9;
    OriginServer origin(settings);
    Run(
        [](auto addresses) -> Task<void> {
          const Json manifest = co_await Get(addresses[0], "/models/m/v1/manifest");
          for (const auto& chunk : manifest["chunks"]) {
            const auto path = "/chunks/" + chunk["digest"].get<std::string>();
            const auto answer = co_await Send(addresses[0], verb::get, path);
            CPPUNIT_ASSERT_EQUAL(chunk["digest"].get<std::string>(), Sha256(answer.body).Hex());
          }
          co_await Switch(addresses[0], "corrupt");
          const auto digest = manifest["chunks"][0]["digest"].get<std::string>();
          const auto answer = co_await Send(addresses[0], verb::get, "/chunks/" + digest);
          CPPUNIT_ASSERT(Sha256(answer.body).Hex() != digest);
          const Json counters = co_await Get(addresses[0], "/counters");
          CPPUNIT_ASSERT_EQUAL(2, counters["chunk_sends_max"].get<int>());
          CPPUNIT_ASSERT_EQUAL(12, counters["chunks_sent"].get<int>());
          const auto unknown = co_await Send(addresses[0], verb::get, "/chunks/00");
          CPPUNIT_ASSERT_EQUAL(404U, unknown.status);
        },
        {origin});
  }

  void OriginLimitsRequests() {
    OriginSettings settings = SmallOrigin();
    settings.requests_per_second = 0.01;
    settings.request_burst = 1;
    OriginServer origin(settings);
    Run(
        [](auto addresses) -> Task<void> {
          co_await Get(addresses[0], "/models/m/v1/manifest");
          const auto answer = co_await Send(addresses[0], verb::get, "/models/m/v1/manifest");
          CPPUNIT_ASSERT_EQUAL(429U, answer.status);
          CPPUNIT_ASSERT(std::stoi(answer.Header("Retry-After")) > 90);
        },
        {origin});
  }

  void ServiceCountsDuplicates() {
    ServiceSettings settings;
    settings.lookups = {"stock"};
    settings.call_ms = 0;
    ServiceServer service(settings);
    Run(
        [](auto addresses) -> Task<void> {
          co_await Send(addresses[0], verb::post, "/call/reserve", "{}", "k1");
          co_await Send(addresses[0], verb::post, "/call/stock", "{}", "k1");
          co_await Switch(addresses[0], "lose_answer");
          bool lost = false;
          try {
            co_await Send(addresses[0], verb::post, "/call/reserve", "{}", "k1");
          } catch (const net::NetError&) {
            lost = true;
          }
          CPPUNIT_ASSERT(lost);
          const Json counters = co_await Get(addresses[0], "/counters");
          CPPUNIT_ASSERT_EQUAL(2, counters["executions_per_key_max"].get<int>());
          CPPUNIT_ASSERT_EQUAL(1, counters["lookups"].get<int>());
        },
        {service});
  }

  void LoadRefusesOtherMachines() {
    CPPUNIT_ASSERT_THROW(ParseLoopback("192.0.2.1:80"), ToolError);
    CPPUNIT_ASSERT_THROW(
        ParseAddresses(R"({"addresses":[{"address":"192.0.2.1:80"}],"max_age_seconds":5})", ""),
        ToolError);
    const auto answer = ParseAddresses(
        R"({"addresses":[{"address":"127.0.0.1:1","region":"a"},{"address":"127.0.0.1:2"}],
            "max_age_seconds":5})",
        "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.addresses.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.near.size());
  }

  void QuantilesAreWithinTwoPercent() {
    TimeRecorder recorder;
    for (int i = 1; i <= 1000; ++i) recorder.Record(std::chrono::milliseconds(i));
    for (const double q : {0.5, 0.95, 0.99}) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1000 * q, recorder.Quantile(q), 20 * q);
    }
  }

  LoadSettings ShortLoad(const std::string& kind, tcp::endpoint target) {
    LoadSettings settings;
    settings.accounts = {ParseAccount("a:100")};
    settings.kinds = {ParseKind(kind)};
    settings.targets = {target};
    settings.seconds = 0.5;
    settings.direct = true;
    return settings;
  }

  void LoadRunFindsTruncatedAnswers() {
    EngineSettings engine_settings = FastEngine();
    engine_settings.server.faults.corrupt = 0.5;
    EngineServer engine(engine_settings);
    Run(
        [&](auto addresses) -> Task<void> {
          LoadRun run(ShortLoad("k:1:chat:model=m", addresses[0]));
          co_await run.Run();
          const Json counters = co_await Get(addresses[0], "/counters");
          CPPUNIT_ASSERT(run.violations() > 0);
          CPPUNIT_ASSERT_EQUAL(counters["truncated"].template get<std::uint64_t>(),
                               run.violations());
          const Json report = run.ToJson();
          CPPUNIT_ASSERT_EQUAL(report["total"]["sent"], report["total"]["complete"]);
        },
        {engine});
  }

  // Resent calls must carry the first key: the stand-in counts every execution of one key.
  void LoadRunResendsWithTheSameKey() {
    ServiceSettings service_settings;
    service_settings.server.faults.lose_answer = 0.3;
    ServiceServer service(service_settings);
    Run(
        [&](auto addresses) -> Task<void> {
          LoadSettings settings = ShortLoad("k:1:call", addresses[0]);
          settings.resend = 20;
          LoadRun run(settings);
          co_await run.Run();
          const Json report = run.ToJson();
          const Json counters = co_await Get(addresses[0], "/counters");
          CPPUNIT_ASSERT_EQUAL(report["total"]["sent"], counters["keys"]);
          CPPUNIT_ASSERT_EQUAL(report["total"]["resent"], counters["answers_lost"]);
          CPPUNIT_ASSERT_EQUAL(report["total"]["violations"],
                               counters["keys_executed_more_than_once"]);
        },
        {service});
  }

  // A departing process must get no new requests once its address has been withdrawn.
  void LoadRunFollowsTheAddresses() {
    Directory directory;
    ServiceServer first(ServiceSettings{});
    ServiceServer second(ServiceSettings{});
    Run(
        [&](auto addresses) -> Task<void> {
          LoadSettings settings = ShortLoad("k:1:lookup", addresses[0]);
          settings.targets.clear();
          settings.directories = {addresses[0]};
          settings.seconds = 60;
          LoadRun run(settings);
          directory.address = addresses[1];
          std::uint64_t withdrawn_at = 0;
          const auto withdraw = [&]() -> Task<void> {
            Json counters;
            do {
              counters = co_await Get(addresses[1], "/counters");
            } while (counters["lookups"] < 5);
            directory.address = addresses[2];
            const int asked = directory.asked;
            while (directory.asked < asked + 2) co_await Sleep(1ms);
            withdrawn_at = (co_await Get(addresses[1], "/counters"))["requests"];
            do {
              counters = co_await Get(addresses[2], "/counters");
            } while (counters["lookups"] < 5);
            run.Stop();
          };
          net::asio::co_spawn(co_await net::asio::this_coro::executor, withdraw(),
                              net::asio::detached);
          co_await run.Run();
          const Json old = co_await Get(addresses[1], "/counters");
          CPPUNIT_ASSERT_EQUAL(withdrawn_at, old["requests"].get<std::uint64_t>());
          CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, run.violations());
        },
        {directory, first, second});
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ToolsTest);

}  // namespace
}  // namespace wagtailslip::tools
