// Leases on cold endpoints for the ingress processes.
#include "control_node.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {

using process::Event;
using process::LogEvent;

bool ControlNode::LeadsWarmup(TimePoint now) {
  if (!log_->HasLeaderLease(now)) return false;
  const std::uint64_t term = log_->replica().term();
  if (term == warmup_term_) return true;
  warmup_term_ = term;
  warmup_allocator_.TakeOver(now);
  LogEvent(
      Event::kWarmupAllocatorStarted,
      {{"term", term}, {"grants_in_ms", ToMilliseconds(warmup_allocator_.grants_from() - now)}});
  return true;
}

void ControlNode::OnWarmupRequest(const mesh::Member& from, const wire::WarmupLeases& leases,
                                  TimePoint now) {
  if (!LeadsWarmup(now)) return;
  const auto request = mesh::WarmupRequestFromWire(leases, from.Run());
  wire::MeshMessage reply;
  reply.__set_warmup_leases(mesh::ToWire(warmup_allocator_.Grant(request, now)));
  mesh_->Send(from.process, reply);
}

}  // namespace wagtailslip::control
