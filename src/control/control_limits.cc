// Request limits that endpoints name: permits for the ingress processes, and updates of the limits.
#include <algorithm>

#include "control_node.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {
namespace {

using mesh::MemberKind;
using process::Event;
using process::LogEvent;

// Changed limits go to the ingress processes at most this often, and at most one message per
// millisecond to all of them together.
constexpr Duration kMinLimitPeriod = std::chrono::milliseconds(20);
constexpr Duration kLimitPeriodPerProcess = std::chrono::milliseconds(1);
// An observation of an endpoint that is not known here may arrive before its announcement.
constexpr Duration kUnknownEndpointLimitTtl = std::chrono::seconds(30);

}  // namespace

void ControlNode::OnPermitRequest(const mesh::Member& from, const wire::MeshMessage& message,
                                  TimePoint now) {
  const auto request = mesh::PermitRequestFromWire(message, from.process, now);
  for (const auto& it : request.limits) {
    if (!permit_allocator_.Record(it)) continue;
    changed_limits_.insert(it.endpoint);
    nlohmann::json fields{{"endpoint", it.endpoint},
                          {"from", from.process},
                          {"age_ms", ToMilliseconds(now - it.answered_at)}};
    if (it.per_second) fields["limit"] = *it.per_second;
    LogEvent(Event::kEndpointLimitChanged, fields);
  }
  wire::MeshMessage reply;
  if (log_->HasLeaderLease(now)) {
    // Another process may have granted permits since the last term in which this one did.
    const std::uint64_t term = log_->replica().term();
    if (term != permit_term_) permit_allocator_.Reset();
    permit_term_ = term;
    reply.__set_permits(mesh::ToWire(permit_allocator_.Grant(request, now)));
  }
  // Sent by followers as well, because without a leader nothing else tells of a lower limit.
  for (const auto& it : request.limits) {
    const auto* newest = permit_allocator_.limits().Observation(it.endpoint);
    if (newest == nullptr || newest->per_second == it.per_second) continue;
    reply.__isset.limits = true;
    reply.limits.push_back(mesh::ToWire(*newest, now));
  }
  if (reply.__isset.permits || reply.__isset.limits) mesh_->Send(from.process, reply);
}

void ControlNode::SendLimits(TimePoint now) {
  if (changed_limits_.empty() || now < next_limits_at_) return;
  const auto receivers = LinkedProcesses({MemberKind::kIngress});
  next_limits_at_ =
      now + std::max(kMinLimitPeriod, kLimitPeriodPerProcess * static_cast<int>(receivers.size()));
  wire::MeshMessage message;
  message.__isset.limits = true;
  for (const auto& id : changed_limits_) {
    const auto* observation = permit_allocator_.limits().Observation(id);
    if (observation != nullptr) message.limits.push_back(mesh::ToWire(*observation, now));
  }
  changed_limits_.clear();
  // Followers hear of a change only from processes that no leader replies to. Nothing else spreads
  // it then.
  mesh_->SendTo(receivers, message);
  // The other control processes pass the limits on to processes that link to them, and know them if
  // they lead next.
  if (log_->HasLeaderLease(now)) mesh_->SendTo(LinkedProcesses({MemberKind::kControl}), message);
}

void ControlNode::PruneLimits(TimePoint now) {
  std::vector<std::string> gone;
  for (const auto& [id, it] : permit_allocator_.limits().observations()) {
    const auto* record = table_.Find(id);
    const bool forgotten = record == nullptr && now - it.answered_at >= kUnknownEndpointLimitTtl;
    const bool restarted = record != nullptr && record->started_ms > it.started_ms;
    if (forgotten || restarted) gone.push_back(id);
  }
  for (const auto& id : gone) permit_allocator_.Remove(id);
}

}  // namespace wagtailslip::control
