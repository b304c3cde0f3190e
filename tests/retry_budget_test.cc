// Sum over all ingress processes of the sends beyond the first one of each request.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <sstream>

#include "retry_model.h"
#include "wagtailslip/serving/shared_retry_budget.h"

namespace wagtailslip::serving {
namespace {

using retry_model::Fault;
using retry_model::FaultSpan;
using retry_model::Scenario;
using std::chrono::milliseconds;
using std::chrono::seconds;

const char* const kService = "s";
constexpr std::uint64_t kRandomRuns = 40;
/// Part of the allowed retries that can be sent while nothing fails but first sends.
constexpr double kMinCalmPart = 0.7;

class PartPolicy : public retry_model::Policy {
 public:
  explicit PartPolicy(const Scenario& scenario)
      : limits_{scenario.rule.ratio, scenario.rule.extra, scenario.rule.window},
        budgets_(scenario.processes, SharedRetryBudget(limits_)),
        counts_(scenario.processes, 1),
        counted_at_(scenario.processes),
        connected_(scenario.processes, false) {}

  void Start(std::size_t process, TimePoint now) override {
    budgets_[process] = SharedRetryBudget(limits_);
    counts_[process] = 1;
    counted_at_[process] = now;
  }
  void OnRequest(std::size_t process, TimePoint now) override {
    budgets_[process].OnRequest(kService, now);
  }
  bool Take(std::size_t process, TimePoint now) override {
    return budgets_[process].Take(kService, counts_[process], now);
  }
  void Tick(std::size_t process, TimePoint now) override {
    if (!connected_[process]) return;
    if (listed_ < counts_[process] && now - counted_at_[process] < seconds(20)) return;
    counts_[process] = listed_;
    counted_at_[process] = now;
  }
  void TickControl(bool, TimePoint) override {}
  void SetListed(std::size_t count) override { listed_ = count; }
  void SetLink(std::size_t process, bool connected, Duration) override {
    connected_[process] = connected;
  }

 private:
  RetryLimits limits_;
  std::vector<SharedRetryBudget> budgets_;
  std::vector<std::size_t> counts_;
  std::vector<TimePoint> counted_at_;
  std::vector<bool> connected_;
  std::size_t listed_ = 0;
};

constexpr TimePoint kStormStart = retry_model::kStart + seconds(8);
constexpr TimePoint kStormEnd = retry_model::kStart + seconds(28);

/// Requests of a site with `processes` ingress processes, of which most need another send during
/// the storm.
Scenario Storm(std::string name, std::size_t processes, std::vector<FaultSpan> faults) {
  Scenario scenario;
  scenario.name = std::move(name) + ", " + std::to_string(processes) + " processes";
  scenario.processes = processes;
  scenario.rule.extra = 25.0 * static_cast<double>(processes);
  const double rate = 25.0 * static_cast<double>(processes);
  scenario.loads = {{{}, rate, 0},
                    {kStormStart - retry_model::kStart, 1.5 * rate, 0.8},
                    {kStormEnd - retry_model::kStart, rate, 0}};
  scenario.faults = std::move(faults);
  return scenario;
}

struct FaultRow {
  const char* name;
  std::vector<FaultSpan> faults;
};
const FaultRow kFaultRows[] = {
    {"no faults", {}},
    {"all restarted three times",
     {{Fault::kRestarted, seconds(11), milliseconds(11500), 1},
      {Fault::kRestarted, seconds(13), milliseconds(13500), 1},
      {Fault::kRestarted, seconds(15), milliseconds(15500), 1}}},
    {"restarted in series",
     {{Fault::kRestarted, seconds(10), milliseconds(10500), 0.3},
      {Fault::kRestarted, seconds(11), milliseconds(11500), 0.3},
      {Fault::kRestarted, seconds(12), milliseconds(12500), 0.3},
      {Fault::kRestarted, seconds(13), milliseconds(13500), 0.3},
      {Fault::kRestarted, seconds(14), milliseconds(14500), 0.3},
      {Fault::kRestarted, seconds(15), milliseconds(15500), 0.3},
      {Fault::kRestarted, seconds(16), milliseconds(16500), 0.3}}},
    {"half started while some are cut off",
     {{Fault::kAbsent, Duration(0), seconds(9), 0.7},
      {Fault::kCutOff, seconds(1), seconds(20), 0.5}}},
    {"frozen, and restarted while cut off",
     {{Fault::kFrozen, seconds(9), seconds(13), 0.5},
      {Fault::kCutOff, seconds(10), seconds(20), 1},
      {Fault::kRestarted, seconds(12), seconds(13), 1},
      {Fault::kRestarted, seconds(15), seconds(16), 0.6}}},
    {"leaders change, all restarted",
     {{Fault::kNoLeader, seconds(10), seconds(11), 1},
      {Fault::kRestarted, seconds(11), seconds(12), 1},
      {Fault::kNoLeader, seconds(13), milliseconds(13700), 1},
      {Fault::kNoLeader, seconds(15), seconds(16), 1},
      {Fault::kRestarted, seconds(16), seconds(17), 1}}},
};

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(SumStaysBelowTheLimitUnderFaults);
  CPPUNIT_TEST(SumStaysBelowTheLimitInRandomRuns);
  CPPUNIT_TEST(MostOfTheLimitCanBeUsedInCalm);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against processes that together send more retries than are allowed because they were
  // restarted, started, frozen or cut off, or because the leader has changed.
  void SumStaysBelowTheLimitUnderFaults() {
    std::ostringstream failures;
    for (const std::size_t processes : {4, 18, 59, 360}) {
      for (const auto& row : kFaultRows) Check(Storm(row.name, processes, row.faults), failures);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures.str());
  }

  // The same with faults and loads drawn by seeds.
  void SumStaysBelowTheLimitInRandomRuns() {
    const char* runs = std::getenv("WTS_RETRY_RUNS");
    const std::uint64_t last = runs == nullptr ? kRandomRuns : std::strtoull(runs, nullptr, 10);
    std::ostringstream failures;
    for (std::uint64_t seed = 1; seed <= last; ++seed) {
      Check(retry_model::RandomScenario(seed), failures);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures.str());
  }

  // Guards against a limit that is kept by wasting most of it: in consecutive windows of calm, in
  // which more retries are needed than allowed, most of those allowed can be sent.
  void MostOfTheLimitCanBeUsedInCalm() {
    std::ostringstream failures;
    for (const std::size_t processes : {4, 18, 59, 360}) {
      const Scenario scenario = Storm("calm", processes, {});
      const auto result = RunPolicy(scenario);
      for (TimePoint from = kStormStart; from <= kStormEnd - scenario.rule.window;
           from += scenario.rule.window) {
        const double part =
            retry_budget_rule::PartUsed(scenario.rule, result.requests, result.retries, from);
        if (part >= kMinCalmPart) continue;
        failures << scenario.name << ", window from " << ToSeconds(from - retry_model::kStart)
                 << " s: " << part << " of the allowed retries\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures.str());
  }

 private:
  static retry_model::Result RunPolicy(const Scenario& scenario) {
    PartPolicy policy(scenario);
    return retry_model::Run(scenario, policy);
  }

  static void Check(const Scenario& scenario, std::ostringstream& failures) {
    const auto result = RunPolicy(scenario);
    const double part =
        retry_budget_rule::LargestPart(scenario.rule, result.requests, result.retries);
    if (part > 1) failures << scenario.name << ": " << part << " of the allowed retries\n";
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace
}  // namespace wagtailslip::serving
