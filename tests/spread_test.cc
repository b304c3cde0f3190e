// Tests of manifests, bitmaps, member lists, plans, origin backoff and pacing.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "wagtailslip/spread/pacer.h"
#include "wagtailslip/spread/rejected_chunks.h"
#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Manifest MakeManifest(std::size_t chunks, const std::string& version = "v1") {
  Manifest manifest{.model = "m", .version = version};
  for (std::size_t i = 0; i < chunks; ++i) {
    manifest.chunks.push_back({Sha256(std::to_string(i)), 100});
  }
  manifest.root = manifest.ComputeRoot();
  return manifest;
}

Members MakeMembers(std::size_t n, std::size_t regions, std::size_t domains) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < n; ++i) {
    const std::string region = "r" + std::to_string(i % regions);
    members.push_back({"a" + std::to_string(i), "127.0.0.1:" + std::to_string(1000 + i), region,
                       region + "d" + std::to_string(i / regions % domains)});
  }
  return Members(std::move(members));
}

struct ManifestRow {
  const char* error;
  void (*change)(Manifest&);
};
const ManifestRow kManifestRows[] = {
    {"model is empty", [](Manifest& m) { m.model.clear(); }},
    {"version is empty", [](Manifest& m) { m.version.clear(); }},
    {"base_version of an adapter is empty",
     [](Manifest& m) { m.kind = config::ArtifactKind::kAdapter; }},
    {"base_version is set, but kind is model", [](Manifest& m) { m.base_version = "v0"; }},
    {"chunks is empty", [](Manifest& m) { m.chunks.clear(); }},
    {"chunks[2].size is 0", [](Manifest& m) { m.chunks[2].size = 0; }},
    {"chunks[1].size is 268435457, more than 268435456",
     [](Manifest& m) { m.chunks[1].size = kMaxChunkBytes + 1; }},
    {"chunks[3].size differs from chunks[0].size, which has the same digest",
     [](Manifest& m) {
       m.chunks[3] = {m.chunks[0].digest, 7};
     }},
    {"root is ", [](Manifest& m) { m.root.bytes[0] ^= 1; }},
};

struct TopologyRow {
  std::size_t instances, regions, domains;
};
constexpr TopologyRow kTopologyRows[] = {{3, 3, 1}, {12, 3, 2}, {48, 3, 2}, {200, 2, 4}};

