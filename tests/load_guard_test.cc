#include "wagtailslip/serving/load_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

namespace wagtailslip::serving {
namespace {

using namespace std::chrono_literals;

constexpr LayerRange kAllLayers{0, 4};
constexpr std::int64_t kFirstStart = 100;
constexpr std::int64_t kSecondStart = 200;

/// One event, and what the guard says after it.
struct Step {
  std::function<void(LoadGuard&)> event;
  LoadTrust trust = LoadTrust::kUsable;
};

Step Report(std::int64_t version, std::int64_t commands, bool busy, LoadTrust trust,
            std::int64_t started_ms = kFirstStart) {
  return {[=](LoadGuard& guard) { guard.OnReport({started_ms, version, commands, busy}); }, trust};
}
Step Sent(std::int64_t version, LoadTrust trust, LayerRange layers = kAllLayers) {
  return {[=](LoadGuard& guard) { guard.OnCommandSent(version, layers); }, trust};
}
Step DropSent(LoadTrust trust) {
  return {[](LoadGuard& guard) { guard.OnDropSent(); }, trust};
}
Step Accepted(LoadTrust trust) {
  return {[](LoadGuard& guard) { guard.OnCommandAccepted(); }, trust};
}
Step Rejected(LoadTrust trust) {
  return {[](LoadGuard& guard) { guard.OnCommandRejected(); }, trust};
}
Step ReadBack(std::int64_t version, std::set<std::uint32_t> damaged, LoadTrust trust) {
  return {[=](LoadGuard& guard) { guard.OnReadBack(version, damaged, TimePoint(1s)); }, trust};
}
Step Written(std::int64_t version, std::set<std::uint32_t> layers, LoadTrust trust) {
  return {[=](LoadGuard& guard) { guard.OnChunkWritten(version, layers); }, trust};
}
Step Uncheckable(LoadTrust trust) {
  return {[](LoadGuard& guard) { guard.OnUncheckable(); }, trust};
}

constexpr auto kUsable = LoadTrust::kUsable;
constexpr auto kUnchecked = LoadTrust::kUnchecked;
constexpr auto kDamaged = LoadTrust::kDamaged;

struct SequenceRow {
  const char* name;
  std::vector<Step> steps;
};

const SequenceRow kSequenceRows[] = {
    {"weights that the engine had at its start", {Report(1, 0, false, kUsable)}},
    {"dropped weights are not read back, whatever is staged",
     {Report(1, 0, false, kUsable), DropSent(kUnchecked), Accepted(kUnchecked),
      Report(1, 1, true, kUnchecked), ReadBack(1, {0}, kUnchecked), Report(0, 1, false, kUnchecked),
      ReadBack(1, {}, kUnchecked), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 2, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"a refused command to drop leaves the weights in use",
     {Report(1, 0, false, kUsable), DropSent(kUnchecked), Rejected(kUsable),
      Report(1, 0, false, kUsable)}},
    {"a load that ended before the process started",
     {Report(1, 3, false, kUnchecked), Report(1, 3, false, kUnchecked), ReadBack(1, {}, kUsable)}},
    {"a damaged load that ended before the process started",
     {Report(1, 3, false, kUnchecked), ReadBack(1, {2}, kDamaged)}},
    {"a load that ended before the process started and cannot be checked",
     {Report(1, 3, false, kUnchecked), Uncheckable(kUsable), Report(1, 3, false, kUsable)}},
    {"a load of this process is not given up",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), Uncheckable(kUnchecked)}},
    {"a load in progress when the process started",
     {Report(1, 3, true, kUnchecked), Report(2, 3, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"an intact load",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(1, 1, true, kUnchecked), ReadBack(2, {}, kUnchecked), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kUsable), Report(2, 1, false, kUsable)}},
    {"damage while the requests end",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(1, 1, true, kUnchecked), ReadBack(2, {3}, kUnchecked), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kDamaged)}},
    {"damage found after the load",
     {Report(0, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(2, {0}, kDamaged)}},
    {"a read-back of another version says nothing",
     {Report(0, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(1, {}, kUnchecked)}},
    {"a rejected command changes nothing",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Rejected(kUsable)}},
    {"a lost command changes nothing",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(1, 0, false, kUsable)}},
    {"a lost answer",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kUsable)}},
    {"a command that is carried out late",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(1, 0, false, kUsable),
      Report(1, 1, true, kUnchecked), Report(2, 1, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"a late command loads an older version than the last one",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(1, 0, false, kUsable),
      Sent(3, kUnchecked), Rejected(kUsable), Report(1, 1, true, kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(3, {}, kUnchecked), ReadBack(2, {1}, kDamaged)}},
    {"a load without a command of this process",
     {Report(1, 0, false, kUsable), Report(2, 0, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"a second load before the first is checked",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), Report(2, 2, true, kUnchecked), ReadBack(2, {}, kUnchecked),
      Report(2, 2, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"the engine restarts with a damaged load",
     {Report(0, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(2, {0}, kDamaged),
      Report(0, 0, false, kUsable, kSecondStart)}},
    {"the next incarnation accepts the command",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked),
      Report(0, 1, true, kUnchecked, kSecondStart), Report(2, 1, false, kUnchecked, kSecondStart),
      ReadBack(2, {}, kUsable)}},
    {"a chunk is written after a late command took it",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(1, 0, false, kUsable),
      Written(2, {1}, kUsable), Sent(2, kUnchecked), Rejected(kUsable),
      Report(1, 1, true, kUnchecked), Report(2, 1, false, kUnchecked), ReadBack(2, {}, kDamaged)}},
    {"chunks of the next version are written while a late command loads the last one",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(1, 0, false, kUsable),
      Written(3, {0, 1, 2, 3}, kUsable), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kDamaged)}},
    {"a chunk is written before the command",
     {Report(1, 0, false, kUsable), Written(2, {1}, kUsable), Sent(2, kUnchecked),
      Accepted(kUnchecked), Report(2, 1, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"a chunk was written before the last report",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Report(1, 0, false, kUsable),
      Written(2, {1}, kUsable), Report(1, 0, false, kUsable), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kUsable)}},
    {"a read-back breaks off after it has written a chunk",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), Written(2, {1}, kUnchecked), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kDamaged)}},
    {"a read-back breaks off while the engine is busy",
     {Report(1, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(1, 1, true, kUnchecked), Written(2, {1}, kUnchecked), Report(2, 1, false, kUnchecked),
      ReadBack(2, {}, kDamaged)}},
    {"layers are loaded again",
     {Report(0, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(2, {1}, kDamaged), Sent(2, kUnchecked, {3, 4}),
      Accepted(kUnchecked), Report(0, 2, false, kUnchecked), Sent(2, kUnchecked),
      Accepted(kUnchecked), Report(2, 3, false, kUnchecked), ReadBack(2, {}, kUsable)}},
    {"the command to drop layers is rejected",
     {Report(0, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(2, {1}, kDamaged), Sent(2, kUnchecked, {3, 4}),
      Rejected(kDamaged)}},
    {"the layer that was kept is damaged as well",
     {Report(0, 0, false, kUsable), Sent(2, kUnchecked), Accepted(kUnchecked),
      Report(2, 1, false, kUnchecked), ReadBack(2, {1, 2, 3}, kDamaged),
      Sent(2, kUnchecked, {3, 4}), Accepted(kUnchecked), Report(0, 2, false, kUnchecked),
      Sent(2, kUnchecked), Accepted(kUnchecked), Report(2, 3, false, kUnchecked),
      ReadBack(2, {}, kDamaged)}},
};

struct LayerRow {
  const char* name;
  std::set<std::uint32_t> damaged;
  std::uint32_t layer_count;
  std::optional<LayerRange> kept;
};

const LayerRow kLayerRows[] = {
    {"the last layer", {0}, 4, LayerRange{3, 4}},
    {"an intact one", {2, 3}, 4, LayerRange{1, 2}},
    {"never the first", {1, 2, 3}, 4, LayerRange{3, 4}},
    {"the last layer of two is damaged", {1}, 2, LayerRange{0, 1}},
    {"both layers of two are damaged", {0, 1}, 2, LayerRange{1, 2}},
    {"a model of one layer", {0}, 1, std::nullopt},
    {"an unknown number of layers", {0}, 0, std::nullopt},
};

class LoadGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadGuardTest);
  CPPUNIT_TEST(WeightsAreUsableOnlyAfterAReadBack);
  CPPUNIT_TEST(KeepsALayerThatIsIntact);
  CPPUNIT_TEST(ReadsBackWhileALoadWaits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests on a load whose staged chunks were not read back since it began,
  // however the command, its answer, and the reports of the engine are delayed or lost.
  void WeightsAreUsableOnlyAfterAReadBack() {
    for (const auto& row : kSequenceRows) {
      LoadGuard guard;
      int n = 0;
      for (const auto& step : row.steps) {
        step.event(guard);
        const std::string name = std::string(row.name) + ", step " + std::to_string(++n);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(kLoadTrusts.Name(step.trust)),
                                     std::string(kLoadTrusts.Name(guard.trust())));
      }
    }
  }

  // Guards against a reload that keeps a damaged layer although an intact one could be kept.
  void KeepsALayerThatIsIntact() {
    for (const auto& row : kLayerRows) {
      LoadGuard guard;
      guard.OnReport({kFirstStart, 0, 0, false});
      guard.OnCommandSent(2, {0, row.layer_count});
      guard.OnCommandAccepted();
      guard.OnReport({kFirstStart, 2, 1, false});
      CPPUNIT_ASSERT_MESSAGE(row.name, !guard.LayerToKeep(row.layer_count));
      guard.OnReadBack(2, row.damaged, TimePoint(1s));
      CPPUNIT_ASSERT_MESSAGE(row.name, guard.LayerToKeep(row.layer_count) == row.kept);
    }
  }

  // Guards against a load that takes chunks which were damaged seconds ago, while the engine ended
  // its requests.
  void ReadsBackWhileALoadWaits() {
    LoadGuard guard;
    guard.OnReport({kFirstStart, 1, 0, false});
    CPPUNIT_ASSERT(!guard.NeedsReadBack(TimePoint(1s)));
    guard.OnCommandSent(2, kAllLayers);
    guard.OnCommandAccepted();
    guard.OnReport({kFirstStart, 1, 1, true});
    CPPUNIT_ASSERT(guard.NeedsReadBack(TimePoint(1100ms)));
    guard.OnReadBack(2, {}, TimePoint(1200ms));
    CPPUNIT_ASSERT(!guard.NeedsReadBack(TimePoint(2100ms)));
    CPPUNIT_ASSERT(guard.NeedsReadBack(TimePoint(2200ms)));
    guard.OnReport({kFirstStart, 2, 1, false});
    CPPUNIT_ASSERT(guard.NeedsReadBack(TimePoint(1300ms)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LoadGuardTest);

}  // namespace
}  // namespace wagtailslip::serving
