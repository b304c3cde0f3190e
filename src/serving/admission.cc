#include "wagtailslip/serving/admission.h"

#include <algorithm>
#include <tuple>

namespace wagtailslip::serving {
namespace {

// Minimum length of the window in which the dispatch rate is measured.
constexpr Duration kRateWindow = std::chrono::milliseconds(500);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(400);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1600);
// With no endpoint known: enough for a restarted or replaced endpoint to announce itself.
constexpr Duration kRetryAfterNoEndpoint = std::chrono::milliseconds(800);
// With no usable endpoint, because all are swapping their weights or lack the required version: an
// earlier retry would only be refused again.
constexpr Duration kRetryAfterNoUsableEndpoint = std::chrono::milliseconds(1800);
// A process without a configuration has just started, usually together with all others. Elections,
// distributing the configuration and loading weights take about a second; an earlier retry would be
// refused again.
constexpr Duration kRetryAfterNoConfig = std::chrono::milliseconds(1500);
// An endpoint that takes one request in several seconds.
constexpr Duration kMaxRetryAfterLimit = std::chrono::seconds(10);
constexpr std::size_t kMaxWaiting = 2000;
// Fraction of the latency objective that a request may wait for an endpoint. Under sustained
// overload every admitted request waits that long, and an engine with a full batch needs the rest
// to respond.
constexpr double kMaxWaitFraction = 0.2;
// Maximum wait of a request that an endpoint refused or whose stream was interrupted, counted from
// the retry.
constexpr Duration kMaxRetryWait = std::chrono::milliseconds(400);
// Maximum wait of a request that has already missed its objective. It is considered after the
// requests of the same priority that have not, and is sent to an engine only below the lower load
// limit PlacementSettings::max_engine_utilization_if_late.
constexpr Duration kMaxLateWait = std::chrono::milliseconds(300);

// The same fraction at a service with limits by rank, where a refusal has to be sent within an
// eighth of the objective. The most urgent requests wait in the queue of an engine instead.
constexpr double kMaxLimitedWaitFraction = 0.125;

constexpr double kTokensPerAnswerClass = 32;

/// Whether `a` is served before `b` or ranks equal with it, disregarding account shares.
bool AtLeastAsUrgent(const AdmissionRequest& a, const AdmissionRequest& b) {
  return std::tuple(a.queue_rank, a.query.late) <= std::tuple(b.queue_rank, b.query.late);
}

/// Class of the expected answer length. Requests of one class are accepted by the same endpoints:
/// an endpoint that is about to swap its weights stops accepting requests for long answers first.
int AnswerLengthClass(const AdmissionRequest& request) {
  return static_cast<int>(request.query.answer_tokens / kTokensPerAnswerClass);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

TimePoint LatestStart(const LatestStartInput& input, TimePoint now) {
  Duration wait =
      input.late ? kMaxLateWait : FromSeconds(ToSeconds(input.objective) * kMaxWaitFraction);
  if (input.limited_by_rank)
    wait = FromSeconds(ToSeconds(input.objective) * kMaxLimitedWaitFraction);
  const TimePoint latest = input.is_retry ? now + kMaxRetryWait : input.received + wait;
  return std::min(latest, input.deadline);
}

double& Admission::DispatchedWork(const AdmissionRequest& request) {
  double& work = dispatched_work_[request.account];
  // Raised to the floor so that an account cannot save up credit while it is idle.
  work = std::max(work, dispatched_work_floor_);
  return work;
}

void Admission::RecordDispatch(const AdmissionRequest& request, TimePoint now) {
  double& work = DispatchedWork(request);
  dispatched_work_floor_ = std::max(dispatched_work_floor_, work - 1);
  work += request.cost;
  Rate& rate = rates_[request.query.service];
  if (rate.since == TimePoint{}) rate.since = now;
  ++rate.count;
  if (now - rate.since >= kRateWindow) {
    const double measured = rate.count / ToSeconds(now - rate.since);
    rate.per_second = rate.per_second == 0 ? measured : (rate.per_second + measured) / 2;
    rate.count = 0;
    rate.since = now;
  }
}

Duration Admission::ExpectedWait(const AdmissionRequest& request, TimePoint now) const {
  const auto it = rates_.find(request.query.service);
  if (it == rates_.end() || it->second.per_second <= 0) return Duration::zero();
  const Rate& rate = it->second;
  // The stored rate is updated only by a dispatch, so a window that has been open for too long
  // lowers the estimate.
  const double open_for_s = ToSeconds(now - rate.since);
  const double per_second = open_for_s > ToSeconds(kRateWindow)
                                ? std::min(rate.per_second, (rate.count + 1) / open_for_s)
                                : rate.per_second;
  const auto ahead =
      std::count_if(waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& other) {
        return other.query.service == request.query.service && AtLeastAsUrgent(other, request) &&
               other.query.allowed_regions.Overlaps(request.query.allowed_regions);
      });
  return FromSeconds(static_cast<double>(ahead) / per_second);
}

Duration Admission::RetryAfter(const std::string& service, TimePoint now) {
  AdmissionRequest last;
  last.query.service = service;
  last.queue_rank = ~std::uint32_t{0};
  last.query.late = true;
  const Duration wait =
      std::clamp(ExpectedWait(last, now) + kMinRetryAfter, kMinRetryAfter, kMaxRetryAfter);
  return AddJitter(wait);
}

Duration Admission::RetryAfter(const std::string& service, std::uint32_t rank, TimePoint deadline,
                               TimePoint now) {
  const PriorityLimits* limits = FindLimits(service);
  if (limits == nullptr) return RetryAfter(service, now);
  return limits->RetryAfter(rank, deadline - now, random_, now);
}

Duration Admission::RetryAfterWithoutConfig() { return AddJitter(kRetryAfterNoConfig); }

Duration Admission::AddJitter(Duration wait) {
  // Keeps callers that were refused together from retrying together.
  std::uniform_real_distribution<double> factor(0.75, 1.5);
  return FromSeconds(ToSeconds(wait) * factor(random_));
}

std::optional<Refusal> Admission::RefuseByLimit(const AdmissionRequest& request,
                                                const Placement::PoolStats& pool, TimePoint now) {
  if (pool.usable == 0 || pool.next_permit_at < request.latest_start) return std::nullopt;
  const TimePoint free_at = std::max(pool.next_permit_at, pool.permit_queue_end);
  const Duration wait = std::clamp(free_at - now, kMinRetryAfter, kMaxRetryAfterLimit);
  // Never before the next permit, when a retry would only be refused again.
  const Duration next_permit = std::min(pool.next_permit_at - now, kMaxRetryAfterLimit);
  return Refusal{RefusalReason::kRequestLimit, std::max(next_permit, AddJitter(wait))};
}

std::optional<Refusal> Admission::RefuseByDomain(const AdmissionRequest& request,
                                                 const Placement::PoolStats& pool) {
  const auto refuse = [this](RefusalReason reason) {
    return Refusal{reason, AddJitter(kRetryAfterNoUsableEndpoint)};
  };
  if (request.query.allowed_regions.empty()) return refuse(RefusalReason::kNoAllowedRegion);
  if (pool.endpoints == 0) return std::nullopt;
  if (pool.in_allowed_regions == 0) return refuse(RefusalReason::kNoAllowedRegion);
  if (pool.not_drained == 0) return refuse(RefusalReason::kAllDomainsDrained);
  return std::nullopt;
}

PriorityLimits& Admission::priority_limits(const std::string& service) { return limits_[service]; }

void Admission::SetRanks(const std::string& service, std::size_t count) {
  if (count > 1 || limits_.contains(service)) limits_[service].SetRanks(count);
}

std::map<std::string, std::vector<PriorityLimits::RankCounters>> Admission::RankCounters() const {
  std::map<std::string, std::vector<PriorityLimits::RankCounters>> counters;
  for (const auto& [service, limits] : limits_) {
    if (limits.active()) counters[service] = limits.counters();
  }
  return counters;
}

PriorityLimits* Admission::FindLimits(const std::string& service) {
  const auto it = limits_.find(service);
  return it == limits_.end() || !it->second.active() ? nullptr : &it->second;
}

void Admission::ApplyLimits(AdmissionRequest& request, const PriorityLimits* limits,
                            TimePoint now) const {
  if (limits == nullptr) return;
  const bool by_floor = limits->BelowFloor(request.priority);
  request.queue_rank = by_floor ? 0 : request.priority;
  const bool last_try = now >= request.latest_start;
  request.query.limits = limits->Limits(request.priority, request.query.late, last_try, now);
}

Refusal Admission::RefuseByRank(const AdmissionRequest& request, RefusalReason reason,
                                TimePoint now) {
  PriorityLimits* limits = FindLimits(request.query.service);
  if (limits != nullptr) limits->OnRefused(request.priority, now);
  return {reason, RetryAfter(request.query.service, request.priority, request.deadline, now)};
}

void Admission::RecordPlaced(PriorityLimits& limits, const AdmissionRequest& request,
                             const PlacementResult& placed, TimePoint now) {
  limits.OnPlaced(request.priority, placed.load / std::max<std::uint32_t>(placed.slots, 1), now);
}

AdmissionDecision Admission::Offer(const AdmissionRequest& offered, TimePoint now) {
  AdmissionRequest request = offered;
  request.queue_rank = request.priority;
  PriorityLimits* limits = FindLimits(request.query.service);
  if (limits != nullptr) {
    limits->OnArrival(request.priority, request.query.late, now);
    ApplyLimits(request, limits, now);
  }
  const bool others_wait =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& other) {
        return other.query.service == request.query.service && AtLeastAsUrgent(other, request) &&
               other.query.allowed_regions.Includes(request.query.allowed_regions) &&
               other.query.min_weights_version <= request.query.min_weights_version &&
               AnswerLengthClass(other) <= AnswerLengthClass(request);
      });
  if (!others_wait) {
    if (auto placed = placement_.Choose(request.query, now)) {
      RecordDispatch(request, now);
      if (limits != nullptr) RecordPlaced(*limits, request, *placed, now);
      return *placed;
    }
  }
  const auto pool = placement_.GetPoolStats(request.query, now);
  if (const auto refusal = RefuseByDomain(request, pool)) return *refusal;
  if (pool.usable == 0 && pool.endpoints == 0) {
    return Refusal{RefusalReason::kNoEndpoint, kRetryAfterNoEndpoint};
  }
  if (const auto refusal = RefuseByLimit(request, pool, now)) return *refusal;
  if (waiting_.size() >= kMaxWaiting || now + ExpectedWait(request, now) >= request.latest_start) {
    if (pool.usable == 0) {
      return Refusal{RefusalReason::kQueueTooLong, AddJitter(kRetryAfterNoUsableEndpoint)};
    }
    return RefuseByRank(request, RefusalReason::kQueueTooLong, now);
  }
  if (limits != nullptr) limits->OnWaiting(request.priority, now);
  waiting_.push_back(request);
  waiting_.back().query.queued = true;
  return std::monostate{};
}

