#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/crash_evidence.h"
#include "wagtailslip/serving/crash_judge.h"
#include "wagtailslip/serving/crash_verdicts.h"

namespace wagtailslip::serving {

/// Whether a request may be sent, judged by its subjects.
struct CrashDecision {
  enum class Kind {
    kFree,
    kTrial,      ///< Subjects are suspects; this request tries them. EndTrial must follow for each.
    kWait,       ///< A subject is a suspect, and this request may not try it now.
    kCondemned,  ///< Endpoints end under a subject.
  };
  Kind kind = Kind::kFree;
  /// The subject that decided.
  CrashSubject subject;
  /// kTrial: the subjects that the request tries.
  std::vector<CrashSubject> trials;
  /// kWait: time until the request should come back.
  Duration retry_after{};
  /// kWait: a trial was asked for, or another one runs, so that another decision may come soon.
  bool may_end_soon = false;
};

/// Keeps requests from endpoints that would end under them; one in each ingress process. It applies
/// the verdicts of the control processes, lets requests with suspect subjects through as trials,
/// and collects the evidence: attempts whose endpoint ended, and attempts that are proven.
class CrashGuard {
 public:
  struct KindCounters {
    std::uint64_t refused = 0;
    std::uint64_t held_back = 0;
    std::uint64_t trials = 0;
  };
  struct Counters {
    std::array<KindCounters, kSubjectPolicies.size()> kinds;
    std::uint64_t ended_attempts = 0;

    const KindCounters& Of(SubjectKind kind) const { return kinds[static_cast<std::size_t>(kind)]; }
  };

  /// @param self this process, with its incarnation
  explicit CrashGuard(std::string self = {}) : self_(std::move(self)) {}

  /// Whether requests with this prehash may have evidence or a verdict, so that the key is needed.
  bool TracksRequest(std::uint64_t prehash);
  /// Whether a request with these subjects may be sent now.
  /// @param processes ingress processes that try the same suspects
  CrashDecision Admit(const std::vector<CrashSubject>& subjects, std::size_t processes,
                      TimePoint now);
  /// The subject that keeps a request on its way from being sent; nothing if there is none.
  /// @param trials subjects that the request tries
  std::optional<CrashSubject> Blocked(const std::vector<CrashSubject>& subjects,
                                      const std::vector<CrashSubject>& trials, TimePoint now) const;
  /// Whether one of the subjects is condemned, so that the request is the caller's to change.
  bool Condemned(const CrashSubject& subject) const;
  /// Whether one of the subjects is a suspect.
  bool Suspicious(const std::vector<CrashSubject>& subjects, TimePoint now) const;
  /// A request that tries these subjects is sent; must follow Blocked without other calls between.
  void OnSent(const std::vector<CrashSubject>& trials);
  /// The request of a kTrial decision has ended.
  void EndTrial(const CrashSubject& subject);

  /// An attempt has got beyond kStarting.
  void OnBegun(const std::string& service, TimePoint now);
  /// The response of an attempt is whole.
  /// @param proven subjects of which this is a proof; none if another endpoint began the response
  void OnDelivered(const std::vector<CrashSubject>& proven, const std::string& service,
                   TimePoint now);
  /// The connection of an attempt broke. Whether its endpoint ended is not known yet.
  void OnBroken(EndedAttempt attempt, TimePoint now);
  /// The caller of an attempt left. If its endpoint ends at once, the attempt may be the
  /// cause all the same.
  void OnCallerLeft(EndedAttempt attempt, TimePoint now);
  /// The endpoint of a broken attempt cannot be reached to find out whether it ended.
  void OnUnreachable(const EndedAttempt& attempt, TimePoint now);
  /// The endpoint with this address refuses connections, or another incarnation runs there.
  void OnEndpointEnded(const std::string& endpoint, std::int64_t started_ms, TimePoint now);
  /// Another incarnation of the endpoint has announced itself.
  void OnIncarnation(const std::string& endpoint, std::int64_t started_ms, TimePoint now);
  /// Whether the end of this incarnation is known.
  bool KnownEnded(const std::string& endpoint, std::int64_t started_ms) const;

  /// Verdicts of the control processes; an older list is ignored.
  /// @return whether the list was newer
  bool SetVerdicts(CrashVerdictList list, TimePoint now);
  /// Suspects of the leading control process.
  void SetSuspects(std::vector<SuspectSubject> suspects, TimePoint now);

