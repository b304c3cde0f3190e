#include "wagtailslip/serving/host_regions.h"

#include <algorithm>

#include "wagtailslip/serving/route_table.h"

namespace wagtailslip::serving {
namespace {

/// Addresses of the processes in these regions.
std::vector<std::string> InRegions(const std::vector<IngressAddress>& processes,
                                   const std::vector<std::string>& regions) {
  std::vector<std::string> addresses;
  for (const auto& it : processes) {
    if (it.region.empty()) continue;
    if (std::find(regions.begin(), regions.end(), it.region) != regions.end()) {
      addresses.push_back(it.address);
    }
  }
  return addresses;
}

}  // namespace

HostRegions::HostRegions(const ServiceConfig& config) {
  for (const auto& route : config.routes) {
    if (route.allowed_regions.empty()) continue;
    auto& regions = regions_[NormalizeHost(route.host)];
    regions.insert(regions.end(), route.allowed_regions.begin(), route.allowed_regions.end());
  }
}

std::vector<std::string> HostRegions::Select(std::string_view host,
                                             const std::string& caller_region,
                                             const std::vector<IngressAddress>& processes) const {
  const auto it = host.empty() ? regions_.end() : regions_.find(NormalizeHost(host));
  if (it != regions_.end()) {
    for (const auto& regions : {std::vector{caller_region}, it->second}) {
      auto addresses = InRegions(processes, regions);
      if (!addresses.empty()) return addresses;
    }
  }
  std::vector<std::string> addresses;
  addresses.reserve(processes.size());
  for (const auto& process : processes) addresses.push_back(process.address);
  return addresses;
}

}  // namespace wagtailslip::serving
