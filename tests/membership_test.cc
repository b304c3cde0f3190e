#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "config_fixture.h"
#include "wagtailslip/membership/registry.h"

namespace wagtailslip::membership {
namespace {

using config::MakeEndpoint;

constexpr Duration kBeat = std::chrono::milliseconds(500);

TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e9)));
}

/// A registry, its clock and agents that send a heartbeat each 0.5 s.
struct World {
  Registry registry;
  TimePoint now = At(100);
  std::map<std::string, std::uint64_t> sequences;
  std::vector<Transition> seen;

  void Join(const std::string& id, std::uint64_t incarnation = 1) {
    Note(registry.Announce(MakeEndpoint(id, incarnation), now).transitions);
    sequences[id] = 0;
  }
  ReceiveStatus Beat(const std::string& id, Duration delay = {}, std::uint64_t incarnation = 1) {
    Heartbeat beat{id, incarnation, ++sequences[id], now.time_since_epoch() - delay, {}};
    auto answer = registry.OnHeartbeat(beat, now);
    Note(answer.transitions);
    return answer.status;
  }
  /// Passes time; the named agents send heartbeats meanwhile.
  void Pass(double seconds, const std::vector<std::string>& alive, Duration delay = {}) {
    const TimePoint end = now + At(seconds).time_since_epoch();
    for (int i = 1; now < end; ++i) {
      now += kBeat / 5;
      if (i % 5 == 0) {
        for (const auto& id : alive) Beat(id, delay);
      }
      Note(registry.Tick(now));
    }
  }
  void Note(const std::vector<Transition>& transitions) {
    for (const auto& t : transitions) seen.push_back(t);
  }
  const Peer& Of(const std::string& id) const { return *registry.FindEndpoint(id); }
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(SilenceSuspectsThenRemoves);
  CPPUNIT_TEST(CausesAreToldApart);
  CPPUNIT_TEST(OlderIncarnationIsRefused);
  CPPUNIT_TEST(OwnPauseBlamesNobody);
  CPPUNIT_TEST(IsolatedProcessRemovesNobody);
  CPPUNIT_TEST(LostProcessIsReported);
  CPPUNIT_TEST(HomesMoveOnlyFromTheLostProcess);
  CPPUNIT_TEST(RandomRunsKeepBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SilenceSuspectsThenRemoves() {
    struct Row {
      double silence;
      Health health;
    };
    const Row rows[] = {{1.4, Health::kAlive},
                        {1.8, Health::kSuspect},
                        {9.8, Health::kSuspect},
                        {10.2, Health::kRemoved}};
    for (const auto& row : rows) {
      World world;
      world.Join("a");
      world.Join("b");
      world.Pass(2, {"a", "b"});
      world.Pass(row.silence, {"b"});
      CPPUNIT_ASSERT(world.Of("a").health == row.health);
      CPPUNIT_ASSERT_EQUAL(row.health == Health::kAlive, world.Of("a").routable);
      CPPUNIT_ASSERT(world.Of("b").health == Health::kAlive);
      if (row.health != Health::kRemoved) continue;
      CPPUNIT_ASSERT(std::holds_alternative<config::EndpointLeft>(*world.seen.back().record));
      CPPUNIT_ASSERT(world.Beat("a") == ReceiveStatus::kUnknown);
    }
  }

  void CausesAreToldApart() {
    World world;
    for (const char* id : {"dead", "slow", "cut", "leaves", "orphan", "ok"}) world.Join(id);
    world.Pass(2, {"dead", "slow", "cut", "leaves", "orphan", "ok"});
    world.Note(world.registry.ConnectionClosed("dead", 1, world.now));
    world.Note(world.registry.ConnectionClosed("orphan", 1, world.now));
    world.Note(world.registry.Leave("leaves", 1, "maintenance", world.now).transitions);
    CPPUNIT_ASSERT(!world.Of("dead").routable && !world.Of("leaves").routable);
    for (int i = 0; i < 4; ++i) {
      world.Pass(0.5, {"ok"});
      world.Beat("slow", std::chrono::milliseconds(1200));
      world.registry.RecordIndirectContact("orphan", world.now);
    }
    world.Note(world.registry.Tick(world.now));
    CPPUNIT_ASSERT(world.Of("slow").cause == Cause::kSlow && !world.Of("slow").routable);
    CPPUNIT_ASSERT(world.Of("cut").cause == Cause::kCutOff && !world.Of("cut").routable);
    // The engine of a dead agent still answers.
    CPPUNIT_ASSERT(world.Of("orphan").cause == Cause::kDead && world.Of("orphan").routable);
    world.Pass(1.5, {"ok"});
    CPPUNIT_ASSERT(world.Of("dead").health == Health::kRemoved);
    CPPUNIT_ASSERT(world.Of("cut").health == Health::kSuspect);
    // Lost heartbeats tell a slow one even if no tick came between.
    World other;
    other.Join("a");
    other.now += std::chrono::milliseconds(1600);
    other.Beat("a");
    CPPUNIT_ASSERT(other.Of("a").cause == Cause::kSlow);
    // A slow one is trusted again after some heartbeats in time.
    world.Pass(3, {"ok", "slow"});
    CPPUNIT_ASSERT(world.Of("slow").health == Health::kAlive && world.Of("slow").routable);
  }

  void OlderIncarnationIsRefused() {
    World world;
    world.Join("a", 3);
    CPPUNIT_ASSERT(world.registry.Announce(MakeEndpoint("a", 2), world.now).status ==
                   ReceiveStatus::kOlderIncarnation);
    CPPUNIT_ASSERT(world.Beat("a", {}, 2) == ReceiveStatus::kOlderIncarnation);
    CPPUNIT_ASSERT(world.Beat("a", {}, 4) == ReceiveStatus::kUnknown);
    CPPUNIT_ASSERT(world.Beat("a", {}, 3) == ReceiveStatus::kAccepted);
    --world.sequences["a"];
    CPPUNIT_ASSERT(world.Beat("a", {}, 3) == ReceiveStatus::kDuplicate);
    world.registry.Leave("a", 3, "", world.now);
    CPPUNIT_ASSERT(world.registry.Announce(MakeEndpoint("a", 2), world.now).status ==
                   ReceiveStatus::kOlderIncarnation);
    CPPUNIT_ASSERT(world.registry.ConnectionClosed("a", 2, world.now).empty());
  }

  // Guards against a process that is stopped for some seconds and then removes all its agents.
  void OwnPauseBlamesNobody() {
    World world;
    world.Join("a");
    world.Join("b");
    world.Pass(2, {"a", "b"});
    world.now += std::chrono::seconds(30);
    world.Note(world.registry.Tick(world.now));
    CPPUNIT_ASSERT(world.Of("a").health == Health::kAlive);
    world.Pass(2, {"a", "b"});
    CPPUNIT_ASSERT(world.Of("a").routable && world.Of("b").routable);
  }

  void IsolatedProcessRemovesNobody() {
    World world;
    for (const char* id : {"a", "b", "c"}) world.Join(id);
    world.Pass(2, {"a", "b", "c"});
    world.Pass(60, {});
    CPPUNIT_ASSERT(world.registry.isolated());
    for (const char* id : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(world.Of(id).health == Health::kSuspect && !world.Of(id).routable);
    }
    world.Pass(3, {"a"});
    CPPUNIT_ASSERT(!world.registry.isolated());
    CPPUNIT_ASSERT(world.Of("a").routable);
    CPPUNIT_ASSERT(world.Of("b").health == Health::kSuspect && !world.Of("b").routable);
    world.Pass(8, {"a"});
    CPPUNIT_ASSERT(world.Of("b").health == Health::kRemoved);
  }

  void LostProcessIsReported() {
    World world;
    world.registry.AnnounceProcess({"p", 7, "127.0.0.1:1", "r", "a"}, world.now);
    world.Join("a");
    world.Pass(11, {"a"});
    CPPUNIT_ASSERT(world.registry.FindProcess("p")->health == Health::kRemoved);
    const auto& record = std::get<config::ProcessLeft>(*world.seen.back().record);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, record.incarnation);
  }

