#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/part_evidence.h"
#include "wagtailslip/serving/part_verdicts.h"

namespace wagtailslip::serving {

/// What an ingress process reports on parts of prompts to the control processes.
struct PartReport {
  struct Proof {
    std::string part;
    TimePoint at{};
  };
  std::vector<EndedAttempt> ends;
  /// Proofs of parts that are suspects, or that have just been blamed.
  std::vector<Proof> proofs;
  /// Proven and ended attempts over all parts since the last report.
  std::uint64_t proven_attempts = 0;
  std::uint64_t ended_attempts = 0;
  /// Condemned parts that were asked for since the last report.
  std::vector<std::string> refused;
};

/// Whether a request may be sent, judged by the parts of its prompt.
struct PartDecision {
  enum class Kind {
    kFree,
    kTrial,      ///< A part is a suspect; this request may find out. EndTrial must follow.
    kWait,       ///< A part is a suspect that another request tries.
    kCondemned,  ///< A part ends engines.
  };
  Kind kind = Kind::kFree;
  /// The part that decided.
  std::string part;
  /// kWait: time until the next trial.
  Duration retry_after{};
};

/// Keeps requests from engines that would end under them; one in each ingress process. It applies
/// the verdicts of the control processes, lets requests with suspect parts through one by one, and
/// collects the evidence: attempts whose engine ended, and attempts that are proven.
class PartGuard {
 public:
  struct Counters {
    std::uint64_t held_back = 0;
    std::uint64_t trials = 0;
    std::uint64_t ended_attempts = 0;
  };

  /// Whether a request with these parts may be sent now.
  /// @param self this process
  /// @param processes ingress processes that try the same suspects
  PartDecision Admit(const std::vector<std::string>& parts, const std::string& self,
                     std::size_t processes, TimePoint now);
  /// The condemned part among these; empty if there is none. For a request on its way.
  std::string Condemned(const std::vector<std::string>& parts, const std::string& self) const;
  /// Whether one of the parts is a suspect.
  bool Suspicious(const std::vector<std::string>& parts, TimePoint now) const;
  /// The request of a kTrial decision has ended.
  void EndTrial(const std::string& part);

  /// An engine has generated several events of a request, or its whole response.
  void OnProven(const std::vector<std::string>& parts, TimePoint now);
  /// The connection of an unproven attempt broke. Whether its engine ended is not known yet.
  void OnBroken(EndedAttempt attempt, TimePoint now);
  /// The engine with this address refuses connections, or another incarnation runs there.
  void OnEngineEnded(const std::string& engine, std::int64_t started_ms, TimePoint now);
  /// Another incarnation of the engine has announced itself.
  void OnIncarnation(const std::string& engine, std::int64_t started_ms, TimePoint now);
  /// Whether the end of this incarnation is known.
  bool KnownEnded(const std::string& engine, std::int64_t started_ms) const;

  /// Verdicts of the control processes; an older list is ignored.
  /// @return whether the list was newer
  bool SetVerdicts(PartVerdictList list);
  /// Suspects of the leading control process.
  void SetSuspects(std::vector<SuspectPart> suspects, TimePoint now);

  /// Whether no control process can be reached. What this process has seen itself decides then.
  void SetIsolated(bool isolated) { isolated_ = isolated; }
  /// The next report.
  /// @param processes ingress processes that report
  std::optional<PartReport> NextReport(std::size_t processes, TimePoint now);
  const std::map<std::string, PartVerdict>& verdicts() const { return verdicts_; }
  const Counters& counters() const { return counters_; }
  /// Parts with a known proof; for dumps and tests.
  std::size_t proven_parts() const { return proven_.size(); }

 private:
  struct Trial {
    bool running = false;
    /// When the last one began.
    TimePoint begun_at{};
  };
  struct ProvenPart {
    TimePoint at{};
    std::list<std::string>::iterator position;
  };
  using EngineRun = std::pair<std::string, std::int64_t>;

  /// Time between two trials of a suspect by this process.
  Duration TrialInterval(const std::string& part, std::size_t processes, TimePoint now) const;
  /// The last trial of a part; for a new one, as if it had begun less than `interval` ago.
  Trial& TrialOf(const std::string& part, const std::string& self, Duration interval,
                 TimePoint now);
  void RememberProof(const std::string& part, TimePoint now);
  void AddEnd(const EndedAttempt& attempt, TimePoint now);
  void Expire(TimePoint now);
  std::uint32_t Ends(const std::string& part, TimePoint now) const;

  /// What this process has seen itself; enough to condemn while no control process can be reached.
  PartEvidence own_;
  std::map<std::string, TimePoint> own_verdicts_;
  bool isolated_ = false;
  std::map<std::string, std::uint32_t> shared_suspects_;
  TimePoint shared_suspects_at_{};
  std::map<std::string, PartVerdict> verdicts_;
  std::int64_t verdicts_revision_ = 0;
  std::map<std::string, Trial> trials_;
  /// Parts by the time of their last proof, the most recent first in the list.
  std::unordered_map<std::string, ProvenPart> proven_;
  std::list<std::string> proven_order_;
  std::deque<EndedAttempt> unclear_;
  std::map<EngineRun, TimePoint> ended_;
  PartReport report_;
  std::map<std::string, TimePoint> refused_;
  TimePoint last_report_at_{};
  TimePoint next_expiry_{};
  Counters counters_;
};

}  // namespace wagtailslip::serving
