#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::traffic {

/// What a limit applies to. "*" as the kind means all requests of the account together; "*" as the
/// account means each account for itself.
struct LimitKey {
  std::string account;
  std::string kind;
  bool operator<(const LimitKey& other) const {
    return std::tie(account, kind) < std::tie(other.account, other.kind);
  }
};

/// Reading of a process's monotonic clock. Only its owner compares it; peers send it back.
struct LocalStamp {
  /// Incarnation of the owner; 0 for no stamp.
  std::uint64_t incarnation = 0;
  std::int64_t nanoseconds = 0;
  bool operator<(const LocalStamp& other) const {
    return std::tie(incarnation, nanoseconds) < std::tie(other.incarnation, other.nanoseconds);
  }
};

/// Demand of a process and the part of its share that it lends, sent to the home of each key.
struct ShareReport {
  struct Row {
    LimitKey key;
    /// Requests per second that were offered, admitted or not.
    double demand = 0;
    /// Requests per second lent to the home for kLoan from `stamp` on.
    double lent = 0;
  };
  std::string from;
  std::string to;
  LocalStamp stamp;
  /// Last stamp received from the home. A loan without it is not used.
  LocalStamp echo;
  std::vector<Row> rows;
};

/// Extra shares that the home of the keys grants, as an answer to a report.
struct ShareGrant {
  struct Row {
    LimitKey key;
    /// Requests per second, valid for kGrant from `echo` on.
    double rate = 0;
    /// Whether another member needs more than its part; loans are of no use otherwise.
    bool wanted = false;
  };
  std::string from;
  std::string to;
  LocalStamp stamp;
  /// Stamp of the report that this answers.
  LocalStamp echo;
  std::vector<Row> rows;
};

using LimitMessage = std::variant<ShareReport, ShareGrant>;

/// Result of asking for one request.
struct LimitDecision {
  bool allowed = true;
  /// Time until a request is expected to pass.
  Duration retry_after{};
};

