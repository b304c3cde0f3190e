// Requests under which endpoints end: how often they are sent, and what sound requests notice. Runs
// the decisions of ingress and control processes in virtual time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "wagtailslip/serving/crash_guard.h"
#include "wagtailslip/serving/crash_judge.h"
#include "wagtailslip/serving/request_key.h"

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// From the third end on, requests sent later than the contact time may reach endpoints three times.
constexpr std::size_t kEndsOfRule = 3;
constexpr Duration kContact = seconds(3);
constexpr std::size_t kAllowedSends = 3;
constexpr std::uint64_t kRandomRuns = 12;
/// 38 condemned a sound part of which no attempt was proven while most endpoints were killed again
/// and again, by attempts of others long after.
constexpr std::uint64_t kSeedsOfFaults[] = {38};

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kStep = milliseconds(5);
constexpr Duration kNetworkDelay = milliseconds(3);
constexpr Duration kCommitTime = milliseconds(30);
// After this time a proposal counts as failed, whether or not it is committed.
constexpr Duration kCommitTimeout = milliseconds(1800);
constexpr Duration kDownTime = milliseconds(3500);
constexpr Duration kGuiltyFrom = seconds(4);
constexpr Duration kTrialWait = milliseconds(300);
constexpr Duration kTrialPoll = milliseconds(10);
constexpr std::size_t kControls = 3;
const std::string kService = "m";
const char* const kGuilty = "guilty-";
const char* const kSound = "sound-";

RequestIdentity Identity(const std::string& body) { return {"account", "POST", "/m/1", body}; }

CrashSubject Request(const std::string& body) {
  return {SubjectKind::kRequest, RequestKey(Identity(body))};
}

enum class Trouble {
  kEndpointsKilled,  ///< Endpoints end at the start of the span for another reason.
  kProcessesKilled,  ///< Ingress processes end and start again without memory.
  kProcessesFrozen,
  kCutOff,          ///< No message between ingress and control processes arrives.
  kReportsLost,     ///< Each message between them is lost with a probability of a half.
  kNoLeader,        ///< No control process leads; afterwards another one does.
  kCommitsUnclear,  ///< Commits succeed, and the leader is told that they did not.
};

struct TroubleSpan {
  Trouble trouble = Trouble::kEndpointsKilled;
  Duration from{};
  Duration to{};
  double share = 1;
};

struct Scenario {
  std::string name;
  std::size_t processes = 4;
  std::size_t endpoints = 14;
  /// Requests a second.
  double requests = 170;
  /// Endpoints write events; otherwise only the whole response proves an attempt.
  bool engines = true;
  /// Ingress processes repeat requests once.
  bool repeatable = true;
  std::size_t guilty = 1;
  double guilty_share = 0.02;
  /// Share of the sound requests with a part under which engines end.
  double guilty_part_share = 0;
  /// Share of the sound requests that are the same one.
  double hot_share = 0;
  std::vector<TroubleSpan> troubles;
  Duration length = seconds(25);
  std::uint64_t seed = 1;
  /// False leaves out the request as a subject, as before it was judged.
  bool judges_requests = true;
};

/// What happened to a guilty request.
struct GuiltyRequest {
  std::vector<TimePoint> ends;
  /// Sends by processes that were in touch, and sends as trials by any.
  std::vector<TimePoint> sent;
  std::size_t trials = 0;
};

struct Result {
  std::map<std::string, GuiltyRequest> guilty;
  std::set<std::string> condemned;
  std::size_t endpoints_ended = 0;
  std::size_t sound = 0;
  std::size_t sound_served = 0;
  std::size_t held = 0;
};

