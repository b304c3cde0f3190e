#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::request_limit_rule {

/// The stated rule: from kContact after an endpoint first named a limit, it gets in kWindow at most
/// kFactor times what the limit allows, and kExtra requests more. An update takes
/// kPropagationDelay to reach all processes.
inline constexpr Duration kContact = std::chrono::seconds(3);
inline constexpr Duration kWindow = std::chrono::seconds(4);
inline constexpr Duration kPropagationDelay = std::chrono::milliseconds(500);
inline constexpr double kFactor = 1.5;
inline constexpr double kExtra = 5;

/// The limit in requests per second that an endpoint names at a time; nothing if it names none.
using LimitAt = std::function<std::optional<double>(Duration time)>;

/// Requests that the endpoint may get from `begin` to `begin` + kWindow; nothing if it names no
/// limit for a part of that time. A lower limit counts from kPropagationDelay after it was named.
inline std::optional<double> Allowance(const LimitAt& limit_at, Duration begin) {
  constexpr Duration kStep = std::chrono::milliseconds(10);
  double total = 0;
  for (Duration time = begin; time < begin + kWindow; time += kStep) {
    const auto limit = limit_at(time);
    const auto before = limit_at(time - kPropagationDelay);
    if (!limit || !before) return std::nullopt;
    total += std::max(*limit, *before) * ToSeconds(kStep);
  }
  return kFactor * total + kExtra;
}

/// The first window in which the endpoint got more requests than it may get; empty if there is
/// none.
/// @param arrivals times of its requests, in order
/// @param first_named when it first named a limit
inline std::string FirstExcess(const std::vector<Duration>& arrivals, const LimitAt& limit_at,
                               Duration first_named) {
  for (std::size_t first = 0, last = 0; first < arrivals.size(); ++first) {
    const Duration begin = arrivals[first];
    while (last < arrivals.size() && arrivals[last] < begin + kWindow) ++last;
    if (begin < first_named + kContact) continue;
    const auto allowance = Allowance(limit_at, begin);
    if (!allowance || static_cast<double>(last - first) <= *allowance) continue;
    return "got " + std::to_string(last - first) + " requests in 4 s from " +
           std::to_string(ToSeconds(begin)) + " s, allowed " + std::to_string(*allowance);
  }
  return {};
}

}  // namespace wagtailslip::request_limit_rule
