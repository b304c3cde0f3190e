#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/instance_table.h"

namespace wagtailslip::serving {

/// Why an endpoint counts as cold.
enum class ColdReason {
  kAnnounced,       ///< The time that it announced has not elapsed.
  kDomainReturned,  ///< Its failure domain returned after its last announcement.
  kSilent,          ///< It was not announced for long, while others of its service were.
  kUnknown,  ///< This process has not heard of it since it first did, or since it stood still.
};
inline constexpr EnumTable<ColdReason, 4> kColdReasons{
    {{{ColdReason::kAnnounced, "announced"},
      {ColdReason::kDomainReturned, "domain-returned"},
      {ColdReason::kSilent, "silent"},
      {ColdReason::kUnknown, "unknown"}}}};

/// Time without announcements after which an endpoint counts as cold.
inline constexpr Duration kSilentTime = std::chrono::seconds(3);

/// Decides which endpoints are cold, from their announcements and from what may have happened
/// between them. Only announcements end the cold time of an endpoint. After its failure domain
/// returned, or after it was silent, that is one that says how long it stays cold, or two that say
/// that it is warm: the first may have been held up since before.
class ColdEndpoints {
 public:
  /// Records the last announcement of an endpoint. Repeated and outdated ones change nothing.
  void Record(const EndpointRecord& record, TimePoint now);
  void Remove(const std::string& endpoint) { endpoints_.erase(endpoint); }
  /// Endpoints of a failure domain are cold until they are announced after `since`.
  void SetColdUntilAnnounced(const std::string& domain, TimePoint since);
  /// Takes note of the time. A long pause between two calls means that the process stood still and
  /// has missed what was announced meanwhile.
  void Observe(TimePoint now);
  /// Why an endpoint is cold; nothing if it is warm.
  std::optional<ColdReason> Find(const std::string& endpoint, TimePoint now);

 private:
  struct Endpoint {
    std::int64_t started_ms = 0;
    std::int64_t sequence = 0;
    std::string service;
    std::string domain;
    /// Times of the last two announcements, and of the last one that said that the endpoint is
    /// cold.
    TimePoint announced_at{};
    TimePoint announced_before_at{};
    TimePoint announced_cold_at{};
    TimePoint cold_until{};
    /// When the endpoint was last found to be silent while others were not.
    TimePoint silent_at{};
    /// Announcements before this time do not count.
    TimePoint unknown_before{};
  };

  /// Whether announcements have confirmed the state of an endpoint after a time.
  static bool Confirmed(const Endpoint& endpoint, TimePoint time);

  std::map<std::string, Endpoint> endpoints_;
  /// Time of the last announcement of any endpoint, by service.
  std::map<std::string, TimePoint> announced_at_;
  /// Time of the last return, by failure domain.
  std::map<std::string, TimePoint> returned_at_;
  TimePoint observed_at_{};
  /// End of the last pause of this process.
  TimePoint resumed_at_{};
};

}  // namespace wagtailslip::serving