class Model {
 public:
  explicit Model(const Scenario& scenario)
      : scenario_(scenario),
        random_(static_cast<std::minstd_rand::result_type>(scenario.seed)),
        processes_(scenario.processes),
        endpoints_(scenario.endpoints),
        judges_(kControls) {
    for (std::size_t i = 0; i < processes_.size(); ++i) Start(i);
    for (const auto& it : scenario_.troubles) {
      auto& chosen = chosen_.emplace_back();
      for (std::size_t i = 0; i < std::max(scenario_.processes, scenario_.endpoints); ++i) {
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
  /// A request of a caller, and its present attempt.
  struct Attempt {
    std::string body;
    std::vector<std::string> parts;
    std::size_t process = 0;
    std::int64_t process_run = 0;
    bool proven = false;
    bool repeated = false;
    /// How often the caller has come back.
    int returns = 0;
    TimePoint arrived{};
    std::vector<CrashSubject> trials;

    bool guilty() const { return body.starts_with(kGuilty); }
  };
  struct Process {
    std::unique_ptr<CrashGuard> guard;
    std::int64_t run = 0;
    TimePoint disturbed_at{};
    bool connected = true;
    bool lossy = false;
    bool frozen = false;
  };
  struct Endpoint {
    std::int64_t started_ms = 1;
    TimePoint down_until{};
    std::map<std::uint64_t, Attempt> attempts;
  };

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void After(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  std::string Name(std::size_t i) const {
    return "p" + std::to_string(i) + "#" + std::to_string(processes_[i].run);
  }
  static std::string Address(std::size_t i) { return "e" + std::to_string(i); }
  bool Up(const Endpoint& endpoint) const { return now_ >= endpoint.down_until; }
  bool InTouch(const Process& process) const {
    return now_ - std::max(process.disturbed_at, core_disturbed_at_) >= kContact;
  }
  /// Something that a process does, once it is not frozen and unless it has restarted.
  void OnProcess(std::size_t i, Duration delay, std::function<void(Process&)> action) {
    After(delay, [this, i, run = processes_[i].run, action = std::move(action)] {
      Process& process = processes_[i];
      if (process.run != run) return;
      if (process.frozen) return OnProcess(i, kStep, action);
      action(process);
    });
  }

  std::vector<CrashSubject> Subjects(const Attempt& attempt, bool with_request = true) const {
    std::vector<CrashSubject> subjects;
    if (scenario_.engines) {
      for (const auto& it : attempt.parts) subjects.push_back({SubjectKind::kPromptPart, it});
    }
    if (scenario_.judges_requests && with_request) subjects.push_back(Request(attempt.body));
    return subjects;
  }
  /// The subjects by which a request is judged before it is sent.
  std::vector<CrashSubject> JudgedSubjects(Process& process, const Attempt& attempt) const {
    const bool tracked = process.guard->TracksRequest(RequestPrehash(Identity(attempt.body)));
    return Subjects(attempt, tracked);
  }

  void Start(std::size_t i) {
    processes_[i].guard = std::make_unique<CrashGuard>(Name(i));
    // A new link brings the verdicts before the configuration, so before any request.
    processes_[i].guard->SetVerdicts(log_, now_);
  }

  void ApplyTroubles() {
    bool leading = true;
    commits_unclear_ = false;
    for (auto& it : processes_) {
      it.connected = true;
      it.lossy = it.frozen = false;
    }
    for (std::size_t t = 0; t < scenario_.troubles.size(); ++t) {
      const TroubleSpan& span = scenario_.troubles[t];
      const bool begins = now_ >= kStart + span.from && now_ - kStep < kStart + span.from;
      const bool active = now_ >= kStart + span.from && now_ < kStart + span.to;
      if (active && span.trouble == Trouble::kNoLeader) leading = false;
      if (active && span.trouble == Trouble::kCommitsUnclear) commits_unclear_ = true;
      for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        if (begins && chosen_[t][i] && span.trouble == Trouble::kEndpointsKilled) EndEndpoint(i);
      }
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        Process& process = processes_[i];
        if (!chosen_[t][i] || !active) continue;
        if (begins && span.trouble == Trouble::kProcessesKilled) {
          ++process.run;
          Start(i);
          process.disturbed_at = now_;
        }
        process.connected = process.connected && span.trouble != Trouble::kCutOff;
        process.lossy = process.lossy || span.trouble == Trouble::kReportsLost;
        process.frozen = process.frozen || span.trouble == Trouble::kProcessesFrozen;
        if (!process.connected || process.lossy || process.frozen) process.disturbed_at = now_;
      }
    }
    if (!leading) {
      core_disturbed_at_ = now_;
      if (leading_) judges_[leader_].StopLeading();
    }
    if (leading && !leading_) leader_ = (leader_ + 1) % kControls;
    leading_ = leading;
  }

  void Arrive() {
    const double mean = scenario_.requests * ToSeconds(kStep);
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
      Attempt attempt;
      const bool guilty =
          scenario_.guilty > 0 && now_ >= kStart + kGuiltyFrom && Draw() < scenario_.guilty_share;
      attempt.parts = {"first-" + std::to_string(random_() % 3),
                       "subject-" + std::to_string(static_cast<int>(60 * Draw() * Draw()))};
      if (guilty) {
        attempt.body = kGuilty + std::to_string(random_() % scenario_.guilty);
      } else {
        attempt.body = Draw() < scenario_.hot_share ? kSound + std::string("hot")
                                                    : kSound + std::to_string(++last_body_);
        if (now_ >= kStart + kGuiltyFrom && Draw() < scenario_.guilty_part_share) {
          attempt.parts.back() = "guilty-part";
        } else {
          ++result_.sound;
        }
      }
      Come(std::move(attempt));
    }
  }

  /// The caller comes to any process, which may be frozen.
  void Come(Attempt attempt) {
    attempt.process = random_() % processes_.size();
    attempt.process_run = processes_[attempt.process].run;
    attempt.repeated = attempt.proven = false;
    attempt.trials.clear();
    const std::size_t i = attempt.process;
    OnProcess(i, kNetworkDelay, [this, attempt = std::move(attempt)](Process&) mutable {
      attempt.arrived = now_;
      Admit(std::move(attempt));
    });
  }

  void Admit(Attempt attempt) {
    Process& process = processes_[attempt.process];
    const auto decision =
        process.guard->Admit(JudgedSubjects(process, attempt), scenario_.processes, now_);
    if (decision.kind == CrashDecision::Kind::kWait) {
      if (attempt.arrived == now_) ++result_.held;
      if (decision.may_end_soon && now_ - attempt.arrived < kTrialWait) {
        const std::size_t i = attempt.process;
        return OnProcess(i, kTrialPoll,
                         [this, attempt = std::move(attempt)](Process&) { Admit(attempt); });
      }
      return Return(std::move(attempt), decision.retry_after);
    }
    if (decision.kind == CrashDecision::Kind::kCondemned) return;
    attempt.trials = decision.trials;
    Send(std::move(attempt));
  }

  /// The caller comes back later.
  void Return(Attempt attempt, Duration delay) {
    if (attempt.guilty() || ++attempt.returns > 4) return;
    After(delay, [this, attempt = std::move(attempt)] { Come(attempt); });
  }

  void Send(Attempt attempt) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      if (Up(endpoints_[i])) up.push_back(i);
    }
    if (up.empty()) {
      EndTrials(attempt);
      return Return(std::move(attempt), milliseconds(300));
    }
    const std::size_t e = up[random_() % up.size()];
    const std::size_t i = attempt.process;
    // Connecting takes time; the decision may change meanwhile.
    OnProcess(i, kNetworkDelay, [this, e, attempt = std::move(attempt)](Process& process) {
      const auto subjects = JudgedSubjects(process, attempt);
      if (process.guard->Blocked(subjects, attempt.trials, now_)) {
        EndTrials(attempt);
        return Return(attempt, milliseconds(250));
      }
      process.guard->OnSent(attempt.trials);
      Reach(e, attempt, process);
    });
  }

  void Reach(std::size_t e, const Attempt& attempt, const Process& process) {
    if (attempt.guilty()) {
      GuiltyRequest& guilty = result_.guilty[attempt.body];
      if (InTouch(process)) guilty.sent.push_back(now_);
      if (!attempt.trials.empty()) ++guilty.trials;
    }
    const std::uint64_t id = ++last_attempt_;
    Endpoint& endpoint = endpoints_[e];
    if (!Up(endpoint)) return OnBroken(e, endpoint.started_ms - 1, attempt);
    endpoint.attempts[id] = attempt;
    const std::int64_t run = endpoint.started_ms;
    const Duration begin =
        scenario_.engines ? milliseconds(60 + static_cast<int>(200 * Draw())) : milliseconds(10);
    const bool ends = attempt.guilty() || attempt.parts.back() == "guilty-part";
    After(begin, [this, e, id, run, ends, body = attempt.body] {
      Endpoint& endpoint = endpoints_[e];
      if (endpoint.started_ms != run || !endpoint.attempts.contains(id)) return;
      if (ends) {
        if (body.starts_with(kGuilty)) result_.guilty[body].ends.push_back(now_);
        return EndEndpoint(e);
      }
      After(milliseconds(scenario_.engines ? 60 : 30), [this, e, id, run] { Prove(e, id, run); });
    });
  }

  void EndTrials(const Attempt& attempt) {
    Process& process = processes_[attempt.process];
    if (process.run != attempt.process_run) return;
    for (const auto& it : attempt.trials) process.guard->EndTrial(it);
  }

  void Prove(std::size_t e, std::uint64_t id, std::int64_t run) {
    Endpoint& endpoint = endpoints_[e];
    const auto it = endpoint.attempts.find(id);
    if (endpoint.started_ms != run || it == endpoint.attempts.end()) return;
    const Attempt attempt = it->second;
    endpoint.attempts.erase(it);
    if (processes_[attempt.process].run != attempt.process_run) return;
    OnProcess(attempt.process, kNetworkDelay, [this, attempt](Process& process) {
      ++result_.sound_served;
      process.guard->OnProven(JudgedSubjects(process, attempt), kService, now_);
      EndTrials(attempt);
    });
  }

  void EndEndpoint(std::size_t e) {
    Endpoint& endpoint = endpoints_[e];
    if (!Up(endpoint)) return;
    ++result_.endpoints_ended;
    const std::int64_t run = endpoint.started_ms++;
    endpoint.down_until = now_ + kDownTime;
    const auto attempts = std::move(endpoint.attempts);
    endpoint.attempts.clear();
    for (const auto& [id, attempt] : attempts) OnBroken(e, run, attempt);
  }

  void OnBroken(std::size_t e, std::int64_t run, const Attempt& ended) {
    if (processes_[ended.process].run != ended.process_run) return;
    OnProcess(ended.process, kNetworkDelay,
              [this, e, run, attempt = ended](Process& process) mutable {
                auto& guard = *process.guard;
                guard.OnBroken({Address(e), run, now_, Subjects(attempt), kService, true}, now_);
                guard.OnEndpointEnded(Address(e), run, now_);
                EndTrials(attempt);
                const auto subjects = JudgedSubjects(process, attempt);
                if (attempt.repeated || !scenario_.repeatable || guard.Suspicious(subjects, now_) ||
                    guard.Blocked(subjects, {}, now_)) {
                  return Return(std::move(attempt), milliseconds(200));
                }
                attempt.repeated = true;
                attempt.trials.clear();
                Send(std::move(attempt));
              });
  }

  bool Lost(const Process& process) {
    return !process.connected || (process.lossy && Draw() < 0.5);
  }

  void TickProcess(std::size_t i) {
    Process& process = processes_[i];
    if (process.frozen) return;
    process.guard->SetIsolated(!process.connected);
    const auto report = process.guard->NextReport(processes_.size(), now_);
    if (!report || Lost(process)) return;
    const Duration delay = kNetworkDelay + milliseconds(static_cast<int>(40 * Draw() * Draw()));
    After(delay, [this, name = Name(i), report = *report] {
      for (auto& it : judges_) it.OnReport(report, name, now_);
    });
  }

  void TickLeader() {
    CrashJudge& judge = judges_[leader_];
    std::vector<std::string> linked;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].connected) linked.push_back(Name(i));
    }
    for (const auto& it : judge.NextChanges(linked, now_)) {
      if (it.verdict.state == VerdictState::kCondemned) condemned_keys_.insert(it.verdict.subject);
      // A proposal whose outcome the leader does not learn may be committed long after.
      const Duration delay = commits_unclear_ && Draw() < 0.3 ? 2 * kCommitTimeout : kCommitTime;
      After(delay, [this, verdict = it.verdict] {
        if (!ApplyVerdict(log_, verdict)) return;
        for (auto& it : judges_) it.SetVerdicts(log_, now_);
        Broadcast([this, list = log_](CrashGuard& guard) { guard.SetVerdicts(list, now_); });
      });
      const bool told = !commits_unclear_ || Draw() < 0.5;
      After(told ? delay : kCommitTimeout, [this, leader = leader_, verdict = it.verdict, told] {
        judges_[leader].OnCommitted(verdict, told);
      });
    }
    // Every control process repeats the list, as it sends it to new links.
    if (now_ < next_broadcast_at_) return;
    next_broadcast_at_ = now_ + milliseconds(500);
    Broadcast([this, list = log_, suspects = judge.Suspects(now_)](CrashGuard& guard) {
      guard.SetVerdicts(list, now_);
      guard.SetSuspects(suspects, now_);
    });
  }

  void Broadcast(std::function<void(CrashGuard&)> message) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (Lost(processes_[i])) continue;
      OnProcess(i, kNetworkDelay, [message](Process& process) { message(*process.guard); });
    }
  }

 public:
  std::set<CrashSubject> condemned_keys() const { return condemned_keys_; }

 private:
  const Scenario& scenario_;
  std::minstd_rand random_;
  TimePoint now_ = kStart;
  std::vector<Process> processes_;
  std::vector<Endpoint> endpoints_;
  std::vector<CrashJudge> judges_;
  CrashVerdictList log_;
  std::size_t leader_ = 0;
  bool leading_ = true;
  bool commits_unclear_ = false;
  TimePoint core_disturbed_at_{};
  std::vector<std::vector<bool>> chosen_;
  std::multimap<TimePoint, std::function<void()>> events_;
  TimePoint next_broadcast_at_{};
  std::uint64_t last_attempt_ = 0;
  std::uint64_t last_body_ = 0;
  std::set<CrashSubject> condemned_keys_;
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
  const auto add = [&](const char* name) -> Scenario& { return list.emplace_back(Named(name)); };
  add("one guilty request");
  add("rare guilty request").guilty_share = 0.003;
  add("three guilty requests").guilty = 3;
  add("one guilty request beside a guilty part").guilty_part_share = 0.02;
  add("plain service, not repeated").engines = false;
  list.back().repeatable = false;
  list.back().endpoints = 3;
  list.back().requests = 40;
  add("endpoints killed beside it").troubles =
      Series(Trouble::kEndpointsKilled, 0.15, seconds(3), seconds(1), 15);
  add("ingress processes restarted").troubles =
      Series(Trouble::kProcessesKilled, 0.5, seconds(4), milliseconds(1500), 10);
  add("ingress processes frozen").troubles =
      Series(Trouble::kProcessesFrozen, 0.5, seconds(4), seconds(2), 8);
  add("messages lost").troubles = Series(Trouble::kReportsLost, 1, seconds(4), seconds(8), 1);
  add("leaders change").troubles = Series(Trouble::kNoLeader, 1, milliseconds(4300), seconds(2), 8);
  add("commits unclear").troubles = Series(Trouble::kCommitsUnclear, 1, seconds(3), seconds(20), 1);
  add("59 processes, 120 endpoints").processes = 59;
  list.back().endpoints = 120;
  list.back().requests = 850;
  add("360 processes").processes = 360;
  list.back().endpoints = 120;
  list.back().requests = 850;
  list.back().length = seconds(15);
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
  constexpr std::size_t kProcesses[] = {4, 4, 18, 59, 360};
  constexpr std::size_t kEndpoints[] = {3, 9, 14, 52, 120};
  Scenario scenario = Named("seed " + std::to_string(seed));
  scenario.seed = seed;
  scenario.processes = kProcesses[random() % std::size(kProcesses)];
  scenario.endpoints = kEndpoints[random() % std::size(kEndpoints)];
  scenario.requests = 12 * static_cast<double>(scenario.endpoints) * draw(0.4, 1);
  scenario.engines = random() % 2 == 0;
  scenario.repeatable = random() % 2 == 0;
  scenario.guilty = random() % 4;
  scenario.guilty_share = std::exp(draw(std::log(0.003), std::log(0.08)));
  scenario.guilty_part_share = random() % 4 == 0 ? draw(0.005, 0.05) : 0;
  scenario.hot_share = random() % 2 == 0 ? 0 : draw(0.05, 0.6);
  scenario.length = seconds(20);
  constexpr Trouble kTroubles[] = {Trouble::kEndpointsKilled, Trouble::kEndpointsKilled,
                                   Trouble::kProcessesKilled, Trouble::kProcessesFrozen,
                                   Trouble::kCutOff,          Trouble::kReportsLost,
                                   Trouble::kNoLeader,        Trouble::kCommitsUnclear};
  for (int i = static_cast<int>(draw(0, 6)); i > 0; --i) {
    const Trouble trouble = kTroubles[random() % std::size(kTroubles)];
    const auto series =
        Series(trouble, draw(0.05, 1), time(2, 12), time(0.3, 4), 1 + static_cast<int>(draw(0, 8)));
    scenario.troubles.insert(scenario.troubles.end(), series.begin(), series.end());
  }
  return scenario;
}

