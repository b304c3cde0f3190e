// Sum over all ingress processes of the sends beyond the first one of each request.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <sstream>

#include "retry_model.h"
#include "wagtailslip/serving/retry_allocator.h"
#include "wagtailslip/serving/retry_pool.h"

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

/// The pools of the ingress processes, and the allocator of the control process that leads.
class PermitPolicy : public retry_model::Policy {
 public:
  explicit PermitPolicy(const Scenario& scenario)
      : limits_{scenario.rule.ratio, scenario.rule.extra, scenario.rule.window},
        random_(static_cast<std::minstd_rand::result_type>(scenario.seed)),
        processes_(scenario.processes),
        allocator_(limits_) {}

  void Start(std::size_t process, TimePoint now) override {
    processes_[process].pool.emplace(limits_);
    processes_[process].incarnation = now.time_since_epoch().count();
  }
  void OnRequest(std::size_t process, TimePoint now) override {
    processes_[process].pool->OnRequest(kService, now);
  }
  bool Take(std::size_t process, TimePoint now) override {
    return processes_[process].pool->Take(kService, now);
  }
  void Tick(std::size_t process, TimePoint now) override {
    Process& state = processes_[process];
    for (auto& grant : Due(state.grants, now)) {
      state.pool->OnGrant(grant.first, grant.second, now);
    }
    auto report = state.pool->NextReport(processes_.size(), now);
    if (!report) return;
    report->process = std::to_string(process);
    report->incarnation = state.incarnation;
    if (state.connected)
      reports_.emplace(ArrivalTime(state, now), std::make_pair(process, *report));
  }
  void TickControl(bool leading, TimePoint now) override {
    if (!leading) {
      // A command under way at the end of a term may be committed or not.
      if (commit_at_ && random_() % 2 == 0) logged_ = committing_;
      commit_at_.reset();
      leading_ = false;
    } else if (!leading_) {
      leading_ = true;
      ++term_;
      allocator_ = RetryAllocator(limits_);
      allocator_.TakeOver(logged_, now);
    }
    for (const auto& [process, report] : Due(reports_, now)) {
      Process& state = processes_[process];
      if (!leading_ || !state.connected) continue;
      state.grants.emplace(ArrivalTime(state, now),
                           std::make_pair(allocator_.Grant(report, now), std::to_string(term_)));
    }
    if (!leading_) return;
    if (commit_at_ && now >= *commit_at_) {
      logged_ = committing_;
      commit_at_.reset();
      allocator_.OnBlocksCommitted(true);
    }
    if (const auto blocks = allocator_.BlocksToCommit(now)) {
      committing_ = *blocks;
      commit_at_ = now + kCommitTime;
    }
  }
  void SetListed(std::size_t) override {}
  void SetLink(std::size_t process, bool connected, Duration lateness) override {
    Process& state = processes_[process];
    if (!connected) state.grants.clear();
    state.connected = connected;
    state.lateness = lateness;
  }

 private:
  static constexpr Duration kNetworkDelay = milliseconds(3);
  static constexpr Duration kCommitTime = milliseconds(40);
  using Grant = std::pair<RetryGrant, std::string>;
  struct Process {
    std::optional<RetryPool> pool;
    std::int64_t incarnation = 0;
    std::multimap<TimePoint, Grant> grants;
    bool connected = false;
    Duration lateness{};
  };

  TimePoint ArrivalTime(const Process& process, TimePoint now) {
    const double part = std::uniform_real_distribution<double>(0, 1)(random_);
    return now + kNetworkDelay + std::chrono::duration_cast<Duration>(process.lateness * part);
  }
  template <typename T>
  static std::vector<T> Due(std::multimap<TimePoint, T>& messages, TimePoint now) {
    std::vector<T> due;
    const auto end = messages.upper_bound(now);
    for (auto it = messages.begin(); it != end; ++it) due.push_back(std::move(it->second));
    messages.erase(messages.begin(), end);
    return due;
  }

  RetryLimits limits_;
  std::minstd_rand random_;
  std::vector<Process> processes_;
  RetryAllocator allocator_;
  bool leading_ = false;
  int term_ = 0;
  /// Blocks in the replicated log, and the command that is being committed.
  int logged_ = 0;
  int committing_ = 0;
  std::optional<TimePoint> commit_at_;
  std::multimap<TimePoint, std::pair<std::size_t, RetryReport>> reports_;
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
  CPPUNIT_TEST(FreesTheBudgetAfterTheWindow);
  CPPUNIT_TEST(CountsPermitsOfDeadProcesses);
  CPPUNIT_TEST(LeavesTheLoggedBlocksToFormerLeaders);
  CPPUNIT_TEST(AcceptsOnlyTheReplyToTheLatestReport);
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

