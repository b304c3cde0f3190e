#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Target versions of the weights of each model. A new target may be set before the previous one is
/// in place, and the propagation deadline of each counts from when that version was set.
class WeightsTargets {
 public:
  /// Adds a target, or corrects the time of a known one.
  /// @param set_at when the target was acknowledged, by this process's clock
  void SetTarget(const std::string& model, std::int64_t version, TimePoint set_at);

  /// The newest target version; 0 if there is none.
  std::int64_t Newest(const std::string& model) const;
  /// The newest version that became a target at least `min_age` ago; 0 if there is none.
  std::int64_t NewestDue(const std::string& model, Duration min_age, TimePoint now) const;
  /// When each target version of each model was set.
  std::map<std::string, std::map<std::int64_t, TimePoint>> List() const;
  /// The earliest time at which a version newer than `held_version` became a target.
  std::optional<TimePoint> EarliestNewerTargetTime(const std::string& model,
                                                   std::int64_t held_version) const;

 private:
  struct Target {
    std::int64_t version = 0;
    TimePoint set_at{};
  };
  /// By model, sorted by version.
  std::map<std::string, std::vector<Target>> targets_;
};

}  // namespace wagtailslip::serving
