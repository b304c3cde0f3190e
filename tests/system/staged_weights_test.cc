// Loads of staged weights on control, ingress and sidecar processes over loopback, while chunks are
// spoilt, lost or overwritten and engines and sidecars are slow, paused or restarted.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

#include "weights_cluster.h"

namespace wagtailslip::system_test {
namespace {

constexpr int kControls = 3;
constexpr int kIngresses = 2;
constexpr int kEngines = 2;
// Shorter than in a deployment, so that the last planned swap comes soon.
constexpr int kPropagationMs = 3000;
// Longer than the time for which a spoilt chunk is excused.
constexpr Duration kLongPause = 4s;
constexpr Duration kSlowRead = 60ms;
constexpr Duration kDamageDelay = 300ms;
// Times after the naming of a version: until all engines have it, and until the check, which is
// after every delayed effect of the faults.
constexpr Duration kLoadWait = 30s;
constexpr Duration kSettleTime = 6s;

/// Damage to a staged chunk.
enum class Damage { kSpoilt, kLost, kOverwritten };
/// Step of the sidecar at which the damage is done.
enum class Step {
  kBeforeReadBack,
  kDuringReadBack,
  /// After the read-back that follows the staging, while the sidecar waits for its swap time.
  kWhileWaiting,
  kOnLoadCommand,
  /// After the load command, while requests that it waits for run.
  kWhileRequestsEnd,
};
/// What happens at the same step.
enum class Event {
  kNothing,
  kSlowReads,
  kEnginePaused,
  kSidecarPaused,
  kSidecarRestarts,
  /// The sidecar is killed and starts only after the load.
  kSidecarGone,
  kEngineRestarts,
  kLateCommand,
  /// The read-back that finds the damage gets no answer for the next chunk.
  kReadBackBreaksOff,
};

struct FaultRow {
  const char* name;
  Damage damage;
  Step step;
  Event event;
};
const FaultRow kFaultRows[] = {
    {"spoilt before, nothing else", Damage::kSpoilt, Step::kBeforeReadBack, Event::kNothing},
    {"lost before, nothing else", Damage::kLost, Step::kBeforeReadBack, Event::kNothing},
    {"spoilt during slow reads", Damage::kSpoilt, Step::kDuringReadBack, Event::kSlowReads},
    {"lost during slow reads", Damage::kLost, Step::kDuringReadBack, Event::kSlowReads},
    {"spoilt, sidecar paused during", Damage::kSpoilt, Step::kDuringReadBack,
     Event::kSidecarPaused},
    {"overwritten, engine paused during", Damage::kOverwritten, Step::kDuringReadBack,
     Event::kEnginePaused},
    {"spoilt, engine paused at the command", Damage::kSpoilt, Step::kOnLoadCommand,
     Event::kEnginePaused},
    {"overwritten at a late command", Damage::kOverwritten, Step::kOnLoadCommand,
     Event::kLateCommand},
    {"lost, engine restarts at the command", Damage::kLost, Step::kOnLoadCommand,
     Event::kEngineRestarts},
    {"spoilt while requests end", Damage::kSpoilt, Step::kWhileRequestsEnd, Event::kNothing},
    {"lost at the command, nothing else", Damage::kLost, Step::kOnLoadCommand, Event::kNothing},
    {"spoilt while waiting, nothing else", Damage::kSpoilt, Step::kWhileWaiting, Event::kNothing},
    {"overwritten while waiting, engine paused", Damage::kOverwritten, Step::kWhileWaiting,
     Event::kEnginePaused},
    {"spoilt while waiting, sidecar paused", Damage::kSpoilt, Step::kWhileWaiting,
     Event::kSidecarPaused},
    {"spoilt while waiting, sidecar killed", Damage::kSpoilt, Step::kWhileWaiting,
     Event::kSidecarRestarts},
    {"lost at the command, sidecar killed", Damage::kLost, Step::kOnLoadCommand,
     Event::kSidecarRestarts},
    {"lost at the command, sidecar gone", Damage::kLost, Step::kOnLoadCommand, Event::kSidecarGone},
    {"lost at the command, read-back breaks off", Damage::kLost, Step::kOnLoadCommand,
     Event::kReadBackBreaksOff},
    {"lost at the command, sidecar paused", Damage::kLost, Step::kOnLoadCommand,
     Event::kSidecarPaused},
};

/// Carries out one row on one engine, once, when its sidecar loads version 2.
class FaultPlan {
 public:
  FaultPlan(Cluster& cluster, const FaultRow& row, std::string sidecar, std::uint32_t chunks)
      : cluster_(cluster), row_(row), sidecar_(std::move(sidecar)), last_chunk_(chunks - 1) {}
  ~FaultPlan() {
    for (auto& it : threads_) it.join();
  }
  /// Faults happen from now on.
  void Arm() { armed_ = true; }

