#include "wagtailslip/serving/crash_judge.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

constexpr Duration kExpiryPeriod = std::chrono::seconds(1);

}  // namespace

void CrashJudge::OnReport(const CrashReport& report, const std::string& process, TimePoint now) {
  for (const auto& [service, it] : report.totals) {
    evidence_.AddTotals(service, it, now);
  }
  for (const auto& it : report.ends) {
    for (const auto& subject : it.subjects) review_.OnEnd(subject, process);
    evidence_.AddEnd(it, now);
  }
  for (const auto& it : report.proofs) {
    const auto* verdict = review_.Find(it.subject);
    // Of a part on trial, only the process that tries it sends requests.
    const bool counts = PolicyOf(it.subject).grants_trials() ||
                        (verdict != nullptr && verdict->trial_process == process);
    if (counts) review_.OnProof(it.subject);
    evidence_.AddProof(it.subject, it.at, now);
  }
  for (const auto& it : report.refused) review_.OnRefused(it, now);
  for (const auto& it : report.asks) review_.OnAsk(it, process, now);
  for (const auto& it : report.trial_ends) {
    review_.OnTrialEnded(it.subject, it.revision, it.outcome);
  }
}

void CrashJudge::SetVerdicts(const CrashVerdictList& list, TimePoint now) {
  review_.SetVerdicts(list, now);
  std::set<CrashSubject> lifted = std::move(judged_);
  judged_.clear();
  for (const auto& it : list.verdicts) {
    if (CondemnedInLog(it.subject)) evidence_.SetCondemned(it.subject);
    judged_.insert(it.subject);
    lifted.erase(it.subject);
  }
  for (const auto& it : lifted) evidence_.Forget(it, now);
}

bool CrashJudge::HasRoom(SubjectKind kind) const {
  const auto of_kind = [kind](const CrashSubject& it) { return it.kind == kind; };
  const auto held = std::count_if(judged_.begin(), judged_.end(), of_kind);
  const auto open = std::count_if(open_.begin(), open_.end(), [&](const CrashSubject& it) {
    return of_kind(it) && !judged_.contains(it);
  });
  return static_cast<std::size_t>(held + open) < PolicyOf(kind).max_verdicts;
}

CrashVerdict CrashJudge::Replace(const CrashSubject& subject, VerdictState state) const {
  CrashVerdict next;
  if (const auto* verdict = review_.Find(subject)) next = *verdict;
  next.subject = subject;
  next.state = state;
  next.trial_process.clear();
  return next;
}

std::vector<VerdictChange> CrashJudge::NextChanges(const std::vector<std::string>& processes,
                                                   TimePoint now) {
  // A process that did not lead for long still has old ends.
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryPeriod;
    evidence_.Expire(now);
  }
  std::vector<VerdictChange> changes;
  const auto propose = [&](const VerdictChange& change) {
    if (open_.insert(change.verdict.subject).second) changes.push_back(change);
  };
  // While there is no room for verdicts, guilty subjects stay suspects.
  const auto allowed = [this](const CrashSubject& subject) {
    return !open_.contains(subject) && (judged_.contains(subject) || HasRoom(subject.kind));
  };
  while (const auto subject = evidence_.Condemn(now, allowed)) {
    CrashVerdict verdict = Replace(*subject, VerdictState::kCondemned);
    verdict.times = 1;
    propose({verdict, VerdictReason::kEndpointEnds});
  }
  const auto has_room = [this](SubjectKind kind) { return HasRoom(kind); };
  for (const auto& it : review_.DueChanges(processes, has_room, now)) propose(it);
  for (const auto& it : evidence_.Suspects(now)) {
    if (!PolicyOf(it.subject).grants_trials() || judged_.contains(it.subject)) continue;
    if (!HasRoom(it.subject.kind)) break;
    propose({Replace(it.subject, VerdictState::kHeld), VerdictReason::kEndpointEnds});
  }
  return changes;
}

bool CrashJudge::CondemnedInLog(const CrashSubject& subject) const {
  const auto* verdict = review_.Find(subject);
  if (verdict == nullptr) return false;
  // Whether a request that is held is guilty is still to be found out.
  return verdict->state == VerdictState::kCondemned || !PolicyOf(subject).grants_trials();
}

void CrashJudge::OnCommitted(const CrashVerdict& verdict, bool committed) {
  open_.erase(verdict.subject);
  if (!committed && !CondemnedInLog(verdict.subject)) evidence_.ClearCondemned(verdict.subject);
}

void CrashJudge::StopLeading() {
  // What was not committed is judged anew by the next leader, from its own evidence.
  for (const auto& subject : open_) {
    if (!CondemnedInLog(subject)) evidence_.ClearCondemned(subject);
  }
  open_.clear();
}

std::vector<SuspectSubject> CrashJudge::Suspects(TimePoint now) const {
  auto suspects = evidence_.Suspects(now);
  std::erase_if(suspects, [this](const auto& it) { return judged_.contains(it.subject); });
  return suspects;
}

}  // namespace wagtailslip::serving
