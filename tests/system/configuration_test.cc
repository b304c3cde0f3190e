// Operator commands while leaders are killed, on real processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "command_writer.h"

namespace wagtailslip::system_test {
namespace {

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(CommandsSurviveLeaderKills);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an accepted command that a fail-over loses, a resend that is applied a second
  // time, and a request id that gets another answer from a new leader or after a restart of all.
  void CommandsSurviveLeaderKills() {
    constexpr int kKills = 3;
    constexpr std::size_t kCommandsBetween = 40;
    Cluster cluster;
    cluster.StartEntries();
    cluster.WaitReady(cluster.entries(), 0);
    CommandWriter writer(cluster, 4, 11);
    writer.Start();
    for (int i = 0; i < kKills; ++i) {
      const auto before = writer.accepted();
      cluster.WaitFor("commands are accepted", [&] {
        return writer.accepted() >= before + kCommandsBetween || !writer.Faults().empty();
      });
      const std::string leader = cluster.WaitLeader();
      cluster.Kill(leader);
      const auto after = writer.accepted();
      cluster.WaitFor("commands are accepted after " + leader + " was killed", [&] {
        return writer.accepted() >= after + kCommandsBetween || !writer.Faults().empty();
      });
      cluster.Restart(leader);
      cluster.WaitReady({leader}, 0);
    }
    writer.Finish();
    std::cout << writer.accepted() << " commands accepted, " << writer.resends() << " resends\n";
    for (const auto& it : writer.Faults()) CPPUNIT_FAIL(it);
    writer.CheckSameAnswers(cluster.WaitLeader());
    cluster.WaitReady(cluster.entries(), 0);
    for (const auto& name : cluster.entries()) writer.CheckRules(name);

    for (const auto& name : cluster.entries()) cluster.Kill(name);
    for (const auto& name : cluster.entries()) cluster.Restart(name);
    cluster.WaitReady(cluster.entries(), 0);
    for (const auto& name : cluster.entries()) writer.CheckRules(name);
    writer.CheckSameAnswers(cluster.entries().back());
    for (const auto& name : cluster.entries()) writer.CheckRules(name);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace
}  // namespace wagtailslip::system_test
