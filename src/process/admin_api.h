#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entry_views.h"
#include "gateway.h"

namespace wagtailslip::process {

/// The administration API on one traffic thread: rollouts, rules, sheets, endpoints, status, state
/// dump and metrics.
class AdminApi {
 public:
  explicit AdminApi(EntryShared& shared) : shared_(shared) {}

  /// Answers every path that is not one of a caller.
  net::Task<void> Handle(net::HttpExchange& exchange);

 private:
  using View = std::function<Json(const EntryControl&, TimePoint)>;

  /// View of a path that only reads; empty if there is none.
  View FindView(const net::HttpExchange& exchange) const;
  net::Task<void> Route(net::HttpExchange& exchange, const Operator& op);
  net::Task<void> RespondView(net::HttpExchange& exchange, View view);
  net::Task<void> CreateRollout(net::HttpExchange& exchange, const Operator& op);
  net::Task<void> ControlRollout(net::HttpExchange& exchange, const Operator& op, std::string id,
                                 std::string action);
  net::Task<void> SetRule(net::HttpExchange& exchange, const Operator& op);
  net::Task<void> HandleSheet(net::HttpExchange& exchange, const Operator& op);
  net::Task<void> Drain(net::HttpExchange& exchange, const Operator& op, std::string id);
  net::Task<void> ShowRevision(net::HttpExchange& exchange, std::string number);
  net::Task<void> ShowDump(net::HttpExchange& exchange);
  net::Task<Digest> FetchRoot(std::string origin, std::string model, std::string version);
  /// Commits an operator command and answers with its result.
  net::Task<void> Commit(net::HttpExchange& exchange, const Operator& op, config::Record record,
                         std::string request_id);

  EntryShared& shared_;
};

}  // namespace wagtailslip::process
