#include "weights_cluster.h"

#include <algorithm>

namespace wagtailslip::system_test {

std::vector<std::string> Addresses(const Cluster& cluster, const std::vector<std::string>& names) {
  std::vector<std::string> addresses;
  for (const auto& it : names) addresses.push_back(cluster.Address(it));
  return addresses;
}

bool Post(const Cluster& cluster, const std::string& path, const Json& body, Duration timeout) {
  const auto& names = cluster.controls();
  return std::any_of(names.begin(), names.end(), [&](const auto& it) {
    return Send(cluster.Address(it), verb::post, path, body.dump(), {}, timeout).status == 200;
  });
}

void NameVersion(const Cluster& cluster, const std::string& model, std::int64_t version) {
  cluster.WaitFor("/version-put is acknowledged", [&] {
    return Post(cluster, "/version-put", {{"model-name", model}, {"version", version}});
  });
}

Json WeightsConfig(const TestWeights& weights, const std::string& origin, std::uint32_t layers) {
  const Json runtime{{"batch-slots", 16},
                     {"layers", layers},
                     {"chunk-count", weights.chunks},
                     {"chunk-bytes", weights.chunk_bytes},
                     {"model-list", {{{"name", weights.model}}}}};
  return {{"version", 1},
          {"route-table",
           {{{"name", "m"},
             {"host", "m.example"},
             {"path-prefix", "/m/"},
             {"route-type", "idempotent"},
             {"timeout-ms", 1500},
             {"target-latency-ms", 300},
             {"backend", "m"},
             {"max-attempts", 2},
             {"public", true}}}},
          {"backends",
           {{{"name", "m"}, {"max-connections", 100}, {"runtime", runtime}},
            {{"name", "o"}, {"upstream", origin}, {"max-connections", 48}}}}};
}

EngineOptions StartWeightsSidecar(Cluster& cluster, int number, int propagation_ms,
                                  const TestWeights& weights) {
  cluster.StartSidecar(number, "m", propagation_ms);
  EngineOptions options;
  options.id = "m" + std::to_string(number);
  options.address = cluster.EngineAddress(number);
  options.service = "m";
  options.controls = Addresses(cluster, cluster.controls());
  options.weights = weights;
  return options;
}

void WaitLoaded(const Cluster& cluster, const std::vector<std::unique_ptr<WeightsEngine>>& engines,
                std::int64_t version, Duration limit) {
  cluster.WaitFor(
      "all engines have loaded the new version",
      [&] {
        return std::all_of(engines.begin(), engines.end(),
                           [version](const auto& it) { return it->loaded_version() == version; });
      },
      limit);
}

Callers::Callers(const std::vector<std::vector<std::string>>& targets) {
  for (std::size_t i = 0; i < targets.size(); ++i) {
    // Attempt ids differ between callers. Ingress processes choose by their hash, so another form
    // of them changes what a test plays.
    const std::string prefix = targets.size() == 1 ? "a" : "a" + std::to_string(i) + "-";
    threads_.emplace_back([this, prefix, addresses = targets[i]] {
      for (std::size_t n = 0; !finish_; ++n) {
        const net::HttpHeaders headers{{"Host", "m.example"},
                                       {"Attempt-Id", prefix + std::to_string(n)},
                                       {"Deadline-Ms", "1500"},
                                       {"Model", "m"},
                                       {"Token-Usage", "10,10"}};
        const auto& address = addresses[n % addresses.size()];
        if (Send(address, verb::get, "/m/1", {}, headers, 2s).status == 200) ++served_;
        std::this_thread::sleep_for(10ms);
      }
    });
  }
}

void Callers::Finish() {
  finish_ = true;
  threads_.clear();
}

}  // namespace wagtailslip::system_test
