#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "wagtailslip/net/address.h"
#include "wagtailslip/net/http_client.h"
#include "wagtailslip/net/http_server.h"

namespace wagtailslip::net {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);
constexpr std::size_t kBodyLimit = std::size_t{256} * 1024;
// Bytes that the kernel takes for both ends of a loopback connection.
constexpr std::size_t kSocketBuffers = std::size_t{16} * 1024 * 1024;

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
  CPPUNIT_TEST(EndsACallToAServerThatSendsWithoutEnd);
  CPPUNIT_TEST(EndsARequestWhoseChunkSizeHasNoEnd);
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

  // The parser keeps a chunk size until it is whole, so one without end must meet a limit.
  void EndsARequestWhoseChunkSizeHasNoEnd() {
    Run([](tcp::endpoint address) -> Task<void> {
      tcp::socket socket(co_await asio::this_coro::executor);
      co_await socket.async_connect(address, asio::use_awaitable);
      std::string bytes = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
      std::size_t sent = 0;
      error_code ec;
      while (!ec && sent <= kSocketBuffers) {
        sent += co_await asio::async_write(socket, asio::buffer(bytes),
                                           asio::redirect_error(asio::use_awaitable, ec));
        bytes = std::string(1024, '0');
      }
      CPPUNIT_ASSERT(ec);
    });
  }

  // Servers that send bytes without end, or one now and then, must neither fill the memory nor hold
  // the caller beyond its limit. Each sends until the connection is closed.
  void EndsACallToAServerThatSendsWithoutEnd() {
    struct Case {
      const char* name;
      std::string first;
      std::string repeated;
      Duration pause;
      bool times_out;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string block(16 * 1024, 'a');
    const Duration none = Duration::zero();
    const Duration slow = std::chrono::milliseconds(20);
    const Case cases[] = {
        {"no answer", "", block, none, false},
        {"a head line", ok + "X-Fill: ", block, none, false},
        {"head fields", ok, "X-Fill: a\r\n", none, false},
        {"a body without length", ok + "\r\n", block, none, false},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n", none, false},
        {"a chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0", none, false},
        {"a slow head", ok, "X", slow, true},
        {"a slow body", ok + "\r\n", "a", slow, true},
    };
    for (const auto& it : cases) {
      asio::io_context context;
      tcp::acceptor acceptor(context, ParseAddress("127.0.0.1:0"));
      std::size_t sent = 0;
      asio::co_spawn(
          context,
          [&]() -> Task<void> {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            asio::steady_timer timer(context);
            error_code ec;
            std::string bytes = it.first;
            while (!ec) {
              sent += co_await asio::async_write(socket, asio::buffer(bytes),
                                                 asio::redirect_error(asio::use_awaitable, ec));
              bytes = it.repeated;
              if (it.pause == Duration::zero()) continue;
              timer.expires_after(it.pause);
              co_await timer.async_wait(asio::use_awaitable);
            }
          },
          asio::detached);
      bool failed = false;
      bool timed_out = false;
      asio::co_spawn(
          context,
          [&]() -> Task<void> {
            HttpConnection connection(context.get_executor());
            connection.set_body_limit(kBodyLimit);
            co_await connection.Connect(acceptor.local_endpoint(), kTimeout);
            const Duration limit = it.times_out ? std::chrono::milliseconds(300) : kTimeout;
            try {
              co_await connection.Call(MakeRequest(http::verb::get, "/"), limit);
            } catch (const TimeoutError&) {
              failed = timed_out = true;
            } catch (const NetError&) {
              failed = true;
            }
          },
          asio::detached);
      context.run();
      CPPUNIT_ASSERT_MESSAGE(it.name, failed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.times_out, timed_out);
      CPPUNIT_ASSERT_MESSAGE(it.name, sent <= kBodyLimit + kSocketBuffers);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

}  // namespace
}  // namespace wagtailslip::net
