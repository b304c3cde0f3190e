#include "wagtailslip/serving/warmup_pool.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// The allocator gets at most ten messages a second from each process.
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
// A request without a reply for this long is repeated, to all control processes.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);
// A lease is renewed this long after the last request, which leaves time for two more.
constexpr Duration kRenewInterval = std::chrono::milliseconds(400);
// Time after a denial until the process asks again.
constexpr Duration kDenialTtl = std::chrono::milliseconds(250);
// A lease is renewed while a request has used or needed it in this time.
constexpr Duration kUseTtl = std::chrono::seconds(1);
// A lease is asked for while a request has needed it in this time.
constexpr Duration kMissTtl = std::chrono::milliseconds(500);
// Opening a connection takes up to 350 ms; a request that was not sent by then will not be.
constexpr Duration kReservationTtl = std::chrono::milliseconds(700);
constexpr double kMaxBurst = 3;
// Endpoints outside the subset that are asked for at a time. Each row has about 40 bytes, and many
// processes may ask for the endpoints of a whole failure domain.
constexpr std::size_t kMaxRowsOutsideSubset = 2;

}  // namespace

// A bucket that holds less than one token would never let a request through.
WarmupPool::WarmupPool(double tolerance) : burst_(std::clamp(tolerance, 1.0, kMaxBurst)) {}

void WarmupPool::SetCandidates(const std::vector<Candidate>& candidates) {
  std::map<std::string, Endpoint> endpoints;
  for (const auto& it : candidates) {
    const auto known = endpoints_.find(it.key.endpoint);
    Endpoint& endpoint = endpoints[it.key.endpoint];
    if (known != endpoints_.end() && known->second.started_ms == it.key.started_ms) {
      endpoint = std::move(known->second);
    }
    endpoint.started_ms = it.key.started_ms;
    endpoint.rate = it.rate;
    endpoint.in_subset = it.in_subset;
  }
  endpoints_ = std::move(endpoints);
}

void WarmupPool::Update(Endpoint& endpoint, TimePoint now) const {
  while (!endpoint.reserved.empty() && now - endpoint.reserved.front() >= kReservationTtl) {
    endpoint.reserved.pop_front();
  }
  const double elapsed_s = ToSeconds(std::max(now - endpoint.filled_at, Duration::zero()));
  endpoint.tokens = std::min(burst_, endpoint.tokens + endpoint.rate * elapsed_s);
  endpoint.filled_at = std::max(endpoint.filled_at, now);
}

bool WarmupPool::Available(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || now >= it->second.lease_until) return false;
  Update(it->second, now);
  return it->second.tokens - static_cast<double>(it->second.reserved.size()) >= 1;
}

void WarmupPool::Reserve(const std::string& id, TimePoint now) {
  Endpoint& endpoint = endpoints_.at(id);
  endpoint.reserved.push_back(now);
  endpoint.used_at = now;
}

void WarmupPool::Release(const std::string& id, TimePoint reserved_at) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  auto& reserved = it->second.reserved;
  const auto position = std::find(reserved.begin(), reserved.end(), reserved_at);
  if (position != reserved.end()) reserved.erase(position);
}

bool WarmupPool::Use(const std::string& id, std::optional<TimePoint> reserved_at, TimePoint now) {
  if (reserved_at) Release(id, *reserved_at);
  if (!Available(id, now)) {
    ++counters_.withheld;
    return false;
  }
  Endpoint& endpoint = endpoints_.at(id);
  endpoint.tokens -= 1;
  endpoint.used_at = now;
  ++counters_.sent;
  return true;
}

void WarmupPool::OnMissed(const std::string& id, bool again, TimePoint now) {
  if (!again) ++counters_.missed;
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  it->second.used_at = now;
  it->second.missed_at = now;
}

TimePoint WarmupPool::EarliestToken(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return now;
  Endpoint& endpoint = it->second;
  if (now >= endpoint.lease_until) return std::max(now, endpoint.denied_until);
  Update(endpoint, now);
  const double missing = 1 + static_cast<double>(endpoint.reserved.size()) - endpoint.tokens;
  if (missing <= 0) return now;
  const auto wait = std::chrono::duration<double>(missing / endpoint.rate);
  return now + std::chrono::duration_cast<Duration>(wait);
}

