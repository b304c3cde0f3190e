// Caller-facing requests: parsing, admission and the final answer. The attempts at endpoints are in
// gateway_attempts.cc, at-most-once calls in gateway_once.cc.
#include "gateway.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "api_error.h"
#include "wagtailslip/codec/chat_codec.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

using net::Task;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kAddressesPath = "/v1/addresses";
constexpr Duration kLongestDeadline = std::chrono::hours(1);
constexpr std::size_t kLongestHeaderValue = 256;

std::string SecondsText(Duration d) {
  return std::to_string(static_cast<std::int64_t>(std::max(1.0, std::ceil(ToSeconds(d)))));
}

/// A caller-given id or name: printable, without spaces, of bounded length.
std::string CheckedHeader(const net::HttpExchange& exchange, std::string_view name) {
  const std::string_view value = exchange.Header(name);
  const bool valid =
      value.size() <= kLongestHeaderValue &&
      std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 127; });
  if (!valid) {
    throw ApiError(400, "invalid_header", "the value must be at most 256 printable characters",
                   std::string(name));
  }
  return std::string(value);
}

Duration ParseDeadline(std::string_view text) {
  std::int64_t ms = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  const auto limit = kLongestDeadline / std::chrono::milliseconds(1);
  if (ec != std::errc() || end != text.data() + text.size() || ms < 1 || ms > limit) {
    throw ApiError(400, "invalid_header", "the deadline must be 1 to 3600000 milliseconds",
                   "X-Deadline-Ms");
  }
  return std::chrono::milliseconds(ms);
}

}  // namespace

bool Gateway::Serves(std::string_view path) {
  return path == kChatPath || path == kAddressesPath || path.starts_with(kServicesPath);
}

Task<void> Gateway::Handle(net::HttpExchange& exchange) {
  std::optional<ApiError> error;
  std::string request_id(exchange.Header("X-Request-Id").substr(0, kLongestHeaderValue));
  try {
    if (exchange.path() == kAddressesPath) {
      co_await HandleAddresses(exchange);
      co_return;
    }
    Call call = MakeCall(exchange, MonotonicNow());
    request_id = call.request_id;
    co_await Serve(exchange, call);
  } catch (const ApiError& e) {
    error = e;
  } catch (const codec::FieldError& e) {
    error = ApiError(400, "invalid_request", e.what(), e.field());
  }
  // A request that is refused here never reached an endpoint.
  if (error) {
    net::HttpHeaders headers;
    headers.emplace_back("X-Outcome", "not-run");
    co_await RespondError(exchange, *error, request_id, headers);
  }
}

Task<void> Gateway::HandleAddresses(net::HttpExchange& exchange) {
  const TimePoint now = MonotonicNow();
  const auto published = shared_.published.Load();
  const directory::Location caller{exchange.Query("region"), exchange.Query("failure_domain")};
  const auto answer = shared_.dispatcher.Addresses(caller, HoldsLease(*published, now), now);
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& address : answer.addresses) {
    nlohmann::ordered_json row;
    row["address"] = address;
    for (const auto& it : published->processes) {
      if (it.address != address) continue;
      row["region"] = it.location.region;
      row["failure_domain"] = it.location.failure_domain;
    }
    rows.push_back(std::move(row));
  }
  nlohmann::ordered_json body;
  body["addresses"] = std::move(rows);
  body["max_age_seconds"] = ToSeconds(answer.max_age);
  net::HttpHeaders headers;
  headers.emplace_back("Cache-Control",
                       "max-age=" + std::to_string(static_cast<int>(ToSeconds(answer.max_age))));
  co_await exchange.Respond(200, body.dump(), headers);
}

