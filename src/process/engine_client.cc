#include "wagtailslip/process/engine_client.h"

#include <nlohmann/json.hpp>

#include "wagtailslip/config/state.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::process {
namespace {

using nlohmann::json;

constexpr Duration kReadTimeout = std::chrono::seconds(2);
// A large model takes minutes to load from disk.
constexpr Duration kLoadTimeout = std::chrono::minutes(10);

std::string ErrorText(const net::HttpResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  std::string text = "status " + std::to_string(response.status);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    text += ": " + body["error"].value("message", "");
  }
  return text;
}

/// Calls the endpoint and converts transport errors.
net::Task<json> CallJson(net::tcp::endpoint address, net::HttpRequest request, Duration timeout) {
  net::HttpResponse response;
  std::string problem;
  try {
    response = co_await net::CallOnce(address, std::move(request), timeout);
  } catch (const net::NetError& e) {
    problem = e.what();
  }
  if (!problem.empty()) throw EngineError(problem);
  if (response.status / 100 != 2) throw EngineError(ErrorText(response));
  json body = json::parse(response.body, nullptr, false);
  if (body.is_discarded()) throw EngineError("the endpoint's answer is not JSON");
  co_return body;
}

}  // namespace

/// One number for engines: a later term always gives a greater one.
std::uint64_t FencingNumber(const rollout::FencingToken& token) {
  constexpr int kRevisionBits = 40;
  return token.term << kRevisionBits | (token.revision & ((std::uint64_t{1} << kRevisionBits) - 1));
}

net::Task<void> HttpEngineClient::Load(rollout::Order order, std::string path) {
  json body;
  body["model"] = order.adapter.empty() ? order.model : order.adapter;
  body["version"] = order.artifact.version;
  body["kind"] = order.adapter.empty() ? "model" : "adapter";
  body["root"] = order.artifact.root.Hex();
  body["path"] = path;
  body["fencing"] = FencingNumber(order.token);
  auto request = net::MakeRequest(net::http::verb::post, "/admin/load", body.dump());
  co_await CallJson(address_, std::move(request), kLoadTimeout);
}

net::Task<std::map<std::string, ServedArtifact>> HttpEngineClient::ReadState() {
  auto request = net::MakeRequest(net::http::verb::get, "/admin/state");
  const json body = co_await CallJson(address_, std::move(request), kReadTimeout);
  std::map<std::string, ServedArtifact> served;
  for (const auto& it : body.value("loaded", json::array())) {
    const auto root = Digest::FromHex(it.value("root", ""));
    if (!root) continue;
    const std::string name = it.value("model", "");
    const bool adapter = it.value("kind", "model") == "adapter";
    const std::string line =
        adapter ? config::ArtifactKey(it.value("base", ""), name) : config::ArtifactKey(name, "");
    served[line] = {it.value("version", ""), *root};
  }
  co_return served;
}

net::Task<EngineLoad> HttpEngineClient::ReadLoad() {
  auto request = net::MakeRequest(net::http::verb::get, "/admin/load-report");
  const json body = co_await CallJson(address_, std::move(request), kReadTimeout);
  EngineLoad load;
  load.running = body.value("running", 0U);
  load.waiting = body.value("queued", 0U);
  load.slots = body.value("slots", 1U);
  co_return load;
}

net::Task<void> ServiceClient::Load(rollout::Order, std::string) {
  throw EngineError("a plain service takes no weights");
  co_return;
}

net::Task<std::map<std::string, ServedArtifact>> ServiceClient::ReadState() {
  co_return std::map<std::string, ServedArtifact>();
}

net::Task<EngineLoad> ServiceClient::ReadLoad() {
  // A plain service reports no load; a connection shows that it is alive.
  std::string problem;
  try {
    net::HttpConnection connection(co_await net::asio::this_coro::executor);
    co_await connection.Connect(address_, kReadTimeout);
  } catch (const net::NetError& e) {
    problem = e.what();
  }
  if (!problem.empty()) throw EngineError(problem);
  EngineLoad load;
  load.slots = slots_;
  co_return load;
}

}  // namespace wagtailslip::process
