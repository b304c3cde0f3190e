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
constexpr Duration kPollPeriod = std::chrono::milliseconds(50);

Digest RequestDigest(const Call& call) {
  return Sha256(call.model + "\n" + call.target + "\n" + call.body);
}

}  // namespace

Task<bool> Gateway::ServeRecorded(net::HttpExchange& exchange, const Call& call,
                                  std::uint32_t& attempt) {
  using Record = std::optional<config::Call>;
  const Digest digest = RequestDigest(call);
  const std::function<Record(const EntryControl&, TimePoint)> find_call =
      [account = call.account, key = call.key](const EntryControl& control, TimePoint) {
        const auto* it = control.machine().FindCall(account, key);
        return it == nullptr ? Record() : Record(*it);
      };
  while (true) {
    const auto found = co_await shared_.control.Ask<Record>(find_call);
    if (!found || !*found) co_return false;
    const config::Call& record = **found;
    if (record.request != digest) {
      throw ApiError(409, "key_reused", "the idempotency key belongs to another request",
                     "Idempotency-Key");
    }
    if (record.outcome == config::CallOutcome::kNotRun) {
      attempt = record.attempt + 1;
      co_return false;
    }
    Ending ending;
    ending.outcome = record.outcome;
    if (record.outcome == config::CallOutcome::kComplete) {
      shared_.metrics.Add(Counter::kRecordedAnswers);
      Answer answer;
      answer.status = record.status;
      answer.content_type = record.content_type;
      answer.body = record.body;
      if (!record.body_kept) {
        answer.content_type = "application/json";
        answer.body = R"({"recorded":true,"body_sha256":")" + record.body_digest.Hex() + "\"}";
      }
      ending.answer = std::move(answer);
      co_await Finish(exchange, call, std::move(ending));
      co_return true;
    }
    const bool expired = MonotonicNow() + kPollPeriod >= call.deadline;
    if (record.outcome == config::CallOutcome::kUnknown || expired) {
      ending.outcome = config::CallOutcome::kUnknown;
      ending.code = record.outcome == config::CallOutcome::kUnknown ? "outcome_unknown" : "pending";
      ending.message = "the call may have run and is not run again";
      co_await Finish(exchange, call, std::move(ending));
      co_return true;
    }
    co_await Sleep(kPollPeriod);
  }
}

Task<void> Gateway::ServeOnce(net::HttpExchange& exchange, Call& call) {
  std::uint32_t attempt = 1;
  if (co_await ServeRecorded(exchange, call, attempt)) co_return;
  // The slot comes first: a call that is refused here leaves no intent behind.
  const QueueOutcome refusal = co_await WaitForSlot(call);
  if (refusal) {
    Ending ending;
    ending.outcome = config::CallOutcome::kNotRun;
    ending.code = traffic::kRefusalReasons.Name(refusal->reason);
    ending.message = "the request was refused before it was run";
    ending.retry_after = refusal->retry_after;
    co_await Finish(exchange, call, std::move(ending));
    co_return;
  }
  const auto published = shared_.published.Load();
  config::IntentRecorded intent;
  intent.account = call.account;
  intent.key = call.key;
  intent.request = RequestDigest(call);
  intent.owner = shared_.settings.id;
  intent.owner_incarnation = published->incarnation;
  intent.attempt = attempt;
  const TimePoint asked = MonotonicNow();
  const auto answer = co_await shared_.control.Propose(intent, kIntentTimeout);
  shared_.metrics.Record(Latency::kCommit, MonotonicNow() - asked);
  const bool mine = answer && answer->status == config::ApplyStatus::kApplied;
  if (!mine) {
    shared_.dispatcher.Finish(call.queue_id, std::nullopt, MonotonicNow());
    if (answer && answer->status == config::ApplyStatus::kRepeated &&
        co_await ServeRecorded(exchange, call, attempt)) {
      co_return;
    }
    if (!answer) {
      // The intent may still be committed; without an outcome every resend would wait for one. It
      // is not "not-run", which permits another attempt: a concurrent request of the same key on
      // this process may own the intent and run the call.
      config::OutcomeRecorded unresolved{call.account, call.key, intent.owner,
                                         intent.owner_incarnation, config::CallOutcome::kUnknown};
      unresolved.attempt = attempt;
      co_await shared_.control.Propose(unresolved, kIntentTimeout);
    }
    Ending ending;
    ending.outcome = config::CallOutcome::kNotRun;
    ending.code = answer ? answer->code : "no_quorum";
    ending.message = answer ? answer->message : "the intent could not be recorded";
    ending.retry_after = std::chrono::seconds(1);
    co_await Finish(exchange, call, std::move(ending));
    co_return;
  }
  Ending ending;
  std::exception_ptr problem;
  try {
    ending = co_await RunAttempts(exchange, call);
  } catch (const std::exception&) {
    problem = std::current_exception();
  }
  shared_.dispatcher.Finish(call.queue_id,
                            ending.tokens > 0 ? std::optional(ending.tokens) : std::nullopt,
                            MonotonicNow());
  config::OutcomeRecorded record;
  record.account = call.account;
  record.key = call.key;
  record.owner = intent.owner;
  record.owner_incarnation = intent.owner_incarnation;
  record.outcome = ending.outcome;
  record.attempt = intent.attempt;
  if (ending.answer) {
    record.status = ending.answer->status;
    record.content_type = ending.answer->content_type;
    record.body = ending.answer->body;
  }
  const auto recorded = co_await shared_.control.Propose(record, kOutcomeTimeout);
  if (problem) std::rethrow_exception(problem);
  if (!recorded || !recorded->ok()) {
    // The caller must hear what a resend would hear; a complete answer that was not recorded would
    // contradict a later "unknown". "not run" stays true whether it was recorded or not.
    if (ending.outcome == config::CallOutcome::kComplete) {
      ending.outcome = config::CallOutcome::kUnknown;
      ending.code = "outcome_not_recorded";
      ending.message = "the call ran but its outcome could not be recorded";
    }
  }
  co_await Finish(exchange, call, std::move(ending));
}

}  // namespace wagtailslip::process
