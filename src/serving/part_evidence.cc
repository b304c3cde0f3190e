#include "wagtailslip/serving/part_evidence.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wagtailslip::serving {
namespace {

// Time after which an end counts no more.
constexpr Duration kEndTtl = std::chrono::seconds(60);
// Time for which a proof clears a part. Longer than all engines need to be back after they have
// ended at the same time, so that frequent parts stay cleared meanwhile.
constexpr Duration kProofTtl = std::chrono::seconds(10);
// Ends that are closer together than this may have one cause, such as the loss of a machine.
constexpr Duration kSeparation = std::chrono::milliseconds(250);
constexpr std::uint32_t kMinEnds = 5;
constexpr std::uint32_t kMinSeparateTimes = 4;
// Largest probability of condemning a sound part.
constexpr double kMaxErrorProbability = 1e-6;
// Smallest share of ended attempts that is assumed: some ends may not have been reported yet.
constexpr double kMinEndedShare = 0.01;
constexpr Duration kTotalsInterval = std::chrono::milliseconds(250);
// What is known of other attempts at the time of a part's first end counts as well.
constexpr Duration kTotalsBefore = std::chrono::seconds(1);
// Bounds the memory if each request brings new parts.
constexpr std::size_t kMaxParts = 1024;
constexpr std::size_t kMaxEndsPerPart = 64;

}  // namespace

void PartEvidence::AddTotals(std::uint64_t proven, std::uint64_t ended, TimePoint now) {
  if (totals_.empty() || now - totals_.back().from >= kTotalsInterval) {
    totals_.push_back({now, 0, 0});
  }
  totals_.back().proven += proven;
  totals_.back().ended += ended;
  while (now - totals_.front().from > kEndTtl) totals_.pop_front();
}

bool PartEvidence::Cleared(const Part& part, TimePoint now) {
  return part.proven_at != TimePoint{} && now - part.proven_at < kProofTtl;
}

void PartEvidence::MakeRoom() {
  if (parts_.size() < kMaxParts) return;
  const auto weakest =
      std::min_element(parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
        const auto strength = [](const Part& it) {
          return std::tuple(it.condemned, it.ends.size(),
                            it.ends.empty() ? it.proven_at : it.ends.back().at);
        };
        return strength(a.second) < strength(b.second);
      });
  parts_.erase(weakest);
}

bool PartEvidence::AddEnd(const EndedAttempt& attempt, TimePoint now) {
  const EngineRun run{attempt.engine, attempt.started_ms};
  const auto explains = [&](const Part& part) {
    return part.condemned && std::any_of(part.ends.begin(), part.ends.end(),
                                         [&](const End& it) { return it.engine == run; });
  };
  bool explained = std::any_of(parts_.begin(), parts_.end(),
                               [&](const auto& it) { return explains(it.second); });
  for (const auto& id : attempt.parts) {
    const auto it = parts_.find(id);
    if (it == parts_.end() || !it->second.condemned) continue;
    explained = true;
    it->second.ends.push_back({run, attempt.at});
    if (it->second.ends.size() > kMaxEndsPerPart) it->second.ends.pop_front();
    ExplainEnds(it->second, id);
  }
  if (explained) return false;
  for (std::size_t i = 0; i < attempt.parts.size(); ++i) {
    if (!parts_.contains(attempt.parts[i])) MakeRoom();
    Part& part = parts_[attempt.parts[i]];
    part.position = std::max(part.position, i);
    ++part.attempts;
    const bool known = std::any_of(part.ends.begin(), part.ends.end(),
                                   [&](const End& it) { return it.engine == run; });
    if (known || now - attempt.at > kEndTtl) continue;
    part.ends.push_back({run, attempt.at});
    if (part.ends.size() > kMaxEndsPerPart) part.ends.pop_front();
  }
  return true;
}

void PartEvidence::AddProof(const std::string& part, TimePoint at, TimePoint now) {
  const auto it = parts_.find(part);
  if (it == parts_.end() || it->second.condemned) return;
  it->second.proven_at = std::max(it->second.proven_at, std::min(at, now));
  std::erase_if(it->second.ends, [&](const End& end) { return end.at <= it->second.proven_at; });
  it->second.attempts =
      std::min(it->second.attempts, static_cast<std::uint32_t>(it->second.ends.size()));
}

