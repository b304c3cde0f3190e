#include "drain_call.h"

namespace wagtailslip::control {

DrainStep DecideDrain(const serving::DomainDrain& call, const std::set<std::string>& known,
                      const serving::DrainedDomains& state, bool can_serve_reads) {
  const bool drained = state.domains.contains(call.domain);
  // A drained domain is known even if the settings and announcements no longer name it: its drain
  // has to be finished.
  if (!drained && !known.contains(call.domain)) return DrainStep::kRejectUnknown;
  if (can_serve_reads && drained == call.drained) return DrainStep::kAcknowledge;
  return DrainStep::kCommit;
}

}  // namespace wagtailslip::control
