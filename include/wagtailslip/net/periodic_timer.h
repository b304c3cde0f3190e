#pragma once

#include <functional>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"

namespace wagtailslip::net {

/// Calls a function at fixed pauses on the context's thread. The first call comes after one period.
class PeriodicTimer {
 public:
  PeriodicTimer(asio::io_context& context, Duration period, std::function<void()> on_tick);

  void Start();
  void Stop() { timer_.cancel(); }

 private:
  asio::steady_timer timer_;
  Duration period_;
  std::function<void()> on_tick_;
};

}  // namespace wagtailslip::net
