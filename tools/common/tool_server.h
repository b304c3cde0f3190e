#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "common/faults.h"
#include "wagtailslip/net/http_server.h"

namespace CLI {
class App;
}

namespace wagtailslip::tools {

using Json = nlohmann::json;

/// Address and stopping time of a development server.
struct ServerSettings {
  std::string listen = "127.0.0.1:0";
  int stop_ms = 30'000;
  std::uint64_t fault_seed = 1;
  FaultValues faults;
};

/// Routes of a development server, with `GET|POST /faults` and `GET /counters`.
class ToolServer {
 public:
  using Handler = std::function<net::Task<void>(net::HttpExchange&)>;

  ToolServer(std::vector<std::string_view> fault_names, const ServerSettings& settings);
  virtual ~ToolServer() = default;
  ToolServer(const ToolServer&) = delete;
  ToolServer& operator=(const ToolServer&) = delete;

  net::Task<void> Handle(net::HttpExchange& exchange);
  /// Releases stalled answers, so that a stop isn't held up by them.
  void Stop() { stopping_ = true; }
  bool stopping() const { return stopping_; }
  Faults& faults() { return faults_; }

 protected:
  /// Adds a route. A path that ends in '/' matches every path that starts with it.
  void Route(net::http::verb method, std::string path, Handler handler);
  /// Counters for `GET /counters`.
  virtual Json Counters() const = 0;
  /// Applies the delay, stall, refuse and fail switches.
  /// @return false if the request has been answered by a fault
  net::Task<bool> PassFaults(net::HttpExchange& exchange);
  /// Waits until the stall switch is cleared or the server stops.
  net::Task<void> Stall();

 private:
  struct RouteEntry {
    net::http::verb method;
    std::string path;
    Handler handler;
  };
  net::Task<void> ChangeFaults(net::HttpExchange& exchange);

  std::vector<RouteEntry> routes_;
  Faults faults_;
  bool stopping_ = false;
};

/// Sends an answer in the project's error format.
net::Task<void> RespondError(net::HttpExchange& exchange, unsigned status, std::string code,
                             std::string message, net::HttpHeaders headers = {});
/// Parses a request's body as a JSON object.
/// @throws ToolError if it is none
Json ParseObject(std::string_view text);
/// Seconds for a Retry-After header, at least 1.
std::string RetryAfter(Duration wait);

/// Adds `--listen`, `--stop-ms`, `--fault-seed` and a flag for each supported fault switch.
void AddServerFlags(CLI::App& app, ServerSettings& settings,
                    const std::vector<std::string_view>& fault_names);
/// Serves until SIGTERM or SIGINT, then finishes the exchanges in progress.
/// @return exit status: 0, or 3 if exchanges were left when the stopping time ended
int Serve(net::asio::io_context& context, const ServerSettings& settings, net::HttpLimits limits,
          ToolServer& server);
/// Parses the command line and runs the program; errors go to standard error.
/// @return exit status
int RunProgram(CLI::App& app, int argc, char** argv, const std::function<int()>& run);

}  // namespace wagtailslip::tools
