#include <algorithm>
#include <cmath>

#include "common/token_text.h"
#include "engine/engine_server.h"

namespace wagtailslip::tools {

std::uint32_t RequestPriority(const net::HttpExchange& exchange, const Json& body,
                              std::uint32_t otherwise) {
  const std::string header(exchange.Header("X-Priority"));
  if (header.empty()) return body.value("priority", otherwise);
  char* end = nullptr;
  const unsigned long value = std::strtoul(header.c_str(), &end, 10);
  if (*end != '\0' || value > UINT32_MAX) throw ToolError("X-Priority is not a number");
  return static_cast<std::uint32_t>(value);
}

namespace {

constexpr std::uint32_t kDefaultPriority = 5;

constexpr std::uint64_t kMaxTokens = 1'000'000;
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kDone = "data: [DONE]\n\n";
/// Part of the first-token time that remains when the whole prompt is cached.
constexpr double kCachedShare = 0.1;

Duration FromMs(double ms) { return std::chrono::nanoseconds(std::llround(ms * 1e6)); }

Json Envelope(const Job& job, const char* object) {
  Json json;
  json["id"] = job.request_id;
  json["object"] = object;
  json["created"] = 0;
  json["model"] = job.version->model;
  if (!job.fingerprint.empty()) json["system_fingerprint"] = job.fingerprint;
  return json;
}

std::string Event(const Job& job, std::string_view content, const char* finish_reason) {
  Json choice;
  choice["index"] = 0;
  choice["delta"] = Json::object();
  if (!content.empty()) choice["delta"]["content"] = content;
  choice["finish_reason"] = nullptr;
  if (finish_reason != nullptr) choice["finish_reason"] = finish_reason;
  Json json = Envelope(job, "chat.completion.chunk");
  json["choices"] = Json::array();
  json["choices"].push_back(std::move(choice));
  return "data: " + json.dump() + "\n\n";
}

const char* FinishReason(const Job& job) { return job.cancelled ? "cancelled" : "length"; }

/// Events of one stream, each with the token's offset in its `id:` field. Only the token differs
/// between them, and tokens need no escapes, so the rest is serialised once.
class TokenEvents {
 public:
  explicit TokenEvents(const Job& job) : job_(job) {
    constexpr std::string_view kMark = "<token>";
    const std::string event = Event(job, kMark, nullptr);
    const auto at = event.rfind(kMark);
    before_ = event.substr(0, at);
    after_ = event.substr(at + kMark.size());
  }

  /// The event of the job's next token. The last one also carries the finish reason, because an
  /// event without a token has no offset.
  std::string Next(std::string_view token) const {
    const std::string id = "id: " + std::to_string(job_.done) + "\n";
    if (job_.done + 1 == job_.max_tokens) return id + Event(job_, token, FinishReason(job_));
    return id + before_ + std::string(token) + after_;
  }

