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

// Time after which a verdict that should have come with the latest start is taken for lost.
constexpr Duration kVerdictGuard = std::chrono::milliseconds(400);
constexpr Duration kDefaultObjective = std::chrono::milliseconds(300);

}  // namespace

Exchange::Exchange(IngressNode& node, process::Metrics& metrics, net::HttpExchange& caller)
    : node_(node),
      metrics_(metrics),
      caller_(caller),
      request_(platform::DecodeCallerRequest(caller.request())),
      received_(MonotonicNow()),
      presence_(std::make_shared<Presence>()) {}

Duration Exchange::Objective() const {
  return route_->latency_objective > Duration::zero() ? route_->latency_objective
                                                      : kDefaultObjective;
}

std::string Exchange::AccountName() const {
  return account_ == nullptr ? std::string() : account_->name;
}

std::uint32_t Exchange::Priority() const {
  return account_ == nullptr ? route_->priority : account_->priority;
}

Duration Exchange::TimeLeft() const { return deadline_ - MonotonicNow(); }

Task<void> Exchange::Answer(unsigned status, std::string_view reason,
                            std::optional<Duration> retry_after) {
  nlohmann::json fields{{"request", request_.attempt_id},
                        {"status", status},
                        {"reason", reason},
                        {"route", route_ == nullptr ? "" : route_->name},
                        {"config", routes_ ? routes_->config().version : 0},
                        {"sends", history_.sends},
                        {"may_have_run", history_.may_have_run},
                        {"waiting", node_.waiting()},
                        {"came_back", late_},
                        {"ms", ToMilliseconds(MonotonicNow() - received_)}};
  if (retry_after) fields["retry_after_s"] = ToSeconds(*retry_after);
  LogEvent(status >= kFirstServerError ? Event::kRequestEnded : Event::kRequestRejected, fields);
  if (!history_.may_have_run) metrics_.Add(Counter::kNotRun);
  if (history_.may_have_run) metrics_.Add(Counter::kUnknown);
  std::string lines = platform::LocalResponseHeaderLines(request_, retry_after);
  lines += "Content-Type: text/plain\r\n";
  std::string body(reason);
  body += "\n";
  co_await caller_.RespondLines(status, std::move(lines), std::move(body));
}

Task<void> Exchange::Refuse(std::string_view reason, Duration retry_after) {
  co_await Answer(503, reason, retry_after);
}

Task<bool> Exchange::Resolve() {
  routes_ = node_.routes();
  if (!routes_) {
    co_await Refuse("no configuration is in force yet", node_.RetryAfterWithoutConfig());
    co_return false;
  }
  const auto target = caller_.request().target();
  route_ = routes_->Find(caller_.Header("Host"), caller_.path());
  if (route_ == nullptr) {
    co_await Answer(404, "no route matches");
    co_return false;
  }
  if (routes_->needs_key() && !route_->is_public) {
    account_ = routes_->FindAccount(request_.api_key);
    if (account_ == nullptr) {
      co_await Answer(401, "the key is unknown");
      co_return false;
    }
  }
  const std::uint64_t seed =
      Hash64(request_.attempt_id.empty() ? std::string_view(target.data(), target.size())
                                         : std::string_view(request_.attempt_id));
  service_ = serving::PickService(*route_, seed);
  const auto* service = routes_->config().FindService(service_);
  if (service != nullptr && service->engine) engine_ = &*service->engine;
  Duration allowed = route_->timeout;
  if (request_.time_left) {
    allowed = std::min(allowed, *request_.time_left);
    const Duration usual =
        node_.UsualTime(route_->name + "\n" + AccountName(), *request_.time_left, received_);
    late_ = *request_.time_left + Objective() < usual;
  }
  deadline_ = received_ + allowed;
  co_return true;
}