/// Enforces limits in requests per second over all entry processes together, without a message per
/// request. Each member owns an even part of each limit. It lends what it does not need to the
/// key's home, a member chosen by rendezvous hash, which grants the pooled rest by demand.
///
/// The shares never add up to more than the limit, whatever messages are lost or late:
/// - An increase of the own part takes effect only kSettle after the change of members or limit.
///   By then each process has applied the change or has no lease, and a process without a lease
///   has no share.
/// - A lender counts a loan from its sending, the home from its own stamp that the report echoes,
///   which is earlier. The same holds for grants, so the user's time always ends first.
/// - A grant is backed only by loans that outlast it.
/// After a limit was lowered, loans made before it may be in use for kLoan more.
class RateLimiter {
 public:
  /// Time between reports.
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);
  /// A loan outlasts a grant by two periods: one passes until the home's stamp comes back, another
  /// until the borrower's report is due.
  static constexpr Duration kGrant = std::chrono::milliseconds(850);
  static constexpr Duration kLoan = std::chrono::milliseconds(2000);
  /// Configuration lease of 2 s plus a margin for clocks that run at different rates. Not shorter
  /// than a loan, since a restarted process has forgotten what it lent.
  static constexpr Duration kSettle = std::chrono::milliseconds(2200);
  /// Periods between reports about a key without demand.
  static constexpr std::uint64_t kIdlePeriods = 4;
  /// Allowance of the lender for clocks that run at different rates.
  static constexpr Duration kClockMargin = std::chrono::milliseconds(100);
  /// Time over which unused share may be saved up.
  static constexpr Duration kBurst = std::chrono::seconds(1);

  struct Counters {
    std::uint64_t allowed = 0;
    std::uint64_t refused = 0;
    std::uint64_t reports = 0;
    std::uint64_t grants = 0;
  };

  /// State of one key for the state dump, in requests per second.
  struct KeyStatus {
    double limit = 0;
    double own = 0;
    double lent = 0;
    double granted = 0;
    double demand = 0;
    std::string home;
  };

  /// @param incarnation grows with each start of the process; not 0
  RateLimiter(std::string self, std::uint64_t incarnation)
      : self_(std::move(self)), incarnation_(incarnation) {}

  /// Sets the members among which limits are split, from the committed configuration. Each
  /// committed set is given in order.
  /// @param skipped whether sets in between were not given, for example after a snapshot; the
  ///   process then has no share for kSettle, since it cannot know what the others counted on
  void SetMembers(std::vector<std::string> members, TimePoint now, bool skipped = false);
  /// Sets or removes (rate 0) a limit in requests per second.
  void SetLimit(const LimitKey& key, double rate, TimePoint now);
  /// Extends the time for which this process knows that its configuration is in force. After it
  /// the process has no share.
  void SetLease(TimePoint until) { lease_until_ = until; }

  /// Asks for one request. It must pass the limit for its kind and that for the whole account.
  LimitDecision Take(const std::string& account, const std::string& kind, TimePoint now);

  /// Reports that are due. Messages to the process itself are delivered to it like any other.
  std::vector<LimitMessage> Tick(TimePoint now);
  std::vector<LimitMessage> OnMessage(const LimitMessage& message, TimePoint now);

  /// Requests per second that this process may pass at present.
  double Share(const LimitKey& key, TimePoint now);
  std::optional<KeyStatus> Status(const LimitKey& key, TimePoint now);
  const Counters& counters() const { return counters_; }
  std::size_t keys() const { return keys_.size(); }

 private:
  /// Amounts that stay in force for a while; the largest counts.
  struct Claims {
    std::deque<std::pair<TimePoint, double>> rows;
    void Add(TimePoint until, double rate, TimePoint now);
    double Largest(TimePoint now);
  };
  /// What the home knows about one member.
  struct Borrower {
    /// Stamp of its newest report.
    LocalStamp stamp;
    double demand = 0;
    TimePoint seen{};
    double lent = 0;
    TimePoint lent_until{};
    Claims granted;
  };
  struct Key {
    double limit = 0;
    /// Whether it was made from a limit for each account.
    bool of_template = false;
    /// Even parts that were in force during the last kSettle: the time each was replaced, and it.
    std::deque<std::pair<TimePoint, double>> earlier_parts;
    double part = 0;
    std::string home;
    /// Home that the loans in force were made to; another one gets none until they have ended.
    std::string lent_to;
    Claims lent;
    /// Whether the home has use for loans.
    bool wanted = true;
    double granted = 0;
    TimePoint granted_until{};
    double demand = 0;
    TimePoint demand_updated{};
    double tokens = 1;
    TimePoint filled{};
    std::map<std::string, Borrower> borrowers;
  };

  double EvenPart(double limit) const;
  void SetPart(Key& key, TimePoint now);
  double OwnPart(Key& key, TimePoint now);
  double ShareOf(Key& key, TimePoint now);
  void Observe(Key& key, double requests, TimePoint now);
  void Fill(Key& key, TimePoint now);
  /// The key itself, or one made from a limit for each account.
  Key* Find(const std::string& account, const std::string& kind, TimePoint now);
  Key& Create(const LimitKey& name, const Key& initial, TimePoint now);
  double Lend(Key& key, TimePoint now);
  std::string HomeOf(const LimitKey& key) const;
  std::vector<LimitMessage> OnReport(const ShareReport& report, TimePoint now);
  void OnGrant(const ShareGrant& grant, TimePoint now);
  ShareGrant::Row GrantFor(const LimitKey& name, Key& key, Borrower& borrower, TimePoint now);

  std::string self_;
  std::uint64_t incarnation_;
  std::vector<std::string> members_;
  TimePoint lease_until_{};
  std::map<LimitKey, Key> keys_;
  /// Limits with "*" as the account, by kind. A key for an account begins as a copy.
  std::map<std::string, Key> templates_;
  /// Last stamp received from each home.
  std::map<std::string, LocalStamp> home_stamps_;
  TimePoint next_report_{};
  std::uint64_t period_ = 0;
  Counters counters_;
};

}  // namespace wagtailslip::traffic