struct PacerRow {
  const char* field;
  void (*change)(PacerConfig&);
};
const PacerRow kPacerRows[] = {
    {"link_rate", [](PacerConfig& c) { c.link_rate = 0; }},
    {"floor_share", [](PacerConfig& c) { c.floor_share = 0; }},
    {"ceiling_share", [](PacerConfig& c) { c.ceiling_share = 0.01; }},
    {"latency_factor", [](PacerConfig& c) { c.latency_factor = 1; }},
    {"queueing_limit", [](PacerConfig& c) { c.queueing_limit = Duration::zero(); }},
    {"minimum_share", [](PacerConfig& c) { c.minimum_share = 2; }},
    {"region_weights", [](PacerConfig& c) { c.region_weights["x"] = -1; }},
};

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(ManifestErrorsNameTheField);
  CPPUNIT_TEST(ManifestChecksBodies);
  CPPUNIT_TEST(RepeatedBytesMakeDigestsSuspect);
  CPPUNIT_TEST(RefetchesOfDigestsAreSpacedOut);
  CPPUNIT_TEST(CompareFindsSharedChunks);
  CPPUNIT_TEST(BitmapRejectsWrongSizes);
  CPPUNIT_TEST(MembersRejectRepeatedIds);
  CPPUNIT_TEST(EachChunkHasOneFetcherPerRegion);
  CPPUNIT_TEST(LossReassignsOnlyTheLostFetchersChunks);
  CPPUNIT_TEST(NeighboursAreBoundedAndSpanFailureDomains);
  CPPUNIT_TEST(OriginBackoffHonoursRetryAfter);
  CPPUNIT_TEST(PacerRejectsBadSettings);
  CPPUNIT_TEST(PacerYieldsToLiveTrafficDownToTheFloor);
  CPPUNIT_TEST(PacerPrefersSmallTransfers);
  CPPUNIT_TEST(PacerSharesBetweenRegions);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepting manifests that an agent can never complete.
  void ManifestErrorsNameTheField() {
    MakeManifest(4).Validate();
    for (const auto& row : kManifestRows) {
      Manifest manifest = MakeManifest(4);
      row.change(manifest);
      try {
        manifest.Validate();
        CPPUNIT_FAIL(row.error);
      } catch (const SpreadError& e) {
        CPPUNIT_ASSERT_MESSAGE(e.what(),
                               std::string(e.what()).find(row.error) != std::string::npos);
      }
    }
  }

  // Guards against accepting truncated or modified chunk bodies.
  void ManifestChecksBodies() {
    Manifest manifest = MakeManifest(1);
    manifest.chunks[0] = {Sha256("body"), 4};
    CPPUNIT_ASSERT(manifest.Check(0, "body") == ChunkResult::kOk);
    CPPUNIT_ASSERT(manifest.Check(0, "bodY") == ChunkResult::kCorrupt);
    CPPUNIT_ASSERT(manifest.Check(0, "bod") == ChunkResult::kCorrupt);
  }

  // Guards against a wrong digest that keeps its chunk from ever being accepted, and against a
  // replacement of the digests that was not confirmed by received bytes.
  void RepeatedBytesMakeDigestsSuspect() {
    const TimePoint now{};
    Manifest correct = MakeManifest(3);
    correct.chunks[1] = {Sha256("body"), 4};
    RejectedChunks rejected;
    const auto add = [&](ChunkIndex chunk, std::string_view body, bool suspect) {
      rejected.Add(chunk, body, now);
      CPPUNIT_ASSERT_EQUAL(suspect, rejected.RefetchDue(now));
    };
    add(1, "bodY", false);
    add(1, "body", false);
    CPPUNIT_ASSERT(!rejected.MatchedBy(correct));
    // The same bytes of another chunk, and other bytes of the same one.
    add(2, "body", false);
    add(1, "bOdy", false);
    add(1, "body", true);
    CPPUNIT_ASSERT(rejected.MatchedBy(correct));
    CPPUNIT_ASSERT(!rejected.MatchedBy(MakeManifest(3)));
    CPPUNIT_ASSERT(!rejected.MatchedBy(MakeManifest(1)));
    // Many different damaged bodies must not remove the evidence.
    for (int i = 0; i < 1000; ++i) rejected.Add(1, std::to_string(i), now);
    CPPUNIT_ASSERT(rejected.MatchedBy(correct));
  }

  // Guards against an origin whose link is filled by digests because it always sends the same
  // damaged chunk.
  void RefetchesOfDigestsAreSpacedOut() {
    TimePoint now{};
    RejectedChunks rejected;
    int fetches = 0;
    for (; now < TimePoint(seconds(60)); now += milliseconds(50)) {
      rejected.Add(0, "bodY", now);
      if (!rejected.RefetchDue(now)) continue;
      ++fetches;
      rejected.OnRefetch(now);
    }
    CPPUNIT_ASSERT(fetches >= 5 && fetches <= 12);
  }

  // Guards against dropping or refetching shared chunks, also with repeated digests.
  void CompareFindsSharedChunks() {
    const Manifest from = MakeManifest(4);
    Manifest to = MakeManifest(4, "v2");
    to.chunks[0].digest = to.chunks[3].digest = Sha256("new");
    std::swap(to.chunks[1], to.chunks[2]);
    const Difference difference = Compare(from, to);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, difference.shared.size());
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{2}, difference.shared[0].from);
    CPPUNIT_ASSERT_EQUAL(ChunkIndex{1}, difference.shared[0].to);
    CPPUNIT_ASSERT(difference.added == std::vector<ChunkIndex>({0, 3}));
    CPPUNIT_ASSERT(difference.dropped == std::vector<ChunkIndex>({0, 3}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, difference.added_bytes);
  }

  // Guards against wire bitmaps with bits beyond the last chunk, which would be counted as chunks.
  void BitmapRejectsWrongSizes() {
    for (const std::size_t n : {1, 8, 63, 64, 65, 130}) {
      Bitmap bitmap(n);
      for (std::size_t i = 0; i < n; i += 3) bitmap.Set(i);
      const std::string bytes = bitmap.ToBytes();
      CPPUNIT_ASSERT(Bitmap::FromBytes(bytes, n) == bitmap);
      CPPUNIT_ASSERT(!Bitmap::FromBytes(bytes + '\0', n));
      if (n % 8 != 0) CPPUNIT_ASSERT(!Bitmap::FromBytes(std::string(bytes.size(), '\xff'), n));
    }
  }

  void MembersRejectRepeatedIds() {
    CPPUNIT_ASSERT_THROW(Members({{"a"}, {"b"}, {"a"}}), SpreadError);
    CPPUNIT_ASSERT_THROW(Members({{""}}), SpreadError);
  }

  // Guards against chunks that no agent or more than one agent fetches from the origin, and against
  // chunks that are sent into a region twice.
  void EachChunkHasOneFetcherPerRegion() {
    const Manifest manifest = MakeManifest(64);
    for (const TopologyRow& row : kTopologyRows) {
      const Members members = MakeMembers(row.instances, row.regions, row.domains);
      std::vector<std::size_t> origin(64);
      std::vector<std::vector<std::size_t>> fetchers(64, std::vector<std::size_t>(row.regions));
      for (MemberIndex i = 0; i < members.size(); ++i) {
        const Plan plan = MakeStrategy(StrategyKind::kSwarm)
                              ->MakePlan(manifest, members, i, SessionLimits{}.neighbours);
        for (std::size_t c = 0; c < 64; ++c) {
          if (plan.chunks[c].rank != 0) continue;
          ++fetchers[c][members.RegionOf(i)];
          if (plan.chunks[c].from_origin) ++origin[c];
        }
      }
      for (std::size_t c = 0; c < 64; ++c) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origin[c]);
        for (const std::size_t n : fetchers[c]) CPPUNIT_ASSERT_EQUAL(std::size_t{1}, n);
      }
    }
  }

  // Guards against reassigning the chunks of the remaining agents when one agent is lost, since
  // they would then be fetched twice.
  void LossReassignsOnlyTheLostFetchersChunks() {
    const Members all = MakeMembers(48, 3, 2);
    const std::uint64_t key = 42;
    const auto first = all.TopRanked(0, key, 4);
    std::vector<Member> rest;
    for (MemberIndex i = 0; i < all.size(); ++i) {
      if (i != first[1]) rest.push_back(all[i]);
    }
    const Members left(rest);
    const auto second = left.TopRanked(0, key, 3);
    CPPUNIT_ASSERT_EQUAL(all[first[0]].id, left[second[0]].id);
    CPPUNIT_ASSERT_EQUAL(all[first[2]].id, left[second[1]].id);
    CPPUNIT_ASSERT_EQUAL(all[first[3]].id, left[second[2]].id);
  }

  // Guards against agents whose neighbours are all in one failure domain, and against agents that
  // are neighbours of too many others.
  void NeighboursAreBoundedAndSpanFailureDomains() {
    const Manifest manifest = MakeManifest(8);
    for (const TopologyRow& row : kTopologyRows) {
      const Members members = MakeMembers(row.instances, row.regions, row.domains);
      const std::size_t in_region = row.instances / row.regions;
      std::vector<std::size_t> asked(members.size());
      for (MemberIndex i = 0; i < members.size(); ++i) {
        const Plan plan = MakeStrategy(StrategyKind::kSwarm)->MakePlan(manifest, members, i, 8);
        std::size_t local = 0;
        std::set<std::string> domains;
        for (const Neighbour& n : plan.neighbours) {
          CPPUNIT_ASSERT(n.member != i);
          CPPUNIT_ASSERT_EQUAL(members.RegionOf(n.member) == members.RegionOf(i), n.local);
          if (!n.local) continue;
          ++local;
          ++asked[n.member];
          domains.insert(members[n.member].failure_domain);
        }
        // 8 chosen neighbours, one outside the failure domain, and the other fetchers of the
        // region.
        CPPUNIT_ASSERT(local <= 8 + 1 + kFetchersPerRegion - 1);
        CPPUNIT_ASSERT(local >= std::min<std::size_t>(in_region - 1, 7));
        if (in_region > 8 && row.domains > 1) CPPUNIT_ASSERT(domains.size() > 1);
      }
      for (const std::size_t n : asked) CPPUNIT_ASSERT(n <= 8 + kFetchersPerRegion + 1);
    }
  }

  // Guards against requests before the time in Retry-After, and against retries without backoff.
  void OriginBackoffHonoursRetryAfter() {
    OriginBackoff backoff;
    TimePoint now{seconds(10)};
    backoff.OnRefused(seconds(5), 255, now);
    CPPUNIT_ASSERT(!backoff.MayRequest(now + seconds(5)));
    CPPUNIT_ASSERT(backoff.MayRequest(now + milliseconds(6250)));
    Duration last{};
    for (int i = 0; i < 8; ++i) {
      now += seconds(100);
      backoff.OnFailed(0, now);
      CPPUNIT_ASSERT(backoff.retry_at() - now >= last);
      last = backoff.retry_at() - now;
    }
    CPPUNIT_ASSERT(last == seconds(5));
  }

  void PacerRejectsBadSettings() {
    for (const auto& row : kPacerRows) {
      PacerConfig config{.link_rate = 1e6};
      row.change(config);
      CPPUNIT_ASSERT_THROW_MESSAGE(row.field, Pacer{config}, SpreadError);
    }
  }

  // Guards against transfers that keep live latency above its limit, and against transfers that
  // stop under constant queueing. Live latency grows with the utilization of the link.
  void PacerYieldsToLiveTrafficDownToTheFloor() {
    for (const bool queueing : {false, true}) {
      Pacer pacer({.link_rate = 1e8});
      const Pacer::Key key{"r", "x"};
      TimePoint now{seconds(1)};
      double late = 0, samples = 0, bytes = 0;
      for (int ms = 0; ms < 60000; ++ms, now += milliseconds(1)) {
        if (ms == 10000) pacer.SetRemaining(key, 1ULL << 40, now);
        const double used = ms < 10000 ? 0 : pacer.rate() / 1e8;
        // Above 50% utilization, the latency of live requests rises above 20 ms.
        const double latency = 0.020 * (1 + std::max(0.0, used - 0.5));
        if (ms % 10 == 0) pacer.OnLatency(Duration(static_cast<std::int64_t>(latency * 1e9)), now);
        if (queueing) pacer.OnQueueing(milliseconds(20), now);
        bytes += static_cast<double>(pacer.Take(key, 1 << 20, now));
        if (ms < 20000) continue;
        samples += 1;
        if (latency > 0.022) late += 1;
      }
      // The p95 of live latency may be at most 10% above its value without transfers.
      CPPUNIT_ASSERT(late <= 0.05 * samples);
      CPPUNIT_ASSERT(bytes >= 0.099 * 1e8 * 50);
      if (queueing) CPPUNIT_ASSERT(bytes <= 0.2 * 1e8 * 50);
    }
  }

  // Guards against an adapter transfer that waits for a model transfer, and against a model
  // transfer that makes no progress meanwhile.
  void PacerPrefersSmallTransfers() {
    Pacer pacer({.link_rate = 1e8, .floor_share = 0.9});
    TimePoint now{seconds(1)};
    pacer.SetRemaining({"model", "x"}, 1ULL << 34, now);
    pacer.SetRemaining({"adapter", "x"}, 1ULL << 26, now);
    double model = 0, adapter = 0;
    int ms = 0;
    for (; adapter < (1 << 26) && ms < 10000; ++ms, now += milliseconds(1)) {
      model += static_cast<double>(pacer.Take({"model", "x"}, 1 << 20, now));
      adapter += static_cast<double>(pacer.Take({"adapter", "x"}, 1 << 20, now));
    }
    // 64 MiB at 90% of at least 90 MB/s take at most 0.83 s.
    CPPUNIT_ASSERT(ms <= 830);
    CPPUNIT_ASSERT(model >= 0.09 * (model + adapter));
  }

  // Guards against a region that takes the whole link, and against bandwidth that stays unused
  // while another region has transfers.
  void PacerSharesBetweenRegions() {
    Pacer pacer({.link_rate = 1e8, .floor_share = 0.9, .region_weights = {{"far", 0.25}}});
    TimePoint now{seconds(1)};
    const Pacer::Key keys[] = {{"m", "near"}, {"m", "far"}};
    for (const auto& key : keys) pacer.SetRemaining(key, 1ULL << 40, now);
    double bytes[2] = {};
    for (int ms = 0; ms < 4000; ++ms, now += milliseconds(1)) {
      for (int i = 0; i < 2; ++i) {
        if (i == 0 && ms >= 2000) continue;
        bytes[i] += static_cast<double>(pacer.Take(keys[i], 1 << 20, now));
      }
      if (ms == 1999) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, bytes[1] / (bytes[0] + bytes[1]), 0.02);
        bytes[1] = 0;
      }
    }
    CPPUNIT_ASSERT(bytes[1] >= 0.85 * 1e8 * 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

}  // namespace
}  // namespace wagtailslip::spread
