// What ends endpoints: evidence of the ingress processes, and verdicts.
#include <algorithm>

#include "control_node.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {
namespace {

using mesh::MemberKind;
using process::Event;
using process::LogEvent;

// Changed suspects go to the ingress processes at most this often.
constexpr Duration kMinSuspectsPeriod = std::chrono::milliseconds(50);
// Unchanged ones are repeated, so that the ingress processes know that they still count.
constexpr Duration kSuspectsPeriod = std::chrono::seconds(1);
// The same for verdicts. The leader sends them first; the others only cover its lost links.
constexpr Duration kMinVerdictsPeriod = std::chrono::milliseconds(50);
constexpr Duration kFollowerVerdictsPeriod = std::chrono::milliseconds(500);
// Bounds the traffic of a control process where many verdicts change at once.
constexpr double kMaxVerdictRowsPerSecond = 2000;
// Still within the time after which a request must not reach endpoints.
constexpr Duration kMaxVerdictsPeriod = std::chrono::seconds(1);

bool SameSubjects(const std::vector<serving::SuspectSubject>& a,
                  const std::vector<serving::SuspectSubject>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& x, const auto& y) { return x.subject == y.subject; });
}

}  // namespace

void ControlNode::OnCrashReport(const mesh::Member& from, const wire::CrashReport& message,
                                TimePoint now) {
  crash_judge_.OnReport(mesh::FromWire(message, now), from.Run(), now);
  JudgeCrashes(now);
}

void ControlNode::JudgeCrashes(TimePoint now) {
  if (!log_->HasLeaderLease(now) || !log_->CaughtUp()) {
    crash_judge_.StopLeading();
    sent_suspects_.clear();
    return;
  }
  std::vector<std::string> runs;
  for (const auto& it : mesh_->Members(MemberKind::kIngress)) runs.push_back(it.Run());
  for (const auto& it : crash_judge_.NextChanges(runs, now)) CommitVerdict(it, now);
  SendSuspects(now);
}

void ControlNode::SendSuspects(TimePoint now) {
  auto suspects = crash_judge_.Suspects(now);
  const bool changed = !SameSubjects(suspects, sent_suspects_);
  if (suspects.empty() && !changed) return;
  if (now - suspects_sent_at_ < (changed ? kMinSuspectsPeriod : kSuspectsPeriod)) return;
  suspects_sent_at_ = now;
  wire::MeshMessage message;
  message.__isset.suspects = true;
  nlohmann::json ends = nlohmann::json::object();
  for (const auto& it : suspects) {
    message.suspects.push_back(mesh::ToWire(it));
    ends[it.subject.id] = it.ends;
  }
  mesh_->SendTo(LinkedProcesses({MemberKind::kIngress}), message);
  if (changed) LogEvent(Event::kCrashSuspectsChanged, {{"ends", ends}});
  sent_suspects_ = std::move(suspects);
}

void ControlNode::CommitVerdict(const serving::VerdictChange& change, TimePoint now) {
  Command command;
  command.crash_verdict = change.verdict;
  log_->Propose(
      command,
      [this, change](bool committed) {
        const auto& verdict = change.verdict;
        LogEvent(Event::kCrashSubjectJudged,
                 {{"kind", serving::kSubjectKinds.Name(verdict.subject.kind)},
                  {"subject", verdict.subject.id},
                  {"state", serving::kVerdictStates.Name(verdict.state)},
                  {"reason", serving::kVerdictReasons.Name(change.reason)},
                  {"times", verdict.times},
                  {"trials", verdict.trials},
                  {"trial_process", verdict.trial_process},
                  {"committed", committed}});
        crash_judge_.OnCommitted(verdict, committed);
      },
      now);
}

void ControlNode::SyncVerdicts(TimePoint now) {
  const auto& list = log_->state().crash_verdicts;
  if (list.revision == verdicts_revision_) return;
  const std::int64_t former = verdicts_revision_;
  verdicts_revision_ = list.revision;
  crash_judge_.SetVerdicts(list, now);
  if (!log_->HasLeaderLease(now)) {
    next_verdicts_at_ = std::max(next_verdicts_at_, now + kFollowerVerdictsPeriod);
    return;
  }
  // A process with a trial has a request waiting for it.
  wire::MeshMessage message;
  message.__set_crash_verdicts(mesh::ToWire(list));
  for (const auto& member : mesh_->Members(MemberKind::kIngress)) {
    const std::string run = member.Run();
    const bool may_try = std::any_of(
        list.verdicts.begin(), list.verdicts.end(),
        [&](const auto& it) { return it.revision > former && it.trial_process == run; });
    if (may_try) mesh_->Send(member.process, message);
  }
  SendVerdicts(now);
}

void ControlNode::SendVerdicts(TimePoint now) {
  const auto& list = log_->state().crash_verdicts;
  if (list.revision == sent_verdicts_revision_ || now < next_verdicts_at_) return;
  const auto processes = LinkedProcesses({MemberKind::kIngress});
  sent_verdicts_revision_ = list.revision;
  const auto rows = static_cast<double>((list.verdicts.size() + 1) * processes.size());
  const Duration spread = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(rows / kMaxVerdictRowsPerSecond));
  next_verdicts_at_ =
      now + std::clamp(spread, Duration(kMinVerdictsPeriod), Duration(kMaxVerdictsPeriod));
  wire::MeshMessage message;
  message.__set_crash_verdicts(mesh::ToWire(list));
  mesh_->SendTo(processes, message);
}

}  // namespace wagtailslip::control
