#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// What of a request may be the cause of endpoints' ends.
enum class SubjectKind {
  kPromptPart,  ///< A part of the prompt, which requests may share.
  kRequest,     ///< The request as a whole: account, method, path with query, and body.
};
inline constexpr EnumTable<SubjectKind, 2> kSubjectKinds{
    {{{SubjectKind::kPromptPart, "prompt-part"}, {SubjectKind::kRequest, "request"}}}};

struct CrashSubject {
  SubjectKind kind = SubjectKind::kPromptPart;
  /// Id of the part, or RequestKey().
  std::string id;

  auto operator<=>(const CrashSubject&) const = default;
};

/// How subjects of a kind are judged.
struct SubjectPolicy {
  SubjectKind kind;
  /// Names in responses, state dumps and calls of operators.
  std::string_view condemned_reason;
  std::string_view suspect_reason;
  std::string_view dump_name;
  /// Time after which an end counts no more.
  Duration end_ttl;
  /// Bounds on the subjects with evidence and on the verdicts in force.
  std::size_t max_subjects;
  std::size_t max_verdicts;
  /// Trials that the leader grants, one at a time over all processes, before only a few more follow
  /// at growing intervals; 0 if each process tries suspects by itself.
  std::uint32_t granted_trials;
  /// Time without requests after which the verdict on a subject that was tried is lifted.
  Duration unused_ttl;

  bool grants_trials() const { return granted_trials > 0; }
};

// A request under which endpoints end may come back after hours, so its verdict stays longer than
// that on a part, which sound requests share.
inline constexpr std::array<SubjectPolicy, 2> kSubjectPolicies{{
    {SubjectKind::kPromptPart, "condemned-prompt-part", "suspect-prompt-part", "prompt_parts",
     std::chrono::seconds(60), 1024, 64, 0, std::chrono::minutes(10)},
    {SubjectKind::kRequest, "condemned-request", "suspect-request", "requests",
     std::chrono::minutes(10), 8192, 256, 3, std::chrono::hours(24)},
}};

constexpr const SubjectPolicy& PolicyOf(SubjectKind kind) {
  return kSubjectPolicies[static_cast<std::size_t>(kind)];
}
inline const SubjectPolicy& PolicyOf(const CrashSubject& subject) { return PolicyOf(subject.kind); }

}  // namespace wagtailslip::serving
