#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::serving {

/// An ingress process as address lookups return it.
struct IngressAddress {
  std::string address;
  /// Empty if unknown.
  std::string region;
};

/// Regions that the routes of each host allow. Selects the ingress processes for address lookups,
/// so that requests which may be served only in some regions do not enter elsewhere. Immutable.
class HostRegions {
 public:
  HostRegions() = default;
  explicit HostRegions(const ServiceConfig& config);

  /// Selects the addresses to return for a host. If one of its routes names regions, these are the
  /// processes in the region of the caller; if there are none, those in a region that the routes
  /// name; if there are none either, and for any other host, all of them.
  /// @param host case-insensitive name, with or without a port
  /// @param caller_region empty if unknown
  std::vector<std::string> Select(std::string_view host, const std::string& caller_region,
                                  const std::vector<IngressAddress>& processes) const;

 private:
  /// By host of which a route names regions: all regions that its routes name.
  std::unordered_map<std::string, std::vector<std::string>> regions_;
};

}  // namespace wagtailslip::serving
