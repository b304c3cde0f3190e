// Leases on cold endpoints.
#include <algorithm>

#include "gen/mesh_types.h"
#include "ingress_node.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::ingress {
namespace {

using process::Event;
using process::LogEvent;

// Time without links to most control processes after which endpoints may have been told to restart
// without this process hearing of it. Shorter cuts are not seen by links that fall silent.
constexpr Duration kMinIsolation = std::chrono::seconds(3);

}  // namespace

void IngressNode::AskForWarmupLeases(TimePoint now) {
  const auto request = placement_.NextWarmupRequest(now);
  if (!request) return;
  wire::MeshMessage message;
  message.__set_warmup_leases(mesh::ToWire(*request));
  // Only the control process that leads grants leases.
  if (placement_.warmup().allocator_known(now) && mesh_->Linked(warmup_allocator_)) {
    mesh_->Send(warmup_allocator_, message);
  } else {
    mesh_->SendTo(ControlProcesses(), message);
  }
}

void IngressNode::OnWarmupGrant(const mesh::Member& from, const wire::WarmupLeases& leases,
                                TimePoint now) {
  warmup_allocator_ = from.process;
  const auto acquired = placement_.warmup().OnGrant(mesh::WarmupGrantFromWire(leases), now);
  if (acquired.empty()) return;
  LogEvent(Event::kWarmupLeasesAcquired, {{"endpoints", acquired}, {"allocator", from.process}});
  ScheduleVerdictDelivery();
}

void IngressNode::TrackIsolation(TimePoint now) {
  const auto known = control_discovery_.Addresses();
  const auto linked = static_cast<std::size_t>(std::count_if(
      known.begin(), known.end(), [this](const auto& it) { return mesh_->Linked(it); }));
  if (2 * linked > known.size()) {
    // The failure domain of this process was cut off, so its endpoints are cold when they return,
    // although this process has heard of them all the time.
    if (isolated_since_ && now - *isolated_since_ >= kMinIsolation) {
      placement_.SetColdUntilAnnounced(settings_.failure_domain, now);
    }
    isolated_since_.reset();
  } else if (!isolated_since_) {
    isolated_since_ = now;
  }
}

void IngressNode::LogColdEndpoints(TimePoint now) {
  for (const auto& [id, record] : table_.endpoints()) {
    const auto reason = placement_.FindCold(id, now);
    const auto logged = cold_endpoints_.find(id);
    if (reason.has_value() == (logged != cold_endpoints_.end()) &&
        (!reason || logged->second == *reason)) {
      continue;
    }
    nlohmann::json fields{{"endpoint", id}, {"cold", reason.has_value()}};
    if (reason) {
      fields["reason"] = serving::kColdReasons.Name(*reason);
      cold_endpoints_[id] = *reason;
    } else {
      cold_endpoints_.erase(logged);
    }
    LogEvent(Event::kEndpointColdChanged, fields);
  }
  std::erase_if(cold_endpoints_, [this](const auto& it) { return !table_.Find(it.first); });
}

}  // namespace wagtailslip::ingress
