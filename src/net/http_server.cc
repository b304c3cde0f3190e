#include "wagtailslip/net/http_server.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <set>

#include "wagtailslip/net/address.h"

namespace wagtailslip::net {
namespace {

// One read beside the longest head. A larger buffer would only collect a chunk size without end.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

NetError ToNetError(const char* action, const error_code& ec) {
  return NetError(std::string(action) + ": " + ec.message());
}

std::string ErrorBody(std::string_view code, std::string_view message) {
  return R"({"error":{"code":")" + std::string(code) + R"(","message":")" + std::string(message) +
         R"(","field":"","request_id":""}})";
}

}  // namespace

struct HttpExchange::Watch {
  tcp::socket* socket = nullptr;
  std::function<void()> on_gone;
  /// The exchange has ended, and perhaps the socket with it.
  bool ended = false;
};

HttpExchange::~HttpExchange() {
  if (watch_) watch_->ended = true;
}

void HttpExchange::WatchCaller(std::function<void()> on_gone) {
  watch_ = std::make_shared<Watch>();
  watch_->socket = &stream_.socket();
  watch_->on_gone = std::move(on_gone);
  stream_.socket().async_wait(tcp::socket::wait_read, [watch = watch_](error_code ec) {
    if (watch->ended || ec == asio::error::operation_aborted) return;
    char byte = 0;
    const auto n = ::recv(watch->socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))) return;
    watch->on_gone();
  });
}

HttpExchange::HttpExchange(beast::tcp_stream& stream, HttpRequest request, Duration write_timeout)
    : stream_(stream),
      request_(std::move(request)),
      write_timeout_(write_timeout),
      keep_alive_(request_.keep_alive()) {}

void HttpExchange::Abort() {
  keep_alive_ = false;
  stream_.cancel();
}

std::string_view HttpExchange::path() const {
  const auto target = request_.target();
  const std::string_view text(target.data(), target.size());
  return text.substr(0, text.find('?'));
}

std::string HttpExchange::Query(std::string_view name) const {
  const auto target = request_.target();
  std::string_view text(target.data(), target.size());
  const auto mark = text.find('?');
  if (mark == std::string_view::npos) return {};
  text.remove_prefix(mark + 1);
  while (!text.empty()) {
    const auto end = text.find('&');
    const std::string_view pair = text.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return {};
}

std::string_view HttpExchange::Header(std::string_view name) const {
  const auto it = request_.find(boost::string_view(name.data(), name.size()));
  if (it == request_.end()) return {};
  return {it->value().data(), it->value().size()};
}

Task<void> HttpExchange::Respond(unsigned status, std::string body, HttpHeaders headers,
                                 std::string_view content_type) {
  http::response<http::string_body> response;
  response.result(status);
  response.version(11);
  response.set(http::field::content_type,
               boost::string_view(content_type.data(), content_type.size()));
  for (const auto& [name, value] : headers) response.set(name, value);
  response.body() = std::move(body);
  response.keep_alive(keep_alive_);
  response.prepare_payload();
  responded_ = true;
  stream_.expires_after(write_timeout_);
  error_code ec;
  co_await http::async_write(stream_, response, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) throw ToNetError("answer could not be sent", ec);
}

std::string HttpExchange::HeaderText(unsigned status, const std::string& header_lines) const {
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason.data(), reason.size());
  text += "\r\n";
  text += header_lines;
  if (!keep_alive_) text += "Connection: close\r\n";
  return text;
}

Task<void> HttpExchange::WriteText(std::string text) {
  stream_.expires_after(write_timeout_);
  error_code ec;
  co_await asio::async_write(stream_, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) throw ToNetError("answer could not be sent", ec);
}

Task<void> HttpExchange::RespondLines(unsigned status, std::string header_lines, std::string body) {
  responded_ = true;
  std::string text = HeaderText(status, header_lines);
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  co_await WriteText(std::move(text));
}

Task<void> HttpExchange::StartStreamLines(unsigned status, std::string header_lines,
                                          std::string first) {
  responded_ = true;
  stream_open_ = true;
  std::string text = HeaderText(status, header_lines);
  text += "Transfer-Encoding: chunked\r\n\r\n";
  if (!first.empty()) {
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), first.size(), 16).ptr;
    text.append(size.data(), end);
    text += "\r\n" + first + "\r\n";
  }
  co_await WriteText(std::move(text));
}

Task<void> HttpExchange::StartStream(unsigned status, HttpHeaders headers,
                                     std::string_view content_type) {
  http::response<http::empty_body> response;
  response.result(status);
  response.version(11);
  response.set(http::field::content_type,
               boost::string_view(content_type.data(), content_type.size()));
  for (const auto& [name, value] : headers) response.set(name, value);
  response.keep_alive(keep_alive_);
  response.chunked(true);
  responded_ = true;
  stream_open_ = true;
  http::response_serializer<http::empty_body> serializer{response};
  stream_.expires_after(write_timeout_);
  error_code ec;
  co_await http::async_write_header(stream_, serializer,
                                    asio::redirect_error(asio::use_awaitable, ec));
  if (ec) throw ToNetError("answer could not be started", ec);
}

Task<void> HttpExchange::WriteChunk(std::string_view data) {
  // An empty chunk would end the stream.
  if (data.empty()) co_return;
  stream_.expires_after(write_timeout_);
  error_code ec;
  co_await asio::async_write(stream_, http::make_chunk(asio::buffer(data.data(), data.size())),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) throw ToNetError("answer could not be continued", ec);
}

