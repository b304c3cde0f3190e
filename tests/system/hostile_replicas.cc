#include "hostile_replicas.h"

#include <nlohmann/json.hpp>

#include "wagtailslip/net/address.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::system_test {
namespace {

namespace asio = net::asio;
using net::error_code;
using net::tcp;

constexpr Duration kAnnouncementTimeout = std::chrono::seconds(5);
constexpr Duration kAnnouncementRetryInterval = std::chrono::milliseconds(50);
constexpr int kSlots = 16;
// More than any receiver buffers.
constexpr std::size_t kMaxRepeatedBytes = std::size_t{64} * 1024 * 1024;

}  // namespace

HostileReplicas::HostileReplicas(std::vector<ReplicaIdentity> replicas, std::string control,
                                 ScriptSource source)
    : replicas_(std::move(replicas)),
      control_(std::move(control)),
      source_(std::move(source)),
      context_(1) {
  for (const auto& it : replicas_) {
    auto acceptor = std::make_shared<tcp::acceptor>(context_, net::ParseAddress(it.address));
    asio::co_spawn(context_, Accept(std::move(acceptor), it), asio::detached);
  }
  asio::co_spawn(context_, Announce(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

HostileReplicas::~HostileReplicas() {
  context_.stop();
  thread_.join();
}

std::vector<Arrival> HostileReplicas::Arrivals(const std::string& attempt_id) const {
  const std::lock_guard lock(mutex_);
  const auto it = arrivals_.find(attempt_id);
  return it == arrivals_.end() ? std::vector<Arrival>() : it->second;
}

bool HostileReplicas::announced() const {
  const std::lock_guard lock(mutex_);
  return announced_;
}

Script HostileReplicas::Record(const net::HttpRequest& request, const ReplicaIdentity& replica) {
  const auto field = [&](const char* name) { return std::string(request[name]); };
  Arrival arrival;
  arrival.endpoint = replica.id;
  arrival.attempt_id = field("Attempt-Id");
  const std::string last_event = field("Last-Event-Id");
  if (!last_event.empty()) arrival.last_event_id = std::stoi(last_event);
  const std::lock_guard lock(mutex_);
  auto& arrivals = arrivals_[arrival.attempt_id];
  arrival.signature = replica.id + "." + std::to_string(arrivals.size());
  Script script = source_(arrival, arrivals.size());
  arrival.runs = script.runs;
  arrival.status = script.status;
  arrivals.push_back(arrival);
  return script;
}

net::Task<void> HostileReplicas::Accept(std::shared_ptr<tcp::acceptor> acceptor,
                                        const ReplicaIdentity& replica) {
  while (true) {
    tcp::socket socket = co_await acceptor->async_accept(asio::use_awaitable);
    asio::co_spawn(context_, Serve(std::move(socket), replica), asio::detached);
  }
}

net::Task<void> HostileReplicas::Serve(tcp::socket socket, const ReplicaIdentity& replica) {
  error_code ec;
  net::beast::flat_buffer buffer;
  net::HttpRequest request;
  co_await net::http::async_read(socket, buffer, request,
                                 asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return;
  const Script script = Record(request, replica);
  asio::steady_timer timer(context_);
  for (const auto& it : script.steps) {
    if (it.pause > Duration::zero()) {
      timer.expires_after(it.pause);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_await asio::async_write(socket, asio::buffer(it.bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    // The receiver has closed the connection.
    if (ec) co_return;
  }
  for (std::uint64_t n = 0; script.endless && !ec; ++n) {
    if (script.endless_pause > Duration::zero()) {
      timer.expires_after(script.endless_pause);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const std::string bytes = script.endless(n);
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  switch (script.ending) {
    case Ending::kRepeatLastStep: {
      const std::string& bytes = script.steps.back().bytes;
      for (std::size_t sent = 0; !ec && sent < kMaxRepeatedBytes; sent += bytes.size()) {
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ec));
      }
      break;
    }
    case Ending::kKeep: {
      char byte = 0;
      co_await socket.async_read_some(asio::buffer(&byte, 1),
                                      asio::redirect_error(asio::use_awaitable, ec));
      break;
    }
    case Ending::kReset:
      // Closing without lingering sends a reset. The destructor would linger.
      socket.set_option(tcp::socket::linger(true, 0), ec);
      socket.close(ec);
      break;
    case Ending::kClose:
      break;
  }
}

net::Task<void> HostileReplicas::Announce() {
  const auto started_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
  asio::steady_timer timer(context_);
  for (const auto& it : replicas_) {
    const nlohmann::json announcement{
        {"backend", it.service}, {"address", it.address}, {"zone", "za"},
        {"version", "v1"},       {"batch-slots", kSlots}, {"state", "ready"},
        {"sequence", 1},         {"born", started_ms},    {"warmup-remaining-ms", 0}};
    const std::string path = "/replicas/" + it.id + "/heartbeat";
    bool acknowledged = false;
    while (!acknowledged) {
      auto request = net::MakeRequest(net::http::verb::post, path, announcement.dump());
      try {
        const auto response = co_await net::CallOnce(net::ParseAddress(control_),
                                                     std::move(request), kAnnouncementTimeout);
        acknowledged = response.status == 200;
      } catch (const net::NetError&) {
        // Announced once more below.
        acknowledged = false;
      }
      if (acknowledged) continue;
      timer.expires_after(kAnnouncementRetryInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
  const std::lock_guard lock(mutex_);
  announced_ = true;
}

}  // namespace wagtailslip::system_test
