// Attempts of a request at endpoints: connect, send the request, and relay the response or stream.
#include <algorithm>

#include "exchange.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::ingress {
namespace {

using net::Task;
using process::Counter;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;
using serving::AttemptOutcome;
namespace asio = net::asio;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
constexpr Duration kIdempotentReadTimeout = std::chrono::milliseconds(350);
constexpr Duration kEndProbeTimeout = std::chrono::milliseconds(100);
constexpr unsigned kMinRedirectStatus = 300;
// Largest response that is buffered, equal to the default limit on caller requests. Bounds the
// memory that a faulty endpoint can use by never ending its response.
constexpr std::size_t kMaxResponseBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

bool Exchange::ResponseStartDeadlinePassed() const {
  return response_pending_ && response_start_deadline_ &&
         MonotonicNow() >= *response_start_deadline_;
}

bool Exchange::MayTryAnother() const {
  return history_.sends + 1 < route_->max_attempts && node_.MayRetry(service_, MonotonicNow());
}

Duration Exchange::ReadTimeout() const {
  Duration left = std::max(TimeLeft(), Duration(std::chrono::milliseconds(1)));
  if (response_pending_ && response_start_deadline_) {
    const Duration until_response_start = *response_start_deadline_ - MonotonicNow();
    left = std::clamp(until_response_start, Duration(std::chrono::milliseconds(1)), left);
  }
  if (!MayTryAnother()) return left;
  if (route_->kind == serving::RouteKind::kStreaming && route_->repeatable()) {
    return std::min(left, kStreamReadTimeout);
  }
  if (route_->kind == serving::RouteKind::kIdempotent)
    return std::min(left, kIdempotentReadTimeout);
  return left;
}

AttemptOutcome Exchange::OutcomeOfError(bool timed_out, bool response_started) const {
  if (caller_state_->disconnected) return AttemptOutcome::kCallerDisconnected;
  if (TimeLeft() <= Duration::zero()) return AttemptOutcome::kDeadlineExceeded;
  if (timed_out && ResponseStartDeadlinePassed()) return AttemptOutcome::kWeightsSuperseded;
  if (response_started) return AttemptOutcome::kStreamInterrupted;
  return timed_out ? AttemptOutcome::kResponseTimeout : AttemptOutcome::kNoValidResponse;
}

Task<AttemptOutcome> Exchange::Attempt(serving::PlacementResult& placed) {
  net::HttpConnection upstream(co_await asio::this_coro::executor);
  caller_state_->upstream = &upstream;
  bool connected = true;
  const Duration timeout = std::min(kConnectTimeout, std::max(TimeLeft(), Duration(1)));
  const TimePoint connect_started = MonotonicNow();
  bool refused = false;
  try {
    co_await upstream.Connect(net::ParseAddress(placed.address), timeout);
  } catch (const net::TimeoutError&) {
    connected = false;
  } catch (const net::NetError&) {
    // Nothing was sent, so another endpoint can safely be tried.
    connected = false;
    refused = true;
  }
  const TimePoint now = MonotonicNow();
  // This process closes the connection when the caller has left or the deadline has passed.
  const bool given_up = caller_state_->disconnected || caller_state_->deadline_passed;
  if (refused && !given_up) {
    node_.crash_guard().OnEndpointEnded(placed.address, placed.started_ms, now);
  }
  node_.OnConnect(placed.id, now - connect_started, now);
  const std::string model = engine_ == nullptr ? std::string() : engine_->model;
  const auto regions = AllowedRegions();
  auto outcome = AttemptOutcome::kNotConnected;
  if (caller_state_->disconnected) {
    outcome = AttemptOutcome::kCallerDisconnected;
  } else if (connected && (node_.crash_guard().Blocked(Subjects(), trials_, now) ||
                           !node_.MaySend(placed, model, regions, now - connect_started, now))) {
    outcome = AttemptOutcome::kEndpointIneligible;
  } else if (connected && TimeLeft() > Duration::zero()) {
    attempt_sent_ = true;
    node_.crash_guard().OnSent(trials_);
    outcome = co_await Send(upstream, placed);
  }
  caller_state_->upstream = nullptr;
  upstream.Close();
  co_return outcome;
}

Task<AttemptOutcome> Exchange::Send(net::HttpConnection& upstream,
                                    const serving::PlacementResult& placed) {
  platform::ForwardedHeaders headers;
  headers.endpoint = placed.id;
  headers.account = AccountName();
  headers.time_left = TimeLeft();
  headers.priority = EnginePriority();
  if (engine_ != nullptr) {
    serving::PlacementQuery query;
    node_.SetMinWeightsVersions(engine_->model, query, MonotonicNow());
    if (stream_version_ != 0 || query.min_weights_version != 0)
      headers.weights_version = placed.weights_version;
    response_start_deadline_ = node_.ResponseStartDeadline(engine_->model, placed.weights_version);
  }
  headers.last_event_id = last_event_id_;
  auto forwarded = platform::MakeForwardedRequest(caller_.request(), headers);
  net::HttpResponse response;
  bool failed = false;
  bool timed_out = false;
  const TimePoint sent_at = MonotonicNow();
  try {
    response = co_await upstream.Start(std::move(forwarded), ReadTimeout());
  } catch (const net::TimeoutError&) {
    timed_out = failed = true;
  } catch (const net::NetError&) {
    failed = true;
  }
  if (failed) co_return OutcomeOfError(timed_out, history_.response_started);
  const auto decoded = platform::DecodeEndpointResponse(response);
  last_status_ = decoded.status;
  last_request_limit_ = decoded.request_limit;
  const bool own = decoded.attempt_id == request_.attempt_id;
  // The state that a response to another request reports may be long past.
  if (own || decoded.attempt_id.empty()) RecordEndpointState(placed, decoded);
  RecordRequestLimit(placed, decoded, sent_at);
  const bool success = decoded.status < kMinRedirectStatus;
  if (decoded.not_run) {
    // Only the id shows which request a refusal is about: endpoints echo it, and one that repeats
    // an earlier refusal may run this request. Another attempt or another promise to the caller
    // would then be wrong, whereas an unbelieved refusal costs at most this request.
    if (own && !success) co_return AttemptOutcome::kNotRun;
    co_return OutcomeOfError(false, history_.response_started);
  }
  // Relaying this status would promise the caller what the endpoint has not stated.
  if (decoded.status_means_not_run) co_return OutcomeOfError(false, history_.response_started);
  // A failure without an id is relayed: it promises nothing that the caller could act upon.
  if (!own && (success || !decoded.attempt_id.empty())) {
    co_return OutcomeOfError(false, history_.response_started);
  }
  if (success && (!decoded.has_signature || decoded.content_encoded)) {
    co_return OutcomeOfError(false, history_.response_started);
  }
  if (decoded.is_event_stream && success) {
    co_return co_await RelayStream(upstream, response, decoded, placed);
  }
  if (history_.response_started) co_return AttemptOutcome::kStreamInterrupted;
  co_return co_await ReadFullResponse(upstream, response, decoded);
}

void Exchange::MarkBegun() {
  if (attempt_begun_) return;
  attempt_begun_ = true;
  node_.crash_guard().OnBegun(service_, MonotonicNow());
}

void Exchange::RecordDelivery() {
  MarkBegun();
  // An endpoint that only went on with a stream has not generated what the one before it ended
  // under.
  const bool whole = !attempt_resumes_;
  node_.crash_guard().OnDelivered(whole ? Subjects() : std::vector<serving::CrashSubject>(),
                                  service_, MonotonicNow());
}

Task<void> Exchange::RecordCrashEvidence(serving::PlacementResult placed, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kDelivered) co_return RecordDelivery();
  if (!attempt_sent_) co_return;
  const bool left = outcome == AttemptOutcome::kCallerDisconnected;
  const bool silent = outcome == AttemptOutcome::kResponseTimeout;
  const bool broken =
      outcome == AttemptOutcome::kNoValidResponse || outcome == AttemptOutcome::kStreamInterrupted;
  if (!left && !silent && !broken) co_return;
  auto& guard = node_.crash_guard();
  const TimePoint ended_at = MonotonicNow();
  const serving::EndedAttempt attempt{
      placed.address, placed.started_ms, ended_at, Subjects(true), service_, true, attempt_events_};
  if (left) co_return guard.OnCallerLeft(attempt, ended_at);
  guard.OnBroken(attempt, ended_at);
  if (guard.KnownEnded(placed.address, placed.started_ms)) co_return;
  if (TimeLeft() <= Duration::zero()) co_return;
  const Duration timeout = std::min(TimeLeft(), kEndProbeTimeout);
  // An endpoint that has ended refuses connections; one that only broke off its response does not.
  net::HttpConnection probe(co_await asio::this_coro::executor);
  bool refused = false;
  bool reached = true;
  try {
    co_await probe.Connect(net::ParseAddress(placed.address), timeout);
  } catch (const net::TimeoutError&) {
    reached = false;
  } catch (const net::NetError&) {
    refused = true;
  }
  const TimePoint now = MonotonicNow();
  if (refused) guard.OnEndpointEnded(placed.address, placed.started_ms, now);
  if (broken && !reached) guard.OnUnreachable(attempt, now);
}

