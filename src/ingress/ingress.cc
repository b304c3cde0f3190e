#include "wagtailslip/ingress/ingress.h"

#include <spdlog/fmt/fmt.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "exchange.h"
#include "ingress_node.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"
#include "wagtailslip/serving/stop_plan.h"

namespace wagtailslip::ingress {
namespace {

using net::Task;
using process::Event;
using process::LogEvent;

constexpr Duration kStopCheckPeriod = std::chrono::milliseconds(50);
// Added to the configured idle timeout. Callers reuse connections that were idle for up to four
// fifths of the limit; the remaining time avoids closing a connection while a request is on its
// way.
constexpr Duration kIdleTimeoutMargin = std::chrono::seconds(2);

net::HttpLimits CallerLimits(const serving::CallerLimits& limits) {
  net::HttpLimits result;
  result.header_bytes = limits.header_bytes;
  result.body_bytes = limits.body_bytes;
  result.read_timeout = limits.header_timeout;
  result.idle_timeout = limits.idle_timeout + kIdleTimeoutMargin;
  return result;
}

/// HTTP servers of an ingress process, for callers and for operators.
class IngressServer {
 public:
  IngressServer(net::asio::io_context& context, const deployment::NodeSettings& settings,
                IngressNode& node)
      : context_(context), settings_(settings), node_(node), stop_timer_(context) {
    caller_server_ = std::make_unique<net::HttpServer>(
        context, net::ParseAddress(settings.caller_address), CallerLimits({}),
        [this](net::HttpExchange& exchange) { return Serve(exchange); });
    for (const auto& address : {settings.readiness_address, settings.metrics_address()}) {
      if (address.empty()) continue;
      operator_servers_.push_back(std::make_unique<net::HttpServer>(
          context, net::ParseAddress(address), net::HttpLimits{},
          [this](net::HttpExchange& exchange) { return ServeOperator(exchange); }));
    }
  }

  void Start() {
    caller_server_->Start();
    for (auto& it : operator_servers_) it->Start();
  }

  /// Starts a graceful shutdown: has the control processes stop directing callers here, stops
  /// accepting connections, waits for the requests in progress, and ends the process.
  void BeginStop(TimePoint now) {
    stop_at_ = now;
    node_.StopTakingCallers(now);
    CheckStop();
  }

 private:
  Task<void> Serve(net::HttpExchange& exchange) {
    if (node_.routes() && node_.routes()->config().version != limits_config_version_) {
      limits_config_version_ = node_.routes()->config().version;
      caller_server_->SetLimits(CallerLimits(node_.routes()->config().limits));
    }
    Exchange request(node_, metrics_, exchange);
    co_await request.Run();
  }

  Task<void> ServeOperator(net::HttpExchange& exchange) {
    std::string body;
    net::HttpHeaders headers;
    if (exchange.path() == "/readyz") {
      body = node_.Ready() ? "ready\n" : "not ready\n";
      co_return co_await exchange.Respond(node_.Ready() ? 200 : 503, body, headers, "text/plain");
    }
    if (exchange.path() == "/metrics") {
      AddPermitCounts();
      AddRetryCounts();
      AddCrashCounts();
      metrics_.Set(process::Gauge::kDrainedDomains,
                   node_.placement().drained_domains().domains.size());
      AddWarmupCounts();
      body = metrics_.Text() + RankText();
      co_return co_await exchange.Respond(200, body, headers, "text/plain; version=0.0.4");
    }
    if (exchange.path() == "/debug/state") {
      body = DumpState();
      co_return co_await exchange.Respond(200, body);
    }
    body = "not found\n";
    co_await exchange.Respond(404, body, headers, "text/plain");
  }

  /// Adds to the metrics what a part of the process has counted since the last call.
  template <typename Counters, std::size_t N>
  void AddCounts(const std::pair<process::Counter, std::uint64_t Counters::*> (&rows)[N],
                 const Counters& counts, Counters& counted) {
    for (const auto& [counter, value] : rows) metrics_.Add(counter, counts.*value - counted.*value);
    counted = counts;
  }

  void AddPermitCounts() {
    using Counters = serving::PermitPool::Counters;
    constexpr std::pair<process::Counter, std::uint64_t Counters::*> kRows[] = {
        {process::Counter::kPermitsGranted, &Counters::granted},
        {process::Counter::kPermitsTaken, &Counters::taken},
        {process::Counter::kPermitsReturned, &Counters::returned},
        {process::Counter::kPermitsExpired, &Counters::expired},
        {process::Counter::kPermitsOwnShare, &Counters::own_share}};
    AddCounts(kRows, node_.placement().permits().counters(), permit_counts_);
  }

