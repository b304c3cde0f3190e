#include "exchange.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"
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
using serving::NextStep;
namespace asio = net::asio;

// Admission decides by the latest start; a verdict that is missing this long after it is treated as
// lost.
constexpr Duration kVerdictTimeoutMargin = std::chrono::milliseconds(400);
// A permit that the allocator still has arrives within a few milliseconds of asking, or after a
// commit of the control processes.
constexpr Duration kMaxRetryPermitWait = std::chrono::milliseconds(150);
constexpr Duration kRetryPermitPollInterval = std::chrono::milliseconds(5);
// A trial that may be granted at once needs a commit of the control processes; one that runs
// elsewhere is often proven within this time.
constexpr Duration kMaxTrialWait = std::chrono::milliseconds(300);
// Part of the remaining time that a request waits for a trial at most.
constexpr int kTrialWaitDivisor = 4;
constexpr Duration kTrialPollInterval = std::chrono::milliseconds(10);
// Not one of the statuses after which callers come back: the same request would end another
// endpoint.
constexpr unsigned kCondemnedStatus = 400;
constexpr Duration kBlockedRetryAfter = std::chrono::milliseconds(250);
constexpr std::string_view kStopping = "stopping";
// Another process can take the request at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kDefaultLatencyObjective = std::chrono::milliseconds(300);

// Engines distinguish this many priorities.
constexpr std::uint32_t kEnginePriorities = 10;

}  // namespace

Exchange::Exchange(IngressNode& node, process::Metrics& metrics, net::HttpExchange& caller)
    : node_(node),
      metrics_(metrics),
      caller_(caller),
      request_(platform::DecodeCallerRequest(caller.request())),
      received_at_(MonotonicNow()),
      caller_state_(std::make_shared<CallerState>()) {}

Exchange::~Exchange() {
  if (deadline_key_) node_.deadlines().Remove(*deadline_key_);
  for (const auto& it : trials_) node_.crash_guard().EndTrial(it);
}

Duration Exchange::LatencyObjective() const {
  return route_->latency_objective > Duration::zero() ? route_->latency_objective
                                                      : kDefaultLatencyObjective;
}

std::string Exchange::AccountName() const {
  return account_ == nullptr ? std::string() : account_->name;
}

std::uint32_t Exchange::PriorityRank() const {
  return routes_->Rank(service_, serving::PriorityOf(*route_, account_));
}

std::uint32_t Exchange::EnginePriority() const {
  const auto ranks = static_cast<std::uint32_t>(routes_->RankCount(service_));
  // Where all routes are equally urgent, the configured priority is passed on.
  if (!routes_->RanksRoutes(service_)) return serving::PriorityOf(*route_, account_).account;
  if (ranks <= kEnginePriorities) return PriorityRank();
  return PriorityRank() * kEnginePriorities / ranks;
}

serving::RequestIdentity Exchange::Identity() const {
  const auto& request = caller_.request();
  const auto method = request.method_string();
  const auto target = request.target();
  return {account_ == nullptr ? std::string_view() : std::string_view(account_->name),
          {method.data(), method.size()},
          {target.data(), target.size()},
          request.body()};
}

const std::string& Exchange::RequestKey() {
  if (request_key_.empty()) request_key_ = serving::RequestKey(Identity());
  return request_key_;
}

Duration Exchange::TimeLeft() const { return AnswerBy() - MonotonicNow(); }

void Exchange::CallerState::EndWaits() {
  if (timer != nullptr) timer->cancel();
  if (upstream != nullptr) upstream->Close();
  if (stream_write != nullptr) stream_write->Abort();
}

Task<void> Exchange::Respond(unsigned status, std::string_view reason,
                             std::optional<Duration> retry_after) {
  nlohmann::json fields{{"request", request_.attempt_id},
                        {"status", status},
                        {"reason", reason},
                        {"route", route_ == nullptr ? "" : route_->name},
                        {"config", routes_ ? routes_->config().version : 0},
                        {"sends", history_.sends},
                        {"may_have_run", history_.may_have_run},
                        {"waiting", node_.waiting()},
                        {"came_back", objective_missed_},
                        {"ms", ToMilliseconds(MonotonicNow() - received_at_)}};
  if (retry_after) fields["retry_after_s"] = ToSeconds(*retry_after);
  LogEvent(status >= kMinServerErrorStatus ? Event::kRequestEnded : Event::kRequestRejected,
           fields);
  if (!history_.may_have_run) metrics_.Add(Counter::kNotRun);
  if (history_.may_have_run) metrics_.Add(Counter::kUnknown);
  std::string lines = platform::LocalResponseHeaderLines(request_, retry_after);
  lines += "Content-Type: text/plain\r\n";
  std::string body(reason);
  body += "\n";
  co_await caller_.RespondLines(status, std::move(lines), std::move(body));
}

