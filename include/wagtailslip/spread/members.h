#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::spread {

/// An agent that takes part in the distribution of an artifact.
struct Member {
  std::string id;
  /// Address "ip:port" from which peers fetch chunks.
  std::string address;
  std::string region;
  std::string failure_domain;

  bool operator==(const Member&) const = default;
};

/// Index into a member list.
using MemberIndex = std::uint32_t;
inline constexpr MemberIndex kNoMember = ~MemberIndex{0};

/// The live agents of a distribution, sorted by id. Assignments depend only on the list and the
/// manifest, so all processes that hold the same list derive the same ones.
class Members {
 public:
  Members() = default;

  /// @throws SpreadError if an id is empty or occurs twice
  explicit Members(std::vector<Member> members);

  std::size_t size() const { return members_.size(); }
  const Member& operator[](MemberIndex i) const { return members_[i]; }
  const std::vector<std::string>& regions() const { return regions_; }

  /// Index of a member's region in `regions()`.
  std::uint32_t RegionOf(MemberIndex i) const { return region_of_[i]; }
  /// Members of a region, sorted by id.
  const std::vector<MemberIndex>& InRegion(std::uint32_t region) const {
    return by_region_[region];
  }
  /// Index of the member with this id, or kNoMember.
  MemberIndex Find(std::string_view id) const;

  /// Rendezvous-hashing score of a member for a key; a higher score ranks first.
  std::uint64_t Score(MemberIndex i, std::uint64_t key) const;

  /// Members of a region with the highest scores for a key, in descending order.
  /// @param count maximum number of members returned
  std::vector<MemberIndex> TopRanked(std::uint32_t region, std::uint64_t key,
                                     std::size_t count) const;

  /// Index of the region whose fetcher downloads a chunk from the origin.
  std::uint32_t HomeRegion(std::uint64_t chunk_key) const;

 private:
  std::vector<Member> members_;
  std::vector<std::uint64_t> hashes_;
  std::vector<std::uint32_t> region_of_;
  std::vector<std::string> regions_;
  std::vector<std::uint64_t> region_hashes_;
  std::vector<std::vector<MemberIndex>> by_region_;
};

/// Hash of a digest, for use as a rendezvous-hashing key.
std::uint64_t PlacementKey(const Digest& digest);

/// Combines two hashes into one; the order of the arguments matters.
std::uint64_t MixHash(std::uint64_t a, std::uint64_t b);

}  // namespace wagtailslip::spread
