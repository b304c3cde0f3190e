#include "tools_test_util.h"

namespace wagtailslip::tools {
namespace {

class EngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineTest);
  CPPUNIT_TEST(EngineAnswersPassTheCheck);
  CPPUNIT_TEST(EngineFaultsAreTold);
  CPPUNIT_TEST(EngineLoadsOnlyRightWeights);
  CPPUNIT_TEST(FencingIsObeyedOrIgnored);
  CPPUNIT_TEST(RunningStreamKeepsItsVersion);
  CPPUNIT_TEST(StreamResumesOnAnotherEngine);
  CPPUNIT_TEST(CancelEndsAStream);
  CPPUNIT_TEST(CancelReachesWaitingRequests);
  CPPUNIT_TEST(SlotsFollowPriority);
  CPPUNIT_TEST(CacheEventsComeLateAndWithGaps);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EngineAnswersPassTheCheck() {
    EngineServer engine(FastEngine());
    Run(
        [](auto addresses) -> Task<void> {
          for (const bool stream : {true, false}) {
            const auto answer = co_await Send(addresses[0], verb::post, "/v1/chat/completions",
                                              ChatBody(stream), "r1");
            CPPUNIT_ASSERT_EQUAL(std::string("none"), Verdict(Expect("r1"), answer, stream));
          }
          const auto wrong =
              co_await Send(addresses[0], verb::post, "/v1/chat/completions", R"({"model":"m"})");
          CPPUNIT_ASSERT_EQUAL(400U, wrong.status);
        },
        {engine});
  }

  // Each fault must be visible to the load generator's check, or a run would hide it.
  void EngineFaultsAreTold() {
    EngineServer engine(FastEngine());
    Run(
        [](auto addresses) -> Task<void> {
          const std::string path = "/v1/chat/completions";
          for (const bool stream : {true, false}) {
            co_await Switch(addresses[0], "wrong_version");
            auto answer = co_await Send(addresses[0], verb::post, path, ChatBody(stream), "r1");
            CPPUNIT_ASSERT_EQUAL(std::string("wrong_or_mixed_version"),
                                 Verdict(Expect("r1"), answer, stream));
            co_await Switch(addresses[0], "wrong_version", 0);
            co_await Switch(addresses[0], "cross");
            std::string other;
            net::asio::co_spawn(
                co_await net::asio::this_coro::executor,
                Send(addresses[0], verb::post, path, ChatBody(stream), "r2"),
                [&](std::exception_ptr, HttpResponse r) { other = r.Header("X-Request-Id"); });
            answer = co_await Send(addresses[0], verb::post, path, ChatBody(stream), "r1");
            CPPUNIT_ASSERT_EQUAL(std::string("other_request_id"),
                                 Verdict(Expect("r1"), answer, stream));
            // The system gives requests ids of its own; the prompt's hash still tells.
            Expectation expected = Expect("r2");
            expected.accept_engine_ids = true;
            expected.hash = ShortHash("user:another question\n");
            CPPUNIT_ASSERT_EQUAL(std::string("other_request_id"),
                                 Verdict(expected, answer, stream));
            while (other.empty()) co_await Sleep(1ms);
            CPPUNIT_ASSERT_EQUAL(std::string("r1"), other);
            co_await Switch(addresses[0], "cross", 0);
          }
          co_await Switch(addresses[0], "corrupt");
          const auto whole = co_await Send(addresses[0], verb::post, path, ChatBody(false), "r1");
          CPPUNIT_ASSERT_EQUAL(std::string("malformed"), Verdict(Expect("r1"), whole, false));
          const auto cut = co_await Send(addresses[0], verb::post, path, ChatBody(true), "r1");
          CPPUNIT_ASSERT_EQUAL(std::string("incomplete"), Verdict(Expect("r1"), cut, true));
          bool broken = false;
          try {
            co_await Send(addresses[0], verb::post, path, ChatBody(true), "r1");
          } catch (const net::NetError&) {
            broken = true;
          }
          CPPUNIT_ASSERT(broken);
        },
        {engine});
  }

