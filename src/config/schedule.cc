// Scheduled changes from the planners' sheet.
#include <algorithm>

#include "wagtailslip/config/state_machine.h"
#include "wagtailslip/config/validate.h"

namespace wagtailslip::config {
namespace {

constexpr std::size_t kMaxScheduledChanges = 10'000;

std::vector<ValidationError> ValidateChange(const ScheduledChange& change) {
  if (const auto* rollout = std::get_if<CreateRollout>(&change.change)) return Validate(*rollout);
  return Validate(std::get<SetRule>(change.change).rule);
}

}  // namespace

ApplyResult StateMachine::Run(const SubmitSheet& command) {
  Sheet& sheet = state_.sheet;
  if (sheet.command_revision != 0 && sheet.content == command.content) return Unchanged("sheet");
  if (command.command.base_revision != sheet.command_revision) {
    return Conflict("sheet", sheet.request_id, sheet.command_revision);
  }
  if (command.changes.size() > kMaxScheduledChanges) {
    return Rejected("invalid", "changes", "a sheet has at most 10000 changes");
  }
  for (std::size_t i = 0; i < command.changes.size(); ++i) {
    const auto errors = ValidateChange(command.changes[i]);
    if (errors.empty()) continue;
    return Rejected("invalid", "changes[" + std::to_string(i) + "]." + errors.front().field,
                    errors.front().message);
  }
  std::set<Digest> applied;
  for (const auto& change : sheet.applied_changes) applied.insert(change.content);
  std::vector<PendingChange> pending;
  for (std::size_t i = 0; i < command.changes.size(); ++i) {
    // The sheet is exported in full each morning, so it repeats rows that were already applied.
    if (applied.contains(ContentDigest(command.changes[i]))) continue;
    pending.push_back(
        {command.changes[i], command.command.request_id + "#" + std::to_string(i + 1)});
  }
  std::stable_sort(pending.begin(), pending.end(), [](const auto& a, const auto& b) {
    return a.change.effective_at < b.change.effective_at;
  });
  sheet.pending = std::move(pending);
  sheet.content = command.content;
  sheet.command_revision = state_.revision;
  sheet.request_id = command.command.request_id;
  return Applied("sheet");
}

ApplyResult StateMachine::On(const ApplySchedule& record) {
  Sheet& sheet = state_.sheet;
  // A time before that of the last record is accepted: otherwise a leader whose clock ran ahead
  // would block the schedule for later leaders. A change is still applied only once, because it is
  // removed from `pending`.
  sheet.clock = std::max(sheet.clock, record.now);
  const auto end = std::find_if(sheet.pending.begin(), sheet.pending.end(),
                                [&](const auto& p) { return p.change.effective_at > record.now; });
  if (end == sheet.pending.begin()) return Unchanged("sheet");
  const std::vector<PendingChange> due(sheet.pending.begin(), end);
  sheet.pending.erase(sheet.pending.begin(), end);
  for (const auto& change : due) ApplyChange(change, record.now);
  if (sheet.applied_changes.size() > limits_.applied_changes) {
    sheet.applied_changes.erase(
        sheet.applied_changes.begin(),
        sheet.applied_changes.end() - static_cast<std::ptrdiff_t>(limits_.applied_changes));
  }
  return Applied("sheet");
}

void StateMachine::ApplyChange(const PendingChange& pending, UtcTime now) {
  const ScheduledChange& scheduled = pending.change;
  const ApplyResult result = std::visit(
      [&](auto change) {
        change.command.request_id = pending.id;
        return Run(change, false);
      },
      scheduled.change);
  state_.sheet.applied_changes.push_back(
      {pending.id, ContentDigest(scheduled), scheduled.effective_at, now,
       now - scheduled.effective_at > kScheduleLateThreshold, result});
}

std::optional<UtcTime> StateMachine::NextScheduledTime() const {
  if (state_.sheet.pending.empty()) return std::nullopt;
  return state_.sheet.pending.front().change.effective_at;
}

}  // namespace wagtailslip::config
