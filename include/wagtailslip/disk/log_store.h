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
  /// Identity stored in a new folder. For an existing folder, the process must be the same and the
  /// stored incarnation is kept.
  agreement::ReplicaId identity;
  /// Initial state of a new folder: BootstrapState for the first voters of a new log, otherwise
  /// empty.
  agreement::PersistentState initial;
  /// Size from which the next append starts a new segment.
  std::uint64_t segment_bytes = 8ULL * 1024 * 1024;
  /// If false, segments and the synced position are not synced, for benchmarks that exclude the
  /// cost of syncing.
  bool sync = true;
};

/// Counters since the store was opened.
struct LogStoreCounters {
  std::uint64_t syncs = 0;
  std::uint64_t bytes_written = 0;
  /// Bytes of torn writes that recovery removed.
  std::uint64_t torn_bytes_truncated = 0;
  std::uint64_t segments_removed = 0;
};

/// Durable storage of a replica in one data folder: hard state, log segments and snapshot. Not
/// thread-safe. After any error all further writes fail, because after a failed sync the kernel may
/// have dropped the data that it could not write.
class LogStore {
 public:
  /// Opens or creates the data folder and recovers its content.
  /// @throws FolderLockedError, DamagedDataError, IoError, DiskFullError, DiskError
  explicit LogStore(LogStoreOptions options);

  const agreement::ReplicaId& identity() const { return identity_; }
  /// True if the constructor created the content of the folder.
  bool created() const { return created_; }
  /// Returns the recovered state; empty after the first call.
  agreement::PersistentState TakeState() { return std::move(recovered_); }

  /// Writes the hard state and syncs it.
  void SaveHardState(const agreement::HardState& state);
  /// Performs the writes of step 3 of Effects: installs the snapshot, truncates and appends.
  /// Appended entries are durable only after Sync.
  void Write(const agreement::Effects& effects);
  /// Writes entries without a sync.
  void Append(const std::vector<agreement::Entry>& entries);
  void Sync();
  /// Durably removes all entries from `index` on.
  void TruncateFrom(agreement::Index index);
  /// Writes and syncs a snapshot and removes the segments that it covers. Discards the whole log if
  /// it does not contain the snapshot's last entry.
  void SaveSnapshot(const agreement::Snapshot& snapshot);

  agreement::Index last_index() const { return last_index_; }
  const LogStoreCounters& counters() const { return counters_; }
  /// Total bytes of all segments.
  std::uint64_t segment_bytes() const;

 private:
  /// Offset of an entry in its segment, and its term.
  struct EntryLocation {
    std::uint64_t offset;
    agreement::Term term;
  };
  struct Segment {
    agreement::Index first = 0;
    std::uint64_t length = 0;
    std::vector<EntryLocation> entries;
  };

  // Recovery, in log_recovery.cc.
  void LockFolder();
  void Recover();
  void CreateContent();
  bool RecoverHardState();
  void RecoverSnapshot();
  void RecoverSegments();
  void RecoverSegment(agreement::Index first, bool last);
  void ReadSyncedPosition();

  void StartSegment(agreement::Index first);
  /// Records that `length` bytes of the segment that starts at `first` are synced.
  /// @param durable whether the record itself is synced
  void WriteSyncedPosition(agreement::Index first, std::uint64_t length, bool durable);
  void RemoveSegmentsThrough(agreement::Index index);
  void DiscardLog();
  void SyncFile(File& file);
  std::string Path(const std::string& name) const { return options_.folder + "/" + name; }
  std::string SegmentPath(agreement::Index first) const;
  /// Runs an operation. If it throws, all later operations throw DiskError.
  template <typename F>
  void RunFailStop(F&& operation);

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
  File lock_file_;
  File segment_file_;  ///< The last segment, to which entries are appended.
  File synced_position_file_;
  bool unsynced_ = false;
  /// Synced bytes of the last segment.
  std::uint64_t synced_length_ = 0;
  /// Synced position as read at startup: first index of the segment (0 for none) and length.
  agreement::Index recovered_synced_segment_ = 0;
  std::uint64_t recovered_synced_length_ = 0;
  std::string buffer_;
  LogStoreCounters counters_;
};

}  // namespace wagtailslip::disk
