#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/priority_limits.h"

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
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Value of a response in time, and of a late one.
  double value = 1;
  double late_value = 0;
  /// Standard deviation of the logarithm of the lengths; 0 for an exponential distribution.
  double log_spread = 0;
};

/// A period in which one kind, or all, arrive at a multiple of their usual rate.
struct LoadBurst {
  Duration from{};
  Duration to{};
  double factor = 1;
  /// Name of the kind; empty for all.
  std::string kind;
};

/// A period in which the first engines take no requests. After it they are slow for `cold`.
struct EngineOutage {
  Duration from{};
  Duration to{};
  double fraction = 0;
  Duration cold{};
};

/// Alternatives for allocating capacity by priority.
enum class PriorityPolicy {
  /// All requests have the same priority.
  kNone,
  /// Priority orders only the queue of each process.
  kQueueOrder,
  /// Limits by rank in each process, see serving::PriorityLimits.
  kLimits,
  /// Requests of all ranks may wait at the engines, which admit by priority.
  kEngineQueue,
  /// One process allots shares by rank to all, each second.
  kLeaderShares,
};

struct OverloadScenario {
  std::string name;
  std::size_t processes = 4;
  std::size_t engines = 14;
  EngineParameters engine;
  std::vector<RequestKind> kinds;
  /// Factor on the request rates of all kinds.
  double load = 1;
  std::vector<LoadBurst> bursts;
  std::vector<EngineOutage> outages;
  PriorityPolicy policy = PriorityPolicy::kQueueOrder;
  /// Requests that an engine queues behind its slots; the others are refused.
  std::uint32_t engine_queue = 1000;
  serving::PriorityLimitSettings limits;
  /// Requests that one engine may have beyond its slots with kEngineQueue.
  double engine_queue_limit = 4;
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
  struct Kind {
    std::size_t requests = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    /// Refused twice.
    std::size_t refused = 0;
    /// Refused at least once.
    std::size_t returned = 0;
    /// Requests with one of the longest tenth of prompts, and how many of them were served.
    std::size_t long_requests = 0;
    std::size_t long_served = 0;
    std::size_t long_in_time = 0;
    double LongServedFraction() const {
      return long_requests == 0
                 ? 1
                 : static_cast<double>(long_served) / static_cast<double>(long_requests);
    }
    /// Value of the responses relative to that of responses in time to all requests.
    double worth = 0;
    double ServedFraction() const {
      return requests == 0 ? 1
                           : static_cast<double>(in_time + late) / static_cast<double>(requests);
    }
  };
  std::map<std::string, Kind> kinds;
  double worth = 0;
  /// Mean share of the slots of available engines that are in use.
  double utilization = 0;

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

/// The request mix of the users' deployment with three priorities, at the rates for 52 engines.
std::vector<RequestKind> PrioritizedRequestKinds();
EngineParameters PrioritizedEngine();

/// Load patterns under contention.
enum class LoadPattern { kSteady, kUrgentBurst, kBurst, kOutage, kColdReturn };
inline constexpr std::pair<LoadPattern, const char*> kLoadPatterns[] = {
    {LoadPattern::kSteady, "steady"},
    {LoadPattern::kUrgentBurst, "urgent-burst"},
    {LoadPattern::kBurst, "burst"},
    {LoadPattern::kOutage, "third-away"},
    {LoadPattern::kColdReturn, "cold-return"}};

/// The users' request mix with three priorities, scaled to the number of engines.
OverloadScenario PrioritizedOverload(LoadPattern pattern, std::size_t processes,
                                     std::size_t engines);

/// Simulates callers, ingress processes with the real admission and placement, and engines in
/// virtual time. A refused caller retries once, after the time given in the refusal.
OverloadResult RunOverload(const OverloadScenario& overload);

}  // namespace wagtailslip::benchmark