void Exchange::RecordEndpointState(const serving::PlacementResult& placed,
                                   const platform::EndpointResponse& response) {
  const TimePoint now = MonotonicNow();
  if (response.draining) node_.OnEndpointDraining(placed, now);
  if (response.retry_after) node_.OnRetryAfter(placed, *response.retry_after, now);
  if (response.load) {
    const auto& load = *response.load;
    node_.OnLoad(placed.id, {load.running, load.waiting, load.slots, load.slowdown}, now);
  }
}

void Exchange::RecordRequestLimit(const serving::PlacementResult& placed,
                                  const platform::EndpointResponse& response, TimePoint sent_at) {
  if (response.request_limit_unreadable) return node_.OnUnreadableRequestLimit(placed.id);
  const bool own = response.has_signature && response.attempt_id == request_.attempt_id;
  // A late response to an earlier request, or a damaged one, may lower the limit, but neither raise
  // nor withdraw it: it is not known when the request was sent.
  if (!own && !response.request_limit) return;
  node_.OnRequestLimit(placed, response.request_limit, own ? sent_at : TimePoint{}, MonotonicNow());
}

Task<Exchange::ReadResult> Exchange::ReadBodyPart(net::HttpConnection& upstream) {
  ReadResult read;
  try {
    read.bytes = co_await upstream.ReadSome(ReadTimeout());
  } catch (const net::TimeoutError&) {
    read.timed_out = read.failed = true;
  } catch (const net::NetError&) {
    read.failed = true;
  }
  co_return read;
}

