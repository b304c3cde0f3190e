#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/error.h"
#include "wagtailslip/net/http_server.h"

namespace wagtailslip::net {

/// Header of an answer, and its body where it was read whole.
struct HttpResponse {
  unsigned status = 0;
  /// Fields by name; the values of fields with the same name are joined by commas.
  std::map<std::string, std::string, beast::iless> headers;
  std::string body;

  /// Value of a header field; empty if it is absent.
  std::string Header(const std::string& name) const;
};

/// Builds a request with a body.
HttpRequest MakeRequest(http::verb method, std::string_view target, std::string body = {},
                        const HttpHeaders& headers = {});

/// One kept-alive connection to a server.
class HttpConnection {
 public:
  explicit HttpConnection(asio::any_io_executor executor);

  /// @throws ConnectError, TimeoutError
  Task<void> Connect(const tcp::endpoint& address, Duration timeout);
  /// Sends a request and reads the whole answer.
  /// @param timeout limit for the whole call
  /// @throws TimeoutError, NetError
  Task<HttpResponse> Call(HttpRequest request, Duration timeout);
  /// The same for an answer that may come slowly.
  /// @param idle limit for each piece of the answer
  /// @param timeout limit for the whole call
  Task<HttpResponse> Call(HttpRequest request, Duration idle, Duration timeout);
  /// Sends a request and reads the answer's header.
  Task<HttpResponse> Start(HttpRequest request, Duration timeout);
  /// Reads the next piece of the body after Start; nothing at its end.
  /// @param timeout limit for this piece
  /// @throws NetError if the connection ends before the body does
  Task<std::optional<std::string>> ReadSome(Duration timeout);

  /// Most bytes of an answer's body; a longer one is an error.
  void set_body_limit(std::uint64_t bytes) { body_limit_ = bytes; }
  /// Whether another request may be sent on this connection: it is kept alive, and nothing was
  /// received after the last answer.
  bool reusable() const { return reusable_; }
  /// Whether nothing arrived on the idle connection, neither bytes nor its end.
  bool Quiet();
  void Close();

 private:
  /// Received bytes that are not parsed yet; a chunk size without end would fill any buffer. The
  /// longest head that the parser takes fits, beside one read.
  static constexpr std::size_t kMostBuffered = std::size_t{80} * 1024;

  /// Decides whether the connection may be used again.
  void EndAnswer();
  /// Parses the body that is received already, as far as the parser's buffer takes it.
  void ParseReceived();

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMostBuffered};
  std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
  std::uint64_t body_limit_ = 64ULL * 1024 * 1024;
  /// Error in bytes that were received after those returned last.
  error_code pending_error_;
  bool reusable_ = false;
};

/// Keeps idle connections by address. Used by one thread.
class HttpPool {
 public:
  explicit HttpPool(asio::any_io_executor executor) : executor_(std::move(executor)) {}

  /// An idle connection on which nothing has arrived, or a new one.
  /// @param fresh takes no idle connection; used where a request must not meet a stale connection
  Task<std::unique_ptr<HttpConnection>> Acquire(const tcp::endpoint& address, Duration timeout,
                                                bool fresh = false);
  /// Gives a connection back; one that is not reusable is closed.
  void Release(const tcp::endpoint& address, std::unique_ptr<HttpConnection> connection);

 private:
  static constexpr std::size_t kIdlePerAddress = 64;
  asio::any_io_executor executor_;
  std::map<tcp::endpoint, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

/// Connects, calls and closes.
/// @param body_limit most bytes of the answer's body; a longer one is an error
Task<HttpResponse> CallOnce(tcp::endpoint address, HttpRequest request, Duration timeout,
                            std::uint64_t body_limit = 16ULL * 1024 * 1024);

}  // namespace wagtailslip::net