Task<serving::Verdict> Exchange::Place() {
  const TimePoint now = MonotonicNow();
  serving::Applicant applicant;
  applicant.id = node_.NextId();
  applicant.query.service = service_;
  applicant.query.excluded = tried_;
  applicant.query.repeatable = route_->repeatable();
  if (engine_ != nullptr) {
    node_.SetLeastWeights(engine_->model, applicant.query, now);
    applicant.query.required_weights_version = stream_weights_;
    applicant.query.prompt_tokens = request_.prompt_tokens;
    applicant.query.answer_tokens = request_.estimated_output_tokens > 0
                                        ? request_.estimated_output_tokens
                                        : engine_->usual_answer;
    const double usual = std::max(1.0, engine_->usual_prompt + 10 * engine_->usual_answer);
    applicant.cost =
        std::max(0.1, (request_.prompt_tokens + 10 * request_.max_output_tokens) / usual);
  }
  applicant.account = AccountName();
  applicant.priority = Priority();
  applicant.arrived = received_;
  applicant.query.late = late_;
  applicant.latest_start =
      serving::LatestStart({received_, Objective(), late_, history_.sends > 0, deadline_}, now);

  struct Waiting {
    explicit Waiting(const asio::any_io_executor& executor) : timer(executor) {}
    asio::steady_timer timer;
    serving::Verdict verdict;
  };
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  auto waiting = std::make_shared<Waiting>(executor);
  auto verdict = node_.Offer(
      applicant,
      [waiting](serving::Verdict later) {
        waiting->verdict = std::move(later);
        waiting->timer.cancel();
      },
      now);
  if (!std::holds_alternative<std::monostate>(verdict)) co_return verdict;
  presence_->timer = &waiting->timer;
  // The admission itself refuses at the latest start; the timer only guards against a lost verdict.
  waiting->timer.expires_after(applicant.latest_start - now + kVerdictGuard);
  net::error_code ec;
  co_await waiting->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  presence_->timer = nullptr;
  node_.Withdraw(applicant.id);
  metrics_.Record(process::Latency::kQueue, MonotonicNow() - now);
  if (presence_->gone) {
    if (const auto* placed = std::get_if<serving::PlacementResult>(&waiting->verdict)) {
      node_.OnBegun(placed->id, applicant.query.prompt_tokens);
      node_.OnReleased(placed->id);
    }
    co_return std::monostate{};
  }
  if (std::holds_alternative<std::monostate>(waiting->verdict)) {
    co_return serving::Refusal{serving::RefusalReason::kWaitedTooLong,
                               node_.RetryAfter(service_, MonotonicNow())};
  }
  co_return waiting->verdict;
}

void Exchange::Settle(const serving::PlacementResult& placed, AttemptOutcome outcome) {
  const TimePoint now = MonotonicNow();
  NoteBegun(placed.id);
  switch (outcome) {
    case AttemptOutcome::kDelivered:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kSuccess, now);
    case AttemptOutcome::kNotConnected:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kConnectFailed, now);
    case AttemptOutcome::kNotRun:
      return node_.OnRefused(placed.id, now);
    case AttemptOutcome::kFailed:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kServerError, now);
    case AttemptOutcome::kBroken:
    case AttemptOutcome::kCut:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kBroken, now);
    case AttemptOutcome::kSilent:
      return node_.OnFinished(placed.id, traffic::AttemptResult::kTimeout, now);
    case AttemptOutcome::kWithheld:
    case AttemptOutcome::kOvertaken:
    case AttemptOutcome::kExpired:
    case AttemptOutcome::kCallerGone:
      return node_.OnReleased(placed.id);
  }
}

double Exchange::FirstEventMs() const {
  return first_event_at_ == TimePoint{} ? -1 : ToMilliseconds(first_event_at_ - received_);
}

Task<void> Exchange::PassFailure() {
  co_await caller_.RespondLines(failure_->status, std::move(failure_->header_lines),
                                std::move(failure_->body));
}

Task<void> Exchange::Finish(NextStep step, AttemptOutcome last) {
  switch (step) {
    case NextStep::kPassFailure:
      if (failure_) co_await PassFailure();
      break;
    case NextStep::kRefuse:
      co_await Refuse(serving::kAttemptOutcomes.Name(last),
                      node_.RetryAfter(service_, MonotonicNow()));
      break;
    case NextStep::kUnknown:
      if (failure_) {
        // An earlier endpoint's own failure says more than that the last attempt broke off.
        co_await PassFailure();
      } else {
        const bool late = last == AttemptOutcome::kExpired || last == AttemptOutcome::kSilent;
        co_await Answer(late ? 504 : 502, serving::kAttemptOutcomes.Name(last));
      }
      break;
    case NextStep::kCutStream:
      metrics_.Add(Counter::kStreamCut);
      LogEvent(Event::kStreamBrokenOff, {{"request", request_.attempt_id},
                                         {"cause", serving::kAttemptOutcomes.Name(last)},
                                         {"last_event", last_event_.value_or(-1)},
                                         {"sends", history_.sends},
                                         {"ms", ToMilliseconds(MonotonicNow() - received_)}});
      caller_.CloseAfter();
      break;
    default:
      break;
  }
}