Task<void> Exchange::Refuse(std::string_view reason, Duration retry_after) {
  co_await Respond(503, reason, retry_after);
}

Task<bool> Exchange::ResolveRoute() {
  routes_ = node_.routes();
  if (!routes_) {
    co_await Refuse("no configuration is in force yet", node_.RetryAfterWithoutConfig());
    co_return false;
  }
  const auto target = caller_.request().target();
  route_ = routes_->Find(caller_.Header("Host"), caller_.path());
  if (route_ == nullptr) {
    co_await Respond(404, "no route matches");
    co_return false;
  }
  if (routes_->needs_key() && !route_->is_public) {
    account_ = routes_->FindAccount(request_.api_key);
    if (account_ == nullptr) {
      co_await Respond(401, "the key is unknown");
      co_return false;
    }
  }
  // The regions of an account hold on public routes as well, which need no key but may get one.
  const auto* named = routes_->FindAccount(request_.api_key);
  region_scope_ = {std::string(caller_.Header("Host")), std::string(caller_.path()),
                   named == nullptr ? std::string() : named->name, serving::AllowedRegions()};
  region_scope_.at_arrival = routes_->AllowedRegionsFor(region_scope_);
  const std::uint64_t seed =
      Hash64(request_.attempt_id.empty() ? std::string_view(target.data(), target.size())
                                         : std::string_view(request_.attempt_id));
  service_ = serving::PickService(*route_, seed);
  const auto* service = routes_->config().FindService(service_);
  if (service != nullptr && service->engine) engine_ = &*service->engine;
  Duration time_limit = route_->timeout;
  if (request_.time_left) {
    time_limit = std::min(time_limit, *request_.time_left);
    const Duration longest_recent = node_.LongestRecentTimeLeft(route_->name + "\n" + AccountName(),
                                                                *request_.time_left, received_at_);
    objective_missed_ = *request_.time_left + LatencyObjective() < longest_recent;
  }
  deadline_ = received_at_ + time_limit;
  deadline_key_ = node_.deadlines().Add(deadline_, [state = caller_state_] {
    state->deadline_passed = true;
    state->EndWaits();
  });
  co_return true;
}

