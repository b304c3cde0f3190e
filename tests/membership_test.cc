#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "config_fixture.h"
#include "wagtailslip/membership/registry.h"

namespace wagtailslip::membership {
namespace {

using config::MakeEndpoint;

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e9)));
}

/// A registry with a simulated clock and agents that send a heartbeat every 0.5 s.
struct Harness {
  Registry registry;
  TimePoint now = At(100);
  std::map<std::string, std::uint64_t> sequences;
  std::vector<Transition> collected;

  void Join(const std::string& id, std::uint64_t incarnation = 1) {
    Collect(registry.Announce(MakeEndpoint(id, incarnation), now).transitions);
    sequences[id] = 0;
  }
  ReceiveStatus SendHeartbeat(const std::string& id, Duration delay = {},
                              std::uint64_t incarnation = 1) {
    Heartbeat heartbeat{id, incarnation, ++sequences[id], now.time_since_epoch() - delay, {}};
    auto answer = registry.OnHeartbeat(heartbeat, now);
    Collect(answer.transitions);
    return answer.status;
  }
  /// Advances the clock while the listed agents send heartbeats.
  void Advance(double seconds, const std::vector<std::string>& alive, Duration delay = {}) {
    const TimePoint end = now + At(seconds).time_since_epoch();
    for (int i = 1; now < end; ++i) {
      now += kHeartbeatInterval / 5;
      if (i % 5 == 0) {
        for (const auto& id : alive) SendHeartbeat(id, delay);
      }
      Collect(registry.Tick(now));
    }
  }
  void Collect(const std::vector<Transition>& transitions) {
    for (const auto& t : transitions) collected.push_back(t);
  }
  const Peer& GetPeer(const std::string& id) const { return *registry.FindEndpoint(id); }
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(SilenceSuspectsThenRemoves);
  CPPUNIT_TEST(CausesAreDistinguished);
  CPPUNIT_TEST(OlderIncarnationIsRefused);
  CPPUNIT_TEST(PauseOfThisProcessSuspectsNoPeer);
  CPPUNIT_TEST(IsolatedProcessRemovesNobody);
  CPPUNIT_TEST(LostProcessIsReported);
  CPPUNIT_TEST(OnlyEndpointsOfALostProcessChangeHome);
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
      Harness harness;
      harness.Join("a");
      harness.Join("b");
      harness.Advance(2, {"a", "b"});
      harness.Advance(row.silence, {"b"});
      CPPUNIT_ASSERT(harness.GetPeer("a").health == row.health);
      CPPUNIT_ASSERT_EQUAL(row.health == Health::kAlive, harness.GetPeer("a").routable);
      CPPUNIT_ASSERT(harness.GetPeer("b").health == Health::kAlive);
      if (row.health != Health::kRemoved) continue;
      CPPUNIT_ASSERT(
          std::holds_alternative<config::EndpointLeft>(*harness.collected.back().record));
      CPPUNIT_ASSERT(harness.SendHeartbeat("a") == ReceiveStatus::kUnknown);
    }
  }

  void CausesAreDistinguished() {
    Harness harness;
    for (const char* id : {"dead", "slow", "cut", "leaves", "orphan", "ok"}) harness.Join(id);
    harness.Advance(2, {"dead", "slow", "cut", "leaves", "orphan", "ok"});
    harness.Collect(harness.registry.ConnectionClosed("dead", 1, harness.now));
    harness.Collect(harness.registry.ConnectionClosed("orphan", 1, harness.now));
    harness.Collect(harness.registry.Leave("leaves", 1, "maintenance", harness.now).transitions);
    CPPUNIT_ASSERT(!harness.GetPeer("dead").routable && !harness.GetPeer("leaves").routable);
    for (int i = 0; i < 4; ++i) {
      harness.Advance(0.5, {"ok"});
      harness.SendHeartbeat("slow", std::chrono::milliseconds(1200));
      harness.registry.RecordIndirectContact("orphan", harness.now);
    }
    harness.Collect(harness.registry.Tick(harness.now));
    CPPUNIT_ASSERT(harness.GetPeer("slow").cause == Cause::kSlow &&
                   !harness.GetPeer("slow").routable);
    CPPUNIT_ASSERT(harness.GetPeer("cut").cause == Cause::kCutOff &&
                   !harness.GetPeer("cut").routable);
    // The engine of a dead agent still answers.
    CPPUNIT_ASSERT(harness.GetPeer("orphan").cause == Cause::kDead &&
                   harness.GetPeer("orphan").routable);
    harness.Advance(1.5, {"ok"});
    CPPUNIT_ASSERT(harness.GetPeer("dead").health == Health::kRemoved);
    CPPUNIT_ASSERT(harness.GetPeer("cut").health == Health::kSuspect);
    // Missed heartbeats mark a peer as slow even without a tick in between.
    Harness other;
    other.Join("a");
    other.now += std::chrono::milliseconds(1600);
    other.SendHeartbeat("a");
    CPPUNIT_ASSERT(other.GetPeer("a").cause == Cause::kSlow);
    // A slow peer is alive again after enough timely heartbeats.
    harness.Advance(3, {"ok", "slow"});
    CPPUNIT_ASSERT(harness.GetPeer("slow").health == Health::kAlive &&
                   harness.GetPeer("slow").routable);
  }

  void OlderIncarnationIsRefused() {
    Harness harness;
    harness.Join("a", 3);
    CPPUNIT_ASSERT(harness.registry.Announce(MakeEndpoint("a", 2), harness.now).status ==
                   ReceiveStatus::kOlderIncarnation);
    CPPUNIT_ASSERT(harness.SendHeartbeat("a", {}, 2) == ReceiveStatus::kOlderIncarnation);
    CPPUNIT_ASSERT(harness.SendHeartbeat("a", {}, 4) == ReceiveStatus::kUnknown);
    CPPUNIT_ASSERT(harness.SendHeartbeat("a", {}, 3) == ReceiveStatus::kAccepted);
    --harness.sequences["a"];
    CPPUNIT_ASSERT(harness.SendHeartbeat("a", {}, 3) == ReceiveStatus::kDuplicate);
    harness.registry.Leave("a", 3, "", harness.now);
    CPPUNIT_ASSERT(harness.registry.Announce(MakeEndpoint("a", 2), harness.now).status ==
                   ReceiveStatus::kOlderIncarnation);
    CPPUNIT_ASSERT(harness.registry.ConnectionClosed("a", 2, harness.now).empty());
  }

  // Guards against a process that is paused for some seconds and then removes all its agents.
  void PauseOfThisProcessSuspectsNoPeer() {
    Harness harness;
    harness.Join("a");
    harness.Join("b");
    harness.Advance(2, {"a", "b"});
    harness.now += std::chrono::seconds(30);
    harness.Collect(harness.registry.Tick(harness.now));
    CPPUNIT_ASSERT(harness.GetPeer("a").health == Health::kAlive);
    harness.Advance(2, {"a", "b"});
    CPPUNIT_ASSERT(harness.GetPeer("a").routable && harness.GetPeer("b").routable);
  }

  void IsolatedProcessRemovesNobody() {
    Harness harness;
    for (const char* id : {"a", "b", "c"}) harness.Join(id);
    harness.Advance(2, {"a", "b", "c"});
    harness.Advance(60, {});
    CPPUNIT_ASSERT(harness.registry.isolated());
    for (const char* id : {"a", "b", "c"}) {
      CPPUNIT_ASSERT(harness.GetPeer(id).health == Health::kSuspect &&
                     !harness.GetPeer(id).routable);
    }
    harness.Advance(3, {"a"});
    CPPUNIT_ASSERT(!harness.registry.isolated());
    CPPUNIT_ASSERT(harness.GetPeer("a").routable);
    CPPUNIT_ASSERT(harness.GetPeer("b").health == Health::kSuspect &&
                   !harness.GetPeer("b").routable);
    harness.Advance(8, {"a"});
    CPPUNIT_ASSERT(harness.GetPeer("b").health == Health::kRemoved);
  }

  void LostProcessIsReported() {
    Harness harness;
    harness.registry.AnnounceProcess({"p", 7, "127.0.0.1:1", "r", "a"}, harness.now);
    harness.Join("a");
    harness.Advance(11, {"a"});
    CPPUNIT_ASSERT(harness.registry.FindProcess("p")->health == Health::kRemoved);
    const auto& record = std::get<config::ProcessLeft>(*harness.collected.back().record);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, record.incarnation);
  }

  void OnlyEndpointsOfALostProcessChangeHome() {
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

  // Agents send, restart or fall silent at random. A silent agent is not routable after the
  // suspicion timeout and is removed after the removal timeout; one that sends is never removed.
  void RandomRunsKeepBounds() {
    for (unsigned seed = 1; seed <= 60; ++seed) {
      std::mt19937 random(seed);
      Harness harness;
      std::map<std::string, TimePoint> last;
      std::map<std::string, std::uint64_t> incarnations;
      for (const char* id : {"a", "b", "c", "d", "always"}) {
        harness.Join(id);
        last[id] = harness.now;
        incarnations[id] = 1;
      }
      std::set<std::string> silent;
      for (int i = 0; i < 600; ++i) {
        harness.now += kHeartbeatInterval / 5;
        harness.Collect(harness.registry.Tick(harness.now));
        const std::string id(1, static_cast<char>('a' + random() % 4));
        if (random() % 40 == 0 && !silent.erase(id)) silent.insert(id);
        if (random() % 60 == 0) {
          harness.Join(id, ++incarnations[id]);
          last[id] = harness.now;
        }
        for (const auto& [name, heard] : last) {
          if (i % 5 != 0 || silent.contains(name)) continue;
          const auto status = harness.SendHeartbeat(name, {}, incarnations[name]);
          if (status == ReceiveStatus::kAccepted) last[name] = harness.now;
          if (status == ReceiveStatus::kUnknown) {
            harness.Join(name, incarnations[name]);
            last[name] = harness.now;
          }
        }
        harness.Collect(harness.registry.Tick(harness.now));
        for (const auto& [name, heard] : last) {
          const Peer* peer = harness.registry.FindEndpoint(name);
          const Duration silence = harness.now - heard;
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
