// Parts of prompts under which engines end: who is condemned, when, and what sound requests notice.
#include "wagtailslip/serving/crash_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "wagtailslip/serving/crash_evidence.h"
#include "wagtailslip/serving/crash_verdicts.h"

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Time after the fifth end within which the verdict must be in force.
constexpr Duration kContact = seconds(3);
constexpr std::size_t kAllowedAfterContact = 3;
constexpr std::uint64_t kRandomRuns = 24;

/// Troubles of a run; each span counts for a share of the processes or engines, drawn by the seed.
enum class Trouble {
  kEnginesKilled,    ///< Engines end at the start of the span for another reason.
  kProcessesKilled,  ///< Ingress processes end and start again without memory.
  kCutOff,           ///< No message between ingress and control processes arrives.
  kNoLeader,         ///< No control process leads; afterwards another one does.
};

struct TroubleSpan {
  Trouble trouble = Trouble::kEnginesKilled;
  Duration from{};
  Duration to{};
  double share = 1;
};

struct Scenario {
  std::string name;
  std::size_t processes = 4;
  std::size_t engines = 14;
  double requests = 170;
  /// Guilty parts, and the share of all requests that have one of them.
  std::size_t guilty = 1;
  double guilty_share = 0.02;
  /// Time from the first event of an answer on a guilty part to the end of its engine. Several
  /// times take turns.
  std::vector<Duration> ends_after{Duration::zero()};
  /// Share of the sound requests with the same part, and when they begin.
  double hot_share = 0;
  Duration hot_from{};
  std::vector<TroubleSpan> troubles;
  Duration length = seconds(25);
  std::uint64_t seed = 1;
};

/// What happened to a guilty part.
struct GuiltyPart {
  /// Ends of engines under its requests, and the times at which processes that had not been
  /// restarted within the contact time sent its requests.
  std::vector<TimePoint> ends;
  std::vector<TimePoint> sent;
  /// When the last process had the verdict.
  TimePoint in_force{};
};

struct Result {
  std::map<std::string, GuiltyPart> guilty;
  std::set<std::string> condemned;
  std::size_t engines_ended = 0;
  std::size_t sound = 0;
  std::size_t sound_begun = 0;
};

CrashSubject Part(const std::string& id) { return {SubjectKind::kPromptPart, id}; }

std::vector<CrashSubject> Parts(const std::vector<std::string>& ids) {
  std::vector<CrashSubject> parts;
  for (const auto& it : ids) parts.push_back(Part(it));
  return parts;
}

CrashVerdict PartVerdict(const std::string& id, VerdictState state, std::uint32_t times,
                         const std::string& process) {
  return {Part(id), state, times, process, 0, 0};
}

const std::string kService = "m";
constexpr TimePoint kStart{seconds(1000)};
const char* const kGuilty = "guilty-";
constexpr Duration kStep = milliseconds(5);
constexpr Duration kNetworkDelay = milliseconds(3);
constexpr Duration kCommitTime = milliseconds(30);
constexpr Duration kEventGap = milliseconds(60);
constexpr Duration kAnswerTime = seconds(2);
constexpr Duration kEngineDownTime = milliseconds(3500);
constexpr Duration kGuiltyFrom = seconds(4);
constexpr std::size_t kControls = 3;

