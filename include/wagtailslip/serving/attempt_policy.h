#pragma once

#include <cstdint>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::serving {

/// How one attempt at an endpoint ended.
enum class AttemptOutcome {
  kDelivered,           ///< The endpoint's complete response was delivered to the caller.
  kNotConnected,        ///< The connection failed; no byte of the request was sent.
  kEndpointIneligible,  ///< The endpoint ceased to be eligible before any byte was sent to it.
  kNotRun,              ///< The endpoint reported that it did not run the request.
  kServerError,         ///< A complete response with a server error; the request has run.
  kNoValidResponse,     ///< The response is missing, invalid or truncated; nothing was forwarded.
  kResponseTimeout,     ///< No response in time; the endpoint may still be running the request.
  kStreamInterrupted,   ///< A stream ended early after a part of it had been forwarded.
  kStreamTooLong,       ///< More events than the answer has tokens; no endpoint can continue it.
  kWeightsSuperseded,   ///< The endpoint's weights became outdated before the response began.
  kDeadlineExceeded,    ///< The caller's deadline has passed.
  kCallerDisconnected,
};
/// Outcome names in log events and responses.
inline constexpr EnumTable<AttemptOutcome, 12> kAttemptOutcomes{
    {{{AttemptOutcome::kDelivered, "delivered"},
      {AttemptOutcome::kNotConnected, "not-connected"},
      {AttemptOutcome::kEndpointIneligible, "withheld"},
      {AttemptOutcome::kNotRun, "not-run"},
      {AttemptOutcome::kServerError, "failed"},
      {AttemptOutcome::kNoValidResponse, "broken"},
      {AttemptOutcome::kResponseTimeout, "silent"},
      {AttemptOutcome::kStreamInterrupted, "cut"},
      {AttemptOutcome::kStreamTooLong, "too-long"},
      {AttemptOutcome::kWeightsSuperseded, "overtaken"},
      {AttemptOutcome::kDeadlineExceeded, "expired"},
      {AttemptOutcome::kCallerDisconnected, "caller-gone"}}}};

/// What to do after an attempt.
enum class NextStep {
  kDone,
  kTryAnother,
  kContinueStream,  ///< Another endpoint resumes the stream after the last forwarded event.
  kForwardFailure,  ///< Respond with the error response of the endpoint.
  kRefuse,          ///< The request has not run and will not: 503 with Retry-After.
  kOutcomeUnknown,  ///< The request may have run: 502, or 504 if time ran out.
  kCutStream,       ///< Close the caller's connection before the end of the response.
};
inline constexpr EnumTable<NextStep, 7> kNextSteps{{{{NextStep::kDone, "done"},
                                                     {NextStep::kTryAnother, "try-another"},
                                                     {NextStep::kContinueStream, "continue-stream"},
                                                     {NextStep::kForwardFailure, "pass-failure"},
                                                     {NextStep::kRefuse, "refuse"},
                                                     {NextStep::kOutcomeUnknown, "unknown"},
                                                     {NextStep::kCutStream, "cut-stream"}}}};

/// The attempts of a request so far.
struct AttemptHistory {
  /// Attempts that sent the request, whether or not it ran.
  std::uint32_t sends = 0;
  /// Attempts that sent nothing: the connection failed or the endpoint became ineligible.
  std::uint32_t unsent = 0;
  /// At least one attempt may have run.
  bool may_have_run = false;
  /// The header of a response was sent to the caller.
  bool response_started = false;
};

/// Number of attempts that sent nothing after which the request fails.
inline constexpr std::uint32_t kMaxUnsentAttempts = 4;

/// Adds the outcome of an attempt to the history.
void RecordOutcome(AttemptHistory& history, AttemptOutcome outcome);

/// Decides what to do after an attempt.
/// @param history includes the attempt, see RecordOutcome
/// @param time_left until the caller's deadline or the route's timeout
/// @param take_retry takes one retry from the budget; called only if everything else allows another
///     send
template <typename TakeRetry>
NextStep DecideNextStep(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                        Duration time_left, TakeRetry take_retry);

/// The next step if the retry budget permits a retry. kTryAnother and kContinueStream need a retry
/// from the budget if the request was sent before.
NextStep StepWithRetry(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                       Duration time_left);
/// The next step if no further attempt is made.
NextStep StepWithoutRetry(const AttemptHistory& history, AttemptOutcome outcome);

/// Whether the next step needs a retry from the budget.
inline bool NeedsRetry(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                       Duration time_left) {
  const NextStep step = StepWithRetry(route, history, outcome, time_left);
  const bool sends_again = step == NextStep::kTryAnother || step == NextStep::kContinueStream;
  return sends_again && history.sends > 0;
}

template <typename TakeRetry>
NextStep DecideNextStep(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                        Duration time_left, TakeRetry take_retry) {
  if (NeedsRetry(route, history, outcome, time_left) && !take_retry()) {
    return StepWithoutRetry(history, outcome);
  }
  return StepWithRetry(route, history, outcome, time_left);
}

}  // namespace wagtailslip::serving
