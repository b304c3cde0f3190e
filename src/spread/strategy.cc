#include "wagtailslip/spread/strategy.h"

#include <algorithm>
#include <map>

namespace wagtailslip::spread {
namespace {

// Separate the rendezvous keys that are derived from one root digest.
constexpr std::uint64_t kFetcherSalt = 0x66657463;
constexpr std::uint64_t kNeighbourSalt = 0x6e656967;
constexpr std::uint64_t kOrderSalt = 0x6f726465;

class OriginOnly : public Strategy {
 public:
  StrategyKind kind() const override { return StrategyKind::kOriginOnly; }

  Plan MakePlan(const Manifest& manifest, const Members&, MemberIndex, std::size_t) const override {
    Plan plan;
    plan.chunks.assign(manifest.chunks.size(), ChunkPlan{.rank = 0, .from_origin = true});
    return plan;
  }
};

/// `stripes` trees with `fanout` children per member; chunk c is distributed along tree c %
/// stripes. Each tree has its own member order, so that an inner node of one tree is mostly a leaf
/// of the others. A chain is one tree of fan-out 1.
class Trees : public Strategy {
 public:
  Trees(StrategyKind kind, std::size_t stripes, std::size_t fanout)
      : kind_(kind), stripes_(stripes), fanout_(fanout) {}

  StrategyKind kind() const override { return kind_; }

  Plan MakePlan(const Manifest& manifest, const Members& members, MemberIndex self,
                std::size_t) const override {
    const std::size_t n = members.size();
    const std::uint64_t key = MixHash(PlacementKey(manifest.root), kOrderSalt);
    std::vector<std::pair<std::uint64_t, MemberIndex>> order;
    for (MemberIndex i = 0; i < n; ++i) order.emplace_back(members.Score(i, key), i);
    std::sort(order.begin(), order.end());
    std::size_t own = 0;
    while (order[own].second != self) ++own;
    Plan plan;
    plan.chunks.resize(manifest.chunks.size());
    for (std::size_t stripe = 0; stripe < stripes_; ++stripe) {
      // Rotating the order by n / stripes per tree gives the trees different inner nodes.
      const std::size_t shift = stripe * n / stripes_;
      const std::size_t position = (own + n - shift) % n;
      Slot parent = kNoSlot;
      if (position > 0) {
        const MemberIndex member = order[((position - 1) / fanout_ + shift) % n].second;
        const auto it = std::find_if(plan.neighbours.begin(), plan.neighbours.end(),
                                     [&](const Neighbour& p) { return p.member == member; });
        parent = static_cast<Slot>(it - plan.neighbours.begin());
        if (it == plan.neighbours.end()) plan.neighbours.push_back({member, true});
      }
      for (std::size_t c = stripe; c < plan.chunks.size(); c += stripes_) {
        plan.chunks[c].only_source = parent;
        plan.chunks[c].from_origin = true;
        if (position == 0) plan.chunks[c].rank = 0;
      }
    }
    return plan;
  }

 private:
  StrategyKind kind_;
  std::size_t stripes_;
  std::size_t fanout_;
};

class Swarm : public Strategy {
 public:
  StrategyKind kind() const override { return StrategyKind::kSwarm; }

  Plan MakePlan(const Manifest& manifest, const Members& members, MemberIndex self,
                std::size_t neighbours) const override {
    const std::uint64_t key = PlacementKey(manifest.root);
    const std::uint32_t region = members.RegionOf(self);
    std::vector<std::vector<MemberIndex>> fetchers;
    for (std::uint32_t r = 0; r < members.regions().size(); ++r) {
      fetchers.push_back(members.TopRanked(r, MixHash(key, kFetcherSalt), kFetchersPerRegion));
    }
    Plan plan;
    const auto add = [&](MemberIndex member, bool local) {
      if (member != self && SlotOf(plan, member) == kNoSlot && plan.neighbours.size() < kMaxSlots) {
        plan.neighbours.push_back({member, local});
      }
    };
    for (const MemberIndex member : ChooseNeighbours(members, self, key, neighbours)) {
      add(member, true);
    }
    const auto& own = fetchers[region];
    const bool fetcher = std::find(own.begin(), own.end(), self) != own.end();
    if (fetcher) {
      for (std::uint32_t r = 0; r < fetchers.size(); ++r) {
        for (const MemberIndex member : fetchers[r]) add(member, r == region);
      }
    }
    plan.chunks.resize(manifest.chunks.size());
    std::size_t from_origin = 0;
    for (std::size_t c = 0; c < plan.chunks.size(); ++c) {
      const std::uint64_t chunk_key = PlacementKey(manifest.chunks[c].digest);
      const std::uint32_t home = members.HomeRegion(chunk_key);
      plan.chunks[c].home_region = static_cast<std::uint8_t>(home);
      plan.chunks[c].from_origin = home == region;
      from_origin += plan.chunks[c].from_origin ? 1 : 0;
    }
    if (!fetcher) return plan;
    OriginShares shares;
    shares.each = from_origin / own.size();
    shares.larger_left = from_origin % own.size();
    for (std::size_t c = 0; c < plan.chunks.size(); ++c) {
      const std::uint64_t chunk_key = PlacementKey(manifest.chunks[c].digest);
      Rank(members, plan, own, self, chunk_key, shares, plan.chunks[c]);
    }
    return plan;
  }

