// Limits that replicas name in their answers, on control and ingress processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

#include "cluster.h"
#include "limited_replicas.h"
#include "request_limit_rule.h"

namespace wagtailslip::system_test {
namespace {

using request_limit_rule::kExtra;
using request_limit_rule::kFactor;

constexpr int kControls = 3;
constexpr int kIngresses = 8;

struct PlanRow {
  const char* name;
  std::vector<LimitStep> steps;
};
/// All rows are replicas of one service at the same time.
const PlanRow kPlanRows[] = {
    {"constant", {{1s, 1}}},
    {"under-one", {{1s, 0.5}}},
    {"lowered", {{1s, 20}, {8s, 2}}},
    {"raised", {{1s, 2}, {8s, 30}}},
    {"withdrawn", {{1s, 1}, {8s, std::nullopt}}},
};

constexpr int kThreads = 16;

/// Callers that send requests to all ingress processes in turn at a constant rate.
class ConstantLoad {
 public:
  ConstantLoad(const std::vector<std::string>& addresses, double per_second) {
    const auto interval = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(kThreads / per_second));
    for (int i = 0; i < kThreads; ++i) {
      threads_.emplace_back([this, addresses, interval, i] {
        auto next = std::chrono::steady_clock::now() + interval * i / kThreads;
        for (std::size_t n = static_cast<std::size_t>(i); !finish_; n += kThreads) {
          std::this_thread::sleep_until(next);
          next += interval;
          Call(addresses[n % addresses.size()], n);
        }
      });
    }
  }
  ~ConstantLoad() { Finish(); }

  void Finish() {
    finish_ = true;
    for (auto& it : threads_) {
      if (it.joinable()) it.join();
    }
  }
  std::size_t served() const { return served_; }
  std::size_t rejected() const { return rejected_; }
  /// Rejections that do not say when to come back.
  std::size_t rejected_without_time() const { return rejected_without_time_; }

 private:
  void Call(const std::string& address, std::size_t n) {
    const net::HttpHeaders headers{{"Host", "orders.example"},
                                   {"Attempt-Id", "a" + std::to_string(n)},
                                   {"Deadline-Ms", "1500"}};
    const auto reply = Send(address, verb::get, "/orders/1", {}, headers, 3s);
    if (reply.status == 200) ++served_;
    if (reply.status != 503) return;
    ++rejected_;
    if (reply.response.Header("Retry-After").empty()) ++rejected_without_time_;
  }

  std::atomic<bool> finish_{false};
  std::atomic<std::size_t> served_{0};
  std::atomic<std::size_t> rejected_{0};
  std::atomic<std::size_t> rejected_without_time_{0};
  std::vector<std::thread> threads_;
};

std::size_t CountIn(const std::vector<Duration>& arrivals, Duration begin, Duration end) {
  return static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(), [&](Duration it) { return it >= begin && it < end; }));
}

/// The first excess over the rule at each replica that has one.
std::vector<std::string> Excesses(const LimitedReplicas& replicas) {
  std::vector<std::string> excesses;
  for (const auto& plan : replicas.plans()) {
    const std::string excess = request_limit_rule::FirstExcess(
        replicas.Arrivals(plan.id), [&](Duration time) { return plan.LimitAt(time); },
        plan.steps.front().at);
    if (!excess.empty()) excesses.push_back(plan.id + " " + excess);
  }
  return excesses;
}

class RequestLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLimitTest);
  CPPUNIT_TEST(NamedLimitsHoldOverAllIngressProcesses);
  CPPUNIT_TEST(NamedLimitsHoldWhileProcessesFail);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::string> Addresses(const Cluster& cluster,
                                            const std::vector<std::string>& names) {
    std::vector<std::string> addresses;
    for (const auto& it : names) addresses.push_back(cluster.Address(it));
    return addresses;
  }

  static std::vector<ReplicaPlan> Plans(const Cluster& cluster) {
    std::vector<ReplicaPlan> plans;
    for (const auto& row : kPlanRows) {
      plans.push_back(
          {row.name, cluster.ReplicaAddress(static_cast<int>(plans.size())), row.steps, {}});
    }
    return plans;
  }

  static void SetConfig(const Cluster& cluster) {
    const Json config{{"version", 1},
                      {"route-table",
                       {{{"name", "orders"},
                         {"host", "orders.example"},
                         {"path-prefix", "/orders/"},
                         {"route-type", "idempotent"},
                         {"timeout-ms", 1500},
                         {"target-latency-ms", 300},
                         {"backend", "orders"},
                         {"max-attempts", 2},
                         {"public", true}}}},
                      {"backends", {{{"name", "orders"}, {"max-connections", 100}}}}};
    cluster.SetConfig(config);
  }

  static void WaitServed(const Cluster& cluster) {
    for (const auto& name : cluster.ingresses()) {
      cluster.WaitFor(name + " serves", [&] {
        const net::HttpHeaders headers{{"Host", "orders.example"}, {"Attempt-Id", "w"}};
        return Send(cluster.Address(name), verb::get, "/orders/1", {}, headers, 3s).status == 200;
      });
    }
  }

 public:
  // Guards against limits that each ingress process keeps, or does not keep, for itself: a replica
  // that names a limit below the number of processes got one request from each of them in turn and
  // several times what it had named.
  void NamedLimitsHoldOverAllIngressProcesses() {
    Cluster cluster;
    cluster.StartDeployment(kControls, kIngresses);
    SetConfig(cluster);
    LimitedReplicas replicas(Plans(cluster), "orders", Addresses(cluster, cluster.controls()));
    WaitServed(cluster);
    ConstantLoad load(Addresses(cluster, cluster.ingresses()), 100);
    cluster.WaitFor("the load has run", [&] { return replicas.Elapsed() > 18s; });
    load.Finish();
    std::cout << load.served() << " served, " << load.rejected() << " rejected\n";
    for (const auto& it : Excesses(replicas)) CPPUNIT_FAIL(it);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load.rejected_without_time());
    // A limit that was raised or withdrawn no longer holds requests back.
    CPPUNIT_ASSERT(CountIn(replicas.Arrivals("raised"), 12s, 16s) > kFactor * 4 * 2 + kExtra);
    CPPUNIT_ASSERT(CountIn(replicas.Arrivals("withdrawn"), 12s, 16s) > kFactor * 4 * 1 + kExtra);
  }

  // Guards against a sum that is kept only while all processes run: a process that restarts has
  // forgotten what it sent, one that wakes up uses what was granted to it before, and a new leader
  // grants again what its predecessor granted.
  void NamedLimitsHoldWhileProcessesFail() {
    Cluster cluster;
    cluster.StartDeployment(kControls, kIngresses);
    SetConfig(cluster);
    LimitedReplicas replicas(Plans(cluster), "orders", Addresses(cluster, cluster.controls()));
    WaitServed(cluster);
    ConstantLoad load(Addresses(cluster, cluster.ingresses()), 100);
    const auto at = [&](Duration time) {
      cluster.WaitFor("the time of the next fault", [&] { return replicas.Elapsed() > time; });
    };
    at(5s);
    cluster.Kill("i1");
    cluster.Freeze("i2");
    cluster.Restart("i1");
    at(6s);
    cluster.Continue("i2");
    const std::string leader = cluster.ControlLeader();
    if (!leader.empty()) cluster.Kill(leader);
    at(9s);
    if (!leader.empty()) cluster.Restart(leader);
    cluster.Stop("i3");
    at(11s);
    for (const auto& it : cluster.controls()) cluster.Freeze(it);
    at(14s);
    for (const auto& it : cluster.controls()) cluster.Continue(it);
    at(20s);
    load.Finish();
    std::cout << load.served() << " served, " << load.rejected() << " rejected\n";
    for (const auto& it : Excesses(replicas)) CPPUNIT_FAIL(it);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load.rejected_without_time());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitTest);

}  // namespace
}  // namespace wagtailslip::system_test
