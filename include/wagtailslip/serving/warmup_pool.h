#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/warmup_leases.h"

namespace wagtailslip::serving {

/// The leases of one ingress process on cold endpoints, and a token bucket for each. A request is
/// sent to a cold endpoint only with its lease and a token. Sends to an endpoint within a second
/// are at most its rate and the burst, over all processes: only one has the lease at a time, and
/// the next one begins with an empty bucket.
class WarmupPool {
 public:
  struct Counters {
    std::uint64_t acquired = 0;
    std::uint64_t renewed = 0;
    std::uint64_t denied = 0;
    /// Requests sent to cold endpoints.
    std::uint64_t sent = 0;
    /// Requests that were not placed at a cold endpoint for want of a token.
    std::uint64_t missed = 0;
    /// Requests that were placed, and not sent because the lease or the token was gone.
    std::uint64_t withheld = 0;
  };
  /// A cold endpoint that this process knows.
  struct Candidate {
    WarmupLeaseKey key;
    /// Requests per second from all processes.
    double rate = 0;
    bool in_subset = false;
  };

  /// @param tolerance requests that an endpoint may get beyond its rate in any second
  explicit WarmupPool(double tolerance);

  /// Sets the cold endpoints, and forgets all others. Each must be known before it is used.
  void SetCandidates(const std::vector<Candidate>& candidates);
  void Remove(const std::string& endpoint) { endpoints_.erase(endpoint); }

  /// Whether a request may be placed at the endpoint: the lease is held, and a token is there for
  /// which no other request has been placed.
  bool Available(const std::string& endpoint, TimePoint now);
  /// Counts a token as expected to be used; Available must hold.
  void Reserve(const std::string& endpoint, TimePoint now);
  /// Ends a reservation.
  /// @param reserved_at time of the reservation
  void Release(const std::string& endpoint, TimePoint reserved_at);
  /// Takes a token for a request that is sent now.
  /// @param reserved_at time of the request's reservation, which ends
  /// @return false if the request must not be sent
  bool Use(const std::string& endpoint, std::optional<TimePoint> reserved_at, TimePoint now);
  /// Records that a request was not placed at the endpoint only because of the lease or a token.
  /// @param again the same was recorded of this request before
  void OnMissed(const std::string& endpoint, bool again, TimePoint now);
  /// Earliest time at which a request may be placed; `now` if that may be soon.
  TimePoint EarliestToken(const std::string& endpoint, TimePoint now);

  /// Whether NextRequest would be too early.
  bool asked_recently(TimePoint now) const;
  /// The next request for leases and renewals.
  /// @return nothing if none is needed
  std::optional<WarmupLeaseRequest> NextRequest(TimePoint now);
  /// Applies a reply. Those to no pending request of this process are ignored.
  /// @return endpoints whose lease is new
  std::vector<std::string> OnGrant(const WarmupLeaseGrant& grant, TimePoint now);
  /// Whether the last requests were answered; otherwise they go to all control processes.
  bool allocator_known(TimePoint now) const;

  /// Remaining time of a lease; nothing if it is not held.
  std::optional<Duration> LeaseLeft(const std::string& endpoint, TimePoint now) const;
  const Counters& counters() const { return counters_; }

 private:
  struct Endpoint {
    std::int64_t started_ms = 0;
    double rate = 0;
    bool in_subset = false;
    TimePoint lease_until{};
    double tokens = 0;
    TimePoint filled_at{};
    /// When requests were placed that have not been sent, oldest first.
    std::deque<TimePoint> reserved;
    /// Last request that was placed, or was not only because of the lease or a token.
    TimePoint used_at{};
    TimePoint missed_at{};
    TimePoint asked_at{};
    TimePoint denied_until{};
  };

  /// Fills the bucket, and discards reservations whose request can no longer be sent.
  void Update(Endpoint& endpoint, TimePoint now) const;
  bool WantsRenewal(const Endpoint& endpoint, TimePoint now) const;
  bool WantsLease(const Endpoint& endpoint, TimePoint now) const;

  double burst_;
  std::map<std::string, Endpoint> endpoints_;
  /// When the requests were sent that may still be answered, oldest first.
  std::deque<TimePoint> pending_;
  TimePoint last_asked_at_{};
  /// When the first of the requests was sent that were not answered; unset if all were.
  std::optional<TimePoint> unanswered_since_;
  Counters counters_;
};

}  // namespace wagtailslip::serving
