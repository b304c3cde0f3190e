// A rollout with failures, on real processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "stream_load.h"

namespace wagtailslip::system_test {
namespace {

constexpr std::uint64_t kModelBytes = 16 * 1024 * 1024;
constexpr int kEngines = 4;
/// Stated bound for what the origin sends in one rollout.
constexpr double kMaxOriginCopies = 4;

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(CompletesWithFailures);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a rollout that a dead agent or corrupt chunks stop, that loads the origin with
  // repairs, and that serves a stream from two versions or cuts it during a swap.
  void CompletesWithFailures() {
    Cluster cluster;
    cluster.StartEntries();
    cluster.StartOrigin("dispatch", "v2", kModelBytes,
                        {"--chunk-bytes", "262144", "--fault-corrupt", "0.01", "--fault-seed", "1",
                         "--link-bytes-per-second", "8000000"});
    for (int i = 1; i <= kEngines; ++i) {
      cluster.StartEngine(i, "dispatch", "v1",
                          {"--token-ms", "5", "--first-token-ms", "5", "--slots", "64"},
                          i != kEngines);
    }
    cluster.WaitReady(cluster.entries(), kEngines);
    StreamLoad load(cluster, "dispatch", cluster.entries(), 6, 40);
    cluster.WaitFor("streams complete", [&] { return load.complete() >= 20; });

    Json command;
    command["request_id"] = "rollout-1";
    command["base_revision"] = 0;
    command["model"] = "dispatch";
    command["version"] = "v2";
    command["origin"] = cluster.Address("origin");
    command["minimum_serving"] = 2;
    command["batch_size"] = 1;
    const auto created = Send(cluster.Address("e1"), verb::post, "/v1/rollouts", command.dump());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(created.response.body, 200U, created.status);
    const std::string id = created.Body()["object"];
    const auto bytes_sent = [&] {
      const Json counters = cluster.Get("origin", "/counters");
      return counters.is_object() ? counters["bytes_sent"].get<std::uint64_t>() : 0;
    };
    cluster.WaitFor("a quarter of the model is sent",
                    [&] { return bytes_sent() > kModelBytes / 4; });
    cluster.Kill("g2");
    Json view;
    cluster.WaitFor("the rollout ends", [&] {
      view = cluster.Get(cluster.WaitLeader(), "/v1/rollouts/" + id);
      return view.is_object() && (view["state"] == "complete" || view["state"] == "halted" ||
                                  view["state"] == "failed");
    });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.dump(), std::string("complete"),
                                 view["state"].get<std::string>());
    const auto complete = load.complete();
    cluster.WaitFor("streams complete after it", [&] { return load.complete() >= complete + 40; });
    load.Finish();
    const std::string root = view["root"];
    for (int i = 1; i <= kEngines; ++i) {
      if (i == 2) continue;
      const Json state = cluster.Get("m" + std::to_string(i), "/admin/state");
      CPPUNIT_ASSERT_MESSAGE(state.dump(), state.dump().find(root) != std::string::npos);
    }
    // Without a corrupt chunk the run would not show that one is survived.
    CPPUNIT_ASSERT(cluster.Get("origin", "/counters")["corrupted"].get<std::uint64_t>() > 0);
    const double copies = static_cast<double>(bytes_sent()) / kModelBytes;
    std::cout << load.complete() << " streams, " << load.refused() << " refused, origin copies "
              << copies << "\n";
    for (const auto& it : load.Faults()) CPPUNIT_FAIL(it);
    CPPUNIT_ASSERT(copies <= kMaxOriginCopies);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, load.Versions().size());
    CPPUNIT_ASSERT(load.Versions().contains(root));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace
}  // namespace wagtailslip::system_test
