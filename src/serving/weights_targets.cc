#include "wagtailslip/serving/weights_targets.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Far more targets than can be set within one propagation deadline.
constexpr std::size_t kMaxTargetsPerModel = 64;

}  // namespace

void WeightsTargets::SetTarget(const std::string& model, std::int64_t version, TimePoint set_at) {
  auto& targets = targets_[model];
  const auto at = std::lower_bound(
      targets.begin(), targets.end(), version,
      [](const Target& target, std::int64_t value) { return target.version < value; });
  if (at != targets.end() && at->version == version) {
    at->set_at = set_at;
    return;
  }
  targets.insert(at, {version, set_at});
  if (targets.size() > kMaxTargetsPerModel) targets.erase(targets.begin());
}

std::map<std::string, std::map<std::int64_t, TimePoint>> WeightsTargets::List() const {
  std::map<std::string, std::map<std::int64_t, TimePoint>> list;
  for (const auto& [model, targets] : targets_) {
    for (const auto& it : targets) list[model][it.version] = it.set_at;
  }
  return list;
}

std::int64_t WeightsTargets::Newest(const std::string& model) const {
  const auto it = targets_.find(model);
  return it == targets_.end() ? 0 : it->second.back().version;
}

std::int64_t WeightsTargets::NewestDue(const std::string& model, Duration min_age,
                                       TimePoint now) const {
  const auto it = targets_.find(model);
  if (it == targets_.end()) return 0;
  std::int64_t due = 0;
  for (const auto& target : it->second) {
    if (now - target.set_at >= min_age) due = std::max(due, target.version);
  }
  return due;
}

std::optional<TimePoint> WeightsTargets::EarliestNewerTargetTime(const std::string& model,
                                                                 std::int64_t held_version) const {
  const auto it = targets_.find(model);
  if (it == targets_.end()) return std::nullopt;
  std::optional<TimePoint> oldest;
  for (const auto& target : it->second) {
    if (target.version > held_version && (!oldest || target.set_at < *oldest))
      oldest = target.set_at;
  }
  return oldest;
}

}  // namespace wagtailslip::serving
