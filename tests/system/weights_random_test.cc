// Loads of staged weights on control, ingress and sidecar processes over loopback, in random days
// of faults. WTS_SEED, WTS_SECONDS and WTS_DAY in the environment choose the day.
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

#include "wagtailslip/serving/swap_plan.h"
#include "weights_cluster.h"

namespace wagtailslip::system_test {
namespace {

constexpr int kControls = 3;
constexpr int kIngresses = 2;
constexpr int kMinEngines = 6;
constexpr int kMaxEngines = 14;
constexpr int kPropagationMs = 8000;
// Damage that is older than this at the load counts for the users' rule.
constexpr Duration kExcusedDamage = 3s;
// After the last fault all engines hold the newest version within the bound for its propagation
// and the time in which control processes elect a leader, links come up again and an accepted load
// command that an engine has lost is repeated.
constexpr Duration kRestartAllowance = 12s;
// Callers go on after that, so that every engine runs requests.
constexpr Duration kAfterwards = 1s;
constexpr Duration kLastEnd = 2s;
constexpr Duration kStep = 5ms;
// Short, because no event of the day happens while a command waits for its response.
constexpr Duration kPostTimeout = 500ms;
constexpr std::uint64_t kDefaultSeed = 1;
constexpr std::int64_t kDefaultSeconds = 10;
// Share of the engines and of their chunks that a fault of the users' days damages.
constexpr double kDamagedEngines = 0.3;
constexpr double kDamagedChunks = 0.06;

/// Kinds of trouble in a day.
enum class Trouble {
  kDamage,
  kDamageAtCalls,
  kSecondVersion,
  kRunningRequests,
  kSlowCalls,
  kEngineStalls,
  kEngineCrashes,
  kLostAnswers,
  kSidecarKills,
  kSidecarFreezes,
  kSidecarStops,
  kOriginFaults,
  kControlKills,
  kAllKilled,
};

struct DayRow {
  const char* name;
  std::vector<Trouble> troubles;
  /// Times as in the users' days instead of random ones.
  bool fixed_times = false;
};
const std::vector<DayRow>& DayRows() {
  using enum Trouble;
  static const std::vector<DayRow> rows{
      {"users", {kDamage, kAllKilled}, true},
      {"users-running", {kDamage, kAllKilled, kRunningRequests}, true},
      {"users-second", {kDamage, kAllKilled, kSecondVersion}, true},
      {"users-slow", {kDamage, kAllKilled, kSlowCalls}, true},
      {"users-stalls", {kDamage, kAllKilled, kEngineStalls}, true},
      {"users-crashes", {kDamage, kAllKilled, kEngineCrashes}, true},
      {"users-lost", {kDamage, kAllKilled, kLostAnswers}, true},
      {"users-kills", {kDamage, kAllKilled, kSidecarKills}, true},
      {"users-freezes", {kDamage, kAllKilled, kSidecarFreezes}, true},
      {"users-stops", {kDamage, kAllKilled, kSidecarStops}, true},
      {"users-origin", {kDamage, kAllKilled, kOriginFaults}, true},
      {"users-controls", {kDamage, kAllKilled, kControlKills}, true},
      {"users-running-kills", {kDamage, kAllKilled, kRunningRequests, kSidecarKills}, true},
      {"users-running-freezes", {kDamage, kAllKilled, kRunningRequests, kSidecarFreezes}, true},
      {"users-running-crashes", {kDamage, kAllKilled, kRunningRequests, kEngineCrashes}, true},
      {"users-running-second", {kDamage, kAllKilled, kRunningRequests, kSecondVersion}, true},
      {"calls", {kDamage, kDamageAtCalls}},
      {"mix",
       {kDamage, kDamageAtCalls, kSecondVersion, kRunningRequests, kSlowCalls, kEngineStalls,
        kEngineCrashes, kLostAnswers, kSidecarKills, kSidecarFreezes, kSidecarStops, kOriginFaults,
        kControlKills, kAllKilled}},
  };
  return rows;
}

std::int64_t FromEnvironment(const char* name, std::int64_t missing) {
  const char* text = getenv(name);
  return text == nullptr ? missing : std::atoll(text);
}

TimePoint Now() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

/// Numbers that follow from the seed alone.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine_(seed) {}
  std::int64_t Between(std::int64_t first, std::int64_t last) {
    return first +
           static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(last - first + 1));
  }
  Duration Time(Duration first, Duration last) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return milliseconds(Between(duration_cast<milliseconds>(first).count(),
                                duration_cast<milliseconds>(last).count()));
  }
  bool OneOf(int n) { return Between(1, n) == 1; }

 private:
  std::mt19937_64 engine_;
};

