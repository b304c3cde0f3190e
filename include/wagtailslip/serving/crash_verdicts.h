#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/crash_subject.h"

namespace wagtailslip::serving {

/// What is decided on a subject.
enum class VerdictState {
  kLifted,     ///< Nothing: the subject is free again.
  kCondemned,  ///< Requests with the subject are refused for good.
  kOnTrial,    ///< One ingress process may send a request with it; the others send none.
  kHeld,       ///< Nobody sends requests with it until a trial is granted.
};
inline constexpr EnumTable<VerdictState, 4> kVerdictStates{
    {{{VerdictState::kLifted, "lifted"},
      {VerdictState::kCondemned, "condemned"},
      {VerdictState::kOnTrial, "on-trial"},
      {VerdictState::kHeld, "held"}}}};

/// Why a verdict was changed.
enum class VerdictReason {
  kEndpointEnds,
  kTrialDue,
  kTrialPassed,
  kTrialFailed,
  kTrialUnsent,  ///< The process had no request to try; the trial does not count.
  kTrialLost,    ///< The process that may have sent the request is gone or silent.
  kUnused,
  kOperator,
};
inline constexpr EnumTable<VerdictReason, 8> kVerdictReasons{
    {{{VerdictReason::kEndpointEnds, "endpoint-ends"},
      {VerdictReason::kTrialDue, "trial-due"},
      {VerdictReason::kTrialPassed, "trial-passed"},
      {VerdictReason::kTrialFailed, "trial-failed"},
      {VerdictReason::kTrialUnsent, "trial-unsent"},
      {VerdictReason::kTrialLost, "trial-lost"},
      {VerdictReason::kUnused, "unused"},
      {VerdictReason::kOperator, "operator"}}}};

/// A decision on a subject, as the replicated log holds it.
struct CrashVerdict {
  CrashSubject subject;
  VerdictState state = VerdictState::kLifted;
  /// How often the subject was condemned since it was last free.
  std::uint32_t times = 0;
  /// Process, with its incarnation, that may send requests while the subject is on trial.
  std::string trial_process;
  /// Trials granted since the subject was last free, the present one included.
  std::uint32_t trials = 0;
  /// In a list, the revision of the list that made this verdict. In a change, that of the verdict
  /// which it replaces; 0 for none.
  std::int64_t revision = 0;
};

/// All verdicts in force, with a number that grows with each change.
struct CrashVerdictList {
  std::int64_t revision = 0;
  std::vector<CrashVerdict> verdicts;

  const CrashVerdict* Find(const CrashSubject& subject) const;
};

/// Applies a committed change. A change on a kind with granted trials has no effect unless the
/// verdict that it replaces is in force, so that no repeated or late change grants a trial again.
/// @return whether the list has changed
bool ApplyVerdict(CrashVerdictList& list, const CrashVerdict& change);

/// A change that the leader should commit.
struct VerdictChange {
  CrashVerdict verdict;
  VerdictReason reason = VerdictReason::kEndpointEnds;
};

/// How a granted trial ended.
enum class TrialOutcome {
  kPassed,  ///< The request was proven.
  kUnsent,  ///< No request was sent, nor will be.
  kSpent,   ///< A request may have reached an endpoint and was not proven.
};
inline constexpr EnumTable<TrialOutcome, 3> kTrialOutcomes{{{{TrialOutcome::kPassed, "passed"},
                                                             {TrialOutcome::kUnsent, "unsent"},
                                                             {TrialOutcome::kSpent, "spent"}}}};

/// When subjects with a verdict are tried or lifted; run by the control process that leads. A
/// condemned part that nobody asks for is lifted after a while; one that is asked for is tried
/// again at growing intervals, by one process. A request that is held is tried by the process that
/// asks.
class VerdictReview {
 public:
  /// Takes over the verdicts that the log holds; their times count from now where they are new.
  void SetVerdicts(const CrashVerdictList& list, TimePoint now);
  /// A request with a condemned subject was refused.
  void OnRefused(const CrashSubject& subject, TimePoint now);
  /// A process has a request with a suspect subject and asks for a trial.
  void OnAsk(const CrashSubject& subject, const std::string& process, TimePoint now);
  /// A granted trial has ended.
  /// @param revision CrashVerdict::revision of the grant
  void OnTrialEnded(const CrashSubject& subject, std::int64_t revision, TrialOutcome outcome);
  /// A request with the subject was proven or ended its endpoint.
  void OnProof(const CrashSubject& subject);
  void OnEnd(const CrashSubject& subject, const std::string& process);
  /// The changes that are due.
  /// @param processes ingress processes, with their incarnations, that could try a subject
  /// @param has_room whether the log may hold a verdict on a further subject of the kind
  std::vector<VerdictChange> DueChanges(const std::vector<std::string>& processes,
                                        const std::function<bool(SubjectKind)>& has_room,
                                        TimePoint now);
  const CrashVerdict* Find(const CrashSubject& subject) const;

 private:
  struct Entry {
    CrashVerdict verdict;
    TimePoint changed_at{};
    TimePoint refused_at{};
    bool proven = false;
    bool failed = false;
    /// Outcome of the trial with this revision.
    std::int64_t ended_revision = 0;
    TrialOutcome outcome = TrialOutcome::kUnsent;
  };
  struct Ask {
    std::string process;
    TimePoint at{};
  };

  std::optional<VerdictChange> DueForPart(const Entry& entry,
                                          const std::vector<std::string>& processes,
                                          TimePoint now) const;
  std::optional<VerdictChange> DueForRequest(const Entry& entry,
                                             const std::vector<std::string>& processes,
                                             TimePoint now) const;

  std::map<CrashSubject, Entry> entries_;
  std::map<CrashSubject, Ask> asks_;
};

}  // namespace wagtailslip::serving
