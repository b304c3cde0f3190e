#include "load/connections.h"

#include "common/pacing.h"

namespace wagtailslip::tools {
namespace {

/// Well under the 30 s after which an HttpServer closes an idle connection.
constexpr Duration kMaxIdle = std::chrono::seconds(5);

}  // namespace

net::Task<std::unique_ptr<net::HttpConnection>> Connections::Acquire(net::tcp::endpoint address,
                                                                     Duration timeout) {
  auto& idle = idle_[address];
  if (!idle.empty() && idle.back().since + kMaxIdle < Now()) idle.clear();
  if (!idle.empty()) {
    auto connection = std::move(idle.back().connection);
    idle.pop_back();
    co_return connection;
  }
  auto connection = std::make_unique<net::HttpConnection>(co_await net::asio::this_coro::executor);
  co_await connection->Connect(address, timeout);
  co_return connection;
}

void Connections::Release(const net::tcp::endpoint& address,
                          std::unique_ptr<net::HttpConnection> connection) {
  if (fresh_ || !connection->reusable()) return;
  idle_[address].push_back(Idle{std::move(connection), Now()});
}

}  // namespace wagtailslip::tools
