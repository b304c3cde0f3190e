#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/placement.h"

namespace wagtailslip::benchmark {

/// An engine that batches continuously, as the users' configuration describes it.
struct EngineParameters {
  std::uint32_t slots = 16;
  /// Milliseconds of a decoding step, and its growth with each running request.
  double step_ms = 8.87;
  double step_per_request_ms = 0.0388;
  double tokens_per_ms = 19.1;
  /// Most prompt tokens that one pass reads.
  double chunk_tokens = 2048;
  std::uint32_t steps_per_pass = 5;
};

/// A kind of request, by means; lengths are exponential up to `longest` times the mean.
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
  /// Factor on the rate of all kinds.
  double load = 1;
  Duration length = std::chrono::seconds(30);
  std::uint64_t seed = 1;
  serving::PlacementSettings placement;
};

/// Ends of the requests that first came in the steady part of a run.
struct OverloadResult {
  std::size_t requests = 0;
  /// Answered within the objective, and without a long pause.
  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  /// From the first attempt to the first event, of all that were answered.
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

/// Requests of the users' deployments with a dozen engines.
std::vector<RequestKind> TypicalRequestKinds();

/// Plays callers, ingress processes with the real admission and placement, and engines in virtual
/// time. A refused caller comes back once, when it was told to.
OverloadResult RunOverload(const OverloadScenario& overload);

}  // namespace wagtailslip::benchmark
