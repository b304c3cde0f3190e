#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailslip/traffic/fair_queue.h"
#include "wagtailslip/traffic/router.h"

namespace wagtailslip::benchmark {

/// Latencies in milliseconds on a logarithmic axis; a bin is about 1% wide.
class Latencies {
 public:
  Latencies();
  void Add(Duration latency);
  void Merge(const Latencies& other);
  /// Upper bound of the bin that holds the quantile, in milliseconds.
  double Quantile(double part) const;
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
  std::uint64_t count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1, 2))) histogram_;
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

/// Load of one account.
struct AccountLoad {
  std::string name;
  /// Requests per second over all entry processes.
  double rate = 1;
  std::uint32_t priority = 5;
  Duration deadline = std::chrono::seconds(20);
};

/// One run of the model.
struct Scenario {
  int engines = 12;
  std::uint32_t slots = 8;
  int processes = 4;
  Duration report_period = std::chrono::seconds(1);
  Duration report_lag = std::chrono::seconds(1);
  std::vector<AccountLoad> accounts;
  std::function<std::unique_ptr<traffic::RouteStrategy>()> strategy;
  traffic::FairQueue::OrderFactory order = traffic::MakeFairOrder;
  traffic::QueueLimits limits;
  /// Whether a refused caller comes back after the time it was told, until its deadline.
  bool clients_return = true;
  /// Shared prompt beginnings, of kPrefixBlocks blocks, with Zipf popularity.
  int prefixes = 200;
  /// Blocks that an engine's cache holds.
  std::size_t cache_blocks = 400;
  /// Cache events arrive this much later; every `event_loss`-th batch is lost.
  Duration event_lag = std::chrono::milliseconds(500);
  std::uint32_t event_loss = 50;
  Duration length = std::chrono::seconds(120);
  std::uint64_t seed = 690;
};

struct AccountResult {
  Latencies latency;
  std::uint64_t offered = 0;
  std::uint64_t complete = 0;
  /// Complete before the deadline.
  std::uint64_t useful = 0;
  /// Ended without an answer that was of use.
  std::uint64_t refused = 0;
  std::uint64_t refusals = 0;
};

struct Result {
  std::map<std::string, AccountResult> accounts;
  Latencies wait;
  /// Wait inside the engines, where the order is first in, first out.
  Latencies engine_wait;
  double prefix_hits = 0;
  double prefix_blocks = 0;
  /// Largest requests in one engine over its slots.
  double worst_overload = 0;
  double seconds = 0;

  double Goodput() const;
  double HitRate() const { return prefix_blocks == 0 ? 0 : prefix_hits / prefix_blocks; }
};

/// Runs entry processes with the real queue and router against model engines in virtual time.
Result Run(const Scenario& scenario);

/// Requests per second that the engines of a scenario can serve with an empty cache.
double Capacity(const Scenario& scenario);

}  // namespace wagtailslip::benchmark