 private:
  const Job& job_;
  std::string before_;
  std::string after_;
};

std::string WholeAnswer(const Job& job, std::string text) {
  Json choice;
  choice["index"] = 0;
  choice["message"]["role"] = "assistant";
  choice["message"]["content"] = std::move(text);
  choice["finish_reason"] = FinishReason(job);
  Json json = Envelope(job, "chat.completion");
  json["choices"] = Json::array();
  json["choices"].push_back(std::move(choice));
  json["usage"]["completion_tokens"] = job.done - job.offset;
  return json.dump();
}

}  // namespace

net::Task<void> EngineServer::Chat(net::HttpExchange& exchange) {
  ++counters_["requests"];
  const Json body = ParseObject(exchange.request().body());
  ChatRequest request;
  request.job = std::make_shared<Job>();
  request.job->request_id = exchange.Header("X-Request-Id");
  if (request.job->request_id.empty()) {
    request.job->request_id = "engine-" + std::to_string(next_id_++);
  }
  request.model = body.at("model").get<std::string>();
  request.stream = body.value("stream", false);
  request.priority = RequestPriority(exchange, body, kDefaultPriority);
  request.job->max_tokens = body.value("max_tokens", settings_.max_tokens);
  if (request.job->max_tokens == 0 || request.job->max_tokens > kMaxTokens) {
    throw ToolError("max_tokens must lie between 1 and " + std::to_string(kMaxTokens));
  }
  const std::string prompt = PromptText(body.at("messages"));
  request.job->fingerprint = ShortHash(prompt);
  if (!co_await PassFaults(exchange)) co_return;
  const auto version = models_.Find(request.model);
  if (version != nullptr) request.job->blocks = cache_.Blocks(version->root, prompt);
  co_await Run(exchange, std::move(request));
}

net::Task<void> EngineServer::Run(net::HttpExchange& exchange, ChatRequest request) {
  Refusal refusal;
  if (role_ == "prefill") {
    refusal = Refusal{503, "wrong_role", "this engine only prefills"};
  } else if (models_.Find(request.model) == nullptr) {
    refusal = Refusal{404, "model_not_loaded", "model " + request.model + " is not loaded"};
  } else if (Draining(*models_.Find(request.model))) {
    refusal = Refusal{503, "loading", "model " + request.model + " is being replaced"};
  } else if (slots_.queued() >= settings_.queue_limit) {
    refusal = Refusal{503, "overloaded", "the queue is full"};
  }
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  // The queue grows once this coroutine waits, so the sample after the wait shows it shrinking.
  RecordLoad();
  waiting_[request.job->request_id] = request.job;
  const SlotQueue::Lease lease = co_await slots_.Acquire(request.priority);
  waiting_.erase(request.job->request_id);
  RecordLoad();
  // The version is taken with the slot: a request that waited through a swap gets the new one.
  const LoadedPtr version = models_.Find(request.model);
  if (request.job->cancelled) {
    refusal = Refusal{409, "cancelled", "cancelled before it was started"};
  } else if (version == nullptr || Draining(*version)) {
    refusal = Refusal{503, "loading", "model " + request.model + " is being replaced"};
  } else if (request.job->version != nullptr && request.job->version->root != version->root) {
    refusal = Refusal{409, "version_mismatch", "the stream's version is no longer loaded"};
  }
  if (refusal) {
    co_await RespondRefusal(exchange, refusal);
    co_return;
  }
  request.job->version = version;
  co_await Generate(exchange, request.job, request.stream);
}

net::Task<void> EngineServer::Generate(net::HttpExchange& exchange, JobPtr job, bool stream) {
  JobPtr own = job;
  if (faults().Hit(&FaultValues::cross)) {
    if (co_await cross_.Swap(job)) ++counters_["crossed"];
  }
  running_[own->request_id] = job;
  bool failed = false;
  try {
    co_await GenerateTokens(exchange, *job, stream);
  } catch (const net::NetError&) {
    failed = true;
  }
  const auto it = running_.find(own->request_id);
  if (it != running_.end() && it->second == job) running_.erase(it);
  Remember(job);
  ++counters_[failed ? "connections_lost" : job->cancelled ? "cancelled" : "completed"];
  RecordLoad();
  if (failed) throw net::NetError("the caller's connection failed");
}

net::Task<void> EngineServer::GenerateTokens(net::HttpExchange& exchange, Job& job, bool stream) {
  const TokenText tokens(job.version->model, job.version->root, job.request_id);
  const TokenEvents events(job);
  const bool truncate = faults().Hit(&FaultValues::corrupt);
  const std::uint64_t cut = job.offset + (job.max_tokens - job.offset) / 2;
  job.done = job.offset;
  if (stream) co_await exchange.StartStream(200, AnswerHeaders(job), kEventStream);
  std::string text;
  TimePoint due = Now() + FirstTokenTime(job);
  while (job.done < job.max_tokens && !job.cancelled) {
    if (faults().values().stall >= 1) co_await Stall();
    co_await SleepUntil(due);
    if (job.cancelled) break;
    due = std::max(due, Now() - TokenTime()) + TokenTime();
    const std::string token = tokens.At(job.done);
    if (stream) {
      if (truncate && job.done >= cut) {
        ++counters_["truncated"];
        // Every second truncated stream ends as if it were whole at the level of HTTP.
        if (counters_["truncated"] % 2 == 0) co_await exchange.EndStream();
        co_return;
      }
      co_await exchange.WriteChunk(events.Next(token));
    } else {
      text += token;
    }
    ++job.done;
    ++counters_["tokens"];
  }
  if (truncate && !stream) {
    ++counters_["truncated"];
    text.resize(text.size() / 2);
    std::string body = WholeAnswer(job, std::move(text));
    body.resize(body.size() / 2);
    co_await exchange.Respond(200, std::move(body), AnswerHeaders(job));
    co_return;
  }
  co_await EndAnswer(exchange, job, stream, std::move(text));
}

net::Task<void> EngineServer::EndAnswer(net::HttpExchange& exchange, const Job& job, bool stream,
                                        std::string text) {
  if (!stream) {
    co_await exchange.Respond(200, WholeAnswer(job, std::move(text)), AnswerHeaders(job));
    co_return;
  }
  if (job.cancelled) co_await exchange.WriteChunk(Event(job, "", FinishReason(job)));
  co_await exchange.WriteChunk(kDone);
  co_await exchange.EndStream();
}

net::HttpHeaders EngineServer::AnswerHeaders(const Job& job) {
  std::string root = job.version->root;
  if (faults().Hit(&FaultValues::wrong_version)) root = Sha256("wrong " + root).Hex();
  net::HttpHeaders headers;
  headers.emplace_back("X-Model-Version", std::move(root));
  headers.emplace_back("X-Request-Id", job.request_id);
  return headers;
}

Duration EngineServer::TokenTime() const {
  const double load = static_cast<double>(slots_.running()) / static_cast<double>(slots_.slots());
  return FromMs(settings_.token_ms * (1 + settings_.batch_slowdown * load));
}

Duration EngineServer::FirstTokenTime(const Job& job) {
  const std::uint64_t hits = cache_.Use(job.blocks, Now());
  counters_["cache_hits"] += hits;
  counters_["cache_misses"] += job.blocks.size() - hits;
  if (job.blocks.empty()) return FromMs(settings_.first_token_ms);
  const double cached = static_cast<double>(hits) / static_cast<double>(job.blocks.size());
  return FromMs(settings_.first_token_ms * std::max(kCachedShare, 1 - cached));
}

}  // namespace wagtailslip::tools
