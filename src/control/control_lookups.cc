// Addresses of ingress processes for lookups.
#include <algorithm>

#include "control_node.h"
#include "wagtailslip/serving/ingress_selection.h"

namespace wagtailslip::control {

using mesh::MemberKind;

std::string ControlNode::RegionOf(const std::string& domain) const {
  const auto it = settings_.regions.find(domain);
  return it == settings_.regions.end() ? std::string() : it->second;
}

std::vector<std::string> ControlNode::IngressAddresses() const {
  return IngressAddressesFor({}, {}, {});
}

std::vector<std::string> ControlNode::IngressAddressesFor(const std::string& host,
                                                          std::string region,
                                                          const std::string& domain) const {
  std::map<std::string, std::string> domains;
  std::map<std::string, serving::IngressAddress> address_of;
  for (const auto& it : mesh_->Members(MemberKind::kIngress)) {
    if (!it.accepting || it.service_address.empty()) continue;
    domains[it.process] = it.failure_domain;
    address_of[it.process] = {it.service_address,
                              it.region.empty() ? RegionOf(it.failure_domain) : it.region};
  }
  std::vector<serving::IngressAddress> processes;
  for (const auto& it : serving::SelectIngress(domains, serving::LargestServiceSize(table_))) {
    processes.push_back(address_of.at(it));
  }
  if (region.empty()) region = RegionOf(domain);
  auto addresses = host_regions_.Select(host, region, processes);
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

}  // namespace wagtailslip::control
