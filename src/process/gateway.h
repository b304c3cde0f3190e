#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control_client.h"
#include "dispatcher.h"
#include "once_keys.h"
#include "wagtailslip/net/http_client.h"
#include "wagtailslip/net/http_server.h"
#include "wagtailslip/net/peer_transport.h"
#include "wagtailslip/process/access.h"
#include "wagtailslip/process/entry_settings.h"
#include "wagtailslip/process/metrics.h"
#include "wagtailslip/traffic/answer_check.h"
#include "wagtailslip/traffic/call_policy.h"

namespace wagtailslip::process {

/// Parts of an entry process that its traffic threads share.
struct EntryShared {
  const EntrySettings& settings;
  const Access& access;
  Metrics& metrics;
  Dispatcher& dispatcher;
  const PublishedCell& published;
  OnceKeys& once_keys;
  /// Counters of the frames between processes.
  std::function<net::PeerCounters()> frames;
  ControlClient control;
};

/// A call of a caller on its way to an endpoint.
struct Call {
  std::string account;
  std::string kind;
  /// Id that the caller gave, or the internal one.
  std::string request_id;
  /// Id towards endpoints; unique over all processes.
  std::string upstream_id;
  std::string key;
  config::Rule rule;
  config::CallClass call_class = config::CallClass::kRepeatable;
  /// The process held its lease when it read the rule, so the rule is no older than the lease
  /// allows.
  bool lease = false;
  std::uint64_t queue_id = 0;
  TimePoint received{};
  TimePoint deadline{};
  std::string model;
  std::string adapter;
  config::EndpointRole role = config::EndpointRole::kEngine;
  bool stream = false;
  double tokens = 1;
  std::vector<std::uint64_t> prefix;
  net::http::verb method = net::http::verb::post;
  std::string target;
  std::string body;
};

/// Answers callers on one traffic thread: addresses, chat completions and service calls.
class Gateway {
 public:
  Gateway(EntryShared& shared, net::asio::any_io_executor executor)
      : shared_(shared), pool_(std::move(executor)) {}

  /// @return false if the path is not one of a caller
  static bool Serves(std::string_view path);
  net::Task<void> Handle(net::HttpExchange& exchange);

 private:
  /// Final answer of a call that is not streamed.
  struct Answer {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::string version;
    std::string endpoint;
  };
  /// How the attempts of a call ended.
  struct Ending {
    config::CallOutcome outcome = config::CallOutcome::kUnknown;
    std::optional<Answer> answer;
    std::string code;
    std::string message;
    Duration retry_after{};
    /// The answer was streamed and needs no further response.
    bool streamed = false;
    double tokens = 0;
  };
  struct Attempt;

  net::Task<void> HandleAddresses(net::HttpExchange& exchange);
  Call MakeCall(const net::HttpExchange& exchange, TimePoint now) const;
  void ReadChat(const net::HttpExchange& exchange, Call& call) const;
  void ReadService(const net::HttpExchange& exchange, Call& call) const;
  net::Task<void> Serve(net::HttpExchange& exchange, Call& call);
  net::Task<QueueOutcome> WaitForSlot(const Call& call);
  net::Task<void> ServeOnce(net::HttpExchange& exchange, Call& call);
  using RecordedCall = std::optional<config::Call>;
  net::Task<RecordedCall> FindRecorded(const Call& call);
  /// Answers from the recorded outcome, waiting for it until the deadline.
  net::Task<void> ServeRecorded(net::HttpExchange& exchange, const Call& call);
  /// Answers that the call was not run.
  net::Task<void> RespondNotRun(net::HttpExchange& exchange, const Call& call, std::string code,
                                std::string message, Duration retry_after);
  /// Proposes the outcome until it is answered, then frees the key.
  net::Task<void> RecordNotRun(std::string key, config::OutcomeRecorded outcome);
  net::Task<void> RunOnce(net::HttpExchange& exchange, const Call& call, std::uint32_t attempt);
  net::Task<Ending> RunAttempts(net::HttpExchange& exchange, const Call& call);
  net::Task<void> TryOnce(net::HttpExchange& exchange, const Call& call, Attempt& attempt);
  net::Task<void> ReadAnswer(net::HttpExchange& exchange, const Call& call, Attempt& attempt,
                             net::HttpConnection& connection);
  net::Task<void> CancelUpstream(net::tcp::endpoint address, std::string upstream_id);
  net::Task<void> Finish(net::HttpExchange& exchange, const Call& call, Ending ending);
  net::HttpRequest UpstreamRequest(const Call& call, const Attempt& attempt) const;

  EntryShared& shared_;
  net::HttpPool pool_;
};

}  // namespace wagtailslip::process
