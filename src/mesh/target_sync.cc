#include "wagtailslip/mesh/target_sync.h"

#include <algorithm>

#include "gen/mesh_types.h"

namespace wagtailslip::mesh {
namespace {

// Interval of the questions while no answer arrives. Several round trips between regions.
constexpr Duration kQueryInterval = std::chrono::milliseconds(150);

}  // namespace

std::vector<LearnedTarget> TargetSync::Receive(const wire::MeshMessage& message, TimePoint now,
                                               UtcTime utc_now) {
  std::vector<LearnedTarget> learned;
  if (!message.__isset.targets) return learned;
  const bool answer = message.__isset.targets_query && message.targets_query.answer;
  // The answer was sent after the question, so the target is at least that much older.
  const TimePoint sent_after =
      answer ? std::min(now, TimePoint(Duration(message.targets_query.asked_at_ns))) : now;
  for (const auto& it : message.targets) {
    const std::chrono::milliseconds age(it.age_ms);
    const bool newest = targets_.AddTarget(it.model, it.version, sent_after - age);
    if (answer) {
      unconfirmed_.erase({it.model, it.version});
    } else if (newest) {
      unconfirmed_.emplace(it.model, it.version);
      next_query_at_ = now;
    }
    if (!newest) continue;
    const UtcTime named_at{std::chrono::milliseconds(it.named_utc_ms)};
    const Duration delay = it.named_utc_ms == 0 ? Duration::zero() : utc_now - named_at - age;
    learned.push_back({it.model, it.version, age, delay});
  }
  return learned;
}

std::optional<wire::MeshMessage> TargetSync::NextQuery(TimePoint now) {
  std::erase_if(unconfirmed_, [&](const auto& it) {
    const auto since = targets_.EarliestNewerTargetTime(it.first, it.second - 1);
    return since && now - *since >= bound_;
  });
  if (unconfirmed_.empty() || now < next_query_at_) return std::nullopt;
  next_query_at_ = now + kQueryInterval;
  wire::MeshMessage message;
  message.__isset.targets_query = true;
  message.targets_query.answer = false;
  message.targets_query.asked_at_ns = now.time_since_epoch().count();
  return message;
}

void TargetSync::AskIfDue(MeshNode& mesh, TimePoint now) {
  const auto query = NextQuery(now);
  if (!query) return;
  const auto processes = mesh.Members(MemberKind::kControl);
  if (processes.empty()) return;
  mesh.Send(processes[queries_sent_++ % processes.size()].process, *query);
}

}  // namespace wagtailslip::mesh
