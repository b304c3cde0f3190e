#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::traffic {

/// Whether an endpoint takes requests.
enum class HealthState { kHealthy, kEjected, kHalfOpen };
inline constexpr EnumTable<HealthState, 3> kHealthStates{{{{HealthState::kHealthy, "healthy"},
                                                           {HealthState::kEjected, "ejected"},
                                                           {HealthState::kHalfOpen, "half-open"}}}};

/// How an attempt ended, as far as the endpoint's health is concerned.
enum class AttemptResult { kSuccess, kConnectFailed, kTimeout, kBroken, kServerError };
inline constexpr EnumTable<AttemptResult, 5> kAttemptResults{
    {{{AttemptResult::kSuccess, "success"},
      {AttemptResult::kConnectFailed, "connect-failed"},
      {AttemptResult::kTimeout, "timeout"},
      // The connection was lost, or the answer belonged to another request or version.
      {AttemptResult::kBroken, "broken"},
      {AttemptResult::kServerError, "server-error"}}}};

struct EjectorConfig {
  /// Failures in a row after which an endpoint is ejected, by AttemptResult; 0 means never. A
  /// failed connection or a timeout ejects at once: the next request would meet the same.
  std::array<std::uint32_t, 5> failures_in_a_row{0, 1, 1, 3, 5};
  /// An endpoint is also ejected if its share of failures passes this bound and is
  /// `outlier_factor` times the mean of its pool.
  double failure_share = 0.2;
  double outlier_factor = 3;
  /// Samples before the share of failures counts.
  std::uint32_t least_samples = 20;
  Duration first_ejection = std::chrono::seconds(1);
  Duration longest_ejection = std::chrono::seconds(30);
  /// Time after which a probe without a result is given up, so that another may follow.
  Duration probe_timeout = std::chrono::seconds(30);
  /// Part of a pool that stays in use whatever happens; never fewer than one endpoint.
  double floor = 0.5;
};

/// Health of one endpoint.
struct EndpointHealth {
  HealthState state = HealthState::kHealthy;
  std::string pool;
  std::uint32_t failures_in_a_row = 0;
  std::uint32_t samples = 0;
  /// Moving average; 1 means that all attempts fail.
  double failure_share = 0;
  /// End of the current ejection.
  TimePoint until{};
  /// Ejections since the last healthy period; doubles the next one.
  std::uint32_t ejections = 0;
  TimePoint probe_started{};
};

/// Takes endpoints that fail out of use for a while. A pool keeps a floor of its endpoints, and a
/// sole endpoint is never ejected. Used by one strand.
class Ejector {
 public:
  struct Counters {
    std::uint64_t ejections = 0;
    /// Ejections that the floor prevented.
    std::uint64_t prevented = 0;
    std::uint64_t probes = 0;
    std::uint64_t recoveries = 0;
  };

  explicit Ejector(EjectorConfig config = {}) : config_(config) {}

  /// Adds an endpoint, or forgets its past after a restart.
  void Add(const std::string& id, const std::string& pool);
  void Remove(const std::string& id);

  void OnResult(const std::string& id, AttemptResult result, TimePoint now);

  /// Whether an endpoint may take ordinary requests.
  bool Allows(const EndpointHealth& health) const { return health.state == HealthState::kHealthy; }
  /// Whether an endpoint may take one request as a probe.
  bool WantsProbe(const EndpointHealth& health, TimePoint now) const;
  /// Marks that a probe has been sent.
  void StartProbe(const std::string& id, TimePoint now);

  /// Health record; stays at its address until Remove. Null for an unknown endpoint.
  const EndpointHealth* Find(const std::string& id) const;
  /// Endpoints that take no ordinary requests at present.
  std::size_t out() const { return out_; }
  std::size_t size() const { return endpoints_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Pool {
    std::size_t endpoints = 0;
    std::size_t out = 0;
    /// Moving average of the failures of the whole pool.
    double failure_share = 0;
  };

  /// Endpoints of a pool that may not be ejected.
  std::size_t Keep(const Pool& pool) const;
  void Eject(EndpointHealth& health, TimePoint now);
  void Restore(EndpointHealth& health);
  bool IsOutlier(const EndpointHealth& health) const;

  EjectorConfig config_;
  std::unordered_map<std::string, EndpointHealth> endpoints_;
  std::unordered_map<std::string, Pool> pools_;
  std::size_t out_ = 0;
  Counters counters_;
};

}  // namespace wagtailslip::traffic
