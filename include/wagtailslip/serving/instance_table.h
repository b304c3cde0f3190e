#pragma once

#include <cstdint>
#include <map>
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

/// What an endpoint said of itself, with the number that orders its announcements.
struct EndpointRecord {
  std::string id;
  /// Start of this incarnation, Unix milliseconds.
  std::int64_t started_ms = 0;
  /// Number of the announcement within the incarnation.
  std::int64_t sequence = 0;
  std::string service;
  std::string address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kServing;
  /// Time that the endpoint stays slow after its start.
  Duration warmup{};
  /// Model and version that it serves with all layers; version 0 means that it serves none.
  std::string model;
  std::int64_t weights = 0;
  /// When the announcement was made, by the clock of this process.
  TimePoint announced_at{};
};

/// Ten announcements of the usual 1.2 s; endpoints that do not answer are avoided long before.
inline constexpr Duration kEndpointTtl = std::chrono::seconds(12);
/// Time within which another endpoint of the service must have been heard; two announcements.
inline constexpr Duration kServiceActiveWindow = std::chrono::milliseconds(2500);

/// What an announcement did to the table.
enum class AnnouncementResult {
  kIgnored,    ///< Late, of an earlier incarnation, or of an address that a newer one holds.
  kRefreshed,  ///< Nothing but its time changed.
  kChanged,
};

/// The endpoints that announced themselves. Announcements may arrive late, in any order and more
/// than once: the newest incarnation of an id or an address wins, then the highest number.
class InstanceTable {
 public:
  AnnouncementResult Apply(const EndpointRecord& record, TimePoint now);
  /// Removes an endpoint that says it leaves.
  /// @return its last record with state kGone; with an empty id if it is unknown
  EndpointRecord Deregister(const std::string& id, TimePoint now);
  /// Removes endpoints that have been silent for `ttl` while others of their service were heard
  /// within `recent`. A service that is silent as a whole keeps its endpoints, because then the
  /// announcements do not get here.
  /// @return the removed ids
  std::vector<std::string> Expire(Duration ttl, Duration recent, TimePoint now);

  const EndpointRecord* Find(const std::string& id) const;
  const EndpointRecord* FindByAddress(const std::string& address) const;
  const std::map<std::string, EndpointRecord>& endpoints() const { return endpoints_; }
  /// Grows with each change.
  std::uint64_t revision() const { return revision_; }

 private:
  struct Departure {
    std::int64_t started_ms = 0;
    TimePoint at{};
  };
  bool IsDeparted(const EndpointRecord& record) const;
  void Remove(const std::string& id, TimePoint now);

  std::map<std::string, EndpointRecord> endpoints_;
  std::unordered_map<std::string, std::string> by_address_;
  std::unordered_map<std::string, Departure> departed_;
  std::uint64_t revision_ = 0;
};

}  // namespace wagtailslip::serving
