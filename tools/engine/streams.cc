#include "engine/engine_server.h"

namespace wagtailslip::tools {
namespace {

/// Finished jobs kept for a resume or an export.
constexpr std::size_t kRemembered = 10'000;
constexpr std::uint32_t kResumePriority = 0;

std::string KvDigest(const Json& json) { return Sha256(json.dump()).Hex(); }

}  // namespace

JobPtr EngineServer::FindJob(const std::string& request_id) const {
  const auto running = running_.find(request_id);
  if (running != running_.end()) return running->second;
  const auto it = remembered_by_id_.find(request_id);
  return it == remembered_by_id_.end() ? nullptr : it->second;
}

void EngineServer::Remember(const JobPtr& job) {
  remembered_.push_back(job);
  remembered_by_id_[job->request_id] = job;
  if (remembered_.size() <= kRemembered) return;
  const auto it = remembered_by_id_.find(remembered_.front()->request_id);
  if (it != remembered_by_id_.end() && it->second == remembered_.front()) {
    remembered_by_id_.erase(it);
  }
  remembered_.pop_front();
}

net::Task<void> EngineServer::Cancel(net::HttpExchange& exchange) {
  const Json body = ParseObject(exchange.request().body());
  const auto id = body.at("request_id").get<std::string>();
  bool found = false;
  for (const auto* jobs : {&waiting_, &running_}) {
    const auto it = jobs->find(id);
    if (it == jobs->end()) continue;
    it->second->cancelled = true;
    found = true;
  }
  Json json;
  json["cancelled"] = found;
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> EngineServer::Resume(net::HttpExchange& exchange) {
  ++counters_["resumes"];
  const Json body = ParseObject(exchange.request().body());
  const auto id = body.at("request_id").get<std::string>();
  const auto offset = body.at("offset").get<std::uint64_t>();
  if (!co_await PassFaults(exchange)) co_return;
  const JobPtr known = FindJob(id);
  ChatRequest request;
  request.job = known != nullptr ? std::make_shared<Job>(*known) : std::make_shared<Job>();
  request.job->request_id = id;
  request.job->cancelled = false;
  request.job->offset = offset;
  const std::uint64_t otherwise = known != nullptr ? known->max_tokens : settings_.max_tokens;
  request.job->max_tokens = body.value("max_tokens", otherwise);
  request.model = body.value("model", known != nullptr ? known->version->model : std::string());
  request.stream = body.value("stream", true);
  request.priority = RequestPriority(exchange, body, kResumePriority);
  if (request.model.empty()) {
    co_await RespondError(exchange, 404, "unknown_request",
                          "no such request; name its model, version and max_tokens");
    co_return;
  }
  // A stream that was cut between its last token and its end is resumed with nothing left.
  if (offset > request.job->max_tokens) throw ToolError("offset is above max_tokens");
  if (body.contains("version")) {
    // Only the digest counts here; Run compares it with the version that is loaded.
    LoadedVersion version;
    version.model = request.model;
    version.root = body["version"].get<std::string>();
    request.job->version = std::make_shared<const LoadedVersion>(std::move(version));
  }
  // One stream per request: what still runs here ends before its successor starts.
  const auto running = running_.find(id);
  if (running != running_.end()) running->second->cancelled = true;
  co_await Run(exchange, std::move(request));
}

net::Task<void> EngineServer::ExportKv(net::HttpExchange& exchange) {
  const Json body = ParseObject(exchange.request().body());
  const auto id = body.at("request_id").get<std::string>();
  if (!co_await PassFaults(exchange)) co_return;
  const JobPtr job = FindJob(id);
  if (job == nullptr) {
    co_await RespondError(exchange, 404, "unknown_request", "no such request");
    co_return;
  }
  Json json;
  json["request_id"] = job->request_id;
  json["model"] = job->version->model;
  json["version"] = job->version->root;
  json["max_tokens"] = job->max_tokens;
  json["offset"] = job->done;
  json["blocks"] = job->blocks;
  json["fingerprint"] = job->fingerprint;
  json["digest"] = KvDigest(json);
  if (faults().Hit(&FaultValues::corrupt)) json["offset"] = job->done + 1;
  ++counters_["kv_exports"];
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> EngineServer::ImportKv(net::HttpExchange& exchange) {
  Json json = ParseObject(exchange.request().body());
  const auto digest = json.at("digest").get<std::string>();
  json.erase("digest");
  if (!co_await PassFaults(exchange)) co_return;
  Refusal refusal;
  const LoadedPtr version = models_.Find(json.at("model").get<std::string>());
  if (KvDigest(json) != digest) {
    refusal = Refusal{422, "corrupt_kv", "the digest doesn't match"};
  } else if (version == nullptr || version->root != json.at("version").get<std::string>()) {
    refusal = Refusal{409, "version_mismatch", "the cache belongs to another version"};
  }
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  auto job = std::make_shared<Job>();
  job->request_id = json.at("request_id").get<std::string>();
  job->version = version;
  job->max_tokens = json.at("max_tokens").get<std::uint64_t>();
  job->done = json.at("offset").get<std::uint64_t>();
  job->blocks = json.at("blocks").get<std::vector<std::uint64_t>>();
  job->fingerprint = json.at("fingerprint").get<std::string>();
  cache_.Use(job->blocks, Now());
  Remember(job);
  ++counters_["kv_imports"];
  Json answer;
  answer["request_id"] = job->request_id;
  answer["offset"] = job->done;
  co_await exchange.Respond(200, answer.dump());
}

}  // namespace wagtailslip::tools