std::uint32_t PartEvidence::Ends(const std::string& part, TimePoint now) const {
  const auto it = parts_.find(part);
  if (it == parts_.end() || Cleared(it->second, now)) return 0;
  return static_cast<std::uint32_t>(it->second.ends.size());
}

std::uint32_t PartEvidence::SeparateTimes(const Part& part) {
  std::vector<TimePoint> times;
  times.reserve(part.ends.size());
  for (const auto& it : part.ends) times.push_back(it.at);
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

double PartEvidence::EndedShare(const Part& part) const {
  TimePoint first = part.ends.front().at;
  for (const auto& it : part.ends) first = std::min(first, it.at);
  std::uint64_t proven = 0;
  std::uint64_t ended = 0;
  for (const auto& it : totals_) {
    if (it.from + kTotalsInterval < first - kTotalsBefore) continue;
    proven += it.proven;
    ended += it.ended;
  }
  // Ends under other guilty parts tell nothing of sound ones.
  std::uint64_t explained = part.attempts;
  for (const auto& [id, other] : parts_) {
    if (&other == &part || (!other.condemned && !EndsRepeatedly(other))) continue;
    explained += static_cast<std::uint64_t>(
        std::count_if(other.ends.begin(), other.ends.end(), [&](const End& end) {
          return end.at >= first &&
                 std::none_of(part.ends.begin(), part.ends.end(),
                              [&](const End& it) { return it.engine == end.engine; });
        }));
  }
  const double others = static_cast<double>(ended - std::min(ended, explained));
  // One more of each, so that few attempts prove little.
  return std::max(kMinEndedShare, (others + 1) / (others + static_cast<double>(proven) + 2));
}

bool PartEvidence::EndsRepeatedly(const Part& part) {
  return part.ends.size() >= kMinEnds && SeparateTimes(part) >= kMinSeparateTimes;
}

bool PartEvidence::MustBeGuilty(const Part& part) const {
  return EndsRepeatedly(part) &&
         std::pow(EndedShare(part), SeparateTimes(part)) <= kMaxErrorProbability;
}

void PartEvidence::ExplainEnds(const Part& condemned, const std::string& name) {
  for (auto& [id, part] : parts_) {
    if (id == name || part.condemned) continue;
    std::erase_if(part.ends, [&](const End& end) {
      return std::any_of(condemned.ends.begin(), condemned.ends.end(),
                         [&](const End& it) { return it.engine == end.engine; });
    });
  }
}

std::string PartEvidence::Condemn(TimePoint now) {
  // A process that did not judge for long still has old ends.
  Expire(now);
  const std::string* best = nullptr;
  auto best_rank = std::tuple<std::size_t, std::uint32_t, std::size_t>{};
  for (const auto& [id, part] : parts_) {
    if (part.condemned || Cleared(part, now) || !MustBeGuilty(part)) continue;
    // Parts that come first in a prompt are shared by more requests, so of two parts that always
    // come together the later one is the more likely cause.
    const auto rank = std::tuple(part.ends.size(), part.attempts, part.position);
    if (best == nullptr || rank > best_rank) {
      best = &id;
      best_rank = rank;
    }
  }
  if (best == nullptr) return {};
  std::string condemned = *best;
  SetCondemned(condemned);
  return condemned;
}

void PartEvidence::SetCondemned(const std::string& part) {
  if (!parts_.contains(part)) MakeRoom();
  Part& state = parts_[part];
  state.condemned = true;
  ExplainEnds(state, part);
}

std::vector<SuspectPart> PartEvidence::Suspects(TimePoint now) const {
  std::vector<SuspectPart> suspects;
  for (const auto& [id, part] : parts_) {
    if (part.condemned || Cleared(part, now) || part.ends.size() < kSuspectEnds) continue;
    suspects.push_back({id, static_cast<std::uint32_t>(part.ends.size())});
  }
  return suspects;
}

void PartEvidence::Expire(TimePoint now) {
  for (auto it = parts_.begin(); it != parts_.end();) {
    Part& part = it->second;
    std::erase_if(part.ends, [now](const End& end) { return now - end.at > kEndTtl; });
    if (part.ends.empty()) part.attempts = 0;
    const bool forget = part.ends.empty() && !part.condemned && !Cleared(part, now);
    it = forget ? parts_.erase(it) : std::next(it);
  }
}

}  // namespace wagtailslip::serving