/// Callers, ingress processes with the product's guards, control processes with its evidence and
/// verdicts, and engines that end under a guilty request some time after its first event; in
/// virtual time.
class Model {
 public:
  explicit Model(const Scenario& scenario)
      : scenario_(scenario),
        random_(static_cast<std::minstd_rand::result_type>(scenario.seed)),
        processes_(scenario.processes),
        engines_(scenario.engines),
        evidence_(kControls) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      processes_[i].guard = CrashGuard(Name(i));
    }
    for (const auto& it : scenario_.troubles) {
      auto& chosen = chosen_.emplace_back();
      for (std::size_t i = 0; i < std::max(scenario_.processes, scenario_.engines); ++i) {
        chosen.push_back(Draw() < it.share);
      }
    }
  }

  Result Run() {
    for (now_ = kStart; now_ < kStart + scenario_.length; now_ += kStep) {
      ApplyTroubles();
      Arrive();
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
      for (std::size_t i = 0; i < processes_.size(); ++i) TickProcess(i);
      if (leading_) TickLeader();
    }
    return std::move(result_);
  }

 private:
  struct Attempt {
    std::size_t process = 0;
    std::int64_t process_run = 0;
    std::vector<std::string> parts;
    bool guilty = false;
    bool repeated = false;
    /// When the engine generated the first event; unset before.
    TimePoint begun_at{};
    /// What earlier engines have generated of the answer.
    Duration generated{};
    std::vector<CrashSubject> trials;
  };
  struct Process {
    CrashGuard guard = CrashGuard();
    std::int64_t run = 0;
    TimePoint started_at{};
    bool connected = true;
  };
  struct Engine {
    std::int64_t started_ms = 1;
    TimePoint down_until{};
    std::map<std::uint64_t, Attempt> attempts;
  };

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void After(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  static std::string Name(std::size_t i) { return "p" + std::to_string(i); }
  static std::string Address(std::size_t i) { return "e" + std::to_string(i); }
  bool Up(const Engine& engine) const { return now_ >= engine.down_until; }

  void ApplyTroubles() {
    bool leading = true;
    for (auto& it : processes_) it.connected = true;
    for (std::size_t t = 0; t < scenario_.troubles.size(); ++t) {
      const TroubleSpan& span = scenario_.troubles[t];
      const bool begins = now_ >= kStart + span.from && now_ - kStep < kStart + span.from;
      const bool active = now_ >= kStart + span.from && now_ < kStart + span.to;
      if (span.trouble == Trouble::kNoLeader && active) leading = false;
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (begins && chosen_[t][i] && span.trouble == Trouble::kEnginesKilled) EndEngine(i);
      }
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (!chosen_[t][i]) continue;
        if (active && span.trouble == Trouble::kCutOff) processes_[i].connected = false;
        if (begins && span.trouble == Trouble::kProcessesKilled) Restart(i);
      }
    }
    if (leading && !leading_) leader_ = (leader_ + 1) % kControls;
    leading_ = leading;
  }

  void Restart(std::size_t i) {
    const std::int64_t run = processes_[i].run + 1;
    processes_[i] = Process{};
    processes_[i].guard = CrashGuard(Name(i));
    processes_[i].run = run;
    processes_[i].started_at = now_;
    // A new link brings the verdicts before the configuration, so before any request.
    processes_[i].guard.SetVerdicts(log_, now_);
  }

  std::vector<std::string> SoundParts() {
    const std::string beginning = "first-" + std::to_string(random_() % 3);
    if (now_ >= kStart + scenario_.hot_from && Draw() < scenario_.hot_share) {
      return {beginning, "hot"};
    }
    // Subjects of which a few are frequent, and parts that only one request has.
    if (Draw() < 0.3) return {beginning, "new-" + std::to_string(++last_part_)};
    const auto subject = static_cast<int>(200 * Draw() * Draw() * Draw());
    return {beginning, "subject-" + std::to_string(subject), "more-" + std::to_string(subject / 3)};
  }

  void Arrive() {
    const double mean = scenario_.requests * ToSeconds(kStep);
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
      Attempt attempt;
      attempt.process = random_() % processes_.size();
      attempt.process_run = processes_[attempt.process].run;
      attempt.guilty =
          scenario_.guilty > 0 && now_ >= kStart + kGuiltyFrom && Draw() < scenario_.guilty_share;
      attempt.parts = SoundParts();
      if (attempt.guilty) {
        attempt.parts = {attempt.parts.front(),
                         kGuilty + std::to_string(random_() % scenario_.guilty)};
      } else {
        ++result_.sound;
      }
      Admit(std::move(attempt));
    }
  }

  void Admit(Attempt attempt) {
    Process& process = processes_[attempt.process];
    const auto decision = process.guard.Admit(Parts(attempt.parts), scenario_.processes, now_);
    if (decision.kind == CrashDecision::Kind::kCondemned ||
        decision.kind == CrashDecision::Kind::kWait) {
      return;
    }
    attempt.trials = decision.trials;
    Send(std::move(attempt));
  }

  void Send(Attempt attempt) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (Up(engines_[i])) up.push_back(i);
    }
    if (up.empty()) return EndTrial(attempt);
    const std::size_t i = up[random_() % up.size()];
    const std::string guilty = attempt.guilty ? attempt.parts.back() : std::string();
    if (!guilty.empty() && now_ - processes_[attempt.process].started_at >= kContact) {
      result_.guilty[guilty].sent.push_back(now_);
    }
    const std::uint64_t id = ++last_attempt_;
    engines_[i].attempts[id] = std::move(attempt);
    const std::int64_t run = engines_[i].started_ms;
    After(milliseconds(60 + static_cast<int>(200 * Draw())), [this, i, id, run, guilty] {
      Engine& engine = engines_[i];
      if (engine.started_ms != run || !engine.attempts.contains(id)) return;
      Attempt& attempt = engine.attempts[id];
      attempt.begun_at = now_;
      After(kEventGap, [this, i, id, run] { OnBegun(i, id, run); });
      After(kAnswerTime - attempt.generated, [this, i, id, run] { Deliver(i, id, run); });
      if (!guilty.empty()) return EndUnder(guilty, i, id);
      if (!attempt.repeated) ++result_.sound_begun;
    });
  }

  /// The engine has generated the first event of a request with a guilty part. It does not end if
  /// the rest of an answer that other engines began is too short for it.
  void EndUnder(const std::string& guilty, std::size_t i, std::uint64_t id) {
    const Duration delay = scenario_.ends_after[last_guilty_++ % scenario_.ends_after.size()];
    if (delay >= kAnswerTime - engines_[i].attempts[id].generated) return;
    After(delay, [this, i, guilty, run = engines_[i].started_ms] {
      if (engines_[i].started_ms != run) return;
      result_.guilty[guilty].ends.push_back(now_);
      EndEngine(i);
    });
  }

  void EndTrial(const Attempt& attempt) {
    Process& process = processes_[attempt.process];
    if (process.run != attempt.process_run) return;
    for (const auto& it : attempt.trials) process.guard.EndTrial(it);
  }

  /// The attempt that an engine still has, if the process that sent it has not been restarted.
  std::map<std::uint64_t, Attempt>::iterator Running(std::size_t i, std::uint64_t id,
                                                     std::int64_t run) {
    Engine& engine = engines_[i];
    const auto it = engine.attempts.find(id);
    const bool ours = it != engine.attempts.end() && engine.started_ms == run &&
                      processes_[it->second.process].run == it->second.process_run;
    return ours ? it : engine.attempts.end();
  }

  void OnBegun(std::size_t i, std::uint64_t id, std::int64_t run) {
    const auto it = Running(i, id, run);
    if (it == engines_[i].attempts.end()) return;
    processes_[it->second.process].guard.OnBegun(kService, now_);
  }

  void Deliver(std::size_t i, std::uint64_t id, std::int64_t run) {
    if (const auto it = Running(i, id, run); it != engines_[i].attempts.end()) {
      const Attempt& attempt = it->second;
      const bool whole = attempt.generated == Duration::zero();
      processes_[attempt.process].guard.OnDelivered(
          whole ? Parts(attempt.parts) : std::vector<CrashSubject>(), kService, now_);
      EndTrial(attempt);
    }
    if (engines_[i].started_ms == run) engines_[i].attempts.erase(id);
  }

  void EndEngine(std::size_t i) {
    Engine& engine = engines_[i];
    if (!Up(engine)) return;
    ++result_.engines_ended;
    const std::int64_t run = engine.started_ms++;
    engine.down_until = now_ + kEngineDownTime;
    const auto attempts = std::move(engine.attempts);
    engine.attempts.clear();
    for (const auto& [id, attempt] : attempts) {
      const Duration generated =
          attempt.begun_at == TimePoint{} ? Duration::zero() : now_ - attempt.begun_at;
      const std::uint64_t events = attempt.begun_at == TimePoint{} ? 0 : 1 + generated / kEventGap;
      After(kNetworkDelay, [this, i, run, attempt = attempt, generated, events]() mutable {
        attempt.generated += generated;
        OnBroken(i, run, attempt, events);
      });
    }
  }

  void OnBroken(std::size_t i, std::int64_t run, Attempt attempt, std::uint64_t events) {
    Process& process = processes_[attempt.process];
    if (process.run != attempt.process_run) return;
    process.guard.OnBroken({Address(i), run, now_, Parts(attempt.parts), kService, true, events},
                           now_);
    process.guard.OnEndpointEnded(Address(i), run, now_);
    EndTrial(attempt);
    attempt.trials.clear();
    const auto parts = Parts(attempt.parts);
    if (attempt.repeated || process.guard.Suspicious(parts, now_) ||
        process.guard.Blocked(parts, {}, now_)) {
      return;
    }
    attempt.repeated = true;
    attempt.begun_at = TimePoint{};
    Send(std::move(attempt));
  }

  void TickProcess(std::size_t i) {
    Process& process = processes_[i];
    process.guard.SetIsolated(!process.connected);
    const auto report = process.guard.NextReport(processes_.size(), now_);
    if (!report || !process.connected) return;
    After(kNetworkDelay, [this, i, report = *report] {
      for (std::size_t c = 0; c < kControls; ++c) {
        for (const auto& [service, it] : report.totals) {
          evidence_[c].AddTotals(service, it, now_);
        }
        for (const auto& it : report.ends) evidence_[c].AddEnd(it, now_);
        for (const auto& it : report.proofs) evidence_[c].AddProof(it.subject, it.at, now_);
      }
    });
  }

  void TickLeader() {
    CrashEvidence& evidence = evidence_[leader_];
    while (const auto condemned = evidence.Condemn(now_)) {
      const std::string part = condemned->id;
      result_.condemned.insert(part);
      After(kCommitTime, [this, part] {
        ApplyVerdict(log_, PartVerdict(part, VerdictState::kCondemned, 1, {}));
        for (auto& it : evidence_) it.SetCondemned(Part(part));
        Broadcast([this, list = log_, part](CrashGuard& guard) {
          if (guard.SetVerdicts(list, now_)) result_.guilty[part].in_force = now_;
        });
      });
    }
    if (now_ < next_suspects_at_) return;
    next_suspects_at_ = now_ + milliseconds(50);
    evidence.Expire(now_);
    Broadcast([this, suspects = evidence.Suspects(now_)](CrashGuard& guard) {
      guard.SetSuspects(suspects, now_);
    });
  }

  void Broadcast(std::function<void(CrashGuard&)> message) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (!processes_[i].connected) continue;
      After(kNetworkDelay, [this, i, message] { message(processes_[i].guard); });
    }
  }

  const Scenario& scenario_;
  std::minstd_rand random_;
  TimePoint now_ = kStart;
  std::vector<Process> processes_;
  std::vector<Engine> engines_;
  std::vector<CrashEvidence> evidence_;
  CrashVerdictList log_;
  std::size_t leader_ = 0;
  bool leading_ = true;
  std::vector<std::vector<bool>> chosen_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint next_suspects_at_{};
  std::uint64_t last_attempt_ = 0;
  std::size_t last_guilty_ = 0;
  std::uint64_t last_part_ = 0;
  Result result_;
};

