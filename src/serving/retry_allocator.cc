#include "wagtailslip/serving/retry_allocator.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::serving {
namespace {

// Share of the limits that is granted. The rest covers the retries that processes send without an
// allocator (RetryPool), and sends that reach the endpoints late and closer together.
constexpr double kGrantedShare = 0.84;
// Share of the limits that processes hold in calm, so that single failures need no message.
constexpr double kReserveShare = 0.125;
// Largest share of the limits that processes hold if each of them holds one permit.
constexpr double kMaxSingleReserves = 0.5;
// Blocks that are open in calm; few failures then need no commit.
constexpr int kMinOpenBlocks = 4;
// Time after which blocks that are not needed are closed.
constexpr Duration kCloseDelay = std::chrono::seconds(2);
// A dead process's permits are lost for this long and a window, so it is short; a process reports
// several times within it.
constexpr Duration kPermitLifetime = std::chrono::seconds(4);
// The requests of a report that may have been longer on its way are not counted, because they would
// be dated too late.
constexpr Duration kMaxReportDelay = kRetryInterval;
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(100);

}  // namespace

void RetryAllocator::TakeOver(int blocks, TimePoint now) {
  services_.clear();
  senders_.clear();
  inherited_ = std::clamp(blocks, 0, kRetryBlocks);
  // A former leader may have granted permits until just now.
  inherited_until_ = now + kPermitLifetime + limits_.window + kRetryInterval;
  logged_ = inherited_;
  open_ = 0;
  committing_.reset();
  needed_ = kMinOpenBlocks;
  needed_at_ = now;
}

double RetryAllocator::ShareOf(int blocks) { return kGrantedShare * blocks / kRetryBlocks; }

RetryAllocator::Service& RetryAllocator::ServiceOf(const std::string& name) {
  return services_.try_emplace(name, limits_).first->second;
}

void RetryAllocator::Expire(TimePoint now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryPeriod;
  for (auto& [name, service] : services_) {
    for (auto& [holder, holding] : service.holdings) {
      if (holding.outstanding == 0 || now < holding.expires_at) continue;
      counters_.lost += holding.outstanding;
      service.ledger.AddRetries(holding.outstanding, now);
      service.outstanding -= holding.outstanding;
      holding.outstanding = 0;
    }
  }
  const Duration forget_after = kPermitLifetime + limits_.window;
  for (auto it = senders_.begin(); it != senders_.end();) {
    if (now - it->second.seen_at < forget_after) {
      ++it;
      continue;
    }
    for (auto& [name, service] : services_) service.holdings.erase(it->first);
    it = senders_.erase(it);
  }
}

void RetryAllocator::CountRequests(Service& service, Holding& holding, const RetryReport& report,
                                   const RetryReport::Row& row, TimePoint sent_at, TimePoint now) {
  const std::int64_t newest = report.sent_at.time_since_epoch() / kRetryInterval;
  const Duration phase = report.sent_at.time_since_epoch() % kRetryInterval;
  for (std::size_t age = row.requests.size(); age-- > 0;) {
    const std::int64_t interval = newest - static_cast<std::int64_t>(age);
    if (interval < holding.counted_interval) continue;
    const std::uint32_t counted =
        interval == holding.counted_interval ? holding.counted_requests : 0;
    const std::uint32_t requests = std::max(row.requests[age], counted);
    const Duration since = phase + kRetryInterval * static_cast<std::int64_t>(age);
    service.ledger.AddRequests(requests - counted, sent_at - since, now);
    holding.counted_interval = interval;
    holding.counted_requests = requests;
  }
}

int RetryAllocator::BlocksNeeded(Service& service, double wanted, TimePoint now) const {
  const double spare = static_cast<double>(service.outstanding) + wanted;
  for (int blocks = kMinOpenBlocks; blocks < kRetryBlocks; ++blocks) {
    if (service.ledger.Available(ShareOf(blocks), kPermitLifetime, now) >= spare) return blocks;
  }
  return kRetryBlocks;
}

