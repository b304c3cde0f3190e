// At-most-once calls: intents and outcomes, kept in a window bounded by age and number.
#include <algorithm>

#include "wagtailslip/config/state_machine.h"

namespace wagtailslip::config {
namespace {

/// Number of the oldest calls searched for one that is not pending when the window is full.
constexpr int kMaxEvictionScan = 64;

}  // namespace

bool StateMachine::IsKeyExpired(const std::string& map_key,
                                const std::optional<UtcTime>& issued) const {
  return issued ? *issued <= state_.expired_keys_until
                : evicted_key_counts_.contains(Hash64(map_key));
}

ApplyResult StateMachine::On(const IntentRecorded& record) {
  if (record.account.empty()) return Rejected("invalid", "account", "the account is missing");
  if (record.key.empty() || record.key.size() > 256) {
    return Rejected("invalid", "key", "an idempotency key has 1 to 256 characters");
  }
  const auto owner = state_.processes.find(record.owner);
  if (owner == state_.processes.end() || !owner->second.present ||
      owner->second.info.incarnation != record.owner_incarnation) {
    return Rejected("owner_not_live", "owner", "the entry process is not a live incarnation");
  }
  const std::string map_key = CallKey(record.account, record.key);
  const auto it = state_.calls.find(map_key);
  if (it != state_.calls.end()) {
    Call& call = it->second;
    if (call.request != record.request) {
      return Rejected("key_reused", "key", "the idempotency key was used with another request");
    }
    if (call.outcome != CallOutcome::kNotRun || record.attempt != call.attempt + 1) {
      ApplyResult result = Unchanged(record.key);
      result.status = ApplyStatus::kDuplicate;
      return result;
    }
    // The previous attempt was not executed, so a new attempt is safe.
    WTS_INVARIANT(call.runs == 0);
    call.owner = record.owner;
    call.owner_incarnation = record.owner_incarnation;
    call.outcome = CallOutcome::kPending;
    call.status = 0;
    call.attempt = record.attempt;
    call.runs = 1;
    pending_by_owner_[call.owner].insert(call.sequence);
    return Applied(record.key);
  }
  if (record.attempt != 1) {
    return Rejected("stale_attempt", "attempt", "the earlier attempts of the key are forgotten");
  }
  const auto issued = KeyIssueTime(record.key);
  const UtcTime clock = std::max(state_.call_clock, record.at);
  if (IsKeyExpired(map_key, issued) || (issued && *issued + limits_.call_age <= clock)) {
    return Rejected("key_expired", "key", "the idempotency key is older than the window");
  }
  if (issued && *issued > record.at + kKeyClockSkew) {
    return Rejected("key_from_future", "key", "the key's issue time is in the future");
  }
  if (record.at + limits_.call_age <= clock) {
    return Rejected("key_expired", "at", "the record is older than the window");
  }
  state_.call_clock = clock;
  EvictCalls();
  if (state_.calls.size() >= limits_.calls) {
    return Rejected("window_full", "key", "too many at-most-once calls are in progress");
  }
  Call call;
  call.account = record.account;
  call.key = record.key;
  call.request = record.request;
  call.owner = record.owner;
  call.owner_incarnation = record.owner_incarnation;
  call.at = record.at;
  call.sequence = state_.next_sequence++;
  call.runs = 1;
  IndexCall(state_.calls.emplace(map_key, std::move(call)).first);
  return Applied(record.key);
}

ApplyResult StateMachine::On(const OutcomeRecorded& record) {
  if (record.outcome == CallOutcome::kPending) {
    return Rejected("invalid", "outcome", "pending is not an outcome");
  }
  const std::string map_key = CallKey(record.account, record.key);
  const auto it = state_.calls.find(map_key);
  if (it == state_.calls.end()) {
    return Rejected("not_found", "key", "there is no intent under this key");
  }
  Call& call = it->second;
  if (call.owner != record.owner || call.owner_incarnation != record.owner_incarnation) {
    return Rejected("not_owner", "owner", "another process runs this call");
  }
  if (call.attempt != record.attempt) {
    return Rejected("stale_attempt", "attempt",
                    "attempt " + std::to_string(call.attempt) + " is the present one");
  }
  const Digest digest = Sha256(record.body);
  if (call.outcome != CallOutcome::kPending) {
    if (call.outcome == record.outcome && call.status == record.status &&
        call.body_digest == digest) {
      return Unchanged(record.key);
    }
    return Rejected("outcome_final", "outcome",
                    "the outcome is already " + std::string(kCallOutcomes.Name(call.outcome)));
  }
  call.outcome = record.outcome;
  call.status = record.status;
  call.content_type = record.content_type;
  call.body_digest = digest;
  if (record.outcome == CallOutcome::kNotRun) call.runs = 0;
  if (record.body.size() <= limits_.call_body_bytes) {
    call.body = record.body;
    call.body_kept = true;
    body_bytes_ += call.body.size();
    body_cursor_ = std::min(body_cursor_, call.sequence);
    EvictBodies();
  }
  RemovePending(call);
  return Applied(record.key);
}

void StateMachine::EvictBodies() {
  auto it = call_order_.lower_bound(body_cursor_);
  while (body_bytes_ > limits_.call_bodies_total_bytes && it != call_order_.end()) {
    Call& call = it->second->second;
    if (!call.body.empty()) {
      body_bytes_ -= call.body.size();
      call.body.clear();
      call.body.shrink_to_fit();
      call.body_kept = false;
    }
    body_cursor_ = (it++)->first + 1;
  }
}

void StateMachine::RemovePending(const Call& call) {
  const auto owned = pending_by_owner_.find(call.owner);
  WTS_INVARIANT(owned != pending_by_owner_.end() && owned->second.erase(call.sequence) == 1);
  if (owned->second.empty()) pending_by_owner_.erase(owned);
}

void StateMachine::MarkCallsUnknown(const std::string& process) {
  const auto owned = pending_by_owner_.find(process);
  if (owned == pending_by_owner_.end()) return;
  const std::uint64_t incarnation = state_.processes.at(process).info.incarnation;
  for (const auto sequence : owned->second) {
    Call& call = call_order_.at(sequence)->second;
    WTS_INVARIANT(call.outcome == CallOutcome::kPending);
    WTS_INVARIANT(call.owner_incarnation == incarnation);
    call.outcome = CallOutcome::kUnknown;
  }
  pending_by_owner_.erase(owned);
}

void StateMachine::EvictCalls() {
  while (!call_order_.empty()) {
    const auto oldest = call_order_.begin();
    if (oldest->second->second.at + limits_.call_age > state_.call_clock) break;
    EvictCall(oldest->first);
  }
  if (state_.calls.size() < limits_.calls) return;
  auto it = call_order_.begin();
  for (int n = 0; n < kMaxEvictionScan && it != call_order_.end(); ++n, ++it) {
    if (it->second->second.outcome == CallOutcome::kPending) continue;
    EvictCall(it->first);
    return;
  }
}

void StateMachine::EvictCall(std::uint64_t sequence) {
  const auto order = call_order_.find(sequence);
  const std::string& map_key = order->second->first;
  const Call& call = order->second->second;
  if (const auto issued = KeyIssueTime(call.key)) {
    state_.expired_keys_until = std::max(state_.expired_keys_until, *issued);
  } else {
    state_.evicted_key_hashes.push_back(Hash64(map_key));
    ++evicted_key_counts_[state_.evicted_key_hashes.back()];
    // Hashes are erased in batches of a quarter of the limit, because erasing from the front of a
    // vector moves all the rest.
    if (state_.evicted_key_hashes.size() >
        limits_.evicted_key_hashes + limits_.evicted_key_hashes / 4) {
      const auto end =
          state_.evicted_key_hashes.end() - static_cast<std::ptrdiff_t>(limits_.evicted_key_hashes);
      for (auto it = state_.evicted_key_hashes.begin(); it != end; ++it) {
        if (--evicted_key_counts_[*it] == 0) evicted_key_counts_.erase(*it);
      }
      state_.evicted_key_hashes.erase(state_.evicted_key_hashes.begin(), end);
    }
  }
  body_bytes_ -= call.body.size();
  if (call.outcome == CallOutcome::kPending) RemovePending(call);
  state_.calls.erase(order->second);
  call_order_.erase(order);
}

void StateMachine::IndexCall(Calls::iterator call) {
  const Call& indexed = call->second;
  WTS_INVARIANT(call_order_.emplace(indexed.sequence, call).second);
  if (indexed.outcome == CallOutcome::kPending)
    pending_by_owner_[indexed.owner].insert(indexed.sequence);
  body_bytes_ += indexed.body.size();
}

}  // namespace wagtailslip::config
