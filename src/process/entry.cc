#include "wagtailslip/process/entry.h"

#include <memory>
#include <vector>

#include "admin_api.h"
#include "gateway.h"
#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/net/peer_transport.h"
#include "wagtailslip/process/control_thread.h"
#include "wagtailslip/process/events.h"
#include "wagtailslip/process/io_thread.h"
#include "wagtailslip/process/signal_wait.h"

namespace wagtailslip::process {
namespace {

constexpr Duration kControlTick = std::chrono::milliseconds(20);
constexpr Duration kRefreshPeriod = std::chrono::milliseconds(5);
constexpr Duration kExitPoll = std::chrono::milliseconds(100);
// A process that cannot withdraw itself, because there is no quorum, still stops after this time.
constexpr Duration kWithdrawLimit = std::chrono::seconds(8);
constexpr Duration kDrainLimit = std::chrono::minutes(10);

/// One thread of callers and operators with its own server, connections and handlers.
struct TrafficThread {
  TrafficThread(EntryShared& shared, const net::tcp::endpoint& address, net::HttpLimits limits)
      : gateway(shared, io.context().get_executor()),
        admin(shared),
        server(io.context(), address, limits, [this](net::HttpExchange& exchange) {
          return Gateway::Serves(exchange.path()) ? gateway.Handle(exchange)
                                                  : admin.Handle(exchange);
        }) {}

  IoThread io;
  Gateway gateway;
  AdminApi admin;
  net::HttpServer server;
};

net::Task<void> RefreshLoop(Dispatcher& dispatcher, const PostToEntry& post) {
  while (true) {
    dispatcher.Refresh(MonotonicNow());
    for (auto& message : dispatcher.TakeLimitMessages()) {
      post([message = std::move(message)](EntryControl& control, TimePoint now) {
        control.SendLimits(message, now);
      });
    }
    co_await Sleep(kRefreshPeriod);
  }
}

std::size_t ActiveExchanges(std::vector<std::unique_ptr<TrafficThread>>& threads) {
  std::size_t active = 0;
  for (auto& thread : threads) {
    std::promise<std::size_t> promise;
    auto future = promise.get_future();
    net::asio::post(thread->io.context(), [&] { promise.set_value(thread->server.active()); });
    active += future.get();
  }
  return active;
}

/// Withdraws the process from the address answers, serves until the answers handed out have
/// expired, and finishes the requests in progress.
void StopGracefully(ControlThread<EntryControl>& control,
                    std::vector<std::unique_ptr<TrafficThread>>& threads) {
  LogEvent(Event::kProcessStopping);
  const TimePoint started = MonotonicNow();
  control.Post([](EntryControl& state, TimePoint now) { state.Leave(now); });
  WaitUntil(kExitPoll, [&] {
    return MonotonicNow() - started > kWithdrawLimit ||
           Ask(control, [](EntryControl& state, TimePoint) { return state.Withdrawn(); });
  });
  const TimePoint expired = MonotonicNow() + directory::kAnswerMaxAge + directory::kExitMargin;
  WaitUntil(kExitPoll, [&] { return MonotonicNow() >= expired; });
  for (auto& thread : threads) {
    net::asio::post(thread->io.context(), [&thread] { thread->server.StopAccepting(); });
  }
  WaitUntil(kExitPoll, [&] {
    return ActiveExchanges(threads) == 0 || MonotonicNow() - started > kDrainLimit;
  });
}

}  // namespace

int RunEntry(const EntrySettings& settings) {
  StartLog(settings.id, settings.log_level);
  Metrics metrics;
  const Access access =
      settings.access_file.empty() ? Access::Open() : Access::FromFile(settings.access_file);
  const auto published = std::make_shared<PublishedCell>();
  Dispatcher dispatcher(settings.id, settings.region, settings.failure_domain, published);

  IoThread peer_thread;
  PostToEntry post;
  net::PeerTransport transport(
      peer_thread.context(), net::ParseAddress(settings.peer_listen), net::PeerLimits{},
      [&post](const std::string& bytes) {
        try {
          const auto frame = codec::DecodeCompact<wire::Frame>(bytes);
          post([frame](EntryControl& control, TimePoint now) { control.OnFrame(frame, now); });
        } catch (const codec::CodecError& e) {
          LogEvent(Event::kFrameRejected, {{"error", e.what()}});
        }
      });

  EntryOutlets outlets;
  outlets.send = [&transport](const std::string& address, std::string frame) {
    transport.Send(net::ParseAddress(address), std::move(frame));
  };
  outlets.post_flush = [&post] {
    post([](EntryControl& control, TimePoint now) { control.Flush(now); });
  };
  outlets.limits = [&dispatcher](const traffic::LimitMessage& message) {
    dispatcher.OnLimits(message, MonotonicNow());
  };
  outlets.published = published;

  caf::actor_system_config caf_config;
  caf_config.set("scheduler.max-threads", 1);
  caf::actor_system system(caf_config);
  {
    ControlThread<EntryControl> control(
        system, std::make_unique<EntryControl>(settings, outlets, MonotonicNow()), kControlTick,
        [](const std::exception& e) { ExitOnControlFailure(e); });
    post = [&control](std::function<void(EntryControl&, TimePoint)> task) {
      control.Post(std::move(task));
    };
    OnceKeys once_keys;
    EntryShared shared{settings,
                       access,
                       metrics,
                       dispatcher,
                       *published,
                       once_keys,
                       [&transport] { return transport.counters(); },
                       ControlClient(post)};
    net::HttpLimits limits;
    limits.body_bytes = settings.max_body_bytes;
    limits.connections = settings.max_connections;
    std::vector<std::unique_ptr<TrafficThread>> threads;
    for (std::uint32_t i = 0; i < settings.traffic_threads; ++i) {
      threads.push_back(
          std::make_unique<TrafficThread>(shared, net::ParseAddress(settings.listen), limits));
    }
    net::asio::co_spawn(threads.front()->io.context(), RefreshLoop(dispatcher, post),
                        net::asio::detached);
    control.Start();
    transport.Start();
    peer_thread.Start();
    for (auto& thread : threads) {
      thread->server.Start();
      thread->io.Start();
    }
    LogEvent(Event::kProcessStarted,
             {{"role", "entry"}, {"http", settings.listen}, {"peer", settings.peer_listen}});
    WaitForStopSignal();
    StopGracefully(control, threads);
    for (auto& thread : threads) thread->io.Stop();
    for (auto& thread : threads) thread->io.Join();
    peer_thread.Stop();
    peer_thread.Join();
    control.Stop();
    system.await_all_actors_done();
  }
  LogEvent(Event::kProcessStopped);
  return 0;
}

}  // namespace wagtailslip::process
