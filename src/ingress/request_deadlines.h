#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "wagtailslip/base/time.h"

namespace wagtailslip::ingress {

/// Deadlines of the requests in progress. A request waits for many things; its deadline ends
/// whichever it is.
class RequestDeadlines {
 public:
  using Key = std::pair<TimePoint, std::uint64_t>;

  /// @param on_expiry called once by Expire, unless the deadline is removed before
  Key Add(TimePoint deadline, std::function<void()> on_expiry);
  void Remove(const Key& key) { callbacks_.erase(key); }
  /// Ends the requests whose deadline has passed, and all of them from `answer_by` on.
  void Expire(TimePoint answer_by, TimePoint now);
  std::size_t size() const { return callbacks_.size(); }

 private:
  std::map<Key, std::function<void()>> callbacks_;
  std::uint64_t last_number_ = 0;
};

}  // namespace wagtailslip::ingress
