#include "wagtailslip/serving/relay_plan.h"

#include <algorithm>
#include <utility>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

constexpr Duration kRecentEndTtl = std::chrono::seconds(3);
// Bounds memory; more endpoints than this do not leave within the time.
constexpr std::size_t kMaxRecentEnds = 1000;
// Interval at which an endpoint announces itself, and of the announcements that are relayed for
// each process up to kMaxProcessesSentAll of them.
constexpr Duration kAnnouncementInterval = std::chrono::milliseconds(1200);
// A third of the time after which an endpoint without announcements expires.
constexpr Duration kMaxRefreshInterval = std::chrono::seconds(4);

}  // namespace

bool RelaysAgain(const std::string& self, const std::set<std::string>& linked,
                 const std::string& origin, const std::string& receiver,
                 std::size_t ingress_processes) {
  if (ingress_processes <= kMaxProcessesSentAll) return true;
  const auto rank = [&receiver](const std::string& process) {
    return std::pair(Hash64(receiver, Hash64(process)), process);
  };
  const auto own = rank(self);
  const auto before = std::count_if(linked.begin(), linked.end(), [&](const std::string& it) {
    return it != self && it != origin && rank(it) < own;
  });
  return static_cast<std::size_t>(before) < kSecondRelays;
}

bool RelaysRefresh(const EndpointRecord& record, std::size_t ingress_processes) {
  if (ingress_processes <= kMaxProcessesSentAll) return true;
  if (record.warmup <= Duration::zero()) return false;
  const Duration interval =
      std::min(kMaxRefreshInterval, kAnnouncementInterval * static_cast<int>(ingress_processes) /
                                        static_cast<int>(kMaxProcessesSentAll));
  // Control processes need not agree on which announcement it is: the number says.
  const std::int64_t every = std::max<std::int64_t>(interval / kAnnouncementInterval, 1);
  return record.sequence % every == 0;
}

void RecentEnds::Add(const EndpointRecord& record, TimePoint now) {
  if (record.state == EndpointState::kServing) return;
  if (entries_.size() >= kMaxRecentEnds) entries_.pop_front();
  entries_.push_back({now, record});
}

std::vector<EndpointRecord> RecentEnds::Get(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().at >= kRecentEndTtl) entries_.pop_front();
  std::vector<EndpointRecord> records;
  for (const auto& it : entries_) records.push_back(it.record);
  return records;
}

}  // namespace wagtailslip::serving
