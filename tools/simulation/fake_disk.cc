#include "fake_disk.h"

#include <algorithm>
#include <limits>

namespace wagtailslip::simulation {

void FakeDisk::SaveSnapshot(std::shared_ptr<const agreement::Snapshot> snapshot) {
  // A snapshot is applied after the writes queued before it, as in LogStore: one of them may
  // truncate entries that the snapshot replaces.
  if (queue_.empty()) {
    ApplySnapshot(std::move(snapshot));
  } else {
    queue_.push_back({queue_.back().write, std::move(snapshot), std::nullopt, {}});
  }
}

void FakeDisk::ApplySnapshot(std::shared_ptr<const agreement::Snapshot> snapshot) {
  const agreement::Index index = snapshot->index;
  const bool contained = !entries_.empty() && entries_.front().index <= index &&
                         entries_.back().index >= index &&
                         entries_[index - entries_.front().index].term == snapshot->term;
  if (contained) {
    while (!entries_.empty() && entries_.front().index <= index) entries_.pop_front();
  } else {
    entries_.clear();
  }
  snapshot_ = std::move(snapshot);
}

void FakeDisk::Write(const agreement::Effects& effects) {
  if (effects.write == 0) return;
  queue_.push_back({effects.write, effects.install, effects.truncate_from, effects.append});
}

void FakeDisk::ApplyWrite(const QueuedWrite& write, std::size_t entry_limit) {
  if (write.install && (!snapshot_ || write.install->index > snapshot_->index)) {
    ApplySnapshot(write.install);
  }
  if (write.truncate_from) {
    while (!entries_.empty() && entries_.back().index >= *write.truncate_from) entries_.pop_back();
  }
  for (std::size_t i = 0; i < std::min(entry_limit, write.append.size()); ++i) {
    const agreement::Entry& entry = write.append[i];
    if (snapshot_ && entry.index <= snapshot_->index) continue;
    const agreement::Index last =
        entries_.empty() ? (snapshot_ ? snapshot_->index : 0) : entries_.back().index;
    WTS_INVARIANT(entry.index == last + 1);
    entries_.push_back(entry);
  }
}

void FakeDisk::Sync(std::uint64_t write) {
  while (!queue_.empty() && queue_.front().write <= write) {
    ApplyWrite(queue_.front(), std::numeric_limits<std::size_t>::max());
    queue_.pop_front();
  }
}

void FakeDisk::Crash(std::size_t survivors) {
  for (std::size_t i = 0; i < queue_.size() && i <= survivors; ++i) {
    const bool whole = i < survivors;
    ApplyWrite(queue_[i], whole ? queue_[i].append.size() : queue_[i].append.size() / 2);
  }
  queue_.clear();
}

void FakeDisk::Load(agreement::PersistentState state) {
  hard_state_ = state.hard_state;
  snapshot_ = state.snapshot;
  entries_.assign(state.entries.begin(), state.entries.end());
}

agreement::PersistentState FakeDisk::State() const {
  return {hard_state_, snapshot_, {entries_.begin(), entries_.end()}};
}

}  // namespace wagtailslip::simulation
