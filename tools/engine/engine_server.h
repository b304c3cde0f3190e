#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/cross_pair.h"
#include "common/load_history.h"
#include "common/tool_server.h"
#include "engine/model_table.h"
#include "engine/prefix_cache.h"
#include "engine/slot_queue.h"

namespace wagtailslip::tools {

/// Settings of the model engine stand-in.
struct EngineSettings {
  ServerSettings server;
  std::uint64_t slots = 8;
  std::uint64_t queue_limit = 1000;
  double token_ms = 20;
  double first_token_ms = 100;
  /// Growth of the time between tokens from an idle to a full batch.
  double batch_slowdown = 0;
  std::uint64_t max_tokens = 64;
  int load_ms = 200;
  int drain_ms = 30'000;
  bool drain_on_load = true;
  bool ignore_fencing = false;
  /// Value of `Authorization: Bearer` that admin commands need; empty accepts any sender.
  std::string command_token;
  int report_lag_ms = 500;
  PrefixCacheSettings cache;
  /// Versions served from the start, `model:version[:root]`.
  std::vector<std::string> preload;
};

/// Generation of one answer.
struct Job {
  std::string request_id;
  LoadedPtr version;
  std::uint64_t max_tokens = 0;
  /// First token to generate; above 0 for a resumed stream.
  std::uint64_t offset = 0;
  std::vector<std::uint64_t> blocks;
  /// Hash of the prompt; empty for a stream resumed without its prompt.
  std::string fingerprint;
  std::uint64_t done = 0;
  bool cancelled = false;
};
using JobPtr = std::shared_ptr<Job>;

/// Priority of a request from X-Priority or the body's `priority`; 0 is served first.
std::uint32_t RequestPriority(const net::HttpExchange& exchange, const Json& body,
                              std::uint32_t otherwise);

/// Stand-in for a model engine with continuous batching.
class EngineServer : public ToolServer {
 public:
  static const std::vector<std::string_view>& FaultNames();

  /// @throws ToolError if a preload is malformed
  explicit EngineServer(const EngineSettings& settings);

 protected:
  Json Counters() const override;

 private:
  struct ChatRequest {
    JobPtr job;
    bool stream = false;
    std::uint32_t priority = 0;
    std::string model;
  };

  // Requests, in chat.cc.
  net::Task<void> Chat(net::HttpExchange& exchange);
  net::Task<void> Run(net::HttpExchange& exchange, ChatRequest request);
  net::Task<void> Generate(net::HttpExchange& exchange, JobPtr job, bool stream);
  net::Task<void> GenerateTokens(net::HttpExchange& exchange, Job& job, bool stream);
  net::Task<void> EndAnswer(net::HttpExchange& exchange, const Job& job, bool stream,
                            std::string text);
  net::HttpHeaders AnswerHeaders(const Job& job);
  Duration TokenTime() const;
  Duration FirstTokenTime(const Job& job);

  // Streams of this and other engines, in streams.cc.
  net::Task<void> Cancel(net::HttpExchange& exchange);
  net::Task<void> Resume(net::HttpExchange& exchange);
  net::Task<void> ExportKv(net::HttpExchange& exchange);
  net::Task<void> ImportKv(net::HttpExchange& exchange);
  JobPtr FindJob(const std::string& request_id) const;
  void Remember(const JobPtr& job);

  // Commands and reports, in admin.cc.
  net::Task<void> Load(net::HttpExchange& exchange);
  net::Task<Refusal> LoadVersion(LoadedVersion& version);
  net::Task<void> Unload(net::HttpExchange& exchange);
  net::Task<void> ChangeRole(net::HttpExchange& exchange);
  net::Task<void> ShowState(net::HttpExchange& exchange);
  net::Task<void> ReportLoad(net::HttpExchange& exchange);
  net::Task<void> ListCacheEvents(net::HttpExchange& exchange);
  net::Task<bool> Drain(const std::string& model);
  bool Draining(const LoadedVersion& version) const;
  net::Task<void> RespondRefusal(net::HttpExchange& exchange, const Refusal& refusal);
  void RouteAdmin(net::http::verb method, std::string path,
                  net::Task<void> (EngineServer::*handler)(net::HttpExchange&));
  void RecordLoad();

  EngineSettings settings_;
  ModelTable models_;
  SlotQueue slots_;
  PrefixCache cache_;
  LoadHistory history_;
  CrossPair<JobPtr> cross_;
  std::string role_ = "serve";
  std::string loading_;
  /// Models that take no new requests because a command waits for their streams.
  std::set<std::string> draining_;
  std::map<std::string, JobPtr> running_;
  /// Jobs that wait for a slot.
  std::map<std::string, JobPtr> waiting_;
  /// Finished and imported jobs that can be resumed or exported, oldest first.
  std::deque<JobPtr> remembered_;
  std::map<std::string, JobPtr> remembered_by_id_;
  std::map<std::string, std::uint64_t> counters_;
  std::uint64_t next_id_ = 1;
};

}  // namespace wagtailslip::tools
