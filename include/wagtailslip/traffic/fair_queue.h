#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/traffic/queue_order.h"

namespace wagtailslip::traffic {

/// Why a request was refused without being run.
enum class RefusalReason { kDeadline, kAccountFull, kPoolFull, kDisplaced, kExpired };
inline constexpr EnumTable<RefusalReason, 5> kRefusalReasons{
    {{{RefusalReason::kDeadline, "wait-exceeds-deadline"},
      {RefusalReason::kAccountFull, "account-queue-full"},
      {RefusalReason::kPoolFull, "queue-full"},
      {RefusalReason::kDisplaced, "displaced"},
      {RefusalReason::kExpired, "deadline-passed"}}}};

/// A request that never reached an endpoint. Its caller is answered `not-run` at once.
struct Refusal {
  std::uint64_t id = 0;
  RefusalReason reason = RefusalReason::kDeadline;
  /// Time after which the same request is expected to be accepted.
  Duration retry_after{};
};

/// Result of offering a request to the queue.
struct Admission {
  bool admitted = false;
  Duration estimated_wait{};
  /// The offered request where it was not admitted, and a request that it displaced.
  std::vector<Refusal> refused;
};

/// Requests that leave the queue.
struct QueueStep {
  /// Requests to send now, in order. Each holds a slot until Finish.
  std::vector<std::uint64_t> dispatched;
  std::vector<Refusal> refused;
};

/// Bounds of a queue.
struct QueueLimits {
  std::size_t items_per_account = 1024;
  std::size_t items_per_pool = 4096;
  /// Longest estimated wait that is accepted even where the deadline is later.
  Duration longest_wait = std::chrono::seconds(30);
};

/// Holds requests until their pool (a model or a service) has a free slot. The order within a pool
/// comes from a QueueOrder. Used by one strand.
class FairQueue {
 public:
  using OrderFactory = std::function<std::unique_ptr<QueueOrder>()>;

  struct Counters {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    /// Indexed by RefusalReason.
    std::array<std::uint64_t, 5> refused{};
  };

  /// State of one pool for the state dump.
  struct PoolStatus {
    std::size_t queued = 0;
    double queued_tokens = 0;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    double seconds_per_token = 0;
  };

  /// @param factory makes the order of each pool; weighted fair queueing by default
  explicit FairQueue(QueueLimits limits = {}, OrderFactory factory = MakeFairOrder);

  /// Sets how many requests of a pool may run at once.
  void SetSlots(const std::string& pool, std::uint32_t slots);

  /// Offers a request. The id must not be in use.
  Admission Offer(QueueItem item, TimePoint now);

  /// Removes expired requests and dispatches as many as there are free slots.
  QueueStep Advance(TimePoint now);

  /// Removes a queued request whose caller has gone.
  /// @return false if the request is not queued, for example because it already runs
  bool Cancel(std::uint64_t id);

  /// Frees the slot of a dispatched request.
  /// @param actual_tokens tokens that the request really took; corrects the account's share
  void Finish(std::uint64_t id, TimePoint now, std::optional<double> actual_tokens = std::nullopt);

  /// Frees the slot of a dispatched request that did no work, for example after a failed
  /// connection. It does not count as a sample of the service time.
  void Abandon(std::uint64_t id);

  /// Earliest deadline of a queued request, for the timer that calls Advance.
  std::optional<TimePoint> NextExpiry() const;

  std::size_t queued() const { return items_.size(); }
  std::size_t running() const { return running_.size(); }
  const Counters& counters() const { return counters_; }
  std::map<std::string, PoolStatus> Status() const;

 private:
  struct Pool {
    std::unique_ptr<QueueOrder> order;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::size_t queued = 0;
    /// Moving average over finished requests; 0 until the first has finished.
    double seconds_per_token = 0;
    /// Moving average of a request's time in its slot.
    double seconds_per_request = 0;
  };
  struct Running {
    QueueItem item;
    Pool* pool = nullptr;
    TimePoint started{};
  };
  struct Queued {
    QueueItem item;
    Pool* pool = nullptr;
    TimePoint offered{};
  };

  Pool& PoolOf(const std::string& name);
  /// Seconds until the pool has served the given amount of work.
  static double WaitSeconds(const Pool& pool, double tokens_ahead);
  Refusal Refuse(std::uint64_t id, RefusalReason reason, double retry_seconds);
  void Remove(std::uint64_t id);
  Running Release(std::uint64_t id);

  QueueLimits limits_;
  OrderFactory factory_;
  std::map<std::string, Pool> pools_;
  std::unordered_map<std::uint64_t, Queued> items_;
  std::unordered_map<std::uint64_t, Running> running_;
  std::map<std::pair<std::string, std::string>, std::size_t> account_items_;
  std::set<std::pair<TimePoint, std::uint64_t>> expiry_;
  Counters counters_;
};

}  // namespace wagtailslip::traffic
