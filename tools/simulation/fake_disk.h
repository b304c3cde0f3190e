#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::simulation {

/// Disk of one simulated replica: durable content, and writes that are not synced yet.
class FakeDisk {
 public:
  void SaveHardState(const agreement::HardState& state) { hard_state_ = state; }
  void SaveSnapshot(std::shared_ptr<const agreement::Snapshot> snapshot);
  /// Queues the write of `effects`.
  void Write(const agreement::Effects& effects);
  /// Makes the queued writes up to `write` durable.
  void Sync(std::uint64_t write);
  /// Loses the queued writes except for the first `survivors` and half of the entries of the next
  /// one.
  void Crash(std::size_t survivors);
  /// Loses everything.
  void Erase() { *this = FakeDisk{}; }
  void Load(agreement::PersistentState state);
  agreement::PersistentState State() const;
  std::size_t unsynced() const { return queue_.size(); }

 private:
  struct QueuedWrite {
    std::uint64_t write;
    std::shared_ptr<const agreement::Snapshot> install;
    std::optional<agreement::Index> truncate_from;
    std::vector<agreement::Entry> append;
  };
  void ApplySnapshot(std::shared_ptr<const agreement::Snapshot> snapshot);
  void ApplyWrite(const QueuedWrite& write, std::size_t entry_limit);

  agreement::HardState hard_state_;
  std::shared_ptr<const agreement::Snapshot> snapshot_;
  std::deque<agreement::Entry> entries_;
  std::deque<QueuedWrite> queue_;
};

}  // namespace wagtailslip::simulation
