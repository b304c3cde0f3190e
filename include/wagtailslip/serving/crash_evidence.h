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

/// Stage of a response, by the events that its endpoint has generated: an index into kStageStarts.
/// A plain response has no events before it is whole.
using AttemptStage = std::size_t;
/// Number of events from which on a response is at a stage. The first event may still leave an
/// engine that ends under the request.
inline constexpr std::array<std::uint64_t, 11> kStageStarts{0, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64};
/// The stage before the response has begun.
inline constexpr AttemptStage kStarting = 0;
AttemptStage StageOf(std::uint64_t events);

/// Attempts at a service, by what became of them.
struct AttemptTotals {
  /// Got beyond kStarting, whatever became of them later.
  std::uint64_t begun = 0;
  std::uint64_t delivered = 0;
  /// Ended with their endpoint, by stage.
  std::array<std::uint64_t, kStageStarts.size()> ended{};

  void Add(const AttemptTotals& other);
  /// Number that ended at a stage or before it.
  std::uint64_t EndedBy(AttemptStage stage) const;
  /// Number that is known to have got beyond a stage.
  std::uint64_t Beyond(AttemptStage stage) const;
};

/// An attempt whose response was not whole yet when its endpoint ended.
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
  /// Events that the endpoint had generated.
  std::uint64_t events = 0;
};

/// A subject that may be the cause of endpoints' ends.
struct SuspectSubject {
  CrashSubject subject;
  /// Endpoints that ended with an attempt of it.
  std::uint32_t ends = 0;
};

/// Finds the subjects under which endpoints end.
///
/// An attempt is a proof once its endpoint has generated the whole response: an endpoint may end
/// under a subject at any event. A subject with a recent proof is cleared, however many endpoints
/// end beside it. A subject is condemned if endpoints have ended under its attempts at several
/// separate times, there was no proof, and this is too unlikely for a sound subject, of which as
/// many attempts end by the same stage as of all others at the service.
class CrashEvidence {
 public:
  /// Number of ends from which on a subject is a suspect.
  static constexpr std::uint32_t kSuspectEnds = 2;

  /// Adds attempts at a service since the last call.
  void AddTotals(const std::string& service, const AttemptTotals& totals, TimePoint now);
  /// @return false if the attempt is explained by a condemned subject
  bool AddEnd(const EndedAttempt& attempt, TimePoint now);
  /// The response of an attempt with the subject was whole at the given time.
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
    /// The latest of the attempts at this endpoint.
    AttemptStage stage = kStarting;
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
    AttemptTotals totals;
  };

  static bool SameEnd(const End& end, const EndpointRun& run, TimePoint at);
  static bool Cleared(const State& state, TimePoint now);
  static std::size_t ConfirmedEnds(const State& state);
  /// Number of separate times at which endpoints ended under the subject.
  static std::uint32_t SeparateTimes(const State& state);
  /// Whether endpoints ended under the subject often enough, and at separate times.
  static bool EndsRepeatedly(const State& state);
  bool MustBeGuilty(const CrashSubject& subject, const State& state) const;
  /// Stage by which all attempts of the subject had ended.
  static AttemptStage LatestStage(const State& state);
  /// Share of the attempts of other subjects, in the time of the ends, that ended by the same
  /// stage.
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
