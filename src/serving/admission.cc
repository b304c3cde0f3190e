#include "wagtailslip/serving/admission.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace wagtailslip::serving {
namespace {

constexpr Duration kRateWindow = std::chrono::milliseconds(500);
constexpr Duration kShortestReturn = std::chrono::milliseconds(400);
constexpr Duration kLongestReturn = std::chrono::milliseconds(1600);
// Without endpoints a caller comes back when a restarted or replaced one can have announced itself.
constexpr Duration kReturnWithoutEndpoint = std::chrono::milliseconds(800);
// While no endpoint may answer, because all change their weights or lack them, an early return only
// meets the next refusal.
constexpr Duration kReturnWithoutUsable = std::chrono::milliseconds(1800);
// A process without a configuration has just started, mostly together with all others. Elections,
// configuration and weights take about a second; an earlier return meets the next refusal.
constexpr Duration kReturnWithoutConfig = std::chrono::milliseconds(1500);
constexpr std::size_t kMostWaiting = 2000;
// Part of a latency objective that a request may wait for an endpoint. Under sustained overload
// every admitted request waits that long, and an engine with a full batch needs the rest to answer.
constexpr double kWaitPart = 0.2;
// A request that was refused by one endpoint, or whose stream broke off, may wait a little longer.
constexpr Duration kRetryWait = std::chrono::milliseconds(400);
// A request that has missed its objective already may wait for a gap between the others.
constexpr Duration kLateWait = std::chrono::milliseconds(300);

constexpr double kAnswerClassTokens = 32;

/// Whether `a` is served before `b`, or with it.
bool NotAfter(const AdmissionRequest& a, const AdmissionRequest& b) {
  return std::tuple(a.priority, a.query.late) <= std::tuple(b.priority, b.query.late);
}

/// Requests of one class are taken by the same endpoints: one that is about to change its weights
/// takes short answers longer than long ones.
int AnswerClass(const AdmissionRequest& applicant) {
  return static_cast<int>(applicant.query.answer_tokens / kAnswerClassTokens);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

TimePoint LatestStart(const LatestStartInput& query, TimePoint now) {
  const Duration wait =
      query.late ? kLateWait : FromSeconds(ToSeconds(query.objective) * kWaitPart);
  const TimePoint latest = query.is_retry ? now + kRetryWait : query.received + wait;
  return std::min(latest, query.deadline);
}

double& Admission::ShareOf(const AdmissionRequest& applicant) {
  double& share = shares_[applicant.account];
  // An account that was idle does not collect a claim on the past.
  share = std::max(share, share_floor_);
  return share;
}

void Admission::NoteDispatch(const AdmissionRequest& applicant, TimePoint now) {
  double& share = ShareOf(applicant);
  share_floor_ = std::max(share_floor_, share - 1);
  share += applicant.cost;
  Rate& rate = rates_[applicant.query.service];
  if (rate.since == TimePoint{}) rate.since = now;
  ++rate.count;
  if (now - rate.since >= kRateWindow) {
    const double measured = rate.count / ToSeconds(now - rate.since);
    rate.per_second = rate.per_second == 0 ? measured : (rate.per_second + measured) / 2;
    rate.count = 0;
    rate.since = now;
  }
}

Duration Admission::ExpectedWait(const AdmissionRequest& applicant, TimePoint now) const {
  const auto it = rates_.find(applicant.query.service);
  if (it == rates_.end() || it->second.per_second <= 0) return Duration::zero();
  const Rate& rate = it->second;
  // A window that is still open lowers the rate while nothing is dispatched.
  const double open = ToSeconds(now - rate.since);
  const double per_second = open > ToSeconds(kRateWindow)
                                ? std::min(rate.per_second, (rate.count + 1) / open)
                                : rate.per_second;
  const auto ahead =
      std::count_if(waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& other) {
        return other.query.service == applicant.query.service && NotAfter(other, applicant);
      });
  return FromSeconds(static_cast<double>(ahead) / per_second);
}

Duration Admission::RetryAfter(const std::string& service, TimePoint now) {
  AdmissionRequest last;
  last.query.service = service;
  last.priority = ~std::uint32_t{0};
  last.query.late = true;
  const Duration wait =
      std::clamp(ExpectedWait(last, now) + kShortestReturn, kShortestReturn, kLongestReturn);
  return Spread(wait);
}

Duration Admission::RetryAfterWithoutConfig() { return Spread(kReturnWithoutConfig); }

Duration Admission::Spread(Duration wait) {
  // Callers that were refused together do not come back together.
  std::uniform_real_distribution<double> spread(0.75, 1.5);
  return FromSeconds(ToSeconds(wait) * spread(random_));
}

AdmissionDecision Admission::Offer(const AdmissionRequest& applicant, TimePoint now) {
  const bool others_wait =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& other) {
        return other.query.service == applicant.query.service && NotAfter(other, applicant) &&
               other.query.min_weights_version <= applicant.query.min_weights_version &&
               AnswerClass(other) <= AnswerClass(applicant);
      });
  if (!others_wait) {
    if (auto placed = placement_.Choose(applicant.query, now)) {
      NoteDispatch(applicant, now);
      return *placed;
    }
  }
  const auto pool = placement_.GetPoolStats(applicant.query, now);
  if (pool.usable == 0 && pool.endpoints == 0) {
    return Refusal{RefusalReason::kNoEndpoint, kReturnWithoutEndpoint};
  }
  if (waiting_.size() >= kMostWaiting ||
      now + ExpectedWait(applicant, now) >= applicant.latest_start) {
    const Duration retry_after =
        pool.usable == 0 ? Spread(kReturnWithoutUsable) : RetryAfter(applicant.query.service, now);
    return Refusal{RefusalReason::kQueueTooLong, retry_after};
  }
  waiting_.push_back(applicant);
  return std::monostate{};
}

std::vector<std::pair<std::uint64_t, AdmissionDecision>> Admission::ProcessWaiting(TimePoint now) {
  std::vector<std::pair<std::uint64_t, AdmissionDecision>> verdicts;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now < it->latest_start) {
      ++it;
      continue;
    }
    const Refusal refusal{RefusalReason::kWaitedTooLong, RetryAfter(it->query.service, now)};
    verdicts.emplace_back(it->id, refusal);
    it = waiting_.erase(it);
  }
  std::vector<std::list<AdmissionRequest>::iterator> order;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) order.push_back(it);
  std::stable_sort(order.begin(), order.end(), [this](const auto& a, const auto& b) {
    return std::tuple(a->priority, a->query.late, ShareOf(*a)) <
           std::tuple(b->priority, b->query.late, ShareOf(*b));
  });
  std::set<std::tuple<std::string, std::int64_t, bool, int>> full;
  for (const auto& it : order) {
    // Only a retry excludes endpoints, so what one request cannot have the next of its service
    // cannot have either.
    const std::tuple key(it->query.service, it->query.min_weights_version, it->query.late,
                         AnswerClass(*it));
    if (it->query.excluded.empty() && full.contains(key)) continue;
    auto placed = placement_.Choose(it->query, now);
    if (!placed) {
      if (it->query.excluded.empty()) full.insert(key);
      continue;
    }
    NoteDispatch(*it, now);
    verdicts.emplace_back(it->id, *placed);
    waiting_.erase(it);
  }
  return verdicts;
}

void Admission::Cancel(std::uint64_t id) {
  waiting_.remove_if([id](const AdmissionRequest& it) { return it.id == id; });
}

}  // namespace wagtailslip::serving
