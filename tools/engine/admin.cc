#include <algorithm>
#include <array>
#include <charconv>

#include "engine/engine_server.h"

namespace wagtailslip::tools {
namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(2);
constexpr std::array<std::string_view, 3> kRoles{"serve", "prefill", "decode"};

Json ToJson(const LoadedVersion& version) {
  Json json;
  json["model"] = version.model;
  json["version"] = version.version;
  json["kind"] = version.kind;
  json["root"] = version.root;
  if (!version.base.empty()) json["base"] = version.base;
  json["path"] = version.path;
  json["fencing"] = version.fencing;
  return json;
}

}  // namespace

void EngineServer::RouteAdmin(net::http::verb method, std::string path,
                              net::Task<void> (EngineServer::*handler)(net::HttpExchange&)) {
  Route(method, std::move(path), [this, method, handler](net::HttpExchange& exchange) {
    const bool command = method == net::http::verb::post && !settings_.command_token.empty();
    if (command && exchange.Header("Authorization") != "Bearer " + settings_.command_token) {
      return RespondError(exchange, 403, "forbidden", "the sender may not send commands");
    }
    return (this->*handler)(exchange);
  });
}

net::Task<void> EngineServer::RespondRefusal(net::HttpExchange& exchange, const Refusal& refusal) {
  ++counters_["refused_" + refusal.code];
  net::HttpHeaders headers;
  if (refusal.status == 503) headers.emplace_back("Retry-After", "1");
  co_await RespondError(exchange, refusal.status, refusal.code, refusal.message,
                        std::move(headers));
}

bool EngineServer::Draining(const LoadedVersion& version) const {
  // An adapter's answers are made with the weights of its base too.
  return draining_.contains(version.model) ||
         draining_.contains(version.base.substr(0, version.base.find('/')));
}

net::Task<bool> EngineServer::Drain(const std::string& model) {
  draining_.insert(model);
  const TimePoint limit = Now() + std::chrono::milliseconds(settings_.drain_ms);
  const auto serves = [&](const auto& row) { return Draining(*row.second->version); };
  while (std::any_of(running_.begin(), running_.end(), serves)) {
    if (Now() >= limit || stopping()) co_return false;
    co_await Sleep(kDrainPoll);
  }
  co_return true;
}

net::Task<Refusal> EngineServer::LoadVersion(LoadedVersion& version) {
  // The file is checked before anything is drained: a wrong file disturbs no request.
  Refusal refusal = co_await CheckFile(version);
  if (!refusal) refusal = models_.CheckBase(version);
  if (!refusal && faults().Hit(&FaultValues::load_fail)) {
    refusal = Refusal{500, "load_failed", "failed by a fault switch"};
  }
  if (refusal) co_return refusal;
  if (settings_.drain_on_load && !co_await Drain(version.model)) {
    co_return Refusal{503, "drain_timeout", "streams of the old version are still running"};
  }
  co_await Sleep(std::chrono::milliseconds(settings_.load_ms));
  // The base may have been replaced while this adapter was loaded.
  co_return models_.CheckBase(version);
}

net::Task<void> EngineServer::Load(net::HttpExchange& exchange) {
  ++counters_["loads"];
  const Json body = ParseObject(exchange.request().body());
  LoadedVersion version;
  version.model = body.at("model").get<std::string>();
  version.version = body.at("version").get<std::string>();
  version.kind = body.value("kind", "model");
  version.root = body.value("root", "");
  version.path = body.at("path").get<std::string>();
  version.fencing = body.value("fencing", std::uint64_t{0});
  if (version.kind != "model" && version.kind != "adapter") {
    throw ToolError("kind must be model or adapter");
  }
  if (!co_await PassFaults(exchange)) co_return;
  Refusal refusal = models_.CheckFencing(version.model, version.fencing);
  if (!refusal && !loading_.empty()) {
    refusal = Refusal{503, "busy", "loading " + loading_};
  }
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  loading_ = version.model + "/" + version.version;
  refusal = co_await LoadVersion(version);
  loading_.clear();
  draining_.erase(version.model);
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  const Json answer = ToJson(version);
  models_.Put(std::move(version));
  ++counters_["loads_done"];
  co_await exchange.Respond(200, answer.dump());
}

net::Task<void> EngineServer::Unload(net::HttpExchange& exchange) {
  const Json body = ParseObject(exchange.request().body());
  const auto model = body.at("model").get<std::string>();
  if (!co_await PassFaults(exchange)) co_return;
  Refusal refusal = models_.CheckFencing(model, body.value("fencing", std::uint64_t{0}));
  if (!refusal && !loading_.empty()) refusal = Refusal{503, "busy", "loading " + loading_};
  if (!refusal && settings_.drain_on_load) {
    loading_ = model;
    if (!co_await Drain(model)) {
      refusal = Refusal{503, "drain_timeout", "streams of the model are still running"};
    }
    loading_.clear();
    draining_.erase(model);
  }
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  Json json;
  json["unloaded"] = models_.Remove(model);
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> EngineServer::ChangeRole(net::HttpExchange& exchange) {
  const Json body = ParseObject(exchange.request().body());
  const auto role = body.at("role").get<std::string>();
  if (std::find(kRoles.begin(), kRoles.end(), role) == kRoles.end()) {
    throw ToolError("role must be serve, prefill or decode");
  }
  if (!co_await PassFaults(exchange)) co_return;
  const Refusal refusal = models_.CheckFencing("role", body.value("fencing", std::uint64_t{0}));
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  role_ = role;
  Json json;
  json["role"] = role_;
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> EngineServer::ShowState(net::HttpExchange& exchange) {
  Json json;
  json["role"] = role_;
  json["loading"] = loading_;
  json["draining"] = draining_;
  json["running"] = slots_.running();
  json["queued"] = slots_.queued();
  json["loaded"] = Json::array();
  for (const auto& [model, version] : models_.versions()) {
    json["loaded"].push_back(ToJson(*version));
  }
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> EngineServer::ReportLoad(net::HttpExchange& exchange) {
  const LoadSample sample = history_.Report(Now());
  Json json;
  json["running"] = sample.running;
  json["queued"] = sample.queued;
  json["slots"] = slots_.slots();
  json["completed"] = sample.completed;
  json["tokens"] = sample.tokens;
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> EngineServer::ListCacheEvents(net::HttpExchange& exchange) {
  const std::string text = exchange.Query("after");
  std::uint64_t after = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), after);
  if (!text.empty() && (problem != std::errc() || end != text.data() + text.size())) {
    throw ToolError("after is not a number");
  }
  Json json;
  json["events"] = Json::array();
  for (const auto& event : cache_.EventsAfter(after, Now())) {
    Json row;
    row["sequence"] = event.sequence;
    row["type"] = event.stored ? "stored" : "evicted";
    row["block"] = event.block;
    json["events"].push_back(std::move(row));
  }
  co_await exchange.Respond(200, json.dump());
}

}  // namespace wagtailslip::tools
