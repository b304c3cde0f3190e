// Attempts of one call at endpoints: routing, sending, checking, resuming.
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "api_error.h"
#include "gateway.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

using net::Task;
using traffic::AnswerVerdict;
using traffic::AttemptResult;
using traffic::CallAction;
using traffic::CallFailure;

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kShortest = std::chrono::milliseconds(1);
constexpr int kMostAttempts = 4;

struct VerdictRow {
  AnswerVerdict verdict;
  CallFailure failure;
};

constexpr VerdictRow kVerdictRows[] = {
    {AnswerVerdict::kWrongRequest, CallFailure::kWrongRequest},
    {AnswerVerdict::kMissingIdentity, CallFailure::kWrongRequest},
    {AnswerVerdict::kWrongVersion, CallFailure::kWrongVersion},
};

CallFailure FailureOf(AnswerVerdict verdict) {
  for (const auto& row : kVerdictRows) {
    if (row.verdict == verdict) return row.failure;
  }
  return CallFailure::kIncomplete;
}

struct ResultRow {
  CallFailure failure;
  AttemptResult result;
};

// A refusal shows that the endpoint is alive, so it counts as a success for its health.
constexpr ResultRow kResultRows[] = {
    {CallFailure::kConnect, AttemptResult::kConnectFailed},
    {CallFailure::kRefused, AttemptResult::kSuccess},
    {CallFailure::kTimeout, AttemptResult::kTimeout},
};

AttemptResult ResultOf(const std::optional<CallFailure>& failure) {
  if (!failure) return AttemptResult::kSuccess;
  for (const auto& row : kResultRows) {
    if (row.failure == *failure) return row.result;
  }
  return AttemptResult::kBroken;
}

traffic::AnswerHeader ToAnswerHeader(const net::HttpResponse& response) {
  traffic::AnswerHeader header;
  header.request_id = response.Header("X-Request-Id");
  header.version = response.Header("X-Model-Version");
  const std::string length = response.Header("Content-Length");
  if (response.Header("Content-Type").starts_with("text/event-stream")) {
    header.framing = traffic::AnswerFraming::kEventStream;
  } else if (length.empty()) {
    header.framing = traffic::AnswerFraming::kChunked;
  } else {
    std::from_chars(length.data(), length.data() + length.size(), header.content_length);
  }
  return header;
}

/// Whether the endpoint confirmed that it did not start the call: docs/interfaces.md asks for
/// Retry-After with 429 and 503.
bool Refused(const net::HttpResponse& response) {
  return (response.status == 429 || response.status == 503) &&
         !response.Header("Retry-After").empty();
}

Duration RetryAfter(const net::HttpResponse& response) {
  const std::string text = response.Header("Retry-After");
  int seconds = 1;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(std::clamp(seconds, 1, 3600));
}

}  // namespace

/// State of one call over its attempts.
struct Gateway::Attempt {
  explicit Attempt(const Call& call) : policy(call.call_class) {}

  traffic::CallPolicy policy;
  traffic::RouteChoice choice;
  std::optional<traffic::AnswerCheck> check;
  std::vector<std::string> excluded;
  /// The next attempt resumes the stream.
  bool resume = false;
  std::optional<CallFailure> failure;
  Duration retry_after = std::chrono::seconds(1);
  Answer answer;
  std::uint64_t pieces = 0;
};

net::HttpRequest Gateway::UpstreamRequest(const Call& call, const Attempt& attempt) const {
  net::HttpHeaders headers;
  headers.emplace_back("X-Request-Id", call.upstream_id);
  headers.emplace_back("X-Priority", std::to_string(call.rule.priority));
  headers.emplace_back("X-Account", call.account);
  if (!call.key.empty()) headers.emplace_back("Idempotency-Key", call.account + ":" + call.key);
  if (attempt.resume) {
    nlohmann::json body;
    const auto original = nlohmann::json::parse(call.body);
    body["request_id"] = call.upstream_id;
    body["offset"] = attempt.check->next_token();
    body["model"] = original.at("model");
    body["version"] = attempt.choice.version.Hex();
    body["stream"] = true;
    if (original.contains("max_tokens")) body["max_tokens"] = original["max_tokens"];
    return net::MakeRequest(net::http::verb::post, "/admin/resume", body.dump(), headers);
  }
  return net::MakeRequest(call.method, call.target, call.body, headers);
}

