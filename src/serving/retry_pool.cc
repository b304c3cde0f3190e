#include "wagtailslip/serving/retry_pool.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Reports within the lifetime of a permit; some may be lost.
constexpr int kReportsPerLifetime = 4;
constexpr Duration kFirstReportInterval = std::chrono::milliseconds(250);
// The allocator gets at most a report every 5 ms from all processes that are short of permits.
constexpr Duration kAskIntervalPerProcess = std::chrono::milliseconds(5);
constexpr Duration kMinAskInterval = std::chrono::milliseconds(20);
constexpr Duration kMaxAskInterval = std::chrono::milliseconds(400);
// The same while the allocator has no more permits: they return as the window moves on.
constexpr Duration kDeniedAskIntervalPerProcess = std::chrono::milliseconds(5);
constexpr Duration kMinDeniedAskInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxDeniedAskInterval = std::chrono::milliseconds(800);
// A report without a reply for this long goes to all control processes.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(250);
// Without a reply for this long the process uses its own share. Longer than electing another leader
// takes.
constexpr Duration kOwnShareAfter = std::chrono::milliseconds(1500);
// Part of the ratio of its own requests that a process uses without an allocator. Requests of two
// windows may justify retries in one, so twice this part fits beside what the allocator grants.
constexpr double kOwnShareFraction = 0.06;

std::int64_t IntervalNumber(TimePoint at) { return at.time_since_epoch() / kRetryInterval; }

}  // namespace

void RetryPool::Advance(Service& service, TimePoint now) const {
  const std::int64_t number = IntervalNumber(now);
  const auto kept = static_cast<std::size_t>(2 * (limits_.window / kRetryInterval) + 1);
  if (service.requests.empty() ||
      number - service.last_interval > static_cast<std::int64_t>(kept)) {
    service.requests.assign(1, 0);
    service.last_interval = number;
  }
  for (; service.last_interval < number; ++service.last_interval) service.requests.push_back(0);
  while (service.requests.size() > kept) service.requests.pop_front();
}

void RetryPool::OnRequest(const std::string& service, TimePoint now) {
  Service& state = services_[service];
  Advance(state, now);
  ++state.requests.back();
}

std::uint32_t RetryPool::Held(const std::string& service, TimePoint now) const {
  const auto it = services_.find(service);
  return it == services_.end() || now >= it->second.expires_at ? 0 : it->second.held;
}

bool RetryPool::OwnShareLeft(const Service& service, TimePoint now) const {
  if (!uses_own_share(now)) return false;
  const std::int64_t first = IntervalNumber(now - limits_.window) + 1;
  double requests = 0;
  std::int64_t number = service.last_interval;
  for (auto it = service.requests.rbegin(); it != service.requests.rend() && number >= first;
       ++it, --number) {
    requests += *it;
  }
  const auto sent = std::count_if(service.own_share.begin(), service.own_share.end(),
                                  [&](TimePoint at) { return at > now - limits_.window; });
  return static_cast<double>(sent) + 1 <= kOwnShareFraction * limits_.ratio * requests;
}

bool RetryPool::CanTake(const std::string& service, TimePoint now) const {
  if (Held(service, now) > 0) return true;
  const auto it = services_.find(service);
  return it != services_.end() && OwnShareLeft(it->second, now);
}

bool RetryPool::Take(const std::string& service, TimePoint now) {
  Service& state = services_[service];
  DropExpired(state, now);
  ++state.recent;
  if (state.held > 0) {
    --state.held;
    ++state.used;
    ++counters_.used;
    return true;
  }
  if (OwnShareLeft(state, now)) {
    while (!state.own_share.empty() && state.own_share.front() <= now - limits_.window) {
      state.own_share.pop_front();
    }
    state.own_share.push_back(now);
    ++counters_.own_share;
    return true;
  }
  state.missed = true;
  ++counters_.denied;
  return false;
}

bool RetryPool::MayComeSoon(const std::string& service, TimePoint now) const {
  if (unanswered_since_ && now - *unanswered_since_ >= kReplyTimeout) return false;
  const auto it = services_.find(service);
  // After one denial the allocator may have opened a further part of the limit.
  return it != services_.end() && it->second.denials < 2 && !allocator_.empty();
}

void RetryPool::DropExpired(Service& service, TimePoint now) {
  if (service.held == 0 || now < service.expires_at) return;
  counters_.expired += service.held;
  service.held = 0;
}

