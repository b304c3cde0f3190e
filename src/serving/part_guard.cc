#include "wagtailslip/serving/part_guard.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

// Trials of a suspect over all processes, per process: each of them sends one in this time times
// the number of processes. A verdict needs ends at several separate times.
constexpr Duration kTrialIntervalPerProcess = std::chrono::milliseconds(250);
// Number of ends after which each further one doubles the interval: an engine that ends proves less
// and less.
constexpr std::uint32_t kEndsBeforeSlowTrials = 4;
constexpr std::uint32_t kMaxTrialDoublings = 6;
// Shared suspects count no more if the leader has not repeated them for this long.
constexpr Duration kSharedSuspectsTtl = std::chrono::seconds(5);
// Bounds the memory if each request brings new parts. Parts that are used often stay.
constexpr std::size_t kMaxProvenParts = 4096;
constexpr std::size_t kMaxUnclear = 256;
// An engine that ended is found out within milliseconds where it refuses connections, and within
// seconds where only its next incarnation tells.
constexpr Duration kUnclearTtl = std::chrono::seconds(10);
constexpr Duration kEndedTtl = std::chrono::seconds(60);
constexpr std::size_t kMaxEndsPerReport = 64;
constexpr Duration kReportIntervalPerProcess = std::chrono::milliseconds(1);
constexpr Duration kMinReportInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(200);
// Interval of the totals while there are suspects.
constexpr Duration kTotalsIntervalPerProcess = std::chrono::milliseconds(5);
constexpr Duration kMinTotalsInterval = std::chrono::milliseconds(250);
// Interval at which a condemned part that is still asked for is reported.
constexpr Duration kRefusedInterval = std::chrono::seconds(10);
// Also bounds the time of which the totals of a report are.
constexpr Duration kExpiryPeriod = std::chrono::seconds(1);

}  // namespace

std::uint32_t PartGuard::Ends(const std::string& part, TimePoint now) const {
  std::uint32_t ends = own_.Ends(part, now);
  if (now - shared_suspects_at_ >= kSharedSuspectsTtl) return ends;
  const auto shared = shared_suspects_.find(part);
  if (shared == shared_suspects_.end()) return ends;
  return std::max(ends, shared->second);
}

std::string PartGuard::Condemned(const std::vector<std::string>& parts,
                                 const std::string& self) const {
  for (const auto& id : parts) {
    if (isolated_ && own_verdicts_.contains(id)) return id;
    const auto it = verdicts_.find(id);
    if (it == verdicts_.end()) continue;
    if (it->second.state == PartState::kCondemned) return id;
    if (it->second.state == PartState::kOnTrial && it->second.trial_process != self) return id;
  }
  return {};
}

bool PartGuard::Suspicious(const std::vector<std::string>& parts, TimePoint now) const {
  return std::any_of(parts.begin(), parts.end(), [&](const std::string& id) {
    return verdicts_.contains(id) || Ends(id, now) >= PartEvidence::kSuspectEnds;
  });
}

PartDecision PartGuard::Admit(const std::vector<std::string>& parts, const std::string& self,
                              std::size_t processes, TimePoint now) {
  const std::string condemned = Condemned(parts, self);
  if (!condemned.empty()) {
    const auto [it, added] = refused_.try_emplace(condemned, TimePoint{});
    if (now - it->second >= kRefusedInterval || added) {
      it->second = now;
      report_.refused.push_back(condemned);
    }
    return {PartDecision::Kind::kCondemned, condemned, {}};
  }
  for (const auto& id : parts) {
    if (!verdicts_.contains(id) && Ends(id, now) < PartEvidence::kSuspectEnds) continue;
    const Duration interval = TrialInterval(id, processes, now);
    Trial& trial = TrialOf(id, self, interval, now);
    const Duration wait = trial.begun_at + interval - now;
    if (trial.running || wait > Duration::zero()) {
      ++counters_.held_back;
      return {PartDecision::Kind::kWait, id, std::max(wait, Duration(kTrialIntervalPerProcess))};
    }
    trial.running = true;
    trial.begun_at = now;
    ++counters_.trials;
    return {PartDecision::Kind::kTrial, id, {}};
  }
  return {};
}

Duration PartGuard::TrialInterval(const std::string& part, std::size_t processes,
                                  TimePoint now) const {
  // A part on trial is tried by one process only.
  const auto sharing =
      verdicts_.contains(part) ? 1 : static_cast<int>(std::max<std::size_t>(processes, 1));
  const std::uint32_t ends = Ends(part, now);
  const std::uint32_t doublings =
      std::min(ends > kEndsBeforeSlowTrials ? ends - kEndsBeforeSlowTrials : 0, kMaxTrialDoublings);
  return kTrialIntervalPerProcess * sharing * (1 << doublings);
}

PartGuard::Trial& PartGuard::TrialOf(const std::string& part, const std::string& self,
                                     Duration interval, TimePoint now) {
  const auto [it, added] = trials_.try_emplace(part);
  // Processes that learn of a suspect at the same time take turns.
  const auto since = static_cast<Duration::rep>(Hash64(self, Hash64(part)) %
                                                static_cast<std::uint64_t>(interval.count()));
  if (added) it->second.begun_at = now - Duration(since);
  return it->second;
}

void PartGuard::EndTrial(const std::string& part) {
  const auto it = trials_.find(part);
  if (it != trials_.end()) it->second.running = false;
}

