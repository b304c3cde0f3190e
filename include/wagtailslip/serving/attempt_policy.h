#pragma once

#include <cstdint>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::serving {

/// How one attempt at an endpoint ended.
enum class AttemptOutcome {
  kDelivered,           ///< The endpoint's whole answer reached the caller.
  kNotConnected,        ///< No byte of the request was sent.
  kEndpointIneligible,  ///< The endpoint must not get the request any more; no byte of it was sent.
  kNotRun,              ///< The endpoint said that it did not run the request.
  kServerError,         ///< A whole answer with a server error; it has run.
  kNoValidResponse,  ///< The answer is missing, damaged or cut, and the caller has seen none of it.
  kResponseTimeout,  ///< No answer in time; the endpoint may still be at work.
  kStreamInterrupted,  ///< A stream broke off after the caller had seen a part of it.
  kWeightsSuperseded,  ///< The endpoint's weights were overtaken before the answer began.
  kDeadlineExceeded,   ///< The caller's time is over.
  kCallerDisconnected,
};
inline constexpr EnumTable<AttemptOutcome, 11> kAttemptOutcomes{
    {{{AttemptOutcome::kDelivered, "delivered"},
      {AttemptOutcome::kNotConnected, "not-connected"},
      {AttemptOutcome::kEndpointIneligible, "withheld"},
      {AttemptOutcome::kNotRun, "not-run"},
      {AttemptOutcome::kServerError, "failed"},
      {AttemptOutcome::kNoValidResponse, "broken"},
      {AttemptOutcome::kResponseTimeout, "silent"},
      {AttemptOutcome::kStreamInterrupted, "cut"},
      {AttemptOutcome::kWeightsSuperseded, "overtaken"},
      {AttemptOutcome::kDeadlineExceeded, "expired"},
      {AttemptOutcome::kCallerDisconnected, "caller-gone"}}}};

/// What follows an attempt.
enum class NextStep {
  kDone,
  kTryAnother,
  kContinueStream,  ///< Another endpoint goes on after the last event that the caller has.
  kForwardFailure,  ///< The endpoint's own failure is the answer.
  kRefuse,          ///< The request has not run and will not: 503 with Retry-After.
  kOutcomeUnknown,  ///< The request may have run: 502, or 504 if time ran out.
  kCutStream,       ///< The caller's connection is closed before the end of the answer.
};
inline constexpr EnumTable<NextStep, 7> kNextSteps{{{{NextStep::kDone, "done"},
                                                     {NextStep::kTryAnother, "try-another"},
                                                     {NextStep::kContinueStream, "continue-stream"},
                                                     {NextStep::kForwardFailure, "pass-failure"},
                                                     {NextStep::kRefuse, "refuse"},
                                                     {NextStep::kOutcomeUnknown, "unknown"},
                                                     {NextStep::kCutStream, "cut-stream"}}}};

/// What has happened to a request so far.
struct AttemptHistory {
  /// Attempts whose request was sent, whether or not it ran.
  std::uint32_t sends = 0;
  /// Attempts without a connection.
  std::uint32_t unsent = 0;
  /// Some attempt may have run.
  bool may_have_run = false;
  /// The caller has seen the header of an answer.
  bool response_started = false;
};

/// Attempts without a connection after which a request is given up.
inline constexpr std::uint32_t kMaxUnsentAttempts = 4;

/// Notes the end of an attempt in the history.
void RecordOutcome(AttemptHistory& history, AttemptOutcome outcome);

/// Decides what follows an attempt.
/// @param history includes the attempt, see RecordOutcome
/// @param time_left until the caller's deadline or the route's timeout
/// @param take_retry takes one repeat from the budget; called only if nothing else forbids another
///     send
template <typename TakeRetry>
NextStep DecideNextStep(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                        Duration time_left, TakeRetry take_retry);

/// The decision if the budget allows a repeat; kTryAnother and kContinueStream need one when
/// something was sent before.
NextStep StepWithRetry(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                       Duration time_left);
/// The decision without another attempt.
NextStep StepWithoutRetry(const AttemptHistory& history, AttemptOutcome outcome);

template <typename TakeRetry>
NextStep DecideNextStep(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                        Duration time_left, TakeRetry take_retry) {
  const NextStep step = StepWithRetry(route, history, outcome, time_left);
  const bool sends_again = step == NextStep::kTryAnother || step == NextStep::kContinueStream;
  if (sends_again && history.sends > 0 && !take_retry()) return StepWithoutRetry(history, outcome);
  return step;
}

}  // namespace wagtailslip::serving
