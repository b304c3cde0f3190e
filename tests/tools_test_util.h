#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <set>

#include "common/manifest.h"
#include "common/pacing.h"
#include "engine/engine_server.h"
#include "load/load_run.h"
#include "origin/origin_server.h"
#include "service/service_server.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::tools {
using net::HttpResponse;
using net::Task;
using net::tcp;
using net::http::verb;
using namespace std::chrono_literals;

constexpr Duration kTimeout = 20s;

/// Serves the given servers while the body runs with their addresses.
using Body = std::function<Task<void>(std::vector<tcp::endpoint>)>;
inline void Run(const Body& body,
                std::initializer_list<std::reference_wrapper<ToolServer>> servers) {
  net::asio::io_context context(1);
  std::vector<std::unique_ptr<net::HttpServer>> hosted;
  std::vector<tcp::endpoint> addresses;
  for (ToolServer& server : servers) {
    hosted.push_back(std::make_unique<net::HttpServer>(
        context, net::ParseAddress("127.0.0.1:0"), net::HttpLimits{},
        [&server](net::HttpExchange& exchange) { return server.Handle(exchange); }));
    hosted.back()->Start();
    addresses.push_back(hosted.back()->address());
  }
  std::exception_ptr problem;
  net::asio::co_spawn(context, body(addresses), [&](std::exception_ptr e) {
    problem = e;
    context.stop();
  });
  context.run();
  if (problem) std::rethrow_exception(problem);
}

inline Task<HttpResponse> Send(tcp::endpoint address, verb method, std::string path,
                               std::string body = {}, std::string id = {}) {
  net::HttpHeaders headers;
  if (!id.empty()) headers.emplace_back("X-Request-Id", id);
  if (!id.empty()) headers.emplace_back("Idempotency-Key", id);
  auto request = net::MakeRequest(method, path, std::move(body), headers);
  co_return co_await net::CallOnce(address, std::move(request), kTimeout);
}

inline Task<Json> Get(tcp::endpoint address, std::string path) {
  const auto answer = co_await Send(address, verb::get, std::move(path));
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
  co_return Json::parse(answer.body);
}

/// Sets one fault switch to 1.
inline Task<void> Switch(tcp::endpoint address, std::string fault, double value = 1) {
  Json json;
  json[fault] = value;
  const auto answer = co_await Send(address, verb::post, "/faults", json.dump());
  CPPUNIT_ASSERT_EQUAL(200U, answer.status);
}

inline std::string ChatBody(bool stream, int tokens = 4) {
  Json json;
  json["model"] = "m";
  json["stream"] = stream;
  json["max_tokens"] = tokens;
  json["messages"][0]["role"] = "user";
  json["messages"][0]["content"] = "where is the bus";
  return json.dump();
}

inline Expectation Expect(const std::string& id, std::uint64_t tokens = 4) {
  Expectation expected;
  expected.request_id = id;
  expected.model = "m";
  expected.hash = ShortHash("user:where is the bus\n");
  expected.max_tokens = tokens;
  expected.direct = true;
  return expected;
}

/// First fault of a chat answer, or "none".
inline std::string Verdict(const Expectation& expected, const HttpResponse& answer, bool stream) {
  auto violation = CheckHeader(expected, answer);
  if (!violation && !stream) violation = CheckChat(expected, answer);
  if (!violation && stream) {
    StreamCheck check(expected, answer.Header("X-Model-Version"));
    check.Feed(answer.body, [] {});
    violation = check.Finish();
  }
  return violation ? std::string(kViolations.Name(*violation)) : "none";
}

inline EngineSettings FastEngine() {
  EngineSettings settings;
  settings.token_ms = 1;
  settings.first_token_ms = 1;
  settings.load_ms = 1;
  settings.preload = {"m:v1"};
  return settings;
}

inline OriginSettings SmallOrigin() {
  OriginSettings settings;
  settings.chunk_bytes = 1024;
  settings.artifacts = {ParseArtifactSpec("m:v1:10500:7"),
                        ParseArtifactSpec("m:v2:10500:8:share=v1@0.5")};
  return settings;
}

/// Writes a version of an artifact with its manifest.
class ModelFile {
 public:
  ModelFile(const ArtifactStore& store, const std::string& version)
      : manifest_(*store.FindManifest("m", version)),
        path_(std::filesystem::temp_directory_path() /
              ("wts-tools-test-" + std::to_string(getpid()) + "-" + version)) {
    std::ofstream file(path_, std::ios::binary);
    for (const auto& chunk : manifest_.chunks) file << *store.FindChunk(chunk.digest);
    std::ofstream(path_.string() + ".manifest") << ToJson(manifest_);
  }
  ~ModelFile() {
    std::filesystem::remove(path_);
    std::filesystem::remove(path_.string() + ".manifest");
  }
  void Damage() { std::fstream(path_, std::ios::in | std::ios::out).seekp(5000).put('\0').put(1); }
  std::string root() const { return manifest_.root.Hex(); }
  std::string LoadCommand(int fencing) const {
    Json json;
    json["model"] = "m";
    json["version"] = manifest_.version;
    json["kind"] = "model";
    json["root"] = root();
    json["path"] = path_.string();
    json["fencing"] = fencing;
    return json.dump();
  }

 private:
  Manifest manifest_;
  std::filesystem::path path_;
};

}  // namespace wagtailslip::tools
