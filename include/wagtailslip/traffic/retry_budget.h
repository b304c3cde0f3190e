#pragma once

#include <cstdint>

#include "wagtailslip/base/time.h"

namespace wagtailslip::traffic {

/// Bounds retries and hedges together to a part of the requests, so that a failing endpoint is not
/// hit by a multiple of the load. A request that is itself a retry of an outer layer earns nothing;
/// this keeps the bound over several layers.
class RetryBudget {
 public:
  struct Counters {
    std::uint64_t requests = 0;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  /// Retries per request.
  static constexpr double kShare = 0.1;
  /// Retries that are possible with hardly any traffic; also the balance at the beginning.
  static constexpr double kReserve = 3;
  /// Time over which unused budget is kept.
  static constexpr Duration kMemory = std::chrono::seconds(10);
  /// Rate at which the reserve fills without traffic, retries per second.
  static constexpr double kReserveRate = 0.1;

  /// Counts a request.
  /// @param outer_retry whether the caller marked it as a retry of its own
  void OnRequest(bool outer_retry, TimePoint now);

  /// Takes one retry or hedge from the budget.
  /// @return false if the budget is used up; the call then ends without another attempt
  bool Take(TimePoint now);

  double balance() const { return balance_; }
  const Counters& counters() const { return counters_; }

 private:
  void Decay(TimePoint now);

  /// Budget above the reserve; fades with kMemory.
  double balance_ = 0;
  double reserve_ = kReserve;
  TimePoint updated_{};
  Counters counters_;
};

}  // namespace wagtailslip::traffic
