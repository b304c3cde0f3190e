#include "wagtailslip/spread/members.h"

#include <algorithm>
#include <array>

namespace wagtailslip::spread {

std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) {
  const std::array<std::uint64_t, 2> words{a, b};
  return Hash64({reinterpret_cast<const char*>(words.data()), sizeof(words)});
}

std::uint64_t PlacementKey(const Digest& digest) {
  return Hash64({reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size()});
}

Members::Members(std::vector<Member> members) : members_(std::move(members)) {
  std::sort(members_.begin(), members_.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  for (const Member& member : members_) regions_.push_back(member.region);
  std::sort(regions_.begin(), regions_.end());
  regions_.erase(std::unique(regions_.begin(), regions_.end()), regions_.end());
  by_region_.resize(regions_.size());
  for (const std::string& region : regions_) region_hashes_.push_back(Hash64(region));
  for (MemberIndex i = 0; i < members_.size(); ++i) {
    const Member& member = members_[i];
    if (member.id.empty()) throw SpreadError("member list: an id is empty");
    if (i > 0 && members_[i - 1].id == member.id) {
      throw SpreadError("member list: id " + member.id + " is repeated");
    }
    const auto it = std::lower_bound(regions_.begin(), regions_.end(), member.region);
    region_of_.push_back(static_cast<std::uint32_t>(it - regions_.begin()));
    by_region_[region_of_.back()].push_back(i);
    hashes_.push_back(Hash64(member.id));
  }
}

MemberIndex Members::Find(std::string_view id) const {
  const auto it =
      std::lower_bound(members_.begin(), members_.end(), id,
                       [](const Member& m, std::string_view key) { return m.id < key; });
  if (it == members_.end() || it->id != id) return kNoMember;
  return static_cast<MemberIndex>(it - members_.begin());
}

std::uint64_t Members::Score(MemberIndex i, std::uint64_t key) const {
  return MixHash(hashes_[i], key);
}

std::vector<MemberIndex> Members::TopRanked(std::uint32_t region, std::uint64_t key,
                                            std::size_t count) const {
  std::vector<std::pair<std::uint64_t, MemberIndex>> scored;
  scored.reserve(by_region_[region].size());
  for (const MemberIndex i : by_region_[region]) scored.emplace_back(Score(i, key), i);
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), std::greater<>());
  std::vector<MemberIndex> first;
  for (std::size_t i = 0; i < count; ++i) first.push_back(scored[i].second);
  return first;
}

std::uint32_t Members::HomeRegion(std::uint64_t chunk_key) const {
  std::uint32_t best = 0;
  std::uint64_t best_score = 0;
  for (std::uint32_t i = 0; i < region_hashes_.size(); ++i) {
    const std::uint64_t score = MixHash(region_hashes_[i], chunk_key);
    if (score >= best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace wagtailslip::spread
