#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Limits on the retries that all ingress processes together may send to a service.
struct RetryLimits {
  /// Retries allowed per request of callers.
  double ratio = 0;
  /// Retries allowed in addition to the ratio, over all processes.
  double extra = 0;
  /// Length of the sliding window in which requests and retries are counted.
  Duration window = std::chrono::seconds(10);
};

/// Resolution at which requests and retries are dated.
inline constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

/// What an ingress process reports to the allocator of retry permits. A permit allows to send one
/// request of a service once more.
struct RetryReport {
  struct Row {
    std::string service;
    /// Requests of callers in the intervals before `sent_at`, most recent first. The intervals are
    /// aligned to multiples of kRetryInterval of the sender's clock, so the first one is partial.
    std::vector<std::uint32_t> requests;
    /// Permits used since the process started.
    std::uint64_t used = 0;
    /// Permits that the process holds, and further ones that it asks for.
    std::uint32_t held = 0;
    std::uint32_t wanted = 0;
  };
  std::string process;
  std::int64_t incarnation = 0;
  /// When it was sent, by the clock of the sender.
  TimePoint sent_at{};
  /// RetryGrant::sent_at of the last grant, and the time since it arrived. They bound the time that
  /// the report was on its way.
  TimePoint last_grant_at{};
  Duration since_last_grant{};
  std::vector<Row> rows;
};

/// Reply of the allocator. It renews the permits that the report names as held.
struct RetryGrant {
  struct Row {
    std::string service;
    std::uint32_t granted = 0;
    /// Permits that the process should hold while it needs none.
    std::uint32_t reserve = 0;
  };
  /// RetryReport::sent_at of the report.
  TimePoint report_sent_at{};
  /// When it was sent, by the clock of the allocator.
  TimePoint sent_at{};
  /// Lifetime of all permits that the process holds now, counted from `report_sent_at`.
  Duration lifetime{};
  /// The requests in the report were counted.
  bool counted = false;
  std::vector<Row> rows;
};

}  // namespace wagtailslip::serving
