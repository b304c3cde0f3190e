#include "engine/slot_queue.h"

namespace wagtailslip::tools {

net::Task<SlotQueue::Lease> SlotQueue::Acquire(std::uint32_t priority) {
  if (running_ < slots_ && waiters_.empty()) {
    ++running_;
    co_return Lease(this);
  }
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor,
                                net::asio::steady_timer::time_point::max());
  bool granted = false;
  waiters_.insert(Waiter{priority, next_sequence_++, &timer, &granted});
  while (!granted) {
    net::error_code ec;
    co_await timer.async_wait(net::asio::redirect_error(net::asio::use_awaitable, ec));
  }
  co_return Lease(this);
}

void SlotQueue::Release() {
  if (waiters_.empty()) {
    --running_;
    return;
  }
  // The slot goes straight to the first waiter, so that no later arrival can take it.
  const Waiter next = *waiters_.begin();
  waiters_.erase(waiters_.begin());
  *next.granted = true;
  next.timer->cancel();
}

}  // namespace wagtailslip::tools
