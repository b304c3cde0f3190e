#include "wagtailslip/traffic/fair_queue.h"

#include <algorithm>
#include <string_view>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

/// Weight of a new sample in the moving averages of the service time.
constexpr double kSampleWeight = 0.05;
/// A request is admitted only if the estimated wait is within this part of the time to its
/// deadline, and leaves this multiple of its mean service time. The estimates are means: with a
/// wait up to the deadline itself every second admitted request would end too late.
constexpr double kWaitPart = 0.35;
constexpr double kServiceMargin = 2.0;
/// While others wait, a request that has spent kWaitedPart of its time in the queue is dispatched
/// only if this multiple of its mean service time is left. One that came with little time is tried
/// all the same: its caller knows what it asks for, and the estimate may be at fault.
constexpr double kWaitedPart = 0.1;
constexpr double kDispatchMargin = 1.5;
/// Bounds of the time that a refused caller is told to wait.
constexpr double kShortestRetrySeconds = 0.1;
constexpr double kLongestRetrySeconds = 60;
/// Part of the retry time that is spread by request, so that refused callers don't return together.
constexpr double kRetrySpread = 0.25;

void Average(double& value, double sample) {
  value = value == 0 ? sample : value + kSampleWeight * (sample - value);
}

Duration FromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e9)); }

}  // namespace

FairQueue::FairQueue(QueueLimits limits, OrderFactory factory)
    : limits_(limits), factory_(std::move(factory)) {}

FairQueue::Pool& FairQueue::PoolOf(const std::string& name) {
  Pool& pool = pools_[name];
  if (pool.order == nullptr) pool.order = factory_();
  return pool;
}

void FairQueue::SetSlots(const std::string& pool, std::uint32_t slots) {
  PoolOf(pool).slots = slots;
}

double FairQueue::WaitSeconds(const Pool& pool, double tokens_ahead) {
  if (pool.running + pool.queued < pool.slots) return 0;
  const double slots = std::max<std::uint32_t>(1, pool.slots);
  // The next slot is free after an average of one service time divided by the slots.
  return (tokens_ahead * pool.seconds_per_token + pool.seconds_per_request) / slots;
}

Refusal FairQueue::Refuse(std::uint64_t id, RefusalReason reason, double retry_seconds) {
  ++counters_.refused[static_cast<std::size_t>(reason)];
  const std::string_view bytes(reinterpret_cast<const char*>(&id), sizeof(id));
  const double spread = 1 + kRetrySpread * static_cast<double>(Hash64(bytes) >> 40) / (1 << 24);
  return {
      id, reason,
      FromSeconds(std::clamp(retry_seconds, kShortestRetrySeconds, kLongestRetrySeconds) * spread)};
}

Admission FairQueue::Offer(QueueItem item, TimePoint now) {
  WTS_INVARIANT(!items_.contains(item.id) && !running_.contains(item.id));
  ++counters_.offered;
  Admission result;
  Pool& pool = PoolOf(item.pool);
  const double wait = WaitSeconds(pool, pool.order->TokensAhead(item));
  result.estimated_wait = FromSeconds(wait);
  if (item.deadline <= now) {
    result.refused.push_back(Refuse(item.id, RefusalReason::kExpired, wait));
    return result;
  }
  const double left = ToSeconds(item.deadline - now);
  const double service = item.tokens * pool.seconds_per_token;
  const double usable = std::min(
      {kWaitPart * left, left - kServiceMargin * service, ToSeconds(limits_.longest_wait)});
  // With a free slot the request is tried whatever the estimate says; otherwise an estimate that
  // is too high would never be corrected by a new sample.
  if (wait > 0 && wait > usable) {
    result.refused.push_back(
        Refuse(item.id, RefusalReason::kDeadline, wait - std::max(0.0, usable)));
    return result;
  }
  const std::pair owner(item.pool, item.account);
  const auto own = account_items_.find(owner);
  if (own != account_items_.end() && own->second >= limits_.items_per_account) {
    result.refused.push_back(Refuse(item.id, RefusalReason::kAccountFull, wait));
    return result;
  }
  if (pool.queued >= limits_.items_per_pool) {
    const QueueItem* victim = pool.order->Victim(item);
    if (victim == nullptr) {
      result.refused.push_back(Refuse(item.id, RefusalReason::kPoolFull, wait));
      return result;
    }
    const std::uint64_t id = victim->id;
    Remove(id);
    result.refused.push_back(Refuse(id, RefusalReason::kDisplaced, wait));
  }
  ++account_items_[owner];
  ++pool.queued;
  ++counters_.admitted;
  const std::uint64_t id = item.id;
  const auto it = items_.emplace(id, Queued{std::move(item), &pool, now}).first;
  expiry_.emplace(it->second.item.deadline, id);
  pool.order->Push(it->second.item);
  result.admitted = true;
  return result;
}