/// What a run breaks.
std::string Breaks(const Scenario& scenario) {
  Model model(scenario);
  const Result result = model.Run();
  std::ostringstream breaks;
  for (const auto& [body, it] : result.guilty) {
    if (it.trials > kAllowedSends) {
      breaks << scenario.name << ": " << it.trials << " trials of " << body << "\n";
    }
    if (it.ends.size() < kEndsOfRule) continue;
    const TimePoint bound = it.ends[kEndsOfRule - 1] + kContact;
    const auto late = static_cast<std::size_t>(std::count_if(
        it.sent.begin(), it.sent.end(), [bound](TimePoint at) { return at > bound; }));
    if (late > kAllowedSends) {
      breaks << scenario.name << ": " << late << " sends of " << body << " too late\n";
    }
  }
  std::set<CrashSubject> guilty;
  for (std::size_t i = 0; i < scenario.guilty; ++i) {
    guilty.insert(Request(kGuilty + std::to_string(i)));
  }
  for (const auto& it : model.condemned_keys()) {
    const bool guilty_part = it.kind == SubjectKind::kPromptPart && it.id == "guilty-part";
    // A request that has a guilty part ends its endpoint each time, too.
    const bool with_part = it.kind == SubjectKind::kRequest && scenario.guilty_part_share > 0;
    if (guilty.contains(it) || guilty_part || with_part) continue;
    breaks << scenario.name << ": condemned a sound " << kSubjectKinds.Name(it.kind) << "\n";
  }
  const bool calm = scenario.troubles.empty() && scenario.guilty_part_share == 0;
  if (calm && 4 * result.sound_served < 3 * result.sound) {
    breaks << scenario.name << ": " << result.sound_served << " of " << result.sound
           << " sound requests served\n";
  }
  return breaks.str();
}

