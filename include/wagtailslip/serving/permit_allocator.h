#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "wagtailslip/serving/endpoint_limits.h"
#include "wagtailslip/serving/permits.h"

namespace wagtailslip::serving {

/// Grants the permits for all endpoints that have named a limit; run by one control process at a
/// time. Each endpoint has a token bucket with the limit as its rate, so the number of permits over
/// all processes follows from the bucket alone: it does not matter how many processes there are,
/// or which of them fail with permits that they have not used.
///
/// Requests sent to an endpoint in a window are covered by permits granted in the window or less
/// than kPermitTtl before it. That is at most limit x (window + kPermitTtl) + burst.
class PermitAllocator {
 public:
  struct Counters {
    std::uint64_t requests = 0;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  /// Empties all buckets. Must be called when this process takes over from another one, whose
  /// permits may still be in use.
  void Reset() { buckets_.clear(); }
  /// Records a limit that an endpoint named.
  /// @return whether the limit in force has changed
  bool Record(const LimitObservation& observation);
  PermitGrant Grant(const PermitRequest& request, TimePoint now);
  /// Discards what is known of an endpoint that is gone.
  void Remove(const std::string& endpoint);

  const EndpointLimits& limits() const { return limits_; }
  const Counters& counters() const { return counters_; }

 private:
  /// Permits that a process wanted and did not get.
  struct Unmet {
    std::uint32_t count = 0;
    TimePoint at{};
  };
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at{};
    /// By process.
    std::map<std::string, Unmet> unmet;
  };

  /// Bucket of an endpoint with the tokens that it has now.
  Bucket& Refill(const std::string& endpoint, double rate, TimePoint now);
  PermitGrant::Row GrantRow(const PermitRequest::Row& row, const std::string& process,
                            TimePoint now);

  EndpointLimits limits_;
  std::map<std::string, Bucket> buckets_;
  Counters counters_;
};

}  // namespace wagtailslip::serving