  void EngineLoadsOnlyRightWeights() {
    EngineServer engine(FastEngine());
    const OriginServer origin(SmallOrigin());
    ModelFile v1(origin.store(), "v1");
    ModelFile v2(origin.store(), "v2");
    v2.Damage();
    Run(
        [&](auto addresses) -> Task<void> {
          const auto good =
              co_await Send(addresses[0], verb::post, "/admin/load", v1.LoadCommand(1));
          CPPUNIT_ASSERT_EQUAL(200U, good.status);
          const auto bad =
              co_await Send(addresses[0], verb::post, "/admin/load", v2.LoadCommand(2));
          CPPUNIT_ASSERT_EQUAL(422U, bad.status);
          const Json state = co_await Get(addresses[0], "/admin/state");
          CPPUNIT_ASSERT_EQUAL(v1.root(), state["loaded"][0]["root"].get<std::string>());
        },
        {engine});
  }

  void FencingIsObeyedOrIgnored() {
    const OriginServer origin(SmallOrigin());
    ModelFile v1(origin.store(), "v1");
    for (const bool ignore : {false, true}) {
      EngineSettings settings = FastEngine();
      settings.ignore_fencing = ignore;
      EngineServer engine(settings);
      Run(
          [&](auto addresses) -> Task<void> {
            for (const int fencing : {5, 5, 4}) {
              const auto answer =
                  co_await Send(addresses[0], verb::post, "/admin/load", v1.LoadCommand(fencing));
              CPPUNIT_ASSERT_EQUAL(fencing == 4 && !ignore ? 409U : 200U, answer.status);
            }
          },
          {engine});
    }
  }

  // A swap must never change the weights under a stream: it waits, or the stream keeps them.
  void RunningStreamKeepsItsVersion() {
    const OriginServer origin(SmallOrigin());
    ModelFile v2(origin.store(), "v2");
    for (const bool drain : {false, true}) {
      EngineSettings settings = FastEngine();
      settings.drain_on_load = drain;
      settings.token_ms = 5;
      EngineServer engine(settings);
      Run(
          [&](auto addresses) -> Task<void> {
            HttpResponse old;
            bool ended = false;
            net::asio::co_spawn(
                co_await net::asio::this_coro::executor,
                Send(addresses[0], verb::post, "/v1/chat/completions", ChatBody(true, 60), "r1"),
                [&](std::exception_ptr, HttpResponse r) {
                  old = std::move(r);
                  ended = true;
                });
            while ((co_await Get(addresses[0], "/admin/state"))["running"] == 0) {
            }
            const auto load =
                co_await Send(addresses[0], verb::post, "/admin/load", v2.LoadCommand(1));
            CPPUNIT_ASSERT_EQUAL(200U, load.status);
            const auto next = co_await Send(addresses[0], verb::post, "/v1/chat/completions",
                                            ChatBody(true), "r2");
            CPPUNIT_ASSERT_EQUAL(v2.root(), next.Header("X-Model-Version"));
            while (!ended) co_await Sleep(1ms);
            CPPUNIT_ASSERT(old.Header("X-Model-Version") != v2.root());
            CPPUNIT_ASSERT_EQUAL(std::string("none"), Verdict(Expect("r1", 60), old, true));
          },
          {engine});
    }
  }

  void StreamResumesOnAnotherEngine() {
    EngineServer first(FastEngine());
    EngineServer second(FastEngine());
    Run(
        [](auto addresses) -> Task<void> {
          const std::string command = R"({"request_id":"r1","offset":2,"stream":false})";
          const auto whole = co_await Send(addresses[0], verb::post, "/v1/chat/completions",
                                           ChatBody(false), "r1");
          const auto unknown = co_await Send(addresses[1], verb::post, "/admin/resume", command);
          CPPUNIT_ASSERT_EQUAL(404U, unknown.status);
          const auto kv = co_await Send(addresses[0], verb::post, "/admin/kv/export", command);
          Json damaged = Json::parse(kv.body);
          damaged["offset"] = 3;
          const auto refused =
              co_await Send(addresses[1], verb::post, "/admin/kv/import", damaged.dump());
          CPPUNIT_ASSERT_EQUAL(422U, refused.status);
          const auto taken = co_await Send(addresses[1], verb::post, "/admin/kv/import", kv.body);
          CPPUNIT_ASSERT_EQUAL(200U, taken.status);
          const std::string end = R"({"request_id":"r1","offset":4})";
          const auto nothing = co_await Send(addresses[1], verb::post, "/admin/resume", end);
          CPPUNIT_ASSERT_EQUAL(std::string("data: [DONE]\n\n"), nothing.body);
          const auto rest = co_await Send(addresses[1], verb::post, "/admin/resume", command);
          const auto text = [](const HttpResponse& answer) {
            const Json json = Json::parse(answer.body);
            return json["choices"][0]["message"]["content"].template get<std::string>();
          };
          CPPUNIT_ASSERT_EQUAL(text(whole).substr(text(whole).size() / 2), text(rest));
        },
        {first, second});
  }

