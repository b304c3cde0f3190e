// A voter that loses its data folder, on real processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "command_writer.h"

namespace wagtailslip::system_test {
namespace {

class RepairTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepairTest);
  CPPUNIT_TEST(SecondVoterLossAfterRepair);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a voter that votes under its old identity without its log, and a repair that
  // counts as done before its new voter can take part in a quorum.
  void SecondVoterLossAfterRepair() {
    Cluster cluster;
    cluster.StartEntries();
    cluster.WaitReady(cluster.entries(), 0);
    CommandWriter writer(cluster, 2, 61);
    writer.Start();
    cluster.WaitFor("commands are accepted", [&] { return writer.accepted() >= 20; });
    const auto members = [&] {
      const Json dump = cluster.Get(cluster.WaitLeader(), "/debug/state");
      return dump.is_object() ? dump["replica"]["members"] : Json::array();
    };
    const auto voters = [&] {
      std::vector<std::string> ids;
      for (const auto& it : members()) {
        if (it["role"] == "voter") ids.push_back(it["id"]);
      }
      return ids;
    };
    cluster.WaitFor("three voters", [&] { return voters().size() == 3; });
    const auto first = voters();
    const std::string leader = cluster.WaitLeader();
    std::string lost;
    for (const auto& name : {"e1", "e2", "e3"}) {
      if (name != leader) lost = name;
    }
    const auto of = [](const std::vector<std::string>& ids, const std::string& process) {
      const auto it = std::find_if(ids.begin(), ids.end(),
                                   [&](const auto& id) { return id.starts_with(process); });
      return it == ids.end() ? std::string() : *it;
    };
    const std::string old_identity = of(first, lost);
    CPPUNIT_ASSERT(!old_identity.empty());
    cluster.Kill(lost);
    cluster.Restart(lost, false);
    cluster.WaitFor("the lost voter is replaced by another identity", [&] {
      const auto now = voters();
      return now.size() == 3 && std::find(now.begin(), now.end(), old_identity) == now.end();
    });
    const std::string second = cluster.WaitLeader();
    cluster.Kill(second);
    const auto before = writer.accepted();
    cluster.WaitFor("commands are accepted after the second loss",
                    [&] { return writer.accepted() >= before + 20 || !writer.Faults().empty(); });
    const Json dump = cluster.Get(lost, "/debug/state");
    CPPUNIT_ASSERT(dump.is_object());
    CPPUNIT_ASSERT(dump["replica"]["identity"] != old_identity);
    writer.Finish();
    for (const auto& it : writer.Faults()) CPPUNIT_FAIL(it);
    writer.CheckSameAnswers(cluster.WaitLeader());
    cluster.Restart(second);
    cluster.WaitReady(cluster.entries(), 0);
    for (const auto& name : cluster.entries()) writer.CheckRules(name);
    std::cout << old_identity << " came back as " << dump["replica"]["identity"] << ", then "
              << second << " was killed; " << writer.accepted() << " commands\n";
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RepairTest);

}  // namespace
}  // namespace wagtailslip::system_test
