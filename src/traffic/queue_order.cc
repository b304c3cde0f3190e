#include "wagtailslip/traffic/queue_order.h"

#include <algorithm>

#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

/// Requests of an account, and accounts, that are walked for an estimate; a longer queue is
/// extrapolated.
constexpr std::size_t kWalkLimit = 64;
/// Idle accounts kept before the list is swept.
constexpr std::size_t kIdleAccounts = 64;

}  // namespace

void FifoOrder::Push(const QueueItem& item) {
  position_.emplace(item.id, next_);
  items_.emplace(next_++, &item);
  tokens_ += item.tokens;
}

const QueueItem* FifoOrder::PopFront() {
  if (items_.empty()) return nullptr;
  const QueueItem* item = items_.begin()->second;
  Remove(*item);
  return item;
}

void FifoOrder::Remove(const QueueItem& item) {
  const auto it = position_.find(item.id);
  WTS_INVARIANT(it != position_.end());
  items_.erase(it->second);
  position_.erase(it);
  tokens_ = items_.empty() ? 0 : tokens_ - item.tokens;
}

void FifoOrder::Settle(const QueueItem&, double) {}

double FifoOrder::TokensAhead(const QueueItem&) const { return tokens_; }

const QueueItem* FifoOrder::Victim(const QueueItem&) const { return nullptr; }

double FairOrder::StartOf(const Class& entry, const Account& account) const {
  return std::max(account.finish, entry.virtual_time - burst_tokens_ / account.weight);
}

void FairOrder::Push(const QueueItem& item) {
  Class& entry = classes_[item.priority];
  auto [it, added] = entry.accounts.try_emplace(item.account);
  Account& account = it->second;
  if (added) account.number = next_number_++;
  if (added) account.finish = entry.virtual_time - burst_tokens_ / std::max(item.weight, 1e-6);
  account.weight = std::max(item.weight, 1e-6);
  if (account.items.empty()) {
    account.start = StartOf(entry, account);
    entry.backlog.insert(&account);
  }
  account.items.insert(&item);
  account.tokens += item.tokens;
  entry.tokens += item.tokens;
  tokens_ += item.tokens;
}

FairOrder::Class* FairOrder::NextClass() {
  Class* first = nullptr;
  Class* owed = nullptr;
  for (auto& [priority, entry] : classes_) {
    if (entry.backlog.empty()) continue;
    if (first == nullptr) {
      first = &entry;
      continue;
    }
    const Account& account = **entry.backlog.begin();
    const bool covered = entry.owed >= (*account.items.begin())->tokens;
    if (covered && (owed == nullptr || entry.owed > owed->owed)) owed = &entry;
  }
  return owed != nullptr ? owed : first;
}

const QueueItem* FairOrder::PopFront() {
  Class* next = NextClass();
  if (next == nullptr) return nullptr;
  Account& account = **next->backlog.begin();
  const QueueItem* item = *account.items.begin();

  std::size_t waiting = 0;
  for (const auto& [priority, entry] : classes_) waiting += entry.backlog.empty() ? 0 : 1;
  const double floor =
      waiting > 1 ? std::min(kClassFloor, kFloorTotal / static_cast<double>(waiting - 1)) : 0;
  for (auto& [priority, entry] : classes_) {
    if (&entry != next && !entry.backlog.empty()) entry.owed += floor * item->tokens;
  }
  next->owed = std::max(0.0, next->owed - item->tokens);

  next->virtual_time = std::max(next->virtual_time, account.start);
  account.finish = account.start + item->tokens / account.weight;
  Unlink(*next, account, *item);
  return item;
}

void FairOrder::Unlink(Class& entry, Account& account, const QueueItem& item) {
  account.items.erase(&item);
  account.tokens = account.items.empty() ? 0 : account.tokens - item.tokens;
  entry.backlog.erase(&account);
  if (!account.items.empty()) {
    account.start = StartOf(entry, account);
    entry.backlog.insert(&account);
  }
  entry.tokens = entry.backlog.empty() ? 0 : entry.tokens - item.tokens;
  if (entry.backlog.empty()) entry.owed = 0;
  tokens_ -= item.tokens;
  if (entry.accounts.size() > 2 * entry.backlog.size() + kIdleAccounts) {
    ForgetIdle(entry, burst_tokens_);
  }
}

