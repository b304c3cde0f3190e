#include "wagtailslip/control/control.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "control_api.h"
#include "control_node.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {
namespace {

using process::Event;
using process::LogEvent;
using process::MonotonicNow;

// Delay between the stop signal and the shutdown. It lets calls in progress finish and gives linked
// processes time to learn that this one is leaving.
constexpr Duration kStopDelay = std::chrono::milliseconds(1200);

}  // namespace

int RunControl(const deployment::NodeSettings& settings) {
  net::asio::io_context context(1);
  const auto incarnation = process::UtcNow().time_since_epoch().count();
  ControlNode node(context, settings, incarnation, MonotonicNow());
  ControlApi api(context, node, settings);
  net::asio::signal_set signals(context, SIGTERM, SIGINT);
  net::asio::steady_timer stop(context);
  signals.async_wait([&](net::error_code ec, int) {
    if (ec) return;
    LogEvent(Event::kProcessStopping, {{"node", settings.name}});
    node.BeginStop(MonotonicNow());
    stop.expires_after(kStopDelay);
    stop.async_wait([&](net::error_code) {
      api.StopAccepting();
      node.Stop();
      context.stop();
    });
  });
  node.Start();
  api.Start();
  LogEvent(Event::kProcessStarted, {{"node", settings.name},
                                    {"kind", "control"},
                                    {"identity", node.log().replica().id().Text()},
                                    {"first_start", settings.first_start}});
  context.run();
  LogEvent(Event::kProcessStopped, {{"node", settings.name}});
  return 0;
}

}  // namespace wagtailslip::control
