#include "wagtailslip/serving/instance_table.h"

#include <algorithm>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

// Longer than an announcement can be in transit, so that a late one does not add a removed endpoint
// again.
constexpr Duration kTombstoneTtl = std::chrono::seconds(120);
// The oldest one makes room for another.
constexpr std::size_t kMaxTombstones = 10000;

// Endpoints announce themselves every 1.2 s, and control processes relay that to each other every
// 250 ms. Those that are older are listed in a summary one by one.
constexpr Duration kUsualMaxAge = std::chrono::seconds(2);
constexpr std::size_t kMaxOlder = 32;
// Leaves time for several questions before kEndpointTtl.
constexpr Duration kAgingAfter = std::chrono::seconds(7);

std::uint64_t ContentHash(const EndpointRecord& record) {
  std::uint64_t hash = Hash64(record.id);
  for (const auto* text :
       {&record.service, &record.address, &record.failure_domain, &record.model}) {
    hash = Hash64(*text, hash);
  }
  for (const std::int64_t number : {record.started_ms, static_cast<std::int64_t>(record.slots),
                                    static_cast<std::int64_t>(record.state), record.weights,
                                    static_cast<std::int64_t>(record.warmup > Duration::zero())}) {
    hash = Hash64(std::to_string(number), hash);
  }
  return hash;
}

bool SameContent(const EndpointRecord& a, const EndpointRecord& b) {
  return a.service == b.service && a.address == b.address && a.state == b.state &&
         a.slots == b.slots && a.model == b.model && a.weights == b.weights &&
         a.started_ms == b.started_ms &&
         (a.warmup > Duration::zero()) == (b.warmup > Duration::zero());
}

}  // namespace

void InstanceTable::SetServices(std::set<std::string> services) { services_ = std::move(services); }

bool InstanceTable::Names(const std::string& service) const {
  return !services_ || services_->contains(service);
}

const EndpointRecord* InstanceTable::OtherAtAddress(const EndpointRecord& record) const {
  const EndpointRecord* holder = FindByAddress(record.address);
  return holder == nullptr || holder->id == record.id ? nullptr : holder;
}

bool InstanceTable::HeldByNamedService(const EndpointRecord& record) const {
  const EndpointRecord* known = Find(record.id);
  const EndpointRecord* other = OtherAtAddress(record);
  return (known != nullptr && Names(known->service)) || (other != nullptr && Names(other->service));
}

bool InstanceTable::GoesOn(const EndpointRecord& record, const Tombstone& tombstone) {
  // Announcements that were sent before the call to leave may arrive after it, and with higher
  // numbers than this process knows, but not for longer than kMaxAnnouncementDelay.
  return record.started_ms == tombstone.known_started_ms &&
         record.sequence >= tombstone.known_sequence + kMinLaterAnnouncements &&
         record.announced_at - tombstone.at >= kMaxAnnouncementDelay;
}

bool InstanceTable::IsEnded(const EndpointRecord& record) {
  const auto it = tombstones_.find(record.id);
  if (it == tombstones_.end() || record.started_ms > it->second.started_ms) return false;
  // What a foreign writer announces says nothing of the endpoint that left.
  if (!Names(record.service)) return true;
  Tombstone& tombstone = it->second;
  if (GoesOn(record, tombstone)) return false;
  if (record.started_ms > tombstone.known_started_ms) {
    tombstone.known_started_ms = record.started_ms;
    tombstone.known_sequence = record.sequence;
  }
  return true;
}

