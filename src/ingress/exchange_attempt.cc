// Attempts of a request at endpoints: connection, request, answer and events.
#include <algorithm>

#include "exchange.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"

namespace wagtailslip::ingress {
namespace {

using net::Task;
using process::Counter;
using process::MonotonicNow;
using serving::AttemptOutcome;
namespace asio = net::asio;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);
// An engine that has not begun to answer by then is taken for silent; callers give up after about
// twice as long.
constexpr Duration kStreamPatience = std::chrono::milliseconds(1800);
constexpr Duration kLookupPatience = std::chrono::milliseconds(350);
constexpr unsigned kFirstRedirect = 300;
// Longest answer that is kept until it is whole, as long as the longest request that callers may
// send by default. A faulty endpoint may send without end.
constexpr std::size_t kMostAnswerBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

bool Exchange::Overtaken() const {
  return begin_pending_ && latest_begin_ && MonotonicNow() >= *latest_begin_;
}

Duration Exchange::AnswerPatience() const {
  Duration left = std::max(TimeLeft(), Duration(std::chrono::milliseconds(1)));
  if (begin_pending_ && latest_begin_) {
    const Duration until_begin = *latest_begin_ - MonotonicNow();
    left = std::clamp(until_begin, Duration(std::chrono::milliseconds(1)), left);
  }
  // Without another attempt to come, an endpoint's silence is no reason to give up on it.
  const bool may_try_another =
      history_.sends + 1 < route_->max_attempts && node_.MayRepeat(service_, MonotonicNow());
  if (!may_try_another) return left;
  if (route_->kind == serving::RouteKind::kStreaming && route_->repeatable()) {
    return std::min(left, kStreamPatience);
  }
  if (route_->kind == serving::RouteKind::kIdempotent) return std::min(left, kLookupPatience);
  return left;
}

AttemptOutcome Exchange::OutcomeOfError(bool timed_out, bool started) const {
  if (presence_->gone) return AttemptOutcome::kCallerGone;
  if (TimeLeft() <= Duration::zero()) return AttemptOutcome::kExpired;
  if (timed_out && Overtaken()) return AttemptOutcome::kOvertaken;
  if (started) return AttemptOutcome::kCut;
  return timed_out ? AttemptOutcome::kSilent : AttemptOutcome::kBroken;
}

Task<AttemptOutcome> Exchange::Attempt(serving::PlacementResult placed) {
  net::HttpConnection upstream(co_await asio::this_coro::executor);
  presence_->upstream = &upstream;
  bool connected = true;
  const Duration timeout = std::min(kConnectTimeout, std::max(TimeLeft(), Duration(1)));
  const TimePoint begun = MonotonicNow();
  try {
    co_await upstream.Connect(net::ParseAddress(placed.address), timeout);
  } catch (const net::NetError&) {
    // Nothing was sent, so another endpoint may take the request.
    connected = false;
  }
  const TimePoint now = MonotonicNow();
  node_.OnConnect(placed.id, now - begun, now);
  const std::string model = engine_ == nullptr ? std::string() : engine_->model;
  auto outcome = AttemptOutcome::kNotConnected;
  if (presence_->gone) {
    outcome = AttemptOutcome::kCallerGone;
  } else if (connected && !node_.MaySend(placed, model, now - begun, now)) {
    outcome = AttemptOutcome::kWithheld;
  } else if (connected && TimeLeft() > Duration::zero()) {
    outcome = co_await Send(upstream, placed);
  }
  presence_->upstream = nullptr;
  upstream.Close();
  co_return outcome;
}

Task<AttemptOutcome> Exchange::Send(net::HttpConnection& upstream,
                                    const serving::PlacementResult& placed) {
  platform::ForwardedHeaders headers;
  headers.endpoint = placed.id;
  headers.account = AccountName();
  headers.time_left = TimeLeft();
  headers.priority = Priority();
  if (engine_ != nullptr) {
    serving::PlacementQuery query;
    node_.SetLeastWeights(engine_->model, query, MonotonicNow());
    if (stream_weights_ != 0 || query.min_weights_version != 0)
      headers.weights_version = placed.weights_version;
  }
  headers.last_event_id = last_event_;
  auto forwarded = platform::MakeForwardedRequest(caller_.request(), headers);
  net::HttpResponse response;
  bool failed = false;
  bool timed_out = false;
  try {
    response = co_await upstream.Start(std::move(forwarded), AnswerPatience());
  } catch (const net::TimeoutError&) {
    timed_out = failed = true;
  } catch (const net::NetError&) {
    failed = true;
  }
  if (failed) co_return OutcomeOfError(timed_out, history_.answer_started);
  const auto answer = platform::DecodeEndpointResponse(response);
  last_status_ = answer.status;
  if (answer.draining) node_.OnLeaving(placed.id, MonotonicNow());
  if (answer.retry_after) node_.OnPause(placed.id, *answer.retry_after, MonotonicNow());
  if (answer.load) {
    node_.OnLoad(placed.id, answer.load->running, answer.load->waiting, MonotonicNow());
  }
  if (answer.not_run) co_return AttemptOutcome::kNotRun;
  // The answer of another request may arrive where this one's is due, and one without an id may
  // have been sent before the request was read.
  const bool success = answer.status < kFirstRedirect;
  if ((success || !answer.attempt_id.empty()) && answer.attempt_id != request_.attempt_id) {
    co_return OutcomeOfError(false, history_.answer_started);
  }
  if (success && (!answer.has_signature || answer.content_encoded)) {
    co_return OutcomeOfError(false, history_.answer_started);
  }
  if (answer.is_event_stream && success) {
    co_return co_await RelayStream(upstream, response, answer);
  }
  if (history_.answer_started) co_return AttemptOutcome::kCut;
  co_return co_await ReadWhole(upstream, response, answer);
}

Task<Exchange::Piece> Exchange::ReadPiece(net::HttpConnection& upstream) {
  Piece piece;
  try {
    piece.bytes = co_await upstream.ReadSome(AnswerPatience());
  } catch (const net::TimeoutError&) {
    piece.timed_out = piece.failed = true;
  } catch (const net::NetError&) {
    piece.failed = true;
  }
  co_return piece;
}

Task<AttemptOutcome> Exchange::ReadWhole(net::HttpConnection& upstream,
                                         const net::HttpResponse& response,
                                         const platform::EndpointResponse& answer) {
  std::string body;
  Piece piece = co_await ReadPiece(upstream);
  while (piece.bytes) {
    body += *piece.bytes;
    if (body.size() > kMostAnswerBytes) co_return OutcomeOfError(false, false);
    piece = co_await ReadPiece(upstream);
  }
  if (piece.failed) co_return OutcomeOfError(piece.timed_out, false);
  if (presence_->gone) co_return AttemptOutcome::kCallerGone;
  std::string lines = platform::RelayedHeaderLines(response);
  if (answer.status >= kFirstServerError) {
    failure_ = KeptAnswer{answer.status, std::move(lines), std::move(body)};
    co_return AttemptOutcome::kFailed;
  }
  history_.answer_started = true;
  co_await caller_.RespondLines(answer.status, std::move(lines), std::move(body));
  co_return AttemptOutcome::kDelivered;
}

Task<bool> Exchange::RelayEvents(const std::vector<serving::StreamEvent>& events,
                                 const std::string& header_lines) {
  std::string bytes;
  for (const auto& it : events) {
    if (it.id && last_event_) {
      // A continued stream may begin with what the caller already has.
      if (*it.id <= *last_event_) continue;
      if (*it.id != *last_event_ + 1) co_return false;
    }
    if (it.id) last_event_ = it.id;
    bytes += it.bytes;
  }
  if (bytes.empty()) co_return true;
  const TimePoint now = MonotonicNow();
  if (history_.answer_started) longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  last_event_at_ = now;
  if (history_.answer_started) {
    co_await caller_.WriteChunk(bytes);
    co_return true;
  }
  history_.answer_started = true;
  first_event_at_ = now;
  metrics_.Record(process::Latency::kFirstByte, first_event_at_ - received_);
  co_await caller_.StartStreamLines(200, header_lines, std::move(bytes));
  co_return true;
}

Task<AttemptOutcome> Exchange::RelayStream(net::HttpConnection& upstream,
                                           const net::HttpResponse& response,
                                           const platform::EndpointResponse& answer) {
  if (answer.weights_version && stream_weights_ == 0) stream_weights_ = *answer.weights_version;
  const std::string lines = platform::RelayedHeaderLines(response);
  splitter_.Reset();
  bool failed = false;
  bool timed_out = false;
  while (!failed) {
    const Piece piece = co_await ReadPiece(upstream);
    failed = piece.failed;
    timed_out = piece.timed_out;
    if (!piece.bytes || presence_->gone) break;
    const auto events = splitter_.Feed(*piece.bytes);
    if (splitter_.overflow()) failed = true;
    if (!events.empty()) {
      NoteBegun(current_endpoint_);
      metrics_.Add(Counter::kTokens, events.size());
      if (!co_await RelayEvents(events, lines)) failed = true;
    }
  }
  if (presence_->gone) co_return AttemptOutcome::kCallerGone;
  // A stream that ends within an event was cut off, however its connection ended.
  if (failed || !splitter_.rest().empty()) {
    co_return OutcomeOfError(timed_out, history_.answer_started);
  }
  if (!history_.answer_started) {
    history_.answer_started = true;
    const std::string nothing;
    co_await caller_.StartStreamLines(answer.status, lines, nothing);
  }
  co_await caller_.EndStream();
  co_return AttemptOutcome::kDelivered;
}

void Exchange::NoteBegun(const std::string& endpoint) {
  if (!begin_pending_) return;
  begin_pending_ = false;
  node_.OnBegun(endpoint, engine_ == nullptr ? 0 : request_.prompt_tokens);
}

}  // namespace wagtailslip::ingress