bool RetryPool::Short(const Service& service) const {
  return service.missed || (service.recent > 0 && 2 * service.held < service.reserve);
}

RetryReport::Row RetryPool::ReportRow(const std::string& name, Service& service) {
  RetryReport::Row row;
  row.service = name;
  std::int64_t number = service.last_interval;
  for (auto it = service.requests.rbegin();
       it != service.requests.rend() && number >= service.counted_interval; ++it, --number) {
    row.requests.push_back(*it);
  }
  // Enough for the reserve and for as many retries as there were since the last report. What is
  // held beyond that is returned.
  const std::uint32_t target = service.reserve + std::max(service.recent, service.missed ? 1U : 0U);
  service.held = std::min(service.held, target);
  row.used = service.used;
  row.held = service.held;
  row.wanted = target - service.held;
  service.asked = row.wanted;
  service.recent = 0;
  service.missed = false;
  return row;
}

std::optional<RetryReport> RetryPool::NextReport(std::size_t processes, TimePoint now) {
  if (services_.empty()) return std::nullopt;
  const bool waits = !answered_ && now - last_report_at_ < kReplyTimeout;
  if (waits) return std::nullopt;
  const Duration ask_interval = std::clamp(kAskIntervalPerProcess * static_cast<int>(processes),
                                           kMinAskInterval, kMaxAskInterval);
  const Duration denied_ask_interval =
      std::clamp(kDeniedAskIntervalPerProcess * static_cast<int>(processes), kMinDeniedAskInterval,
                 kMaxDeniedAskInterval);
  const Duration since = now - last_report_at_;
  const bool short_of_permits =
      std::any_of(services_.begin(), services_.end(), [&](const auto& it) {
        return Short(it.second) &&
               since >= (it.second.denials > 0 ? denied_ask_interval : ask_interval);
      });
  if (now < next_regular_report_ && !short_of_permits) return std::nullopt;
  RetryReport report;
  report.sent_at = now;
  report.last_grant_at = last_grant_at_;
  report.since_last_grant = now - last_grant_arrived_at_;
  for (auto& [name, service] : services_) {
    Advance(service, now);
    DropExpired(service, now);
    report.rows.push_back(ReportRow(name, service));
  }
  reported_interval_ = IntervalNumber(now);
  last_report_at_ = now;
  answered_ = false;
  next_regular_report_ = now + kFirstReportInterval;
  if (!unanswered_since_) unanswered_since_ = now;
  return report;
}

void RetryPool::OnGrant(const RetryGrant& grant, const std::string& allocator, TimePoint now) {
  if (grant.report_sent_at != last_report_at_ || answered_) return;
  answered_ = true;
  unanswered_since_.reset();
  if (allocator != allocator_) {
    // Another allocator knows none of the requests, and counts none of the permits.
    for (auto& [name, service] : services_) {
      service.counted_interval = 0;
      counters_.expired += service.held;
      service.held = 0;
    }
  }
  const bool counted = grant.counted && allocator == allocator_;
  allocator_ = allocator;
  last_grant_at_ = grant.sent_at;
  last_grant_arrived_at_ = now;
  next_regular_report_ = last_report_at_ + grant.lifetime / kReportsPerLifetime;
  if (!grant.counted) next_regular_report_ = now + kMinAskInterval;
  for (const auto& row : grant.rows) {
    const auto it = services_.find(row.service);
    if (it == services_.end()) continue;
    Service& service = it->second;
    DropExpired(service, now);
    service.denials = row.granted < service.asked ? service.denials + 1 : 0;
    // A first reserve is no reason to wait for the next regular report.
    if (row.reserve > 0 && service.reserve == 0) next_regular_report_ = now + kMinAskInterval;
    service.reserve = row.reserve;
    service.held += row.granted;
    service.expires_at = grant.report_sent_at + grant.lifetime;
    if (counted) service.counted_interval = reported_interval_;
    counters_.granted += row.granted;
  }
}

std::string RetryPool::allocator(TimePoint now) const {
  const bool silent = unanswered_since_ && now - *unanswered_since_ >= kReplyTimeout;
  return silent ? std::string() : allocator_;
}

bool RetryPool::uses_own_share(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kOwnShareAfter;
}

}  // namespace wagtailslip::serving
