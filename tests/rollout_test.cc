#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

#include "config_fixture.h"
#include "wagtailslip/rollout/chart.h"
#include "wagtailslip/rollout/controller.h"

namespace wagtailslip::rollout {
namespace {

using config::AdvanceRollout;
using config::MakeEndpoint;
using config::MakeRollout;

struct InvalidChart {
  const char* what;
  const char* text;
};

constexpr InvalidChart kInvalidCharts[] = {
    {"no name", "initial a\nstate a\n"},
    {"no initial state", "chart c\ninitial b\nevent e\nstate a\nignore e\n"},
    {"unhandled event", "chart c\ninitial a\nevent e f\nstate a\nignore e\n"},
    {"undeclared event", "chart c\ninitial a\nevent e\nstate a\nignore e\nignore f\n"},
    {"unreachable state", "chart c\ninitial a\nevent e\nstate a\nignore e\nstate b\non e -> a\n"},
    {"undefined state", "chart c\ninitial a\nevent e\nstate a\non e -> b\n"},
    {"state twice", "chart c\ninitial a\nevent e\nstate a\nignore e\nstate a\n"},
    {"refusal without reason", "chart c\ninitial a\nevent e\nstate a\nrefuse e\n"},
    {"unknown word", "chart c\ninitial a\nevent e\nstate a\nallow e\n"},
};

/// Simulates the parts of an agent and its engine that the controller observes.
struct FakeAgent {
  Progress progress;
  Order order;
  bool alive = true;
  /// While false, neither reports nor orders are delivered.
  bool reachable = true;
  bool fails = false;

  void Step(std::mt19937& random, TimePoint now) {
    if (!alive) return;
    progress.received_at = now;
    if (order.endpoint_id.empty()) return;
    if (progress.target_root != order.artifact.root) {
      progress.target_root = order.artifact.root;
      progress.chunks_present = 0;
      progress.chunks_total = 4;
      progress.state = ReplicaState::kFetching;
      progress.error.clear();
    }
    if (random() % 3 == 0) return;
    const bool swap = order.kind == OrderKind::kSwap;
    switch (progress.state) {
      case ReplicaState::kIdle:
      case ReplicaState::kFetching:
        if (progress.chunks_present < progress.chunks_total) ++progress.chunks_present;
        if (progress.Verified()) progress.state = ReplicaState::kVerified;
        break;
      case ReplicaState::kVerified:
        if (progress.served_root == progress.target_root) progress.state = ReplicaState::kServing;
        if (swap && progress.served_root != progress.target_root) {
          progress.state = ReplicaState::kDraining;
        }
        break;
      case ReplicaState::kDraining:
        progress.state = ReplicaState::kLoading;
        progress.served_root = Digest{};
        break;
      case ReplicaState::kLoading:
        progress.state = fails ? ReplicaState::kFailed : ReplicaState::kChecking;
        if (fails) progress.error = "load failed";
        break;
      case ReplicaState::kChecking:
        progress.state = ReplicaState::kServing;
        progress.served_root = progress.target_root;
        break;
      default:
        break;
    }
  }
};

/// Simulates one leader, one replicated log and many agents.
class Cluster {
 public:
  explicit Cluster(unsigned seed) : random_(seed) {}

  void Join(const std::string& id, const std::string& domain, std::uint64_t incarnation = 1) {
    log.Apply(MakeEndpoint(id, incarnation, domain));
    FakeAgent& agent = agents[id];
    const bool fails = agent.fails;
    agent = FakeAgent{};
    agent.fails = fails;
    agent.progress.endpoint_id = id;
    agent.progress.incarnation = incarnation;
  }