  /// Whether no control process can be reached. What this process has seen itself decides then.
  void SetIsolated(bool isolated) { isolated_ = isolated; }
  /// The next report.
  /// @param processes ingress processes that report
  std::optional<CrashReport> NextReport(std::size_t processes, TimePoint now);
  const std::map<CrashSubject, CrashVerdict>& verdicts() const { return verdicts_; }
  const Counters& counters() const { return counters_; }
  /// Parts with a known proof; for dumps and tests.
  std::size_t proven_parts() const { return proven_.size(); }

 private:
  /// Trials of a part, which each process paces by itself.
  struct PacedTrial {
    bool running = false;
    /// When the last one began.
    TimePoint begun_at{};
  };
  /// A trial of a request that this process may send.
  struct Grant {
    /// CrashVerdict::revision of the grant.
    std::int64_t revision = 0;
    TimePoint received_at{};
    /// A request tries the subject.
    bool taken = false;
    bool sent = false;
    bool ended = false;
  };
  struct ProvenPart {
    TimePoint at{};
    std::list<std::string>::iterator position;
  };
  struct UnclearAttempt {
    EndedAttempt attempt;
    bool caller_left = false;
  };
  using EndpointRun = std::pair<std::string, std::int64_t>;

  /// Whether requests with the subject are refused, as it is condemned or tried elsewhere.
  bool Refused(const CrashSubject& subject) const;
  /// Whether requests with the subject need a granted trial.
  bool NeedsGrant(const CrashSubject& subject, TimePoint now) const;
  /// The grant for a subject if a request may still be sent with it; otherwise null.
  const Grant* UsableGrant(const CrashSubject& subject) const;
  CrashDecision Wait(const CrashSubject& subject, TimePoint now);
  /// Time between two trials of a suspect part by this process.
  Duration TrialInterval(const CrashSubject& subject, std::size_t processes, TimePoint now) const;
  /// The last trial of a part; for a new one, as if it had begun less than `interval` ago.
  PacedTrial& TrialOf(const CrashSubject& subject, Duration interval, TimePoint now);
  void EndGrant(const CrashSubject& subject, Grant& grant, TrialOutcome outcome);
  void RememberProof(const std::string& part, TimePoint now);
  void AddEnd(const EndedAttempt& attempt, TimePoint now);
  void AddTotals(const std::string& service, const AttemptTotals& totals, TimePoint now);
  void AddUnclear(EndedAttempt attempt, bool caller_left);
  void Expire(TimePoint now);
  void EndUnusedGrants(TimePoint now);
  std::uint32_t Ends(const CrashSubject& subject, TimePoint now) const;
  /// Whether the leader needs the attempts of others to judge a subject.
  bool TotalsWanted() const;
  KindCounters& CountersOf(const CrashSubject& subject) {
    return counters_.kinds[static_cast<std::size_t>(subject.kind)];
  }

  std::string self_;
  /// What this process has seen itself; enough to condemn while no control process can be reached.
  CrashEvidence own_;
  std::map<CrashSubject, TimePoint> own_verdicts_;
  bool isolated_ = false;
  std::map<CrashSubject, std::uint32_t> shared_suspects_;
  TimePoint shared_suspects_at_{};
  std::map<CrashSubject, CrashVerdict> verdicts_;
  std::int64_t verdicts_revision_ = 0;
  std::map<CrashSubject, PacedTrial> trials_;
  std::map<CrashSubject, Grant> grants_;
  /// When a trial of the subject was asked for last.
  std::map<CrashSubject, TimePoint> asked_;
  /// Prehashes of the requests with evidence or a verdict; rebuilt when it is stale.
  std::unordered_set<std::uint64_t> tracked_;
  bool tracked_stale_ = false;
  /// Parts by the time of their last proof, the most recent first in the list.
  std::unordered_map<std::string, ProvenPart> proven_;
  std::list<std::string> proven_order_;
  std::deque<UnclearAttempt> unclear_;
  std::map<EndpointRun, TimePoint> ended_;
  CrashReport report_;
  /// Ends that no report has had room for.
  std::deque<EndedAttempt> unreported_ends_;
  std::map<CrashSubject, TimePoint> refused_;
  TimePoint last_report_at_{};
  TimePoint next_expiry_{};
  Counters counters_;
};

}  // namespace wagtailslip::serving
