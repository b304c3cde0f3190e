#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// An attempt that was at an engine, without proof that the engine can serve it, when the engine
/// ended.
struct EndedAttempt {
  /// Address of the engine, and start of its incarnation.
  std::string engine;
  std::int64_t started_ms = 0;
  TimePoint at{};
  /// Parts of the prompt but the last, in order.
  std::vector<std::string> parts;
};

/// A part of a prompt that may be the cause of engines' ends.
struct SuspectPart {
  std::string part;
  /// Engines that ended with an unproven attempt of a request with the part.
  std::uint32_t ends = 0;
};

/// Finds the parts of prompts under which engines end.
///
/// An attempt is proven once its engine has generated several events of it: what it does with the
/// prompt did not end the engine. A part with a recent proof is cleared, however many engines end
/// beside it. A part is condemned if engines have ended under its attempts at several separate
/// times, none of its attempts was proven, and this is too unlikely for a sound part, of which as
/// many attempts are ended as of all others.
class PartEvidence {
 public:
  /// Number of ends from which on a part is a suspect.
  static constexpr std::uint32_t kSuspectEnds = 2;

  /// Adds attempts that were proven, and ended ones, since the last call; over all parts.
  void AddTotals(std::uint64_t proven, std::uint64_t ended, TimePoint now);
  /// @return false if the attempt is explained by a condemned part
  bool AddEnd(const EndedAttempt& attempt, TimePoint now);
  /// An attempt with the part was proven at the given time.
  void AddProof(const std::string& part, TimePoint at, TimePoint now);
  /// The part to condemn, which explains the ends of others beside it from then on; empty if there
  /// is none.
  std::string Condemn(TimePoint now);
  /// A part that others have condemned.
  void SetCondemned(const std::string& part);
  /// Forgets everything about a part.
  void Forget(const std::string& part) { parts_.erase(part); }
  /// Ends that count against a part; 0 if it is cleared.
  std::uint32_t Ends(const std::string& part, TimePoint now) const;
  /// Parts with at least kSuspectEnds.
  std::vector<SuspectPart> Suspects(TimePoint now) const;
  /// Removes what no longer counts.
  void Expire(TimePoint now);
  std::size_t size() const { return parts_.size(); }

 private:
  using EngineRun = std::pair<std::string, std::int64_t>;
  struct End {
    EngineRun engine;
    TimePoint at{};
  };
  struct Part {
    std::deque<End> ends;
    /// Attempts in `ends`, of which several may have been at one engine.
    std::uint32_t attempts = 0;
    TimePoint proven_at{};
    /// Largest position in a prompt.
    std::size_t position = 0;
    bool condemned = false;
  };
  /// Attempts over all parts in an interval.
  struct Interval {
    TimePoint from{};
    std::uint64_t proven = 0;
    std::uint64_t ended = 0;
  };

  static bool Cleared(const Part& part, TimePoint now);
  /// Number of separate times at which engines ended under the part.
  static std::uint32_t SeparateTimes(const Part& part);
  /// Whether engines ended under the part often enough, and at separate times.
  static bool EndsRepeatedly(const Part& part);
  bool MustBeGuilty(const Part& part) const;
  /// Share of the attempts of other parts since the given time that were ended.
  double EndedShare(const Part& part) const;
  void ExplainEnds(const Part& condemned, const std::string& name);
  /// Removes the weakest part if there are too many.
  void MakeRoom();

  std::map<std::string, Part> parts_;
  std::deque<Interval> totals_;
};

}  // namespace wagtailslip::serving