/// What happened when. Safe from any thread.
class EventLog {
 public:
  explicit EventLog(TimePoint start) : start_(start) {}
  void Add(const std::string& text) { AddAt(Now() - start_, text); }
  void AddAt(Duration at, const std::string& text) {
    const std::lock_guard lock(mutex_);
    events_.emplace(at, text);
  }
  TimePoint start() const { return start_; }
  std::string Text() const {
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto& [at, text] : events_) {
      out << static_cast<std::int64_t>(ToMilliseconds(at)) << " ms: " << text << "\n";
    }
    return out.str();
  }

 private:
  TimePoint start_;
  mutable std::mutex mutex_;
  std::multimap<Duration, std::string> events_;
};

enum class Damage { kSpoil, kLose, kOverwrite };
constexpr std::array<const char*, 3> kDamageNames{"spoils", "loses", "overwrites"};

/// Does something at one of the next calls that an engine receives.
struct CallTrap {
  EngineCall call = EngineCall::kReadStaged;
  /// Calls of this kind that pass before.
  std::int64_t passes = 0;
  Damage damage = Damage::kSpoil;
  std::uint32_t chunk = 0;
  CallFault fault;
  bool crash = false;
};

/// Faults of the calls to one engine. Safe from any thread.
class EngineFaults {
 public:
  EngineFaults(EventLog& log, std::string id) : log_(log), id_(std::move(id)) {}
  void Add(const CallTrap& trap) {
    const std::lock_guard lock(mutex_);
    traps_.push_back(trap);
  }
  void SlowDown(Duration delay) {
    const std::lock_guard lock(mutex_);
    delay_ = delay;
  }
  void LoseAnswers(unsigned one_of, Duration late) {
    const std::lock_guard lock(mutex_);
    lose_one_of_ = one_of;
    late_ = late;
  }
  /// Calls are answered as usual from now on.
  void Disarm() {
    const std::lock_guard lock(mutex_);
    traps_.clear();
    delay_ = {};
    lose_one_of_ = 0;
  }
  CallFault OnCall(WeightsEngine& engine, const EngineCallInfo& info) {
    const std::lock_guard lock(mutex_);
    CallFault fault;
    fault.delay = delay_;
    if (lose_one_of_ != 0 && ++calls_ % lose_one_of_ == 0) {
      fault.lose_answer = true;
      fault.delay = late_;
    }
    if (info.call == EngineCall::kLoad) {
      log_.Add(id_ + " receives a load command for version " + std::to_string(info.version));
    }
    for (auto it = traps_.begin(); it != traps_.end(); ++it) {
      if (it->call != info.call || it->passes-- > 0) continue;
      const CallTrap trap = *it;
      traps_.erase(it);
      Inflict(engine, trap.damage, trap.chunk);
      if (trap.fault.pause > Duration::zero()) log_.Add(id_ + " stalls at a call");
      if (trap.fault.lose_answer) log_.Add(id_ + " loses an answer");
      if (trap.crash) {
        log_.Add(id_ + " restarts at a call");
        engine.Restart();
      }
      return trap.fault;
    }
    return fault;
  }
  void Inflict(WeightsEngine& engine, Damage damage, std::uint32_t chunk) {
    log_.Add(id_ + " " + kDamageNames[static_cast<std::size_t>(damage)] + " chunk " +
             std::to_string(chunk));
    if (damage == Damage::kSpoil) engine.Spoil(chunk);
    if (damage == Damage::kLose) engine.Lose(chunk);
    if (damage == Damage::kOverwrite) engine.Overwrite(chunk, 1);
  }