Call Gateway::MakeCall(const net::HttpExchange& exchange, TimePoint now) const {
  Call call;
  call.received = now;
  const auto account = shared_.access.FindAccount(exchange.Header("Authorization"));
  if (!account) throw ApiError(401, "unauthorized", "the API key is missing or unknown");
  call.account = *account;
  const auto published = shared_.published.Load();
  call.queue_id = shared_.dispatcher.NextId();
  call.upstream_id = shared_.settings.id + "-" + std::to_string(published->incarnation) + "-" +
                     std::to_string(call.queue_id);
  call.request_id = CheckedHeader(exchange, "X-Request-Id");
  if (call.request_id.empty()) call.request_id = call.upstream_id;
  call.kind = CheckedHeader(exchange, "X-Request-Kind");
  if (call.kind.empty()) call.kind = "default";
  call.key = CheckedHeader(exchange, "Idempotency-Key");
  call.method = exchange.request().method();
  if (exchange.path() == kChatPath) {
    ReadChat(exchange, call);
  } else {
    ReadService(exchange, call);
  }
  if (!published->rules) throw ApiError(503, "starting", "the process is starting");
  call.lease = HoldsLease(*published, now);
  call.rule = published->rules->Find(call.account, call.kind);
  call.call_class = call.rule.call_class;
  if (call.call_class == config::CallClass::kAtMostOnce && call.key.empty()) {
    throw ApiError(400, "missing_header", "this request kind needs an idempotency key",
                   "Idempotency-Key");
  }
  Duration deadline = shared_.settings.default_deadline;
  if (call.rule.deadline > Duration::zero()) deadline = call.rule.deadline;
  if (const auto text = exchange.Header("X-Deadline-Ms"); !text.empty()) {
    deadline = ParseDeadline(text);
  }
  call.deadline = now + deadline;
  return call;
}

void Gateway::ReadChat(const net::HttpExchange& exchange, Call& call) const {
  if (exchange.request().method() != net::http::verb::post) {
    throw ApiError(405, "method_not_allowed", "use POST");
  }
  call.body = exchange.request().body();
  auto chat = codec::ParseChatRequest(call.body);
  call.model = std::move(chat.model);
  call.adapter = std::move(chat.adapter);
  call.stream = chat.stream;
  call.tokens = chat.tokens;
  call.prefix = std::move(chat.prefix_hashes);
  call.target = kChatPath;
  if (!call.adapter.empty()) {
    // Engines know an adapter by its own name.
    auto body = nlohmann::json::parse(call.body);
    body["model"] = call.adapter;
    call.body = body.dump();
  }
}

void Gateway::ReadService(const net::HttpExchange& exchange, Call& call) const {
  const std::string_view rest = exchange.path().substr(kServicesPath.size());
  const auto slash = rest.find('/');
  if (slash == 0 || slash == std::string_view::npos || slash + 1 == rest.size()) {
    throw ApiError(404, "unknown_path", "the path must be /v1/services/{service}/{call}");
  }
  call.role = config::EndpointRole::kService;
  call.model = rest.substr(0, slash);
  const bool lookup = exchange.request().method() == net::http::verb::get;
  call.target = (lookup ? "/lookup/" : "/call/") + std::string(rest.substr(slash + 1));
  call.body = exchange.request().body();
}

Task<QueueOutcome> Gateway::WaitForSlot(const Call& call) {
  auto executor = co_await net::asio::this_coro::executor;
  const auto outcome = std::make_shared<AsyncResult<QueueOutcome>>(executor);
  traffic::QueueItem item;
  item.id = call.queue_id;
  item.account = call.account;
  item.pool = call.model;
  item.priority = call.rule.priority;
  item.weight = call.rule.weight;
  item.tokens = call.tokens;
  item.deadline = call.deadline;
  const TimePoint now = MonotonicNow();
  shared_.dispatcher.Offer(std::move(item), outcome, now);
  const auto result = co_await outcome->Wait(call.deadline - now);
  shared_.metrics.Record(Latency::kQueue, MonotonicNow() - now);
  if (result) co_return *result;
  shared_.dispatcher.Cancel(call.queue_id, MonotonicNow());
  traffic::Refusal refusal;
  refusal.reason = traffic::RefusalReason::kExpired;
  refusal.retry_after = std::chrono::seconds(1);
  co_return refusal;
}

