#include "wagtailslip/serving/weights_targets.h"

#include <algorithm>

namespace wagtailslip::serving {
namespace {

// Far more versions than can be under way within one bound.
constexpr std::size_t kMostRemembered = 64;

}  // namespace

bool WeightsTargets::Name(const std::string& model, std::int64_t version, TimePoint since) {
  auto& list = named_[model];
  const bool newest = list.empty() || version > list.back().version;
  const auto at = std::lower_bound(
      list.begin(), list.end(), version,
      [](const Named& named, std::int64_t wanted) { return named.version < wanted; });
  if (at != list.end() && at->version == version) {
    at->since = std::min(at->since, since);
    return false;
  }
  list.insert(at, {version, since});
  if (list.size() > kMostRemembered) list.erase(list.begin());
  return newest;
}

std::int64_t WeightsTargets::Newest(const std::string& model) const {
  const auto it = named_.find(model);
  return it == named_.end() ? 0 : it->second.back().version;
}

std::int64_t WeightsTargets::Due(const std::string& model, Duration bound, TimePoint now) const {
  const auto it = named_.find(model);
  if (it == named_.end()) return 0;
  std::int64_t due = 0;
  for (const auto& named : it->second) {
    if (now - named.since >= bound) due = std::max(due, named.version);
  }
  return due;
}

std::optional<TimePoint> WeightsTargets::OldestUnmet(const std::string& model,
                                                     std::int64_t held) const {
  const auto it = named_.find(model);
  if (it == named_.end()) return std::nullopt;
  std::optional<TimePoint> oldest;
  for (const auto& named : it->second) {
    if (named.version > held && (!oldest || named.since < *oldest)) oldest = named.since;
  }
  return oldest;
}

}  // namespace wagtailslip::serving
