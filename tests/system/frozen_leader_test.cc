// A leader that is frozen and continues, on real processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "command_writer.h"

namespace wagtailslip::system_test {
namespace {

class FrozenLeaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrozenLeaderTest);
  CPPUNIT_TEST(FrozenLeaderOrdersNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a leader that continues after a silent partition and orders under its old lease,
  // shows a configuration that reverts, or serves callers before it has caught up.
  void FrozenLeaderOrdersNothing() {
    constexpr int kAsked = 16;
    Cluster cluster;
    cluster.StartEntries();
    cluster.StartService(1, "bookings");
    cluster.WaitReady(cluster.entries(), 1);
    CommandWriter writer(cluster, 3, 41);
    writer.Start();
    cluster.WaitFor("commands are accepted", [&] { return writer.accepted() >= 30; });
    const std::string old = cluster.WaitLeader();
    const std::uint64_t old_term = cluster.Get(old, "/v1/status")["term"];
    cluster.Freeze(old);
    std::string leader;
    cluster.WaitFor("another leader", [&] {
      leader = cluster.Leader();
      return !leader.empty() && leader != old;
    });
    const std::string rule =
        R"({"request_id":"freeze","kind":"booking","call_class":"at-most-once"})";
    Reply accepted;
    cluster.WaitFor("the rule is accepted", [&] {
      accepted = CommandWriter::SendCommand(cluster, leader, rule);
      return accepted.status == 200;
    });
    const std::uint64_t revision = accepted.Body()["revision"];
    const std::string in_force = "/v1/revisions/" + std::to_string(revision);
    cluster.WaitFor("the rule is in force", [&] {
      const Json view = cluster.Get(leader, in_force);
      return view.is_object() && view["in_force"] == true;
    });
    const auto before = writer.accepted();
    cluster.WaitFor("commands are accepted", [&] { return writer.accepted() >= before + 60; });

    // The requests wait in the sockets of the frozen process and are read as it continues. A call
    // of this kind without a key may run only under the rules from before the freeze.
    std::vector<std::thread> callers;
    std::vector<Reply> replies(kAsked);
    Reply resent;
    Reply conflicting;
    for (auto& reply : replies) {
      callers.emplace_back([&] {
        reply = Send(cluster.Address(old), verb::post, "/v1/services/bookings/release", "{}",
                     {{"X-Request-Kind", "booking"}});
      });
    }
    callers.emplace_back([&] { resent = CommandWriter::SendCommand(cluster, old, rule, 20s); });
    callers.emplace_back([&] {
      const std::string other = R"({"request_id":"late","kind":"booking","priority":1})";
      conflicting = CommandWriter::SendCommand(cluster, old, other, 20s);
    });
    std::this_thread::sleep_for(1s);
    cluster.Continue(old);
    for (auto& it : callers) it.join();
    std::map<std::string, int> answers;
    for (const auto& reply : replies) {
      ++answers[std::to_string(reply.status) + " " + reply.Outcome()];
      CPPUNIT_ASSERT_MESSAGE("ran under old rules: " + reply.response.body, reply.status != 200);
    }
    for (const auto& [answer, n] : answers) std::cout << n << " x " << answer << "; ";
    const Json counters = cluster.Get("s1", "/counters");
    CPPUNIT_ASSERT_EQUAL(0, counters["executions"].get<int>());
    // An answer may be missing for a while, but it is never another one.
    if (resent.status == 200) {
      CPPUNIT_ASSERT_EQUAL(revision, resent.Body()["revision"].get<std::uint64_t>());
    }
    CPPUNIT_ASSERT_MESSAGE(conflicting.response.body, conflicting.status != 200);
    std::cout << "resent command " << resent.status << ", stale command " << conflicting.status
              << "\n";
    cluster.WaitReady(cluster.entries(), 1);
    writer.Finish();
    for (const auto& it : writer.Faults()) CPPUNIT_FAIL(it);
    writer.CheckSameAnswers(old);
    for (const auto& name : cluster.entries()) {
      cluster.WaitFor(name + " has the last revision", [&] {
        const Json here = cluster.Get(name, "/v1/status");
        const Json there = cluster.Get(cluster.WaitLeader(), "/v1/status");
        return here.is_object() && there.is_object() && here["revision"] >= there["revision"];
      });
      writer.CheckRules(name);
      CPPUNIT_ASSERT(cluster.Get(name, "/v1/status")["term"].get<std::uint64_t>() > old_term);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FrozenLeaderTest);

}  // namespace
}  // namespace wagtailslip::system_test
