#pragma once

#include <memory>

#include "control_node.h"
#include "wagtailslip/net/http_server.h"

namespace wagtailslip::control {

/// Answers operators, endpoints and callers that look for an address.
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
  net::Task<void> Leave(net::HttpExchange& exchange, const std::string& endpoint);
  net::Task<void> Lookup(net::HttpExchange& exchange);
  net::Task<void> Dump(net::HttpExchange& exchange);
  /// Proposes a command and answers when it is committed or not known to be.
  net::Task<void> Commit(net::HttpExchange& exchange, Command command);
  /// Names the leader to the caller, or says that there is none.
  net::Task<void> Redirect(net::HttpExchange& exchange);
  net::Task<void> Unavailable(net::HttpExchange& exchange, std::string reason);

  net::asio::io_context& context_;
  ControlNode& node_;
  deployment::NodeSettings settings_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
};

}  // namespace wagtailslip::control
