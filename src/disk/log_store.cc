#include "wagtailslip/disk/log_store.h"

#include <fcntl.h>

#include <algorithm>
#include <cstdio>

#include "wagtailslip/disk/encoding.h"
#include "wagtailslip/disk/log_names.h"
#include "wagtailslip/disk/log_record.h"

namespace wagtailslip::disk {

template <typename F>
void LogStore::RunFailStop(F&& operation) {
  if (failed_) throw DiskError(options_.folder + ": the store stopped after an earlier error");
  failed_ = true;
  operation();
  failed_ = false;
}

LogStore::LogStore(LogStoreOptions options) : options_(std::move(options)) {
  RunFailStop([this] {
    LockFolder();
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
  RunFailStop([&] {
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
  // All earlier data is synced before a segment starts, so that damage in any segment but the last
  // always affects acknowledged data.
  if (unsynced_) {
    SyncFile(segment_file_);
    unsynced_ = false;
  }
  segment_file_ = File(SegmentPath(first), O_RDWR | O_CREAT | O_TRUNC);
  segment_file_.WriteAt(0, EncodeSegmentHeader(first));
  SyncFile(segment_file_);
  SyncFolder(options_.folder);
  segments_.push_back({first, kSegmentHeaderBytes, {}});
  synced_length_ = kSegmentHeaderBytes;
  WriteSyncedPosition(first, synced_length_, false);
}

void LogStore::Append(const std::vector<agreement::Entry>& entries) {
  RunFailStop([&] {
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
      segment_file_.WriteAt(start, buffer_);
      counters_.bytes_written += buffer_.size();
      unsynced_ = true;
    }
  });
}

void LogStore::Sync() {
  RunFailStop([&] {
    if (!unsynced_) return;
    SyncFile(segment_file_);
    unsynced_ = false;
    synced_length_ = segments_.back().length;
    WriteSyncedPosition(segments_.back().first, synced_length_, false);
  });
}

void LogStore::WriteSyncedPosition(agreement::Index first, std::uint64_t length, bool durable) {
  // After an append the synced position is written but not synced itself. It then survives a killed
  // process; after a power failure, recovery relies on the synced length in the records. Before a
  // truncation it is synced, because an older position beyond the new end would look like lost
  // data.
  Encoder body;
  body.U64(first);
  body.U64(length);
  synced_position_file_.WriteAt(0, EncodeChecksummed(kSyncedPositionMagic, body.data()));
  if (durable) SyncFile(synced_position_file_);
}

void LogStore::TruncateFrom(agreement::Index index) {
  RunFailStop([&] {
    if (index > last_index_) return;
    WTS_INVARIANT(index > snapshot_index_);
    std::size_t kept_segments = segments_.size();
    while (kept_segments > 0 && segments_[kept_segments - 1].first >= index) --kept_segments;
    const bool segments_remain = kept_segments > 0;
    std::uint64_t length = 0;
    if (segments_remain) {
      const Segment& segment = segments_[kept_segments - 1];
      const std::size_t kept_entries = index - segment.first;
      length = kept_entries < segment.entries.size() ? segment.entries[kept_entries].offset
                                                     : segment.length;
    }
    WriteSyncedPosition(segments_remain ? segments_[kept_segments - 1].first : 0, length, true);
    while (segments_.size() > kept_segments) {
      segment_file_.Close();
      RemoveFile(SegmentPath(segments_.back().first));
      segments_.pop_back();
    }
    if (segments_remain) {
      Segment& segment = segments_.back();
      if (!segment_file_.is_open()) segment_file_ = File(SegmentPath(segment.first), O_RDWR);
      segment_file_.Truncate(length);
      SyncFile(segment_file_);
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
  RunFailStop([&] {
    WTS_INVARIANT(snapshot.index >= snapshot_index_);
    const agreement::Index previous_snapshot = snapshot_index_;
    ReplaceFile(options_.folder, NumberedName(kSnapshotPrefix, snapshot.index),
                EncodeChecksummed(kSnapshotMagic, EncodeSnapshot(snapshot)));
    ++counters_.syncs;
    bool in_log = false;
    for (const Segment& segment : segments_) {
      if (snapshot.index < segment.first) continue;
      const std::size_t at = snapshot.index - segment.first;
      if (at < segment.entries.size()) in_log = segment.entries[at].term == snapshot.term;
    }
    snapshot_index_ = snapshot.index;
    snapshot_term_ = snapshot.term;
    if (in_log) {
      RemoveSegmentsThrough(snapshot.index);
    } else {
      DiscardLog();
    }
    if (previous_snapshot > 0 && previous_snapshot != snapshot.index) {
      RemoveFile(Path(NumberedName(kSnapshotPrefix, previous_snapshot)));
    }
  });
}

void LogStore::RemoveSegmentsThrough(agreement::Index index) {
  // The last segment is kept because new entries are appended to it.
  while (segments_.size() > 1 && segments_[1].first <= index + 1) {
    RemoveFile(SegmentPath(segments_.front().first));
    segments_.pop_front();
    ++counters_.segments_removed;
  }
}

void LogStore::DiscardLog() {
  WriteSyncedPosition(0, 0, true);
  segment_file_.Close();
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