std::vector<TroubleSpan> Series(Trouble trouble, double share, Duration from, Duration gap, int n) {
  std::vector<TroubleSpan> spans;
  for (int i = 0; i < n; ++i)
    spans.push_back({trouble, from + gap * i, from + gap * i + gap / 2, share});
  return spans;
}

Scenario Named(std::string name) {
  Scenario scenario;
  scenario.name = std::move(name);
  return scenario;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> list;
  list.push_back(Named("one guilty part"));
  list.push_back(Named("rare guilty part"));
  list.back().guilty_share = 0.004;
  list.push_back(Named("two guilty parts"));
  list.back().guilty = 2;
  list.push_back(Named("one guilty part, engines killed beside it"));
  list.back().troubles = Series(Trouble::kEnginesKilled, 0.15, seconds(3), seconds(1), 15);
  list.push_back(Named("one guilty part, ingress processes restarted"));
  list.back().troubles = Series(Trouble::kProcessesKilled, 0.5, seconds(4), milliseconds(1500), 10);
  list.push_back(Named("one guilty part, leaders change"));
  list.back().troubles = Series(Trouble::kNoLeader, 1, milliseconds(4300), seconds(2), 8);
  const std::vector<Duration> ends_after[] = {
      {kEventGap},
      {3 * kEventGap},
      {milliseconds(600)},
      {milliseconds(1200)},
      {kAnswerTime - kEventGap},
      {Duration::zero(), kEventGap, milliseconds(500), kAnswerTime - kEventGap}};
  for (const std::size_t engines : {9, 14, 34}) {
    for (const auto& it : ends_after) {
      list.push_back(Named("engines end " + std::to_string(ToMilliseconds(it.back())) +
                           " ms after the first event, " + std::to_string(engines) + " engines"));
      list.back().engines = engines;
      list.back().requests = 12 * static_cast<double>(engines);
      list.back().ends_after = it;
    }
  }
  list.push_back(Named("one guilty part, 59 processes, 120 engines"));
  list.back().processes = 59;
  list.back().engines = 120;
  list.back().requests = 850;
  for (const std::size_t engines : {9, 34}) {
    list.push_back(
        Named("no guilty part, " + std::to_string(engines) + " engines killed in series"));
    list.back().guilty = 0;
    list.back().engines = engines;
    list.back().troubles = Series(Trouble::kEnginesKilled, 0.3, seconds(3), milliseconds(500), 40);
    list.push_back(Named("no guilty part, all engines killed beside a new hot part"));
    list.back().guilty = 0;
    list.back().engines = engines;
    list.back().hot_share = 0.4;
    list.back().hot_from = milliseconds(5800);
    list.back().troubles = Series(Trouble::kEnginesKilled, 1, seconds(6), milliseconds(3900), 5);
  }
  return list;
}