void FairQueue::Remove(std::uint64_t id) {
  const auto it = items_.find(id);
  WTS_INVARIANT(it != items_.end());
  const QueueItem& item = it->second.item;
  it->second.pool->order->Remove(item);
  --it->second.pool->queued;
  expiry_.erase({item.deadline, id});
  const auto own = account_items_.find({item.pool, item.account});
  if (--own->second == 0) account_items_.erase(own);
  items_.erase(it);
}

QueueStep FairQueue::Advance(TimePoint now) {
  QueueStep step;
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    const std::uint64_t id = expiry_.begin()->second;
    const Pool& pool = *items_.at(id).pool;
    const double retry = WaitSeconds(pool, pool.order->tokens());
    Remove(id);
    step.refused.push_back(Refuse(id, RefusalReason::kExpired, retry));
  }
  for (auto& [name, pool] : pools_) {
    while (pool.running < pool.slots && pool.queued > 0) {
      const QueueItem* next = pool.order->PopFront();
      WTS_INVARIANT(next != nullptr);
      const std::uint64_t id = next->id;
      const double left = ToSeconds(next->deadline - now);
      const Duration waited = now - items_.at(id).offered;
      const bool hopeless = pool.queued > 1 &&
                            ToSeconds(waited) > kWaitedPart * (ToSeconds(waited) + left) &&
                            left < kDispatchMargin * next->tokens * pool.seconds_per_token;
      expiry_.erase({next->deadline, id});
      const auto own = account_items_.find({next->pool, next->account});
      if (--own->second == 0) account_items_.erase(own);
      auto node = items_.extract(id);
      if (hopeless) {
        const Queued& queued = node.mapped();
        pool.order->Settle(queued.item, 0);
        --pool.queued;
        const double retry = WaitSeconds(pool, pool.order->tokens());
        step.refused.push_back(Refuse(id, RefusalReason::kExpired, retry));
        continue;
      }
      running_.emplace(id, Running{std::move(node.mapped().item), &pool, now});
      --pool.queued;
      ++pool.running;
      ++counters_.dispatched;
      step.dispatched.push_back(id);
    }
  }
  return step;
}

bool FairQueue::Cancel(std::uint64_t id) {
  if (!items_.contains(id)) return false;
  Remove(id);
  ++counters_.cancelled;
  return true;
}

FairQueue::Running FairQueue::Release(std::uint64_t id) {
  const auto it = running_.find(id);
  WTS_INVARIANT(it != running_.end());
  Running running = std::move(it->second);
  running_.erase(it);
  WTS_INVARIANT(running.pool->running > 0);
  --running.pool->running;
  return running;
}

void FairQueue::Finish(std::uint64_t id, TimePoint now, std::optional<double> actual_tokens) {
  const Running running = Release(id);
  const double tokens = std::max(1.0, actual_tokens.value_or(running.item.tokens));
  const double seconds = ToSeconds(now - running.started);
  Average(running.pool->seconds_per_token, seconds / tokens);
  Average(running.pool->seconds_per_request, seconds);
  running.pool->order->Settle(running.item, tokens);
  ++counters_.finished;
}

void FairQueue::Abandon(std::uint64_t id) {
  const Running running = Release(id);
  running.pool->order->Settle(running.item, 0);
}

std::optional<TimePoint> FairQueue::NextExpiry() const {
  if (expiry_.empty()) return std::nullopt;
  return expiry_.begin()->first;
}

std::map<std::string, FairQueue::PoolStatus> FairQueue::Status() const {
  std::map<std::string, PoolStatus> status;
  for (const auto& [name, pool] : pools_) {
    status[name] = {pool.queued, pool.order->tokens(), pool.running, pool.slots,
                    pool.seconds_per_token};
  }
  return status;
}

}  // namespace wagtailslip::traffic