bool WarmupPool::asked_recently(TimePoint now) const {
  return last_asked_at_ != TimePoint{} && now - last_asked_at_ < kAskInterval;
}

bool WarmupPool::WantsRenewal(const Endpoint& endpoint, TimePoint now) const {
  if (now - endpoint.used_at >= kUseTtl || now < endpoint.denied_until) return false;
  return now >= endpoint.lease_until - kWarmupLeaseTtl + kRenewInterval &&
         now - endpoint.asked_at >= kReplyTimeout;
}

bool WarmupPool::WantsLease(const Endpoint& endpoint, TimePoint now) const {
  if (now < endpoint.denied_until) return false;
  if (endpoint.asked_at == TimePoint{})
    return endpoint.in_subset || endpoint.missed_at != TimePoint{};
  return now - endpoint.asked_at >= kReplyTimeout && endpoint.missed_at != TimePoint{} &&
         now - endpoint.missed_at < kMissTtl;
}

std::optional<WarmupLeaseRequest> WarmupPool::NextRequest(TimePoint now) {
  if (asked_recently(now)) return std::nullopt;
  while (!pending_.empty() && now - pending_.front() >= kWarmupLeaseTtl) {
    pending_.pop_front();
  }
  WarmupLeaseRequest request;
  request.sent_at = now;
  std::size_t outside_subset = 0;
  for (auto& [id, endpoint] : endpoints_) {
    const bool held = now < endpoint.lease_until;
    if (held ? !WantsRenewal(endpoint, now) : !WantsLease(endpoint, now)) continue;
    if (!held && !endpoint.in_subset && ++outside_subset > kMaxRowsOutsideSubset) continue;
    endpoint.asked_at = now;
    request.rows.push_back({id, endpoint.started_ms});
  }
  if (request.rows.empty()) return std::nullopt;
  // After a time without requests nothing is known of the allocator.
  if (!unanswered_since_ || now - last_asked_at_ >= kWarmupLeaseTtl) unanswered_since_ = now;
  last_asked_at_ = now;
  pending_.push_back(now);
  return request;
}

std::vector<std::string> WarmupPool::OnGrant(const WarmupLeaseGrant& grant, TimePoint now) {
  std::vector<std::string> acquired;
  const auto pending = std::find(pending_.begin(), pending_.end(), grant.request_sent_at);
  // Another process with this address may have asked, or the leases have expired on their way.
  if (pending == pending_.end()) return acquired;
  unanswered_since_.reset();
  pending_.erase(pending);
  const TimePoint until = grant.request_sent_at + std::min(grant.lifetime, kWarmupLeaseTtl);
  for (const auto& row : grant.rows) {
    const auto it = endpoints_.find(row.key.endpoint);
    if (it == endpoints_.end() || it->second.started_ms != row.key.started_ms) continue;
    Endpoint& endpoint = it->second;
    if (!row.granted) {
      ++counters_.denied;
      endpoint.denied_until = now + kDenialTtl;
      continue;
    }
    if (now >= until) continue;
    if (now < endpoint.lease_until) {
      ++counters_.renewed;
    } else {
      // Another process may have used the burst just before.
      ++counters_.acquired;
      endpoint.tokens = 0;
      endpoint.filled_at = now;
      endpoint.used_at = std::max(endpoint.used_at, now);
      acquired.push_back(row.key.endpoint);
    }
    endpoint.lease_until = std::max(endpoint.lease_until, until);
  }
  return acquired;
}

bool WarmupPool::allocator_known(TimePoint now) const {
  return !unanswered_since_ || now - *unanswered_since_ < kReplyTimeout;
}

std::optional<Duration> WarmupPool::LeaseLeft(const std::string& id, TimePoint now) const {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || now >= it->second.lease_until) return std::nullopt;
  return it->second.lease_until - now;
}

}  // namespace wagtailslip::serving
