#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/crash_subject.h"

namespace wagtailslip::serving {

/// An attempt that was at an endpoint, without proof that the endpoint can serve it, when the
/// endpoint ended.
struct EndedAttempt {
  /// Address of the endpoint, and start of its incarnation; 0 if it announced none.
  std::string endpoint;
  std::int64_t started_ms = 0;
  TimePoint at{};
  /// Parts of the prompt but the last, in order, and the request itself after them.
  std::vector<CrashSubject> subjects;
  std::string service;
  /// False if the endpoint could not be reached to find out whether it ended. Such an end counts
  /// against requests only, and for suspicion only.
  bool confirmed = true;
};

/// A subject that may be the cause of endpoints' ends.
struct SuspectSubject {
  CrashSubject subject;
  /// Endpoints that ended with an unproven attempt of it.
  std::uint32_t ends = 0;
};

/// Finds the subjects under which endpoints end.
///
/// An attempt is proven once its endpoint has answered so far that the subject did not end it. A
/// subject with a recent proof is cleared, however many endpoints end beside it. A subject is
/// condemned if endpoints have ended under its attempts at several separate times, none of its
/// attempts was proven, and this is too unlikely for a sound subject, of which as many attempts are
/// ended as of all others at the service.
class CrashEvidence {
 public:
  /// Number of ends from which on a subject is a suspect.
  static constexpr std::uint32_t kSuspectEnds = 2;

  /// Adds attempts at a service that were proven, and ended ones, since the last call.
  void AddTotals(const std::string& service, std::uint64_t proven, std::uint64_t ended,
                 TimePoint now);
  /// @return false if the attempt is explained by a condemned subject
  bool AddEnd(const EndedAttempt& attempt, TimePoint now);
  /// An attempt with the subject was proven at the given time.
  void AddProof(const CrashSubject& subject, TimePoint at, TimePoint now);
  /// The subject to condemn, which explains the ends of others beside it from then on.
  /// @param allowed whether a subject may be condemned
  std::optional<CrashSubject> Condemn(TimePoint now,
                                      const std::function<bool(const CrashSubject&)>& allowed = {});
  /// A subject that others have condemned.
  void SetCondemned(const CrashSubject& subject);
  /// Its verdict is not in force. Its ends stay.
  void ClearCondemned(const CrashSubject& subject);
  /// Forgets everything about a subject but a recent proof.
  void Forget(const CrashSubject& subject, TimePoint now);
  /// Ends that count against a subject; 0 if it is cleared.
  std::uint32_t Ends(const CrashSubject& subject, TimePoint now) const;
  /// Subjects with at least kSuspectEnds.
  std::vector<SuspectSubject> Suspects(TimePoint now) const;
  /// Subjects of a kind with evidence.
  std::vector<CrashSubject> Subjects(SubjectKind kind) const;
  /// Removes what no longer counts.
  void Expire(TimePoint now);
  std::size_t size() const { return subjects_.size(); }

 private:
  /// An incarnation of an endpoint.
  using EndpointRun = std::pair<std::string, std::int64_t>;
  struct End {
    EndpointRun run;
    TimePoint at{};
    bool confirmed = true;
  };
  struct State {
    std::deque<End> ends;
    /// Attempts in `ends`, of which several may have been at one endpoint.
    std::uint32_t attempts = 0;
    TimePoint proven_at{};
    /// Largest position in a prompt.
    std::size_t position = 0;
    std::string service;
    bool condemned = false;
  };
  /// Attempts at a service in an interval.
  struct Interval {
    TimePoint from{};
    std::uint64_t proven = 0;
    std::uint64_t ended = 0;
  };

  static bool SameEnd(const End& end, const EndpointRun& run, TimePoint at);
  static bool Cleared(const State& state, TimePoint now);
  static std::size_t ConfirmedEnds(const State& state);
  /// Number of separate times at which endpoints ended under the subject.
  static std::uint32_t SeparateTimes(const State& state);
  /// Whether endpoints ended under the subject often enough, and at separate times.
  static bool EndsRepeatedly(const State& state);
  bool MustBeGuilty(const CrashSubject& subject, const State& state) const;
  /// Share of the attempts of other subjects in the time of the ends that were ended.
  double EndedShare(const CrashSubject& subject, const State& state) const;
  void ExplainEnds(const State& condemned, const CrashSubject& name);
  static void ExpireEnds(const CrashSubject& subject, State& state, TimePoint now);
  /// State of a subject; a new one may take the place of the weakest of its kind.
  State& StateOf(const CrashSubject& subject);
  void Erase(std::map<CrashSubject, State>::iterator it);

  std::map<CrashSubject, State> subjects_;
  /// Number of subjects of each kind.
  std::array<std::size_t, kSubjectPolicies.size()> counts_{};
  /// Subjects that have had kSuspectEnds, and condemned ones.
  std::set<CrashSubject> repeated_;
  std::set<CrashSubject> condemned_;
  std::map<std::string, std::deque<Interval>> totals_;
};

}  // namespace wagtailslip::serving
