#include "wagtailslip/serving/warmup_allocator.h"

#include <algorithm>
#include <utility>

namespace wagtailslip::serving {
namespace {

// Added to the lifetime of the former allocator's leases: covers a clock that runs faster than
// another one, and the time between the check of the leader's lease and the grant.
constexpr Duration kTakeOverMargin = std::chrono::milliseconds(200);
// A process that has not asked for this long wants the lease no more. Processes ask again 250 ms
// after a denial.
constexpr Duration kRequesterTtl = std::chrono::milliseconds(600);
// A process keeps a lease at least this long where others have none at all. Each change costs a
// part of the endpoint's allowance, because the next process asks some time after the lease has
// ended.
constexpr Duration kMinHoldTime = std::chrono::seconds(2);
// Endpoints that are remembered; those asked for last stay.
constexpr std::size_t kMaxLeases = 10000;

}  // namespace

void WarmupAllocator::TakeOver(TimePoint now) {
  leases_.clear();
  grants_from_ = now + kWarmupLeaseTtl + kTakeOverMargin;
}

void WarmupAllocator::Prune(TimePoint now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    Lease& lease = it->second;
    std::erase_if(lease.requesters,
                  [now](const auto& row) { return now - row.second.asked_at >= kRequesterTtl; });
    if (!lease.requesters.contains(lease.successor)) lease.successor.clear();
    if (now >= lease.expires_at && lease.requesters.empty()) {
      it = leases_.erase(it);
    } else {
      ++it;
    }
  }
}

std::size_t WarmupAllocator::Count(const std::string& process, TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(leases_.begin(), leases_.end(), [&](const auto& it) {
        const Lease& lease = it.second;
        if (!lease.successor.empty()) return lease.successor == process;
        return lease.holder == process && now < lease.expires_at;
      }));
}

std::string WarmupAllocator::NextRequester(const Lease& lease, const std::string& process,
                                           TimePoint now) const {
  std::string best;
  std::pair<std::size_t, TimePoint> best_rank;
  for (const auto& [other, requester] : lease.requesters) {
    if (other == process) continue;
    const std::pair rank(Count(other, now), requester.waiting_since);
    if (!best.empty() && rank >= best_rank) continue;
    best = other;
    best_rank = rank;
  }
  return best;
}

bool WarmupAllocator::GrantRow(const WarmupLeaseKey& key, const std::string& process,
                               TimePoint now) {
  if (now < grants_from_) return false;
  if (!leases_.contains(key.endpoint) && leases_.size() >= kMaxLeases) return false;
  Lease& lease = leases_[key.endpoint];
  // The process does not know yet that the endpoint has restarted. Its requests would be refused.
  if (key.started_ms < lease.started_ms) return false;
  lease.started_ms = key.started_ms;
  Requester& requester = lease.requesters.try_emplace(process, Requester{now, now}).first->second;
  requester.asked_at = now;
  const bool held = now < lease.expires_at;
  if (held && lease.holder != process) return false;
  if (lease.successor.empty()) {
    const std::string next = NextRequester(lease, process, now);
    if (!next.empty()) {
      // Without this lease, unless the process holds it.
      const std::size_t own = Count(process, now);
      const std::size_t others = Count(next, now);
      const bool uneven = held ? own >= others + 2 : own > others;
      const bool long_held = held && own > others && now - lease.held_since >= kMinHoldTime;
      if (uneven || long_held) lease.successor = next;
    }
  }
  if (!lease.successor.empty() && lease.successor != process) return false;
  lease.successor.clear();
  if (held) {
    ++counters_.renewed;
  } else {
    ++counters_.granted;
    lease.holder = process;
    lease.held_since = now;
  }
  requester.waiting_since = now;
  lease.expires_at = now + kWarmupLeaseTtl;
  return true;
}

WarmupLeaseGrant WarmupAllocator::Grant(const WarmupLeaseRequest& request, TimePoint now) {
  ++counters_.requests;
  Prune(now);
  WarmupLeaseGrant grant;
  grant.request_sent_at = request.sent_at;
  for (const auto& it : request.rows) {
    const bool granted = GrantRow(it, request.process, now);
    if (!granted) ++counters_.denied;
    grant.rows.push_back({it, granted});
  }
  return grant;
}

std::string WarmupAllocator::Holder(const std::string& endpoint, TimePoint now) const {
  const auto it = leases_.find(endpoint);
  return it == leases_.end() || now >= it->second.expires_at ? std::string() : it->second.holder;
}

std::map<std::string, std::string> WarmupAllocator::Holders(TimePoint now) const {
  std::map<std::string, std::string> holders;
  for (const auto& [id, lease] : leases_) {
    if (now < lease.expires_at) holders[id] = lease.holder;
  }
  return holders;
}

}  // namespace wagtailslip::serving