RetryGrant::Row RetryAllocator::GrantRow(Service& service, Holding& holding,
                                         const RetryReport::Row& row, TimePoint now) {
  RetryGrant::Row reply;
  reply.service = row.service;
  const double available = service.ledger.Available(ShareOf(open_), kPermitLifetime, now) -
                           static_cast<double>(service.outstanding);
  // A part of what is left, so that the next one who asks gets some as well.
  const double most = std::max(0.0, std::ceil(std::floor(available) / 2));
  reply.granted = std::min(row.wanted, static_cast<std::uint32_t>(most));
  const std::uint32_t denied = row.wanted - reply.granted;
  counters_.granted += reply.granted;
  counters_.denied += denied;
  holding.outstanding += reply.granted;
  service.outstanding += reply.granted;
  holding.expires_at = now + kPermitLifetime;
  if (denied > 0) needed_ = std::max(needed_, BlocksNeeded(service, denied, now));
  const auto holders = static_cast<double>(std::max<std::size_t>(senders_.size(), 1));
  const double allowed = service.ledger.Allowed(now);
  reply.reserve = static_cast<std::uint32_t>(kReserveShare * allowed / holders);
  // Where the limit is low, a process still holds one as long as all of them together leave some.
  if (reply.reserve == 0 && holders <= kMaxSingleReserves * allowed) reply.reserve = 1;
  return reply;
}

RetryGrant RetryAllocator::Grant(const RetryReport& report, TimePoint now) {
  ++counters_.reports;
  Expire(now);
  const auto id = std::make_pair(report.process, report.incarnation);
  RetryGrant grant;
  grant.report_sent_at = report.sent_at;
  grant.sent_at = now;
  grant.lifetime = kPermitLifetime;
  Sender& sender = senders_[id];
  sender.seen_at = now;
  // The process accepts only the reply to its latest report, so an older one changes nothing.
  if (sender.last_report_at != TimePoint{} && report.sent_at <= sender.last_report_at) return grant;
  sender.last_report_at = report.sent_at;
  // Longest time that the report may have been on its way; known if it follows a grant of this
  // leader.
  const Duration delay = now - report.last_grant_at - report.since_last_grant;
  grant.counted = sender.last_grant_at != TimePoint{} &&
                  report.last_grant_at == sender.last_grant_at && delay < kMaxReportDelay;
  sender.last_grant_at = now;
  for (const auto& row : report.rows) {
    Service& service = ServiceOf(row.service);
    Holding& holding = service.holdings[id];
    // What was used before the first report to this leader counts in the inherited blocks.
    if (holding.reported && row.used > holding.used) {
      service.ledger.AddRetries(row.used - holding.used, now);
    }
    // The reply to an earlier report that the process has not got by now is void. Permits of a
    // former leader are, too, once this reply arrives.
    service.outstanding -= holding.outstanding;
    holding.outstanding = holding.reported ? row.held : 0;
    service.outstanding += holding.outstanding;
    holding.used = std::max(holding.used, row.used);
    holding.reported = true;
    if (grant.counted) CountRequests(service, holding, report, row, now - delay, now);
    grant.rows.push_back(GrantRow(service, holding, row, now));
  }
  return grant;
}

std::optional<int> RetryAllocator::BlocksToCommit(TimePoint now) {
  if (committing_) return std::nullopt;
  Expire(now);
  if (inherited_ > 0 && now >= inherited_until_) inherited_ = 0;
  if (now - needed_at_ >= kCloseDelay) {
    needed_at_ = now;
    needed_ = kMinOpenBlocks;
    for (auto& [name, service] : services_) {
      needed_ = std::max(needed_, BlocksNeeded(service, 0, now));
    }
  }
  const int target = std::min(needed_, kRetryBlocks - inherited_);
  // Blocks are closed before the log says so, and opened after it.
  open_ = std::min(open_, target);
  if (open_ == target && logged_ == inherited_ + target) return std::nullopt;
  committing_open_ = target;
  committing_ = inherited_ + target;
  return committing_;
}

void RetryAllocator::OnBlocksCommitted(bool committed) {
  if (!committing_) return;
  constexpr int kUnknown = -1;
  logged_ = committed ? *committing_ : kUnknown;
  if (committed) open_ = committing_open_;
  committing_.reset();
}

std::map<std::string, RetryAllocator::ServiceState> RetryAllocator::Services(TimePoint now) {
  std::map<std::string, ServiceState> states;
  for (auto& [name, service] : services_) {
    const double available = service.ledger.Available(ShareOf(open_), kPermitLifetime, now) -
                             static_cast<double>(service.outstanding);
    states[name] = {service.ledger.Allowed(now), available, service.outstanding};
  }
  return states;
}

}  // namespace wagtailslip::serving
