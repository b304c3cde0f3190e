#include "wagtailslip/serving/instance_table.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Longer than an announcement can be in transit, so that a late one does not add a removed endpoint
// again.
constexpr Duration kTombstoneTtl = std::chrono::seconds(120);
constexpr std::size_t kMaxTombstones = 10000;

bool SameContent(const EndpointRecord& a, const EndpointRecord& b) {
  return a.service == b.service && a.address == b.address && a.state == b.state &&
         a.slots == b.slots && a.model == b.model && a.weights == b.weights &&
         a.started_ms == b.started_ms &&
         (a.warmup > Duration::zero()) == (b.warmup > Duration::zero());
}

}  // namespace

bool InstanceTable::HasTombstone(const EndpointRecord& record) const {
  const auto it = tombstones_.find(record.id);
  return it != tombstones_.end() && record.started_ms <= it->second.started_ms;
}

void InstanceTable::Remove(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  const auto at = by_address_.find(it->second.address);
  if (at != by_address_.end() && at->second == id) by_address_.erase(at);
  if (tombstones_.size() >= kMaxTombstones) tombstones_.clear();
  tombstones_[id] = {it->second.started_ms, now};
  endpoints_.erase(it);
  ++revision_;
}

AnnouncementResult InstanceTable::Apply(const EndpointRecord& record, TimePoint now) {
  if (HasTombstone(record)) return AnnouncementResult::kIgnored;
  const auto it = endpoints_.find(record.id);
  const EndpointRecord* known = it == endpoints_.end() ? nullptr : &it->second;
  // A leave announcement is final for its incarnation. It applies even with a lower sequence
  // number: the process that relays it may have missed announcements, or may not know the endpoint,
  // in which case started_ms is 0.
  if (record.state == EndpointState::kGone && known != nullptr &&
      (record.started_ms == 0 || record.started_ms >= known->started_ms)) {
    Remove(record.id, now);
    return AnnouncementResult::kChanged;
  }
  if (known != nullptr) {
    if (record.started_ms < known->started_ms) return AnnouncementResult::kIgnored;
    if (record.started_ms == known->started_ms && record.sequence <= known->sequence) {
      return AnnouncementResult::kIgnored;
    }
  }
  if (record.state == EndpointState::kGone) {
    tombstones_[record.id] = {record.started_ms, now};
    return AnnouncementResult::kIgnored;
  }
  // An address belongs to the incarnation that started last. Delayed announcements of an older one
  // may still arrive.
  const auto holder = by_address_.find(record.address);
  if (holder != by_address_.end() && holder->second != record.id) {
    const auto other = endpoints_.find(holder->second);
    if (other != endpoints_.end()) {
      if (other->second.started_ms > record.started_ms) return AnnouncementResult::kIgnored;
      Remove(std::string(holder->second), now);
    }
  }
  const bool changed = known == nullptr || !SameContent(*known, record);
  if (known != nullptr && known->address != record.address) by_address_.erase(known->address);
  by_address_[record.address] = record.id;
  endpoints_[record.id] = record;
  if (changed) ++revision_;
  return changed ? AnnouncementResult::kChanged : AnnouncementResult::kRefreshed;
}

EndpointRecord InstanceTable::Leave(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return {};
  EndpointRecord record = it->second;
  record.state = EndpointState::kGone;
  ++record.sequence;
  record.announced_at = now;
  Remove(id, now);
  return record;
}

std::vector<std::string> InstanceTable::Expire(Duration ttl, Duration recent, TimePoint now) {
  std::map<std::string, TimePoint> seen;
  for (const auto& [id, entry] : endpoints_) {
    auto& time = seen[entry.service];
    time = std::max(time, entry.announced_at);
  }
  std::vector<std::string> stale;
  for (const auto& [id, entry] : endpoints_) {
    if (now - entry.announced_at >= ttl && now - seen[entry.service] < recent) stale.push_back(id);
  }
  for (const auto& id : stale) {
    // An endpoint that was only disconnected announces itself again under the same incarnation, so
    // the tombstone covers only earlier incarnations.
    const std::int64_t started = endpoints_.at(id).started_ms;
    Remove(id, now);
    tombstones_[id] = {started - 1, now};
  }
  std::erase_if(tombstones_,
                [now](const auto& row) { return now - row.second.at >= kTombstoneTtl; });
  return stale;
}

const EndpointRecord* InstanceTable::Find(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const EndpointRecord* InstanceTable::FindByAddress(const std::string& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : Find(it->second);
}

}  // namespace wagtailslip::serving
