// wts-origin: weight store and origin that serves synthetic artifacts.
#include <CLI/CLI.hpp>

#include "origin/origin_server.h"

namespace wagtailslip::tools {
namespace {

int Main(int argc, char** argv) {
  OriginSettings settings;
  ArtifactSpec single;
  std::vector<std::string> artifacts;
  constexpr double kMaxRate = 1e12;
  CLI::App app("Weight store and origin that serves synthetic artifacts.", "wts-origin");
  auto* model = app.add_option("--model", single.model, "name of a single model");
  auto* version = app.add_option("--version", single.version, "its version")->needs(model);
  auto* bytes = app.add_option("--bytes", single.bytes, "its size in bytes")->needs(model);
  app.add_option("--seed", single.seed, "seed of its contents")->needs(model);
  model->needs(version)->needs(bytes);
  app.add_option("--artifact", artifacts,
                 "model:version:bytes:seed[:kind=adapter][:base=MODEL][:share=VERSION@SHARE]; "
                 "repeatable");
  app.add_option("--chunk-bytes", settings.chunk_bytes, "size of a chunk")
      ->check(CLI::Range(std::uint64_t{1024}, std::uint64_t{64} * 1024 * 1024))
      ->capture_default_str();
  app.add_option("--max-bytes", settings.max_bytes, "limit for the memory of all chunks")
      ->capture_default_str();
  app.add_option("--link-bytes-per-second", settings.link_bytes_per_second,
                 "rate of the link that all requests share; 0 is unlimited")
      ->check(CLI::Range(0.0, kMaxRate))
      ->capture_default_str();
  app.add_option("--requests-per-second", settings.requests_per_second,
                 "rate of requests over which the answer is 429; 0 is unlimited")
      ->check(CLI::Range(0.0, kMaxRate))
      ->capture_default_str();
  app.add_option("--request-burst", settings.request_burst, "requests that may come at once")
      ->check(CLI::Range(1.0, kMaxRate))
      ->capture_default_str();
  AddServerFlags(app, settings.server, OriginServer::FaultNames());
  return RunProgram(app, argc, argv, [&] {
    if (!single.model.empty()) settings.artifacts.push_back(single);
    for (const auto& text : artifacts) settings.artifacts.push_back(ParseArtifactSpec(text));
    if (settings.artifacts.empty()) throw ToolError("give --model or --artifact");
    if (single.model.empty() == false && single.bytes == 0) throw ToolError("--bytes is 0");
    OriginServer server(settings);
    net::asio::io_context context(1);
    return Serve(context, settings.server, net::HttpLimits{}, server);
  });
}

}  // namespace
}  // namespace wagtailslip::tools

int main(int argc, char** argv) { return wagtailslip::tools::Main(argc, argv); }
