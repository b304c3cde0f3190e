#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// The versions of weights that were named for each model. A version may be named before the one
/// before it is in place; the bound of each counts from its own naming.
class WeightsTargets {
 public:
  /// @param set_at when the version was acknowledged, by this process's clock
  /// @return whether it is newer than all named before
  bool AddTarget(const std::string& model, std::int64_t version, TimePoint set_at);

  /// The newest named version; 0 if none was named.
  std::int64_t Newest(const std::string& model) const;
  /// The newest version that was named at least `bound` ago; 0 if there is none.
  std::int64_t NewestDue(const std::string& model, Duration bound, TimePoint now) const;
  /// When the oldest version above `held_version` was named.
  std::optional<TimePoint> EarliestNewerTargetTime(const std::string& model,
                                                   std::int64_t held_version) const;

 private:
  struct Target {
    std::int64_t version = 0;
    TimePoint set_at{};
  };
  /// By model, in order of the versions.
  std::map<std::string, std::vector<Target>> targets_;
};

}  // namespace wagtailslip::serving
