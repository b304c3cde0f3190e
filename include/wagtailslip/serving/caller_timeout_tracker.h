#pragma once

#include <map>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Tracks the longest timeout that the callers of an account set on requests of a route. A request
/// with a much shorter timeout is recognised as a retry after a refusal, since a retry is sent with
/// only the remaining time.
class CallerTimeoutTracker {
 public:
  /// Records the timeout of a request.
  /// @param group route and account of the request
  /// @return the longest recent timeout in the group
  Duration Record(const std::string& group, Duration timeout, TimePoint now);

 private:
  struct WindowMax {
    Duration current{};
    Duration previous{};
    TimePoint window_start{};
  };
  std::map<std::string, WindowMax> groups_;
};

}  // namespace wagtailslip::serving
