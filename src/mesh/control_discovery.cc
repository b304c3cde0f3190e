#include "wagtailslip/mesh/control_discovery.h"

#include "gen/mesh_types.h"
#include "wagtailslip/mesh/codec.h"

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
  self.protocol = kMeshProtocol;
  return self;
}

ControlDiscovery::ControlDiscovery(const deployment::NodeSettings& settings) {
  for (const auto& it : settings.seeds) seeds_.insert(MeshAddressOf(it, settings.first_port));
}

bool ControlDiscovery::Update(const Member& from, const wire::MeshMessage& message) {
  if (message.__isset.members) {
    MemberMap members;
    for (const auto& it : message.members) members[it.process] = FromWire(it);
    lists_.Replace(from.process, std::move(members));
  }
  if (!message.__isset.member_changes || message.member_changes.incomplete) return true;
  return lists_.Apply(from.process, from.incarnation, FromWire(message.member_changes));
}

void ControlDiscovery::RemoveSource(const std::string& from) { lists_.Remove(from); }

std::set<std::string> ControlDiscovery::Addresses() {
  std::set<std::string> all = seeds_;
  for (const auto& [process, member] : lists_.Merged()) {
    if (member.kind == MemberKind::kControl) all.insert(process);
  }
  return all;
}

std::map<std::string, std::string> ControlDiscovery::IngressDomains() {
  std::map<std::string, std::string> domains;
  for (const auto& [process, member] : lists_.Merged()) {
    if (member.kind == MemberKind::kIngress) domains[process] = member.failure_domain;
  }
  return domains;
}

}  // namespace wagtailslip::mesh
