// Mesh links to the control processes, and the engine status that is sent over them.
#include <algorithm>
#include <cstdlib>

#include "gen/mesh_types.h"
#include "sidecar_node.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/mesh/target_sync.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::sidecar {
namespace {

using mesh::MemberKind;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;

// Interval of the status messages while nothing urgent changes.
constexpr Duration kStatusPeriod = std::chrono::milliseconds(400);
// A change of the load by more than this number of requests is reported at once. Otherwise ingress
// processes that overflow to engines outside their subset would all choose the engine that was idle
// in the last periodic status, up to 400 ms ago.
constexpr int kLoadChangeThreshold = 1;
// A control process without a link for this long no longer counts towards kControlLinkCount.
constexpr Duration kControlLinkTimeout = std::chrono::milliseconds(1000);
// Number of control processes that this sidecar keeps links to.
constexpr std::size_t kControlLinkCount = 2;

/// Returns whether the two differ only in values that can wait for the next periodic status.
/// The planned swap time is not compared, because it shifts slightly with the set of endpoints.
bool NoUrgentChange(const serving::EngineStatus& a, const serving::EngineStatus& b) {
  const auto load = [](const serving::EngineStatus& status) {
    return static_cast<int>(status.running + status.waiting);
  };
  return a.started_ms == b.started_ms && a.weights_version == b.weights_version &&
         a.swapping == b.swapping && a.next_weights_version == b.next_weights_version &&
         std::abs(load(a) - load(b)) <= kLoadChangeThreshold;
}

}  // namespace

void SidecarNode::UpdateControlLinks(TimePoint now) {
  const std::set<std::string> known = control_discovery_.Addresses();
  // Each sidecar sorts by its own hash, which distributes the sidecars over the control processes.
  std::vector<std::string> order(known.begin(), known.end());
  std::sort(order.begin(), order.end(), [this](const std::string& a, const std::string& b) {
    return Hash64(a, Hash64(settings_.ip)) < Hash64(b, Hash64(settings_.ip));
  });
  std::set<std::string> chosen;
  std::size_t usable = 0;
  for (const auto& it : order) {
    if (usable >= kControlLinkCount) break;
    chosen.insert(it);
    const auto [since, added] = control_last_linked_.try_emplace(it, now);
    if (mesh_->Linked(it)) since->second = now;
    // Connecting to an unreachable process continues, but another process is chosen in addition.
    if (now - since->second < kControlLinkTimeout) ++usable;
  }
  std::erase_if(control_last_linked_,
                [&](const auto& entry) { return !chosen.contains(entry.first); });
  mesh_->SetOutboundPeers(chosen);
}

void SidecarNode::OnMemberUpdated(const mesh::Member& member, bool) {
  LogEvent(Event::kLinkUp,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  status_sent_at_ = {};
}

void SidecarNode::OnMemberLost(const mesh::Member& member) {
  LogEvent(Event::kLinkLost,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  control_discovery_.RemoveSource(member.process);
}

void SidecarNode::OnMessage(const mesh::Member& from, const wire::MeshMessage& message) {
  const TimePoint now = MonotonicNow();
  if (!control_discovery_.Update(from, message)) {
    wire::MeshMessage request;
    request.__isset.member_changes = true;
    request.member_changes.incomplete = true;
    mesh_->Send(from.process, request);
  }
  if (message.__isset.instances) {
    for (const auto& it : message.instances) {
      if (it.service_name == settings_.engine_service || it.service_name.empty()) {
        table_.Apply(mesh::FromWire(it, now), now);
      }
    }
  }
  if (message.__isset.sources) {
    for (const auto& it : message.sources) {
      if (it.service_name == settings_.engine_service) {
        model_source_ = Source{it.model, it.origin, static_cast<std::uint32_t>(it.layers)};
      }
    }
  }
  if (message.__isset.expected) {
    for (const auto& it : message.expected) {
      if (model_source_ && it.model == model_source_->model) {
        proposed_version_ = std::max(proposed_version_, it.version);
      }
    }
  }
  if (message.__isset.targets) {
    for (const auto& it : target_sync_.Receive(from.process, message, now, process::UtcNow())) {
      LogEvent(Event::kWeightsNamed, {{"model", it.model},
                                      {"version", it.version},
                                      {"age_ms", ToMilliseconds(it.age)},
                                      {"delay_ms", ToMilliseconds(it.delay)},
                                      {"from", from.process}});
    }
  }
}

void SidecarNode::SendStatus(TimePoint now) {
  // An inherited load stays in use, or out of use, as the last status of the predecessor says.
  if (!engine_state_ || load_guard_.inherited()) return;
  serving::EngineStatus status;
  status.address = settings_.engine_address;
  status.started_ms = engine_state_->started_ms;
  status.weights_version = engine_state_->weights.complete_version;
  status.running = engine_state_->running;
  status.waiting = engine_state_->waiting;
  status.swapping = load_command_version_ > status.weights_version ||
                    engine_state_->command_in_progress || LoadPending();
  status.slowdown = engine_state_->slowdown;
  const auto swap_at = SwapPending() ? ScheduledSwapTime() : std::nullopt;
  if (swap_at) {
    status.next_weights_version = current_->version;
    status.time_until_swap = std::max(*swap_at - now, Duration::zero());
  }
  if (NoUrgentChange(status, sent_status_) && now - status_sent_at_ < kStatusPeriod) return;
  wire::MeshMessage message;
  message.__isset.readings = true;
  message.readings.push_back(mesh::ToWire(status));
  for (const auto& it : mesh_->Members(MemberKind::kControl)) {
    if (!mesh_->Send(it.process, message)) continue;
    sent_status_ = status;
    status_sent_at_ = now;
    return;
  }
}

}  // namespace wagtailslip::sidecar
