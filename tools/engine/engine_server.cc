#include "engine/engine_server.h"

#include <sstream>

namespace wagtailslip::tools {
namespace {

LoadedVersion ParsePreload(const std::string& text) {
  LoadedVersion version;
  std::istringstream stream(text);
  std::getline(stream, version.model, ':');
  std::getline(stream, version.version, ':');
  std::getline(stream, version.root);
  if (version.model.empty() || version.version.empty()) {
    throw ToolError("preload '" + text + "' is not model:version[:root]");
  }
  if (version.root.empty()) version.root = Sha256(version.model + ":" + version.version).Hex();
  if (!Digest::FromHex(version.root)) throw ToolError("preload '" + text + "': wrong root");
  return version;
}

}  // namespace

const std::vector<std::string_view>& EngineServer::FaultNames() {
  static const std::vector<std::string_view> kNames{
      "delay_ms", "stall",     "fail",  "refuse",        "corrupt",
      "die",      "die_after", "cross", "wrong_version", "load_fail"};
  return kNames;
}

EngineServer::EngineServer(const EngineSettings& settings)
    : ToolServer(FaultNames(), settings.server),
      settings_(settings),
      models_(settings.ignore_fencing),
      slots_(settings.slots),
      cache_(settings.cache),
      history_(std::chrono::milliseconds(settings.report_lag_ms)) {
  for (const auto& text : settings.preload) models_.Put(ParsePreload(text));
  using net::http::verb;
  Route(verb::post, "/v1/chat/completions", [this](auto& exchange) { return Chat(exchange); });
  RouteAdmin(verb::post, "/admin/load", &EngineServer::Load);
  RouteAdmin(verb::post, "/admin/unload", &EngineServer::Unload);
  RouteAdmin(verb::post, "/admin/role", &EngineServer::ChangeRole);
  RouteAdmin(verb::post, "/admin/cancel", &EngineServer::Cancel);
  RouteAdmin(verb::post, "/admin/resume", &EngineServer::Resume);
  RouteAdmin(verb::post, "/admin/kv/export", &EngineServer::ExportKv);
  RouteAdmin(verb::post, "/admin/kv/import", &EngineServer::ImportKv);
  RouteAdmin(verb::get, "/admin/state", &EngineServer::ShowState);
  RouteAdmin(verb::get, "/admin/load-report", &EngineServer::ReportLoad);
  RouteAdmin(verb::get, "/admin/cache-events", &EngineServer::ListCacheEvents);
}

Json EngineServer::Counters() const {
  Json json(counters_);
  json["running"] = slots_.running();
  json["queued"] = slots_.queued();
  json["cache_blocks"] = cache_.size();
  json["cache_events_dropped"] = cache_.events_dropped();
  return json;
}

void EngineServer::RecordLoad() {
  history_.Record(LoadSample{Now(), slots_.running(), slots_.queued(), counters_["completed"],
                             counters_["tokens"]});
}

}  // namespace wagtailslip::tools
