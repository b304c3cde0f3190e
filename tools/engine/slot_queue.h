#pragma once

#include <cstdint>
#include <set>
#include <utility>

#include "wagtailslip/net/asio.h"

namespace wagtailslip::tools {

/// Slots of a continuous batch, with a priority queue of the requests that wait for one.
class SlotQueue {
 public:
  /// A slot that is held until the lease is destroyed.
  class Lease {
   public:
    explicit Lease(SlotQueue* queue) : queue_(queue) {}
    Lease(Lease&& other) noexcept : queue_(std::exchange(other.queue_, nullptr)) {}
    Lease& operator=(Lease&&) = delete;
    ~Lease() {
      if (queue_ != nullptr) queue_->Release();
    }

   private:
    SlotQueue* queue_;
  };

  explicit SlotQueue(std::uint64_t slots) : slots_(slots) {}

  /// Waits for a slot.
  /// @param priority 0 is served first; equal priorities are served in order of arrival
  net::Task<Lease> Acquire(std::uint32_t priority);

  std::uint64_t slots() const { return slots_; }
  std::uint64_t running() const { return running_; }
  std::uint64_t queued() const { return waiters_.size(); }

 private:
  struct Waiter {
    std::uint32_t priority;
    std::uint64_t sequence;
    net::asio::steady_timer* timer;
    bool* granted;
    bool operator<(const Waiter& other) const {
      return std::pair(priority, sequence) < std::pair(other.priority, other.sequence);
    }
  };
  void Release();

  std::uint64_t slots_;
  std::uint64_t running_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::set<Waiter> waiters_;
};

}  // namespace wagtailslip::tools
