#include "wagtailslip/serving/regions.h"

#include <algorithm>
#include <iterator>

namespace wagtailslip::serving {

AllowedRegions::AllowedRegions(std::vector<std::string> regions) {
  if (regions.empty()) return;
  std::sort(regions.begin(), regions.end());
  regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
  regions_ = std::move(regions);
}

void AllowedRegions::Intersect(const AllowedRegions& other) {
  if (!other.regions_) return;
  if (!regions_) {
    regions_ = other.regions_;
    return;
  }
  std::vector<std::string> both;
  std::set_intersection(regions_->begin(), regions_->end(), other.regions_->begin(),
                        other.regions_->end(), std::back_inserter(both));
  regions_ = std::move(both);
}

bool AllowedRegions::Allows(const std::string& region) const {
  return !regions_ ||
         (!region.empty() && std::binary_search(regions_->begin(), regions_->end(), region));
}

bool AllowedRegions::Includes(const AllowedRegions& other) const {
  if (!regions_) return true;
  return other.regions_ && std::includes(regions_->begin(), regions_->end(),
                                         other.regions_->begin(), other.regions_->end());
}

bool AllowedRegions::Overlaps(const AllowedRegions& other) const {
  AllowedRegions both = *this;
  both.Intersect(other);
  return !both.empty();
}

}  // namespace wagtailslip::serving
