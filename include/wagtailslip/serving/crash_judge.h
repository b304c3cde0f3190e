#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/crash_evidence.h"
#include "wagtailslip/serving/crash_verdicts.h"

namespace wagtailslip::serving {

/// What an ingress process reports on subjects to the control processes.
struct CrashReport {
  struct Proof {
    CrashSubject subject;
    TimePoint at{};
  };
  struct TrialEnd {
    CrashSubject subject;
    /// CrashVerdict::revision of the grant.
    std::int64_t revision = 0;
    TrialOutcome outcome = TrialOutcome::kSpent;
  };
  std::vector<EndedAttempt> ends;
  /// Proofs of subjects that are suspects, or that have just been blamed.
  std::vector<Proof> proofs;
  /// Attempts since the last report, by service.
  std::map<std::string, AttemptTotals> totals;
  /// Condemned subjects that were asked for since the last report.
  std::vector<CrashSubject> refused;
  /// Suspects of which the process has a request, so that it could try them.
  std::vector<CrashSubject> asks;
  std::vector<TrialEnd> trial_ends;
};

/// Judges subjects by the reports of all ingress processes. Every control process collects the
/// evidence, so that the next leader has it; the one that leads commits the changes.
///
/// From its second end on a request is held: the log says so before a further one is sent, and
/// each further send needs a trial that the log holds. So the number of sends stays within the
/// number of trials whatever the evidence says, and whichever processes fail.
class CrashJudge {
 public:
  /// @param process the sender with its incarnation
  void OnReport(const CrashReport& report, const std::string& process, TimePoint now);
  /// Takes over the verdicts that the log holds.
  void SetVerdicts(const CrashVerdictList& list, TimePoint now);
  /// The changes to commit now; each must be ended by OnCommitted.
  /// @param processes ingress processes, with their incarnations, that are linked
  std::vector<VerdictChange> NextChanges(const std::vector<std::string>& processes, TimePoint now);
  /// A change is committed, or whether it is is not known.
  void OnCommitted(const CrashVerdict& verdict, bool committed);
  /// This process does not lead.
  void StopLeading();
  /// Suspects without a verdict.
  std::vector<SuspectSubject> Suspects(TimePoint now) const;
  const CrashEvidence& evidence() const { return evidence_; }

 private:
  bool HasRoom(SubjectKind kind) const;
  bool CondemnedInLog(const CrashSubject& subject) const;
  /// The verdict that replaces the one in force.
  CrashVerdict Replace(const CrashSubject& subject, VerdictState state) const;

  CrashEvidence evidence_;
  VerdictReview review_;
  /// Subjects with a verdict in the log.
  std::set<CrashSubject> judged_;
  /// Subjects of changes that are being committed.
  std::set<CrashSubject> open_;
  TimePoint next_expiry_{};
};

}  // namespace wagtailslip::serving