 private:
  static Slot SlotOf(const Plan& plan, MemberIndex member) {
    for (std::size_t i = 0; i < plan.neighbours.size(); ++i) {
      if (plan.neighbours[i].member == member) return static_cast<Slot>(i);
    }
    return kNoSlot;
  }

  /// Numbers of chunks that the fetchers of a region are to download from the origin. They differ
  /// by at most one, so that no fetcher is still downloading when the others have finished.
  struct OriginShares {
    std::size_t each = 0;
    /// Number of fetchers that may still get one chunk more.
    std::size_t larger_left = 0;
    std::map<MemberIndex, std::size_t> assigned;

    bool Take(MemberIndex member) {
      std::size_t& count = assigned[member];
      if (count > each || (count == each && larger_left == 0)) return false;
      if (count == each) --larger_left;
      ++count;
      return true;
    }
  };

  /// Ranks the fetchers of the region for a chunk.
  static void Rank(const Members& members, const Plan& plan, const std::vector<MemberIndex>& own,
                   MemberIndex self, std::uint64_t chunk_key, OriginShares& shares,
                   ChunkPlan& chunk) {
    std::array<std::pair<std::uint64_t, MemberIndex>, kFetchersPerRegion> scored;
    for (std::size_t i = 0; i < own.size(); ++i) {
      scored[i] = {members.Score(own[i], chunk_key), own[i]};
    }
    std::sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(own.size()),
              std::greater<>());
    if (chunk.from_origin) {
      const auto end = scored.begin() + static_cast<std::ptrdiff_t>(own.size());
      const auto first =
          std::find_if(scored.begin(), end, [&](const auto& it) { return shares.Take(it.second); });
      if (first != end) std::rotate(scored.begin(), first, first + 1);
    }
    for (std::size_t i = 0; i < own.size(); ++i) {
      const bool is_self = scored[i].second == self;
      if (is_self) chunk.rank = static_cast<std::uint8_t>(i);
      chunk.candidates[i] = is_self ? kSelfSlot : SlotOf(plan, scored[i].second);
    }
  }

  /// Chooses the neighbours inside the region: the successor and predecessor in several hash rings.
  /// The relation is symmetric, so each member is asked by as many neighbours as it asks. With a
  /// rendezvous choice per member, some members were asked by few and others by twice the mean,
  /// which delayed the last replicas. If all chosen neighbours are in the member's own failure
  /// domain, one outside it is added.
  static std::vector<MemberIndex> ChooseNeighbours(const Members& members, MemberIndex self,
                                                   std::uint64_t key, std::size_t count) {
    const auto& region = members.InRegion(members.RegionOf(self));
    std::vector<MemberIndex> chosen;
    const auto add = [&](MemberIndex member) {
      if (member != kNoMember && std::find(chosen.begin(), chosen.end(), member) == chosen.end()) {
        chosen.push_back(member);
      }
    };
    // Two members may be adjacent in several rings; additional rings then fill the list.
    for (std::uint64_t ring = 0; ring < count && chosen.size() + 1 < count; ++ring) {
      const std::uint64_t ring_key = MixHash(MixHash(key, kNeighbourSalt), ring);
      const std::uint64_t own = members.Score(self, ring_key);
      std::uint64_t after = ~std::uint64_t{0};
      std::uint64_t before = ~std::uint64_t{0};
      MemberIndex next = kNoMember;
      MemberIndex previous = kNoMember;
      for (const MemberIndex member : region) {
        if (member == self) continue;
        const std::uint64_t distance = members.Score(member, ring_key) - own;
        if (distance <= after) {
          after = distance;
          next = member;
        }
        if (0 - distance <= before) {
          before = 0 - distance;
          previous = member;
        }
      }
      add(next);
      add(previous);
    }
    const std::string& domain = members[self].failure_domain;
    const auto outside = [&](MemberIndex m) { return members[m].failure_domain != domain; };
    if (std::none_of(chosen.begin(), chosen.end(), outside)) {
      for (const MemberIndex m :
           members.TopRanked(members.RegionOf(self), MixHash(key, members.Score(self, key)), 32)) {
        if (!outside(m)) continue;
        add(m);
        break;
      }
    }
    return chosen;
  }
};

}  // namespace

std::shared_ptr<const Strategy> MakeStrategy(StrategyKind kind) {
  // With 4 trees of fan-out 4, each member is an inner node of about one tree and uploads there as
  // much as it receives over all trees.
  switch (kind) {
    case StrategyKind::kOriginOnly:
      return std::make_shared<OriginOnly>();
    case StrategyKind::kChain:
      return std::make_shared<Trees>(kind, 1, 1);
    case StrategyKind::kTree:
      return std::make_shared<Trees>(kind, 1, 2);
    case StrategyKind::kInterleavedTrees:
      return std::make_shared<Trees>(kind, 4, 4);
    case StrategyKind::kSwarm:
      return std::make_shared<Swarm>();
  }
  throw SpreadError("unknown strategy");
}

}  // namespace wagtailslip::spread