std::vector<std::pair<std::uint64_t, AdmissionDecision>> Admission::ProcessWaiting(TimePoint now) {
  std::vector<std::pair<std::uint64_t, AdmissionDecision>> decisions;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    PriorityLimits* limits = FindLimits(it->query.service);
    ApplyLimits(*it, limits, now);
    if (now < it->latest_start) {
      ++it;
      continue;
    }
    // The most urgent requests may now wait in the queue of an engine.
    if (limits != nullptr && it->queue_rank == 0) {
      if (const auto placed = placement_.Choose(it->query, now)) {
        RecordDispatch(*it, now);
        RecordPlaced(*limits, *it, *placed, now);
        decisions.emplace_back(it->id, *placed);
        it = waiting_.erase(it);
        continue;
      }
    }
    decisions.emplace_back(it->id, RefuseByRank(*it, RefusalReason::kWaitedTooLong, now));
    it = waiting_.erase(it);
  }
  std::vector<std::list<AdmissionRequest>::iterator> order;
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) order.push_back(it);
  std::stable_sort(order.begin(), order.end(), [this](const auto& a, const auto& b) {
    return std::tuple(a->queue_rank, a->query.late, DispatchedWork(*a)) <
           std::tuple(b->queue_rank, b->query.late, DispatchedWork(*b));
  });
  // By key: the state of the pool when a request could not be placed.
  std::map<std::tuple<std::string, std::int64_t, bool, int, std::uint32_t, double, AllowedRegions>,
           Placement::PoolStats>
      exhausted;
  for (const auto& it : order) {
    PriorityLimits* limits = FindLimits(it->query.service);
    // The floor of a rank counts for one request at a time.
    ApplyLimits(*it, limits, now);
    // If a request without excluded endpoints cannot be placed, no other request with the same key
    // can be placed either. Only retries exclude endpoints.
    const std::tuple key(it->query.service, it->query.min_weights_version, it->query.late,
                         AnswerLengthClass(*it), it->queue_rank,
                         it->query.limits ? it->query.limits->subset : 0.0,
                         it->query.allowed_regions);
    const bool is_retry = !it->query.excluded.empty();
    auto known = is_retry ? exhausted.end() : exhausted.find(key);
    Placement::PoolStats pool;
    if (known != exhausted.end()) {
      pool = known->second;
    } else {
      if (const auto placed = placement_.Choose(it->query, now)) {
        RecordDispatch(*it, now);
        if (limits != nullptr) RecordPlaced(*limits, *it, *placed, now);
        decisions.emplace_back(it->id, *placed);
        waiting_.erase(it);
        continue;
      }
      const bool domain_matters =
          it->query.allowed_regions.restricted() || !placement_.drained_domains().domains.empty();
      if (placement_.any_limited() || domain_matters) {
        pool = placement_.GetPoolStats(it->query, now);
      }
      if (!is_retry) exhausted.emplace(key, pool);
    }
    auto refusal = RefuseByDomain(*it, pool);
    if (!refusal) refusal = RefuseByLimit(*it, pool, now);
    if (refusal) {
      decisions.emplace_back(it->id, *refusal);
      waiting_.erase(it);
    }
  }
  return decisions;
}

void Admission::UpdateAllowedRegions(const RouteTable& routes) {
  for (auto& it : waiting_) it.query.allowed_regions = routes.AllowedRegionsFor(it.region_scope);
}

void Admission::Cancel(std::uint64_t id) {
  waiting_.remove_if([id](const AdmissionRequest& it) { return it.id == id; });
}

}  // namespace wagtailslip::serving