 private:
  EventLog& log_;
  std::string id_;
  std::mutex mutex_;
  std::vector<CallTrap> traps_;
  Duration delay_{};
  unsigned lose_one_of_ = 0;
  unsigned calls_ = 0;
  Duration late_{};
};

/// One day: processes, engines, and the events that the seed draws.
class Day {
 public:
  Day(const DayRow& row, std::uint64_t seed, Duration length)
      : row_(row), dice_(seed), length_(length), log_(Now()) {
    cluster_.StartDeployment(kControls, kIngresses);
    const std::string origin_address = cluster_.ReplicaAddress(0);
    origin_ = std::make_unique<WeightsOrigin>(origin_address, weights_, 1);
    const Json config = WeightsConfig(weights_, origin_address);
    cluster_.WaitFor("the configuration is acknowledged",
                     [&] { return Post(cluster_, "/config/replace", config, kPostTimeout); });
    const auto count =
        static_cast<int>(row.fixed_times ? kMaxEngines : dice_.Between(kMinEngines, kMaxEngines));
    // Engines may copy staged chunks when they accept a load command or when they begin the load.
    const bool take_late = Has(Trouble::kRunningRequests) && (row.fixed_times || dice_.OneOf(2));
    const auto take_time = take_late ? TakeTime::kAfterRunningRequests : TakeTime::kOnAcceptance;
    log_.Add("process " + std::to_string(getpid()));
    log_.Add(take_late ? "chunks are taken after the running requests"
                       : "chunks are taken when a load command is accepted");
    for (const int number : NumbersInSwapOrder(count)) {
      EngineOptions options = StartWeightsSidecar(cluster_, number, kPropagationMs, weights_);
      sidecars_.push_back("w" + std::to_string(number));
      options.id = "m" + std::to_string(sidecars_.size());
      log_.Add(options.id + " is beside " + sidecars_.back());
      options.take_time = take_time;
      if (Has(Trouble::kRunningRequests)) options.drain_time = dice_.Time(0ms, 6s);
      faults_.push_back(std::make_unique<EngineFaults>(log_, options.id));
      engines_.push_back(std::make_unique<WeightsEngine>(
          options, [it = faults_.back().get()](WeightsEngine& engine, const EngineCallInfo& info) {
            return it->OnCall(engine, info);
          }));
    }
    std::vector<std::vector<std::string>> targets;
    for (const auto& it : cluster_.ingresses()) targets.push_back({cluster_.Address(it)});
    callers_ = std::make_unique<Callers>(targets);
    cluster_.WaitFor("requests are served", [&] { return callers_->served() > 50; });
    // Every engine takes part before the first fault.
    cluster_.WaitFor("every engine runs requests", [&] {
      return std::all_of(engines_.begin(), engines_.end(),
                         [](const auto& it) { return !it->served().empty(); });
    });
    day_start_ = Now() - log_.start();
    Draw();
  }

  /// @return what broke; empty if nothing did
  std::string Run() {
    std::string faults = RunEvents();
    for (const auto& it : faults_) it->Disarm();
    log_.Add("the last fault is over");
    faults += AwaitNewest();
    std::this_thread::sleep_for(kAfterwards);
    callers_->Finish();
    faults += Judge();
    if (getenv("WTS_SYSTEM_KEEP") != nullptr) std::cout << log_.Text();
    if (!faults.empty()) faults += log_.Text();
    return faults;
  }

 private:
  bool Has(Trouble trouble) const {
    return std::find(row_.troubles.begin(), row_.troubles.end(), trouble) != row_.troubles.end();
  }
  /// Numbers of engines and sidecars in the order of their swaps. The order follows from addresses,
  /// which differ between runs, so a seed could not choose by number who swaps first.
  std::vector<int> NumbersInSwapOrder(int count) const {
    std::vector<std::string> addresses;
    for (int i = 1; i <= count; ++i) addresses.push_back(cluster_.EngineAddress(i));
    std::vector<int> numbers(addresses.size());
    for (int i = 1; i <= count; ++i) {
      numbers[serving::SwapRank(cluster_.EngineAddress(i), addresses)] = i;
    }
    return numbers;
  }
  // Events.

