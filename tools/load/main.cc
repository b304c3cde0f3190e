// wts-load: open-loop load generator for loopback addresses.
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "common/tool_server.h"
#include "load/load_run.h"

namespace wagtailslip::tools {
namespace {

constexpr int kStatusViolations = 2;

int RunLoad(const LoadSettings& settings, const std::string& json_file) {
  net::asio::io_context context(1);
  LoadRun run(settings);
  net::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const net::error_code& ec, int) {
    if (!ec) run.Stop();
  });
  std::exception_ptr problem;
  net::asio::co_spawn(context, run.Run(), [&](const std::exception_ptr& e) {
    problem = e;
    context.stop();
  });
  context.run();
  if (problem) std::rethrow_exception(problem);
  const auto report = run.ToJson();
  std::cout << FormatTable(report);
  if (json_file == "-") {
    std::cout << report.dump() << '\n';
  } else if (!json_file.empty()) {
    std::ofstream file(json_file, std::ios::trunc);
    file << report.dump(1) << '\n';
    if (!file) throw ToolError("cannot write " + json_file);
  }
  return run.violations() > 0 ? kStatusViolations : 0;
}

std::vector<net::tcp::endpoint> ParseAll(const std::vector<std::string>& texts) {
  std::vector<net::tcp::endpoint> addresses;
  addresses.reserve(texts.size());
  for (const auto& text : texts) addresses.push_back(ParseLoopback(text));
  return addresses;
}

int Main(int argc, char** argv) {
  constexpr double kMaxSeconds = 7200;
  constexpr std::uint64_t kMaxInFlight = 20'000;
  constexpr std::uint64_t kMaxRepeats = 100;
  LoadSettings settings;
  std::vector<std::string> targets;
  std::vector<std::string> directories;
  std::vector<std::string> accounts;
  std::vector<std::string> kinds;
  std::string json_file;
  CLI::App app("Open-loop load generator for loopback addresses.", "wts-load");
  auto* target = app.add_option("--target", targets, "ip:port to send to; repeatable");
  app.add_option("--addresses", directories,
                 "ip:port that is asked for GET /v1/addresses; repeatable")
      ->excludes(target);
  app.add_option("--region", settings.region, "region whose addresses are preferred");
  app.add_option("--account", accounts, "name:requests per second[:api key]; repeatable")
      ->required();
  app.add_option("--kind", kinds,
                 "name:weight:stream|chat|call|lookup[:model=..][:service=..][:call=..]"
                 "[:max_tokens=..][:prompt_bytes=..][:prefixes=..][:deadline_ms=..]; repeatable")
      ->required();
  app.add_option("--seed", settings.seed, "seed of arrivals, kinds and prompts");
  app.add_option("--seconds", settings.seconds, "time in which requests are sent")
      ->check(CLI::Range(0.1, kMaxSeconds));
  app.add_option("--max-in-flight", settings.max_in_flight, "requests without an answer")
      ->check(CLI::Range(std::uint64_t{1}, kMaxInFlight));
  app.add_option("--resend", settings.resend,
                 "times that an at-most-once call without a final answer is sent again")
      ->check(CLI::Range(std::uint64_t{0}, kMaxRepeats));
  app.add_option("--retry", settings.retry,
                 "times that another request that was not run is sent again")
      ->check(CLI::Range(std::uint64_t{0}, kMaxRepeats));
  app.add_flag("--direct", settings.direct, "the targets are endpoints rather than the system");
  app.add_flag("--accept-engine-ids", settings.accept_engine_ids,
               "the id in a body may differ from the request's");
  app.add_flag("--fresh-connections", settings.fresh_connections,
               "each request uses a new connection");
  app.add_option("--keys-file", settings.keys_file,
                 "file for a line 'key outcome' for each at-most-once call");
  app.add_option("--json", json_file, "file for the report as JSON; - is standard output");
  return RunProgram(app, argc, argv, [&] {
    settings.targets = ParseAll(targets);
    settings.directories = ParseAll(directories);
    for (const auto& text : accounts) settings.accounts.push_back(ParseAccount(text));
    for (const auto& text : kinds) settings.kinds.push_back(ParseKind(text));
    if (targets.empty() && directories.empty()) throw ToolError("give --target or --addresses");
    return RunLoad(settings, json_file);
  });
}

}  // namespace
}  // namespace wagtailslip::tools

int main(int argc, char** argv) { return wagtailslip::tools::Main(argc, argv); }
