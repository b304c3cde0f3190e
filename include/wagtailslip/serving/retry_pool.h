#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/retry_permits.h"

namespace wagtailslip::serving {

/// The retry permits of one ingress process. It holds a few for each service in reserve and asks
/// the allocator for more while they are used. While no allocator replies it allows a small part of
/// its own requests to be sent again: such parts need no knowledge of other processes.
class RetryPool {
 public:
  struct Counters {
    std::uint64_t granted = 0;
    std::uint64_t used = 0;
    /// Retries without a permit, while no allocator replied.
    std::uint64_t own_share = 0;
    std::uint64_t denied = 0;
    std::uint64_t expired = 0;
  };

  explicit RetryPool(RetryLimits limits) : limits_(limits) {}

  /// Holds permits for a service from now on, before its first request.
  void AddService(const std::string& service) { services_.try_emplace(service); }
  /// Counts a caller's request to a service.
  void OnRequest(const std::string& service, TimePoint now);
  /// Takes one permit.
  /// @return false if there is none; the retry must not be sent then
  bool Take(const std::string& service, TimePoint now);
  /// Whether Take would succeed.
  bool CanTake(const std::string& service, TimePoint now) const;
  /// Records that a retry waits for a permit.
  void OnMissed(const std::string& service) { services_[service].missed = true; }
  /// Whether a permit that is missing now may come with the next reply of the allocator.
  bool MayComeSoon(const std::string& service, TimePoint now) const;
  /// Permits that the process holds for a service.
  std::uint32_t Held(const std::string& service, TimePoint now) const;

  /// The next report.
  /// @param processes ingress processes that report to the same allocator
  /// @return nothing if none is due
  std::optional<RetryReport> NextReport(std::size_t processes, TimePoint now);
  /// Adds granted permits. Only the reply to the latest report is accepted.
  /// @param allocator process that sent the grant
  void OnGrant(const RetryGrant& grant, const std::string& allocator, TimePoint now);
  /// Control process that granted permits last; empty if it does not reply any more.
  std::string allocator(TimePoint now) const;
  /// Whether no allocator has replied for so long that the process uses its own share.
  bool uses_own_share(TimePoint now) const;
  const Counters& counters() const { return counters_; }

 private:
  struct Service {
    std::uint32_t held = 0;
    TimePoint expires_at{};
    std::uint64_t used = 0;
    std::uint32_t reserve = 0;
    /// Retries sent and denied since the last report.
    std::uint32_t recent = 0;
    bool missed = false;
    /// Permits that the last report asked for.
    std::uint32_t asked = 0;
    /// Number of last replies that granted less than was asked for.
    std::uint32_t denials = 0;
    /// Requests by interval, most recent last, and the number of the last one.
    std::deque<std::uint32_t> requests;
    std::int64_t last_interval = 0;
    /// Intervals up to this one were counted by the allocator.
    std::int64_t counted_interval = 0;
    /// Times of retries without a permit.
    std::deque<TimePoint> own_share;
  };

  /// Adds the interval of `now`, and removes those that count no more.
  void Advance(Service& service, TimePoint now) const;
  bool OwnShareLeft(const Service& service, TimePoint now) const;
  void DropExpired(Service& service, TimePoint now);
  RetryReport::Row ReportRow(const std::string& name, Service& service);
  /// Whether permits are short.
  bool Short(const Service& service) const;

  RetryLimits limits_;
  std::map<std::string, Service> services_;
  TimePoint last_report_at_{};
  /// Newest interval in the latest report.
  std::int64_t reported_interval_ = 0;
  bool answered_ = true;
  /// When the first of the reports was sent that no allocator has answered; unset if all are.
  std::optional<TimePoint> unanswered_since_;
  std::string allocator_;
  /// RetryGrant::sent_at of the last grant, and when it arrived.
  TimePoint last_grant_at_{};
  TimePoint last_grant_arrived_at_{};
  TimePoint next_regular_report_{};
  Counters counters_;
};

}  // namespace wagtailslip::serving
