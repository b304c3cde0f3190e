#include "wagtailslip/mesh/control_discovery.h"

#include "gen/mesh_types.h"

namespace wagtailslip::mesh {
namespace {

// All processes use the same ports, so the mesh address of a seed follows from its control address.
std::string MeshAddressOf(const std::string& control_address, std::uint16_t port) {
  return control_address.substr(0, control_address.rfind(':')) + ":" + std::to_string(port);
}

}  // namespace

Member MakeSelfMember(const deployment::NodeSettings& settings, MemberKind kind,
                      const std::string& service_address, std::int64_t incarnation) {
  Member self;
  self.process = settings.mesh_address();
  self.kind = kind;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.service_address = service_address;
  self.incarnation = incarnation;
  return self;
}

ControlDiscovery::ControlDiscovery(const deployment::NodeSettings& settings) {
  for (const auto& it : settings.seeds) seeds_.insert(MeshAddressOf(it, settings.first_port));
}

void ControlDiscovery::UpdateFrom(const std::string& from,
                                  const std::vector<wire::MeshMember>& members) {
  auto& listed = listed_by_source_[from];
  listed.clear();
  for (const auto& it : members) {
    if (it.kind == static_cast<std::int16_t>(MemberKind::kControl)) listed.insert(it.process);
  }
}

void ControlDiscovery::RemoveSource(const std::string& from) { listed_by_source_.erase(from); }

std::set<std::string> ControlDiscovery::Addresses() {
  std::set<std::string> all = seeds_;
  for (const auto& [process, listed] : listed_by_source_) all.insert(listed.begin(), listed.end());
  if (listed_by_source_.empty()) all.insert(last_addresses_.begin(), last_addresses_.end());
  last_addresses_ = all;
  return all;
}

}  // namespace wagtailslip::mesh
