#include "wagtailslip/serving/drained_domains.h"

#include <utility>

namespace wagtailslip::serving {

bool ApplyDrain(DrainedDomains& state, const DomainDrain& command, TimePoint called_at) {
  const bool changed = command.drained ? state.domains.insert(command.domain).second
                                       : state.domains.erase(command.domain) > 0;
  if (!changed) return false;
  ++state.revision;
  if (command.drained) {
    state.ended.erase(command.domain);
  } else {
    state.ended[command.domain] = {state.revision, command.utc_ms, called_at};
  }
  return true;
}

bool UpdateDrains(DrainedDomains& state, DrainedDomains received, TimePoint now) {
  if (received.revision < state.revision) return false;
  const bool newer = received.revision > state.revision;
  if (!newer) received.domains = state.domains;
  std::erase_if(received.ended,
                [&](const auto& row) { return received.domains.contains(row.first); });
  // The sender leaves out ends that it does not know or that are long past.
  for (const auto& domain : state.domains) {
    if (received.domains.contains(domain)) continue;
    received.ended.try_emplace(domain, DrainEnd{received.revision, 0, now});
  }
  // An end that is known keeps its time: the times of several senders differ by their delays.
  for (const auto& [domain, end] : state.ended) {
    if (received.domains.contains(domain)) continue;
    DrainEnd& kept = received.ended.try_emplace(domain, end).first->second;
    if (kept.revision <= end.revision) kept = end;
  }
  state = std::move(received);
  return newer;
}

}  // namespace wagtailslip::serving