Task<void> Exchange::Run() {
  metrics_.Add(Counter::kRequests);
  if (node_.leaving()) caller_.CloseAfter();
  if (!co_await Resolve()) co_return;
  caller_.WatchCaller([presence = presence_] {
    presence->gone = true;
    if (presence->timer != nullptr) presence->timer->cancel();
    if (presence->upstream != nullptr) presence->upstream->Close();
  });
  node_.CountRequest(service_, received_);
  while (true) {
    const auto verdict = co_await Place();
    if (presence_->gone) {
      caller_.CloseAfter();
      co_return;
    }
    if (const auto* refusal = std::get_if<serving::Refusal>(&verdict)) {
      const auto reason = serving::kRefusalReasons.Name(refusal->reason);
      if (history_.sends == 0 || (!history_.may_have_run && !history_.answer_started)) {
        co_await Refuse(reason, refusal->retry_after);
      } else {
        const auto last = failure_ ? AttemptOutcome::kFailed : AttemptOutcome::kBroken;
        const NextStep step = serving::FinalNext(history_, last);
        co_await Finish(step, last);
      }
      co_return;
    }
    const auto placed = std::get<serving::PlacementResult>(verdict);
    const TimePoint begun = MonotonicNow();
    begin_pending_ = true;
    current_endpoint_ = placed.id;
    if (engine_ != nullptr)
      latest_begin_ = node_.LatestBegin(engine_->model, placed.weights_version);
    AttemptOutcome outcome = AttemptOutcome::kCallerGone;
    try {
      outcome = co_await Attempt(placed);
    } catch (const net::NetError&) {
      // Errors of the endpoint's connection are outcomes, so this one is the caller's connection.
      presence_->upstream = nullptr;
    }
    Settle(placed, outcome);
    // An endpoint that could not be reached may be tried once more, and one that takes nothing for
    // the moment may be the only one.
    const bool may_return = outcome == AttemptOutcome::kWithheld ||
                            (outcome == AttemptOutcome::kNotConnected && history_.unconnected > 0);
    if (!may_return) {
      tried_.push_back(placed.id);
    }
    serving::NoteOutcome(history_, outcome);
    const TimePoint now = MonotonicNow();
    const NextStep step = serving::DecideNext(*route_, history_, outcome, deadline_ - now, [&] {
      metrics_.Add(Counter::kRetries);
      return node_.TakeRepeat(service_, now);
    });
    LogEvent(Event::kAttemptEnded, {{"request", request_.attempt_id},
                                    {"route", route_->name},
                                    {"endpoint", placed.id},
                                    {"load", placed.load},
                                    {"slots", placed.slots},
                                    {"weights", placed.weights_version},
                                    {"outcome", serving::kAttemptOutcomes.Name(outcome)},
                                    {"status", last_status_},
                                    {"next", serving::kNextSteps.Name(step)},
                                    {"waited_ms", ToMilliseconds(begun - received_)},
                                    {"first_event_ms", FirstEventMs()},
                                    {"longest_pause_ms", ToMilliseconds(longest_pause_)},
                                    {"ms", ToMilliseconds(now - received_)}});
    if (step == NextStep::kTryAnother || step == NextStep::kContinueStream) continue;
    if (outcome == AttemptOutcome::kCallerGone) caller_.CloseAfter();
    if (outcome == AttemptOutcome::kDelivered) {
      metrics_.Add(Counter::kComplete);
      metrics_.Record(process::Latency::kRequest, now - received_);
    }
    co_await Finish(step, outcome);
    co_return;
  }
}

}  // namespace wagtailslip::ingress