  void At(Duration at, std::string what, std::function<void()> act) {
    plan_.emplace(at, Event{std::move(what), std::move(act)});
  }
  /// The end of a trouble, which comes soon after the end of the day at the latest.
  void AtEnd(Duration at, std::string what, std::function<void()> act) {
    At(std::min(at, length_ + kLastEnd), std::move(what), std::move(act));
  }
  std::size_t AnyEngine() {
    return static_cast<std::size_t>(
        dice_.Between(0, static_cast<std::int64_t>(engines_.size()) - 1));
  }
  std::uint32_t AnyChunk() {
    return static_cast<std::uint32_t>(dice_.Between(0, weights_.chunks - 1));
  }
  Duration AnyTime() { return dice_.Time(500ms, length_ - 500ms); }
  /// About one event of a kind for each so many seconds of a day.
  int Times(int seconds) {
    const auto length = std::chrono::duration_cast<std::chrono::seconds>(length_).count();
    const std::int64_t most = std::max<std::int64_t>(1, 2 * length / seconds);
    return static_cast<int>(dice_.Between(1, most));
  }

  void Name(Duration at, std::int64_t version) {
    At(at, "version " + std::to_string(version) + " is named", [this, version] {
      origin_->SetNewest(version);
      newest_ = version;
      unacknowledged_ = version;
    });
  }
  void DamageSome(Duration at) {
    const auto some_engines =
        static_cast<std::size_t>(kDamagedEngines * static_cast<double>(engines_.size()) + 1);
    const auto some_chunks =
        static_cast<std::size_t>(kDamagedChunks * static_cast<double>(weights_.chunks) + 1);
    const auto damage = static_cast<Damage>(dice_.Between(0, 2));
    for (std::size_t i = 0; i < some_engines; ++i) {
      const std::size_t n = AnyEngine();
      std::vector<std::uint32_t> chunks;
      for (std::size_t j = 0; j < some_chunks; ++j) chunks.push_back(AnyChunk());
      At(at, "damage at " + engines_[n]->id(), [this, n, chunks, damage] {
        for (const auto it : chunks) faults_[n]->Inflict(*engines_[n], damage, it);
      });
    }
  }
  void KillSidecar(Duration at, std::size_t n, Duration away) {
    At(at, sidecars_[n] + " is killed", [this, n] { cluster_.Kill(sidecars_[n]); });
    AtEnd(at + away, sidecars_[n] + " starts again", [this, n] { StartAgain(sidecars_[n]); });
  }
  void StartAgain(const std::string& name) {
    cluster_.Kill(name);
    cluster_.Restart(name);
  }
  void KillAll(Duration at, bool keep_staged) {
    At(at, "all processes and engines are killed", [this] {
      for (const auto& it : AllProcesses()) cluster_.Kill(it);
      for (const auto& it : engines_) it->Down();
    });
    At(at + 1500ms, std::string("all start again, staged chunks ") + (keep_staged ? "stay" : "go"),
       [this, keep_staged] {
         for (const auto& it : AllProcesses()) StartAgain(it);
         for (const auto& it : engines_) it->Up(keep_staged);
       });
  }
  std::vector<std::string> AllProcesses() const {
    std::vector<std::string> names = sidecars_;
    names.insert(names.end(), cluster_.controls().begin(), cluster_.controls().end());
    names.insert(names.end(), cluster_.ingresses().begin(), cluster_.ingresses().end());
    return names;
  }
  CallTrap AnyTrap() {
    CallTrap trap;
    constexpr std::array kCalls{EngineCall::kReadStaged, EngineCall::kReadStaged, EngineCall::kLoad,
                                EngineCall::kStage, EngineCall::kState};
    trap.call = kCalls[static_cast<std::size_t>(dice_.Between(0, kCalls.size() - 1))];
    trap.passes = trap.call == EngineCall::kLoad ? 0 : dice_.Between(0, weights_.chunks * 2);
    trap.damage = static_cast<Damage>(dice_.Between(0, 2));
    trap.chunk = AnyChunk();
    if (dice_.OneOf(4)) trap.fault.delay = dice_.Time(50ms, 2s);
    if (dice_.OneOf(4)) trap.fault.pause = dice_.Time(500ms, 4s);
    if (dice_.OneOf(4)) {
      trap.fault.lose_answer = true;
      trap.fault.delay = dice_.Time(0ms, 4s);
    }
    trap.crash = dice_.OneOf(6);
    return trap;
  }

