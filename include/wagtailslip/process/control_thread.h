#pragma once

#include <caf/all.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "wagtailslip/base/time.h"
#include "wagtailslip/process/clock.h"

namespace wagtailslip::process {

/// Work for the control thread: reads or changes the control state at a time.
template <typename State>
using ControlTask = std::function<void(State&, TimePoint now)>;

/// Message that carries one task to the control actor.
template <typename State>
struct ControlMessage {
  ControlTask<State> task;
};

/// Periodic message of the control actor to itself.
struct ControlTick {};

}  // namespace wagtailslip::process

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(wagtailslip::process::ControlTick)

namespace caf {
template <typename State>
struct allowed_unsafe_message_type<wagtailslip::process::ControlMessage<State>> : std::true_type {};
}  // namespace caf

namespace wagtailslip::process {

/// Owns a control state and runs all its work on one actor with a thread of its own.
///
/// State offers `void Tick(TimePoint now)`. An exception from the state ends the process through
/// the failure handler, because control state after a failed step cannot be trusted.
template <typename State>
class ControlThread {
 public:
  using FailureHandler = std::function<void(const std::exception&)>;

  ControlThread(caf::actor_system& system, std::unique_ptr<State> state, Duration tick_period,
                FailureHandler on_failure)
      : actor_(system.spawn<caf::detached>([state = std::shared_ptr<State>(std::move(state)),
                                            tick_period, on_failure](caf::event_based_actor* self) {
          return Behavior(self, state, tick_period, on_failure);
        })) {}
  ~ControlThread() { Stop(); }
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Starts the periodic ticks. Called once everything that a tick uses is in place.
  void Start() { caf::anon_send(actor_, ControlTick{}); }

  /// Queues a task. Safe from any thread.
  void Post(ControlTask<State> task) {
    caf::anon_send(actor_, ControlMessage<State>{std::move(task)});
  }

  /// Ends the actor after the tasks that are queued.
  void Stop() {
    if (!actor_) return;
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    actor_ = nullptr;
  }

 private:
  template <typename F>
  static void Guard(const FailureHandler& on_failure, F&& step) {
    try {
      step();
    } catch (const std::exception& e) {
      on_failure(e);
    }
  }

  static caf::behavior Behavior(caf::event_based_actor* self, std::shared_ptr<State> state,
                                Duration tick_period, FailureHandler on_failure) {
    return {
        [state, on_failure](const ControlMessage<State>& message) {
          Guard(on_failure, [&] { message.task(*state, MonotonicNow()); });
        },
        [self, state, tick_period, on_failure](const ControlTick&) {
          self->delayed_send(self, tick_period, ControlTick{});
          Guard(on_failure, [&] { state->Tick(MonotonicNow()); });
        },
    };
  }

  caf::actor actor_;
};

}  // namespace wagtailslip::process