Task<void> Gateway::Serve(net::HttpExchange& exchange, Call& call) {
  shared_.metrics.Add(Counter::kRequests);
  const auto published = shared_.published.Load();
  if (!call.lease && call.call_class != config::CallClass::kLookup) {
    Ending ending;
    ending.outcome = config::CallOutcome::kNotRun;
    ending.code = "no_lease";
    ending.message = "this process may be cut off from the others; use another address";
    ending.retry_after = std::chrono::seconds(1);
    co_await Finish(exchange, call, std::move(ending));
    co_return;
  }
  if (!call.lease) shared_.metrics.Add(Counter::kStaleLookups);
  if (!published->routing || published->routing->OfModel(call.model).empty()) {
    throw ApiError(404, "unknown_model", "no endpoint serves '" + call.model + "'", "model");
  }
  const auto& endpoints = published->routing->endpoints();
  const auto candidates = published->routing->OfModel(call.model);
  const bool any = std::any_of(candidates.begin(), candidates.end(), [&](std::uint32_t i) {
    return endpoints[i].serving == traffic::ServingState::kServing && !endpoints[i].draining;
  });
  if (!any) {
    // Waiting in the queue until the deadline would only hold the caller back.
    Ending ending;
    ending.outcome = config::CallOutcome::kNotRun;
    ending.code = "no_endpoint";
    ending.message = "no endpoint of the model serves at present";
    ending.retry_after = std::chrono::seconds(1);
    co_await Finish(exchange, call, std::move(ending));
    co_return;
  }
  const bool outer_retry = !exchange.Header("X-Retry-Attempt").empty();
  shared_.dispatcher.CountRequest(outer_retry, call.received);
  const auto limit = shared_.dispatcher.TakeLimit(call.account, call.kind, call.received);
  if (!limit.allowed) {
    Ending ending;
    ending.outcome = config::CallOutcome::kNotRun;
    ending.code = "rate_limited";
    ending.message = "the account's limit for this request kind is reached";
    ending.retry_after = limit.retry_after;
    co_await Finish(exchange, call, std::move(ending));
    co_return;
  }
  if (call.call_class == config::CallClass::kAtMostOnce) {
    co_await ServeOnce(exchange, call);
    co_return;
  }
  const QueueOutcome refusal = co_await WaitForSlot(call);
  Ending ending;
  if (refusal) {
    ending.outcome = config::CallOutcome::kNotRun;
    ending.code = traffic::kRefusalReasons.Name(refusal->reason);
    ending.message = "the request was refused before it was run";
    ending.retry_after = refusal->retry_after;
  } else {
    std::exception_ptr problem;
    try {
      ending = co_await RunAttempts(exchange, call);
    } catch (const std::exception&) {
      problem = std::current_exception();
    }
    const bool ran = ending.tokens > 0;
    shared_.dispatcher.Finish(call.queue_id, ran ? std::optional(ending.tokens) : std::nullopt,
                              MonotonicNow());
    if (problem) std::rethrow_exception(problem);
  }
  co_await Finish(exchange, call, std::move(ending));
}

Task<void> Gateway::Finish(net::HttpExchange& exchange, const Call& call, Ending ending) {
  const TimePoint now = MonotonicNow();
  shared_.metrics.Record(Latency::kRequest, now - call.received);
  net::HttpHeaders headers;
  headers.emplace_back("X-Request-Id", call.request_id);
  headers.emplace_back("X-Outcome", config::kCallOutcomes.Name(ending.outcome));
  switch (ending.outcome) {
    case config::CallOutcome::kComplete: {
      shared_.metrics.Add(Counter::kComplete);
      if (ending.streamed) co_return;
      const auto& answer = *ending.answer;
      if (!answer.version.empty()) headers.emplace_back("X-Model-Version", answer.version);
      if (!answer.endpoint.empty()) headers.emplace_back("X-Endpoint", answer.endpoint);
      const auto published = shared_.published.Load();
      if (!HoldsLease(*published, now)) {
        headers.emplace_back("X-Config-Age-Ms", std::to_string(static_cast<std::int64_t>(
                                                    ToMilliseconds(now - published->lease_until))));
      }
      co_await exchange.Respond(answer.status, answer.body, headers, answer.content_type);
      co_return;
    }
    case config::CallOutcome::kNotRun: {
      shared_.metrics.Add(Counter::kNotRun);
      LogEvent(Event::kRequestNotRun, {{"request_id", call.request_id},
                                       {"account", call.account},
                                       {"kind", call.kind},
                                       {"code", ending.code}});
      headers.emplace_back("Retry-After", SecondsText(ending.retry_after));
      const bool overload = ending.code != "no_lease" && ending.code != "no_endpoint";
      ApiError error(overload ? 429 : 503, ending.code, ending.message);
      co_await RespondError(exchange, error, call.request_id, headers);
      co_return;
    }
    default: {
      shared_.metrics.Add(Counter::kUnknown);
      LogEvent(Event::kRequestUnknown, {{"request_id", call.request_id},
                                        {"account", call.account},
                                        {"kind", call.kind},
                                        {"code", ending.code}});
      if (ending.streamed) co_return;
      headers.emplace_back("Retry-After", "1");
      ApiError error(504, ending.code, ending.message);
      co_await RespondError(exchange, error, call.request_id, headers);
    }
  }
}

}  // namespace wagtailslip::process
