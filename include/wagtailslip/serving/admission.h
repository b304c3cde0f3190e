#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/priority_limits.h"
#include "wagtailslip/serving/route_table.h"

namespace wagtailslip::serving {

/// Why a request was refused before it was sent to an endpoint.
enum class RefusalReason {
  kNoEndpoint,
  kQueueTooLong,
  kWaitedTooLong,
  kRequestLimit,
  kNoAllowedRegion,
  kAllDomainsDrained,
};
inline constexpr EnumTable<RefusalReason, 6> kRefusalReasons{
    {{{RefusalReason::kNoEndpoint, "no-endpoint"},
      {RefusalReason::kQueueTooLong, "queue-too-long"},
      {RefusalReason::kWaitedTooLong, "waited-too-long"},
      {RefusalReason::kRequestLimit, "request-limit"},
      {RefusalReason::kNoAllowedRegion, "no-allowed-region"},
      {RefusalReason::kAllDomainsDrained, "all-domains-drained"}}}};

/// The refusal of a request that is not worth queueing, or was queued for too long.
struct Refusal {
  RefusalReason reason = RefusalReason::kNoEndpoint;
  /// Time after which the caller should retry.
  Duration retry_after{};
};

/// A request to be placed at an endpoint.
struct AdmissionRequest {
  std::uint64_t id = 0;
  PlacementQuery query;
  /// Determines `query.allowed_regions`, which a new configuration may change while the request
  /// waits.
  RegionScope region_scope;
  std::string account;
  /// Rank of the request's priority at its service, see RouteTable::Rank; 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Set by Admission: the rank by which the request is queued, which the floor of its own rank may
  /// raise.
  std::uint32_t queue_rank = 0;
  /// Amount of work relative to a typical request of the service, which costs 1. Used for fair
  /// sharing between accounts.
  double cost = 1;
  TimePoint arrived{};
  /// The request is refused if it has not been placed by this time; see LatestStart.
  TimePoint latest_start{};
  /// Time until which the caller waits for a response.
  TimePoint deadline{};
};

/// Input of LatestStart.
struct LatestStartInput {
  TimePoint received{};
  /// Latency objective: target time from the arrival of the request to its response.
  Duration objective{};
  /// The objective has already been missed.
  bool late = false;
  /// The request was sent before: an endpoint refused it, or its stream was interrupted.
  bool is_retry = false;
  TimePoint deadline{};
  /// The service has limits by rank, see PriorityLimits.
  bool limited_by_rank = false;
};

/// Latest time at which placing the request still makes sense. A request that is still waiting then
/// is refused.
TimePoint LatestStart(const LatestStartInput& input, TimePoint now);

/// Decision on a request: an endpoint, a refusal, or std::monostate while the request waits.
using AdmissionDecision = std::variant<std::monostate, PlacementResult, Refusal>;

/// Admission control: decides which requests are placed, queued or refused. A request is queued
/// only for as long as it can still meet its latency objective; one whose expected wait is longer
/// is refused immediately, so that the caller can retry. Queued requests are served by priority,
/// then those that can still meet their objective before late ones, then with equal shares of the
/// work for all accounts.
class Admission {
 public:
  explicit Admission(Placement& placement, std::uint64_t seed)
      : placement_(placement), random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  /// Places, queues or refuses a request.
  AdmissionDecision Offer(const AdmissionRequest& request, TimePoint now);
  /// Places and refuses queued requests; called when capacity was freed or time has passed.
  /// @return the decisions by request id, without the requests that go on waiting
  std::vector<std::pair<std::uint64_t, AdmissionDecision>> ProcessWaiting(TimePoint now);
  /// Updates the allowed regions of queued requests to those of a new configuration.
  void UpdateAllowedRegions(const RouteTable& routes);
  /// Removes a request whose caller has disconnected from the queue.
  void Cancel(std::uint64_t id);
  /// Limits by rank of a service, created on first use.
  PriorityLimits& priority_limits(const std::string& service);
  /// Sets the number of ranks of a service with engines; with more than one, it has limits by rank.
  void SetRanks(const std::string& service, std::size_t count);
  /// Counters of the services with limits by rank.
  std::map<std::string, std::vector<PriorityLimits::RankCounters>> RankCounters() const;
  std::size_t waiting() const { return waiting_.size(); }
  /// Retry-After value for a refusal by this service, estimated from the length of its queue and
  /// its dispatch rate, with jitter.
  Duration RetryAfter(const std::string& service, TimePoint now);
  /// The same for a request of the rank; where the service has limits by rank, the most urgent
  /// callers come back first.
  Duration RetryAfter(const std::string& service, std::uint32_t rank, TimePoint deadline,
                      TimePoint now);
  /// Retry-After value while no configuration is known, with jitter.
  Duration RetryAfterWithoutConfig();

 private:
  /// Dispatch rate of a service.
  struct Rate {
    double per_second = 0;
    /// Dispatches since `since`, the start of the current measuring window.
    double count = 0;
    TimePoint since{};
  };

  /// The refusal of a request for which no endpoint is in an allowed region, or all of those are in
  /// drained failure domains; nothing if there are others.
  std::optional<Refusal> RefuseByDomain(const AdmissionRequest& request,
                                        const Placement::PoolStats& pool);
  /// The refusal of a request that the limits of all usable endpoints hold back for longer than it
  /// may wait; nothing if they do not.
  std::optional<Refusal> RefuseByLimit(const AdmissionRequest& request,
                                       const Placement::PoolStats& pool, TimePoint now);
  PriorityLimits* FindLimits(const std::string& service);
  /// Sets the limits of the request's rank in its query.
  void ApplyLimits(AdmissionRequest& request, const PriorityLimits* limits, TimePoint now) const;
  /// The refusal of a request that found no place, with the Retry-After of its rank.
  Refusal RefuseByRank(const AdmissionRequest& request, RefusalReason reason, TimePoint now);
  static void RecordPlaced(PriorityLimits& limits, const AdmissionRequest& request,
                           const PlacementResult& placed, TimePoint now);
  void RecordDispatch(const AdmissionRequest& request, TimePoint now);
  Duration ExpectedWait(const AdmissionRequest& request, TimePoint now) const;
  /// Multiplies the wait by a random factor.
  Duration AddJitter(Duration wait);
  /// Dispatched work of the request's account, raised to dispatched_work_floor_.
  double& DispatchedWork(const AdmissionRequest& request);

  Placement& placement_;
  std::list<AdmissionRequest> waiting_;
  /// Work dispatched so far by account, in the unit of AdmissionRequest::cost.
  std::map<std::string, double> dispatched_work_;
  /// Minimum that DispatchedWork returns for any account, in the same unit; rises as work is
  /// dispatched.
  double dispatched_work_floor_ = 0;
  std::map<std::string, Rate> rates_;
  /// Limits by rank of the services that have more than one.
  std::map<std::string, PriorityLimits> limits_;
  std::minstd_rand random_;
};

}  // namespace wagtailslip::serving
