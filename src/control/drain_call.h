#pragma once

#include <set>
#include <string>

#include "wagtailslip/serving/drained_domains.h"

namespace wagtailslip::control {

/// What the leader does with a call that begins or finishes the drain of a failure domain.
enum class DrainStep {
  /// Respond that there is no such failure domain.
  kRejectUnknown,
  /// Acknowledge at once, as the call asks for the present state.
  kAcknowledge,
  kCommit,
};

/// @param known all known failure domains
/// @param state drained failure domains by the commands that this process has applied
/// @param can_serve_reads whether `state` includes every acknowledged command
DrainStep DecideDrain(const serving::DomainDrain& call, const std::set<std::string>& known,
                      const serving::DrainedDomains& state, bool can_serve_reads);

}  // namespace wagtailslip::control