  // Guards against retries that count for longer than the window, or in another service.
  void FreesTheBudgetAfterTheWindow() {
    RetryLedger ledger({0.2, 10, seconds(10)});
    const auto available = [&](int s) { return ledger.Available(1, seconds(4), At(s)); };
    CPPUNIT_ASSERT_EQUAL(10.0, available(0));
    ledger.AddRetries(10, At(0));
    CPPUNIT_ASSERT_EQUAL(0.0, available(9));
    CPPUNIT_ASSERT_EQUAL(10.0, available(11));
    // Requests allow retries in the windows to which they surely belong, not twice as many in two
    // windows that share them.
    ledger.AddRequests(100, At(11), At(11));
    CPPUNIT_ASSERT_EQUAL(30.0, available(11));
    ledger.AddRequests(100, At(20), At(20));
    ledger.AddRetries(30, At(21));
    CPPUNIT_ASSERT_EQUAL(0.0, available(22));
  }

  // Guards against a restarted process that has its predecessor's permits again.
  void CountsPermitsOfDeadProcesses() {
    RetryAllocator allocator(kLimits);
    OpenAllBlocks(allocator, At(0));
    std::uint64_t granted = 0;
    for (int s = 0; s < 10; ++s) {
      RetryReport report = ReportOf("p", s, At(s));
      for (const auto& row : allocator.Grant(report, At(s)).rows) granted += row.granted;
    }
    CPPUNIT_ASSERT(granted > 0);
    CPPUNIT_ASSERT(static_cast<double>(granted) <= kLimits.extra);
  }

  // Guards against a new leader that grants what its predecessors may have granted already.
  void LeavesTheLoggedBlocksToFormerLeaders() {
    for (const int blocks : {0, 2, 5, kRetryBlocks}) {
      RetryAllocator allocator(kLimits);
      allocator.TakeOver(blocks, At(0));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0},
                           allocator.Grant(ReportOf("p", 1, At(0)), At(0)).rows[0].granted);
      const auto total = [&](int s) {
        while (const auto wanted = allocator.BlocksToCommit(At(s))) {
          CPPUNIT_ASSERT(*wanted <= kRetryBlocks);
          allocator.OnBlocksCommitted(true);
          allocator.Grant(ReportOf("p", 1, At(s)), At(s));
        }
        return allocator.inherited_blocks() + allocator.open_blocks();
      };
      CPPUNIT_ASSERT_EQUAL(kRetryBlocks, total(1));
      CPPUNIT_ASSERT_EQUAL(blocks, allocator.inherited_blocks());
      total(20);
      CPPUNIT_ASSERT_EQUAL(0, allocator.inherited_blocks());
    }
  }

  // Guards against permits that count as void at the allocator and are used by the process.
  void AcceptsOnlyTheReplyToTheLatestReport() {
    RetryPool pool(kLimits);
    pool.OnRequest(kService, At(0));
    const auto first = pool.NextReport(1, At(0));
    CPPUNIT_ASSERT(first.has_value());
    const auto second = pool.NextReport(1, At(1));
    CPPUNIT_ASSERT(second.has_value());
    RetryGrant grant;
    grant.lifetime = seconds(4);
    grant.rows = {{kService, 5, 5}};
    grant.report_sent_at = first->sent_at;
    pool.OnGrant(grant, "c", At(1));
    CPPUNIT_ASSERT(!pool.Take(kService, At(1)));
    grant.report_sent_at = second->sent_at;
    pool.OnGrant(grant, "c", At(1));
    CPPUNIT_ASSERT(pool.Take(kService, At(1)));
    CPPUNIT_ASSERT(pool.Take(kService, At(4)));
    CPPUNIT_ASSERT_MESSAGE("expired", !pool.Take(kService, At(5)));
  }

 private:
  static constexpr RetryLimits kLimits{0, 100, seconds(10)};

  static TimePoint At(int s) { return retry_model::kStart + seconds(s); }

  static RetryReport ReportOf(const std::string& process, std::int64_t incarnation,
                              TimePoint sent_at) {
    RetryReport report;
    report.process = process;
    report.incarnation = incarnation;
    report.sent_at = sent_at;
    report.rows.push_back({kService, {}, 0, 0, 100});
    return report;
  }

  static void OpenAllBlocks(RetryAllocator& allocator, TimePoint now) {
    allocator.TakeOver(0, now);
    allocator.Grant(ReportOf("other", 1, now), now);
    while (allocator.BlocksToCommit(now)) allocator.OnBlocksCommitted(true);
  }

  static retry_model::Result RunPolicy(const Scenario& scenario) {
    PermitPolicy policy(scenario);
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
