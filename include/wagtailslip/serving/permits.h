#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/endpoint_limits.h"

namespace wagtailslip::serving {

/// Lifetime of a permit, counted from when its request was sent by the clock of the process that
/// asked. Covers the way to the allocator and back, a short wait for a request, and connecting.
inline constexpr Duration kPermitTtl = std::chrono::milliseconds(700);

/// Request of an ingress process for permits. One permit allows to send one request to an endpoint
/// that has named a limit.
struct PermitRequest {
  struct Row {
    std::string endpoint;
    std::uint32_t wanted = 0;
  };
  /// Process that asks.
  std::string process;
  /// When it asked, by its own clock.
  TimePoint sent_at{};
  /// Limits of the endpoints in `rows`, and those that changed since the last request.
  std::vector<LimitObservation> limits;
  std::vector<Row> rows;
};

/// Reply of the allocator.
struct PermitGrant {
  struct Row {
    std::string endpoint;
    std::uint32_t granted = 0;
    /// If fewer permits were granted than wanted: time until the next permit, and time until all
    /// processes that wait now could have been served.
    Duration next{};
    Duration queue_delay{};
  };
  /// PermitRequest::sent_at of the request.
  TimePoint request_sent_at{};
  std::vector<Row> rows;
};

}  // namespace wagtailslip::serving
