#pragma once

#include <chrono>
#include <utility>

#include "common/pacing.h"

namespace wagtailslip::tools {

/// Pairs concurrent values of the `cross` fault and swaps them.
template <typename T>
class CrossPair {
 public:
  /// Waits a short time for a second caller and swaps both values.
  /// @return whether there was one
  net::Task<bool> Swap(T& value) {
    if (waiting_ != nullptr) {
      std::swap(*waiting_->value, value);
      waiting_->swapped = true;
      waiting_ = nullptr;
      co_return true;
    }
    Waiter self{&value, false};
    waiting_ = &self;
    const TimePoint limit = Now() + kWait;
    while (!self.swapped && Now() < limit) co_await Sleep(kPoll);
    if (!self.swapped) waiting_ = nullptr;
    co_return self.swapped;
  }

 private:
  struct Waiter {
    T* value;
    bool swapped;
  };
  static constexpr Duration kWait = std::chrono::milliseconds(200);
  static constexpr Duration kPoll = std::chrono::milliseconds(1);
  Waiter* waiting_ = nullptr;
};

}  // namespace wagtailslip::tools
