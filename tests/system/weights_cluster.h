#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"
#include "weights_engine.h"

namespace wagtailslip::system_test {

/// Addresses of processes.
std::vector<std::string> Addresses(const Cluster& cluster, const std::vector<std::string>& names);

/// Sends a command to each control process until one acknowledges it.
/// @return whether one did
bool Post(const Cluster& cluster, const std::string& path, const Json& body,
          Duration timeout = 20s);

/// Names a version of a model and waits until a control process acknowledges it.
void NameVersion(const Cluster& cluster, const std::string& model, std::int64_t version);

/// Configuration of service "m" with the weights, and of their origin.
/// @param layers of the model
Json WeightsConfig(const TestWeights& weights, const std::string& origin,
                   std::uint32_t layers = WeightsEngine::kLayers);

/// Starts sidecar "w<number>".
/// @return options of engine "m<number>" beside it
EngineOptions StartWeightsSidecar(Cluster& cluster, int number, int propagation_ms,
                                  const TestWeights& weights);

/// Waits until all engines have loaded a version.
void WaitLoaded(const Cluster& cluster, const std::vector<std::unique_ptr<WeightsEngine>>& engines,
                std::int64_t version, Duration limit);

/// Callers that send requests for service "m" one after another.
class Callers {
 public:
  /// @param targets for each caller, the addresses that it asks in turn
  explicit Callers(const std::vector<std::vector<std::string>>& targets);
  ~Callers() { Finish(); }
  void Finish();
  std::size_t served() const { return served_; }

 private:
  std::atomic<bool> finish_{false};
  std::atomic<std::size_t> served_{0};
  std::vector<std::jthread> threads_;
};

}  // namespace wagtailslip::system_test