Scenario RandomScenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  };
  const auto time = [&](double least_s, double most_s) {
    return milliseconds(static_cast<int>(200 * draw(least_s, most_s)) * 5);
  };
  constexpr std::size_t kProcesses[] = {4, 16, 59};
  constexpr std::size_t kEngines[] = {9, 14, 52, 120};
  constexpr Trouble kTroubles[] = {Trouble::kEnginesKilled, Trouble::kEnginesKilled,
                                   Trouble::kProcessesKilled, Trouble::kCutOff, Trouble::kNoLeader};
  Scenario scenario = Named("seed " + std::to_string(seed));
  scenario.seed = seed;
  scenario.processes = kProcesses[random() % std::size(kProcesses)];
  scenario.engines = kEngines[random() % std::size(kEngines)];
  scenario.requests = 12 * static_cast<double>(scenario.engines) * draw(0.4, 1);
  scenario.guilty = random() % 3;
  scenario.guilty_share = std::exp(draw(std::log(0.005), std::log(0.08)));
  scenario.hot_share = draw(0, 1) < 0.5 ? 0 : draw(0.05, 0.6);
  scenario.hot_from = time(0, 15);
  for (int i = static_cast<int>(draw(0, 5)); i > 0; --i) {
    const Trouble trouble = kTroubles[random() % std::size(kTroubles)];
    const auto series =
        Series(trouble, draw(0.05, 1), time(2, 12), time(0.3, 3), 1 + static_cast<int>(draw(0, 8)));
    scenario.troubles.insert(scenario.troubles.end(), series.begin(), series.end());
  }
  scenario.ends_after.clear();
  for (int i = static_cast<int>(draw(1, 4)); i > 0; --i) {
    scenario.ends_after.push_back(
        milliseconds(static_cast<int>(draw(0, 1) * draw(0, 1) * kAnswerTime / milliseconds(1))));
  }
  return scenario;
}

