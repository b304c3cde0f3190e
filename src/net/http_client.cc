#include "wagtailslip/net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "wagtailslip/net/address.h"

namespace wagtailslip::net {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr unsigned kMinInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMinFinalStatus = 200;
// Clients must treat a greater status as an invalid answer (RFC 9110, section 15).
constexpr unsigned kMaxStatus = 599;
// Bounds the work for a server that sends interim answers without end.
constexpr int kMaxInterimAnswers = 8;

[[noreturn]] void RaiseCallError(const char* action, const error_code& ec) {
  const std::string message = std::string(action) + ": " + ec.message();
  if (ec == beast::error::timeout) throw TimeoutError(message);
  throw NetError(message);
}

/// Whether a text contains the beginning of a status line.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kDigits = 3;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  for (auto at = text.find(kVersion); at != std::string_view::npos; at = text.find(kVersion, at)) {
    at += kVersion.size();
    const std::string_view rest = text.substr(at);
    if (rest.size() < 2 + kDigits || !is_digit(rest[0]) || rest[1] != ' ') continue;
    const std::string_view status = rest.substr(2, kDigits);
    if (std::all_of(status.begin(), status.end(), is_digit)) return true;
  }
  return false;
}

HttpResponse ToResponse(const http::response_header<>& header) {
  HttpResponse response;
  response.status = header.result_int();
  for (const auto& field : header) {
    const std::string_view value(field.value().data(), field.value().size());
    // A server that breaks off in a field and then writes another answer; which of the fields
    // belong to which answer cannot be told.
    if (ContainsStatusLine(value)) throw NetError("answer begins within the head of another one");
    auto [it, added] =
        response.headers.try_emplace(std::string(field.name_string()), std::string(value));
    // Fields of one name form a list (RFC 9110, section 5.3). Keeping one of them would hide that
    // an answer names two values where one is due.
    if (!added) it->second.append(", ").append(value);
  }
  return response;
}

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

HttpRequest MakeRequest(http::verb method, std::string_view target, std::string body,
                        const HttpHeaders& headers) {
  HttpRequest request(method, boost::string_view(target.data(), target.size()), 11);
  for (const auto& [name, value] : headers) request.set(name, value);
  if (!body.empty() && request[http::field::content_type].empty()) {
    request.set(http::field::content_type, "application/json");
  }
  request.body() = std::move(body);
  return request;
}

HttpConnection::HttpConnection(asio::any_io_executor executor) : stream_(std::move(executor)) {}

Task<void> HttpConnection::Connect(const tcp::endpoint& address, Duration timeout) {
  stream_.expires_after(timeout);
  error_code ec;
  co_await stream_.async_connect(address, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) throw ConnectError("cannot connect to " + FormatAddress(address) + ": " + ec.message());
  stream_.socket().set_option(tcp::no_delay(true), ec);
  reusable_ = true;
}

Task<HttpResponse> HttpConnection::Start(HttpRequest request, Duration timeout) {
  reusable_ = false;
  pending_error_ = {};
  request.prepare_payload();
  if (request[http::field::host].empty()) request.set(http::field::host, "wagtailslip");
  stream_.expires_after(timeout);
  error_code ec;
  co_await http::async_write(stream_, request, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) RaiseCallError("request could not be sent", ec);
  // Interim answers (RFC 9110, section 15.2) precede the final one and have no body.
  for (int i = 0; i <= kMaxInterimAnswers; ++i) {
    parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    parser_->body_limit(body_limit_);
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, ec));
    if (ec) RaiseCallError("answer was not received", ec);
    const unsigned status = parser_->get().result_int();
    if (status > kMaxStatus) throw NetError("the status of the answer is out of range");
    if (status >= kMinFinalStatus) co_return ToResponse(parser_->get().base());
    // No request asks for another protocol.
    if (status < kMinInterimStatus || status == kSwitchingProtocols) break;
  }
  throw NetError("the server sent no final answer");
}

