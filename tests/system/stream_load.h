#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace wagtailslip::system_test {

/// Callers that ask for streams one after another and check that each is complete.
class StreamLoad {
 public:
  /// @param entries entry processes asked in turn
  /// @param tokens length of each stream
  StreamLoad(const Cluster& cluster, std::string model, std::vector<std::string> entries,
             std::size_t callers, int tokens);
  ~StreamLoad();

  /// Ends the callers after their present stream.
  void Finish();
  std::size_t complete() const { return complete_; }
  /// Requests that were refused before they ran.
  std::size_t refused() const { return refused_; }
  /// Streams by endpoint and by version.
  std::map<std::string, std::size_t> Endpoints() const;
  std::map<std::string, std::size_t> Versions() const;
  /// Streams that were cut, incomplete or of more than one version.
  std::vector<std::string> Faults() const;

 private:
  void Run(std::size_t caller);
  std::string Check(const Reply& reply) const;

  const Cluster& cluster_;
  std::string model_;
  std::vector<std::string> entries_;
  int tokens_;
  std::atomic<bool> finish_{false};
  std::atomic<std::size_t> complete_{0};
  std::atomic<std::size_t> refused_{0};
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> endpoints_;
  std::map<std::string, std::size_t> versions_;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

}  // namespace wagtailslip::system_test