Task<void> HttpExchange::EndStream() {
  stream_.expires_after(write_timeout_);
  error_code ec;
  co_await asio::async_write(stream_, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) throw ToNetError("answer could not be ended", ec);
  stream_open_ = false;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context& context, HttpLimits limits, HttpHandler handler)
      : context(context), acceptor(context), limits(limits), handler(std::move(handler)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  HttpLimits limits;
  HttpHandler handler;
  std::set<beast::tcp_stream*> idle;
  std::size_t connections = 0;
  std::size_t active = 0;
  bool stopping = false;

  Task<void> Accept();
  Task<void> Serve(tcp::socket socket);
  Task<bool> ServeOne(beast::tcp_stream& stream, beast::flat_buffer& buffer);
  Task<void> Handle(HttpExchange& exchange);
  Task<void> Reject(beast::tcp_stream& stream, unsigned status, std::string_view code,
                    std::string_view message);
};

Task<void> HttpServer::State::Accept() {
  const auto self = shared_from_this();
  while (!stopping) {
    error_code ec;
    tcp::socket socket =
        co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (stopping) break;
    if (ec) {
      // Accept fails while the process is out of descriptors; a pause lets connections close.
      asio::steady_timer timer(context, std::chrono::milliseconds(10));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    socket.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(context, Serve(std::move(socket)), asio::detached);
  }
}

Task<void> HttpServer::State::Serve(tcp::socket socket) {
  const auto self = shared_from_this();
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer(limits.header_bytes + kReadBytes);
  ++connections;
  try {
    if (connections > limits.connections) {
      co_await Reject(stream, 503, "too_many_connections", "the connection limit is reached");
    } else {
      while (co_await ServeOne(stream, buffer)) {
      }
    }
  } catch (const std::exception&) {
    // The connection failed, so no answer can be sent.
  }
  idle.erase(&stream);
  --connections;
  error_code ec;
  stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

Task<bool> HttpServer::State::ServeOne(beast::tcp_stream& stream, beast::flat_buffer& buffer) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  stream.expires_after(limits.idle_timeout);
  if (buffer.size() == 0) idle.insert(&stream);
  if (stopping) co_return false;
  error_code ec;
  // Once the first byte is here the connection is no longer idle and a stop waits for its answer.
  co_await http::async_read_some(stream, buffer, parser,
                                 asio::redirect_error(asio::use_awaitable, ec));
  idle.erase(&stream);
  stream.expires_after(limits.read_timeout);
  const auto read_until = std::chrono::steady_clock::now() + limits.read_timeout;
  while (!ec && !parser.is_done()) {
    // The stream's own timeout does not end reads that find bytes at once.
    if (std::chrono::steady_clock::now() >= read_until) co_return false;
    co_await http::async_read_some(stream, buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, ec));
  }
  if (ec == http::error::body_limit) {
    co_await Reject(stream, 413, "body_too_large",
                    "the body is over " + std::to_string(limits.body_bytes) + " bytes");
    co_return false;
  }
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    co_await Reject(stream, 431, "header_too_large",
                    "the header is over " + std::to_string(limits.header_bytes) + " bytes");
    co_return false;
  }
  if (ec == http::error::end_of_stream || ec == asio::error::connection_reset ||
      ec == asio::error::operation_aborted || ec == beast::error::timeout) {
    co_return false;
  }
  if (ec) {
    co_await Reject(stream, 400, "malformed_request", ec.message());
    co_return false;
  }
  HttpExchange exchange(stream, parser.release(), limits.write_timeout);
  if (stopping) exchange.CloseAfter();
  ++active;
  try {
    co_await Handle(exchange);
  } catch (const std::exception&) {
    --active;
    throw;
  }
  --active;
  co_return exchange.keep_alive() && !exchange.stream_open() && !stopping;
}

Task<void> HttpServer::State::Handle(HttpExchange& exchange) {
  try {
    co_await handler(exchange);
  } catch (const NetError&) {
    throw;
  } catch (const std::exception&) {
    // The text may name internal state, so the caller gets a general answer below.
  }
  if (!exchange.responded()) {
    const std::string body = ErrorBody("internal", "the request could not be handled");
    co_await exchange.Respond(500, body);
  }
}

Task<void> HttpServer::State::Reject(beast::tcp_stream& stream, unsigned status,
                                     std::string_view code, std::string_view message) {
  HttpExchange exchange(stream, HttpRequest{}, limits.write_timeout);
  exchange.CloseAfter();
  co_await exchange.Respond(status, ErrorBody(code, message));
}

HttpServer::HttpServer(asio::io_context& context, const tcp::endpoint& address, HttpLimits limits,
                       HttpHandler handler)
    : state_(std::make_shared<State>(context, limits, std::move(handler))) {
  error_code ec;
  auto& acceptor = state_->acceptor;
  acceptor.open(address.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.set_option(reuse_port(true), ec);
  if (!ec) acceptor.bind(address, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    throw NetError("cannot listen on " + FormatAddress(address) + ": " + ec.message());
  }
}

HttpServer::~HttpServer() { StopAccepting(); }

void HttpServer::SetLimits(const HttpLimits& limits) { state_->limits = limits; }

void HttpServer::Start() { asio::co_spawn(state_->context, state_->Accept(), asio::detached); }

void HttpServer::StopAccepting() {
  if (state_->stopping) return;
  state_->stopping = true;
  error_code ec;
  state_->acceptor.close(ec);
  for (auto* it : std::set<beast::tcp_stream*>(state_->idle)) it->cancel();
}

std::size_t HttpServer::active() const { return state_->active; }

tcp::endpoint HttpServer::address() const {
  error_code ec;
  return state_->acceptor.local_endpoint(ec);
}

}  // namespace wagtailslip::net
