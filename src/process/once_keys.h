#pragma once

#include <mutex>
#include <set>
#include <string>

namespace wagtailslip::process {

/// Idempotency keys whose calls are in progress in this process. A key stays until its outcome is
/// recorded, so that a pending intent of this process is run by one request only. Safe from any
/// thread.
class OnceKeys {
 public:
  /// @return false if another request of this process uses the key
  bool Begin(const std::string& key) {
    const std::scoped_lock lock(mutex_);
    return keys_.insert(key).second;
  }
  void End(const std::string& key) {
    const std::scoped_lock lock(mutex_);
    keys_.erase(key);
  }
  std::size_t size() const {
    const std::scoped_lock lock(mutex_);
    return keys_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::string> keys_;
};

}  // namespace wagtailslip::process
