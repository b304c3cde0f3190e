#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/spread/members.h"

namespace wagtailslip::spread {

/// How the instances obtain chunks from each other.
enum class StrategyKind { kOriginOnly, kChain, kTree, kInterleavedTrees, kSwarm };
inline constexpr EnumTable<StrategyKind, 5> kStrategyKinds{
    {{{StrategyKind::kOriginOnly, "origin-only"},
      {StrategyKind::kChain, "chain"},
      {StrategyKind::kTree, "tree"},
      {StrategyKind::kInterleavedTrees, "interleaved-trees"},
      {StrategyKind::kSwarm, "swarm"}}}};

/// Candidates per region that fetch chunks into the region. With one origin request each they keep
/// the origin's link busy with few chunks at a time, so that the first ones complete early; all
/// members at once would make every first copy complete late.
inline constexpr std::size_t kFetchersPerRegion = 4;

/// Position of a neighbour in a plan.
using Slot = std::uint8_t;
inline constexpr Slot kNoSlot = 0xff;
inline constexpr Slot kSelfSlot = 0xfe;
/// Upper bound of neighbours in a plan.
inline constexpr std::size_t kMaxSlots = 128;

/// Rank of an agent that is no candidate.
inline constexpr std::uint8_t kNoRank = 0xff;

/// What an agent may do to obtain one chunk.
struct ChunkPlan {
  /// Own position among the candidates that fetch this chunk into the own region.
  std::uint8_t rank = kNoRank;
  /// The region's fetcher takes the chunk from the origin rather than across a region link.
  bool from_origin = false;
  /// Region whose fetcher takes the chunk from the origin.
  std::uint8_t home_region = 0;
  /// The only neighbour that sends this chunk, or kNoSlot for any.
  Slot only_source = kNoSlot;
  /// Slots of the candidates in rendezvous order.
  std::array<Slot, kFetchersPerRegion> candidates{kNoSlot, kNoSlot, kNoSlot, kNoSlot};
};

struct Neighbour {
  MemberIndex member = kNoMember;
  /// False for a neighbour that is reached across a region link for assigned chunks only.
  bool local = true;
};

/// An agent's neighbours and assignments, derived from the manifest and the member list.
struct Plan {
  std::vector<Neighbour> neighbours;
  std::vector<ChunkPlan> chunks;
};

/// Decides who asks whom. Stateless.
class Strategy {
 public:
  virtual ~Strategy() = default;
  virtual StrategyKind kind() const = 0;

  /// @param self position of the agent in `members`
  /// @param neighbours number of neighbours inside the region
  virtual Plan MakePlan(const Manifest& manifest, const Members& members, MemberIndex self,
                        std::size_t neighbours) const = 0;
};

std::shared_ptr<const Strategy> MakeStrategy(StrategyKind kind);

}  // namespace wagtailslip::spread