/// Two ends of a request at one ingress process, so that it is held.
struct HeldRequest {
  CrashGuard guard{"p#1"};
  CrashJudge judge;
  CrashVerdictList log;
  TimePoint now = kStart;
  CrashSubject subject = Request("body");

  HeldRequest() {
    End();
    End();
    Exchange();
  }
  void End() {
    now += milliseconds(300);
    const std::string endpoint = "e" + std::to_string(++endpoints);
    guard.OnBroken({endpoint, 1, now, {subject}, kService, true}, now);
    guard.OnEndpointEnded(endpoint, 1, now);
  }
  /// Passes the report on, commits all changes, and passes the verdicts back.
  void Exchange() {
    now += milliseconds(30);
    if (const auto report = guard.NextReport(1, now)) judge.OnReport(*report, "p#1", now);
    for (const auto& it : judge.NextChanges({"p#1"}, now)) {
      ApplyVerdict(log, it.verdict);
      judge.SetVerdicts(log, now);
      judge.OnCommitted(it.verdict, true);
    }
    guard.SetVerdicts(log, now);
  }
  CrashDecision::Kind Admit() { return guard.Admit({subject}, 1, now).kind; }
  /// Asks until a trial is granted.
  bool AdmitWithin(Duration limit) {
    const TimePoint until = now + limit;
    while (now < until) {
      if (Admit() == CrashDecision::Kind::kTrial) return true;
      Exchange();
    }
    return false;
  }