Task<void> Gateway::ReadAnswer(net::HttpExchange& exchange, const Call& call, Attempt& attempt,
                               net::HttpConnection& connection) {
  auto& check = *attempt.check;
  while (true) {
    const Duration left = std::max(call.deadline - MonotonicNow(), kShortest);
    const auto piece = co_await connection.ReadSome(left);
    if (!piece) break;
    std::string forward;
    check.OnPiece(*piece, forward);
    if (!call.stream) {
      attempt.answer.body += forward;
    } else if (!forward.empty()) {
      if (!exchange.responded()) {
        attempt.policy.OnAnswerStarted();
        shared_.metrics.Record(Latency::kFirstByte, MonotonicNow() - call.received);
        net::HttpHeaders headers;
        headers.emplace_back("X-Request-Id", call.request_id);
        headers.emplace_back("X-Model-Version", attempt.answer.version);
        headers.emplace_back("X-Endpoint", attempt.answer.endpoint);
        headers.emplace_back("X-Outcome", "streaming");
        co_await exchange.StartStream(200, headers, "text/event-stream");
      }
      ++attempt.pieces;
      shared_.metrics.Add(Counter::kTokens);
      co_await exchange.WriteChunk(forward);
    }
    if (check.verdict() != AnswerVerdict::kPending) break;
  }
  if (check.verdict() == AnswerVerdict::kPending) check.OnEnd();
}

Task<void> Gateway::TryOnce(net::HttpExchange& exchange, const Call& call, Attempt& attempt) {
  attempt.failure.reset();
  const auto& endpoint = *attempt.choice.endpoint;
  const auto address = net::ParseAddress(endpoint.address);
  // A kept connection may be stale, which would leave the fate of a call unknown.
  const bool fresh = call.call_class == config::CallClass::kAtMostOnce;
  std::unique_ptr<net::HttpConnection> connection;
  try {
    connection = co_await pool_.Acquire(address, kConnectTimeout, fresh);
  } catch (const net::NetError&) {
    attempt.failure = CallFailure::kConnect;
    co_return;
  }
  auto request = UpstreamRequest(call, attempt);
  attempt.policy.OnBytesSent();
  try {
    const Duration left = std::max(call.deadline - MonotonicNow(), kShortest);
    const auto header = co_await connection->Start(std::move(request), left);
    if (Refused(header)) {
      attempt.failure = CallFailure::kRefused;
      attempt.retry_after = RetryAfter(header);
      connection->Close();
      co_return;
    }
    if (!attempt.resume) {
      attempt.answer = Answer{};
      attempt.answer.endpoint = endpoint.id;
      attempt.answer.status = header.status;
      attempt.answer.content_type = header.Header("Content-Type");
      attempt.answer.version = header.Header("X-Model-Version");
      attempt.check->OnHeader(ToAnswerHeader(header));
    } else if (header.status != 200) {
      attempt.failure = CallFailure::kIncomplete;
    } else {
      attempt.check->Resume();
      attempt.check->OnHeader(ToAnswerHeader(header));
    }
    if (!attempt.failure && attempt.check->verdict() == AnswerVerdict::kPending) {
      co_await ReadAnswer(exchange, call, attempt, *connection);
    }
  } catch (const net::TimeoutError&) {
    attempt.failure = CallFailure::kTimeout;
    attempt.check->OnLost();
  } catch (const net::NetError&) {
    attempt.failure = CallFailure::kConnectionLost;
    attempt.check->OnLost();
  }
  if (!attempt.failure && attempt.check->verdict() != AnswerVerdict::kComplete) {
    attempt.failure = FailureOf(attempt.check->verdict());
    shared_.metrics.Add(Counter::kAnswerRejected);
    LogEvent(Event::kAnswerRejected,
             {{"request_id", call.request_id},
              {"endpoint", endpoint.id},
              {"verdict", traffic::kAnswerVerdicts.Name(attempt.check->verdict())}});
  }
  if (attempt.failure) {
    connection->Close();
  } else {
    pool_.Release(address, std::move(connection));
  }
}