Task<serving::AdmissionDecision> Exchange::WaitForEndpoint() {
  const TimePoint now = MonotonicNow();
  serving::AdmissionRequest applicant;
  applicant.id = node_.NextId();
  applicant.query.service = service_;
  applicant.query.excluded = tried_endpoints_;
  applicant.query.repeatable = route_->repeatable();
  applicant.query.prefer_idle = !trials_.empty();
  applicant.query.allowed_regions = AllowedRegions();
  applicant.region_scope = region_scope_;
  if (engine_ != nullptr) {
    node_.SetMinWeightsVersions(engine_->model, applicant.query, now);
    applicant.query.required_weights_version = stream_version_;
    applicant.query.prompt_tokens = request_.prompt_tokens;
    applicant.query.answer_tokens = request_.estimated_output_tokens > 0
                                        ? request_.estimated_output_tokens
                                        : engine_->mean_answer_tokens;
    const double typical_cost =
        std::max(1.0, engine_->mean_prompt_tokens + 10 * engine_->mean_answer_tokens);
    applicant.cost =
        std::max(0.1, (request_.prompt_tokens + 10 * request_.max_output_tokens) / typical_cost);
  }
  applicant.account = AccountName();
  applicant.priority = PriorityRank();
  applicant.arrived = received_at_;
  applicant.query.late = objective_missed_;
  applicant.latest_start =
      serving::LatestStart({received_at_, LatencyObjective(), objective_missed_, history_.sends > 0,
                            deadline_, node_.LimitsByRank(service_)},
                           now);
  applicant.deadline = deadline_;

  struct PendingVerdict {
    explicit PendingVerdict(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    serving::AdmissionDecision verdict;
  };
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<PendingVerdict>(executor);
  auto verdict = node_.Offer(
      applicant,
      [pending](serving::AdmissionDecision delivered) {
        pending->verdict = std::move(delivered);
        pending->timer.cancel();
      },
      now);
  if (!std::holds_alternative<std::monostate>(verdict)) co_return verdict;
  caller_state_->timer = &pending->timer;
  // Admission refuses the request at its latest start; the timer only covers a lost verdict.
  pending->timer.expires_after(applicant.latest_start - now + kVerdictTimeoutMargin);
  net::error_code ec;
  co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  caller_state_->timer = nullptr;
  node_.Withdraw(applicant.id);
  metrics_.Record(process::Latency::kQueue, MonotonicNow() - now);
  if (caller_state_->disconnected) {
    if (auto* placed = std::get_if<serving::PlacementResult>(&pending->verdict)) {
      node_.ReturnPermit(*placed, MonotonicNow());
      node_.OnResponseStarted(placed->id, applicant.query.prompt_tokens);
      node_.OnFinishedWithoutResult(placed->id);
    }
    co_return std::monostate{};
  }
  if (std::holds_alternative<std::monostate>(pending->verdict)) {
    co_return serving::Refusal{
        serving::RefusalReason::kWaitedTooLong,
        node_.RetryAfter(service_, PriorityRank(), deadline_, MonotonicNow())};
  }
  co_return pending->verdict;
}

std::vector<serving::CrashSubject> Exchange::Subjects(bool for_evidence) {
  std::vector<serving::CrashSubject> subjects;
  if (engine_ != nullptr) {
    for (const auto& it : request_.shared_prompt_parts) {
      subjects.push_back({serving::SubjectKind::kPromptPart, it});
    }
  }
  // The key takes a pass over the body, so it is computed only where something is known of requests
  // like this one.
  if (!request_prehash_) request_prehash_ = serving::RequestPrehash(Identity());
  if (for_evidence || node_.crash_guard().TracksRequest(*request_prehash_)) {
    subjects.push_back({serving::SubjectKind::kRequest, RequestKey()});
  }
  return subjects;
}

bool Exchange::SubjectsAllowRepeat() {
  return !history_.may_have_run || !node_.crash_guard().Suspicious(Subjects(), MonotonicNow());
}

Task<void> Exchange::RejectSubject(serving::CrashSubject subject) {
  const std::string reason =
      std::string(serving::PolicyOf(subject).condemned_reason) + ": " + subject.id;
  co_await Respond(kCondemnedStatus, reason);
}

Task<void> Exchange::RefuseSuspect(serving::CrashSubject subject, Duration retry_after) {
  co_await Refuse(serving::PolicyOf(subject).suspect_reason, retry_after);
}

Task<bool> Exchange::AdmitSubjects() {
  const TimePoint until =
      received_at_ + std::min(Duration(kMaxTrialWait), TimeLeft() / kTrialWaitDivisor);
  TimePoint now = received_at_;
  auto decision = node_.AdmitSubjects(Subjects(), now);
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  while (decision.kind == serving::CrashDecision::Kind::kWait && decision.may_end_soon &&
         now < until) {
    caller_state_->timer = &timer;
    timer.expires_after(kTrialPollInterval);
    net::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    caller_state_->timer = nullptr;
    if (caller_state_->disconnected) {
      caller_.CloseAfter();
      co_return false;
    }
    now = MonotonicNow();
    decision = node_.AdmitSubjects(Subjects(), now);
  }
  switch (decision.kind) {
    case serving::CrashDecision::Kind::kFree:
      co_return true;
    case serving::CrashDecision::Kind::kTrial:
      trials_ = std::move(decision.trials);
      co_return true;
    case serving::CrashDecision::Kind::kWait:
      co_await RefuseSuspect(decision.subject, decision.retry_after);
      co_return false;
    case serving::CrashDecision::Kind::kCondemned:
      co_await RejectSubject(decision.subject);
      co_return false;
  }
  co_return true;
}

Task<void> Exchange::FinishBlocked(serving::CrashSubject subject, AttemptOutcome last) {
  if (history_.may_have_run || history_.response_started) {
    co_await Finish(serving::StepWithoutRetry(history_, last), last);
  } else if (node_.crash_guard().Condemned(subject)) {
    co_await RejectSubject(subject);
  } else {
    co_await RefuseSuspect(subject, kBlockedRetryAfter);
  }
}

Task<void> Exchange::WaitForRetryPermit() {
  const TimePoint until = std::min(MonotonicNow() + kMaxRetryPermitWait, AnswerBy());
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  for (TimePoint now = MonotonicNow(); now < until; now = MonotonicNow()) {
    if (node_.retry_pool().CanTake(service_, now)) co_return;
    if (!node_.AskForRetryPermit(service_, now)) co_return;
    timer.expires_after(kRetryPermitPollInterval);
    net::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void Exchange::ReportOutcome(const serving::PlacementResult& placed, AttemptOutcome outcome) {
  const TimePoint now = MonotonicNow();
  ClearResponsePending(placed.id);
  switch (outcome) {
    case AttemptOutcome::kDelivered:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kSuccess, now);
    case AttemptOutcome::kNotConnected:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kConnectFailed, now);
    case AttemptOutcome::kNotRun:
      return node_.OnRefused(placed.id, now);
    case AttemptOutcome::kServerError:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kServerError, now);
    case AttemptOutcome::kNoValidResponse:
    case AttemptOutcome::kStreamInterrupted:
    case AttemptOutcome::kStreamTooLong:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kBroken, now);
    case AttemptOutcome::kResponseTimeout:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kTimeout, now);
    case AttemptOutcome::kEndpointIneligible:
    case AttemptOutcome::kWeightsSuperseded:
    case AttemptOutcome::kDeadlineExceeded:
    case AttemptOutcome::kCallerDisconnected:
      // An endpoint that sends and does not get on is faulty, whoever gives up on it.
      if (progress_.Stalled(kStreamReadTimeout, now)) {
        return node_.OnFinished(placed.id, traffic::AttemptResult::kTimeout, now);
      }
      return node_.OnFinishedWithoutResult(placed.id);
  }
}

