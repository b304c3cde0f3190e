#include "wagtailslip/traffic/routing_snapshot.h"

#include <utility>

#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {

RoutingSnapshot::RoutingSnapshot(std::vector<RoutingEndpoint> endpoints, config::Revision revision,
                                 std::uint32_t entry_processes)
    : endpoints_(std::move(endpoints)), revision_(revision), entry_processes_(entry_processes) {
  WTS_INVARIANT(entry_processes_ > 0);
  by_id_.reserve(endpoints_.size());
  for (std::uint32_t i = 0; i < endpoints_.size(); ++i) {
    const bool added = by_id_.emplace(endpoints_[i].id, i).second;
    WTS_INVARIANT(added);
    models_[endpoints_[i].model].push_back(i);
  }
}

std::span<const std::uint32_t> RoutingSnapshot::OfModel(const std::string& model) const {
  const auto it = models_.find(model);
  if (it == models_.end()) return {};
  return it->second;
}

std::optional<std::uint32_t> RoutingSnapshot::Find(const std::string& id) const {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return std::nullopt;
  return it->second;
}

}  // namespace wagtailslip::traffic
