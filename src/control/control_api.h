#pragma once

#include <memory>

#include "control_node.h"
#include "platform/json_fields.h"
#include "refusal_log.h"
#include "wagtailslip/net/http_server.h"
#include "wagtailslip/process/metrics.h"

namespace wagtailslip::control {

/// HTTP API of a control process for operators, endpoints and address lookups by callers.
class ControlApi {
 public:
  ControlApi(net::asio::io_context& context, ControlNode& node,
             const deployment::NodeSettings& settings);

  void Start();
  void StopAccepting();
  std::size_t active() const;

 private:
  net::Task<void> Handle(net::HttpExchange& exchange);
  net::Task<void> ReplaceConfig(net::HttpExchange& exchange);
  net::Task<void> ReadConfig(net::HttpExchange& exchange);
  net::Task<void> NameWeights(net::HttpExchange& exchange);
  net::Task<void> Announce(net::HttpExchange& exchange, const std::string& endpoint);
  /// Counts a refused announcement, and logs it if a line is due.
  void RecordRefusal(const std::string& endpoint, const platform::PlatformError& error,
                     TimePoint now);
  net::Task<void> Leave(net::HttpExchange& exchange, const std::string& endpoint);
  net::Task<void> Lookup(net::HttpExchange& exchange);
  /// Begins or finishes the drain of a failure domain.
  net::Task<void> Drain(net::HttpExchange& exchange, serving::DomainDrain drain);
  /// Lifts the verdict on a part of prompts for an operator.
  net::Task<void> LiftVerdict(net::HttpExchange& exchange, serving::CrashSubject subject);
  net::Task<void> DumpState(net::HttpExchange& exchange);
  /// Proposes a command and responds once it is committed, or with 503 if the outcome is unknown.
  net::Task<void> Commit(net::HttpExchange& exchange, Command command);
  /// Redirects the caller to the leader, or responds with 503 if none is known.
  net::Task<void> RedirectToLeader(net::HttpExchange& exchange);
  net::Task<void> RespondUnavailable(net::HttpExchange& exchange, std::string reason);

  net::asio::io_context& context_;
  ControlNode& node_;
  deployment::NodeSettings settings_;
  process::Metrics metrics_;
  RefusalLog refusal_log_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

}  // namespace wagtailslip::control
