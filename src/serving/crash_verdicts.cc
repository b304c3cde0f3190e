#include "wagtailslip/serving/crash_verdicts.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Time without requests after which a verdict on a subject that was not tried is lifted.
constexpr Duration kUntriedTtl = std::chrono::minutes(10);
// Time until a condemned part, or a request whose first trials were in vain, is tried again;
// doubles each time.
constexpr Duration kLateTrialDelay = std::chrono::minutes(10);
constexpr std::uint32_t kMaxDoublings = 7;
// Time from a trial in vain to the next one. Meanwhile other attempts show how likely ends are that
// have other causes.
constexpr Duration kTrialSpacing = std::chrono::seconds(1);
// Longer than a request takes, so that the process has reported unless it cannot.
constexpr Duration kTrialTimeout = std::chrono::seconds(10);
// The process asks again while it has a request to try.
constexpr Duration kAskTtl = std::chrono::milliseconds(500);
constexpr std::size_t kMaxAsks = 256;

Duration LateTrialDelay(std::uint32_t doublings) {
  return kLateTrialDelay * (1 << std::min(doublings, kMaxDoublings));
}

Duration TrialDelay(const CrashVerdict& verdict) {
  const std::uint32_t granted = PolicyOf(verdict.subject).granted_trials;
  if (verdict.trials == 0) return Duration::zero();
  if (verdict.trials < granted) return kTrialSpacing * (1 << (verdict.trials - 1));
  return LateTrialDelay(verdict.trials - granted);
}

bool Contains(const std::vector<std::string>& processes, const std::string& process) {
  return std::find(processes.begin(), processes.end(), process) != processes.end();
}

}  // namespace

const CrashVerdict* CrashVerdictList::Find(const CrashSubject& subject) const {
  const auto it = std::find_if(verdicts.begin(), verdicts.end(),
                               [&](const CrashVerdict& row) { return row.subject == subject; });
  return it == verdicts.end() ? nullptr : &*it;
}

bool ApplyVerdict(CrashVerdictList& list, const CrashVerdict& change) {
  const CrashVerdict* current = list.Find(change.subject);
  const SubjectPolicy& policy = PolicyOf(change.subject);
  const std::int64_t replaced = current == nullptr ? 0 : current->revision;
  const auto of_kind =
      std::count_if(list.verdicts.begin(), list.verdicts.end(),
                    [&](const CrashVerdict& it) { return it.subject.kind == change.subject.kind; });
  const bool full = current == nullptr && static_cast<std::size_t>(of_kind) >= policy.max_verdicts;
  if (policy.grants_trials() && (replaced != change.revision || full)) return false;
  ++list.revision;
  std::erase_if(list.verdicts, [&](const auto& it) { return it.subject == change.subject; });
  if (change.state != VerdictState::kLifted && !full) {
    list.verdicts.push_back(change);
    list.verdicts.back().revision = list.revision;
  }
  return true;
}

void VerdictReview::SetVerdicts(const CrashVerdictList& list, TimePoint now) {
  std::map<CrashSubject, Entry> entries;
  for (const auto& it : list.verdicts) {
    const auto known = entries_.find(it.subject);
    const bool unchanged = known != entries_.end() && known->second.verdict.state == it.state &&
                           known->second.verdict.times == it.times &&
                           known->second.verdict.trials == it.trials;
    Entry& entry = entries[it.subject];
    if (known != entries_.end()) entry = known->second;
    if (!unchanged) {
      entry.changed_at = now;
      entry.refused_at = now;
      entry.failed = false;
    }
    entry.verdict = it;
  }
  entries_ = std::move(entries);
}

void VerdictReview::OnRefused(const CrashSubject& subject, TimePoint now) {
  const auto it = entries_.find(subject);
  if (it != entries_.end()) it->second.refused_at = now;
}

void VerdictReview::OnAsk(const CrashSubject& subject, const std::string& process, TimePoint now) {
  OnRefused(subject, now);
  if (asks_.size() >= kMaxAsks) {
    std::erase_if(asks_, [now](const auto& it) { return now - it.second.at >= kAskTtl; });
  }
  if (asks_.size() < kMaxAsks) asks_[subject] = {process, now};
}

void VerdictReview::OnTrialEnded(const CrashSubject& subject, std::int64_t revision,
                                 TrialOutcome outcome) {
  const auto it = entries_.find(subject);
  if (it == entries_.end()) return;
  it->second.ended_revision = revision;
  it->second.outcome = outcome;
  if (outcome == TrialOutcome::kPassed && it->second.verdict.revision == revision) OnProof(subject);
}

void VerdictReview::OnProof(const CrashSubject& subject) {
  const auto it = entries_.find(subject);
  if (it == entries_.end()) return;
  const VerdictState state = it->second.verdict.state;
  // A condemned subject gets proofs of late responses only.
  if (state != VerdictState::kCondemned) it->second.proven = true;
}

