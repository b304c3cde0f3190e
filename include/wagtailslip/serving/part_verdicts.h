#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// What is decided on a part of prompts.
enum class PartState {
  kLifted,     ///< Nothing: the part is free again.
  kCondemned,  ///< Requests with the part are refused.
  kOnTrial,    ///< One ingress process sends single requests with the part, the others refuse them.
};
inline constexpr EnumTable<PartState, 3> kPartStates{{{{PartState::kLifted, "lifted"},
                                                       {PartState::kCondemned, "condemned"},
                                                       {PartState::kOnTrial, "on-trial"}}}};

/// Why a verdict was changed.
enum class VerdictReason { kEngineEnds, kTrialDue, kTrialPassed, kTrialFailed, kUnused, kOperator };
inline constexpr EnumTable<VerdictReason, 6> kVerdictReasons{
    {{{VerdictReason::kEngineEnds, "engine-ends"},
      {VerdictReason::kTrialDue, "trial-due"},
      {VerdictReason::kTrialPassed, "trial-passed"},
      {VerdictReason::kTrialFailed, "trial-failed"},
      {VerdictReason::kUnused, "unused"},
      {VerdictReason::kOperator, "operator"}}}};

/// A decision on a part, as the replicated log holds it.
struct PartVerdict {
  std::string part;
  PartState state = PartState::kLifted;
  /// How often the part was condemned since it was last free.
  std::uint32_t times = 0;
  /// Process that may send requests while the part is on trial.
  std::string trial_process;
};

/// All verdicts in force, with a number that grows with each change.
struct PartVerdictList {
  std::int64_t revision = 0;
  std::vector<PartVerdict> verdicts;
};

/// Most verdicts in force at a time.
inline constexpr std::size_t kMaxPartVerdicts = 64;

/// A change that the leader should commit.
struct VerdictChange {
  PartVerdict verdict;
  VerdictReason reason = VerdictReason::kEngineEnds;
};

/// When verdicts are tried again or lifted; run by the control process that leads. A condemned part
/// that nobody asks for is lifted after a while. One that is asked for is tried again at growing
/// intervals, by one process.
class VerdictReview {
 public:
  /// Takes over the verdicts that the log holds; their times count from now where they are new.
  void SetVerdicts(const std::vector<PartVerdict>& verdicts, TimePoint now);
  /// A request with a condemned part was refused.
  void OnRefused(const std::string& part, TimePoint now);
  /// The next change that is due.
  /// @param processes ingress processes that could try a part
  std::optional<VerdictChange> NextChange(const std::vector<std::string>& processes, TimePoint now);
  /// The change after an engine ended under the part, or after a proof.
  static std::optional<VerdictChange> AfterTrial(const PartVerdict& verdict, bool passed);
  const PartVerdict* Find(const std::string& part) const;

 private:
  struct Entry {
    PartVerdict verdict;
    TimePoint changed_at{};
    TimePoint refused_at{};
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace wagtailslip::serving
