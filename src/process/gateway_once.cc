// At-most-once calls: the intent is committed before the first byte goes to an endpoint and the
// outcome before the caller is answered.
#include <algorithm>

#include "api_error.h"
#include "gateway.h"
#include "wagtailslip/process/clock.h"

namespace wagtailslip::process {
namespace {

using net::Task;

constexpr Duration kIntentTimeout = std::chrono::seconds(5);
// The outcome is worth waiting for: without it the call ends as unknown for every resend.
constexpr Duration kOutcomeTimeout = std::chrono::seconds(15);
/// Pause before an outcome without an answer is proposed again; about one election.
constexpr Duration kRecordPause = std::chrono::seconds(1);
constexpr Duration kPollPeriod = std::chrono::milliseconds(50);

Digest RequestDigest(const Call& call) {
  return Sha256(call.model + "\n" + call.target + "\n" + call.body);
}

}  // namespace

Task<Gateway::RecordedCall> Gateway::FindRecorded(const Call& call) {
  const std::function<RecordedCall(const EntryControl&, TimePoint)> find =
      [account = call.account, key = call.key](const EntryControl& control, TimePoint) {
        const auto* it = control.machine().FindCall(account, key);
        return it == nullptr ? RecordedCall() : RecordedCall(*it);
      };
  const auto found = co_await shared_.control.Ask<RecordedCall>(find);
  if (!found) throw ApiError(503, "busy", "the control thread did not answer");
  if (*found && (*found)->request != RequestDigest(call)) {
    throw ApiError(409, "key_reused", "the idempotency key belongs to another request",
                   "Idempotency-Key");
  }
  co_return *found;
}

Task<void> Gateway::ServeRecorded(net::HttpExchange& exchange, const Call& call) {
  Ending ending;
  ending.outcome = config::CallOutcome::kUnknown;
  ending.code = "pending";
  ending.message = "the call may have run and is not run again";
  while (true) {
    const RecordedCall record = co_await FindRecorded(call);
    if (record && record->outcome == config::CallOutcome::kComplete) {
      shared_.metrics.Add(Counter::kRecordedAnswers);
      Answer answer;
      answer.status = record->status;
      answer.content_type = record->content_type;
      answer.body = record->body;
      if (!record->body_kept) {
        answer.content_type = "application/json";
        answer.body = R"({"recorded":true,"body_sha256":")" + record->body_digest.Hex() + "\"}";
      }
      ending.outcome = config::CallOutcome::kComplete;
      ending.answer = std::move(answer);
      break;
    }
    if (record && record->outcome == config::CallOutcome::kNotRun) {
      ending.outcome = config::CallOutcome::kNotRun;
      ending.code = "not_run";
      ending.message = "the call was not run; it may be sent again";
      ending.retry_after = std::chrono::seconds(1);
      break;
    }
    if (record && record->outcome == config::CallOutcome::kUnknown) {
      ending.code = "outcome_unknown";
      break;
    }
    if (MonotonicNow() + kPollPeriod >= call.deadline) break;
    co_await Sleep(kPollPeriod);
  }
  co_await Finish(exchange, call, std::move(ending));
}

Task<void> Gateway::RespondNotRun(net::HttpExchange& exchange, const Call& call, std::string code,
                                  std::string message, Duration retry_after) {
  Ending ending;
  ending.outcome = config::CallOutcome::kNotRun;
  ending.code = std::move(code);
  ending.message = std::move(message);
  ending.retry_after = retry_after;
  co_await Finish(exchange, call, std::move(ending));
}

Task<void> Gateway::ServeOnce(net::HttpExchange& exchange, Call& call) {
  const RecordedCall earlier = co_await FindRecorded(call);
  if (earlier && earlier->outcome != config::CallOutcome::kNotRun) {
    co_await ServeRecorded(exchange, call);
    co_return;
  }
  const std::string key = config::CallKey(call.account, call.key);
  if (!shared_.once_keys.Begin(key)) {
    co_await ServeRecorded(exchange, call);
    co_return;
  }
  // The slot comes first: a call that is refused here leaves no intent behind.
  const QueueOutcome refusal = co_await WaitForSlot(call);
  if (refusal) {
    shared_.once_keys.End(key);
    const std::string code(traffic::kRefusalReasons.Name(refusal->reason));
    co_await RespondNotRun(exchange, call, code, "the request was refused before it was run",
                           refusal->retry_after);
    co_return;
  }
  const std::uint32_t attempt = earlier ? earlier->attempt + 1 : 1;
  co_await RunOnce(exchange, call, attempt);
}