InstanceTable::Tombstone& InstanceTable::AddTombstone(const std::string& id,
                                                      const Tombstone& tombstone) {
  if (tombstones_.size() >= kMaxTombstones && !tombstones_.contains(id)) {
    tombstones_.erase(
        std::min_element(tombstones_.begin(), tombstones_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
  const auto [it, added] = tombstones_.try_emplace(id, tombstone);
  Tombstone& known = it->second;
  if (added || tombstone.started_ms < known.started_ms) return known;
  if (tombstone.started_ms > known.started_ms) return known = tombstone;
  if (tombstone.known_started_ms != known.known_started_ms) {
    if (tombstone.known_started_ms > known.known_started_ms) known = tombstone;
  } else if (tombstone.known_sequence > known.known_sequence) {
    known = tombstone;
  } else if (tombstone.known_sequence == known.known_sequence) {
    // The same end: each process that relays it makes it look younger.
    known.at = std::min(known.at, tombstone.at);
  }
  return known;
}

void InstanceTable::Remove(const std::string& id) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) return;
  const auto at = by_address_.find(it->second.address);
  if (at != by_address_.end() && at->second == id) by_address_.erase(at);
  endpoints_.erase(it);
  ++revision_;
}

AnnouncementResult InstanceTable::ApplyEnd(const EndpointRecord& end, TimePoint) {
  const auto it = endpoints_.find(end.id);
  const EndpointRecord* known = it == endpoints_.end() ? nullptr : &it->second;
  // The sequence number of an end that names no incarnation is 0. Earlier releases give it no time
  // either, and mean any incarnation.
  const bool names_incarnation = end.sequence > 0;
  Tombstone tombstone{end.started_ms, end.announced_at, names_incarnation ? end.started_ms : 0,
                      end.sequence};
  // A foreign writer's record tells nothing of the incarnation that has left.
  const bool known_named = known != nullptr && Names(known->service);
  if (end.started_ms == 0 && known_named) tombstone.started_ms = known->started_ms;
  const Tombstone& in_force = AddTombstone(end.id, tombstone);
  if (known == nullptr || known->started_ms > in_force.started_ms || GoesOn(*known, in_force)) {
    return AnnouncementResult::kIgnored;
  }
  // The process that relays an end may have missed announcements.
  Tombstone seen = in_force;
  if (known_named && known->started_ms >= seen.known_started_ms) {
    seen.known_sequence = known->started_ms > seen.known_started_ms
                              ? known->sequence
                              : std::max(seen.known_sequence, known->sequence);
    seen.known_started_ms = known->started_ms;
  }
  tombstones_[end.id] = seen;
  Remove(end.id);
  return AnnouncementResult::kChanged;
}

AnnouncementResult InstanceTable::Apply(const EndpointRecord& record, TimePoint now) {
  if (record.state == EndpointState::kGone) return ApplyEnd(record, now);
  const bool named = Names(record.service);
  if (!named && HeldByNamedService(record)) return AnnouncementResult::kIgnored;
  if (IsEnded(record)) return AnnouncementResult::kIgnored;
  const auto it = endpoints_.find(record.id);
  const EndpointRecord* known = it == endpoints_.end() ? nullptr : &it->second;
  // What a foreign writer has said of an id does not bind the endpoint that has it.
  if (known != nullptr && Names(known->service) == named) {
    if (record.started_ms < known->started_ms) return AnnouncementResult::kIgnored;
    if (record.started_ms == known->started_ms && record.sequence <= known->sequence) {
      return AnnouncementResult::kIgnored;
    }
  }
  // An address belongs to the incarnation that started last. Delayed announcements of an older one
  // may still arrive.
  if (const auto* other = OtherAtAddress(record)) {
    const bool other_named = Names(other->service);
    if (other_named == named && other->started_ms > record.started_ms) {
      return AnnouncementResult::kIgnored;
    }
    // The address of an endpoint whose service is not named proves nothing of its end: the
    // configuration may name the service later.
    if (named && other_named) {
      AddTombstone(other->id, {other->started_ms, now, other->started_ms, other->sequence});
    }
    Remove(std::string(other->id));
  }
  const auto tombstone = tombstones_.find(record.id);
  const bool restored =
      tombstone != tombstones_.end() && record.started_ms <= tombstone->second.started_ms;
  if (restored) tombstones_.erase(tombstone);
  const bool changed = known == nullptr || !SameContent(*known, record);
  if (known != nullptr && known->address != record.address) by_address_.erase(known->address);
  by_address_[record.address] = record.id;
  endpoints_[record.id] = record;
  if (!changed) return AnnouncementResult::kRefreshed;
  ++revision_;
  return restored ? AnnouncementResult::kRestored : AnnouncementResult::kChanged;
}

EndpointRecord InstanceTable::Leave(const std::string& id, TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end() || !Names(it->second.service)) return {};
  EndpointRecord end = it->second;
  end.state = EndpointState::kGone;
  ++end.sequence;
  end.announced_at = now;
  AddTombstone(id, {end.started_ms, now, end.started_ms, end.sequence});
  Remove(id);
  return end;
}

