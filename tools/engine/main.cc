// wts-engine: stand-in for a model engine with continuous batching.
#include <CLI/CLI.hpp>

#include "engine/engine_server.h"

namespace wagtailslip::tools {
namespace {

int Main(int argc, char** argv) {
  constexpr int kMaxMs = 600'000;
  constexpr std::uint64_t kMaxCount = 1'000'000'000;
  constexpr std::uint64_t kOne = 1;
  EngineSettings settings;
  int event_lag_ms = 500;
  CLI::App app("Stand-in for a model engine with continuous batching.", "wts-engine");
  app.add_option("--slots", settings.slots, "answers generated at the same time")
      ->check(CLI::Range(kOne, kMaxCount));
  app.add_option("--queue-limit", settings.queue_limit, "requests that may wait for a slot")
      ->check(CLI::Range(std::uint64_t{0}, kMaxCount));
  app.add_option("--token-ms", settings.token_ms, "time between tokens")
      ->check(CLI::Range(0.0, 1.0 * kMaxMs));
  app.add_option("--first-token-ms", settings.first_token_ms,
                 "time to the first token of a prompt that is not cached")
      ->check(CLI::Range(0.0, 1.0 * kMaxMs));
  app.add_option("--batch-slowdown", settings.batch_slowdown,
                 "growth of the time between tokens from an idle to a full batch")
      ->check(CLI::Range(0.0, 100.0));
  app.add_option("--max-tokens", settings.max_tokens, "tokens of a request that names no number")
      ->check(CLI::Range(kOne, std::uint64_t{1'000'000}));
  app.add_option("--load-ms", settings.load_ms, "time that a load takes after the file's check")
      ->check(CLI::Range(0, kMaxMs));
  app.add_option("--drain-ms", settings.drain_ms, "limit for the wait for running streams")
      ->check(CLI::Range(0, kMaxMs));
  app.add_option("--drain-on-load", settings.drain_on_load,
                 "false lets running streams keep their old version through a load");
  app.add_flag("--ignore-fencing", settings.ignore_fencing, "obeys commands of any age");
  app.add_option("--command-token", settings.command_token,
                 "bearer token that admin commands need; any sender may command without it");
  app.add_option("--report-lag-ms", settings.report_lag_ms, "lag of the load report")
      ->check(CLI::Range(0, kMaxMs));
  app.add_option("--cache-blocks", settings.cache.capacity_blocks, "blocks in the prefix cache")
      ->check(CLI::Range(std::uint64_t{0}, kMaxCount));
  app.add_option("--cache-block-bytes", settings.cache.block_bytes, "prompt bytes in a block")
      ->check(CLI::Range(kOne, kMaxCount));
  app.add_option("--cache-event-lag-ms", event_lag_ms, "age at which cache events are published")
      ->check(CLI::Range(0, kMaxMs));
  app.add_option("--cache-event-gaps", settings.cache.event_gaps,
                 "share of cache events that are never published")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--preload", settings.preload,
                 "model:version[:root] served from the start without a file; repeatable");
  AddServerFlags(app, settings.server, EngineServer::FaultNames());
  return RunProgram(app, argc, argv, [&] {
    settings.cache.event_lag = std::chrono::milliseconds(event_lag_ms);
    settings.cache.seed = settings.server.fault_seed;
    // The server outlives the context, whose coroutines hold slots of the server.
    EngineServer server(settings);
    net::asio::io_context context(1);
    return Serve(context, settings.server, net::HttpLimits{}, server);
  });
}

}  // namespace
}  // namespace wagtailslip::tools

int main(int argc, char** argv) { return wagtailslip::tools::Main(argc, argv); }
