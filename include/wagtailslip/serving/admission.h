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

namespace wagtailslip::serving {

/// Why a request was refused before it was sent.
enum class RefusalReason { kNoEndpoint, kQueueTooLong, kWaitedTooLong };
inline constexpr EnumTable<RefusalReason, 3> kRefusalReasons{
    {{{RefusalReason::kNoEndpoint, "no-endpoint"},
      {RefusalReason::kQueueTooLong, "queue-too-long"},
      {RefusalReason::kWaitedTooLong, "waited-too-long"}}}};

struct Refusal {
  RefusalReason reason = RefusalReason::kNoEndpoint;
  /// Time after which the request may be served.
  Duration retry_after{};
};

/// A request that wants an endpoint.
struct AdmissionRequest {
  std::uint64_t id = 0;
  PlacementQuery query;
  std::string account;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Relative work, for the shares of the accounts.
  double cost = 1;
  TimePoint arrived{};
  /// Time until which it is worth waiting.
  TimePoint latest_start{};
};

/// What decides how long a request may wait for an endpoint.
struct LatestStartInput {
  TimePoint received{};
  /// Time from the arrival to the answer that the request is meant to have.
  Duration objective{};
  /// The objective is missed already.
  bool late = false;
  /// An endpoint refused the request, or its stream broke off.
  bool is_retry = false;
  TimePoint deadline{};
};

/// Time until which a request is worth waiting for an endpoint.
TimePoint LatestStart(const LatestStartInput& query, TimePoint now);

/// Answer to an applicant: an endpoint, a refusal, or nothing yet.
using AdmissionDecision = std::variant<std::monostate, PlacementResult, Refusal>;

/// Decides who is sent on, who waits and who is refused. A request waits only as long as it can
/// still meet its objective; one that would wait longer is refused at once, so that the caller can
/// come back. Among waiting requests the more urgent go first, then those that can still meet their
/// objective, and among these the accounts get equal shares of the work.
class Admission {
 public:
  explicit Admission(Placement& placement, std::uint64_t seed)
      : placement_(placement), random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  AdmissionDecision Offer(const AdmissionRequest& applicant, TimePoint now);
  /// Verdicts on waiting requests, after capacity was freed or time has passed.
  std::vector<std::pair<std::uint64_t, AdmissionDecision>> ProcessWaiting(TimePoint now);
  /// The applicant has gone.
  void Cancel(std::uint64_t id);
  std::size_t waiting() const { return waiting_.size(); }
  /// Time to name in a refusal of this service, from its queue and the rate at which it is served.
  Duration RetryAfter(const std::string& service, TimePoint now);
  /// Time to name in a refusal while no configuration is known.
  Duration RetryAfterWithoutConfig();

 private:
  struct Rate {
    double per_second = 0;
    double count = 0;
    TimePoint since{};
  };

  void NoteDispatch(const AdmissionRequest& applicant, TimePoint now);
  Duration ExpectedWait(const AdmissionRequest& applicant, TimePoint now) const;
  Duration Spread(Duration wait);
  double& ShareOf(const AdmissionRequest& applicant);

  Placement& placement_;
  std::list<AdmissionRequest> waiting_;
  /// Work dispatched by account, relative to the others that wait.
  std::map<std::string, double> shares_;
  double share_floor_ = 0;
  std::map<std::string, Rate> rates_;
  std::minstd_rand random_;
};

}  // namespace wagtailslip::serving
