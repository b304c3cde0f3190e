#pragma once

#include <exception>
#include <functional>
#include <future>
#include <memory>

#include "wagtailslip/base/time.h"
#include "wagtailslip/process/control_thread.h"

namespace wagtailslip::process {

/// Blocks SIGTERM and SIGINT in this thread and all threads started later. To be called first.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// Waits until a condition holds or a second stop signal comes.
/// @param period time between two checks
void WaitUntil(Duration period, const std::function<bool()>& condition);

/// Logs a failure of the control state and ends the process at once, without flushing state that
/// can no longer be trusted.
[[noreturn]] void ExitOnControlFailure(const std::exception& e);

/// Runs a question on a control thread and waits for its answer.
/// @param question called with the state and the time
template <typename State, typename F>
auto Ask(ControlThread<State>& control, F question) {
  using Answer = std::invoke_result_t<F, State&, TimePoint>;
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  control.Post([promise, question = std::move(question)](State& state, TimePoint now) {
    promise->set_value(question(state, now));
  });
  return future.get();
}

}  // namespace wagtailslip::process
