#include "wagtailslip/serving/attempt_policy.h"

namespace wagtailslip::serving {
namespace {

// Minimum time left for another attempt: less is not enough for a connection and a response.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(60);

bool MayHaveRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kServerError || outcome == AttemptOutcome::kNoValidResponse ||
         outcome == AttemptOutcome::kResponseTimeout ||
         outcome == AttemptOutcome::kStreamInterrupted ||
         outcome == AttemptOutcome::kStreamTooLong ||
         outcome == AttemptOutcome::kWeightsSuperseded ||
         outcome == AttemptOutcome::kDeadlineExceeded;
}

}  // namespace

void RecordOutcome(AttemptHistory& history, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNotConnected || outcome == AttemptOutcome::kEndpointIneligible) {
    ++history.unsent;
  } else {
    ++history.sends;
  }
  history.may_have_run = history.may_have_run || MayHaveRun(outcome);
}

NextStep StepWithoutRetry(const AttemptHistory& history, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kDelivered:
    case AttemptOutcome::kCallerDisconnected:
      return NextStep::kDone;
    case AttemptOutcome::kServerError:
      return history.response_started ? NextStep::kCutStream : NextStep::kForwardFailure;
    default:
      break;
  }
  if (history.response_started) return NextStep::kCutStream;
  return history.may_have_run ? NextStep::kOutcomeUnknown : NextStep::kRefuse;
}

NextStep StepWithRetry(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                       Duration time_left) {
  const NextStep final = StepWithoutRetry(history, outcome);
  if (outcome == AttemptOutcome::kDelivered || outcome == AttemptOutcome::kCallerDisconnected ||
      outcome == AttemptOutcome::kDeadlineExceeded || outcome == AttemptOutcome::kStreamTooLong) {
    return final;
  }
  if (time_left < kMinAttemptTime) return final;
  // A request that may have run is sent again only if the route allows it to run more than once.
  if (history.may_have_run && !route.repeatable()) return final;
  if (history.unsent >= kMaxUnsentAttempts || history.sends >= route.max_attempts) return final;
  return history.response_started ? NextStep::kContinueStream : NextStep::kTryAnother;
}

}  // namespace wagtailslip::serving
