#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"

namespace wagtailslip::process {

/// A value that another thread delivers to one waiting coroutine.
template <typename T>
class AsyncResult : public std::enable_shared_from_this<AsyncResult<T>> {
 public:
  explicit AsyncResult(const net::asio::any_io_executor& executor) : timer_(executor) {}

  /// Delivers the value; later deliveries are ignored. Safe from any thread.
  void Set(T value) {
    net::asio::post(timer_.get_executor(),
                    [self = this->shared_from_this(), value = std::move(value)]() mutable {
                      if (self->value_) return;
                      self->value_ = std::move(value);
                      self->timer_.cancel();
                    });
  }

  /// Waits for the value; nothing after the timeout. Called on the executor's thread.
  net::Task<std::optional<T>> Wait(Duration timeout) {
    if (!value_) {
      timer_.expires_after(timeout);
      net::error_code ec;
      co_await timer_.async_wait(net::asio::redirect_error(net::asio::use_awaitable, ec));
    }
    co_return std::move(value_);
  }

 private:
  net::asio::steady_timer timer_;
  std::optional<T> value_;
};

/// Pauses a coroutine.
inline net::Task<void> Sleep(Duration duration) {
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor, duration);
  net::error_code ec;
  co_await timer.async_wait(net::asio::redirect_error(net::asio::use_awaitable, ec));
}

}  // namespace wagtailslip::process
