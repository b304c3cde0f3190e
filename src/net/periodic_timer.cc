#include "wagtailslip/net/periodic_timer.h"

#include <utility>

namespace wagtailslip::net {

PeriodicTimer::PeriodicTimer(asio::io_context& context, Duration period,
                             std::function<void()> on_tick)
    : timer_(context), period_(period), on_tick_(std::move(on_tick)) {}

void PeriodicTimer::Start() {
  timer_.expires_after(period_);
  timer_.async_wait([this](error_code ec) {
    if (ec) return;
    on_tick_();
    Start();
  });
}

}  // namespace wagtailslip::net
