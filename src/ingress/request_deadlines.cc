#include "request_deadlines.h"

namespace wagtailslip::ingress {

RequestDeadlines::Key RequestDeadlines::Add(TimePoint deadline, std::function<void()> on_expiry) {
  const Key key{deadline, ++last_number_};
  callbacks_[key] = std::move(on_expiry);
  return key;
}

void RequestDeadlines::Expire(TimePoint answer_by, TimePoint now) {
  while (!callbacks_.empty()) {
    const auto first = callbacks_.begin();
    if (now < first->first.first && now < answer_by) return;
    // The callback may add or remove deadlines.
    const auto on_expiry = std::move(first->second);
    callbacks_.erase(first);
    on_expiry();
  }
}

}  // namespace wagtailslip::ingress
