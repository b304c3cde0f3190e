#include "wagtailslip/sidecar/sidecar.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "sidecar_node.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::sidecar {
namespace {

constexpr Duration kStopCheckPeriod = std::chrono::milliseconds(50);

}  // namespace

using process::Event;
using process::LogEvent;

int RunSidecar(const deployment::NodeSettings& settings) {
  net::asio::io_context context(1);
  SidecarNode node(context, settings, process::UtcNow().time_since_epoch().count());
  net::asio::signal_set signals(context, SIGTERM, SIGINT);
  net::PeriodicTimer stop_check_timer(context, kStopCheckPeriod, [&] {
    if (!node.Finished(process::MonotonicNow())) return;
    node.Stop();
    context.stop();
  });
  signals.async_wait([&](net::error_code ec, int) {
    if (ec) return;
    LogEvent(Event::kProcessStopping, {{"node", settings.name}});
    node.BeginStop(process::MonotonicNow());
    stop_check_timer.Start();
  });
  node.Start();
  LogEvent(Event::kProcessStarted, {{"node", settings.name},
                                    {"kind", "sidecar"},
                                    {"engine", settings.engine_address},
                                    {"service", settings.engine_service}});
  context.run();
  LogEvent(Event::kProcessStopped, {{"node", settings.name}});
  return 0;
}

}  // namespace wagtailslip::sidecar