void VerdictReview::OnEnd(const CrashSubject& subject, const std::string& process) {
  const auto it = entries_.find(subject);
  if (it == entries_.end() || it->second.verdict.state != VerdictState::kOnTrial) return;
  if (it->second.verdict.trial_process == process) it->second.failed = true;
}

const CrashVerdict* VerdictReview::Find(const CrashSubject& subject) const {
  const auto it = entries_.find(subject);
  return it == entries_.end() ? nullptr : &it->second.verdict;
}

std::optional<VerdictChange> VerdictReview::DueForPart(const Entry& entry,
                                                       const std::vector<std::string>& processes,
                                                       TimePoint now) const {
  CrashVerdict next = entry.verdict;
  if (next.state == VerdictState::kOnTrial && entry.failed) {
    next.trial_process.clear();
    next.state = VerdictState::kCondemned;
    ++next.times;
    return VerdictChange{next, VerdictReason::kTrialFailed};
  }
  if (processes.empty()) return std::nullopt;
  const Duration delay = LateTrialDelay(next.times > 0 ? next.times - 1 : 0);
  const bool due = next.state == VerdictState::kCondemned && now - entry.changed_at >= delay;
  const bool abandoned =
      next.state == VerdictState::kOnTrial && !Contains(processes, next.trial_process);
  if (!due && !abandoned) return std::nullopt;
  next.state = VerdictState::kOnTrial;
  next.trial_process = processes.front();
  return VerdictChange{next, VerdictReason::kTrialDue};
}

std::optional<VerdictChange> VerdictReview::DueForRequest(const Entry& entry,
                                                          const std::vector<std::string>& processes,
                                                          TimePoint now) const {
  CrashVerdict next = entry.verdict;
  if (next.state == VerdictState::kOnTrial) {
    next.trial_process.clear();
    next.state = VerdictState::kHeld;
    if (entry.ended_revision == entry.verdict.revision) {
      if (entry.outcome != TrialOutcome::kUnsent) {
        return VerdictChange{next, VerdictReason::kTrialFailed};
      }
      --next.trials;
      return VerdictChange{next, VerdictReason::kTrialUnsent};
    }
    const bool lost = !Contains(processes, entry.verdict.trial_process) ||
                      now - entry.changed_at >= kTrialTimeout;
    if (lost) return VerdictChange{next, VerdictReason::kTrialLost};
    return std::nullopt;
  }
  if (next.state != VerdictState::kHeld) return std::nullopt;
  const auto ask = asks_.find(next.subject);
  if (ask == asks_.end() || now - ask->second.at >= kAskTtl) return std::nullopt;
  if (!Contains(processes, ask->second.process)) return std::nullopt;
  if (now - entry.changed_at < TrialDelay(next)) return std::nullopt;
  next.state = VerdictState::kOnTrial;
  next.trial_process = ask->second.process;
  ++next.trials;
  return VerdictChange{next, VerdictReason::kTrialDue};
}

std::vector<VerdictChange> VerdictReview::DueChanges(
    const std::vector<std::string>& processes, const std::function<bool(SubjectKind)>& has_room,
    TimePoint now) {
  std::vector<VerdictChange> changes;
  for (const auto& [subject, entry] : entries_) {
    const bool grants = PolicyOf(subject).grants_trials();
    CrashVerdict next = entry.verdict;
    next.state = VerdictState::kLifted;
    next.trial_process.clear();
    if (entry.proven && entry.verdict.state != VerdictState::kCondemned) {
      changes.push_back({next, VerdictReason::kTrialPassed});
      continue;
    }
    const Duration ttl = grants && next.trials == 0 ? kUntriedTtl : PolicyOf(subject).unused_ttl;
    if (now - std::max(entry.refused_at, entry.changed_at) >= ttl) {
      changes.push_back({next, VerdictReason::kUnused});
      continue;
    }
    auto due = grants ? DueForRequest(entry, processes, now) : DueForPart(entry, processes, now);
    if (due) changes.push_back(std::move(*due));
  }
  // A process holds a request back that this one does not suspect, for example because it leads
  // only since then. The trial counts like any other.
  for (auto it = asks_.begin(); it != asks_.end();) {
    if (now - it->second.at >= kAskTtl) {
      it = asks_.erase(it);
      continue;
    }
    if (!entries_.contains(it->first) && PolicyOf(it->first).grants_trials() &&
        has_room(it->first.kind) && Contains(processes, it->second.process)) {
      changes.push_back({{it->first, VerdictState::kOnTrial, 0, it->second.process, 1, 0},
                         VerdictReason::kTrialDue});
    }
    ++it;
  }
  return changes;
}

}  // namespace wagtailslip::serving
