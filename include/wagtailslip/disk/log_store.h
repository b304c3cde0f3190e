#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wagtailslip/agreement/replica.h"
#include "wagtailslip/agreement/types.h"
#include "wagtailslip/disk/error.h"
#include "wagtailslip/disk/file.h"

namespace wagtailslip::disk {

struct LogStoreOptions {
  std::string folder;
  /// Identity that a new folder gets. In a folder that is in use, the process must be the same and
  /// the recorded incarnation stays.
  agreement::ReplicaId identity;
  /// Initial state of a new folder: BootstrapState for the first voters of a new log, else empty.
  agreement::PersistentState initial;
  std::uint64_t segment_bytes = 8ULL * 1024 * 1024;
  /// False skips every sync, for benchmarks of the rest.
  bool sync = true;
};

/// Counts since the store was opened.
struct LogStoreCounters {
  std::uint64_t syncs = 0;
  std::uint64_t bytes_written = 0;
  std::uint64_t torn_bytes_truncated = 0;
  std::uint64_t segments_removed = 0;
};

/// The durable part of a replica in one data folder: hard state, log segments, snapshot. Used by
/// one thread. After any error the store accepts no more calls, because after a failed sync the
/// kernel may have dropped the data that it could not write.
class LogStore {
 public:
  /// Opens or creates a folder and recovers its content.
  /// @throws FolderLockedError, DamagedDataError, IoError, DiskFullError, DiskError
  explicit LogStore(LogStoreOptions options);

  const agreement::ReplicaId& identity() const { return identity_; }
  /// True if this call created the folder's content.
  bool created() const { return created_; }
  /// What was recovered; empty after the first call.
  agreement::PersistentState TakeState() { return std::move(recovered_); }

  /// Writes the hard state and syncs it.
  void SaveHardState(const agreement::HardState& state);
  /// Writes step 3 of Effects: install, truncate, append. Appended entries are durable only after
  /// Sync.
  void Write(const agreement::Effects& effects);
  void Append(const std::vector<agreement::Entry>& entries);
  void Sync();
  void TruncateFrom(agreement::Index index);
  /// Writes a snapshot, syncs it and removes the segments that it covers. The log is discarded if
  /// it does not contain the snapshot's last entry.
  void SaveSnapshot(const agreement::Snapshot& snapshot);

  agreement::Index last_index() const { return last_index_; }
  const LogStoreCounters& counters() const { return counters_; }
  /// Bytes of the folder's segments.
  std::uint64_t segment_bytes() const;

 private:
  struct Position {
    std::uint64_t offset;
    agreement::Term term;
  };
  struct Segment {
    agreement::Index first = 0;
    std::uint64_t length = 0;
    std::vector<Position> entries;
  };

  // Recovery.
  void Lock();
  void Recover();
  void Create();
  bool RecoverHardState();
  void RecoverSnapshot();
  void RecoverSegments();
  void RecoverSegment(agreement::Index first, bool last);
  void ReadSyncedMark();

  void StartSegment(agreement::Index first);
  void WriteSyncedMark(agreement::Index first, std::uint64_t length, bool durable);
  void DropSegmentsThrough(agreement::Index index);
  void DiscardLog();
  void SyncFile(File& file);
  std::string Path(const std::string& name) const { return options_.folder + "/" + name; }
  std::string SegmentPath(agreement::Index first) const;
  template <typename F>
  void Guarded(F&& operation);

  LogStoreOptions options_;
  agreement::ReplicaId identity_;
  bool created_ = false;
  bool failed_ = false;
  agreement::PersistentState recovered_;
  agreement::HardState hard_state_;
  agreement::Index snapshot_index_ = 0;
  agreement::Term snapshot_term_ = 0;
  agreement::Index last_index_ = 0;
  std::deque<Segment> segments_;
  File lock_;
  File tail_;
  File mark_;
  bool unsynced_ = false;
  std::uint64_t synced_length_ = 0;
  /// Segment and length in the synced mark that was found at the start.
  agreement::Index mark_first_ = 0;
  std::uint64_t mark_length_ = 0;
  std::string buffer_;
  LogStoreCounters counters_;
};

}  // namespace wagtailslip::disk
