#include "dispatcher.h"

#include <set>

namespace wagtailslip::process {

Dispatcher::Dispatcher(const std::string& self, const std::string& region,
                       const std::string& domain, std::shared_ptr<PublishedCell> published)
    : published_(std::move(published)),
      router_({region, domain, Hash64(self)}, std::make_unique<traffic::PrefixAwareTwoChoices>(),
              ejector_),
      addresses_(self) {}

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
    for (const auto& [model, endpoints] : current_->routing->models()) {
      queue_.SetSlots(model, router_.Slots(model));
    }
  }
  Advance(now);
}

Dispatcher::Status Dispatcher::status() const {
  const std::scoped_lock lock(mutex_);
  return {queue_.queued(), queue_.running(), queue_.counters(), router_.counters(),
          ejector_.counters()};
}

}  // namespace wagtailslip::process
