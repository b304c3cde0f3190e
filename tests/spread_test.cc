#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>

#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::shared_ptr<Manifest> MakeManifest(std::size_t chunks, const std::string& version = "v1") {
  auto manifest = std::make_shared<Manifest>();
  manifest->model = "m";
  manifest->version = version;
  for (std::size_t i = 0; i < chunks; ++i) {
    manifest->chunks.push_back({Sha256(version + std::to_string(i)), 1 << 20});
  }
  manifest->root = manifest->ComputeRoot();
  return manifest;
}

std::vector<Member> MakeMembers(std::size_t n, std::size_t regions) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < n; ++i) {
    const std::string region = "r" + std::to_string(i % regions);
    members.push_back({"a" + std::to_string(i), "127.0.0.1:" + std::to_string(1000 + i), region,
                       region + "d" + std::to_string(i / regions % 2)});
  }
  return members;
}

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(SwarmCompletesWithOneOriginCopy);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Every request takes 100 ms. Guards against chunks that nobody fetches or that are fetched from
  // the origin twice.
  void SwarmCompletesWithOneOriginCopy() {
    const auto manifest = MakeManifest(40);
    const auto members = std::make_shared<Members>(MakeMembers(12, 3));
    std::vector<Session> sessions;
    TimePoint now{seconds(100)};
    for (MemberIndex i = 0; i < members->size(); ++i) {
      sessions.emplace_back(manifest, members, (*members)[i].id, MakeStrategy(StrategyKind::kSwarm),
                            config::SpreadPolicy::kOriginBytesFirst, Limits{}, 1);
      sessions.back().Start(now);
    }
    std::size_t origin = 0;
    struct Pending {
      TimePoint at;
      MemberIndex to;
      std::string source;
      std::optional<ChunkIndex> chunk;
    };
    std::deque<Pending> pending;
    for (int step = 0; step < 1000; ++step, now += milliseconds(50)) {
      while (!pending.empty() && pending.front().at <= now) {
        const Pending p = pending.front();
        pending.pop_front();
        if (p.chunk) {
          sessions[p.to].OnChunk(*p.chunk, p.source, ChunkResult::kOk, now);
          if (p.source == kOrigin) ++origin;
        } else {
          sessions[p.to].OnPeerHave(p.source, sessions[members->Find(p.source)].have(), now);
        }
      }
      for (MemberIndex i = 0; i < sessions.size(); ++i) {
        const TickResult result = sessions[i].Tick(now);
        for (const Fetch& f : result.fetches) {
          pending.push_back({now + milliseconds(100), i, f.source, f.chunk});
        }
        for (const Poll& p : result.polls) {
          pending.push_back({now + milliseconds(100), i, p.peer, std::nullopt});
        }
      }
    }
    for (const Session& session : sessions) CPPUNIT_ASSERT(session.Complete());
    CPPUNIT_ASSERT_EQUAL(manifest->chunks.size(), origin);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

}  // namespace
}  // namespace wagtailslip::spread
