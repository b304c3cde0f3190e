#include "wagtailslip/mesh/target_sync.h"

#include <algorithm>

#include "gen/mesh_types.h"

namespace wagtailslip::mesh {
namespace {

// Interval of the questions while no answer arrives, and the age of a question at which its answer
// is too inexact. Several round trips between regions.
constexpr Duration kQueryInterval = std::chrono::milliseconds(150);
// Answers to earlier questions are not used.
constexpr std::size_t kMaxQuestions = 16;
// Control processes that have to answer: the age that a single one states may be wrong, if it
// learned of the target late and its wall clock differs.
constexpr std::size_t kConfirmations = 2;

}  // namespace

TimePoint TargetSync::Believed(const NamingTime& time) {
  TimePoint believed = time.latest;
  for (const auto& [process, earliest] : time.earliest) believed = std::min(believed, earliest);
  return believed;
}

bool TargetSync::Uncertain(const NamingTime& time, TimePoint now) const {
  return time.confirmed_by.size() < std::min(kConfirmations, linked_) &&
         now - Believed(time) < bound_;
}

std::vector<LearnedTarget> TargetSync::Receive(const std::string& from,
                                               const wire::MeshMessage& message, TimePoint now,
                                               UtcTime utc_now) {
  std::vector<LearnedTarget> learned;
  if (!message.__isset.targets) return learned;
  const bool answer = message.__isset.targets_query && message.targets_query.answer;
  const TimePoint asked_at{Duration(answer ? message.targets_query.asked_at_ns : 0)};
  if (answer && !asked_at_.contains(asked_at)) return learned;
  for (const auto& it : message.targets) {
    const std::chrono::milliseconds age(it.age_ms);
    const bool newest = it.version > targets_.Newest(it.model);
    NamingTime& time = times_[{it.model, it.version}];
    if (answer) {
      const auto [earliest, first] = time.earliest.try_emplace(from, asked_at - age);
      if (!first) earliest->second = std::max(earliest->second, asked_at - age);
      if (now - asked_at <= kQueryInterval) time.confirmed_by.insert(from);
    } else {
      time.latest = std::min(time.latest, now - age);
      if (newest) next_query_at_ = now;
    }
    targets_.SetTarget(it.model, it.version, Believed(time));
    if (!newest) continue;
    const UtcTime named_at{std::chrono::milliseconds(it.named_utc_ms)};
    const Duration delay = it.named_utc_ms == 0 ? Duration::zero() : utc_now - named_at - age;
    learned.push_back({it.model, it.version, age, delay});
  }
  return learned;
}

std::optional<wire::MeshMessage> TargetSync::NextQuery(TimePoint now) {
  if (now < next_query_at_) return std::nullopt;
  const bool uncertain = std::any_of(times_.begin(), times_.end(), [&](const auto& entry) {
    return Uncertain(entry.second, now);
  });
  if (!uncertain) return std::nullopt;
  next_query_at_ = now + kQueryInterval;
  asked_at_.insert(now);
  if (asked_at_.size() > kMaxQuestions) asked_at_.erase(asked_at_.begin());
  wire::MeshMessage message;
  message.__isset.targets_query = true;
  message.targets_query.answer = false;
  message.targets_query.asked_at_ns = now.time_since_epoch().count();
  return message;
}

void TargetSync::AskIfDue(MeshNode& mesh, TimePoint now) {
  if (now < next_query_at_) return;
  const auto query = NextQuery(now);
  if (!query) return;
  const auto processes = mesh.Members(MemberKind::kControl);
  linked_ = std::max<std::size_t>(processes.size(), 1);
  if (processes.empty()) return;
  mesh.Send(processes[queries_sent_++ % processes.size()].process, *query);
}

}  // namespace wagtailslip::mesh