  void CancelEndsAStream() {
    EngineServer engine(FastEngine());
    Run(
        [](auto addresses) -> Task<void> {
          std::string body;
          net::asio::co_spawn(co_await net::asio::this_coro::executor,
                              Send(addresses[0], verb::post, "/v1/chat/completions",
                                   ChatBody(true, 1'000'000), "r1"),
                              [&](std::exception_ptr, HttpResponse r) { body = r.body; });
          const std::string command = R"({"request_id":"r1"})";
          while (body.empty()) {
            co_await Send(addresses[0], verb::post, "/admin/cancel", command);
          }
          CPPUNIT_ASSERT(body.find("cancelled") != std::string::npos);
        },
        {engine});
  }

  // A caller that left must not cost a slot later.
  void CancelReachesWaitingRequests() {
    EngineSettings settings = FastEngine();
    settings.slots = 1;
    EngineServer engine(settings);
    Run(
        [](auto addresses) -> Task<void> {
          const auto executor = co_await net::asio::this_coro::executor;
          std::map<std::string, unsigned> status;
          for (const char* id : {"r1", "r2"}) {
            net::asio::co_spawn(
                executor,
                Send(addresses[0], verb::post, "/v1/chat/completions", ChatBody(true, 1'000'000),
                     id),
                [&status, id](std::exception_ptr, HttpResponse r) { status[id] = r.status; });
          }
          while ((co_await Get(addresses[0], "/admin/state"))["queued"] == 0) {
          }
          for (const char* id : {"r1", "r2"}) {
            const std::string command = R"({"request_id":")" + std::string(id) + "\"}";
            const auto answer = co_await Send(addresses[0], verb::post, "/admin/cancel", command);
            CPPUNIT_ASSERT_EQUAL(std::string(R"({"cancelled":true})"), answer.body);
          }
          const std::string path = "/v1/chat/completions";
          const auto next = co_await Send(addresses[0], verb::post, path, ChatBody(false), "r3");
          CPPUNIT_ASSERT_EQUAL(200U, next.status);
          while (status.size() < 2) co_await Sleep(1ms);
          CPPUNIT_ASSERT_EQUAL(409U, status["r2"]);
        },
        {engine});
  }

  void SlotsFollowPriority() {
    net::asio::io_context context(1);
    SlotQueue queue(1);
    std::vector<int> order;
    const auto use = [&](std::uint32_t priority, int id) -> Task<void> {
      const auto lease = co_await queue.Acquire(priority);
      order.push_back(id);
      co_await Sleep(1ms);
    };
    int id = 0;
    for (const std::uint32_t priority : {5U, 9U, 5U, 0U}) {
      net::asio::co_spawn(context, use(priority, id++), net::asio::detached);
    }
    context.run();
    // The first request runs at once; the rest wait and go by priority, then by arrival.
    CPPUNIT_ASSERT((std::vector<int>{0, 3, 2, 1}) == order);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, queue.running());
  }

  void CacheEventsComeLateAndWithGaps() {
    PrefixCacheSettings settings;
    settings.block_bytes = 4;
    settings.capacity_blocks = 8;
    settings.event_lag = 100ms;
    settings.event_gaps = 0.5;
    PrefixCache cache(settings);
    const TimePoint start(1s);
    const auto blocks = cache.Blocks("v1", std::string(41, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, blocks.size());
    CPPUNIT_ASSERT(blocks != cache.Blocks("v2", std::string(41, 'x')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cache.Use(blocks, start));
    // The end of the prompt is evicted first; what is left is still a prefix.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, cache.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, cache.Use(blocks, start));
    CPPUNIT_ASSERT(cache.EventsAfter(0, start + 99ms).empty());
    const auto events = cache.EventsAfter(0, start + 100ms);
    CPPUNIT_ASSERT(!events.empty() && cache.events_dropped() > 0);
    CPPUNIT_ASSERT_EQUAL(events.size() - 1,
                         cache.EventsAfter(events[0].sequence, start + 100ms).size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);

}  // namespace
}  // namespace wagtailslip::tools
