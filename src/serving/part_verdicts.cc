#include "wagtailslip/serving/part_verdicts.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Time without requests after which a verdict is lifted.
constexpr Duration kUnusedTtl = std::chrono::minutes(10);
// Time until a condemned part is tried again; doubles each time that it is condemned again.
constexpr Duration kFirstTrialDelay = std::chrono::minutes(10);
constexpr std::uint32_t kMaxDoublings = 7;

Duration TrialDelay(std::uint32_t times) {
  return kFirstTrialDelay * (1 << std::min(times > 0 ? times - 1 : 0, kMaxDoublings));
}

}  // namespace

void VerdictReview::SetVerdicts(const std::vector<PartVerdict>& verdicts, TimePoint now) {
  std::map<std::string, Entry> entries;
  for (const auto& it : verdicts) {
    const auto known = entries_.find(it.part);
    const bool unchanged = known != entries_.end() && known->second.verdict.state == it.state &&
                           known->second.verdict.times == it.times;
    Entry& entry = entries[it.part];
    entry = unchanged ? known->second : Entry{it, now, now};
    entry.verdict = it;
  }
  entries_ = std::move(entries);
}

void VerdictReview::OnRefused(const std::string& part, TimePoint now) {
  const auto it = entries_.find(part);
  if (it != entries_.end()) it->second.refused_at = now;
}

const PartVerdict* VerdictReview::Find(const std::string& part) const {
  const auto it = entries_.find(part);
  return it == entries_.end() ? nullptr : &it->second.verdict;
}

std::optional<VerdictChange> VerdictReview::NextChange(const std::vector<std::string>& processes,
                                                       TimePoint now) {
  for (const auto& [part, entry] : entries_) {
    PartVerdict next = entry.verdict;
    if (now - std::max(entry.refused_at, entry.changed_at) >= kUnusedTtl) {
      next.state = PartState::kLifted;
      return VerdictChange{next, VerdictReason::kUnused};
    }
    if (processes.empty()) continue;
    const bool due =
        next.state == PartState::kCondemned && now - entry.changed_at >= TrialDelay(next.times);
    const bool abandoned =
        next.state == PartState::kOnTrial &&
        std::find(processes.begin(), processes.end(), next.trial_process) == processes.end();
    if (!due && !abandoned) continue;
    next.state = PartState::kOnTrial;
    next.trial_process = processes.front();
    return VerdictChange{next, VerdictReason::kTrialDue};
  }
  return std::nullopt;
}

std::optional<VerdictChange> VerdictReview::AfterTrial(const PartVerdict& verdict, bool passed) {
  if (verdict.state != PartState::kOnTrial) return std::nullopt;
  PartVerdict next = verdict;
  next.trial_process.clear();
  next.state = passed ? PartState::kLifted : PartState::kCondemned;
  if (!passed) ++next.times;
  return VerdictChange{next, passed ? VerdictReason::kTrialPassed : VerdictReason::kTrialFailed};
}

}  // namespace wagtailslip::serving
