#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/cross_pair.h"
#include "common/load_history.h"
#include "common/tool_server.h"

namespace wagtailslip::tools {

/// Settings of the plain service.
struct ServiceSettings {
  ServerSettings server;
  std::string name = "service";
  /// Calls that only read; their executions aren't counted by key.
  std::vector<std::string> lookups;
  /// Time that a call takes.
  int call_ms = 5;
  /// Calls that run at the same time; 0 means no limit.
  std::uint64_t slots = 0;
  int report_lag_ms = 500;
  /// File to which each execution's key is appended before the answer; empty if none.
  std::string journal;
};

/// Runs calls and counts their executions by idempotency key.
class ServiceServer : public ToolServer {
 public:
  static const std::vector<std::string_view>& FaultNames();

  /// @throws ToolError if the journal can't be opened
  explicit ServiceServer(const ServiceSettings& settings);
  ~ServiceServer() override;

 protected:
  Json Counters() const override;

 private:
  net::Task<void> Call(net::HttpExchange& exchange);
  net::Task<void> Lookup(net::HttpExchange& exchange);
  net::Task<void> Answer(net::HttpExchange& exchange, Json body);
  net::Task<void> ListExecutions(net::HttpExchange& exchange);
  net::Task<void> ReportLoad(net::HttpExchange& exchange);
  net::Task<void> Work();
  void Journal(const std::string& call, const std::string& key);
  void RecordLoad();

  ServiceSettings settings_;
  std::set<std::string, std::less<>> lookups_;
  LoadHistory history_;
  CrossPair<Json> cross_;
  std::unordered_map<std::string, std::uint64_t> executions_by_key_;
  std::map<std::string, std::uint64_t> executions_by_call_;
  std::uint64_t requests_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t lookup_count_ = 0;
  std::uint64_t without_key_ = 0;
  std::uint64_t answers_lost_ = 0;
  std::uint64_t answers_crossed_ = 0;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
  std::uint64_t completed_ = 0;
  int journal_ = -1;
};

}  // namespace wagtailslip::tools
