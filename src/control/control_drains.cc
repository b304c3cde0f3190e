// Drained failure domains: distribution to the ingress processes.
#include "control_node.h"
#include "wagtailslip/mesh/codec.h"

namespace wagtailslip::control {

using mesh::MemberKind;

void ControlNode::AddDrainedDomains(wire::MeshMessage& message, TimePoint now) const {
  const auto& drained = log_->state().drained_domains;
  if (drained.revision > 0) message.__set_drained_domains(mesh::ToWire(drained, now));
}

void ControlNode::SendDrainedDomains(TimePoint now) {
  const std::int64_t revision = log_->state().drained_domains.revision;
  if (revision == sent_drains_revision_) return;
  sent_drains_revision_ = revision;
  wire::MeshMessage message;
  AddDrainedDomains(message, now);
  mesh_->SendTo(LinkedProcesses({MemberKind::kIngress}), message);
}

std::set<std::string> ControlNode::KnownDomains() const {
  std::set<std::string> domains{settings_.failure_domain};
  for (const auto& [domain, region] : settings_.regions) domains.insert(domain);
  for (const auto& [id, record] : table_.endpoints()) domains.insert(record.failure_domain);
  for (const auto& [id, member] : process_list_.members()) domains.insert(member.failure_domain);
  // Members that are known by their address only.
  domains.erase("");
  return domains;
}

}  // namespace wagtailslip::control