void FairOrder::ForgetIdle(Class& entry, double burst_tokens) {
  // An idle account whose work lies in the virtual past is in the same state as a new one.
  std::erase_if(entry.accounts, [&](const auto& row) {
    const Account& account = row.second;
    return account.items.empty() &&
           account.finish <= entry.virtual_time - burst_tokens / account.weight;
  });
}

void FairOrder::Remove(const QueueItem& item) {
  Class& entry = classes_.at(item.priority);
  const auto it = entry.accounts.find(item.account);
  WTS_INVARIANT(it != entry.accounts.end() && it->second.items.contains(&item));
  Unlink(entry, it->second, item);
}

void FairOrder::Settle(const QueueItem& item, double actual_tokens) {
  const auto found = classes_.find(item.priority);
  if (found == classes_.end()) return;
  Class& entry = found->second;
  const auto it = entry.accounts.find(item.account);
  if (it == entry.accounts.end()) return;
  Account& account = it->second;
  account.finish += (actual_tokens - item.tokens) / account.weight;
  if (account.items.empty()) return;
  entry.backlog.erase(&account);
  account.start = StartOf(entry, account);
  entry.backlog.insert(&account);
}

double FairOrder::TokensAhead(const QueueItem& item) const {
  double ahead = 0;
  for (const auto& [priority, entry] : classes_) {
    if (priority < item.priority) ahead += entry.tokens;
  }
  const auto found = classes_.find(item.priority);
  if (found == classes_.end()) return ahead;
  const Class& entry = found->second;
  const double weight = std::max(item.weight, 1e-6);
  double own = 0;
  double start = entry.virtual_time - burst_tokens_ / weight;
  const auto self = entry.accounts.find(item.account);
  if (self != entry.accounts.end()) {
    const Account& account = self->second;
    start = account.items.empty() ? StartOf(entry, account) : account.start;
    std::size_t walked = 0;
    for (const QueueItem* other : account.items) {
      if (other->deadline > item.deadline) break;
      if (++walked > kWalkLimit) {
        own = account.tokens;
        break;
      }
      own += other->tokens;
    }
  }
  start += own / weight;
  // Each other account is served as long as its virtual start is before this request's.
  const Account* const me = self == entry.accounts.end() ? nullptr : &self->second;
  double others = 0;
  std::size_t walked = 0;
  for (const Account* other : entry.backlog) {
    if (other->start >= start) break;
    if (other == me) continue;
    others += std::min(other->tokens, (start - other->start) * other->weight);
    if (++walked == kWalkLimit) {
      // The further accounts are taken to be like these, as far as their tokens go.
      const double all = static_cast<double>(entry.backlog.size());
      others = std::min(others * all / static_cast<double>(walked), entry.tokens);
      break;
    }
  }
  ahead += others;
  return ahead + own;
}

const QueueItem* FairOrder::Victim(const QueueItem& arriving) const {
  // The lowest class that waits gives way first; in it, the account with the longest backlog.
  for (auto it = classes_.rbegin(); it != classes_.rend(); ++it) {
    const Class& entry = it->second;
    if (entry.backlog.empty()) continue;
    if (it->first < arriving.priority) return nullptr;
    const Account* longest = nullptr;
    for (const Account* account : entry.backlog) {
      if (longest == nullptr ||
          account->tokens / account->weight > longest->tokens / longest->weight) {
        longest = account;
      }
    }
    const bool same_class = it->first == arriving.priority;
    if (same_class && (*longest->items.begin())->account == arriving.account) return nullptr;
    if (same_class) {
      const auto self = entry.accounts.find(arriving.account);
      const double own = self == entry.accounts.end() ? 0 : self->second.tokens;
      // Ties keep the request that was there first.
      if ((own + arriving.tokens) / std::max(arriving.weight, 1e-6) >=
          longest->tokens / longest->weight) {
        return nullptr;
      }
    }
    return *longest->items.rbegin();
  }
  return nullptr;
}

std::unique_ptr<QueueOrder> MakeFairOrder() { return std::make_unique<FairOrder>(); }
std::unique_ptr<QueueOrder> MakeFifoOrder() { return std::make_unique<FifoOrder>(); }

}  // namespace wagtailslip::traffic