void PartGuard::RememberProof(const std::string& part, TimePoint now) {
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

void PartGuard::OnProven(const std::vector<std::string>& parts, TimePoint now) {
  ++report_.proven_attempts;
  own_.AddTotals(1, 0, now);
  for (const auto& id : parts) {
    RememberProof(id, now);
    const bool asked =
        verdicts_.contains(id) || shared_suspects_.contains(id) || own_.Ends(id, now) > 0;
    own_.AddProof(id, now, now);
    if (!asked) continue;
    report_.proofs.push_back({id, now});
    shared_suspects_.erase(id);
    trials_.erase(id);
  }
}

void PartGuard::AddEnd(const EndedAttempt& attempt, TimePoint now) {
  ++counters_.ended_attempts;
  ++report_.ended_attempts;
  own_.AddTotals(0, 1, now);
  own_.AddEnd(attempt, now);
  if (report_.ends.size() >= kMaxEndsPerReport) return;
  report_.ends.push_back(attempt);
  // A proof that this process has clears the part at once.
  for (const auto& id : attempt.parts) {
    const auto it = proven_.find(id);
    if (it == proven_.end()) continue;
    own_.AddProof(id, it->second.at, now);
    report_.proofs.push_back({id, it->second.at});
  }
  for (auto id = own_.Condemn(now); !id.empty(); id = own_.Condemn(now)) own_verdicts_[id] = now;
}

void PartGuard::OnBroken(EndedAttempt attempt, TimePoint now) {
  if (attempt.parts.empty()) return;
  if (KnownEnded(attempt.engine, attempt.started_ms)) return AddEnd(attempt, now);
  unclear_.push_back(std::move(attempt));
  if (unclear_.size() > kMaxUnclear) unclear_.pop_front();
}

void PartGuard::OnIncarnation(const std::string& engine, std::int64_t started_ms, TimePoint now) {
  std::vector<std::int64_t> former;
  for (const auto& it : unclear_) {
    if (it.engine == engine && it.started_ms < started_ms) former.push_back(it.started_ms);
  }
  for (const auto it : former) OnEngineEnded(engine, it, now);
}

bool PartGuard::KnownEnded(const std::string& engine, std::int64_t started_ms) const {
  return ended_.contains({engine, started_ms});
}

void PartGuard::OnEngineEnded(const std::string& engine, std::int64_t started_ms, TimePoint now) {
  ended_.try_emplace({engine, started_ms}, now);
  const auto at_engine = [&](const EndedAttempt& it) {
    return it.engine == engine && it.started_ms == started_ms;
  };
  for (const auto& it : unclear_) {
    if (at_engine(it)) AddEnd(it, now);
  }
  std::erase_if(unclear_, at_engine);
}

bool PartGuard::SetVerdicts(PartVerdictList list) {
  if (list.revision <= verdicts_revision_) return false;
  verdicts_revision_ = list.revision;
  const auto former = std::move(verdicts_);
  verdicts_.clear();
  for (auto& it : list.verdicts) {
    if (!former.contains(it.part)) own_.SetCondemned(it.part);
    own_verdicts_.erase(it.part);
    verdicts_[it.part] = std::move(it);
  }
  for (const auto& [id, verdict] : former) {
    if (!verdicts_.contains(id)) own_.Forget(id);
  }
  std::erase_if(refused_, [this](const auto& it) { return !verdicts_.contains(it.first); });
  return true;
}

void PartGuard::SetSuspects(std::vector<SuspectPart> suspects, TimePoint now) {
  shared_suspects_.clear();
  shared_suspects_at_ = now;
  for (auto& it : suspects) {
    const auto proof = proven_.find(it.part);
    if (proof != proven_.end()) report_.proofs.push_back({it.part, proof->second.at});
    shared_suspects_[std::move(it.part)] = it.ends;
  }
}

void PartGuard::Expire(TimePoint now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  own_.Expire(now);
  std::erase_if(unclear_, [now](const EndedAttempt& it) { return now - it.at >= kUnclearTtl; });
  std::erase_if(ended_, [now](const auto& it) { return now - it.second >= kEndedTtl; });
  std::erase_if(own_verdicts_, [&](const auto& it) {
    if (now - it.second < kEndedTtl) return false;
    own_.Forget(it.first);
    return true;
  });
  // Totals of before count for ends of the next second only.
  if (now - last_report_at_ >= kExpiryPeriod) report_.proven_attempts = report_.ended_attempts = 0;
  std::erase_if(trials_, [now](const auto& it) {
    return !it.second.running && now - it.second.begun_at >= kEndedTtl;
  });
}

std::optional<PartReport> PartGuard::NextReport(std::size_t processes, TimePoint now) {
  Expire(now);
  const auto n = static_cast<int>(std::max<std::size_t>(processes, 1));
  const Duration interval =
      std::clamp(kReportIntervalPerProcess * n, kMinReportInterval, kMaxReportInterval);
  const Duration totals_interval = std::max(kTotalsIntervalPerProcess * n, kMinTotalsInterval);
  const Duration since = now - last_report_at_;
  if (since < interval) return std::nullopt;
  const bool news = !report_.ends.empty() || !report_.proofs.empty() || !report_.refused.empty();
  const bool totals_due = !shared_suspects_.empty() && since >= totals_interval;
  if (!news && !totals_due) return std::nullopt;
  last_report_at_ = now;
  PartReport report = std::move(report_);
  report_ = PartReport{};
  return report;
}

}  // namespace wagtailslip::serving
