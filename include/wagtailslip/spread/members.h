#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::spread {

/// An agent that takes part in a distribution.
struct Member {
  std::string id;
  /// Address "ip:port" where peers fetch chunks.
  std::string address;
  std::string region;
  std::string failure_domain;

  bool operator==(const Member&) const = default;
};

/// Position in a member list.
using MemberIndex = std::uint32_t;
inline constexpr MemberIndex kNoMember = ~MemberIndex{0};

/// The live agents of a distribution, in order of id. All processes that hold the same list derive
/// the same assignments from it.
class Members {
 public:
  Members() = default;

  /// @throws SpreadError on an empty or repeated id
  explicit Members(std::vector<Member> members);

  std::size_t size() const { return members_.size(); }
  const Member& operator[](MemberIndex i) const { return members_[i]; }
  const std::vector<std::string>& regions() const { return regions_; }

  /// Position of the region of a member in `regions`.
  std::uint32_t RegionOf(MemberIndex i) const { return region_of_[i]; }
  /// Members of a region in order of id.
  const std::vector<MemberIndex>& InRegion(std::uint32_t region) const {
    return by_region_[region];
  }
  /// Position of a member, or kNoMember.
  MemberIndex Find(std::string_view id) const;

  /// Rendezvous score of a member for a key; the highest score comes first.
  std::uint64_t Score(MemberIndex i, std::uint64_t key) const;

  /// The first members of a region in rendezvous order of a key.
  /// @param count largest number returned
  std::vector<MemberIndex> TopRanked(std::uint32_t region, std::uint64_t key,
                                     std::size_t count) const;

  /// Region whose fetcher takes a chunk from the origin.
  std::uint32_t HomeRegion(std::uint64_t chunk_key) const;

 private:
  std::vector<Member> members_;
  std::vector<std::uint64_t> hashes_;
  std::vector<std::uint32_t> region_of_;
  std::vector<std::string> regions_;
  std::vector<std::uint64_t> region_hashes_;
  std::vector<std::vector<MemberIndex>> by_region_;
};

/// Key of a digest for placement.
std::uint64_t PlacementKey(const Digest& digest);

/// Mixes two hashes into one.
std::uint64_t MixHash(std::uint64_t a, std::uint64_t b);

}  // namespace wagtailslip::spread