Task<AttemptOutcome> Exchange::ReadFullResponse(net::HttpConnection& upstream,
                                                const net::HttpResponse& response,
                                                const platform::EndpointResponse& decoded) {
  std::string body;
  ReadResult read = co_await ReadBodyPart(upstream);
  while (read.bytes && !caller_state_->deadline_passed) {
    body += *read.bytes;
    if (body.size() > kMaxResponseBytes) co_return OutcomeOfError(false, false);
    read = co_await ReadBodyPart(upstream);
  }
  if (read.failed || read.bytes) co_return OutcomeOfError(read.timed_out, false);
  if (caller_state_->disconnected) co_return AttemptOutcome::kCallerDisconnected;
  std::string lines = platform::RelayedHeaderLines(response);
  if (decoded.status >= kMinServerErrorStatus) {
    error_response_ = BufferedResponse{decoded.status, std::move(lines), std::move(body)};
    co_return AttemptOutcome::kServerError;
  }
  history_.response_started = true;
  co_await caller_.RespondLines(decoded.status, std::move(lines), std::move(body));
  co_return AttemptOutcome::kDelivered;
}

Task<void> Exchange::WriteStream(Task<void> write) {
  caller_state_->stream_write = &caller_;
  std::exception_ptr problem;
  try {
    co_await std::move(write);
  } catch (const net::NetError&) {
    problem = std::current_exception();
  }
  caller_state_->stream_write = nullptr;
  progress_.OnForwarded(MonotonicNow());
  if (problem) std::rethrow_exception(problem);
}

