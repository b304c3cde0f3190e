#include "wagtailslip/process/signal_wait.h"

#include <pthread.h>
#include <signal.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>

#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

constexpr int kControlFailureStatus = 70;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int caught = 0;
  sigwait(&signals, &caught);
}

void WaitUntil(Duration period, const std::function<bool()>& condition) {
  const sigset_t signals = StopSignals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(period);
  const timespec pause{seconds.count(), static_cast<long>((period - seconds).count())};
  while (!condition()) {
    if (sigtimedwait(&signals, nullptr, &pause) > 0) return;
  }
}

void ExitOnControlFailure(const std::exception& e) {
  LogEvent(Event::kInvariantViolated, {{"error", e.what()}});
  std::_Exit(kControlFailureStatus);
}

}  // namespace wagtailslip::process
