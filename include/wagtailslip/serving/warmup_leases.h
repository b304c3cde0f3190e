#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Lifetime of a lease on a cold endpoint. The holder counts it from its request, the allocator
/// from the grant, so that a lease ends at the holder first.
inline constexpr Duration kWarmupLeaseTtl = std::chrono::seconds(1);

/// An endpoint that a process asks a lease for.
struct WarmupLeaseKey {
  std::string endpoint;
  /// Start of the incarnation that the process knows.
  std::int64_t started_ms = 0;

  bool operator==(const WarmupLeaseKey&) const = default;
};

/// Request of an ingress process for leases, new ones and renewals.
struct WarmupLeaseRequest {
  /// Process that asks, with its incarnation: a restarted process has none of its former leases.
  std::string process;
  /// When it asked, by its own clock.
  TimePoint sent_at{};
  std::vector<WarmupLeaseKey> rows;
};

/// Reply of the allocator, with a row for each one of the request.
struct WarmupLeaseGrant {
  struct Row {
    WarmupLeaseKey key;
    bool granted = false;
  };
  /// WarmupLeaseRequest::sent_at of the request.
  TimePoint request_sent_at{};
  Duration lifetime = kWarmupLeaseTtl;
  std::vector<Row> rows;
};

}  // namespace wagtailslip::serving
