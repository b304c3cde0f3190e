#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/placement.h"

namespace wagtailslip::benchmark {

/// An engine with continuous batching. The defaults come from the users' configuration.
struct EngineParameters {
  std::uint32_t slots = 16;
  /// Duration of a decoding step, and its increase per running request.
  double step_ms = 8.87;
  double step_per_request_ms = 0.0388;
  /// Prompt tokens processed per millisecond.
  double tokens_per_ms = 19.1;
  /// Maximum number of prompt tokens that one pass processes.
  double chunk_tokens = 2048;
  /// Decoding steps of a pass.
  std::uint32_t steps_per_pass = 5;
};

/// Means of one kind of request. Lengths are distributed exponentially up to three times the mean.
struct RequestKind {
  std::string name;
  double per_second = 0;
  double prompt_tokens = 0;
  double answer_tokens = 0;
  Duration objective{};
};

struct OverloadScenario {
  std::string name;
  std::size_t processes = 4;
  std::size_t engines = 14;
  EngineParameters engine;
  std::vector<RequestKind> kinds;
  /// Factor on the request rates of all kinds.
  double load = 1;
  Duration length = std::chrono::seconds(30);
  std::uint64_t seed = 1;
  serving::PlacementSettings placement;
};

/// Outcomes of the requests that were first sent in the steady part of a run.
struct OverloadResult {
  std::size_t requests = 0;
  /// Served within the latency objective, and without a long pause in the stream.
  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  /// Time from the first attempt to the first event, over all requests that were served.
  double median_ms = 0;
  double p95_ms = 0;

  double InTimeFraction() const {
    return static_cast<double>(in_time) / static_cast<double>(requests);
  }
  double LateFraction() const { return static_cast<double>(late) / static_cast<double>(requests); }
  double RefusedFraction() const {
    return static_cast<double>(refused) / static_cast<double>(requests);
  }
};

/// The request mix of the users' deployments with a dozen engines.
std::vector<RequestKind> TypicalRequestKinds();

/// Simulates callers, ingress processes with the real admission and placement, and engines in
/// virtual time. A refused caller retries once, after the time given in the refusal.
OverloadResult RunOverload(const OverloadScenario& overload);

}  // namespace wagtailslip::benchmark
