#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "wagtailslip/directory/address_book.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/published.h"
#include "wagtailslip/traffic/ejector.h"
#include "wagtailslip/traffic/fair_queue.h"
#include "wagtailslip/traffic/rate_limiter.h"
#include "wagtailslip/traffic/retry_budget.h"
#include "wagtailslip/traffic/router.h"

namespace wagtailslip::process {

/// Outcome of waiting in the queue: nothing if the request may be sent now.
using QueueOutcome = std::optional<traffic::Refusal>;

/// The traffic decisions of an entry process, shared by its traffic threads under one mutex. Each
/// call is a short decision without input or output.
class Dispatcher {
 public:
  Dispatcher(const std::string& self, const std::string& region, const std::string& domain,
             std::shared_ptr<PublishedCell> published);

  /// Unique id of a request in this process.
  std::uint64_t NextId();

  /// Offers a request to the queue; `outcome` is set when it is dispatched or refused.
  void Offer(traffic::QueueItem item, std::shared_ptr<AsyncResult<QueueOutcome>> outcome,
             TimePoint now);
  /// The caller has gone or its wait has ended.
  void Cancel(std::uint64_t id, TimePoint now);
  /// Frees the slot of a dispatched request.
  /// @param tokens tokens that it took; nothing if it did no work
  void Finish(std::uint64_t id, std::optional<double> tokens, TimePoint now);

  traffic::RouteChoice Choose(const traffic::RouteRequest& request, TimePoint now);
  void Started(const traffic::RouteChoice& choice, const traffic::RouteRequest& request,
               TimePoint now);
  void Finished(const std::string& endpoint, traffic::AttemptResult result, TimePoint now);

  directory::AddressAnswer Addresses(const directory::Location& caller, bool has_lease,
                                     TimePoint now);

  /// Asks the limits of an account and a request kind for one request.
  traffic::LimitDecision TakeLimit(const std::string& account, const std::string& kind,
                                   TimePoint now);
  /// Takes one retry from the budget.
  bool TakeRetry(TimePoint now);
  /// Counts a request for the retry budget.
  /// @param outer_retry whether the caller marked it as a retry of its own
  void CountRequest(bool outer_retry, TimePoint now);
  /// Takes a message of the rate limiter of another process.
  void OnLimits(const traffic::LimitMessage& message, TimePoint now);
  /// Messages of the rate limiter that are due.
  std::vector<traffic::LimitMessage> TakeLimitMessages();

  /// Takes over what the control thread published and lets due requests leave the queue. Called
  /// every few milliseconds by one traffic thread.
  void Refresh(TimePoint now);

  /// Counters for the state dump.
  struct Status {
    std::size_t queued = 0;
    std::size_t running = 0;
    traffic::FairQueue::Counters queue;
    traffic::Router::Counters router;
    traffic::Ejector::Counters ejector;
    traffic::RetryBudget::Counters retries;
    traffic::RateLimiter::Counters limits;
  };
  Status status() const;

 private:
  void Advance(TimePoint now);
  void AdoptLimits(TimePoint now);
  void HandleLimitMessages(std::vector<traffic::LimitMessage> messages, TimePoint now);
  void Deliver(std::uint64_t id, QueueOutcome outcome);

  mutable std::mutex mutex_;
  std::shared_ptr<PublishedCell> published_;
  std::shared_ptr<const Published> current_;
  traffic::Ejector ejector_;
  traffic::Router router_;
  traffic::FairQueue queue_;
  directory::AddressBook addresses_;
  traffic::RetryBudget retries_;
  std::string self_;
  /// Made with the first registration of this process and with each new incarnation.
  std::unique_ptr<traffic::RateLimiter> limiter_;
  std::uint64_t limiter_incarnation_ = 0;
  std::uint64_t process_changes_ = 0;
  std::map<std::string, config::Rule> limited_rules_;
  std::vector<traffic::LimitMessage> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<AsyncResult<QueueOutcome>>> waiting_;
  std::uint64_t next_id_ = 1;
};

}  // namespace wagtailslip::process
