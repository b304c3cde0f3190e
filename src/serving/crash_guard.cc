#include "wagtailslip/serving/crash_guard.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/serving/request_key.h"

namespace wagtailslip::serving {
namespace {

// Trials of a suspect part over all processes, per process: each of them sends one in this time
// times the number of processes. A verdict needs ends at several separate times.
constexpr Duration kTrialIntervalPerProcess = std::chrono::milliseconds(250);
// From the fifth end on, each one makes the interval four times as long. An end late in the
// responses proves little where many endpoints end, so the evidence may take long to suffice; this
// bounds the endpoints that end meanwhile.
constexpr std::uint32_t kEndsBeforeSlowTrials = 4;
constexpr std::uint32_t kDoublingsPerEnd = 2;
constexpr std::uint32_t kMaxTrialDoublings = 8;
// Shared suspects count no more if the leader has not repeated them for this long.
constexpr Duration kSharedSuspectsTtl = std::chrono::seconds(5);
// Bounds the memory if each request brings new parts. Parts that are used often stay.
constexpr std::size_t kMaxProvenParts = 4096;
constexpr std::size_t kMaxUnclear = 256;
// An endpoint that ended is found out within milliseconds where it refuses connections, and within
// seconds where only its next incarnation tells.
constexpr Duration kUnclearTtl = std::chrono::seconds(10);
// An endpoint drops a request soon after its caller has left, so a later end has another cause.
constexpr Duration kCallerLeftTtl = std::chrono::seconds(1);
// Time for which a granted trial waits for a request.
constexpr Duration kGrantTtl = std::chrono::seconds(1);
// The leader forgets an ask after a few of these.
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
// The same, and the time until a caller should come back, once the first trials were in vain.
constexpr Duration kLateAskInterval = std::chrono::seconds(10);
constexpr Duration kSuspectRetryAfter = std::chrono::milliseconds(250);
constexpr std::size_t kMaxUnreportedEnds = 1024;
constexpr Duration kEndedTtl = std::chrono::seconds(60);
constexpr std::size_t kMaxEndsPerReport = 64;
constexpr Duration kReportIntervalPerProcess = std::chrono::milliseconds(1);
constexpr Duration kMinReportInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(200);
// Interval of the totals while there are suspects.
constexpr Duration kTotalsIntervalPerProcess = std::chrono::milliseconds(5);
constexpr Duration kMinTotalsInterval = std::chrono::milliseconds(250);
// Interval at which a condemned subject that is still asked for is reported.
constexpr Duration kRefusedInterval = std::chrono::seconds(10);
// Also bounds the time of which the totals of a report are.
constexpr Duration kExpiryPeriod = std::chrono::seconds(1);

}  // namespace

std::uint32_t CrashGuard::Ends(const CrashSubject& subject, TimePoint now) const {
  std::uint32_t ends = own_.Ends(subject, now);
  if (now - shared_suspects_at_ >= kSharedSuspectsTtl) return ends;
  const auto shared = shared_suspects_.find(subject);
  if (shared == shared_suspects_.end()) return ends;
  return std::max(ends, shared->second);
}

bool CrashGuard::TracksRequest(std::uint64_t prehash) {
  if (tracked_stale_) {
    tracked_stale_ = false;
    tracked_.clear();
    const auto add = [this](const CrashSubject& it) {
      if (it.kind == SubjectKind::kRequest) tracked_.insert(PrehashOfKey(it.id));
    };
    for (const auto& it : own_.Subjects(SubjectKind::kRequest)) add(it);
    for (const auto& [subject, it] : verdicts_) add(subject);
    for (const auto& [subject, it] : shared_suspects_) add(subject);
  }
  return tracked_.contains(prehash);
}

bool CrashGuard::Condemned(const CrashSubject& subject) const {
  if (isolated_ && own_verdicts_.contains(subject)) return true;
  const auto it = verdicts_.find(subject);
  return it != verdicts_.end() && it->second.state == VerdictState::kCondemned;
}

bool CrashGuard::Refused(const CrashSubject& subject) const {
  if (Condemned(subject)) return true;
  if (PolicyOf(subject).grants_trials()) return false;
  const auto it = verdicts_.find(subject);
  return it != verdicts_.end() && it->second.state == VerdictState::kOnTrial &&
         it->second.trial_process != self_;
}

bool CrashGuard::NeedsGrant(const CrashSubject& subject, TimePoint now) const {
  if (!PolicyOf(subject).grants_trials()) return false;
  return verdicts_.contains(subject) || Ends(subject, now) >= CrashEvidence::kSuspectEnds;
}

const CrashGuard::Grant* CrashGuard::UsableGrant(const CrashSubject& subject) const {
  const auto grant = grants_.find(subject);
  if (grant == grants_.end() || grant->second.sent || grant->second.ended) return nullptr;
  const auto verdict = verdicts_.find(subject);
  const bool in_force = verdict != verdicts_.end() &&
                        verdict->second.state == VerdictState::kOnTrial &&
                        verdict->second.revision == grant->second.revision;
  return in_force ? &grant->second : nullptr;
}

std::optional<CrashSubject> CrashGuard::Blocked(const std::vector<CrashSubject>& subjects,
                                                const std::vector<CrashSubject>& trials,
                                                TimePoint now) const {
  for (const auto& it : subjects) {
    if (Refused(it)) return it;
    if (!NeedsGrant(it, now)) continue;
    const bool tries = std::find(trials.begin(), trials.end(), it) != trials.end();
    if (!tries || UsableGrant(it) == nullptr) return it;
  }
  return std::nullopt;
}

bool CrashGuard::Suspicious(const std::vector<CrashSubject>& subjects, TimePoint now) const {
  return std::any_of(subjects.begin(), subjects.end(), [&](const CrashSubject& it) {
    return verdicts_.contains(it) || Ends(it, now) >= CrashEvidence::kSuspectEnds;
  });
}

CrashDecision CrashGuard::Wait(const CrashSubject& subject, TimePoint now) {
  CrashDecision decision;
  decision.kind = CrashDecision::Kind::kWait;
  decision.subject = subject;
  decision.retry_after = kSuspectRetryAfter;
  ++CountersOf(subject).held_back;
  const auto verdict = verdicts_.find(subject);
  const bool late = verdict != verdicts_.end() && verdict->second.state == VerdictState::kHeld &&
                    verdict->second.trials >= PolicyOf(subject).granted_trials;
  if (late) decision.retry_after = kLateAskInterval;
  decision.may_end_soon = !late;
  const auto [asked, first] = asked_.try_emplace(subject, now);
  if (first || now - asked->second >= (late ? kLateAskInterval : kAskInterval)) {
    asked->second = now;
    report_.asks.push_back(subject);
  }
  return decision;
}

CrashDecision CrashGuard::Admit(const std::vector<CrashSubject>& subjects, std::size_t processes,
                                TimePoint now) {
  for (const auto& it : subjects) {
    if (!Refused(it)) continue;
    ++CountersOf(it).refused;
    const auto [refused, added] = refused_.try_emplace(it, now);
    if (added || now - refused->second >= kRefusedInterval) {
      refused->second = now;
      report_.refused.push_back(it);
    }
    CrashDecision decision;
    decision.kind = CrashDecision::Kind::kCondemned;
    decision.subject = it;
    return decision;
  }
  CrashDecision decision;
  for (const auto& it : subjects) {
    if (NeedsGrant(it, now)) {
      const Grant* grant = UsableGrant(it);
      if (grant == nullptr || grant->taken) return Wait(it, now);
      decision.trials.push_back(it);
      continue;
    }
    if (!verdicts_.contains(it) && Ends(it, now) < CrashEvidence::kSuspectEnds) continue;
    const Duration interval = TrialInterval(it, processes, now);
    const PacedTrial& trial = TrialOf(it, interval, now);
    const Duration wait = trial.begun_at + interval - now;
    if (trial.running || wait > Duration::zero()) {
      ++CountersOf(it).held_back;
      decision.kind = CrashDecision::Kind::kWait;
      decision.subject = it;
      decision.trials.clear();
      decision.retry_after = std::max(wait, Duration(kTrialIntervalPerProcess));
      return decision;
    }
    decision.trials.push_back(it);
  }
  for (const auto& it : decision.trials) {
    decision.kind = CrashDecision::Kind::kTrial;
    decision.subject = it;
    ++CountersOf(it).trials;
    if (PolicyOf(it).grants_trials()) {
      grants_[it].taken = true;
    } else {
      trials_[it].running = true;
      trials_[it].begun_at = now;
    }
  }
  return decision;
}

Duration CrashGuard::TrialInterval(const CrashSubject& subject, std::size_t processes,
                                   TimePoint now) const {
  // A part on trial is tried by one process only.
  const auto sharing =
      verdicts_.contains(subject) ? 1 : static_cast<int>(std::max<std::size_t>(processes, 1));
  const std::uint32_t ends = Ends(subject, now);
  const std::uint32_t slow_ends = ends > kEndsBeforeSlowTrials ? ends - kEndsBeforeSlowTrials : 0;
  const std::uint32_t doublings = std::min(slow_ends * kDoublingsPerEnd, kMaxTrialDoublings);
  return kTrialIntervalPerProcess * sharing * (1 << doublings);
}

CrashGuard::PacedTrial& CrashGuard::TrialOf(const CrashSubject& subject, Duration interval,
                                            TimePoint now) {
  const auto [it, added] = trials_.try_emplace(subject);
  // Processes that learn of a suspect at the same time take turns.
  const auto since = static_cast<Duration::rep>(Hash64(self_, Hash64(subject.id)) %
                                                static_cast<std::uint64_t>(interval.count()));
  if (added) it->second.begun_at = now - Duration(since);
  return it->second;
}

void CrashGuard::OnSent(const std::vector<CrashSubject>& trials) {
  for (const auto& it : trials) {
    const auto grant = grants_.find(it);
    if (grant != grants_.end()) grant->second.sent = true;
  }
}

void CrashGuard::EndGrant(const CrashSubject& subject, Grant& grant, TrialOutcome outcome) {
  if (grant.ended) return;
  grant.ended = true;
  report_.trial_ends.push_back({subject, grant.revision, outcome});
}

void CrashGuard::EndTrial(const CrashSubject& subject) {
  const auto paced = trials_.find(subject);
  if (paced != trials_.end()) paced->second.running = false;
  const auto grant = grants_.find(subject);
  if (grant == grants_.end() || !grant->second.taken) return;
  EndGrant(subject, grant->second,
           grant->second.sent ? TrialOutcome::kSpent : TrialOutcome::kUnsent);
}

void CrashGuard::EndUnusedGrants(TimePoint now) {
  for (auto& [subject, it] : grants_) {
    if (it.taken || now - it.received_at < kGrantTtl) continue;
    EndGrant(subject, it, TrialOutcome::kUnsent);
  }
}

void CrashGuard::RememberProof(const std::string& part, TimePoint now) {
  const auto it = proven_.find(part);
  if (it != proven_.end()) {
    it->second.at = now;
    proven_order_.splice(proven_order_.begin(), proven_order_, it->second.position);
    return;
  }
  if (proven_.size() >= kMaxProvenParts) {
    proven_.erase(proven_order_.back());
    proven_order_.pop_back();
  }
  proven_order_.push_front(part);
  proven_[part] = {now, proven_order_.begin()};
}

void CrashGuard::AddTotals(const std::string& service, const AttemptTotals& totals, TimePoint now) {
  report_.totals[service].Add(totals);
  own_.AddTotals(service, totals, now);
}

void CrashGuard::OnBegun(const std::string& service, TimePoint now) {
  AttemptTotals totals;
  totals.begun = 1;
  AddTotals(service, totals, now);
}

void CrashGuard::OnDelivered(const std::vector<CrashSubject>& proven, const std::string& service,
                             TimePoint now) {
  AttemptTotals totals;
  totals.delivered = 1;
  AddTotals(service, totals, now);
  for (const auto& it : proven) {
    if (it.kind == SubjectKind::kPromptPart) RememberProof(it.id, now);
    const bool asked =
        verdicts_.contains(it) || shared_suspects_.contains(it) || own_.Ends(it, now) > 0;
    own_.AddProof(it, now, now);
    if (!asked) continue;
    report_.proofs.push_back({it, now});
    shared_suspects_.erase(it);
    trials_.erase(it);
    const auto grant = grants_.find(it);
    if (grant != grants_.end() && grant->second.sent) {
      EndGrant(it, grant->second, TrialOutcome::kPassed);
    }
  }
}

void CrashGuard::AddEnd(const EndedAttempt& attempt, TimePoint now) {
  ++counters_.ended_attempts;
  // Ends that are not confirmed tell nothing of how likely ends are.
  if (attempt.confirmed) {
    AttemptTotals totals;
    totals.ended[StageOf(attempt.events)] = 1;
    AddTotals(attempt.service, totals, now);
  }
  own_.AddEnd(attempt, now);
  tracked_stale_ = true;
  if (unreported_ends_.size() < kMaxUnreportedEnds) unreported_ends_.push_back(attempt);
  // A proof that this process has clears the part at once.
  for (const auto& it : attempt.subjects) {
    if (it.kind != SubjectKind::kPromptPart) continue;
    const auto proven = proven_.find(it.id);
    if (proven == proven_.end()) continue;
    own_.AddProof(it, proven->second.at, now);
    report_.proofs.push_back({it, proven->second.at});
  }
  while (const auto subject = own_.Condemn(now)) own_verdicts_[*subject] = now;
}

void CrashGuard::AddUnclear(EndedAttempt attempt, bool caller_left) {
  unclear_.push_back({std::move(attempt), caller_left});
  if (unclear_.size() > kMaxUnclear) unclear_.pop_front();
}

void CrashGuard::OnBroken(EndedAttempt attempt, TimePoint now) {
  if (attempt.subjects.empty()) return;
  if (KnownEnded(attempt.endpoint, attempt.started_ms)) return AddEnd(attempt, now);
  AddUnclear(std::move(attempt), false);
}

void CrashGuard::OnCallerLeft(EndedAttempt attempt, TimePoint) {
  std::erase_if(attempt.subjects,
                [](const CrashSubject& it) { return !PolicyOf(it).grants_trials(); });
  attempt.confirmed = false;
  if (!attempt.subjects.empty()) AddUnclear(std::move(attempt), true);
}

void CrashGuard::OnUnreachable(const EndedAttempt& attempt, TimePoint now) {
  EndedAttempt unconfirmed = attempt;
  std::erase_if(unconfirmed.subjects,
                [](const CrashSubject& it) { return !PolicyOf(it).grants_trials(); });
  unconfirmed.confirmed = false;
  if (!unconfirmed.subjects.empty()) AddEnd(unconfirmed, now);
}

void CrashGuard::OnIncarnation(const std::string& endpoint, std::int64_t started_ms,
                               TimePoint now) {
  std::vector<std::int64_t> former;
  for (const auto& [it, left] : unclear_) {
    if (it.endpoint == endpoint && it.started_ms < started_ms) former.push_back(it.started_ms);
  }
  for (const auto it : former) OnEndpointEnded(endpoint, it, now);
}

bool CrashGuard::KnownEnded(const std::string& endpoint, std::int64_t started_ms) const {
  return started_ms != 0 && ended_.contains({endpoint, started_ms});
}

void CrashGuard::OnEndpointEnded(const std::string& endpoint, std::int64_t started_ms,
                                 TimePoint now) {
  ended_.try_emplace({endpoint, started_ms}, now);
  std::vector<EndedAttempt> ended;
  std::erase_if(unclear_, [&](const UnclearAttempt& it) {
    if (it.attempt.endpoint != endpoint || it.attempt.started_ms != started_ms) return false;
    if (!it.caller_left || now - it.attempt.at < kCallerLeftTtl) ended.push_back(it.attempt);
    return true;
  });
  for (const auto& it : ended) AddEnd(it, now);
}

bool CrashGuard::SetVerdicts(CrashVerdictList list, TimePoint now) {
  if (list.revision <= verdicts_revision_) return false;
  verdicts_revision_ = list.revision;
  tracked_stale_ = true;
  const auto former = std::move(verdicts_);
  verdicts_.clear();
  for (auto& it : list.verdicts) {
    const CrashSubject& subject = it.subject;
    const auto known = former.find(subject);
    const bool changed = known == former.end() || known->second.state != it.state;
    const bool judged = it.state == VerdictState::kCondemned || !PolicyOf(subject).grants_trials();
    if (judged && changed) own_.SetCondemned(subject);
    own_verdicts_.erase(subject);
    if (PolicyOf(subject).grants_trials() && it.state == VerdictState::kOnTrial &&
        it.trial_process == self_ && grants_[subject].revision != it.revision) {
      grants_[subject] = Grant{it.revision, now, false, false, false};
    }
    verdicts_[subject] = std::move(it);
  }
  for (const auto& [subject, verdict] : former) {
    if (!verdicts_.contains(subject)) own_.Forget(subject, now);
  }
  std::erase_if(refused_, [this](const auto& it) { return !verdicts_.contains(it.first); });
  std::erase_if(grants_, [this](const auto& it) { return !verdicts_.contains(it.first); });
  return true;
}

void CrashGuard::SetSuspects(std::vector<SuspectSubject> suspects, TimePoint now) {
  shared_suspects_.clear();
  shared_suspects_at_ = now;
  tracked_stale_ = true;
  for (auto& it : suspects) {
    if (it.subject.kind == SubjectKind::kPromptPart) {
      const auto proof = proven_.find(it.subject.id);
      if (proof != proven_.end()) report_.proofs.push_back({it.subject, proof->second.at});
    }
    shared_suspects_[std::move(it.subject)] = it.ends;
  }
}

void CrashGuard::Expire(TimePoint now) {
  EndUnusedGrants(now);
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  own_.Expire(now);
  tracked_stale_ = true;
  std::erase_if(unclear_, [now](const UnclearAttempt& it) {
    return now - it.attempt.at >= (it.caller_left ? kCallerLeftTtl : kUnclearTtl);
  });
  std::erase_if(ended_, [now](const auto& it) { return now - it.second >= kEndedTtl; });
  std::erase_if(own_verdicts_, [&](const auto& it) {
    if (now - it.second < kEndedTtl) return false;
    own_.Forget(it.first, now);
    return true;
  });
  // Totals of before count for ends of the next second only.
  if (now - last_report_at_ >= kExpiryPeriod) report_.totals.clear();
  std::erase_if(trials_, [now](const auto& it) {
    return !it.second.running && now - it.second.begun_at >= kEndedTtl;
  });
  std::erase_if(asked_, [now](const auto& it) { return now - it.second >= kLateAskInterval; });
}

bool CrashGuard::TotalsWanted() const {
  if (!shared_suspects_.empty()) return true;
  return std::any_of(verdicts_.begin(), verdicts_.end(), [](const auto& it) {
    return PolicyOf(it.first).grants_trials() && it.second.state != VerdictState::kCondemned &&
           it.second.trials < PolicyOf(it.first).granted_trials;
  });
}

std::optional<CrashReport> CrashGuard::NextReport(std::size_t processes, TimePoint now) {
  Expire(now);
  const auto n = static_cast<int>(std::max<std::size_t>(processes, 1));
  const bool urgent = !report_.asks.empty() || !report_.trial_ends.empty();
  const Duration interval =
      urgent ? kMinReportInterval
             : std::clamp(kReportIntervalPerProcess * n, kMinReportInterval, kMaxReportInterval);
  const Duration totals_interval = std::max(kTotalsIntervalPerProcess * n, kMinTotalsInterval);
  const Duration since = now - last_report_at_;
  if (since < interval) return std::nullopt;
  const bool news =
      urgent || !unreported_ends_.empty() || !report_.proofs.empty() || !report_.refused.empty();
  if (!news && (since < totals_interval || !TotalsWanted())) return std::nullopt;
  last_report_at_ = now;
  while (!unreported_ends_.empty() && report_.ends.size() < kMaxEndsPerReport) {
    report_.ends.push_back(std::move(unreported_ends_.front()));
    unreported_ends_.pop_front();
  }
  CrashReport report = std::move(report_);
  report_ = CrashReport{};
  return report;
}

}  // namespace wagtailslip::serving
