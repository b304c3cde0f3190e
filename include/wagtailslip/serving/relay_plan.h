#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/instance_table.h"

namespace wagtailslip::serving {

/// Which records of endpoints a control process sends to which ingress processes.
/// docs/design/control-traffic.md.

/// Number of linked ingress processes up to which everything is sent to all of them. With more, the
/// copies that every process gets from every control process use up the control processes' cores.
inline constexpr std::size_t kMaxProcessesSentAll = 32;
/// Number of control processes that relay a changed record again to the same ingress process.
inline constexpr std::size_t kSecondRelays = 2;
/// Interval of the summaries that replace announcements without changes.
inline constexpr Duration kSummaryInterval = std::chrono::seconds(2);

inline bool SendsSummaries(std::size_t ingress_processes) {
  return ingress_processes > kMaxProcessesSentAll;
}

/// Whether a control process relays a changed record that it has from another control process.
/// Every control process decides by the links that it has, so that two relays are chosen among
/// those that can get the record.
/// @param linked control processes with a link to `self`
/// @param origin control process that sent the record
/// @param receiver ingress process
bool RelaysAgain(const std::string& self, const std::set<std::string>& linked,
                 const std::string& origin, const std::string& receiver,
                 std::size_t ingress_processes);

/// Whether an announcement that changes nothing is sent to the ingress processes. Where summaries
/// are sent, this is needed only for endpoints that are warming up, as their records say for how
/// much longer.
bool RelaysRefresh(const EndpointRecord& record, std::size_t ingress_processes);

/// Records of endpoints that drain or have left, for the ingress processes that may have missed
/// them because a relay died. Control processes relay them once more when they lose a link to
/// another control process.
class RecentEnds {
 public:
  void Add(const EndpointRecord& record, TimePoint now);
  /// Records of the last 3 s: the time after which a process that stands still has lost its links,
  /// and as much again.
  std::vector<EndpointRecord> Get(TimePoint now);

 private:
  struct Entry {
    TimePoint at{};
    EndpointRecord record;
  };
  std::deque<Entry> entries_;
};

}  // namespace wagtailslip::serving
