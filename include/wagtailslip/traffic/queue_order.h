#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "wagtailslip/base/time.h"

namespace wagtailslip::traffic {

/// A request waiting for a slot.
struct QueueItem {
  /// Unique within the process.
  std::uint64_t id = 0;
  std::string account;
  /// Model or service.
  std::string pool;
  /// Class of the request kind; 0 is served first.
  std::uint32_t priority = 5;
  /// Share of the account.
  double weight = 1.0;
  /// Estimated cost: prompt plus expected output tokens; 1 for a plain call.
  double tokens = 1.0;
  /// Time after which an answer is of no use.
  TimePoint deadline{};
};

/// Order in which the waiting requests of one pool are served. Items are owned by the queue and
/// stay at their address until Remove or PopFront.
class QueueOrder {
 public:
  virtual ~QueueOrder() = default;

  virtual void Push(const QueueItem& item) = 0;
  /// Takes out the next request; null if none waits.
  virtual const QueueItem* PopFront() = 0;
  virtual void Remove(const QueueItem& item) = 0;
  /// Corrects the account's share after a dispatched request has ended.
  virtual void Settle(const QueueItem& item, double actual_tokens) = 0;
  /// Estimated tokens that are served before an item that is offered now.
  virtual double TokensAhead(const QueueItem& item) const = 0;
  /// Item to refuse in favour of an arriving one when the pool is full; null to refuse the
  /// arriving one.
  virtual const QueueItem* Victim(const QueueItem& arriving) const = 0;
  virtual double tokens() const = 0;
};

/// First in, first out over all accounts. The baseline of the benchmarks.
class FifoOrder final : public QueueOrder {
 public:
  void Push(const QueueItem& item) override;
  const QueueItem* PopFront() override;
  void Remove(const QueueItem& item) override;
  void Settle(const QueueItem& item, double actual_tokens) override;
  double TokensAhead(const QueueItem& item) const override;
  const QueueItem* Victim(const QueueItem& arriving) const override;
  double tokens() const override { return tokens_; }

 private:
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, const QueueItem*> items_;
  std::unordered_map<std::uint64_t, std::uint64_t> position_;
  double tokens_ = 0;
};

/// Start-time fair queueing by account within priority classes. A lower class keeps a minimum
/// share while it waits; within an account the earliest deadline is served first.
class FairOrder final : public QueueOrder {
 public:
  /// Share of the dispatched tokens that each waiting class gets however many requests of higher
  /// priority wait. All lower classes together get at most kFloorTotal.
  static constexpr double kClassFloor = 0.05;
  static constexpr double kFloorTotal = 0.2;
  /// Tokens by which an account that has used less than its share may go ahead of the others.
  static constexpr double kDefaultBurstTokens = 0;

  explicit FairOrder(double burst_tokens = kDefaultBurstTokens) : burst_tokens_(burst_tokens) {}

  void Push(const QueueItem& item) override;
  const QueueItem* PopFront() override;
  void Remove(const QueueItem& item) override;
  void Settle(const QueueItem& item, double actual_tokens) override;
  double TokensAhead(const QueueItem& item) const override;
  const QueueItem* Victim(const QueueItem& arriving) const override;
  double tokens() const override { return tokens_; }

 private:
  struct ByDeadline {
    bool operator()(const QueueItem* a, const QueueItem* b) const {
      return a->deadline != b->deadline ? a->deadline < b->deadline : a->id < b->id;
    }
  };
  struct Account {
    /// Order of appearance; breaks ties.
    std::uint64_t number = 0;
    /// Virtual time at which the work dispatched so far ends.
    double finish = 0;
    /// Virtual start of the next request; the key in the backlog while requests wait.
    double start = 0;
    double weight = 1;
    double tokens = 0;
    std::set<const QueueItem*, ByDeadline> items;
  };
  struct ByStart {
    bool operator()(const Account* a, const Account* b) const {
      return a->start != b->start ? a->start < b->start : a->number < b->number;
    }
  };
  struct Class {
    double virtual_time = 0;
    /// Tokens owed to the class by its minimum share.
    double owed = 0;
    double tokens = 0;
    std::unordered_map<std::string, Account> accounts;
    /// Accounts with waiting requests.
    std::set<Account*, ByStart> backlog;
  };

  double StartOf(const Class& entry, const Account& account) const;
  Class* NextClass();
  void Unlink(Class& entry, Account& account, const QueueItem& item);
  static void ForgetIdle(Class& entry, double burst_tokens);

  double burst_tokens_;
  std::map<std::uint32_t, Class> classes_;
  std::uint64_t next_number_ = 0;
  double tokens_ = 0;
};

std::unique_ptr<QueueOrder> MakeFairOrder();
std::unique_ptr<QueueOrder> MakeFifoOrder();

}  // namespace wagtailslip::traffic
