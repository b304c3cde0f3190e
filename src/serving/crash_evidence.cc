#include "wagtailslip/serving/crash_evidence.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <tuple>

namespace wagtailslip::serving {
namespace {

// Time for which a proof clears a subject. Longer than all engines need to be back after they have
// ended at the same time, so that frequent parts stay cleared meanwhile.
constexpr Duration kProofTtl = std::chrono::seconds(10);
// Ends that are closer together than this may have one cause, such as the loss of a machine.
constexpr Duration kSeparation = std::chrono::milliseconds(250);
// An endpoint that announces no incarnation may have restarted if it ends again later than this.
constexpr Duration kShortestRun = std::chrono::milliseconds(500);
constexpr std::uint32_t kMinEnds = 5;
constexpr std::uint32_t kMinSeparateTimes = 4;
// Largest probability of condemning a sound subject.
constexpr double kMaxErrorProbability = 1e-6;
// Smallest share of ended attempts that is assumed: some ends may not have been reported yet.
constexpr double kMinEndedShare = 0.01;
constexpr Duration kTotalsInterval = std::chrono::milliseconds(250);
constexpr Duration kTotalsTtl = std::chrono::seconds(60);
// What is known of other attempts at the time of a subject's first end counts as well.
constexpr Duration kTotalsBefore = std::chrono::seconds(1);
// A suspect has few attempts after its ends, and others have many, which would make its ends seem
// less and less likely.
constexpr Duration kTotalsAfter = std::chrono::seconds(1);
constexpr std::size_t kMaxServices = 64;
constexpr std::size_t kMaxEndsPerSubject = 64;

}  // namespace

AttemptStage StageOf(std::uint64_t events) {
  const auto next = std::upper_bound(kStageStarts.begin(), kStageStarts.end(), events);
  return static_cast<AttemptStage>(next - kStageStarts.begin()) - 1;
}

void AttemptTotals::Add(const AttemptTotals& other) {
  begun += other.begun;
  delivered += other.delivered;
  for (std::size_t i = 0; i < ended.size(); ++i) ended[i] += other.ended[i];
}

std::uint64_t AttemptTotals::EndedBy(AttemptStage stage) const {
  return std::accumulate(ended.begin(), ended.begin() + 1 + static_cast<std::ptrdiff_t>(stage),
                         std::uint64_t{0});
}

std::uint64_t AttemptTotals::Beyond(AttemptStage stage) const {
  // Counted as attempts begin, so that the first seconds of a fault have a figure.
  if (stage == kStarting) return begun;
  return delivered + EndedBy(kStageStarts.size() - 1) - EndedBy(stage);
}

void CrashEvidence::AddTotals(const std::string& service, const AttemptTotals& totals,
                              TimePoint now) {
  if (!totals_.contains(service) && totals_.size() >= kMaxServices) return;
  auto& intervals = totals_[service];
  if (intervals.empty() || now - intervals.back().from >= kTotalsInterval) {
    intervals.push_back({now, {}});
  }
  intervals.back().totals.Add(totals);
  while (now - intervals.front().from > kTotalsTtl) intervals.pop_front();
}

bool CrashEvidence::SameEnd(const End& end, const EndpointRun& run, TimePoint at) {
  if (end.run != run) return false;
  return run.second != 0 || (at < end.at + kShortestRun && end.at < at + kShortestRun);
}

bool CrashEvidence::Cleared(const State& state, TimePoint now) {
  return state.proven_at != TimePoint{} && now - state.proven_at < kProofTtl;
}

void CrashEvidence::Erase(std::map<CrashSubject, State>::iterator it) {
  --counts_[static_cast<std::size_t>(it->first.kind)];
  repeated_.erase(it->first);
  condemned_.erase(it->first);
  subjects_.erase(it);
}

CrashEvidence::State& CrashEvidence::StateOf(const CrashSubject& subject) {
  const auto known = subjects_.find(subject);
  if (known != subjects_.end()) return known->second;
  std::size_t& count = counts_[static_cast<std::size_t>(subject.kind)];
  if (count >= PolicyOf(subject).max_subjects) {
    const auto first = subjects_.lower_bound({subject.kind, {}});
    auto weakest = first;
    const auto strength = [](const State& it) {
      return std::tuple(it.condemned, it.ends.size(),
                        it.ends.empty() ? it.proven_at : it.ends.back().at);
    };
    for (auto it = first; it != subjects_.end() && it->first.kind == subject.kind; ++it) {
      if (strength(it->second) < strength(weakest->second)) weakest = it;
    }
    Erase(weakest);
  }
  ++count;
  return subjects_[subject];
}

bool CrashEvidence::AddEnd(const EndedAttempt& attempt, TimePoint now) {
  const EndpointRun run{attempt.endpoint, attempt.started_ms};
  const AttemptStage stage = StageOf(attempt.events);
  const auto known_end = [&](State& state) {
    return std::find_if(state.ends.begin(), state.ends.end(),
                        [&](const End& it) { return SameEnd(it, run, attempt.at); });
  };
  const auto add = [&](State& state) {
    state.ends.push_back({run, attempt.at, attempt.confirmed, stage});
    if (state.ends.size() > kMaxEndsPerSubject) state.ends.pop_front();
  };
  bool explained = std::any_of(condemned_.begin(), condemned_.end(), [&](const CrashSubject& id) {
    State& state = subjects_.at(id);
    return known_end(state) != state.ends.end();
  });
  for (const auto& id : attempt.subjects) {
    if (!condemned_.contains(id)) continue;
    explained = true;
    State& state = subjects_.at(id);
    add(state);
    ExplainEnds(state, id);
  }
  if (explained) return false;
  for (std::size_t i = 0; i < attempt.subjects.size(); ++i) {
    const CrashSubject& id = attempt.subjects[i];
    if (!attempt.confirmed && !PolicyOf(id).grants_trials()) continue;
    State& state = StateOf(id);
    state.position = std::max(state.position, i);
    state.service = attempt.service;
    ++state.attempts;
    if (const auto known = known_end(state); known != state.ends.end()) {
      known->confirmed = known->confirmed || attempt.confirmed;
      known->stage = std::max(known->stage, stage);
      continue;
    }
    if (now - attempt.at > PolicyOf(id).end_ttl) continue;
    add(state);
    if (state.ends.size() >= kSuspectEnds) repeated_.insert(id);
  }
  return true;
}

void CrashEvidence::AddProof(const CrashSubject& subject, TimePoint at, TimePoint now) {
  const auto it = subjects_.find(subject);
  if (it == subjects_.end() || it->second.condemned) return;
  State& state = it->second;
  state.proven_at = std::max(state.proven_at, std::min(at, now));
  std::erase_if(state.ends, [&](const End& end) { return end.at <= state.proven_at; });
  state.attempts = std::min(state.attempts, static_cast<std::uint32_t>(state.ends.size()));
}

std::uint32_t CrashEvidence::Ends(const CrashSubject& subject, TimePoint now) const {
  const auto it = subjects_.find(subject);
  if (it == subjects_.end() || Cleared(it->second, now)) return 0;
  return static_cast<std::uint32_t>(it->second.ends.size());
}

std::size_t CrashEvidence::ConfirmedEnds(const State& state) {
  return static_cast<std::size_t>(std::count_if(state.ends.begin(), state.ends.end(),
                                                [](const End& it) { return it.confirmed; }));
}

std::uint32_t CrashEvidence::SeparateTimes(const State& state) {
  std::vector<TimePoint> times;
  times.reserve(state.ends.size());
  for (const auto& it : state.ends) {
    if (it.confirmed) times.push_back(it.at);
  }
  std::sort(times.begin(), times.end());
  std::uint32_t count = 0;
  TimePoint last{};
  for (const TimePoint at : times) {
    if (count > 0 && at - last < kSeparation) continue;
    ++count;
    last = at;
  }
  return count;
}

AttemptStage CrashEvidence::LatestStage(const State& state) {
  AttemptStage latest = kStarting;
  for (const auto& it : state.ends) latest = std::max(latest, it.stage);
  return latest;
}

double CrashEvidence::EndedShare(const CrashSubject& subject, const State& state) const {
  TimePoint first = state.ends.front().at;
  TimePoint last = first;
  for (const auto& it : state.ends) {
    first = std::min(first, it.at);
    last = std::max(last, it.at);
  }
  const AttemptStage latest = LatestStage(state);
  std::uint64_t beyond = 0;
  std::uint64_t ended = 0;
  if (const auto totals = totals_.find(state.service); totals != totals_.end()) {
    for (const auto& it : totals->second) {
      if (it.from + kTotalsInterval < first - kTotalsBefore) continue;
      if (it.from > last + kTotalsAfter) continue;
      beyond += it.totals.Beyond(latest);
      ended += it.totals.EndedBy(latest);
    }
  }
  // Ends under other guilty subjects tell nothing of sound ones.
  std::uint64_t explained = state.attempts;
  for (const auto& id : repeated_) {
    if (id == subject) continue;
    const State& other = subjects_.at(id);
    if (!other.condemned && !EndsRepeatedly(other)) continue;
    explained += static_cast<std::uint64_t>(
        std::count_if(other.ends.begin(), other.ends.end(), [&](const End& end) {
          return end.at >= first && end.stage <= latest &&
                 std::none_of(state.ends.begin(), state.ends.end(),
                              [&](const End& it) { return SameEnd(it, end.run, end.at); });
        }));
  }
  const double others = static_cast<double>(ended - std::min(ended, explained));
  // One more of each, so that few attempts prove little.
  return std::max(kMinEndedShare, (others + 1) / (others + static_cast<double>(beyond) + 2));
}

bool CrashEvidence::EndsRepeatedly(const State& state) {
  return ConfirmedEnds(state) >= kMinEnds && SeparateTimes(state) >= kMinSeparateTimes;
}

bool CrashEvidence::MustBeGuilty(const CrashSubject& subject, const State& state) const {
  return EndsRepeatedly(state) &&
         std::pow(EndedShare(subject, state), SeparateTimes(state)) <= kMaxErrorProbability;
}

void CrashEvidence::ExplainEnds(const State& condemned, const CrashSubject& name) {
  for (auto& [id, state] : subjects_) {
    if (id == name || state.condemned) continue;
    std::erase_if(state.ends, [&](const End& end) {
      return std::any_of(condemned.ends.begin(), condemned.ends.end(),
                         [&](const End& it) { return SameEnd(it, end.run, end.at); });
    });
  }
}

std::optional<CrashSubject> CrashEvidence::Condemn(
    TimePoint now, const std::function<bool(const CrashSubject&)>& allowed) {
  const CrashSubject* best = nullptr;
  auto best_rank = std::tuple<std::size_t, std::uint32_t, std::size_t>{};
  for (const auto& id : repeated_) {
    State& state = subjects_.at(id);
    // A process that did not judge for long still has old ends.
    ExpireEnds(id, state, now);
    if (state.condemned || Cleared(state, now) || !MustBeGuilty(id, state)) continue;
    if (allowed && !allowed(id)) continue;
    // What comes first in a prompt is shared by more requests, so of two subjects that always come
    // together the later one is the more likely cause; the request itself is the last.
    const auto rank = std::tuple(state.ends.size(), state.attempts, state.position);
    if (best == nullptr || rank > best_rank) {
      best = &id;
      best_rank = rank;
    }
  }
  if (best == nullptr) return std::nullopt;
  const CrashSubject condemned = *best;
  SetCondemned(condemned);
  return condemned;
}

void CrashEvidence::SetCondemned(const CrashSubject& subject) {
  State& state = StateOf(subject);
  state.condemned = true;
  repeated_.insert(subject);
  condemned_.insert(subject);
  ExplainEnds(state, subject);
}

void CrashEvidence::ClearCondemned(const CrashSubject& subject) {
  const auto it = subjects_.find(subject);
  if (it == subjects_.end()) return;
  it->second.condemned = false;
  condemned_.erase(subject);
}

void CrashEvidence::Forget(const CrashSubject& subject, TimePoint now) {
  const auto it = subjects_.find(subject);
  if (it == subjects_.end()) return;
  const TimePoint proven_at = it->second.proven_at;
  Erase(it);
  if (proven_at != TimePoint{} && now - proven_at < kProofTtl) {
    StateOf(subject).proven_at = proven_at;
  }
}

std::vector<SuspectSubject> CrashEvidence::Suspects(TimePoint now) const {
  std::vector<SuspectSubject> suspects;
  for (const auto& id : repeated_) {
    const State& state = subjects_.at(id);
    if (state.condemned || Cleared(state, now) || state.ends.size() < kSuspectEnds) continue;
    suspects.push_back({id, static_cast<std::uint32_t>(state.ends.size())});
  }
  return suspects;
}

std::vector<CrashSubject> CrashEvidence::Subjects(SubjectKind kind) const {
  std::vector<CrashSubject> subjects;
  for (auto it = subjects_.lower_bound({kind, {}}); it != subjects_.end() && it->first.kind == kind;
       ++it) {
    subjects.push_back(it->first);
  }
  return subjects;
}

void CrashEvidence::ExpireEnds(const CrashSubject& subject, State& state, TimePoint now) {
  const Duration ttl = PolicyOf(subject).end_ttl;
  std::erase_if(state.ends, [&](const End& end) { return now - end.at > ttl; });
  if (state.ends.empty()) state.attempts = 0;
}

void CrashEvidence::Expire(TimePoint now) {
  for (auto it = subjects_.begin(); it != subjects_.end();) {
    const auto current = it++;
    State& state = current->second;
    ExpireEnds(current->first, state, now);
    if (state.ends.empty() && !state.condemned && !Cleared(state, now)) Erase(current);
  }
}

}  // namespace wagtailslip::serving
