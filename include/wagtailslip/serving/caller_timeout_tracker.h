#pragma once

#include <map>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Learns how much time the callers of an account give the requests of a route, to recognise a
/// request that comes back after a refusal: it gives only what is left.
class CallerTimeoutTracker {
 public:
  /// Notes the time that a request gives.
  /// @param group route and account of the request
  /// @return the longest time given in the group lately
  Duration Record(const std::string& group, Duration time_left, TimePoint now);

 private:
  struct WindowMax {
    Duration current{};
    Duration previous{};
    TimePoint window_start{};
  };
  std::map<std::string, WindowMax> groups_;
};

}  // namespace wagtailslip::serving
