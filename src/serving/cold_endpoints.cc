#include "wagtailslip/serving/cold_endpoints.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// An announcement that reached a control process this long before it arrived here seems to be as
// new as its arrival: the age that it is relayed with leaves out the relay interval of 250 ms and
// the way.
constexpr Duration kMaxHiddenAge = std::chrono::milliseconds(500);
// Announcements are 1.2 s apart. Those that arrive together were held up together.
constexpr Duration kMinAnnouncementGap = std::chrono::milliseconds(300);
// Longer than a busy process keeps its event loop waiting, and about as long as the time between
// two announcements, which may be lost without harm.
constexpr Duration kMaxPause = std::chrono::milliseconds(1500);

}  // namespace

void ColdEndpoints::Record(const EndpointRecord& record, TimePoint now) {
  Observe(now);
  const auto [it, added] = endpoints_.try_emplace(record.id);
  Endpoint& endpoint = it->second;
  const bool restarted = record.started_ms != endpoint.started_ms;
  if (!added && !restarted && record.sequence <= endpoint.sequence) return;
  if (restarted) endpoint = Endpoint{};
  // What this process learns of an endpoint first may be old: a process that has just started
  // learns what others heard before.
  if (added || restarted) endpoint.unknown_before = now;
  endpoint.started_ms = record.started_ms;
  endpoint.sequence = record.sequence;
  endpoint.service = record.service;
  endpoint.domain = record.failure_domain;
  endpoint.cold_until = record.announced_at + record.warmup;
  if (record.warmup > Duration::zero()) endpoint.announced_cold_at = record.announced_at;
  // Where an endpoint leaves, an ingress process repeats its last announcement.
  if (record.announced_at >= endpoint.announced_at + kMinAnnouncementGap) {
    endpoint.announced_before_at = endpoint.announced_at;
    endpoint.announced_at = record.announced_at;
  }
  TimePoint& announced_at = announced_at_[record.service];
  announced_at = std::max(announced_at, record.announced_at);
}

void ColdEndpoints::SetColdUntilAnnounced(const std::string& domain, TimePoint since) {
  TimePoint& returned_at = returned_at_[domain];
  returned_at = std::max(returned_at, since);
}

bool ColdEndpoints::Confirmed(const Endpoint& endpoint, TimePoint time) {
  return endpoint.announced_cold_at > time || endpoint.announced_before_at > time;
}

void ColdEndpoints::Observe(TimePoint now) {
  if (observed_at_ != TimePoint{} && now - observed_at_ > kMaxPause) resumed_at_ = now;
  observed_at_ = std::max(observed_at_, now);
}

std::optional<ColdReason> ColdEndpoints::Find(const std::string& id, TimePoint now) {
  Observe(now);
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return ColdReason::kUnknown;
  Endpoint& endpoint = it->second;
  // Kept until the next announcements, also when the others fall silent as well.
  if (now - endpoint.announced_at >= kSilentTime &&
      now - announced_at_[endpoint.service] <= kServiceActiveWindow) {
    endpoint.silent_at = now;
  }
  if (now < endpoint.cold_until) return ColdReason::kAnnounced;
  const auto returned = returned_at_.find(endpoint.domain);
  if (returned != returned_at_.end() && !Confirmed(endpoint, returned->second + kMaxHiddenAge)) {
    return ColdReason::kDomainReturned;
  }
  // Announcements that waited here while the process stood still seem new, so that an endpoint may
  // have been silent for longer than it seems.
  const bool resumed = resumed_at_ != TimePoint{};
  if ((resumed && !Confirmed(endpoint, resumed_at_ + kMaxHiddenAge)) ||
      endpoint.announced_at <= endpoint.unknown_before + kMaxHiddenAge) {
    return ColdReason::kUnknown;
  }
  if (endpoint.silent_at != TimePoint{} && !Confirmed(endpoint, endpoint.silent_at)) {
    return ColdReason::kSilent;
  }
  return std::nullopt;
}

}  // namespace wagtailslip::serving
