#include "common/tool_server.h"

#include <CLI/CLI.hpp>
#include <cmath>
#include <csignal>
#include <iostream>

#include "common/pacing.h"
#include "wagtailslip/net/address.h"

namespace wagtailslip::tools {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(10);
constexpr int kMaxStopMs = 3'600'000;
constexpr int kStatusLeftExchanges = 3;

net::Task<void> StopGracefully(net::HttpServer& http, ToolServer& server, int stop_ms,
                               net::asio::io_context& context, int& status) {
  http.StopAccepting();
  server.Stop();
  const TimePoint limit = Now() + std::chrono::milliseconds(stop_ms);
  while (http.active() > 0 && Now() < limit) co_await Sleep(kPollInterval);
  if (http.active() > 0) {
    std::cerr << http.active() << " requests were still running after " << stop_ms << " ms\n";
    status = kStatusLeftExchanges;
  }
  context.stop();
}

}  // namespace

ToolServer::ToolServer(std::vector<std::string_view> fault_names, const ServerSettings& settings)
    : faults_(std::move(fault_names), settings.faults, settings.fault_seed) {
  Route(net::http::verb::get, "/counters",
        [this](net::HttpExchange& exchange) { return exchange.Respond(200, Counters().dump()); });
  Route(net::http::verb::get, "/faults", [this](net::HttpExchange& exchange) {
    return exchange.Respond(200, faults_.ToJson().dump());
  });
  Route(net::http::verb::post, "/faults",
        [this](net::HttpExchange& exchange) { return ChangeFaults(exchange); });
}

void ToolServer::Route(net::http::verb method, std::string path, Handler handler) {
  routes_.push_back(RouteEntry{method, std::move(path), std::move(handler)});
}

net::Task<void> ToolServer::Handle(net::HttpExchange& exchange) {
  const std::string path(exchange.path());
  bool path_known = false;
  for (const auto& route : routes_) {
    const bool matches =
        route.path == path || (route.path.ends_with('/') && path.starts_with(route.path));
    path_known = path_known || matches;
    if (!matches || route.method != exchange.request().method()) continue;
    std::string problem;
    try {
      co_await route.handler(exchange);
    } catch (const ToolError& e) {
      problem = e.what();
    } catch (const Json::exception& e) {
      problem = e.what();
    }
    if (!problem.empty()) co_await RespondError(exchange, 400, "bad_request", problem);
    co_return;
  }
  co_await RespondError(exchange, path_known ? 405 : 404, "not_found", "no such route: " + path);
}

net::Task<void> ToolServer::ChangeFaults(net::HttpExchange& exchange) {
  faults_.Update(ParseObject(exchange.request().body()));
  co_await exchange.Respond(200, faults_.ToJson().dump());
}

net::Task<bool> ToolServer::PassFaults(net::HttpExchange& exchange) {
  faults_.CountRequest();
  if (faults_.values().delay_ms > 0) {
    co_await Sleep(std::chrono::microseconds(std::llround(faults_.values().delay_ms * 1000)));
  }
  if (faults_.Hit(&FaultValues::stall)) co_await Stall();
  if (faults_.Hit(&FaultValues::refuse)) {
    net::HttpHeaders headers{{"Retry-After", "1"}};
    co_await RespondError(exchange, 503, "refused", "refused by a fault switch", headers);
    co_return false;
  }
  if (faults_.Hit(&FaultValues::fail)) {
    co_await RespondError(exchange, 500, "failed", "failed by a fault switch");
    co_return false;
  }
  co_return true;
}

net::Task<void> ToolServer::Stall() {
  while (faults_.values().stall > 0 && !stopping_) co_await Sleep(kPollInterval);
}

net::Task<void> RespondError(net::HttpExchange& exchange, unsigned status, std::string code,
                             std::string message, net::HttpHeaders headers) {
  std::string request_id(exchange.Header("X-Request-Id"));
  Json error;
  error["code"] = std::move(code);
  error["message"] = std::move(message);
  error["field"] = "";
  error["request_id"] = request_id;
  if (!request_id.empty()) headers.emplace_back("X-Request-Id", std::move(request_id));
  Json body;
  body["error"] = std::move(error);
  co_await exchange.Respond(status, body.dump(), std::move(headers));
}

Json ParseObject(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) throw ToolError("the body is not a JSON object");
  return json;
}

std::string RetryAfter(Duration wait) {
  return std::to_string(std::max(1L, std::lround(std::ceil(ToSeconds(wait)))));
}

void AddServerFlags(CLI::App& app, ServerSettings& settings,
                    const std::vector<std::string_view>& fault_names) {
  app.add_option("--listen", settings.listen, "ip:port to listen on; port 0 takes a free one")
      ->capture_default_str();
  app.add_option("--stop-ms", settings.stop_ms, "time for requests in progress after SIGTERM")
      ->check(CLI::Range(0, kMaxStopMs))
      ->capture_default_str();
  app.add_option("--fault-seed", settings.fault_seed, "seed of the draws of the fault switches")
      ->capture_default_str();
  for (const auto& field : FaultFields()) {
    if (std::find(fault_names.begin(), fault_names.end(), field.name) == fault_names.end()) {
      continue;
    }
    // `die` only makes sense while the program runs.
    if (field.member == &FaultValues::die) continue;
    std::string flag = "--fault-" + std::string(field.name);
    std::replace(flag.begin(), flag.end(), '_', '-');
    app.add_option(flag, settings.faults.*field.member, std::string(field.help))
        ->check(CLI::Range(0.0, field.maximum))
        ->capture_default_str();
  }
}

int Serve(net::asio::io_context& context, const ServerSettings& settings, net::HttpLimits limits,
          ToolServer& server) {
  net::HttpServer http(context, net::ParseAddress(settings.listen), limits,
                       [&](net::HttpExchange& exchange) { return server.Handle(exchange); });
  http.Start();
  std::cout << "listening on " << net::FormatAddress(http.address()) << std::endl;
  int status = 0;
  net::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const net::error_code& ec, int) {
    if (ec) return;
    net::asio::co_spawn(context, StopGracefully(http, server, settings.stop_ms, context, status),
                        net::asio::detached);
  });
  context.run();
  return status;
}

int RunProgram(CLI::App& app, int argc, char** argv, const std::function<int()>& run) {
  try {
    app.parse(argc, argv);
    return run();
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  } catch (const std::exception& e) {
    std::cerr << app.get_name() << ": " << e.what() << '\n';
    return 1;
  }
}

}  // namespace wagtailslip::tools