  void AddWarmupCounts() {
    using Counters = serving::WarmupPool::Counters;
    using process::Counter;
    constexpr std::pair<Counter, std::uint64_t Counters::*> kRows[] = {
        {Counter::kWarmupLeasesAcquired, &Counters::acquired},
        {Counter::kWarmupLeasesRenewed, &Counters::renewed},
        {Counter::kWarmupLeasesDenied, &Counters::denied},
        {Counter::kWarmupSent, &Counters::sent},
        {Counter::kWarmupMissed, &Counters::missed},
        {Counter::kWarmupWithheld, &Counters::withheld}};
    AddCounts(kRows, node_.placement().warmup().counters(), warmup_counts_);
  }

  void AddRetryCounts() {
    using Counters = serving::RetryPool::Counters;
    constexpr std::pair<process::Counter, std::uint64_t Counters::*> kRows[] = {
        {process::Counter::kRetryPermitsGranted, &Counters::granted},
        {process::Counter::kRetryPermitsUsed, &Counters::used},
        {process::Counter::kRetryPermitsExpired, &Counters::expired},
        {process::Counter::kRetriesOwnShare, &Counters::own_share},
        {process::Counter::kRetriesDenied, &Counters::denied}};
    AddCounts(kRows, node_.retry_pool().counters(), retry_counts_);
  }

  void AddCrashCounts() {
    using Counters = serving::CrashGuard::KindCounters;
    using process::Counter;
    constexpr std::pair<Counter, std::uint64_t Counters::*> kPartRows[] = {
        {Counter::kRefusedByPart, &Counters::refused},
        {Counter::kHeldBackByPart, &Counters::held_back},
        {Counter::kPartTrials, &Counters::trials}};
    constexpr std::pair<Counter, std::uint64_t Counters::*> kRequestRows[] = {
        {Counter::kRefusedByRequestKey, &Counters::refused},
        {Counter::kHeldBackByRequestKey, &Counters::held_back},
        {Counter::kRequestTrials, &Counters::trials}};
    const auto& counters = node_.crash_guard().counters();
    AddCounts(kPartRows, counters.Of(serving::SubjectKind::kPromptPart), part_counts_);
    AddCounts(kRequestRows, counters.Of(serving::SubjectKind::kRequest), request_counts_);
    metrics_.Add(Counter::kAttemptsEnded, counters.ended_attempts - ended_attempts_);
    ended_attempts_ = counters.ended_attempts;
  }

  /// Requests by service and rank, in the text form of the metrics.
  std::string RankText() const {
    using Counters = serving::PriorityLimits::RankCounters;
    constexpr std::pair<const char*, std::uint64_t Counters::*> kRows[] = {
        {"requests_placed_by_rank_total", &Counters::placed},
        {"requests_placed_by_floor_total", &Counters::placed_by_floor},
        {"requests_refused_by_rank_total", &Counters::refused}};
    const auto services = node_.RankCounters();
    std::string text;
    for (const auto& [name, value] : kRows) {
      if (services.empty()) break;
      text += fmt::format("# TYPE wagtailslip_{} counter\n", name);
      for (const auto& [service, ranks] : services) {
        for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
          text += fmt::format("wagtailslip_{}{{service=\"{}\",rank=\"{}\"}} {}\n", name, service,
                              rank, ranks[rank].*value);
        }
      }
    }
    return text;
  }