  void HomesMoveOnlyFromTheLostProcess() {
    std::map<std::string, int> homes;
    for (int i = 0; i < 400; ++i) {
      const std::string id = "e" + std::to_string(i);
      const std::string home = FindHomeProcess(id, {"p1", "p2", "p3", "p4"});
      ++homes[home];
      if (home != "p4") CPPUNIT_ASSERT_EQUAL(home, FindHomeProcess(id, {"p3", "p2", "p1"}));
    }
    for (const auto& [home, count] : homes) CPPUNIT_ASSERT(count > 60);
    CPPUNIT_ASSERT(FindHomeProcess("e", {}).empty());
  }

  // Agents that send, delay, restart or fall silent at random. A silent one has no new work after
  // the suspicion time and is removed after the removal time; one that sends is never removed.
  void RandomRunsKeepBounds() {
    for (unsigned seed = 1; seed <= 60; ++seed) {
      std::mt19937 random(seed);
      World world;
      std::map<std::string, TimePoint> last;
      std::map<std::string, std::uint64_t> incarnations;
      for (const char* id : {"a", "b", "c", "d", "always"}) {
        world.Join(id);
        last[id] = world.now;
        incarnations[id] = 1;
      }
      std::set<std::string> silent;
      for (int i = 0; i < 600; ++i) {
        world.now += kBeat / 5;
        world.Note(world.registry.Tick(world.now));
        const std::string id(1, static_cast<char>('a' + random() % 4));
        if (random() % 40 == 0 && !silent.erase(id)) silent.insert(id);
        if (random() % 60 == 0) {
          world.Join(id, ++incarnations[id]);
          last[id] = world.now;
        }
        for (const auto& [name, heard] : last) {
          if (i % 5 != 0 || silent.contains(name)) continue;
          const auto status = world.Beat(name, {}, incarnations[name]);
          if (status == ReceiveStatus::kAccepted) last[name] = world.now;
          if (status == ReceiveStatus::kUnknown) {
            world.Join(name, incarnations[name]);
            last[name] = world.now;
          }
        }
        world.Note(world.registry.Tick(world.now));
        for (const auto& [name, heard] : last) {
          const Peer* peer = world.registry.FindEndpoint(name);
          const Duration silence = world.now - heard;
          const std::string where = "seed " + std::to_string(seed) + " " + name;
          CPPUNIT_ASSERT_EQUAL_MESSAGE(where, incarnations[name], peer->incarnation);
          if (silence > std::chrono::milliseconds(1500)) {
            CPPUNIT_ASSERT_MESSAGE(where, !peer->routable);
          }
          CPPUNIT_ASSERT_EQUAL_MESSAGE(where, silence > std::chrono::seconds(10),
                                       peer->health == Health::kRemoved);
        }
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace wagtailslip::membership
