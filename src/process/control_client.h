#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "entry_control.h"
#include "wagtailslip/process/async_result.h"

namespace wagtailslip::process {

/// Hands a task to the control thread of an entry process.
using PostToEntry = std::function<void(std::function<void(EntryControl&, TimePoint)>)>;

/// Questions and proposals of a traffic thread to the control thread.
class ControlClient {
 public:
  explicit ControlClient(PostToEntry post) : post_(std::move(post)) {}

  /// Proposes a record and waits for its answer; nothing if the outcome is unknown.
  net::Task<std::optional<config::ApplyResult>> Propose(config::Record record,
                                                        Duration timeout) const {
    auto executor = co_await net::asio::this_coro::executor;
    const auto result = std::make_shared<AsyncResult<std::optional<config::ApplyResult>>>(executor);
    post_([record = std::move(record), timeout, result](EntryControl& control, TimePoint now) {
      control.Propose(
          record, timeout,
          [result](std::optional<config::ApplyResult> answer) { result->Set(std::move(answer)); },
          now);
    });
    constexpr Duration kGrace = std::chrono::milliseconds(200);
    const auto answer = co_await result->Wait(timeout + kGrace);
    if (answer) co_return *answer;
    co_return std::nullopt;
  }

  /// Runs a question on the control thread; nothing if it does not answer in time.
  template <typename Answer>
  net::Task<std::optional<Answer>> Ask(
      std::function<Answer(const EntryControl&, TimePoint)> question) const {
    auto executor = co_await net::asio::this_coro::executor;
    const auto result = std::make_shared<AsyncResult<Answer>>(executor);
    post_([question = std::move(question), result](EntryControl& control, TimePoint now) {
      result->Set(question(control, now));
    });
    constexpr Duration kTimeout = std::chrono::seconds(2);
    co_return co_await result->Wait(kTimeout);
  }

 private:
  PostToEntry post_;
};

}  // namespace wagtailslip::process