/// Attempts that have begun, and others that ended before.
AttemptTotals Totals(std::uint64_t begun, std::uint64_t ended) {
  AttemptTotals totals;
  totals.begun = begun;
  totals.ended.front() = ended;
  return totals;
}

/// A part with `ends` separate ends and no proof, beside `begun` attempts of others.
CrashEvidence EvidenceWith(int ends, Duration gap, std::uint64_t begun, std::uint64_t ended) {
  CrashEvidence evidence;
  evidence.AddTotals(kService, Totals(begun, ended), kStart);
  for (int i = 0; i < ends; ++i) {
    const TimePoint at = kStart + gap * i;
    evidence.AddTotals(kService, Totals(0, 1), at);
    evidence.AddEnd({"e" + std::to_string(i), 1, at, Parts({"first", "part"}), kService, true}, at);
    evidence.AddProof(Part("first"), at + milliseconds(1), at + milliseconds(1));
  }
  return evidence;
}

struct CondemnRow {
  const char* name;
  int ends;
  Duration gap;
  std::uint64_t begun;
  std::uint64_t ended;
  bool condemned;
};
const CondemnRow kCondemnRows[] = {
    {"four ends", 4, milliseconds(400), 500, 2, false},
    {"five ends", 5, milliseconds(400), 500, 2, true},
    {"five ends at one time", 5, milliseconds(10), 500, 2, false},
    {"five ends where a tenth of all attempts is ended", 5, milliseconds(400), 500, 50, false},
    {"eight ends where a tenth of all attempts is ended", 8, milliseconds(400), 500, 50, true},
    {"ten ends where half of all attempts are ended", 10, milliseconds(400), 100, 100, false},
    {"ten ends and no proof of any request", 10, milliseconds(400), 0, 0, false},
};