  std::size_t Routable() const {
    std::size_t count = 0;
    const config::VersionHistory* history = log.machine.FindVersionHistory("m");
    if (!reports.contains("m")) return 0;
    for (const auto& [id, progress] : reports.at("m")) {
      const auto* endpoint = log.machine.FindEndpoint(id);
      // The leader detects a dead agent only by its missing reports, so an agent with a recent
      // report counts as alive.
      const bool reported = now - progress.received_at <= ControllerOptions{}.report_timeout;
      if (reported && DecideRouting(*history, *endpoint, &progress).allowed) ++count;
    }
    return count;
  }

  /// Runs one round: agents make progress, the leader decides, its records are committed and its
  /// orders are delivered.
  void Round() {
    now += std::chrono::milliseconds(100);
    for (auto& [id, agent] : agents) {
      agent.Step(random_, now);
      if (agent.reachable) reports["m"][id] = agent.progress;
    }
    const Decision decision = controller.Decide(log.machine.state(), reports, 1, now);
    if (!decision.status.empty()) waiting = decision.status.front().wait_reason;
    // Records of a deposed leader are committed one round late; a resent record is committed twice.
    for (const auto& record : std::exchange(late_records_, {})) log.Apply(record);
    if (commit_late && random_() % 4 == 0) late_records_ = decision.records;
    for (const auto& record : decision.records) {
      const auto& advance = std::get<AdvanceRollout>(record);
      const auto* rollout = log.machine.FindRollout(advance.rollout_id);
      const std::size_t before = Routable();
      log.Apply(record);
      if (advance.event != "open") continue;
      CPPUNIT_ASSERT(advance.endpoints.size() <= rollout->spec.batch_size);
      CPPUNIT_ASSERT(Routable() >= std::min<std::size_t>(before, rollout->spec.minimum_serving));
    }
    for (const auto& order : decision.orders) {
      FakeAgent& agent = agents.at(order.endpoint_id);
      if (!agent.alive || !agent.reachable || order.incarnation != agent.progress.incarnation)
        continue;
      // An engine that obeys fencing would refuse an order whose token decreases.
      CPPUNIT_ASSERT(order.token >= agent.order.token);
      agent.order = order;
    }
  }

  std::string RolloutState() const {
    const auto& history = *log.machine.FindVersionHistory("m");
    return log.machine.FindRollout(history.rollout_id)->state;
  }

  std::string RunUntilFinished(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      Round();
      if (RolloutState() == "complete" || RolloutChart().IsFinal(RolloutState())) break;
    }
    return RolloutState();
  }

  config::ApplyResult Create(const std::string& version, std::uint32_t minimum = 2,
                             std::uint32_t batch = 2, std::uint32_t failures = 2) {
    auto record = MakeRollout("q" + std::to_string(log.index), log.CommandRevision(), version);
    record.minimum_serving = minimum;
    record.batch_size = batch;
    record.failure_limit = failures;
    return log.Apply(record);
  }

  config::ApplyResult Control(config::RolloutAction action) {
    const auto& history = *log.machine.FindVersionHistory("m");
    return log.Apply(config::ControlRollout{
        {.request_id = "q" + std::to_string(log.index), .base_revision = history.command_revision},
        history.rollout_id,
        action});
  }

  bool AllServe(const std::string& version) const {
    return std::all_of(agents.begin(), agents.end(), [&](const auto& entry) {
      return !entry.second.alive || entry.second.progress.served_root == Sha256("m" + version);
    });
  }

  config::TestLog log;
  Controller controller;
  /// Newest delivered report of each agent.
  Reports reports;
  std::map<std::string, FakeAgent> agents;
  TimePoint now{};
  std::string waiting;
  /// Whether some records are committed again one round later.
  bool commit_late = false;

