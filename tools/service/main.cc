// wts-service: plain service that counts the executions of its calls.
#include <CLI/CLI.hpp>

#include "service/service_server.h"

namespace wagtailslip::tools {
namespace {

int Main(int argc, char** argv) {
  constexpr int kMaxMs = 600'000;
  ServiceSettings settings;
  CLI::App app("Plain service that counts the executions of its calls.", "wts-service");
  app.add_option("--name", settings.name, "name of the service")->capture_default_str();
  app.add_option("--lookup", settings.lookups, "name of a call that only reads; repeatable");
  app.add_option("--call-ms", settings.call_ms, "time that a call takes")
      ->check(CLI::Range(0, kMaxMs))
      ->capture_default_str();
  app.add_option("--slots", settings.slots, "calls that run at the same time; 0 is unlimited")
      ->capture_default_str();
  app.add_option("--report-lag-ms", settings.report_lag_ms, "lag of the load report")
      ->check(CLI::Range(0, kMaxMs))
      ->capture_default_str();
  app.add_option("--journal", settings.journal,
                 "file to which 'call key' is appended for each execution");
  AddServerFlags(app, settings.server, ServiceServer::FaultNames());
  return RunProgram(app, argc, argv, [&] {
    ServiceServer server(settings);
    net::asio::io_context context(1);
    return Serve(context, settings.server, net::HttpLimits{}, server);
  });
}

}  // namespace
}  // namespace wagtailslip::tools

int main(int argc, char** argv) { return wagtailslip::tools::Main(argc, argv); }
