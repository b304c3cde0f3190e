#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/spread/members.h"

namespace wagtailslip::spread {

/// Topology over which the instances obtain chunks from the origin and from each other.
enum class StrategyKind { kOriginOnly, kChain, kTree, kInterleavedTrees, kSwarm };
inline constexpr EnumTable<StrategyKind, 5> kStrategyKinds{
    {{{StrategyKind::kOriginOnly, "origin-only"},
      {StrategyKind::kChain, "chain"},
      {StrategyKind::kTree, "tree"},
      {StrategyKind::kInterleavedTrees, "interleaved-trees"},
      {StrategyKind::kSwarm, "swarm"}}}};

/// Agents per region that may fetch chunks into the region. With one origin request each, they keep
/// the origin's link busy with few concurrent chunks, so that the first chunks complete early. If
/// all members fetched at once, all first copies would complete late.
inline constexpr std::size_t kFetchersPerRegion = 4;

/// Index of a neighbour in `Plan::neighbours`.
using Slot = std::uint8_t;
inline constexpr Slot kNoSlot = 0xff;
/// Stands for the agent itself in `ChunkPlan::candidates`.
inline constexpr Slot kSelfSlot = 0xfe;
/// Maximum number of neighbours in a plan.
inline constexpr std::size_t kMaxSlots = 128;

/// Rank of an agent that does not fetch the chunk into its region.
inline constexpr std::uint8_t kNoRank = 0xff;

/// From where an agent may obtain one chunk.
struct ChunkPlan {
  /// Rank of the agent among the candidates that may fetch this chunk into its region. Rank 0 is
  /// the primary fetcher; the others are backups.
  std::uint8_t rank = kNoRank;
  /// True if the region's fetcher downloads the chunk from the origin rather than from another
  /// region.
  bool from_origin = false;
  /// Index of the region whose fetcher downloads the chunk from the origin.
  std::uint8_t home_region = 0;
  /// The only neighbour that may be asked for this chunk, or kNoSlot if all may.
  Slot only_source = kNoSlot;
  /// Slots of the candidates by rank, kSelfSlot for the agent itself.
  std::array<Slot, kFetchersPerRegion> candidates{kNoSlot, kNoSlot, kNoSlot, kNoSlot};
};

/// A peer that an agent exchanges bitmaps and chunks with.
struct Neighbour {
  MemberIndex member = kNoMember;
  /// False for a fetcher of another region, which is asked only for chunks that this agent may
  /// fetch into its own region.
  bool local = true;
};

/// An agent's neighbours and assignments, derived from the manifest and the member list.
struct Plan {
  std::vector<Neighbour> neighbours;
  std::vector<ChunkPlan> chunks;
};

/// Derives neighbours and chunk assignments. Stateless.
class Strategy {
 public:
  virtual ~Strategy() = default;
  virtual StrategyKind kind() const = 0;

  /// @param self index of the agent in `members`
  /// @param neighbours number of neighbours inside the region
  virtual Plan MakePlan(const Manifest& manifest, const Members& members, MemberIndex self,
                        std::size_t neighbours) const = 0;
};

std::shared_ptr<const Strategy> MakeStrategy(StrategyKind kind);

}  // namespace wagtailslip::spread