  void Draw() {
    const bool fixed = row_.fixed_times;
    const Duration named = fixed ? 4s : dice_.Time(500ms, 3s);
    Name(named, 2);
    if (Has(Trouble::kSecondVersion)) {
      const int more = fixed ? 1 : static_cast<int>(dice_.Between(1, 4));
      Duration at = named;
      for (int i = 0; i < more; ++i) {
        at += fixed ? dice_.Time(2s, 3s) : dice_.Time(50ms, 5s);
        Name(at, 3 + i);
      }
    }
    if (fixed) {
      DamageSome(5200ms);
    } else {
      for (int i = Times(3); i > 0; --i) DamageSome(AnyTime());
    }
    if (Has(Trouble::kDamageAtCalls)) {
      for (std::size_t n = 0; n < engines_.size(); ++n) {
        for (std::int64_t i = dice_.Between(0, 3); i > 0; --i) {
          const CallTrap trap = AnyTrap();
          At(AnyTime(), engines_[n]->id() + " gets a trap",
             [this, n, trap] { faults_[n]->Add(trap); });
        }
      }
    }
    if (Has(Trouble::kSlowCalls)) {
      for (std::size_t n = 0; n < engines_.size(); ++n) {
        const Duration at = AnyTime();
        const Duration delay = dice_.Time(5ms, 120ms);
        At(at, engines_[n]->id() + " is slow", [this, n, delay] { faults_[n]->SlowDown(delay); });
        AtEnd(at + dice_.Time(1s, 8s), engines_[n]->id() + " is fast",
              [this, n] { faults_[n]->SlowDown({}); });
      }
    }
    if (Has(Trouble::kEngineStalls)) {
      for (int i = Times(2); i > 0; --i) {
        const std::size_t n = AnyEngine();
        const Duration time = dice_.Time(200ms, 4s);
        At(AnyTime(), engines_[n]->id() + " stalls", [this, n, time] { engines_[n]->Stall(time); });
      }
    }
    if (Has(Trouble::kEngineCrashes)) {
      for (int i = Times(2); i > 0; --i) {
        const std::size_t n = AnyEngine();
        const Duration at = AnyTime();
        const bool keep = !dice_.OneOf(4);
        At(at, engines_[n]->id() + " crashes", [this, n] { engines_[n]->Down(); });
        AtEnd(at + dice_.Time(50ms, 3s), engines_[n]->id() + " is up",
              [this, n, keep] { engines_[n]->Up(keep); });
      }
    }
    if (Has(Trouble::kLostAnswers)) {
      for (std::size_t n = 0; n < engines_.size(); ++n) {
        const Duration at = AnyTime();
        const auto one_of = static_cast<unsigned>(dice_.Between(2, 40));
        const Duration late = dice_.Time(0ms, 4s);
        At(at, engines_[n]->id() + " loses answers",
           [this, n, one_of, late] { faults_[n]->LoseAnswers(one_of, late); });
        AtEnd(at + dice_.Time(500ms, 4s), engines_[n]->id() + " loses none",
              [this, n] { faults_[n]->LoseAnswers(0, {}); });
      }
    }
    if (Has(Trouble::kSidecarKills)) {
      for (int i = Times(2); i > 0; --i) KillSidecar(AnyTime(), AnyEngine(), dice_.Time(50ms, 3s));
    }
    if (Has(Trouble::kSidecarFreezes)) {
      for (int i = Times(1); i > 0; --i) {
        const std::size_t n = AnyEngine();
        const Duration at = AnyTime();
        At(at, sidecars_[n] + " freezes", [this, n] { cluster_.Freeze(sidecars_[n]); });
        AtEnd(at + (fixed ? 4s : dice_.Time(100ms, 5s)), sidecars_[n] + " goes on",
              [this, n] { cluster_.Continue(sidecars_[n]); });
      }
    }
    if (Has(Trouble::kSidecarStops)) {
      for (int i = Times(3); i > 0; --i) {
        const std::size_t n = AnyEngine();
        const Duration at = AnyTime();
        At(at, sidecars_[n] + " is stopped", [this, n] { cluster_.Stop(sidecars_[n]); });
        AtEnd(at + dice_.Time(200ms, 6s), sidecars_[n] + " starts again",
              [this, n] { StartAgain(sidecars_[n]); });
      }
    }
    if (Has(Trouble::kOriginFaults)) {
      const Duration at = fixed ? 6500ms : AnyTime();
      At(at, "the origin is down", [this] { origin_->SetDown(true); });
      AtEnd(at + (fixed ? 6s : dice_.Time(500ms, 6s)), "the origin is up",
            [this] { origin_->SetDown(false); });
      const Duration slow = AnyTime();
      const Duration delay = dice_.Time(20ms, 400ms);
      At(slow, "the origin is slow", [this, delay] { origin_->SetDelay(delay); });
      AtEnd(slow + dice_.Time(1s, 4s), "the origin is fast", [this] { origin_->SetDelay({}); });
      const auto one_of = static_cast<unsigned>(dice_.Between(3, 20));
      At(0s, "the origin damages answers", [this, one_of] { origin_->SetDamagedShare(one_of); });
      At(length_, "the origin damages none", [this] { origin_->SetDamagedShare(0); });
    }
    if (Has(Trouble::kControlKills)) {
      for (int i = Times(4); i > 0; --i) {
        const auto& name =
            cluster_.controls()[static_cast<std::size_t>(dice_.Between(0, kControls - 1))];
        const Duration at = AnyTime();
        At(at, name + " is killed", [this, &name] { cluster_.Kill(name); });
        AtEnd(at + dice_.Time(500ms, 3s), name + " starts again",
              [this, &name] { StartAgain(name); });
      }
    }
    if (Has(Trouble::kAllKilled) && (fixed || dice_.OneOf(2))) {
      KillAll(fixed ? length_ : AnyTime(), fixed || !dice_.OneOf(3));
    }
  }