  std::string DumpState() const {
    nlohmann::json endpoints = nlohmann::json::object();
    for (const auto& [id, record] : node_.table().endpoints()) {
      endpoints[id] = {{"service", record.service},
                       {"state", serving::kEndpointStates.Name(record.state)},
                       {"failure_domain", record.failure_domain},
                       {"weights", record.weights}};
      if (const auto limit = node_.placement().permits().limits().Find(id)) {
        endpoints[id]["limit"] = *limit;
      }
      const auto cold = node_.cold_endpoints().find(id);
      if (cold == node_.cold_endpoints().end()) continue;
      endpoints[id]["cold"] = serving::kColdReasons.Name(cold->second);
      const auto left = node_.placement().warmup().LeaseLeft(id, process::MonotonicNow());
      if (left) endpoints[id]["lease_left_ms"] = ToMilliseconds(*left);
    }
    nlohmann::json retry_permits = nlohmann::json::object();
    if (node_.routes()) {
      for (const auto& it : node_.routes()->config().services) {
        retry_permits[it.name] = node_.retry_pool().Held(it.name, process::MonotonicNow());
      }
    }
    nlohmann::json ranks = nlohmann::json::object();
    for (const auto& [service, counters] : node_.RankCounters()) {
      for (const auto& it : counters) {
        ranks[service].push_back({{"placed", it.placed},
                                  {"placed_by_floor", it.placed_by_floor},
                                  {"refused", it.refused}});
      }
    }
    std::map<serving::SubjectKind, nlohmann::json> verdicts;
    for (const auto& it : serving::kSubjectPolicies) verdicts[it.kind] = nlohmann::json::object();
    for (const auto& [subject, it] : node_.crash_guard().verdicts()) {
      verdicts[subject.kind][subject.id] = {{"state", serving::kVerdictStates.Name(it.state)},
                                            {"times", it.times},
                                            {"trials", it.trials},
                                            {"trial_process", it.trial_process}};
    }
    nlohmann::json targets = nlohmann::json::object();
    for (const auto& [model, versions] : node_.weights_targets().List()) {
      for (const auto& [version, set_at] : versions) {
        targets[model][std::to_string(version)] = {
            {"named_ms_ago", ToMilliseconds(process::MonotonicNow() - set_at)}};
      }
    }
    nlohmann::json dump{{"name", settings_.name},
                        {"ready", node_.Ready()},
                        {"config", node_.routes() ? node_.routes()->config().version : 0},
                        {"active", caller_server_->active()},
                        {"weights_targets", targets},
                        {"waiting", node_.waiting()},
                        {"retry_permits", retry_permits},
                        {"ranks", ranks},
                        {"endpoints", endpoints}};
    const auto& drained = node_.placement().drained_domains();
    dump["drained_domains"] = {{"revision", drained.revision}, {"domains", drained.domains}};
    for (const auto& it : serving::kSubjectPolicies) {
      dump[std::string(it.dump_name)] = verdicts[it.kind];
    }
    return dump.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }

  void CheckStop() {
    const TimePoint now = process::MonotonicNow();
    const Duration since = now - stop_at_;
    const auto plan = serving::MakeStopPlan(settings_.bounds.stop_grace);
    if (since >= plan.accept_period && !stopped_accepting_) {
      stopped_accepting_ = true;
      caller_server_->StopAccepting();
    }
    if ((stopped_accepting_ && caller_server_->active() == 0) || since >= plan.exit_after) {
      for (auto& it : operator_servers_) it->StopAccepting();
      node_.Stop();
      context_.stop();
      return;
    }
    stop_timer_.expires_after(kStopCheckPeriod);
    stop_timer_.async_wait([this](net::error_code ec) {
      if (!ec) CheckStop();
    });
  }

  net::asio::io_context& context_;
  deployment::NodeSettings settings_;
  IngressNode& node_;
  process::Metrics metrics_;
  std::unique_ptr<net::HttpServer> caller_server_;
  std::vector<std::unique_ptr<net::HttpServer>> operator_servers_;
  /// Counts that are already in the metrics.
  serving::PermitPool::Counters permit_counts_;
  serving::RetryPool::Counters retry_counts_;
  serving::WarmupPool::Counters warmup_counts_;
  serving::CrashGuard::KindCounters part_counts_;
  serving::CrashGuard::KindCounters request_counts_;
  std::uint64_t ended_attempts_ = 0;
  std::int64_t limits_config_version_ = 0;
  net::asio::steady_timer stop_timer_;
  TimePoint stop_at_{};
  bool stopped_accepting_ = false;
};

}  // namespace

int RunIngress(const deployment::NodeSettings& settings) {
  net::asio::io_context context(1);
  const auto incarnation = process::UtcNow().time_since_epoch().count();
  IngressNode node(context, settings, incarnation);
  IngressServer server(context, settings, node);
  net::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](net::error_code ec, int) {
    if (ec) return;
    LogEvent(Event::kProcessStopping, {{"node", settings.name}});
    server.BeginStop(process::MonotonicNow());
  });
  node.Start();
  server.Start();
  LogEvent(Event::kProcessStarted, {{"node", settings.name}, {"kind", "ingress"}});
  context.run();
  LogEvent(Event::kProcessStopped, {{"node", settings.name}});
  return 0;
}

}  // namespace wagtailslip::ingress