Task<void> Gateway::RecordNotRun(std::string key, config::OutcomeRecorded outcome) {
  // Until it is answered, the outcome may still be committed. Another request with the key would
  // take the same attempt and be recorded as not run while it runs, so the key stays in use.
  while (true) {
    const auto recorded = co_await shared_.control.Propose(outcome, kOutcomeTimeout);
    if (recorded) break;
    co_await Sleep(kRecordPause);
  }
  shared_.once_keys.End(key);
}

Task<void> Gateway::RunOnce(net::HttpExchange& exchange, const Call& call, std::uint32_t attempt) {
  const std::string key = config::CallKey(call.account, call.key);
  const auto published = shared_.published.Load();
  config::IntentRecorded intent;
  intent.account = call.account;
  intent.key = call.key;
  intent.request = RequestDigest(call);
  intent.owner = shared_.settings.id;
  intent.owner_incarnation = published->incarnation;
  intent.attempt = attempt;
  config::OutcomeRecorded outcome;
  outcome.account = call.account;
  outcome.key = call.key;
  outcome.owner = intent.owner;
  outcome.owner_incarnation = intent.owner_incarnation;
  outcome.attempt = attempt;

  const TimePoint asked = MonotonicNow();
  const auto answer = co_await shared_.control.Propose(intent, kIntentTimeout);
  shared_.metrics.Record(Latency::kCommit, MonotonicNow() - asked);
  bool mine = answer && answer->status == config::ApplyStatus::kApplied;
  if (answer && answer->status == config::ApplyStatus::kDuplicate) {
    // After a lost reply the second copy of this process's own intent is answered as repeated. No
    // other request of this process can have run it, because its key would still be listed.
    const RecordedCall record = co_await FindRecorded(call);
    mine = record && record->outcome == config::CallOutcome::kPending &&
           record->owner == intent.owner && record->owner_incarnation == intent.owner_incarnation &&
           record->attempt == attempt;
  }
  if (!mine) {
    shared_.dispatcher.Finish(call.queue_id, std::nullopt, MonotonicNow());
    if (answer) {
      shared_.once_keys.End(key);
    } else {
      // The intent may still be committed; without an outcome every resend would wait for one.
      outcome.outcome = config::CallOutcome::kNotRun;
      auto executor = co_await net::asio::this_coro::executor;
      net::asio::co_spawn(executor, RecordNotRun(key, outcome), net::asio::detached);
    }
    if (answer && answer->status == config::ApplyStatus::kDuplicate) {
      co_await ServeRecorded(exchange, call);
    } else {
      const std::string code = answer ? answer->code : std::string("no_quorum");
      const std::string message =
          answer ? answer->message : std::string("the intent could not be recorded");
      co_await RespondNotRun(exchange, call, code, message, std::chrono::seconds(1));
    }
    co_return;
  }
  Ending ending;
  std::exception_ptr problem;
  try {
    ending = co_await RunAttempts(exchange, call);
  } catch (const std::exception&) {
    problem = std::current_exception();
  }
  std::optional<double> tokens;
  if (ending.tokens > 0) tokens = ending.tokens;
  shared_.dispatcher.Finish(call.queue_id, tokens, MonotonicNow());
  outcome.outcome = ending.outcome;
  if (ending.answer) {
    outcome.status = ending.answer->status;
    outcome.content_type = ending.answer->content_type;
    outcome.body = ending.answer->body;
  }
  const auto recorded = co_await shared_.control.Propose(outcome, kOutcomeTimeout);
  const bool kept = recorded && recorded->ok();
  if (kept) shared_.once_keys.End(key);
  if (problem) std::rethrow_exception(problem);
  if (!kept && ending.outcome == config::CallOutcome::kComplete) {
    // The caller must hear what a resend would hear; a complete answer that was not recorded would
    // contradict a later "unknown". "not run" stays true whether it was recorded or not.
    ending.outcome = config::CallOutcome::kUnknown;
    ending.code = "outcome_not_recorded";
    ending.message = "the call ran but its outcome could not be recorded";
  }
  co_await Finish(exchange, call, std::move(ending));
}

}  // namespace wagtailslip::process
