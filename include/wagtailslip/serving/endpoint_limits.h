#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// What a response of an endpoint says about its request limit.
struct LimitObservation {
  std::string endpoint;
  /// Incarnation of the endpoint, see EndpointRecord::started_ms.
  std::int64_t started_ms = 0;
  /// Requests per second that the endpoint takes from all ingress processes together; nothing if it
  /// names no limit.
  std::optional<double> per_second;
  /// When the request was sent and when the response arrived. The endpoint named the limit at some
  /// time in between.
  TimePoint sent_at{};
  TimePoint answered_at{};
};

/// The request limits that endpoints are known to have named last. Observations come from several
/// ingress processes and in any order. While it is not known which of two is the newer one, the
/// lower limit is in force.
class EndpointLimits {
 public:
  /// @return whether the limit in force has changed
  bool Record(const LimitObservation& observation);
  /// The limit in force in requests per second; nothing if there is none.
  std::optional<double> Find(const std::string& endpoint) const;
  /// The newest observation of an endpoint; null if there is none.
  const LimitObservation* Observation(const std::string& endpoint) const;
  /// Discards the limit of an endpoint that is gone.
  void Remove(const std::string& endpoint) { observations_.erase(endpoint); }
  /// Newest observations by endpoint, including those of endpoints that name no limit any more.
  const std::map<std::string, LimitObservation>& observations() const { return observations_; }

 private:
  std::map<std::string, LimitObservation> observations_;
};

}  // namespace wagtailslip::serving