Task<void> Gateway::CancelUpstream(net::tcp::endpoint address, std::string upstream_id) {
  nlohmann::json body;
  body["request_id"] = upstream_id;
  auto request = net::MakeRequest(net::http::verb::post, "/admin/cancel", body.dump());
  try {
    co_await net::CallOnce(address, std::move(request), kConnectTimeout);
  } catch (const net::NetError&) {
    // The engine ends the work by itself when it next writes to the closed connection.
  }
}

Task<Gateway::Ending> Gateway::RunAttempts(net::HttpExchange& exchange, const Call& call) {
  Attempt attempt(call);
  Ending ending;
  CallAction action = CallAction::kAnswerNotRun;
  ending.code = "no_endpoint";
  ending.message = "no endpoint can serve the request now";
  for (int n = 0; n < kMostAttempts && MonotonicNow() < call.deadline; ++n) {
    traffic::RouteRequest route;
    route.model = call.model;
    route.kind = call.role;
    route.adapter = call.adapter;
    route.excluded = attempt.excluded;
    route.prefix = call.prefix;
    route.may_probe = call.call_class != config::CallClass::kAtMostOnce;
    if (attempt.resume) route.version = attempt.choice.version;
    const auto choice = shared_.dispatcher.Choose(route, MonotonicNow());
    if (choice.endpoint == nullptr) {
      action = attempt.policy.GiveUp();
      break;
    }
    attempt.choice = choice;
    if (!attempt.check) {
      const bool engine = call.role == config::EndpointRole::kEngine;
      attempt.check.emplace(call.upstream_id,
                            engine ? std::optional(choice.version) : std::nullopt);
    }
    shared_.dispatcher.Started(choice, route, MonotonicNow());
    std::exception_ptr caller_lost;
    try {
      co_await TryOnce(exchange, call, attempt);
    } catch (const std::exception&) {
      caller_lost = std::current_exception();
    }
    shared_.dispatcher.Finished(choice.endpoint->id, ResultOf(attempt.failure), MonotonicNow());
    if (caller_lost) std::rethrow_exception(caller_lost);
    if (!attempt.failure) {
      if (call.stream && exchange.stream_open()) co_await exchange.EndStream();
      ending.outcome = config::CallOutcome::kComplete;
      ending.streamed = exchange.responded();
      ending.answer = std::move(attempt.answer);
      ending.tokens = std::max(1.0, static_cast<double>(attempt.pieces));
      co_return ending;
    }
    ending.code = traffic::kCallFailures.Name(*attempt.failure);
    ending.message = "the endpoint failed";
    ending.retry_after = attempt.retry_after;
    attempt.excluded.push_back(choice.endpoint->id);
    const TimePoint now = MonotonicNow();
    const bool possible = n + 1 < kMostAttempts && now < call.deadline &&
                          (!exchange.responded() || attempt.check->resumable()) &&
                          shared_.dispatcher.TakeRetry(now);
    action = attempt.policy.OnFailure(*attempt.failure, possible);
    attempt.resume = action == CallAction::kResumeStream;
    if (action == CallAction::kRetryElsewhere) attempt.check.reset();
    if (action != CallAction::kRetryElsewhere && action != CallAction::kResumeStream) break;
    shared_.metrics.Add(Counter::kRetries);
  }
  if (action == CallAction::kRetryElsewhere || action == CallAction::kResumeStream) {
    action = attempt.policy.GiveUp();
  }
  ending.outcome = action == CallAction::kAnswerNotRun ? config::CallOutcome::kNotRun
                                                       : config::CallOutcome::kUnknown;
  if (action == CallAction::kCutStream && exchange.stream_open()) {
    shared_.metrics.Add(Counter::kStreamCut);
    LogEvent(Event::kStreamCut, {{"request_id", call.request_id}, {"code", ending.code}});
    ending.streamed = true;
    // The stream ends without its end marker and the connection is closed, so that the caller
    // cannot take it for a whole answer.
    const std::string event =
        "event: error\ndata: " +
        FormatError("stream_cut", "the answer could not be completed", "", call.request_id) +
        "\n\n";
    exchange.CloseAfter();
    co_await exchange.WriteChunk(event);
  }
  co_return ending;
}

}  // namespace wagtailslip::process
