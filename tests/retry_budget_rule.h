#pragma once

#include <algorithm>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::retry_budget_rule {

/// Limits on the sends of a service's requests beyond the first one each, over all processes.
struct Rule {
  double ratio = 0.2;
  double extra = 100;
  Duration window = std::chrono::seconds(10);
};

/// Number of sorted times in [from, to).
inline double Count(const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
  const auto first = std::lower_bound(times.begin(), times.end(), from);
  return static_cast<double>(std::lower_bound(first, times.end(), to) - first);
}

/// Retries allowed in the window that begins at `from`. The requests are those of the window, of
/// the one before it, or of the one half a window before it, whichever has most.
inline double Allowed(const Rule& rule, const std::vector<TimePoint>& requests, TimePoint from) {
  double most = 0;
  for (const Duration shift : {Duration(0), rule.window / 2, rule.window}) {
    most = std::max(most, Count(requests, from - shift, from - shift + rule.window));
  }
  return rule.ratio * most + rule.extra;
}

/// Part of the allowed retries that was sent in the window. Both lists are sorted.
inline double PartUsed(const Rule& rule, const std::vector<TimePoint>& requests,
                       const std::vector<TimePoint>& retries, TimePoint from) {
  const double sent = Count(retries, from, from + rule.window);
  return sent == 0 ? 0 : sent / Allowed(rule, requests, from);
}

/// The largest part in any window.
inline double LargestPart(const Rule& rule, const std::vector<TimePoint>& requests,
                          const std::vector<TimePoint>& retries) {
  double largest = 0;
  for (const TimePoint from : retries) {
    largest = std::max(largest, PartUsed(rule, requests, retries, from));
  }
  return largest;
}

}  // namespace wagtailslip::retry_budget_rule