  std::string RunEvents() {
    const Duration last = plan_.rbegin()->first;
    while (!plan_.empty() || unacknowledged_ != 0) {
      const Duration now = Now() - log_.start() - day_start_;
      if (now > last + kRestartAllowance) {
        return "version " + std::to_string(unacknowledged_) + " is not acknowledged\n";
      }
      if (!plan_.empty() && plan_.begin()->first <= now) {
        const Event event = std::move(plan_.extract(plan_.begin()).mapped());
        log_.Add(event.what);
        event.act();
        continue;
      }
      if (unacknowledged_ != 0 &&
          Post(cluster_, "/version-put",
               {{"model-name", weights_.model}, {"version", unacknowledged_}}, kPostTimeout)) {
        log_.Add("version " + std::to_string(unacknowledged_) + " is acknowledged");
        unacknowledged_ = 0;
      }
      std::this_thread::sleep_for(kStep);
    }
    return {};
  }

  std::string AwaitNewest() {
    const TimePoint until = Now() + std::chrono::milliseconds(kPropagationMs) + kRestartAllowance;
    const auto whole = [this](const auto& it) {
      return it->loaded_version() == newest_ && !it->holds_damaged_layers();
    };
    while (Now() < until && !std::all_of(engines_.begin(), engines_.end(), whole)) {
      std::this_thread::sleep_for(kStep);
    }
    log_.Add("the wait for the newest version ends");
    std::string late;
    for (const auto& it : engines_) {
      if (whole(it)) continue;
      const std::int64_t version = it->loaded_version();
      late += it->id() + (version == newest_ ? " serves damaged version " : " has only version ") +
              std::to_string(version) + " in the end\n";
    }
    return late;
  }

