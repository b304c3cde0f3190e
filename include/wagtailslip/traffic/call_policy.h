#pragma once

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::traffic {

/// How far an attempt got.
enum class CallProgress { kNothingSent, kBytesSent, kAnswerStarted };
inline constexpr EnumTable<CallProgress, 3> kCallProgresses{
    {{{CallProgress::kNothingSent, "nothing-sent"},
      {CallProgress::kBytesSent, "bytes-sent"},
      // At least one byte of the answer has been passed on to the caller.
      {CallProgress::kAnswerStarted, "answer-started"}}}};

/// How an attempt failed.
enum class CallFailure {
  kConnect,
  kRefused,
  kTimeout,
  kConnectionLost,
  kWrongRequest,
  kWrongVersion,
  kIncomplete,
};
inline constexpr EnumTable<CallFailure, 7> kCallFailures{
    {{{CallFailure::kConnect, "could-not-connect"},
      // The endpoint confirmed that it did not start the call.
      {CallFailure::kRefused, "refused"},
      {CallFailure::kTimeout, "timeout"},
      {CallFailure::kConnectionLost, "connection-lost"},
      {CallFailure::kWrongRequest, "wrong-request-id"},
      {CallFailure::kWrongVersion, "wrong-version"},
      {CallFailure::kIncomplete, "incomplete"}}}};

/// What to do after a failed attempt.
enum class CallAction { kRetryElsewhere, kAnswerNotRun, kAnswerUnknown, kResumeStream, kCutStream };
inline constexpr EnumTable<CallAction, 5> kCallActions{
    {{{CallAction::kRetryElsewhere, "retry-elsewhere"},
      {CallAction::kAnswerNotRun, "not-run"},
      {CallAction::kAnswerUnknown, "unknown"},
      {CallAction::kResumeStream, "resume-stream"},
      {CallAction::kCutStream, "cut-stream"}}}};

/// A row of the policy.
struct CallRule {
  CallAction preferred = CallAction::kAnswerUnknown;
  /// Action where the preferred one is not possible: no retry budget, no time, no other endpoint.
  CallAction fallback = CallAction::kAnswerUnknown;
};

/// Rule for one attempt, regardless of earlier ones.
CallRule RuleFor(config::CallClass call_class, CallProgress progress, CallFailure failure);

/// Decisions for one call over all of its attempts. `not-run` is answered only if no byte of any
/// attempt reached an endpoint, or if each endpoint that got bytes confirmed that it refused.
class CallPolicy {
 public:
  explicit CallPolicy(config::CallClass call_class) : call_class_(call_class) {}

  /// Notes that the first byte of the current attempt is about to be written.
  void OnBytesSent() { Advance(CallProgress::kBytesSent); }
  /// Notes that the first byte of an answer is about to be passed on to the caller.
  void OnAnswerStarted() { Advance(CallProgress::kAnswerStarted); }

  /// Decides after a failed attempt and starts the next attempt.
  /// @param possible whether another attempt is possible: another endpoint, the time, the retry
  ///   budget and, for a started stream, an endpoint that serves the same version
  CallAction OnFailure(CallFailure failure, bool possible);

  /// What to answer when the call ends without another attempt, for example when the deadline
  /// passes between attempts.
  CallAction GiveUp() const;

  CallProgress progress() const { return progress_; }
  /// Whether an endpoint may have run the call.
  bool may_have_run() const { return may_have_run_; }
  int attempts() const { return attempts_; }

 private:
  void Advance(CallProgress progress) {
    if (progress > progress_) progress_ = progress;
  }

  config::CallClass call_class_;
  CallProgress progress_ = CallProgress::kNothingSent;
  bool may_have_run_ = false;
  int attempts_ = 0;
};

}  // namespace wagtailslip::traffic
