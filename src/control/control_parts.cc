// Parts of prompts under which engines end: evidence of the ingress processes, and verdicts.
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
constexpr Duration kReviewPeriod = std::chrono::seconds(1);

bool SameParts(const std::vector<serving::SuspectPart>& a,
               const std::vector<serving::SuspectPart>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const auto& x, const auto& y) { return x.part == y.part; });
}

}  // namespace

void ControlNode::OnPartReport(const mesh::Member& from, const wire::PartReport& message,
                               TimePoint now) {
  const auto report = mesh::FromWire(message, now);
  const bool leads = log_->HasLeaderLease(now) && log_->CaughtUp();
  const auto end_trial = [&](const std::string& part, bool passed) {
    const auto* verdict = verdict_review_.Find(part);
    if (!leads || verdict == nullptr || verdict->trial_process != from.process) return;
    if (const auto change = serving::VerdictReview::AfterTrial(*verdict, passed)) {
      CommitVerdict(*change, now);
    }
  };
  part_evidence_.AddTotals(report.proven_attempts, report.ended_attempts, now);
  for (const auto& it : report.ends) {
    for (const auto& part : it.parts) end_trial(part, false);
    part_evidence_.AddEnd(it, now);
  }
  for (const auto& it : report.proofs) {
    end_trial(it.part, true);
    part_evidence_.AddProof(it.part, it.at, now);
  }
  for (const auto& it : report.refused) verdict_review_.OnRefused(it, now);
  JudgeParts(now);
}

void ControlNode::JudgeParts(TimePoint now) {
  if (!log_->HasLeaderLease(now) || !log_->CaughtUp()) {
    // What was not committed is judged anew by the next leader, from its own evidence.
    for (const auto& [part, it] : open_verdicts_) part_evidence_.Forget(part);
    open_verdicts_.clear();
    sent_suspects_.clear();
    return;
  }
  // While there is no room for verdicts, guilty parts stay suspects.
  while (judged_parts_.size() + open_verdicts_.size() < serving::kMaxPartVerdicts) {
    const std::string part = part_evidence_.Condemn(now);
    if (part.empty()) break;
    const serving::PartVerdict verdict{part, serving::PartState::kCondemned, 1, {}};
    CommitVerdict({verdict, serving::VerdictReason::kEngineEnds}, now);
  }
  if (now >= next_part_review_at_) {
    next_part_review_at_ = now + kReviewPeriod;
    const auto change = verdict_review_.NextChange(LinkedProcesses({MemberKind::kIngress}), now);
    if (change) CommitVerdict(*change, now);
    const auto open = open_verdicts_;
    for (const auto& [part, it] : open) {
      if (!it.second) CommitVerdict(it.first, now);
    }
  }
  SendSuspects(now);
}

void ControlNode::SendSuspects(TimePoint now) {
  auto suspects = part_evidence_.Suspects(now);
  const bool changed = !SameParts(suspects, sent_suspects_);
  if (suspects.empty() && !changed) return;
  if (now - suspects_sent_at_ < (changed ? kMinSuspectsPeriod : kSuspectsPeriod)) return;
  suspects_sent_at_ = now;
  wire::MeshMessage message;
  message.__isset.suspect_parts = true;
  nlohmann::json ends = nlohmann::json::object();
  for (const auto& it : suspects) {
    wire::SuspectPart w;
    w.part = it.part;
    w.ends = static_cast<std::int32_t>(it.ends);
    message.suspect_parts.push_back(std::move(w));
    ends[it.part] = it.ends;
  }
  mesh_->SendTo(LinkedProcesses({MemberKind::kIngress}), message);
  if (changed) LogEvent(Event::kPromptPartsSuspected, {{"ends", ends}});
  sent_suspects_ = std::move(suspects);
}

void ControlNode::CommitVerdict(const serving::VerdictChange& change, TimePoint now) {
  auto& [pending, in_progress] = open_verdicts_[change.verdict.part];
  if (in_progress) return;
  pending = change;
  in_progress = true;
  Command command;
  command.part_verdict = change.verdict;
  log_->Propose(
      command,
      [this, change](bool committed) {
        LogEvent(Event::kPromptPartJudged,
                 {{"part", change.verdict.part},
                  {"state", serving::kPartStates.Name(change.verdict.state)},
                  {"reason", serving::kVerdictReasons.Name(change.reason)},
                  {"times", change.verdict.times},
                  {"trial_process", change.verdict.trial_process},
                  {"committed", committed}});
        const auto open = open_verdicts_.find(change.verdict.part);
        if (open == open_verdicts_.end()) return;
        open->second.second = false;
        if (committed) open_verdicts_.erase(open);
      },
      now);
}

void ControlNode::SyncVerdicts(TimePoint now) {
  const auto& list = log_->state().part_verdicts;
  if (list.revision == verdicts_revision_) return;
  verdicts_revision_ = list.revision;
  std::set<std::string> lifted = std::move(judged_parts_);
  judged_parts_.clear();
  for (const auto& it : list.verdicts) {
    part_evidence_.SetCondemned(it.part);
    judged_parts_.insert(it.part);
    lifted.erase(it.part);
  }
  for (const auto& it : lifted) part_evidence_.Forget(it);
  verdict_review_.SetVerdicts(list.verdicts, now);
  wire::MeshMessage message;
  message.__set_part_verdicts(mesh::ToWire(list));
  // From every control process, as the leader may not be linked to all of them.
  mesh_->SendTo(LinkedProcesses({MemberKind::kIngress}), message);
}

}  // namespace wagtailslip::control