Task<bool> Exchange::RelayEvents(const std::vector<serving::StreamEvent>& events,
                                 const std::string& header_lines) {
  std::string bytes;
  bool gap = false;
  std::size_t new_events = 0;
  for (const auto& it : events) {
    if (it.id && last_event_id_) {
      // A resumed stream may repeat events that the caller already has.
      if (*it.id <= *last_event_id_) continue;
      gap = *it.id != *last_event_id_ + 1;
      // The events before the gap are relayed: the stream is resumed after them.
      if (gap) break;
    }
    if (it.id) last_event_id_ = it.id;
    if (!it.only_comments) ++new_events;
    bytes += it.bytes;
  }
  progress_.OnNewEvents(new_events, MonotonicNow());
  attempt_events_ += new_events;
  if (bytes.empty()) co_return !gap;
  const TimePoint now = MonotonicNow();
  if (history_.response_started) max_event_gap_ = std::max(max_event_gap_, now - last_event_at_);
  last_event_at_ = now;
  if (history_.response_started) {
    auto write = caller_.WriteChunk(bytes);
    co_await WriteStream(std::move(write));
    co_return !gap;
  }
  history_.response_started = true;
  first_event_at_ = now;
  metrics_.Record(process::Latency::kFirstByte, first_event_at_ - received_at_);
  auto write = caller_.StartStreamLines(200, header_lines, std::move(bytes));
  co_await WriteStream(std::move(write));
  co_return !gap;
}

Task<AttemptOutcome> Exchange::RelayStream(net::HttpConnection& upstream,
                                           const net::HttpResponse& response,
                                           const platform::EndpointResponse& decoded,
                                           const serving::PlacementResult& placed) {
  if (decoded.weights_version && stream_version_ == 0) stream_version_ = *decoded.weights_version;
  const std::string lines = platform::RelayedHeaderLines(response);
  event_splitter_.Reset();
  bool failed = false;
  bool timed_out = false;
  while (!failed) {
    const ReadResult read = co_await ReadBodyPart(upstream);
    failed = read.failed || caller_state_->deadline_passed;
    timed_out = read.timed_out;
    if (!read.bytes || caller_state_->disconnected || failed) break;
    const auto events = event_splitter_.Feed(*read.bytes);
    if (event_splitter_.overflow() || event_splitter_.malformed()) failed = true;
    progress_.OnBytes(read.bytes->size());
    if (!events.empty()) {
      if (response_pending_) RecordAnswerVersion(placed, decoded.weights_version.value_or(0));
      ClearResponsePending(current_endpoint_);
      metrics_.Add(Counter::kTokens, events.size());
      if (!co_await RelayEvents(events, lines)) failed = true;
      if (serving::StageOf(attempt_events_) != serving::kStarting) MarkBegun();
      if (progress_.TooManyEvents()) co_return AttemptOutcome::kStreamTooLong;
    }
    if (progress_.TooManyBytes()) failed = true;
    if (progress_.Stalled(kStreamReadTimeout, MonotonicNow()) && MayTryAnother()) {
      failed = timed_out = true;
    }
  }
  if (caller_state_->disconnected) co_return AttemptOutcome::kCallerDisconnected;
  // A stream that ends inside an event is truncated, even if the connection was closed cleanly.
  if (failed || !event_splitter_.rest().empty()) {
    co_return OutcomeOfError(timed_out, history_.response_started);
  }
  if (!history_.response_started) {
    history_.response_started = true;
    const std::string empty;
    co_await caller_.StartStreamLines(decoded.status, lines, empty);
  }
  co_await caller_.EndStream();
  co_return AttemptOutcome::kDelivered;
}

void Exchange::RecordAnswerVersion(const serving::PlacementResult& placed, std::int64_t version) {
  if (engine_ == nullptr || version == 0) return;
  answered_version_ = version;
  const auto late = node_.TimeSinceWeightsBound(engine_->model, version, MonotonicNow());
  if (!late || *late <= Duration::zero()) return;
  metrics_.Add(Counter::kAnswersOvertaken);
  LogEvent(Event::kAnswerOvertaken, {{"request", request_.attempt_id},
                                     {"endpoint", placed.id},
                                     {"believed", placed.weights_version},
                                     {"answered", version},
                                     {"late_ms", ToMilliseconds(*late)}});
}

void Exchange::ClearResponsePending(const std::string& endpoint) {
  if (!response_pending_) return;
  response_pending_ = false;
  node_.OnResponseStarted(endpoint, engine_ == nullptr ? 0 : request_.prompt_tokens);
}

}  // namespace wagtailslip::ingress
