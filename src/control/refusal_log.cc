#include "refusal_log.h"

#include <utility>

namespace wagtailslip::control {

std::optional<std::uint64_t> RefusalLog::Add(const std::string& writer, TimePoint now) {
  auto it = writers_.find(writer);
  if (it != writers_.end()) {
    ++it->second.refused;
    if (now - it->second.logged_at < kInterval) return std::nullopt;
    it->second.logged_at = now;
    return std::exchange(it->second.refused, 0);
  }
  if (writers_.size() >= kMaxWriters) {
    // Writers that are due a line anyway need no entry.
    std::erase_if(writers_,
                  [&](const auto& entry) { return now - entry.second.logged_at >= kInterval; });
    if (writers_.size() >= kMaxWriters) return std::nullopt;
  }
  writers_[writer].logged_at = now;
  return 1;
}

}  // namespace wagtailslip::control
