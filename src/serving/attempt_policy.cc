#include "wagtailslip/serving/attempt_policy.h"

namespace wagtailslip::serving {
namespace {

// Less time than this is not enough for a connection and an answer of another endpoint.
constexpr Duration kLeastTime = std::chrono::milliseconds(60);

bool LeavesUnknown(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kFailed || outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kSilent || outcome == AttemptOutcome::kCut ||
         outcome == AttemptOutcome::kOvertaken || outcome == AttemptOutcome::kExpired;
}

}  // namespace

void NoteOutcome(AttemptHistory& history, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNotConnected || outcome == AttemptOutcome::kWithheld) {
    ++history.unconnected;
  } else {
    ++history.sends;
  }
  history.may_have_run = history.may_have_run || LeavesUnknown(outcome);
}

NextStep FinalNext(const AttemptHistory& history, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kDelivered:
    case AttemptOutcome::kCallerGone:
      return NextStep::kDone;
    case AttemptOutcome::kFailed:
      return history.answer_started ? NextStep::kCutStream : NextStep::kPassFailure;
    default:
      break;
  }
  if (history.answer_started) return NextStep::kCutStream;
  return history.may_have_run ? NextStep::kUnknown : NextStep::kRefuse;
}

NextStep PreferredNext(const Route& route, const AttemptHistory& history, AttemptOutcome outcome,
                       Duration time_left) {
  const NextStep final = FinalNext(history, outcome);
  if (outcome == AttemptOutcome::kDelivered || outcome == AttemptOutcome::kCallerGone ||
      outcome == AttemptOutcome::kExpired) {
    return final;
  }
  if (time_left < kLeastTime) return final;
  // What may have run is sent again only where repeats do no harm.
  if (history.may_have_run && !route.repeatable()) return final;
  if (history.unconnected >= kMostUnconnected || history.sends >= route.max_attempts) return final;
  return history.answer_started ? NextStep::kContinueStream : NextStep::kTryAnother;
}

}  // namespace wagtailslip::serving