double Exchange::FirstEventMs() const {
  return first_event_at_ == TimePoint{} ? -1 : ToMilliseconds(first_event_at_ - received_at_);
}

void Exchange::LogAttempt(const serving::PlacementResult& placed, AttemptOutcome outcome,
                          NextStep next, bool asked_for_retry, TimePoint started, TimePoint now) {
  nlohmann::json fields{{"request", request_.attempt_id},
                        {"route", route_->name},
                        {"endpoint", placed.id},
                        {"load", placed.load},
                        {"slots", placed.slots},
                        {"weights", placed.weights_version},
                        {"answered_weights", answered_version_},
                        {"outcome", serving::kAttemptOutcomes.Name(outcome)},
                        {"status", last_status_},
                        {"next", serving::kNextSteps.Name(next)},
                        {"waited_ms", ToMilliseconds(started - received_at_)},
                        {"first_event_ms", FirstEventMs()},
                        {"longest_pause_ms", ToMilliseconds(max_event_gap_)},
                        {"ms", ToMilliseconds(now - received_at_)}};
  // Time until no request may start on the weights of the endpoint any more.
  const auto overdue =
      engine_ == nullptr ? std::nullopt
                         : node_.TimeSinceWeightsBound(engine_->model, placed.weights_version, now);
  if (overdue) fields["weights_bound_ms"] = -ToMilliseconds(*overdue);
  if (last_request_limit_) fields["limit"] = *last_request_limit_;
  // The attempts that may have ended their endpoint.
  if (outcome == AttemptOutcome::kNoValidResponse) {
    fields["request_key"] = RequestKey();
    if (engine_ != nullptr) fields["prompt_parts"] = request_.shared_prompt_parts;
  }
  if (asked_for_retry) {
    fields["retry_permits"] = node_.retry_pool().Held(service_, now);
  }
  LogEvent(Event::kAttemptEnded, fields);
}

Task<void> Exchange::RelayErrorResponse() {
  co_await caller_.RespondLines(error_response_->status, std::move(error_response_->header_lines),
                                std::move(error_response_->body));
}

Task<void> Exchange::Finish(NextStep step, AttemptOutcome last) {
  switch (step) {
    case NextStep::kForwardFailure:
      if (error_response_) co_await RelayErrorResponse();
      break;
    case NextStep::kRefuse:
      co_await Refuse(serving::kAttemptOutcomes.Name(last),
                      node_.RetryAfter(service_, PriorityRank(), deadline_, MonotonicNow()));
      break;
    case NextStep::kOutcomeUnknown:
      if (error_response_) {
        // The error response of an earlier endpoint tells the caller more than a broken connection.
        co_await RelayErrorResponse();
      } else {
        const bool timed_out =
            last == AttemptOutcome::kDeadlineExceeded || last == AttemptOutcome::kResponseTimeout;
        co_await Respond(timed_out ? 504 : 502, serving::kAttemptOutcomes.Name(last));
      }
      break;
    case NextStep::kCutStream:
      metrics_.Add(Counter::kStreamCut);
      LogEvent(Event::kStreamBrokenOff, {{"request", request_.attempt_id},
                                         {"cause", serving::kAttemptOutcomes.Name(last)},
                                         {"last_event", last_event_id_.value_or(-1)},
                                         {"sends", history_.sends},
                                         {"ms", ToMilliseconds(MonotonicNow() - received_at_)}});
      caller_.CloseAfter();
      break;
    default:
      break;
  }
}