EndpointRecord InstanceTable::EndRecord(const std::string& id, const Tombstone& tombstone) {
  EndpointRecord end;
  end.id = id;
  end.started_ms = tombstone.started_ms;
  end.sequence = tombstone.known_started_ms == tombstone.started_ms ? tombstone.known_sequence : 0;
  end.state = EndpointState::kGone;
  end.announced_at = tombstone.at;
  return end;
}

std::vector<EndpointRecord> InstanceTable::Snapshot() const {
  std::vector<EndpointRecord> records;
  for (const auto& [id, record] : endpoints_) records.push_back(record);
  for (const auto& [id, tombstone] : tombstones_) records.push_back(EndRecord(id, tombstone));
  return records;
}

std::vector<EndpointRecord> InstanceTable::Records(const std::set<std::string>& ids) const {
  std::vector<EndpointRecord> records;
  for (const auto& id : ids) {
    if (const auto* record = Find(id)) records.push_back(*record);
    const auto end = tombstones_.find(id);
    if (end != tombstones_.end()) records.push_back(EndRecord(id, end->second));
  }
  return records;
}

StateDigest InstanceTable::Digest() const {
  StateDigest digest;
  // Sums do not depend on the order.
  for (const auto& [id, record] : endpoints_) digest.endpoints += ContentHash(record);
  for (const auto& [id, tombstone] : tombstones_) {
    digest.ends += Hash64(id, static_cast<std::uint64_t>(tombstone.started_ms));
  }
  return digest;
}

EndpointSummary InstanceTable::Summary(TimePoint now) const {
  EndpointSummary summary;
  summary.digest = Digest();
  Duration max_age{};
  for (const auto& [id, record] : endpoints_) {
    if (record.warmup > Duration::zero()) continue;
    const Duration age = now - record.announced_at;
    if (age <= kUsualMaxAge) {
      max_age = std::max(max_age, age);
    } else {
      summary.older[id] = age;
    }
  }
  if (summary.older.size() > kMaxOlder) {
    summary.older.clear();
  } else {
    summary.max_age = max_age;
  }
  return summary;
}

void InstanceTable::Refresh(const EndpointSummary& summary, TimePoint now) {
  if (!summary.max_age) return;
  std::uint64_t digest = Digest().endpoints;
  std::set<std::string> expired;
  if (digest != summary.digest.endpoints) {
    // Endpoints that have expired there and not here yet: without the announcements of the others,
    // they would not expire here, because the whole service would look silent.
    for (const auto& id : Aging(now)) {
      if (summary.older.contains(id)) continue;
      digest -= ContentHash(endpoints_.at(id));
      expired.insert(id);
    }
    if (digest != summary.digest.endpoints) return;
  }
  for (auto& [id, record] : endpoints_) {
    if (record.warmup > Duration::zero() || expired.contains(id)) continue;
    const auto older = summary.older.find(id);
    const Duration age = older == summary.older.end() ? *summary.max_age : older->second;
    record.announced_at = std::max(record.announced_at, now - age);
  }
}

std::vector<std::string> InstanceTable::Aging(TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& [id, record] : endpoints_) {
    if (now - record.announced_at >= kAgingAfter) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> InstanceTable::Expire(Duration ttl, Duration recent, TimePoint now) {
  std::map<std::string, TimePoint> seen;
  for (const auto& [id, entry] : endpoints_) {
    auto& time = seen[entry.service];
    time = std::max(time, entry.announced_at);
  }
  std::vector<std::string> stale;
  for (const auto& [id, entry] : endpoints_) {
    // No request needs an endpoint whose service is not named.
    const bool kept = Names(entry.service) && now - seen[entry.service] >= recent;
    if (now - entry.announced_at >= ttl && !kept) stale.push_back(id);
  }
  for (const auto& id : stale) {
    // An endpoint that was only disconnected announces itself again under the same incarnation, so
    // the tombstone covers only earlier incarnations.
    const EndpointRecord& entry = endpoints_.at(id);
    const std::int64_t earlier = entry.started_ms - 1;
    const bool named = Names(entry.service);
    Remove(id);
    if (named) AddTombstone(id, {earlier, now, earlier, 0});
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