Task<std::optional<std::string>> HttpConnection::ReadSome(Duration timeout) {
  if (pending_error_) RaiseCallError("answer ended early", pending_error_);
  if (parser_->is_done()) {
    EndAnswer();
    co_return std::nullopt;
  }
  // Left uninitialised: zeroing the buffer for each token took half of a stream reader's time.
  const auto scratch = std::make_unique_for_overwrite<char[]>(kReadBytes);
  auto& body = parser_->get().body();
  body.data = scratch.get();
  body.size = kReadBytes;
  body.more = true;
  stream_.expires_after(timeout);
  error_code ec;
  co_await http::async_read_some(stream_, buffer_, *parser_,
                                 asio::redirect_error(asio::use_awaitable, ec));
  if (ec == http::error::need_buffer) ec = {};
  if (ec) RaiseCallError("answer ended early", ec);
  ParseReceived();
  std::string piece(scratch.get(), kReadBytes - body.size);
  if (piece.empty() && parser_->is_done()) {
    EndAnswer();
    co_return std::nullopt;
  }
  co_return piece;
}

void HttpConnection::ParseReceived() {
  // A read of its own for each small chunk would cost far more than the chunk.
  const auto& body = parser_->get().body();
  while (buffer_.size() > 0 && body.size > 0 && !parser_->is_done()) {
    error_code ec;
    const auto n = parser_->put(buffer_.data(), ec);
    buffer_.consume(n);
    if (ec == http::error::need_more || ec == http::error::need_buffer) return;
    if (ec) {
      pending_error_ = ec;
      return;
    }
    if (n == 0) return;
  }
}

Task<HttpResponse> HttpConnection::Call(HttpRequest request, Duration timeout) {
  co_return co_await Call(std::move(request), timeout, timeout);
}

Task<HttpResponse> HttpConnection::Call(HttpRequest request, Duration idle, Duration timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  HttpResponse response = co_await Start(std::move(request), std::min(idle, timeout));
  while (true) {
    // A server that sends a byte now and then must not prolong the call.
    const Duration left = end - std::chrono::steady_clock::now();
    if (left <= Duration::zero()) throw TimeoutError("the answer was not whole in time");
    auto piece = co_await ReadSome(std::min(idle, left));
    if (!piece) co_return response;
    response.body += *piece;
  }
}

void HttpConnection::EndAnswer() {
  // Bytes after a complete answer belong to no request. The next call would take them for its
  // answer.
  reusable_ = parser_->get().keep_alive() && buffer_.size() == 0;
}

bool HttpConnection::Quiet() {
  char byte = 0;
  const auto n = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Close() {
  error_code ec;
  stream_.socket().close(ec);
  reusable_ = false;
}

Task<std::unique_ptr<HttpConnection>> HttpPool::Acquire(const tcp::endpoint& address,
                                                        Duration timeout, bool fresh) {
  auto& connections = idle_[address];
  while (!fresh && !connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    // Drops connections that the server has closed, or has written an extra answer to.
    if (connection->Quiet()) co_return connection;
  }
  auto connection = std::make_unique<HttpConnection>(executor_);
  co_await connection->Connect(address, timeout);
  co_return connection;
}

void HttpPool::Release(const tcp::endpoint& address, std::unique_ptr<HttpConnection> connection) {
  auto& connections = idle_[address];
  if (connection->reusable() && connections.size() < kIdlePerAddress) {
    connections.push_back(std::move(connection));
  }
}

Task<HttpResponse> CallOnce(tcp::endpoint address, HttpRequest request, Duration timeout,
                            std::uint64_t body_limit) {
  HttpConnection connection(co_await asio::this_coro::executor);
  connection.set_body_limit(body_limit);
  co_await connection.Connect(address, timeout);
  co_return co_await connection.Call(std::move(request), timeout);
}

}  // namespace wagtailslip::net
