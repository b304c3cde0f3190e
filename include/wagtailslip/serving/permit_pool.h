#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/endpoint_limits.h"
#include "wagtailslip/serving/permits.h"

namespace wagtailslip::serving {

/// The permits of one ingress process for endpoints that have named a limit on the requests of all
/// ingress processes together. Nothing is sent to such an endpoint without a permit. Permits are
/// asked of the allocator when requests need them, and ahead of time for steady demand. While no
/// allocator replies, the process uses a part of an equal share of each limit.
class PermitPool {
 public:
  struct Counters {
    std::uint64_t asked = 0;
    std::uint64_t granted = 0;
    /// Permits taken for requests, and those of them that were put back.
    std::uint64_t taken = 0;
    std::uint64_t returned = 0;
    /// Permits that expired before a request took them.
    std::uint64_t expired = 0;
    /// Permits of the process's own share, which are counted in `taken` as well.
    std::uint64_t own_share = 0;
  };

  /// @param rank position of this process among all ingress processes
  /// @param processes number of ingress processes
  void SetProcesses(std::size_t rank, std::size_t processes);

  /// Records what a response said of the limit, or what a control process relayed.
  /// @return whether the limit in force has changed
  bool Record(const LimitObservation& observation);
  /// Discards everything about an endpoint that is gone.
  void Remove(const std::string& endpoint);
  /// Discards everything about the incarnations of an endpoint before the given one.
  void RemoveBefore(const std::string& endpoint, std::int64_t started_ms);
  bool IsLimited(const std::string& endpoint) const { return limits_.Find(endpoint).has_value(); }
  /// Whether any endpoint has named a limit.
  bool any_limited() const { return !limits_.observations().empty(); }
  const EndpointLimits& limits() const { return limits_; }

  /// Whether a request may be sent to the endpoint now.
  bool Available(const std::string& endpoint, TimePoint now);
  /// Takes a permit; Available must hold.
  /// @return when the permit expires; nothing if the endpoint needs none
  std::optional<TimePoint> Take(const std::string& endpoint, TimePoint now);
  /// Puts back a permit that was not used.
  void GiveBack(const std::string& endpoint, TimePoint expires_at, TimePoint now);
  /// Records that a request was not sent to the endpoint only because no permit is there.
  /// @param again the same was recorded of this request before
  void OnMissed(const std::string& endpoint, bool again, TimePoint now);
  /// Whether the allocator has just said that it has no permits for the endpoint.
  bool IsDenied(const std::string& endpoint, TimePoint now) const;
  /// Earliest time at which a permit may be there; `now` if there may be one soon.
  TimePoint EarliestPermit(const std::string& endpoint, TimePoint now);
  /// When the requests that wait for permits of the endpoint in all processes may have been served.
  TimePoint QueueEnd(const std::string& endpoint, TimePoint now) const;

  /// The next request for permits.
  /// @return nothing if none is needed or it is too early for another one
  std::optional<PermitRequest> NextRequest(TimePoint now);
  /// Adds granted permits. Grants that answer no pending request of this process are ignored.
  void OnGrant(const PermitGrant& grant, TimePoint now);
  /// Whether the last requests were answered; otherwise they go to all control processes.
  bool allocator_known(TimePoint now) const;
  /// Whether no allocator has replied for so long that the process uses its own share.
  bool uses_own_share(TimePoint now) const;
  const Counters& counters() const { return counters_; }

 private:
  struct Endpoint {
    /// Expiry of each permit that is not used yet, earliest first.
    std::deque<TimePoint> held;
    /// Requests that needed a permit since the last request for permits.
    std::uint32_t missed = 0;
    /// Permits asked for and not answered yet.
    std::uint32_t asked = 0;
    /// Time until which the allocator has said that it has no permits.
    TimePoint denied_until{};
    TimePoint queue_ends_at{};
    /// Requests per second that use or need permits, as an exponential average.
    double demand = 0;
    TimePoint demand_at{};
    /// Next use of the own share.
    TimePoint next_own_slot{};
  };
  struct Pending {
    TimePoint sent_at{};
    std::vector<PermitRequest::Row> rows;
    /// Endpoints whose limit was reported.
    std::vector<std::string> reported;
    /// The reply is overdue, and the permits are asked for again.
    bool overdue = false;
  };

  void AddDemand(Endpoint& endpoint, double requests, TimePoint now);
  void DropExpired(Endpoint& endpoint, TimePoint now);
  /// Marks overdue requests and discards those whose permits would have expired.
  void CheckPending(TimePoint now);
  /// Ends the wait for the permits of a request.
  void EndWait(Pending& pending);
  std::uint32_t Wanted(const Endpoint& endpoint) const;
  Duration AskInterval() const;
  /// Time between two uses of the own share of an endpoint's limit.
  Duration OwnSlotInterval(double limit) const;
  /// Whether a slot of the own share is open.
  bool OwnSlotOpen(const std::string& id, Endpoint& endpoint, TimePoint now);

  std::size_t rank_ = 0;
  std::size_t processes_ = 0;
  EndpointLimits limits_;
  std::map<std::string, Endpoint> endpoints_;
  /// Endpoints whose limit has changed since the last request for permits.
  std::set<std::string> changed_;
  std::deque<Pending> pending_;
  TimePoint last_asked_at_{};
  /// When the first of the requests was sent that no allocator has answered; unset if all are.
  std::optional<TimePoint> unanswered_since_;
  Counters counters_;
};

}  // namespace wagtailslip::serving
