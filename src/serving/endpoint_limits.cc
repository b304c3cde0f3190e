#include "wagtailslip/serving/endpoint_limits.h"

#include <algorithm>
#include <limits>

namespace wagtailslip::serving {
namespace {

double LimitOrInfinity(const LimitObservation& observation) {
  return observation.per_second.value_or(std::numeric_limits<double>::infinity());
}

}  // namespace

bool EndpointLimits::Record(const LimitObservation& observation) {
  const auto it = observations_.find(observation.endpoint);
  if (it == observations_.end()) {
    // An endpoint that has never named a limit needs no entry.
    if (!observation.per_second) return false;
    observations_.emplace(observation.endpoint, observation);
    return true;
  }
  LimitObservation& known = it->second;
  if (observation.started_ms < known.started_ms) return false;
  if (observation.started_ms > known.started_ms) {
    const bool changed = observation.per_second != known.per_second;
    known = observation;
    return changed;
  }
  const double limit = LimitOrInfinity(observation);
  const double known_limit = LimitOrInfinity(known);
  if (limit == known_limit) {
    known.sent_at = std::max(known.sent_at, observation.sent_at);
    known.answered_at = std::max(known.answered_at, observation.answered_at);
    return false;
  }
  const bool may_be_newer = observation.answered_at > known.sent_at;
  const bool is_newer = observation.sent_at >= known.answered_at;
  if (limit < known_limit ? !may_be_newer : !is_newer) return false;
  known = observation;
  return true;
}

std::optional<double> EndpointLimits::Find(const std::string& endpoint) const {
  const auto* known = Observation(endpoint);
  return known == nullptr ? std::nullopt : known->per_second;
}

const LimitObservation* EndpointLimits::Observation(const std::string& endpoint) const {
  const auto it = observations_.find(endpoint);
  return it == observations_.end() ? nullptr : &it->second;
}

}  // namespace wagtailslip::serving
