#include "dispatcher.h"

#include <set>

namespace wagtailslip::process {

Dispatcher::Dispatcher(const std::string& self, const std::string& region,
                       const std::string& domain, std::shared_ptr<PublishedCell> published)
    : published_(std::move(published)),
      router_({region, domain, Hash64(self)}, std::make_unique<traffic::PrefixAwareTwoChoices>(),
              ejector_),
      addresses_(self),
      self_(self) {}

std::uint64_t Dispatcher::NextId() {
  const std::scoped_lock lock(mutex_);
  return next_id_++;
}

void Dispatcher::Deliver(std::uint64_t id, QueueOutcome outcome) {
  const auto it = waiting_.find(id);
  if (it == waiting_.end()) return;
  it->second->Set(outcome);
  waiting_.erase(it);
}

void Dispatcher::Advance(TimePoint now) {
  const auto step = queue_.Advance(now);
  for (const auto id : step.dispatched) Deliver(id, std::nullopt);
  for (const auto& it : step.refused) Deliver(it.id, it);
}

void Dispatcher::Offer(traffic::QueueItem item, std::shared_ptr<AsyncResult<QueueOutcome>> outcome,
                       TimePoint now) {
  const std::scoped_lock lock(mutex_);
  waiting_[item.id] = std::move(outcome);
  const auto admission = queue_.Offer(std::move(item), now);
  for (const auto& it : admission.refused) Deliver(it.id, it);
  Advance(now);
}

void Dispatcher::Cancel(std::uint64_t id, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  waiting_.erase(id);
  // A request that was dispatched at the same moment holds a slot.
  if (!queue_.Cancel(id)) queue_.Abandon(id);
  Advance(now);
}

void Dispatcher::Finish(std::uint64_t id, std::optional<double> tokens, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  if (tokens) {
    queue_.Finish(id, now, tokens);
  } else {
    queue_.Abandon(id);
  }
  Advance(now);
}

traffic::RouteChoice Dispatcher::Choose(const traffic::RouteRequest& request, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  return router_.Choose(request, now);
}

void Dispatcher::Started(const traffic::RouteChoice& choice, const traffic::RouteRequest& request,
                         TimePoint now) {
  const std::scoped_lock lock(mutex_);
  router_.Started(choice, request, now);
}

void Dispatcher::Finished(const std::string& endpoint, traffic::AttemptResult result,
                          TimePoint now) {
  const std::scoped_lock lock(mutex_);
  router_.Finished(endpoint, result, now);
}

directory::AddressAnswer Dispatcher::Addresses(const directory::Location& caller, bool has_lease,
                                               TimePoint now) {
  const std::scoped_lock lock(mutex_);
  return addresses_.Answer(caller, has_lease, now);
}

traffic::LimitDecision Dispatcher::TakeLimit(const std::string& account, const std::string& kind,
                                             TimePoint now) {
  const std::scoped_lock lock(mutex_);
  if (!limiter_) return {};
  return limiter_->Take(account, kind, now);
}

bool Dispatcher::TakeRetry(TimePoint now) {
  const std::scoped_lock lock(mutex_);
  return retries_.Take(now);
}

void Dispatcher::CountRequest(bool outer_retry, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  retries_.OnRequest(outer_retry, now);
}

void Dispatcher::HandleLimitMessages(std::vector<traffic::LimitMessage> messages, TimePoint now) {
  while (!messages.empty()) {
    const traffic::LimitMessage message = std::move(messages.back());
    messages.pop_back();
    const std::string& to =
        std::visit([](const auto& it) -> const std::string& { return it.to; }, message);
    if (to != self_) {
      outgoing_.push_back(message);
      continue;
    }
    for (auto& answer : limiter_->OnMessage(message, now)) messages.push_back(std::move(answer));
  }
}

void Dispatcher::OnLimits(const traffic::LimitMessage& message, TimePoint now) {
  const std::scoped_lock lock(mutex_);
  if (limiter_) HandleLimitMessages(limiter_->OnMessage(message, now), now);
}

std::vector<traffic::LimitMessage> Dispatcher::TakeLimitMessages() {
  const std::scoped_lock lock(mutex_);
  return std::exchange(outgoing_, {});
}

void Dispatcher::AdoptLimits(TimePoint now) {
  if (!current_->caught_up) return;
  if (!limiter_ || limiter_incarnation_ != current_->incarnation) {
    limiter_ = std::make_unique<traffic::RateLimiter>(self_, current_->incarnation);
    limiter_incarnation_ = current_->incarnation;
    process_changes_ = 0;
    limited_rules_.clear();
  }
  limiter_->SetLease(current_->lease_until);
  if (process_changes_ != current_->process_changes) {
    const bool skipped = current_->process_changes - process_changes_ > 1;
    std::vector<std::string> members;
    for (const auto& it : current_->processes) members.push_back(it.id);
    limiter_->SetMembers(std::move(members), now, skipped);
    process_changes_ = current_->process_changes;
  }
  for (const auto& [key, rule] : current_->rules->rules()) {
    const auto it = limited_rules_.find(key);
    if (it != limited_rules_.end() && it->second.rate_limit == rule.rate_limit) continue;
    if (it == limited_rules_.end() && rule.rate_limit == 0) continue;
    limiter_->SetLimit({rule.account, rule.kind}, rule.rate_limit, now);
    limited_rules_[key] = rule;
  }
}

void Dispatcher::Refresh(TimePoint now) {
  const auto published = published_->Load();
  const std::scoped_lock lock(mutex_);
  if (published != current_ && published->routing) {
    current_ = published;
    router_.Swap(published->routing, now);
    std::set<std::string> live;
    for (const auto& it : published->processes) {
      addresses_.Update(it);
      live.insert(it.id);
    }
    for (const auto& [id, process] : std::map(addresses_.processes())) {
      if (!live.contains(id)) addresses_.MarkDead(id, process.incarnation);
    }
  }
  if (current_) {
    AdoptLimits(now);
    if (limiter_) HandleLimitMessages(limiter_->Tick(now), now);
    for (const auto& [model, endpoints] : current_->routing->models()) {
      queue_.SetSlots(model, router_.Slots(model));
    }
  }
  Advance(now);
}

Dispatcher::Status Dispatcher::status() const {
  const std::scoped_lock lock(mutex_);
  Status status{queue_.queued(),    queue_.running(),    queue_.counters(),
                router_.counters(), ejector_.counters(), retries_.counters()};
  if (limiter_) status.limits = limiter_->counters();
  return status;
}

}  // namespace wagtailslip::process
