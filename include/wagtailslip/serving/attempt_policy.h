#pragma once

#include <cstdint>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::serving {

/// How one attempt at an endpoint ended.
enum class AttemptOutcome {
  kDelivered,     ///< The endpoint's whole answer reached the caller.
  kNotConnected,  ///< No byte of the request was sent.
  kWithheld,      ///< The endpoint must not get the request any more; no byte of it was sent.
  kNotRun,        ///< The endpoint said that it did not run the request.
  kFailed,        ///< A whole answer with a server error; it has run.
  kBroken,        ///< The answer is missing, damaged or cut, and the caller has seen none of it.
  kSilent,        ///< No answer in time; the endpoint may still be at work.
  kCut,           ///< A stream broke off after the caller had seen a part of it.
  kOvertaken,     ///< The endpoint's weights were overtaken before the answer began.
  kExpired,       ///< The caller's time is over.
  kCallerGone,
};
inline constexpr EnumTable<AttemptOutcome, 11> kAttemptOutcomes{
    {{{AttemptOutcome::kDelivered, "delivered"},
      {AttemptOutcome::kNotConnected, "not-connected"},
      {AttemptOutcome::kWithheld, "withheld"},
      {AttemptOutcome::kNotRun, "not-run"},
      {AttemptOutcome::kFailed, "failed"},
      {AttemptOutcome::kBroken, "broken"},
      {AttemptOutcome::kSilent, "silent"},
      {AttemptOutcome::kCut, "cut"},
      {AttemptOutcome::kOvertaken, "overtaken"},
      {AttemptOutcome::kExpired, "expired"},
      {AttemptOutcome::kCallerGone, "caller-gone"}}}};

/// What follows an attempt.
enum class NextStep {
  kDone,
  kTryAnother,
  kContinueStream,  ///< Another endpoint goes on after the last event that the caller has.
  kPassFailure,     ///< The endpoint's own failure is the answer.
  kRefuse,          ///< The request has not run and will not: 503 with Retry-After.
  kUnknown,         ///< The request may have run: 502, or 504 if time ran out.
  kCutStream,       ///< The caller's connection is closed before the end of the answer.
};
inline constexpr EnumTable<NextStep, 7> kNextSteps{{{{NextStep::kDone, "done"},
                                                     {NextStep::kTryAnother, "try-another"},
                                                     {NextStep::kContinueStream, "continue-stream"},
                                                     {NextStep::kPassFailure, "pass-failure"},
                                                     {NextStep::kRefuse, "refuse"},
                                                     {NextStep::kUnknown, "unknown"},
                                                     {NextStep::kCutStream, "cut-stream"}}}};

/// What has happened to a request so far.
struct AttemptHistory {
  /// Attempts whose request was sent, whether or not it ran.
  std::uint32_t sends = 0;
  /// Attempts without a connection.
  std::uint32_t unconnected = 0;
  /// Some attempt may have run.
  bool may_have_run = false;
  /// The caller has seen the header of an answer.
  bool answer_started = false;
};

/// Attempts without a connection after which a request is given up.
inline constexpr std::uint32_t kMostUnconnected = 4;

/// Notes the end of an attempt in the history.
void NoteOutcome(AttemptHistory& history, AttemptOutcome outcome);

/// Decides what follows an attempt.
/// @param history includes the attempt, see NoteOutcome
/// @param time_left until the caller's deadline or the route's timeout
/// @param take_repeat takes one repeat from the budget; called only if nothing else forbids another
///     send
template <typename TakeRepeat>
NextStep DecideNext(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                    Duration time_left, TakeRepeat take_repeat);

/// The decision if the budget allows a repeat; kTryAnother and kContinueStream need one when
/// something was sent before.
NextStep PreferredNext(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                       Duration time_left);
/// The decision without another attempt.
NextStep FinalNext(const AttemptHistory& history, AttemptOutcome outcome);

template <typename TakeRepeat>
NextStep DecideNext(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                    Duration time_left, TakeRepeat take_repeat) {
  const NextStep step = PreferredNext(route, history, outcome, time_left);
  const bool sends_again = step == NextStep::kTryAnother || step == NextStep::kContinueStream;
  if (sends_again && history.sends > 0 && !take_repeat()) return FinalNext(history, outcome);
  return step;
}

}  // namespace wagtailslip::serving
