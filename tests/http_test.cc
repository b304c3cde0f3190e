#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "wagtailslip/net/address.h"
#include "wagtailslip/net/http_client.h"
#include "wagtailslip/net/http_server.h"

namespace wagtailslip::net {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

Task<void> Answer(HttpExchange& exchange) {
  if (exchange.path() == "/stream") {
    HttpHeaders headers{{"X-Request-Id", "7"}};
    co_await exchange.StartStream(200, headers, "text/event-stream");
    for (int i = 0; i < 3; ++i) co_await exchange.WriteChunk("piece" + std::to_string(i) + "\n");
    co_await exchange.EndStream();
  } else if (exchange.path() == "/cut") {
    co_await exchange.StartStream(200, {}, "text/event-stream");
    co_await exchange.WriteChunk("first");
  } else {
    co_await exchange.Respond(200, exchange.request().body() + exchange.Query("q"));
  }
}

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(AnswersAndKeepsConnection);
  CPPUNIT_TEST(StreamsPieces);
  CPPUNIT_TEST(CutStreamIsAnError);
  CPPUNIT_TEST(OversizedBodyIsRefused);
  CPPUNIT_TEST(RefusedConnectionIsConnectError);
  CPPUNIT_TEST_SUITE_END();

  void Run(const std::function<Task<void>(tcp::endpoint)>& body) {
    asio::io_context context;
    HttpLimits limits;
    limits.body_bytes = 1000;
    HttpServer server(context, ParseAddress("127.0.0.1:0"), limits, Answer);
    server.Start();
    std::exception_ptr problem;
    asio::co_spawn(context, body(server.address()), [&](std::exception_ptr e) {
      problem = e;
      server.StopAccepting();
    });
    context.run();
    if (problem) std::rethrow_exception(problem);
  }

 public:
  void AnswersAndKeepsConnection() {
    Run([](tcp::endpoint address) -> Task<void> {
      HttpConnection connection(co_await asio::this_coro::executor);
      co_await connection.Connect(address, kTimeout);
      for (int i = 0; i < 3; ++i) {
        const auto response =
            co_await connection.Call(MakeRequest(http::verb::post, "/x?q=5", "body"), kTimeout);
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("body5"), response.body);
        CPPUNIT_ASSERT(connection.reusable());
      }
    });
  }

  void StreamsPieces() {
    Run([](tcp::endpoint address) -> Task<void> {
      const auto response =
          co_await CallOnce(address, MakeRequest(http::verb::get, "/stream"), kTimeout);
      CPPUNIT_ASSERT_EQUAL(std::string("piece0\npiece1\npiece2\n"), response.body);
      CPPUNIT_ASSERT_EQUAL(std::string("7"), response.Header("x-request-id"));
    });
  }

  // An answer that the server cuts must never look whole to the caller.
  void CutStreamIsAnError() {
    Run([](tcp::endpoint address) -> Task<void> {
      bool failed = false;
      try {
        co_await CallOnce(address, MakeRequest(http::verb::get, "/cut"), kTimeout);
      } catch (const NetError&) {
        failed = true;
      }
      CPPUNIT_ASSERT(failed);
    });
  }

  void OversizedBodyIsRefused() {
    Run([](tcp::endpoint address) -> Task<void> {
      const auto response = co_await CallOnce(
          address, MakeRequest(http::verb::post, "/x", std::string(2000, 'a')), kTimeout);
      CPPUNIT_ASSERT_EQUAL(413U, response.status);
    });
  }

  void RefusedConnectionIsConnectError() {
    Run([](tcp::endpoint) -> Task<void> {
      bool refused = false;
      try {
        co_await CallOnce(ParseAddress("127.0.0.1:1"), MakeRequest(http::verb::get, "/"), kTimeout);
      } catch (const ConnectError&) {
        refused = true;
      }
      CPPUNIT_ASSERT(refused);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace
}  // namespace wagtailslip::net
