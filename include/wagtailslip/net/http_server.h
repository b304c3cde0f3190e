#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/error.h"

namespace wagtailslip::net {

namespace beast = boost::beast;
namespace http = beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Limits that a server holds each connection to.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
  std::size_t connections = 4096;
  /// Longest pause between two requests of a connection, and longest time for a request.
  Duration idle_timeout = std::chrono::seconds(30);
  Duration read_timeout = std::chrono::seconds(30);
  Duration write_timeout = std::chrono::seconds(30);
};

/// One request and its answer.
class HttpExchange {
 public:
  HttpExchange(beast::tcp_stream& stream, HttpRequest request, Duration write_timeout);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpRequest& request() const { return request_; }
  /// Path without the query.
  std::string_view path() const;
  /// Value of a query parameter without percent decoding; empty if it is absent.
  std::string Query(std::string_view name) const;
  /// Value of a header field; empty if it is absent.
  std::string_view Header(std::string_view name) const;

  /// Sends a whole answer.
  /// @throws NetError if the connection fails
  Task<void> Respond(unsigned status, std::string body, HttpHeaders headers = {},
                     std::string_view content_type = "application/json");
  /// Sends a whole answer with ready header lines.
  /// @param header_lines fields without the length and the connection, each ended by CRLF
  Task<void> RespondLines(unsigned status, std::string header_lines, std::string body);
  /// Starts an answer in chunked encoding with ready header lines and its first piece.
  Task<void> StartStreamLines(unsigned status, std::string header_lines, std::string first);
  /// Starts an answer in chunked encoding.
  Task<void> StartStream(unsigned status, HttpHeaders headers, std::string_view content_type);
  /// Sends one piece of a started answer.
  Task<void> WriteChunk(std::string_view data);
  /// Ends a started answer.
  Task<void> EndStream();

  bool responded() const { return responded_; }
  bool stream_open() const { return stream_open_; }
  bool keep_alive() const { return keep_alive_; }
  /// Ends a write that waits for the caller to read; it fails, and the connection is closed.
  void Abort();
  /// Closes the connection after this answer.
  void CloseAfter() { keep_alive_ = false; }
  /// Calls `on_gone` once if the caller closes the connection before this exchange ends. A caller
  /// that sends its next request early is no longer watched.
  void WatchCaller(std::function<void()> on_gone);

 private:
  struct Watch;
  std::string HeaderText(unsigned status, const std::string& header_lines) const;
  Task<void> WriteText(std::string text);

  beast::tcp_stream& stream_;
  HttpRequest request_;
  Duration write_timeout_;
  bool responded_ = false;
  bool stream_open_ = false;
  bool keep_alive_;
  std::shared_ptr<Watch> watch_;
};

/// Answers one request. An exchange that the handler leaves unanswered gets status 500; an open
/// stream is cut, so that the caller sees an incomplete answer.
using HttpHandler = std::function<Task<void>(HttpExchange&)>;

/// HTTP/1.1 server on one io_context that one thread runs. Several servers may share a port.
class HttpServer {
 public:
  /// @throws NetError if the address cannot be bound
  HttpServer(asio::io_context& context, const tcp::endpoint& address, HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  void Start();
  /// Limits of connections and requests that begin from now on.
  void SetLimits(const HttpLimits& limits);
  /// Closes the listening socket and idle connections; exchanges in progress go on.
  void StopAccepting();
  /// Number of exchanges in progress.
  std::size_t active() const;
  tcp::endpoint address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailslip::net