Task<void> Exchange::Run() {
  metrics_.Add(Counter::kRequests);
  if (node_.draining()) caller_.CloseAfter();
  if (!node_.AcceptsRequest(received_at_)) {
    co_return co_await Refuse(kStopping, kStoppingRetryAfter);
  }
  if (!co_await ResolveRoute()) co_return;
  caller_.WatchCaller([state = caller_state_] {
    state->disconnected = true;
    state->EndWaits();
  });
  node_.CountRequest(service_, received_at_);
  if (!co_await AdmitSubjects()) co_return;
  while (true) {
    const auto verdict = co_await WaitForEndpoint();
    if (caller_state_->disconnected) {
      caller_.CloseAfter();
      co_return;
    }
    if (const auto* refusal = std::get_if<serving::Refusal>(&verdict)) {
      const auto reason = serving::kRefusalReasons.Name(refusal->reason);
      if (refusal->reason == serving::RefusalReason::kRequestLimit) {
        metrics_.Add(Counter::kRefusedByLimit);
      }
      if (history_.sends == 0 || (!history_.may_have_run && !history_.response_started)) {
        co_await Refuse(reason, refusal->retry_after);
      } else {
        const auto last =
            error_response_ ? AttemptOutcome::kServerError : AttemptOutcome::kNoValidResponse;
        const NextStep step = serving::StepWithoutRetry(history_, last);
        co_await Finish(step, last);
      }
      co_return;
    }
    auto placed = std::get<serving::PlacementResult>(verdict);
    attempt_events_ = 0;
    progress_.SetMaxTokens(request_.max_output_tokens);
    progress_.BeginAttempt(MonotonicNow());
    attempt_begun_ = false;
    attempt_resumes_ = last_event_id_ || request_.last_event_id;
    attempt_sent_ = false;
    const TimePoint attempt_started = MonotonicNow();
    response_pending_ = true;
    last_request_limit_.reset();
    answered_version_ = 0;
    current_endpoint_ = placed.id;
    response_start_deadline_.reset();
    AttemptOutcome outcome = AttemptOutcome::kCallerDisconnected;
    try {
      outcome = co_await Attempt(placed);
    } catch (const net::NetError&) {
      // Attempt() turns errors of the upstream connection into outcomes, so this error comes from
      // the caller's connection, which the deadline may have closed.
      caller_state_->upstream = nullptr;
      if (caller_state_->deadline_passed) outcome = AttemptOutcome::kDeadlineExceeded;
    }
    node_.ReturnPermit(placed, MonotonicNow());
    ReportOutcome(placed, outcome);
    // The endpoint stays eligible after a failed connection that is not the first one of this
    // request, so that it can be tried once more, and after a withheld request, because it may be
    // the only endpoint and accepts requests again later.
    const bool stays_eligible = outcome == AttemptOutcome::kEndpointIneligible ||
                                (outcome == AttemptOutcome::kNotConnected && history_.unsent > 0);
    if (!stays_eligible) {
      tried_endpoints_.push_back(placed.id);
    }
    serving::RecordOutcome(history_, outcome);
    if (outcome == AttemptOutcome::kWeightsSuperseded) {
      metrics_.Add(Counter::kWithdrawnBeforeWeightsBound);
    }
    co_await RecordCrashEvidence(placed, outcome);
    TimePoint now = MonotonicNow();
    // A further endpoint may end under the request as well.
    const bool may_repeat = SubjectsAllowRepeat();
    if (may_repeat && serving::NeedsRetry(*route_, history_, outcome, AnswerBy() - now)) {
      co_await WaitForRetryPermit();
      now = MonotonicNow();
    }
    bool asked_for_retry = false;
    const NextStep step =
        serving::DecideNextStep(*route_, history_, outcome, AnswerBy() - now, [&] {
          asked_for_retry = may_repeat;
          if (!may_repeat) return false;
          metrics_.Add(Counter::kRetries);
          return node_.TakeRetry(service_, now);
        });
    LogAttempt(placed, outcome, step, asked_for_retry, attempt_started, now);
    if (step == NextStep::kTryAnother || step == NextStep::kContinueStream) {
      const auto blocked = node_.crash_guard().Blocked(Subjects(), trials_, now);
      if (!blocked) continue;
      co_await FinishBlocked(*blocked, outcome);
      co_return;
    }
    if (outcome == AttemptOutcome::kCallerDisconnected) caller_.CloseAfter();
    if (outcome == AttemptOutcome::kDelivered) {
      metrics_.Add(Counter::kComplete);
      metrics_.Record(process::Latency::kRequest, now - received_at_);
    }
    co_await Finish(step, outcome);
    co_return;
  }
}

}  // namespace wagtailslip::ingress
