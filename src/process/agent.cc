#include "wagtailslip/process/agent.h"

#include "agent_traffic.h"
#include "wagtailslip/process/control_thread.h"
#include "wagtailslip/process/events.h"
#include "wagtailslip/process/signal_wait.h"

namespace wagtailslip::process {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr Duration kExitPoll = std::chrono::milliseconds(100);

}  // namespace

int RunAgent(const AgentSettings& given) {
  AgentSettings settings = given;
  settings.endpoint.incarnation =
      static_cast<std::uint64_t>(UtcNow().time_since_epoch() / std::chrono::milliseconds(1));
  StartLog(settings.endpoint.endpoint_id, settings.log_level);
  Metrics metrics;
  AgentTraffic traffic(settings, metrics);
  settings.listen = traffic.http_address();
  settings.endpoint.agent_address = settings.listen;

  caf::actor_system_config caf_config;
  caf_config.set("scheduler.max-threads", 1);
  caf::actor_system system(caf_config);
  {
    ControlThread<AgentControl> control(
        system, std::make_unique<AgentControl>(settings, traffic.MakeEffects()), kTickPeriod,
        [](const std::exception& e) { ExitOnControlFailure(e); });
    traffic.Start([&control](std::function<void(AgentControl&, TimePoint)> task) {
      control.Post(std::move(task));
    });
    control.Start();
    LogEvent(Event::kProcessStarted, {{"role", "agent"},
                                      {"http", traffic.http_address()},
                                      {"peer", traffic.peer_address()},
                                      {"engine", settings.endpoint.address}});
    WaitForStopSignal();
    LogEvent(Event::kProcessStopping);
    control.Post([](AgentControl& state, TimePoint now) { state.Leave(now); });
    WaitUntil(kExitPoll, [&control] {
      return Ask(control, [](AgentControl& state, TimePoint now) { return state.MayExit(now); });
    });
    traffic.StopAccepting();
    control.Stop();
    traffic.Stop();
  }
  system.await_all_actors_done();
  LogEvent(Event::kProcessStopped);
  return 0;
}

}  // namespace wagtailslip::process
