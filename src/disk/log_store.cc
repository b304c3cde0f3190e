#include "wagtailslip/disk/log_store.h"

#include <fcntl.h>

#include <algorithm>
#include <cstdio>

#include "wagtailslip/disk/encoding.h"
#include "wagtailslip/disk/log_names.h"
#include "wagtailslip/disk/log_record.h"

namespace wagtailslip::disk {

template <typename F>
void LogStore::Guarded(F&& operation) {
  if (failed_) throw DiskError(options_.folder + ": the store stopped after an earlier error");
  failed_ = true;
  operation();
  failed_ = false;
}

LogStore::LogStore(LogStoreOptions options) : options_(std::move(options)) {
  Guarded([this] {
    Lock();
    Recover();
  });
}

std::string LogStore::SegmentPath(agreement::Index first) const {
  return Path(NumberedName(kSegmentPrefix, first));
}

void LogStore::SyncFile(File& file) {
  if (options_.sync) file.SyncData();
  ++counters_.syncs;
}

void LogStore::SaveHardState(const agreement::HardState& state) {
  Guarded([&] {
    Encoder body;
    body.Bytes(identity_.process);
    body.U64(identity_.incarnation);
    body.U64(state.term);
    body.U8(state.vote ? 1 : 0);
    if (state.vote) {
      body.Bytes(state.vote->process);
      body.U64(state.vote->incarnation);
    }
    body.U64(state.commit);
    ReplaceFile(options_.folder, kStateName, EncodeChecksummed(kStateMagic, body.data()));
    ++counters_.syncs;
    hard_state_ = state;
  });
}

void LogStore::Write(const agreement::Effects& effects) {
  if (effects.install) SaveSnapshot(*effects.install);
  if (effects.truncate_from) TruncateFrom(*effects.truncate_from);
  if (!effects.append.empty()) Append(effects.append);
}

void LogStore::StartSegment(agreement::Index first) {
  // A segment starts only when all earlier data is synced, so that damage outside the last
  // segment is always damage of acknowledged data.
  if (unsynced_) {
    SyncFile(tail_);
    unsynced_ = false;
  }
  tail_ = File(SegmentPath(first), O_RDWR | O_CREAT | O_TRUNC);
  tail_.WriteAt(0, EncodeSegmentHeader(first));
  SyncFile(tail_);
  SyncFolder(options_.folder);
  segments_.push_back({first, kSegmentHeaderBytes, {}});
  synced_length_ = kSegmentHeaderBytes;
  WriteSyncedMark(first, synced_length_, false);
}

void LogStore::Append(const std::vector<agreement::Entry>& entries) {
  Guarded([&] {
    for (std::size_t i = 0; i < entries.size();) {
      if (segments_.empty() || segments_.back().length >= options_.segment_bytes) {
        StartSegment(entries[i].index);
      }
      Segment& segment = segments_.back();
      buffer_.clear();
      const std::uint64_t start = segment.length;
      for (; i < entries.size() && segment.length < options_.segment_bytes; ++i) {
        WTS_INVARIANT(entries[i].index == last_index_ + 1);
        EncodeRecord(entries[i], synced_length_, buffer_);
        segment.entries.push_back({segment.length, entries[i].term});
        segment.length = start + buffer_.size();
        last_index_ = entries[i].index;
      }
      tail_.WriteAt(start, buffer_);
      counters_.bytes_written += buffer_.size();
      unsynced_ = true;
    }
  });
}

void LogStore::Sync() {
  Guarded([&] {
    if (!unsynced_) return;
    SyncFile(tail_);
    unsynced_ = false;
    synced_length_ = segments_.back().length;
    WriteSyncedMark(segments_.back().first, synced_length_, false);
  });
}

void LogStore::WriteSyncedMark(agreement::Index first, std::uint64_t length, bool durable) {
  // The mark is not synced after each append: it then covers a killed process, and the synced
  // length in the records covers a power failure. Before a truncation it is synced, because an
  // older mark beyond the new end would look like lost data.
  Encoder body;
  body.U64(first);
  body.U64(length);
  mark_.WriteAt(0, EncodeChecksummed(kSyncedPositionMagic, body.data()));
  if (durable) SyncFile(mark_);
}

void LogStore::TruncateFrom(agreement::Index index) {
  Guarded([&] {
    if (index > last_index_) return;
    WTS_INVARIANT(index > snapshot_index_);
    std::size_t keep = segments_.size();
    while (keep > 0 && segments_[keep - 1].first >= index) --keep;
    const bool inside = keep > 0;
    std::uint64_t length = 0;
    if (inside) {
      const Segment& segment = segments_[keep - 1];
      const std::size_t kept = index - segment.first;
      length = kept < segment.entries.size() ? segment.entries[kept].offset : segment.length;
    }
    WriteSyncedMark(inside ? segments_[keep - 1].first : 0, length, true);
    while (segments_.size() > keep) {
      tail_.Close();
      RemoveFile(SegmentPath(segments_.back().first));
      segments_.pop_back();
    }
    if (inside) {
      Segment& segment = segments_.back();
      if (!tail_.is_open()) tail_ = File(SegmentPath(segment.first), O_RDWR);
      tail_.Truncate(length);
      SyncFile(tail_);
      segment.length = length;
      segment.entries.resize(std::min<std::size_t>(segment.entries.size(), index - segment.first));
      synced_length_ = length;
    }
    SyncFolder(options_.folder);
    unsynced_ = false;
    last_index_ = index - 1;
  });
}

void LogStore::SaveSnapshot(const agreement::Snapshot& snapshot) {
  Guarded([&] {
    WTS_INVARIANT(snapshot.index >= snapshot_index_);
    const agreement::Index replaced = snapshot_index_;
    ReplaceFile(options_.folder, NumberedName(kSnapshotPrefix, snapshot.index),
                EncodeChecksummed(kSnapshotMagic, EncodeSnapshot(snapshot)));
    ++counters_.syncs;
    bool contained = false;
    for (const Segment& segment : segments_) {
      if (snapshot.index < segment.first) continue;
      const std::size_t at = snapshot.index - segment.first;
      if (at < segment.entries.size()) contained = segment.entries[at].term == snapshot.term;
    }
    snapshot_index_ = snapshot.index;
    snapshot_term_ = snapshot.term;
    if (contained) {
      DropSegmentsThrough(snapshot.index);
    } else {
      DiscardLog();
    }
    if (replaced > 0 && replaced != snapshot.index) {
      RemoveFile(Path(NumberedName(kSnapshotPrefix, replaced)));
    }
  });
}

void LogStore::DropSegmentsThrough(agreement::Index index) {
  // The last segment stays: the tail is written there.
  while (segments_.size() > 1 && segments_[1].first <= index + 1) {
    RemoveFile(SegmentPath(segments_.front().first));
    segments_.pop_front();
    ++counters_.segments_removed;
  }
}

void LogStore::DiscardLog() {
  WriteSyncedMark(0, 0, true);
  tail_.Close();
  while (!segments_.empty()) {
    RemoveFile(SegmentPath(segments_.back().first));
    segments_.pop_back();
    ++counters_.segments_removed;
  }
  SyncFolder(options_.folder);
  unsynced_ = false;
  last_index_ = snapshot_index_;
}

std::uint64_t LogStore::segment_bytes() const {
  std::uint64_t bytes = 0;
  for (const Segment& segment : segments_) bytes += segment.length;
  return bytes;
}

}  // namespace wagtailslip::disk