/// Ends of a part at certain events, and attempts of others by the event at which they ended.
struct StageRow {
  const char* name;
  std::vector<std::uint64_t> events;
  std::uint64_t delivered;
  std::map<std::uint64_t, std::uint64_t> others_ended;
  bool condemned;
};
const StageRow kStageRows[] = {
    {"at the second event, others end later", {2, 2, 2, 2, 2}, 500, {{16, 200}}, true},
    {"at the second event, others as well", {2, 2, 2, 2, 2}, 500, {{2, 200}}, false},
    {"at the second event, others before it", {2, 2, 2, 2, 2}, 500, {{0, 200}}, false},
    {"at a late event, others seldom end", {12, 13, 14, 12, 13}, 500, {{3, 2}, {12, 2}}, true},
    {"at a late event, others often end", {12, 13, 14, 12, 13}, 500, {{3, 80}, {12, 80}}, false},
    {"once at a late event, where others often end", {2, 2, 2, 2, 16}, 500, {{16, 200}}, false},
    {"often, where others often end",
     {12, 13, 14, 12, 13, 12, 13, 14, 12, 13, 12, 13},
     500,
     {{3, 80}, {12, 80}},
     true},
    {"nothing is delivered", {12, 13, 14, 12, 13, 12, 13, 14}, 0, {{12, 20}}, false},
};

class CrashGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashGuardTest);
  CPPUNIT_TEST(CondemnsOnEnoughEvidenceOnly);
  CPPUNIT_TEST(ComparesEndsAtTheSameStage);
  CPPUNIT_TEST(ForgetsOldEnds);
  CPPUNIT_TEST(ProofClearsAPart);
  CPPUNIT_TEST(ExplainsTheEndsOfOthers);
  CPPUNIT_TEST(BoundsItsMemory);
  CPPUNIT_TEST(TriesSuspectsOneByOne);
  CPPUNIT_TEST(KeepsTheNewestVerdicts);
  CPPUNIT_TEST(ReviewsVerdicts);
  CPPUNIT_TEST(CondemnsInTime);
  CPPUNIT_TEST(CondemnsNoSoundPartInRandomRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CondemnsOnEnoughEvidenceOnly() {
    for (const auto& row : kCondemnRows) {
      auto evidence = EvidenceWith(row.ends, row.gap, row.begun, row.ended);
      const auto part = evidence.Condemn(kStart + row.gap * row.ends);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.condemned, part.has_value());
      if (part) CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("part"), part->id);
    }
  }

  // Guards against a part that is not found because its engines end after the first events, and
  // against condemning a sound part because long answers are more likely to be broken off.
  void ComparesEndsAtTheSameStage() {
    for (const auto& row : kStageRows) {
      CrashEvidence evidence;
      AttemptTotals totals;
      totals.delivered = row.delivered;
      totals.begun = row.delivered;
      for (const auto& [events, n] : row.others_ended) {
        totals.ended[StageOf(events)] += n;
        if (StageOf(events) != kStarting) totals.begun += n;
      }
      evidence.AddTotals(kService, totals, kStart);
      TimePoint at = kStart;
      for (const std::uint64_t events : row.events) {
        at += milliseconds(400);
        AttemptTotals end;
        end.ended[StageOf(events)] = 1;
        evidence.AddTotals(kService, end, at);
        const std::string endpoint = "e" + std::to_string(ToSeconds(at.time_since_epoch()));
        evidence.AddEnd({endpoint, 1, at, Parts({"part"}), kService, true, events}, at);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.condemned, evidence.Condemn(at).has_value());
    }
  }

  // Guards against a process that condemns by ends of long ago when it begins to lead.
  void ForgetsOldEnds() {
    auto evidence = EvidenceWith(20, milliseconds(400), 500, 2);
    CPPUNIT_ASSERT(!evidence.Condemn(kStart + minutes(2)));
    CPPUNIT_ASSERT(evidence.Suspects(kStart + minutes(2)).empty());
  }

  // Guards against condemning a part whose requests complete elsewhere.
  void ProofClearsAPart() {
    auto evidence = EvidenceWith(20, milliseconds(400), 500, 2);
    const TimePoint now = kStart + seconds(8);
    evidence.AddProof(Part("part"), now, now);
    CPPUNIT_ASSERT(!evidence.Condemn(now));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, evidence.Ends(Part("part"), now));
    for (int i = 0; i < 20; ++i) {
      const TimePoint at = now + milliseconds(300) * i;
      evidence.AddEnd({"f" + std::to_string(i), 1, at, Parts({"part"}), kService, true}, at);
      CPPUNIT_ASSERT(!evidence.Condemn(at));
    }
  }

  // Guards against sound parts that are suspects because they were at engines that a condemned part
  // has ended.
  void ExplainsTheEndsOfOthers() {
    auto evidence = EvidenceWith(6, milliseconds(400), 500, 2);
    const TimePoint now = kStart + seconds(3);
    evidence.AddEnd({"e1", 1, now, Parts({"beside"}), kService, true}, now);
    evidence.AddEnd({"e2", 1, now, Parts({"beside"}), kService, true}, now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, evidence.Ends(Part("beside"), now));
    CPPUNIT_ASSERT(evidence.Condemn(now) == Part("part"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, evidence.Ends(Part("beside"), now));
    evidence.AddEnd({"e9", 1, now, Parts({"other", "part"}), kService, true}, now);
    evidence.AddEnd({"e9", 1, now, Parts({"beside"}), kService, true}, now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, evidence.Ends(Part("beside"), now));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, evidence.Ends(Part("other"), now));
  }

  // Guards against memory that grows with each request that brings new parts.
  void BoundsItsMemory() {
    CrashEvidence evidence;
    CrashGuard guard = CrashGuard();
    for (int i = 0; i < 20000; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      guard.OnDelivered(Parts({"proven-" + std::to_string(i)}), kService, now);
      evidence.AddEnd(
          {"e" + std::to_string(i), 1, now, Parts({"ended-" + std::to_string(i)}), kService, true},
          now);
    }
    CPPUNIT_ASSERT(evidence.size() <= 1024);
    CPPUNIT_ASSERT(guard.proven_parts() <= 4096);
  }

  // Guards against a suspect that ends engine after engine before the verdict.
  void TriesSuspectsOneByOne() {
    CrashGuard guard("p");
    guard.SetSuspects({{Part("part"), 2}}, kStart);
    std::size_t trials = 0;
    std::size_t held_back = 0;
    for (int ms = 0; ms < 4000; ms += 10) {
      const TimePoint now = kStart + milliseconds(ms);
      const auto decision = guard.Admit(Parts({"first", "part"}), 4, now);
      if (decision.kind == CrashDecision::Kind::kTrial) {
        ++trials;
        CPPUNIT_ASSERT(guard.Admit(Parts({"part"}), 4, now).kind == CrashDecision::Kind::kWait);
        guard.EndTrial(Part("part"));
      } else {
        CPPUNIT_ASSERT(decision.kind == CrashDecision::Kind::kWait);
        CPPUNIT_ASSERT(decision.retry_after > Duration::zero());
        ++held_back;
      }
      CPPUNIT_ASSERT(guard.Admit(Parts({"first"}), 4, now).kind == CrashDecision::Kind::kFree);
    }
    CPPUNIT_ASSERT(trials >= 3 && trials <= 4);
    CPPUNIT_ASSERT(held_back > 300);
  }

  // Guards against a verdict that a late message of a control process takes back.
  void KeepsTheNewestVerdicts() {
    CrashGuard guard("p");
    const auto condemned = PartVerdict("part", VerdictState::kCondemned, 1, {});
    const auto on_trial = PartVerdict("part", VerdictState::kOnTrial, 1, "q");
    CPPUNIT_ASSERT(guard.SetVerdicts({5, {condemned}}, kStart));
    CPPUNIT_ASSERT(!guard.SetVerdicts({4, {}}, kStart));
    CPPUNIT_ASSERT(guard.Blocked(Parts({"first", "part"}), {}, kStart) == Part("part"));
    CPPUNIT_ASSERT(guard.SetVerdicts({6, {on_trial}}, kStart));
    CPPUNIT_ASSERT(guard.Blocked(Parts({"part"}), {}, kStart) == Part("part"));
    CrashGuard other("q");
    CPPUNIT_ASSERT(other.SetVerdicts({6, {on_trial}}, kStart));
    CPPUNIT_ASSERT(!other.Blocked(Parts({"part"}), {}, kStart));
    CPPUNIT_ASSERT(guard.Suspicious(Parts({"part"}), kStart));
    CPPUNIT_ASSERT(guard.SetVerdicts({7, {}}, kStart));
    CPPUNIT_ASSERT(guard.Admit(Parts({"part"}), 4, kStart).kind == CrashDecision::Kind::kFree);
  }

  // A part that nobody asks for is lifted; one that is asked for is tried by one process, at
  // growing intervals.
  void ReviewsVerdicts() {
    VerdictReview review;
    const auto no_room = [](SubjectKind) { return false; };
    const auto next = [&](const std::vector<std::string>& processes, Duration after) {
      const auto changes = review.DueChanges(processes, no_room, kStart + after);
      CPPUNIT_ASSERT(changes.size() <= 1);
      return changes.empty() ? std::optional<VerdictChange>() : changes.front();
    };
    const auto set = [&](const CrashVerdict& verdict, Duration after) {
      review.SetVerdicts({1, {verdict}}, kStart + after);
    };
    set(PartVerdict("part", VerdictState::kCondemned, 1, {}), {});
    CPPUNIT_ASSERT(!next({"p", "q"}, minutes(9)));
    const auto unused = next({"p", "q"}, minutes(10));
    CPPUNIT_ASSERT(unused && unused->reason == VerdictReason::kUnused);
    CPPUNIT_ASSERT(unused->verdict.state == VerdictState::kLifted);

    review.OnRefused(Part("part"), kStart + minutes(9));
    const auto trial = next({"p", "q"}, minutes(10));
    CPPUNIT_ASSERT(trial && trial->verdict.state == VerdictState::kOnTrial);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), trial->verdict.trial_process);
    set(trial->verdict, minutes(10));
    CPPUNIT_ASSERT(!next({"p", "q"}, minutes(11)));
    const auto moved = next({"q"}, minutes(11));
    CPPUNIT_ASSERT(moved && moved->verdict.trial_process == "q");

    review.OnEnd(Part("part"), "q");
    CPPUNIT_ASSERT(!next({"p", "q"}, minutes(11)));
    review.OnEnd(Part("part"), "p");
    const auto failed = next({"p", "q"}, minutes(11));
    CPPUNIT_ASSERT(failed && failed->verdict.state == VerdictState::kCondemned);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, failed->verdict.times);
    set(failed->verdict, minutes(12));
    review.OnRefused(Part("part"), kStart + minutes(25));
    CPPUNIT_ASSERT(!next({"p"}, minutes(31)));
    CPPUNIT_ASSERT(next({"p"}, minutes(33)));
    review.OnProof(Part("part"));
    CPPUNIT_ASSERT(!next({"p"}, minutes(31)));
    set(trial->verdict, minutes(34));
    review.OnProof(Part("part"));
    const auto passed = next({"p"}, minutes(34));
    CPPUNIT_ASSERT(passed && passed->verdict.state == VerdictState::kLifted);
    CPPUNIT_ASSERT(passed->reason == VerdictReason::kTrialPassed);
  }

  // Guards against guilty requests that reach engines after the fifth end and contact time, against
  // condemning sound parts when engines end for other reasons, and against sound requests that go
  // down with the guilty ones.
  void CondemnsInTime() {
    std::ostringstream failures;
    for (const auto& scenario : Scenarios()) Check(scenario, failures);
    CPPUNIT_ASSERT_EQUAL(std::string(), failures.str());
  }

  void CondemnsNoSoundPartInRandomRuns() {
    const char* runs = std::getenv("WTS_PART_RUNS");
    const std::uint64_t last = runs == nullptr ? kRandomRuns : std::strtoull(runs, nullptr, 10);
    std::ostringstream failures;
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
      Check(RandomScenario(seed), failures);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures.str());
  }

 private:
  static void Check(const Scenario& scenario, std::ostringstream& failures) {
    const Result result = Model(scenario).Run();
    for (const auto& part : result.condemned) {
      if (!part.starts_with(kGuilty)) failures << scenario.name << ": condemned " << part << "\n";
    }
    if (scenario.guilty == 0) return;
    // Cut off processes and those without a leader are not bound to the time.
    const bool in_touch =
        std::none_of(scenario.troubles.begin(), scenario.troubles.end(), [](const auto& it) {
          return it.trouble == Trouble::kCutOff || it.trouble == Trouble::kNoLeader;
        });
    for (const auto& [part, it] : result.guilty) {
      if (it.ends.size() < 5 || !in_touch) continue;
      const auto late = static_cast<std::size_t>(
          std::count_if(it.sent.begin(), it.sent.end(),
                        [bound = it.ends[4] + kContact](TimePoint at) { return at > bound; }));
      if (late <= kAllowedAfterContact) continue;
      failures << scenario.name << ": " << late << " requests with " << part << " too late, "
               << it.ends.size() << " ends, verdict " << ToSeconds(it.in_force - it.ends[4])
               << " s after the fifth\n";
    }
    const bool engines_killed =
        std::any_of(scenario.troubles.begin(), scenario.troubles.end(),
                    [](const auto& it) { return it.trouble == Trouble::kEnginesKilled; });
    if (engines_killed || 2 * result.sound_begun >= result.sound) return;
    failures << scenario.name << ": " << result.sound_begun << " of " << result.sound
             << " sound requests begun\n";
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrashGuardTest);

}  // namespace
}  // namespace wagtailslip::serving