  CallFault OnCall(WeightsEngine& engine, const EngineCallInfo& info) {
    if (!armed_) return {};
    if (info.call == EngineCall::kStage) staged_ = true;
    if (!staged_) return {};
    CallFault fault;
    if (row_.event == Event::kSlowReads && info.call == EngineCall::kReadStaged) {
      fault.delay = kSlowRead;
    }
    if (info.call == EngineCall::kReadStaged && info.chunk == last_chunk_) read_back_ = true;
    if (done_ && row_.event == Event::kReadBackBreaksOff && info.call == EngineCall::kReadStaged &&
        info.chunk == kDamagedChunk + 1 && lost_reads_ < kReadAttempts) {
      ++lost_reads_;
      fault.lose_answer = true;
    }
    if (done_ || !IsDue(info)) return fault;
    done_ = true;
    if (row_.step == Step::kWhileRequestsEnd) {
      threads_.emplace_back([this, &engine] {
        std::this_thread::sleep_for(kDamageDelay);
        Inflict(engine);
      });
      return fault;
    }
    Inflict(engine);
    if (row_.event == Event::kEnginePaused) fault.pause = kLongPause;
    if (row_.event == Event::kEngineRestarts) engine.Restart();
    if (row_.event == Event::kLateCommand) {
      fault.delay = kLongPause;
      fault.lose_answer = true;
    }
    if (row_.event == Event::kSidecarPaused) {
      cluster_.Freeze(sidecar_);
      threads_.emplace_back([this] {
        std::this_thread::sleep_for(kLongPause);
        cluster_.Continue(sidecar_);
      });
    }
    if (row_.event == Event::kSidecarGone) {
      cluster_.Kill(sidecar_);
      threads_.emplace_back([this] {
        std::this_thread::sleep_for(kLongPause);
        cluster_.Restart(sidecar_);
      });
    }
    if (row_.event == Event::kSidecarRestarts) {
      cluster_.Kill(sidecar_);
      cluster_.Restart(sidecar_);
    }
    return fault;
  }
  bool done() const { return done_; }

 private:
  static constexpr std::uint32_t kDamagedChunk = 3;
  // A sidecar repeats a read without an answer once.
  static constexpr int kReadAttempts = 2;
  bool IsDue(const EngineCallInfo& info) const {
    switch (row_.step) {
      case Step::kBeforeReadBack:
        return info.call == EngineCall::kReadStaged && info.chunk == kDamagedChunk;
      case Step::kDuringReadBack:
        return info.call == EngineCall::kReadStaged && info.chunk == kDamagedChunk + 1;
      case Step::kWhileWaiting:
        return info.call == EngineCall::kState && read_back_;
      case Step::kOnLoadCommand:
      case Step::kWhileRequestsEnd:
        return info.call == EngineCall::kLoad;
    }
    return false;
  }
  void Inflict(WeightsEngine& engine) const {
    if (row_.damage == Damage::kSpoilt) engine.Spoil(kDamagedChunk);
    if (row_.damage == Damage::kLost) engine.Lose(kDamagedChunk);
    if (row_.damage == Damage::kOverwritten) engine.Overwrite(kDamagedChunk, 1);
  }