  int endpoints = 0;
};

class CrashRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashRequestTest);
  CPPUNIT_TEST(KeyNamesTheWholeRequest);
  CPPUNIT_TEST(HoldsARequestFromItsSecondEnd);
  CPPUNIT_TEST(ServesASoundSuspectAfterOneTrial);
  CPPUNIT_TEST(ReturnsTrialsThatWereNotSent);
  CPPUNIT_TEST(GrantsThreeTrialsAtMost);
  CPPUNIT_TEST(RepeatedChangesGrantNothing);
  CPPUNIT_TEST(UnreachableEndpointsMakeSuspectsOnly);
  CPPUNIT_TEST(EndpointsWithoutIncarnationCount);
  CPPUNIT_TEST(HoldsWithoutALeader);
  CPPUNIT_TEST(ServicesAreJudgedApart);
  CPPUNIT_TEST(SendsStayWithinTheRule);
  CPPUNIT_TEST(SendsStayWithinTheRuleInRandomRuns);
  CPPUNIT_TEST(ModelShowsTheFaultWithoutTheGuard);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are taken for each other, and against fields that run into each
  // other.
  void KeyNamesTheWholeRequest() {
    const RequestIdentity request{"a", "POST", "/m/1", "body"};
    const std::string key = RequestKey(request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{48}, key.size());
    CPPUNIT_ASSERT_EQUAL(key, RequestKey(request));
    CPPUNIT_ASSERT_EQUAL(RequestPrehash(request), PrehashOfKey(key));
    const RequestIdentity others[] = {
        {"b", "POST", "/m/1", "body"},  {"a", "PUT", "/m/1", "body"},
        {"a", "POST", "/m/1?", "body"}, {"a", "POST", "/m/1", "bodY"},
        {"a", "POST", "/m/", "1body"},  {"aP", "OST", "/m/1", "body"}};
    for (const auto& it : others) CPPUNIT_ASSERT(RequestKey(it) != key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, PrehashOfKey("no key"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, PrehashOfKey(std::string(48, 'x')));
  }

  // Guards against sends between the second end and the commit of a verdict, and against requests
  // that were on their way at that time.
  void HoldsARequestFromItsSecondEnd() {
    CrashGuard guard("p#1");
    const CrashSubject subject = Request("body");
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(!guard.Blocked({subject}, {}, kStart));
      const std::string endpoint = "e" + std::to_string(i);
      guard.OnBroken({endpoint, 1, kStart, {subject}, kService, true}, kStart);
      guard.OnEndpointEnded(endpoint, 1, kStart);
    }
    CPPUNIT_ASSERT(guard.TracksRequest(PrehashOfKey(subject.id)));
    CPPUNIT_ASSERT(guard.Blocked({subject}, {}, kStart) == subject);
    CPPUNIT_ASSERT(guard.Admit({subject}, 4, kStart).kind == CrashDecision::Kind::kWait);
    CPPUNIT_ASSERT(guard.Suspicious({subject}, kStart));
    // Another process learns it from the log.
    HeldRequest held;
    CrashGuard other("q#1");
    other.SetVerdicts(held.log, held.now);
    CPPUNIT_ASSERT(other.Blocked({held.subject}, {}, held.now) == held.subject);
  }

  // Guards against a sound request that stays held although it can be served.
  void ServesASoundSuspectAfterOneTrial() {
    HeldRequest held;
    CPPUNIT_ASSERT(held.Admit() == CrashDecision::Kind::kWait);
    CPPUNIT_ASSERT(held.AdmitWithin(seconds(1)));
    CPPUNIT_ASSERT(held.Admit() == CrashDecision::Kind::kWait);
    CPPUNIT_ASSERT(!held.guard.Blocked({held.subject}, {held.subject}, held.now));
    held.guard.OnSent({held.subject});
    CPPUNIT_ASSERT(held.guard.Blocked({held.subject}, {held.subject}, held.now));
    held.guard.OnProven({held.subject}, kService, held.now);
    held.guard.EndTrial(held.subject);
    held.Exchange();
    CPPUNIT_ASSERT(held.log.verdicts.empty());
    CPPUNIT_ASSERT(held.Admit() == CrashDecision::Kind::kFree);
  }

  // Guards against trials that are used up by requests that were given up before they were sent.
  void ReturnsTrialsThatWereNotSent() {
    HeldRequest held;
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(held.AdmitWithin(seconds(1)));
      held.guard.EndTrial(held.subject);
      held.Exchange();
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, held.log.verdicts.front().trials);
    }
    // A grant that no request takes.
    held.Admit();
    held.Exchange();
    CPPUNIT_ASSERT(held.log.verdicts.front().state == VerdictState::kOnTrial);
    for (int i = 0; i < 40; ++i) held.Exchange();
    CPPUNIT_ASSERT(held.log.verdicts.front().state == VerdictState::kHeld);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, held.log.verdicts.front().trials);
  }

  // Guards against more sends than the rule allows where the evidence does not suffice: the request
  // is held on, and tried once more after ten minutes.
  void GrantsThreeTrialsAtMost() {
    HeldRequest held;
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(held.AdmitWithin(seconds(5)));
      held.guard.OnSent({held.subject});
      held.End();
      held.guard.EndTrial(held.subject);
      held.Exchange();
    }
    CPPUNIT_ASSERT(held.log.verdicts.front().state == VerdictState::kHeld);
    CPPUNIT_ASSERT(!held.AdmitWithin(minutes(9)));
    CPPUNIT_ASSERT(held.AdmitWithin(minutes(2)));
    held.guard.OnProven({held.subject}, kService, held.now);
    held.Exchange();
    CPPUNIT_ASSERT(held.Admit() == CrashDecision::Kind::kFree);
  }

  // Guards against a change that is committed twice, or after another one, and grants a trial anew.
  void RepeatedChangesGrantNothing() {
    CrashVerdictList list;
    const CrashSubject subject = Request("body");
    const CrashVerdict held{subject, VerdictState::kHeld, 0, {}, 0, 0};
    CPPUNIT_ASSERT(ApplyVerdict(list, held));
    CPPUNIT_ASSERT(!ApplyVerdict(list, held));
    const CrashVerdict trial{subject, VerdictState::kOnTrial, 0, "p#1", 1, list.revision};
    CPPUNIT_ASSERT(ApplyVerdict(list, trial));
    CPPUNIT_ASSERT(!ApplyVerdict(list, trial));
    const CrashVerdict spent{subject, VerdictState::kHeld, 0, {}, 1, list.revision};
    CPPUNIT_ASSERT(ApplyVerdict(list, spent));
    CPPUNIT_ASSERT(!ApplyVerdict(list, trial));
    CPPUNIT_ASSERT(list.Find(subject)->state == VerdictState::kHeld);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, list.Find(subject)->trials);
    for (std::size_t i = 0; i < 1000; ++i) {
      ApplyVerdict(list, {Request(std::to_string(i)), VerdictState::kHeld, 0, {}, 0, 0});
    }
    CPPUNIT_ASSERT_EQUAL(PolicyOf(subject).max_verdicts, list.verdicts.size());
    CPPUNIT_ASSERT(ApplyVerdict(
        list, {subject, VerdictState::kLifted, 0, {}, 0, list.Find(subject)->revision}));
    CPPUNIT_ASSERT(list.Find(subject) == nullptr);
  }

  // Guards against ends that a cut hides, and against verdicts by what is not known.
  void UnreachableEndpointsMakeSuspectsOnly() {
    CrashEvidence evidence;
    evidence.AddTotals(kService, 10000, 0, kStart);
    const CrashSubject part{SubjectKind::kPromptPart, "part"};
    const CrashSubject request = Request("body");
    for (int i = 0; i < 12; ++i) {
      const TimePoint at = kStart + milliseconds(400) * i;
      evidence.AddEnd({"e" + std::to_string(i), 1, at, {part, request}, kService, false}, at);
      CPPUNIT_ASSERT(!evidence.Condemn(at));
    }
    const TimePoint now = kStart + seconds(5);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, evidence.Ends(part, now));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, evidence.Ends(request, now));
    // The end becomes known by the next incarnation.
    for (int i = 0; i < 12; ++i) {
      const TimePoint at = kStart + milliseconds(400) * i;
      evidence.AddEnd({"e" + std::to_string(i), 1, at, {request}, kService, true}, now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{12}, evidence.Ends(request, now));
    CPPUNIT_ASSERT(evidence.Condemn(now) == request);
  }

  // Guards against an endpoint whose incarnations cannot be told apart, so that its second end
  // would count as its first.
  void EndpointsWithoutIncarnationCount() {
    CrashGuard guard("p#1");
    const CrashSubject subject = Request("body");
    for (int i = 0; i < 2; ++i) {
      const TimePoint at = kStart + seconds(4) * i;
      CPPUNIT_ASSERT(!guard.Blocked({subject}, {}, at));
      guard.OnBroken({"e", 0, at, {subject}, kService, true}, at);
      guard.OnEndpointEnded("e", 0, at);
      guard.OnBroken({"e", 0, at + milliseconds(5), {subject}, kService, true}, at);
      guard.OnEndpointEnded("e", 0, at + milliseconds(5));
    }
    CPPUNIT_ASSERT(guard.Blocked({subject}, {}, kStart + seconds(4)) == subject);
  }

  // Guards against sends by a process that no leader can grant trials.
  void HoldsWithoutALeader() {
    HeldRequest held;
    held.guard.SetIsolated(true);
    for (int i = 0; i < 1000; ++i) {
      held.now += milliseconds(100);
      held.guard.NextReport(1, held.now);
      CPPUNIT_ASSERT(held.Admit() == CrashDecision::Kind::kWait);
      CPPUNIT_ASSERT(held.guard.Blocked({held.subject}, {}, held.now));
    }
  }

  // Guards against a verdict because the endpoints of another service do not end.
  void ServicesAreJudgedApart() {
    for (const bool own : {false, true}) {
      CrashEvidence evidence;
      evidence.AddTotals(own ? kService : "other", 10000, 0, kStart);
      for (int i = 0; i < 5; ++i) {
        const TimePoint at = kStart + milliseconds(400) * i;
        evidence.AddTotals(kService, 0, 10, at);
        evidence.AddEnd({"e" + std::to_string(i), 1, at, {Request("body")}, kService, true}, at);
      }
      CPPUNIT_ASSERT_EQUAL(own, evidence.Condemn(kStart + seconds(2)).has_value());
    }
  }

  // Guards against more than three sends of a request after its third end and the contact time, and
  // against condemning sound requests.
  void SendsStayWithinTheRule() {
    std::string breaks;
    for (const auto& it : Scenarios()) breaks += Breaks(it);
    CPPUNIT_ASSERT_EQUAL(std::string(), breaks);
  }

  void SendsStayWithinTheRuleInRandomRuns() {
    const char* runs = std::getenv("WTS_CRASH_RUNS");
    const std::uint64_t last = runs == nullptr ? kRandomRuns : std::strtoull(runs, nullptr, 10);
    std::string breaks;
    for (std::uint64_t seed = 1; seed <= last; ++seed) breaks += Breaks(RandomScenario(seed));
    for (const auto seed : kSeedsOfFaults) breaks += Breaks(RandomScenario(seed));
    CPPUNIT_ASSERT_EQUAL(std::string(), breaks);
  }

  // The rows above find the fault where requests are no subjects, as before issue 41.
  void ModelShowsTheFaultWithoutTheGuard() {
    for (auto scenario : Scenarios()) {
      if (scenario.name.starts_with("rare") || scenario.processes > 4) continue;
      scenario.judges_requests = false;
      CPPUNIT_ASSERT_MESSAGE(scenario.name, !Breaks(scenario).empty());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrashRequestTest);

}  // namespace
}  // namespace wagtailslip::serving
