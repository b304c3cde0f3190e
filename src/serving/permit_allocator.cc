#include "wagtailslip/serving/permit_allocator.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::serving {
namespace {

// An endpoint with a lower limit is still sent a request now and then, because only its answer can
// tell that the limit is withdrawn.
constexpr double kMinPermitsPerSecond = 0.1;
// Tokens that a bucket holds, in seconds of its rate and at least. The processes ask at intervals,
// and what a full bucket cannot take is lost.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 2;
// Time for which a process counts as waiting after it was denied permits.
constexpr Duration kUnmetTtl = std::chrono::seconds(1);
// Callers rarely wait longer, and some of those ahead give up.
constexpr Duration kMaxQueueDelay = std::chrono::seconds(5);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

bool PermitAllocator::Record(const LimitObservation& observation) {
  const auto* known = limits_.Observation(observation.endpoint);
  const bool restarted = known != nullptr && observation.started_ms > known->started_ms;
  const bool changed = limits_.Record(observation);
  if (restarted) buckets_.erase(observation.endpoint);
  return changed;
}

void PermitAllocator::Remove(const std::string& endpoint) {
  limits_.Remove(endpoint);
  buckets_.erase(endpoint);
}

PermitAllocator::Bucket& PermitAllocator::Refill(const std::string& endpoint, double rate,
                                                 TimePoint now) {
  // A new bucket is empty: requests that are not covered by its permits may just have been sent.
  Bucket& bucket = buckets_.try_emplace(endpoint, Bucket{0, now, {}}).first->second;
  const double burst = std::max(kMinBurst, rate * kBurstSeconds);
  const double elapsed_s = ToSeconds(std::max(now - bucket.filled_at, Duration::zero()));
  bucket.tokens = std::min(burst, bucket.tokens + rate * elapsed_s);
  bucket.filled_at = now;
  return bucket;
}

PermitGrant::Row PermitAllocator::GrantRow(const PermitRequest::Row& row,
                                           const std::string& process, TimePoint now) {
  PermitGrant::Row reply{row.endpoint, 0, {}, {}};
  const auto limit = limits_.Find(row.endpoint);
  // The limit was withdrawn, which the process does not know. It learns it from the responses.
  if (!limit) {
    reply.granted = row.wanted;
    return reply;
  }
  const double rate = std::max(*limit, kMinPermitsPerSecond);
  Bucket& bucket = Refill(row.endpoint, rate, now);
  const auto available = static_cast<std::uint32_t>(std::floor(bucket.tokens));
  reply.granted = std::min(row.wanted, available);
  bucket.tokens -= reply.granted;
  const std::uint32_t denied = row.wanted - reply.granted;
  counters_.granted += reply.granted;
  counters_.denied += denied;
  bucket.unmet.erase(process);
  std::erase_if(bucket.unmet, [now](const auto& it) { return now - it.second.at >= kUnmetTtl; });
  if (denied == 0) return reply;
  double others = 0;
  for (const auto& [other, unmet] : bucket.unmet) others += unmet.count;
  bucket.unmet[process] = {denied, now};
  reply.next = FromSeconds((1 - bucket.tokens) / rate);
  reply.queue_delay = std::min(reply.next + FromSeconds(others / rate), kMaxQueueDelay);
  return reply;
}

PermitGrant PermitAllocator::Grant(const PermitRequest& request, TimePoint now) {
  ++counters_.requests;
  PermitGrant grant;
  grant.request_sent_at = request.sent_at;
  for (const auto& row : request.rows) {
    grant.rows.push_back(GrantRow(row, request.process, now));
  }
  return grant;
}

}  // namespace wagtailslip::serving