 private:
  std::vector<config::Record> late_records_;
  std::mt19937 random_;
};

Cluster MakeCluster(unsigned seed, int size = 6) {
  Cluster cluster(seed);
  for (int i = 0; i < size; ++i) {
    cluster.Join("e" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)));
  }
  return cluster;
}

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(InvalidChartsAreRejected);
  CPPUNIT_TEST(EmbeddedChartsNameTheReportedStates);
  CPPUNIT_TEST(VersionsReplaceEachOther);
  CPPUNIT_TEST(FailuresHaltAndRollBack);
  CPPUNIT_TEST(OperatorActionsReachTheirFinalState);
  CPPUNIT_TEST(LostAndNewEndpointsDoNotBlock);
  CPPUNIT_TEST(UnexpectedRootIsExcludedFromRouting);
  CPPUNIT_TEST(MinimumServingBlocksTheSwap);
  CPPUNIT_TEST(StaleBatchIsRejected);
  CPPUNIT_TEST(RolloutFailureDoesNotCountInTheRollback);
  CPPUNIT_TEST(EachFailureDomainKeepsAServingReplica);
  CPPUNIT_TEST(AdapterIsOrderedOnlyWhereItsBaseServes);
  CPPUNIT_TEST(RandomRunsFinish);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepting an invalid chart, such as one with a state that does not handle an
  // event.
  void InvalidChartsAreRejected() {
    for (const auto& row : kInvalidCharts) {
      CPPUNIT_ASSERT_THROW_MESSAGE(row.what, Chart::Parse(row.text), ChartError);
    }
  }

  // Guards against a replica state whose name differs between the chart and the report codec.
  void EmbeddedChartsNameTheReportedStates() {
    for (const auto& name : ReplicaChart().states()) CPPUNIT_ASSERT(kReplicaStates.Find(name));
    CPPUNIT_ASSERT_EQUAL(kReplicaStates.rows.size(), ReplicaChart().states().size());
    CPPUNIT_ASSERT(RolloutChart().IsFinal("superseded"));
  }

  void VersionsReplaceEachOther() {
    Cluster cluster = MakeCluster(1);
    for (const char* version : {"v1", "v2", "v3"}) {
      CPPUNIT_ASSERT(cluster.Create(version).ok());
      CPPUNIT_ASSERT_EQUAL(std::string("complete"), cluster.RunUntilFinished(400));
      CPPUNIT_ASSERT(cluster.AllServe(version));
    }
    // A rollout superseded midway ends with the newest version on all endpoints.
    cluster.Create("v4");
    for (int i = 0; i < 25; ++i) cluster.Round();
    cluster.Create("v5");
    CPPUNIT_ASSERT_EQUAL(std::string("complete"), cluster.RunUntilFinished(400));
    CPPUNIT_ASSERT(cluster.AllServe("v5"));
  }

  void FailuresHaltAndRollBack() {
    Cluster cluster = MakeCluster(2);
    cluster.Create("v1");
    cluster.RunUntilFinished(400);
    for (auto& [id, agent] : cluster.agents) agent.fails = id == "e1" || id == "e2";
    cluster.Create("v2", 2, 3, 2);
    for (int i = 0; i < 400 && cluster.RolloutState() != "halting"; ++i) cluster.Round();
    CPPUNIT_ASSERT_EQUAL(std::string("halting"), cluster.RolloutState());
    for (auto& [id, agent] : cluster.agents) agent.fails = false;
    CPPUNIT_ASSERT_EQUAL(std::string("rolled-back"), cluster.RunUntilFinished(400));
    CPPUNIT_ASSERT(cluster.AllServe("v1"));
    const auto* history = cluster.log.machine.FindVersionHistory("m");
    const auto* rollout = cluster.log.machine.FindRollout(history->rollout_id);
    CPPUNIT_ASSERT(rollout->reason.find("limit is 2") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), history->last_good->version);
  }

  void OperatorActionsReachTheirFinalState() {
    using config::RolloutAction;
    struct Row {
      RolloutAction action;
      int rounds;
      const char* end;
      const char* served;
    };
    const Row rows[] = {{RolloutAction::kCancel, 0, "cancelled", "v1"},
                        {RolloutAction::kCancel, 20, "cancelled", "v1"},
                        {RolloutAction::kRollBack, 0, "rolled-back", "v1"},
                        {RolloutAction::kRollBack, 20, "rolled-back", "v1"},
                        {RolloutAction::kRollBack, 400, "rolled-back", "v1"}};
    for (const auto& row : rows) {
      Cluster cluster = MakeCluster(3);
      cluster.Create("v1");
      cluster.RunUntilFinished(400);
      cluster.Create("v2");
      for (int i = 0; i < row.rounds; ++i) cluster.Round();
      CPPUNIT_ASSERT(cluster.Control(row.action).ok());
      CPPUNIT_ASSERT_EQUAL(std::string(row.end), cluster.RunUntilFinished(400));
      CPPUNIT_ASSERT(cluster.AllServe(row.served));
    }
    Cluster paused = MakeCluster(4);
    paused.Create("v1");
    CPPUNIT_ASSERT(paused.Control(RolloutAction::kPause).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("paused"), paused.RunUntilFinished(100));
    CPPUNIT_ASSERT(paused.Control(RolloutAction::kResume).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("complete"), paused.RunUntilFinished(400));
    CPPUNIT_ASSERT(!paused.Control(RolloutAction::kRollBack).ok());
  }

  void LostAndNewEndpointsDoNotBlock() {
    Cluster cluster = MakeCluster(5);
    cluster.Create("v1");
    cluster.RunUntilFinished(400);
    cluster.Create("v2");
    for (int i = 0; i < 20; ++i) cluster.Round();
    cluster.agents.at("e0").alive = false;
    cluster.Join("e9", "a");
    CPPUNIT_ASSERT_EQUAL(std::string("complete"), cluster.RunUntilFinished(600));
    CPPUNIT_ASSERT(cluster.AllServe("v2"));
    // An endpoint that joins after completion is updated to the same version.
    cluster.Join("e10", "b");
    for (int i = 0; i < 100; ++i) cluster.Round();
    CPPUNIT_ASSERT(cluster.AllServe("v2"));
  }

  void UnexpectedRootIsExcludedFromRouting() {
    Cluster cluster = MakeCluster(6);
    cluster.Create("v1");
    cluster.RunUntilFinished(400);
    cluster.agents.at("e3").progress.served_root = Sha256("other");
    Reports reports;
    for (auto& [id, agent] : cluster.agents) reports["m"][id] = agent.progress;
    const auto decision =
        cluster.controller.Decide(cluster.log.machine.state(), reports, 1, cluster.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.excluded.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e3"), decision.excluded.front().endpoint_id);
  }

  // Guards against a rollout that leaves a small model without serving replicas. It must wait and
  // report the reason.
  void MinimumServingBlocksTheSwap() {
    Cluster cluster = MakeCluster(7, 2);
    cluster.Create("v1", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"), cluster.RunUntilFinished(400));
    cluster.Create("v2", 2);
    for (int i = 0; i < 100; ++i) cluster.Round();
    CPPUNIT_ASSERT(cluster.AllServe("v1"));
    CPPUNIT_ASSERT(cluster.waiting.find("minimum is 2") != std::string::npos);
  }

  // Guards against two decisions based on the same state that together exceed the batch size.
  void StaleBatchIsRejected() {
    Cluster cluster = MakeCluster(8);
    const std::string id = cluster.Create("v1").object;
    cluster.log.Apply(AdvanceRollout{id, "start"});
    CPPUNIT_ASSERT(cluster.log.Apply(AdvanceRollout{id, "open", {"e0"}, "", 1}).ok());
    const auto second = cluster.log.Apply(AdvanceRollout{id, "open", {"e1"}, "", 1});
    CPPUNIT_ASSERT_EQUAL(std::string("stale"), second.code);
  }

  void RolloutFailureDoesNotCountInTheRollback() {
    Cluster cluster = MakeCluster(9);
    cluster.Create("v1");
    cluster.RunUntilFinished(400);
    const std::string id = cluster.Create("v2").object;
    cluster.log.Apply(AdvanceRollout{id, "start"});
    cluster.log.Apply(AdvanceRollout{id, "halt"});
    CPPUNIT_ASSERT_EQUAL(std::string("stale"),
                         cluster.log.Apply(AdvanceRollout{id, "fail", {"e0"}}).code);
    CPPUNIT_ASSERT(cluster.log.machine.FindRollout(id)->rollback_failed.empty());
  }

  // Guards against a batch that swaps all replicas of a failure domain at once while the total
  // still meets the minimum.
  void EachFailureDomainKeepsAServingReplica() {
    Cluster cluster = MakeCluster(10);
    cluster.Create("v1");
    cluster.RunUntilFinished(400);
    cluster.Create("v2", 1, 6);
    while (cluster.RolloutState() != "complete") {
      cluster.Round();
      std::set<std::string> domains;
      for (const auto& [id, progress] : cluster.reports.at("m")) {
        const auto* endpoint = cluster.log.machine.FindEndpoint(id);
        const auto* history = cluster.log.machine.FindVersionHistory("m");
        if (DecideRouting(*history, *endpoint, &progress).allowed) {
          domains.insert(endpoint->info.failure_domain);
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, domains.size());
    }
  }

  void AdapterIsOrderedOnlyWhereItsBaseServes() {
    Cluster cluster = MakeCluster(11);
    cluster.Create("v1");
    cluster.RunUntilFinished(400);
    auto adapter = MakeRollout("q", 0, "a1");
    adapter.kind = config::ArtifactKind::kAdapter;
    adapter.adapter = "letters";
    adapter.base_version = "v1";
    CPPUNIT_ASSERT(cluster.log.Apply(adapter).ok());
    cluster.reports["m"]["e2"].served_root = Digest{};
    for (const auto& [id, progress] : cluster.reports["m"]) {
      cluster.reports["m/letters"][id] = {
          .endpoint_id = id, .incarnation = 1, .received_at = cluster.now};
    }
    const auto decision =
        cluster.controller.Decide(cluster.log.machine.state(), cluster.reports, 1, cluster.now);
    std::set<std::string> ordered;
    for (const auto& order : decision.orders) {
      if (order.adapter == "letters") ordered.insert(order.endpoint_id);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, ordered.size());
    CPPUNIT_ASSERT(!ordered.contains("e2"));
  }

  // New versions, operator actions, crashes, restarts, failures and network loss in random order.
  // After they stop, the last rollout completes and all live replicas serve its version.
  void RandomRunsFinish() {
    for (unsigned seed = 1; seed <= 400; ++seed) {
      std::mt19937 random(seed);
      Cluster cluster = MakeCluster(seed, 4 + static_cast<int>(random() % 6));
      cluster.commit_late = seed % 2 == 0;
      cluster.Create("v0", 0);
      for (int i = 0; i < 200; ++i) {
        cluster.Round();
        auto it = cluster.agents.begin();
        std::advance(it, random() % cluster.agents.size());
        const auto* endpoint = cluster.log.machine.FindEndpoint(it->first);
        switch (random() % 25) {
          case 0:
            cluster.Create("v" + std::to_string(i), random() % 3, 1 + random() % 3);
            break;
          case 1:
            cluster.Control(config::kRolloutActions.rows[random() % 4].first);
            break;
          case 2:
            it->second.alive = false;
            break;
          case 3:
            cluster.Join(it->first, endpoint->info.failure_domain, endpoint->info.incarnation + 1);
            break;
          case 4:
            it->second.fails = !it->second.fails;
            break;
          case 5:
            it->second.reachable = !it->second.reachable;
            break;
          default:
            break;
        }
      }
      for (auto& [id, agent] : cluster.agents) {
        agent.fails = false;
        agent.reachable = true;
      }
      cluster.Join("fresh", "a");
      cluster.Create("last", 0, 3, 100);
      const std::string end = cluster.RunUntilFinished(1000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string("complete"), end);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), cluster.AllServe("last"));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace
}  // namespace wagtailslip::rollout
