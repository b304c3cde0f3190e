#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace wagtailslip::serving {

/// Regions whose endpoints may serve a request: all of them, or those of a set.
class AllowedRegions {
 public:
  /// Allows every region.
  AllowedRegions() = default;
  /// Allows the listed regions, or every region if the list is empty.
  explicit AllowedRegions(std::vector<std::string> regions);

  /// Keeps only the regions that `other` allows as well.
  void Intersect(const AllowedRegions& other);
  /// @param region empty for an unknown one, which only an unrestricted object allows
  bool Allows(const std::string& region) const;
  /// Whether every region that `other` allows is allowed.
  bool Includes(const AllowedRegions& other) const;
  /// Whether a region is allowed by both.
  bool Overlaps(const AllowedRegions& other) const;
  /// Whether some regions are not allowed.
  bool restricted() const { return regions_.has_value(); }
  /// Whether no region is left.
  bool empty() const { return regions_ && regions_->empty(); }
  auto operator<=>(const AllowedRegions&) const = default;

 private:
  /// Sorted and unique; nothing if every region is allowed.
  std::optional<std::vector<std::string>> regions_;
};

/// What determines the allowed regions of a request; see RouteTable::AllowedRegionsFor.
struct RegionScope {
  std::string host;
  std::string path;
  /// Empty if the request belongs to no account.
  std::string account;
  /// Allowed regions by the configuration in force when the request arrived.
  AllowedRegions at_arrival;
};

}  // namespace wagtailslip::serving
