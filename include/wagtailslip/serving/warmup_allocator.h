#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/warmup_leases.h"

namespace wagtailslip::serving {

/// Grants the leases on cold endpoints; run by the control process that leads the log. At most one
/// process holds the lease of an endpoint at a time. Where several processes ask for the same
/// endpoints, a process with more leases than another one passes one on at its next renewal.
class WarmupAllocator {
 public:
  struct Counters {
    std::uint64_t requests = 0;
    /// Rows: leases granted to another process than before, renewed, and denied.
    std::uint64_t granted = 0;
    std::uint64_t renewed = 0;
    std::uint64_t denied = 0;
  };

  /// Forgets all leases, and grants none until those of another allocator have ended. Must be
  /// called when this process begins to lead, and before the first Grant.
  void TakeOver(TimePoint now);
  WarmupLeaseGrant Grant(const WarmupLeaseRequest& request, TimePoint now);

  /// Earliest time of a grant.
  TimePoint grants_from() const { return grants_from_; }
  /// Process that holds the lease of an endpoint; empty if none does.
  std::string Holder(const std::string& endpoint, TimePoint now) const;
  /// Holders by endpoint.
  std::map<std::string, std::string> Holders(TimePoint now) const;
  const Counters& counters() const { return counters_; }

 private:
  struct Requester {
    TimePoint asked_at{};
    /// First request, or last grant.
    TimePoint waiting_since{};
  };
  struct Lease {
    std::string holder;
    TimePoint expires_at{};
    /// When the holder got it first.
    TimePoint held_since{};
    /// Newest incarnation of the endpoint that a process has asked for.
    std::int64_t started_ms = 0;
    /// Process that gets the lease after the holder, while it goes on asking.
    std::string successor;
    /// Processes that ask for the lease.
    std::map<std::string, Requester> requesters;
  };

  bool GrantRow(const WarmupLeaseKey& key, const std::string& process, TimePoint now);
  /// Discards what has expired.
  void Prune(TimePoint now);
  /// Leases that a process holds and keeps, and those that it gets next.
  std::size_t Count(const std::string& process, TimePoint now) const;
  /// The other process that asks for the lease, has the fewest leases and has waited longest; empty
  /// if there is none.
  std::string NextRequester(const Lease& lease, const std::string& process, TimePoint now) const;

  std::map<std::string, Lease> leases_;
  TimePoint grants_from_ = TimePoint::max();
  Counters counters_;
};

}  // namespace wagtailslip::serving
