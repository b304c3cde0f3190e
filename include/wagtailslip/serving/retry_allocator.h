#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/retry_ledger.h"
#include "wagtailslip/serving/retry_permits.h"

namespace wagtailslip::serving {

/// The part of the limits that the allocator hands out consists of this many equal blocks. The
/// replicated log holds how many of them may be in use, so that the next leader knows.
inline constexpr int kRetryBlocks = 8;

/// Grants the permits for retries of all services; run by the control process that leads. In every
/// window, the permits that were used and those that still can be used stay below a fixed share of
/// the limits, whatever becomes of the processes that hold them: what a process holds counts until
/// it reports otherwise, and as used once its permits have expired.
///
/// A new leader does not know what its predecessors granted. It leaves the blocks that the log
/// holds to them until all of their permits have expired and left the window.
class RetryAllocator {
 public:
  struct Counters {
    std::uint64_t reports = 0;
    std::uint64_t granted = 0;
    /// Permits that were asked for and not granted.
    std::uint64_t denied = 0;
    /// Permits that expired at a process that reported nothing more.
    std::uint64_t lost = 0;
  };
  /// State of one service, for dumps.
  struct ServiceState {
    double allowed = 0;
    double available = 0;
    std::uint64_t outstanding = 0;
  };

  explicit RetryAllocator(RetryLimits limits) : limits_(limits) {}

  /// Must be called when this process begins to lead.
  /// @param blocks blocks that the log holds
  void TakeOver(int blocks, TimePoint now);
  RetryGrant Grant(const RetryReport& report, TimePoint now);
  /// Number of blocks that the log should hold from now on; nothing if it holds them already or a
  /// change is under way.
  std::optional<int> BlocksToCommit(TimePoint now);
  /// The log holds the blocks of the last BlocksToCommit, or whether it does is not known.
  void OnBlocksCommitted(bool committed);

  const Counters& counters() const { return counters_; }
  int inherited_blocks() const { return inherited_; }
  int open_blocks() const { return open_; }
  std::map<std::string, ServiceState> Services(TimePoint now);

 private:
  /// Permits of a process for one service.
  struct Holding {
    std::uint64_t used = 0;
    std::uint32_t outstanding = 0;
    TimePoint expires_at{};
    /// Last interval of the sender whose requests were counted, and how many of them.
    std::int64_t counted_interval = 0;
    std::uint32_t counted_requests = 0;
    bool reported = false;
  };
  struct Service {
    explicit Service(RetryLimits limits) : ledger(limits) {}
    RetryLedger ledger;
    std::map<std::pair<std::string, std::int64_t>, Holding> holdings;
    std::uint64_t outstanding = 0;
  };
  struct Sender {
    /// By its own clock.
    TimePoint last_report_at{};
    TimePoint seen_at{};
    TimePoint last_grant_at{};
  };

  Service& ServiceOf(const std::string& name);
  /// Counts expired permits as used, and discards processes that have reported nothing for long.
  void Expire(TimePoint now);
  /// @param sent_at earliest time at which the report may have been sent, by the clock of this
  /// process
  void CountRequests(Service& service, Holding& holding, const RetryReport& report,
                     const RetryReport::Row& row, TimePoint sent_at, TimePoint now);
  RetryGrant::Row GrantRow(Service& service, Holding& holding, const RetryReport::Row& row,
                           TimePoint now);
  /// Share of the limits that this leader may use of `blocks` blocks.
  static double ShareOf(int blocks);
  Duration Lifetime() const;
  /// Smallest number of blocks that covers what is used and outstanding, and `wanted` more.
  int BlocksNeeded(Service& service, double wanted, TimePoint now) const;

  RetryLimits limits_;
  std::map<std::string, Service> services_;
  /// By process and incarnation.
  std::map<std::pair<std::string, std::int64_t>, Sender> senders_;
  TimePoint next_expiry_{};
  /// Blocks of former leaders, and until when they count.
  int inherited_ = 0;
  TimePoint inherited_until_{};
  /// Blocks that this leader may use, and that the log holds for it.
  int open_ = 0;
  /// All blocks in the command that is being committed, and those of this leader among them.
  std::optional<int> committing_;
  int committing_open_ = 0;
  /// Total that the log holds as far as is known.
  int logged_ = 0;
  /// Blocks that were needed recently, and when that was.
  int needed_ = 0;
  TimePoint needed_at_{};
  Counters counters_;
};

}  // namespace wagtailslip::serving
