#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Whether an endpoint takes requests.
enum class EndpointState { kServing, kDraining, kGone };
inline constexpr EnumTable<EndpointState, 3> kEndpointStates{
    {{{EndpointState::kServing, "serving"},
      {EndpointState::kDraining, "draining"},
      {EndpointState::kGone, "gone"}}}};

/// The contents of an endpoint's announcement, with the fields that order its announcements.
struct EndpointRecord {
  std::string id;
  /// Start of this incarnation in milliseconds since the Unix epoch.
  std::int64_t started_ms = 0;
  /// Sequence number of the announcement within the incarnation.
  std::int64_t sequence = 0;
  std::string service;
  std::string address;
  std::string failure_domain;
  /// Requests that the endpoint can run at the same time.
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kServing;
  /// Remaining time for which the endpoint is slow after its start.
  Duration warmup{};
  /// Model, and version of its weights, that the endpoint has loaded completely; version 0 if none.
  std::string model;
  std::int64_t weights = 0;
  /// Time of the announcement, by the clock of this process.
  TimePoint announced_at{};
};

/// Time without announcements after which an endpoint is removed: ten announcements at the usual
/// interval of 1.2 s. Endpoints that do not respond are avoided long before.
inline constexpr Duration kEndpointTtl = std::chrono::seconds(12);
/// Endpoints expire only if another endpoint of their service announced itself within this time,
/// two announcement intervals.
inline constexpr Duration kServiceActiveWindow = std::chrono::milliseconds(2500);

/// Longest time that an announcement spends on its way: a call that a network partition holds up
/// arrives at the latest as long after the partition as it was held up.
inline constexpr Duration kMaxAnnouncementDelay = std::chrono::seconds(8);
/// Number of later announcements, beside kMaxAnnouncementDelay, that prove that an endpoint goes on
/// although its end was recorded.
inline constexpr std::int64_t kMinLaterAnnouncements = 3;

/// Effect of an announcement on the table.
enum class AnnouncementResult {
  kIgnored,    ///< Outdated or repeated, or another endpoint holds the id or the address.
  kRefreshed,  ///< Only the time of the announcement changed.
  kChanged,
  kRestored,  ///< Changed: the endpoint goes on, so the call that ended it was of another
              ///< incarnation.
};

/// Whether other processes should be told at once.
inline bool Changed(AnnouncementResult result) {
  return result == AnnouncementResult::kChanged || result == AnnouncementResult::kRestored;
}

/// Hashes of what a process knows of endpoints, without sequence numbers and times. Two processes
/// that know the same have the same digest, in whatever order they were told.
struct StateDigest {
  std::uint64_t endpoints = 0;
  std::uint64_t ends = 0;
  bool operator==(const StateDigest&) const = default;
};

/// What a control process says of its endpoints instead of sending each announcement that changes
/// nothing.
struct EndpointSummary {
  StateDigest digest;
  /// Largest age of the last announcement, except for the endpoints in `older`; nothing if there
  /// are too many of these.
  std::optional<Duration> max_age;
  std::map<std::string, Duration> older;
};

/// The endpoints known from announcements. Announcements may arrive late, out of order and more
/// than once: the newest incarnation of an id or an address wins, then the highest sequence number.
/// An announcement of a service that the configuration does not name may be of a foreign writer: it
/// yields to endpoints of named services, and ends none. The end of an endpoint covers its
/// incarnation and all before it, except where later announcements prove that the incarnation goes
/// on. docs/design.md, section 6.5.
class InstanceTable {
 public:
  /// Sets the services that the configuration names. Until the first call every service is named.
  void SetServices(std::set<std::string> services);
  /// Whether the configuration names a service.
  bool Names(const std::string& service) const;
  /// Applies an announcement, or the end of an endpoint that another process relays (kGone).
  AnnouncementResult Apply(const EndpointRecord& record, TimePoint now);
  /// Records that an endpoint calls to leave. The call names no incarnation, so it counts for the
  /// one that is known.
  /// @return record of the end with state kGone, to be relayed; with an empty id if the
  ///     endpoint is unknown, or the configuration does not name its service
  EndpointRecord Leave(const std::string& id, TimePoint now);
  /// Removes endpoints without an announcement for `ttl` if another endpoint of their service
  /// announced itself within `recent`. If all endpoints of a service are silent they are kept,
  /// because then the announcements probably do not reach this process. Endpoints of services that
  /// are not named are removed in any case.
  /// @return the removed ids
  std::vector<std::string> Expire(Duration ttl, Duration recent, TimePoint now);

  /// All that is known, as the full state for another process: the endpoints, and the ends of those
  /// that are gone with state kGone.
  std::vector<EndpointRecord> Snapshot() const;
  /// The part of the full state that concerns these ids.
  std::vector<EndpointRecord> Records(const std::set<std::string>& ids) const;
  StateDigest Digest() const;
  EndpointSummary Summary(TimePoint now) const;
  /// Takes over when the endpoints announced themselves, if `summary` is of the same endpoints.
  /// Leaves out those that are warming up: their records say for how long after the announcement.
  void Refresh(const EndpointSummary& summary, TimePoint now);
  /// Endpoints that will expire soon unless an announcement is learned of.
  std::vector<std::string> Aging(TimePoint now) const;
  const EndpointRecord* Find(const std::string& id) const;
  const EndpointRecord* FindByAddress(const std::string& address) const;
  const std::map<std::string, EndpointRecord>& endpoints() const { return endpoints_; }
  /// Incremented by every change of the table.
  std::uint64_t revision() const { return revision_; }

 private:
  /// Marks an incarnation, and all before it, as removed.
  struct Tombstone {
    std::int64_t started_ms = 0;
    TimePoint at{};
    /// The incarnation that may prove that it goes on, and its last announcement before the end.
    /// `started_ms` of an end that names no incarnation is the time of the call to leave, which may
    /// cover several; the newest of them counts.
    std::int64_t known_started_ms = 0;
    std::int64_t known_sequence = 0;
  };
  static EndpointRecord EndRecord(const std::string& id, const Tombstone& tombstone);
  /// Whether an announcement proves that its endpoint goes on.
  static bool GoesOn(const EndpointRecord& record, const Tombstone& tombstone);
  /// Whether an endpoint of a named service holds the id or the address of the record.
  bool HeldByNamedService(const EndpointRecord& record) const;
  /// The endpoint with the address of the record and another id; null if there is none.
  const EndpointRecord* OtherAtAddress(const EndpointRecord& record) const;
  AnnouncementResult ApplyEnd(const EndpointRecord& end, TimePoint now);
  /// Whether a tombstone covers the incarnation of an announcement, which does not prove that it
  /// goes on.
  bool IsEnded(const EndpointRecord& record);
  /// Adds a tombstone, or merges it into the one that is there.
  /// @return the tombstone in force
  Tombstone& AddTombstone(const std::string& id, const Tombstone& tombstone);
  void Remove(const std::string& id);

  /// Nothing until the first call of SetServices.
  std::optional<std::set<std::string>> services_;
  std::map<std::string, EndpointRecord> endpoints_;
  /// Endpoint ids by address.
  std::unordered_map<std::string, std::string> by_address_;
  /// Tombstones by endpoint id.
  std::unordered_map<std::string, Tombstone> tombstones_;
  std::uint64_t revision_ = 0;
};

}  // namespace wagtailslip::serving
