#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Command that begins or finishes the drain of a failure domain.
struct DomainDrain {
  std::string domain;
  bool drained = false;
  /// When the operator called; UTC, milliseconds since the epoch.
  std::int64_t utc_ms = 0;
};

/// End of the drain of a failure domain.
struct DrainEnd {
  /// Revision of the drained failure domains since the end.
  std::int64_t revision = 0;
  /// Time of the call; UTC, milliseconds since the epoch. Lets a restarted process compute the age.
  std::int64_t utc_ms = 0;
  /// The same time on the monotonic clock of this process.
  TimePoint at{};
};
/// Time after an end for which processes that have missed it are told. Well above the time after
/// which an endpoint that does not announce itself expires.
inline constexpr Duration kDrainEndTtl = std::chrono::seconds(60);

/// Failure domains whose endpoints get no requests by an operator's command.
struct DrainedDomains {
  /// Incremented by each change; 0 if there was none.
  std::int64_t revision = 0;
  std::set<std::string> domains;
  /// By failure domain that is not drained any more, its last end. Processes that have missed the
  /// drain need it, as its endpoints may be cold.
  std::map<std::string, DrainEnd> ended;
};

/// Applies a command. One that names the present state has no effect.
/// @param called_at time of the operator's call on the monotonic clock
/// @return whether the state has changed
bool ApplyDrain(DrainedDomains& state, const DomainDrain& command, TimePoint called_at);

/// Replaces the state of a process that receives it from others.
/// @param received nothing changes if its revision is older; an equal one can only add ends
/// @return whether the revision is newer
bool UpdateDrains(DrainedDomains& state, DrainedDomains received, TimePoint now);

}  // namespace wagtailslip::serving
