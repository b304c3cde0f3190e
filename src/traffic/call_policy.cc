#include "wagtailslip/traffic/call_policy.h"

#include <array>
#include <cstddef>

#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

using enum CallAction;

constexpr CallRule kRetryOrNotRun{kRetryElsewhere, kAnswerNotRun};
constexpr CallRule kRetryOrUnknown{kRetryElsewhere, kAnswerUnknown};
constexpr CallRule kUnknownOnly{kAnswerUnknown, kAnswerUnknown};
constexpr CallRule kResumeOrCut{kResumeStream, kCutStream};
constexpr CallRule kCutOnly{kCutStream, kCutStream};

constexpr std::size_t kFailures = kCallFailures.rows.size();
using FailureRow = std::array<CallRule, kFailures>;

// Columns: connect, refused, timeout, connection lost, wrong request, wrong version, incomplete.
// An answer with a wrong id or version before anything was sent contradicts itself, and so does a
// failed connection after it; such rows take the careful side.
constexpr FailureRow kNothing{kRetryOrNotRun, kRetryOrNotRun, kRetryOrNotRun, kRetryOrNotRun,
                              kUnknownOnly,   kUnknownOnly,   kUnknownOnly};
constexpr FailureRow kSentRepeatable{kRetryOrUnknown, kRetryOrNotRun,  kRetryOrUnknown,
                                     kRetryOrUnknown, kRetryOrUnknown, kRetryOrUnknown,
                                     kRetryOrUnknown};
constexpr FailureRow kSentOnce{kUnknownOnly, kRetryOrNotRun, kUnknownOnly, kUnknownOnly,
                               kUnknownOnly, kUnknownOnly,   kUnknownOnly};
// A resumed stream that answers with another id or version must not be mixed with what the caller
// already has; another endpoint of the same version may still go on.
constexpr FailureRow kStartedRepeatable{kResumeOrCut, kResumeOrCut, kResumeOrCut, kResumeOrCut,
                                        kResumeOrCut, kResumeOrCut, kResumeOrCut};
constexpr FailureRow kStartedOnce{kCutOnly, kCutOnly, kCutOnly, kCutOnly,
                                  kCutOnly, kCutOnly, kCutOnly};

struct ClassRow {
  config::CallClass call_class;
  /// Indexed by CallProgress.
  std::array<const FailureRow*, 3> rows;
};

constexpr std::array<ClassRow, 4> kRules{{
    {config::CallClass::kRepeatable, {&kNothing, &kSentRepeatable, &kStartedRepeatable}},
    {config::CallClass::kLookup, {&kNothing, &kSentRepeatable, &kStartedRepeatable}},
    {config::CallClass::kAtMostOnce, {&kNothing, &kSentOnce, &kStartedOnce}},
    {config::CallClass::kDurable, {&kNothing, &kSentRepeatable, &kStartedRepeatable}},
}};

}  // namespace

CallRule RuleFor(config::CallClass call_class, CallProgress progress, CallFailure failure) {
  for (const ClassRow& row : kRules) {
    if (row.call_class != call_class) continue;
    return (*row.rows[static_cast<std::size_t>(progress)])[static_cast<std::size_t>(failure)];
  }
  WTS_INVARIANT(!"call class without a row");
}

CallAction CallPolicy::OnFailure(CallFailure failure, bool possible) {
  ++attempts_;
  const CallRule rule = RuleFor(call_class_, progress_, failure);
  const bool refused = failure == CallFailure::kRefused;
  if (progress_ != CallProgress::kNothingSent && !refused) may_have_run_ = true;
  // A contradictory failure counts as sent.
  if (rule.fallback != kAnswerNotRun) may_have_run_ = true;
  CallAction action = possible ? rule.preferred : rule.fallback;
  if (action == kAnswerNotRun && may_have_run_) action = kAnswerUnknown;
  if (action == kRetryElsewhere) {
    WTS_INVARIANT(call_class_ != config::CallClass::kAtMostOnce || !may_have_run_);
    progress_ = CallProgress::kNothingSent;
  }
  return action;
}

CallAction CallPolicy::GiveUp() const {
  if (progress_ == CallProgress::kAnswerStarted) return kCutStream;
  const bool sent = may_have_run_ || progress_ == CallProgress::kBytesSent;
  return sent ? kAnswerUnknown : kAnswerNotRun;
}

}  // namespace wagtailslip::traffic