  std::string Judge() {
    std::size_t requests = 0;
    std::size_t bad = 0;
    std::size_t bad_long = 0;
    std::size_t mixed = 0;
    for (const auto& engine : engines_) {
      const Duration offset = Now() - log_.start() - engine->Elapsed();
      for (const auto& it : engine->loads()) {
        std::ostringstream text;
        text << engine->id() << " takes version " << it.version << ", accepted "
             << ToMilliseconds(it.at - it.accepted_at) << " ms before, " << it.bad_chunks.size()
             << " bad chunks";
        if (!it.bad_chunks.empty()) {
          text << ", bad for " << ToMilliseconds(it.bad_for) << " ms, first "
               << it.bad_chunks.front() << (it.mixed ? ", of two versions" : "")
               << (it.bad_for > it.at - it.accepted_at ? ", since before" : ", since after")
               << " the command" << (it.bad_for > kExcusedDamage ? ", too long" : "");
        }
        log_.AddAt(it.at + offset, text.str());
      }
      bool first = true;
      for (const auto& it : engine->served()) {
        ++requests;
        // One line for each time that the weights in use become damaged.
        if (it.bad_weights && std::exchange(first, false)) {
          log_.AddAt(it.at + offset, engine->id() + " runs a request on damaged version " +
                                         std::to_string(it.version));
        }
        if (!it.bad_weights && !first) {
          log_.AddAt(it.at + offset, engine->id() + " runs requests on undamaged weights again");
          first = true;
        }
        if (it.bad_weights) ++bad;
        if (it.bad_for > kExcusedDamage) ++bad_long;
        if (it.mixed_weights) ++mixed;
      }
    }
    std::cout << requests << " requests, on damaged weights " << bad
              << ", of these damaged for over 3 s at the load " << bad_long << ", of two versions "
              << mixed << "\n";
    if (bad == 0) return {};
    return std::to_string(bad) + " requests on damaged weights, " + std::to_string(bad_long) +
           " of them damaged for over 3 s at the load, " + std::to_string(mixed) +
           " of two versions\n";
  }

  struct Event {
    std::string what;
    std::function<void()> act;
  };

  const DayRow& row_;
  Dice dice_;
  Duration length_;
  EventLog log_;
  Duration day_start_{};
  Cluster cluster_;
  const TestWeights weights_;
  std::unique_ptr<WeightsOrigin> origin_;
  std::vector<std::unique_ptr<EngineFaults>> faults_;
  std::vector<std::unique_ptr<WeightsEngine>> engines_;
  std::vector<std::string> sidecars_;
  std::unique_ptr<Callers> callers_;
  std::multimap<Duration, Event> plan_;
  std::int64_t newest_ = 1;
  /// Named version that no control process has acknowledged yet; 0 if none.
  std::int64_t unacknowledged_ = 0;
};

class WeightsRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsRandomTest);
  CPPUNIT_TEST(NoRequestRunsOnDamagedWeights);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against loads of staged chunks that are damaged, lost or of another version, in any
  // order of faults, and against engines that are left without the newest version.
  void NoRequestRunsOnDamagedWeights() {
    const char* wanted = getenv("WTS_DAY");
    const std::string name = wanted == nullptr ? "mix" : wanted;
    const auto& rows = DayRows();
    const auto row =
        std::find_if(rows.begin(), rows.end(), [&](const auto& it) { return it.name == name; });
    CPPUNIT_ASSERT_MESSAGE("unknown day " + name, row != rows.end());
    const auto seed = static_cast<std::uint64_t>(FromEnvironment("WTS_SEED", kDefaultSeed));
    const std::chrono::seconds length(FromEnvironment("WTS_SECONDS", kDefaultSeconds));
    std::cout << "day " << name << ", seed " << seed << ", " << length.count() << " s\n";
    Day day(*row, seed, length);
    CPPUNIT_ASSERT_EQUAL(std::string(), day.Run());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WeightsRandomTest);

}  // namespace
}  // namespace wagtailslip::system_test