  Cluster& cluster_;
  const FaultRow& row_;
  std::string sidecar_;
  std::uint32_t last_chunk_;
  std::atomic<bool> armed_{false};
  std::atomic<bool> staged_{false};
  std::atomic<bool> read_back_{false};
  std::atomic<bool> done_{false};
  std::atomic<int> lost_reads_{0};
  std::vector<std::thread> threads_;
};

class StagedWeightsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StagedWeightsTest);
  CPPUNIT_TEST(NoRequestRunsOnDamagedWeights);
  CPPUNIT_TEST_SUITE_END();

  static std::string RunRow(const FaultRow& row) {
    Cluster cluster;
    cluster.StartDeployment(kControls, kIngresses);
    const TestWeights weights;
    const std::string origin_address = cluster.ReplicaAddress(0);
    WeightsOrigin origin(origin_address, weights, 1);
    cluster.SetConfig(WeightsConfig(weights, origin_address));
    std::vector<std::unique_ptr<FaultPlan>> plans;
    std::vector<std::unique_ptr<WeightsEngine>> engines;
    for (int i = 1; i <= kEngines; ++i) {
      EngineOptions options = StartWeightsSidecar(cluster, i, kPropagationMs, weights);
      plans.push_back(
          std::make_unique<FaultPlan>(cluster, row, "w" + std::to_string(i), weights.chunks));
      if (row.step == Step::kWhileRequestsEnd) {
        options.take_time = TakeTime::kAfterRunningRequests;
        options.drain_time = kLongPause;
      }
      engines.push_back(std::make_unique<WeightsEngine>(
          options, [plan = plans.back().get()](WeightsEngine& engine, const EngineCallInfo& info) {
            return plan->OnCall(engine, info);
          }));
    }
    Callers callers({Addresses(cluster, cluster.ingresses())});
    cluster.WaitFor("requests are served", [&] { return callers.served() > 50; });
    for (const auto& it : plans) it->Arm();
    origin.SetNewest(2);
    NameVersion(cluster, weights.model, 2);
    WaitLoaded(cluster, engines, 2, kLoadWait);
    std::this_thread::sleep_for(kSettleTime);
    callers.Finish();
    std::string faults;
    for (const auto& it : engines) {
      if (it->loaded_version() != 2 || it->holds_damaged_layers()) {
        faults += std::string(row.name) + ": " + it->id() + " holds damaged weights at the end\n";
      }
    }
    for (std::size_t i = 0; i < engines.size(); ++i) {
      for (const auto& load : engines[i]->loads()) {
        std::cout << row.name << ": " << engines[i]->id() << " took version " << load.version
                  << " with " << load.bad_chunks.size() << " bad chunks, bad for "
                  << ToMilliseconds(load.bad_for) << " ms\n";
      }
      const auto served = engines[i]->served();
      const auto bad = std::count_if(served.begin(), served.end(),
                                     [](const auto& it) { return it.bad_weights; });
      if (bad > 0) {
        faults += std::string(row.name) + ": " + engines[i]->id() + " ran " + std::to_string(bad) +
                  " requests on damaged weights\n";
      }
    }
    // The first engine of the swap order does not wait, so not every row reaches it.
    if (std::none_of(plans.begin(), plans.end(), [](const auto& it) { return it->done(); })) {
      faults += std::string(row.name) + ": no fault happened\n";
    }
    return faults;
  }

 public:
  // Guards against loads of staged chunks that were damaged after they had been verified: seconds
  // pass between the two where the engine waits for running requests or a process is slow or
  // paused.
  void NoRequestRunsOnDamagedWeights() {
    std::string faults;
    for (const auto& row : kFaultRows) faults += RunRow(row);
    CPPUNIT_ASSERT_EQUAL(std::string(), faults);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StagedWeightsTest);

}  // namespace
}  // namespace wagtailslip::system_test
