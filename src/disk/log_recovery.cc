#include <fcntl.h>
#include <sys/file.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <set>

#include "wagtailslip/disk/encoding.h"
#include "wagtailslip/disk/log_names.h"
#include "wagtailslip/disk/log_record.h"
#include "wagtailslip/disk/log_store.h"

namespace wagtailslip::disk {
namespace {

namespace fs = std::filesystem;

/// Returns the numbers in the names of the files that have the prefix.
std::set<std::uint64_t> NumberedFiles(const std::string& folder, const std::string& prefix) {
  std::set<std::uint64_t> numbers;
  for (const auto& item : fs::directory_iterator(folder)) {
    const std::string name = item.path().filename().string();
    if (!name.starts_with(prefix) || name.ends_with(".tmp")) continue;
    const std::string digits = name.substr(prefix.size());
    std::uint64_t number = 0;
    const char* end = digits.data() + digits.size();
    const auto [parsed, ec] = std::from_chars(digits.data(), end, number);
    if (ec == std::errc() && parsed == end) numbers.insert(number);
  }
  return numbers;
}

}  // namespace

void LogStore::LockFolder() {
  std::error_code ec;
  fs::create_directories(options_.folder, ec);
  if (ec) throw IoError("mkdir", options_.folder, ec.value());
  lock_file_ = File(Path(kLockName), O_RDWR | O_CREAT);
  if (::flock(lock_file_.fd(), LOCK_EX | LOCK_NB) != 0) {
    if (errno != EWOULDBLOCK) ThrowIoError("flock", lock_file_.path());
    throw FolderLockedError(options_.folder + " is in use by another process");
  }
}

void LogStore::Recover() {
  try {
    const bool found = RecoverHardState();
    synced_position_file_ = File(Path(kSyncedPositionName), O_RDWR | O_CREAT);
    ReadSyncedPosition();
    RecoverSnapshot();
    RecoverSegments();
    if (found) {
      if (hard_state_.commit > last_index_) {
        throw DamagedDataError(Path(kStateName), 0,
                               "the log ends at entry " + std::to_string(last_index_) +
                                   ", before the committed entry " +
                                   std::to_string(hard_state_.commit));
      }
      return;
    }
  } catch (const fs::filesystem_error& error) {
    throw IoError("read", options_.folder, error.code().value());
  }
  CreateContent();
}

void LogStore::CreateContent() {
  // The log of a new folder is written before its state file. A crash in between leaves a prefix of
  // the initial entries; any other content means that the state file was lost.
  const auto& initial = options_.initial.entries;
  const auto& found = recovered_.entries;
  if (recovered_.snapshot || found.size() > initial.size() ||
      !std::equal(found.begin(), found.end(), initial.begin())) {
    throw DamagedDataError(Path(kStateName), 0, "the file is missing from a folder in use");
  }
  created_ = true;
  identity_ = options_.identity;
  if (identity_.process.empty()) throw DiskError("a new data folder needs a process id");
  DiscardLog();
  failed_ = false;
  Append(initial);
  Sync();
  SaveHardState(options_.initial.hard_state);
  recovered_ = std::move(options_.initial);
}

bool LogStore::RecoverHardState() {
  const std::string path = Path(kStateName);
  if (!fs::exists(path)) return false;
  const std::string data = File(path, O_RDONLY).ReadAll();
  const auto body = DecodeChecksummed(kStateMagic, data);
  if (!body) throw DamagedDataError(path, 0, "the checksum of the state file is wrong");
  Decoder decoder(*body);
  identity_.process = std::string(decoder.Bytes());
  identity_.incarnation = decoder.U64();
  hard_state_.term = decoder.U64();
  if (decoder.U8() != 0) {
    agreement::ReplicaId vote;
    vote.process = std::string(decoder.Bytes());
    vote.incarnation = decoder.U64();
    hard_state_.vote = std::move(vote);
  }
  hard_state_.commit = decoder.U64();
  if (!decoder.ok()) throw DamagedDataError(path, 0, "the state file has an unexpected format");
  if (!options_.identity.process.empty() && options_.identity.process != identity_.process) {
    throw DiskError(options_.folder + " belongs to process " + identity_.process + ", not to " +
                    options_.identity.process);
  }
  recovered_.hard_state = hard_state_;
  return true;
}

void LogStore::RecoverSnapshot() {
  const auto numbers = NumberedFiles(options_.folder, kSnapshotPrefix);
  if (numbers.empty()) return;
  const std::string path = Path(NumberedName(kSnapshotPrefix, *numbers.rbegin()));
  const std::string data = File(path, O_RDONLY).ReadAll();
  const auto body = DecodeChecksummed(kSnapshotMagic, data);
  auto snapshot = body ? DecodeSnapshot(*body) : std::nullopt;
  if (!snapshot || snapshot->index != *numbers.rbegin()) {
    throw DamagedDataError(path, 0, "the checksum of the snapshot is wrong");
  }
  for (const std::uint64_t number : numbers) {
    if (number != snapshot->index) RemoveFile(Path(NumberedName(kSnapshotPrefix, number)));
  }
  snapshot_index_ = snapshot->index;
  snapshot_term_ = snapshot->term;
  last_index_ = snapshot_index_;
  recovered_.snapshot = std::make_shared<const agreement::Snapshot>(std::move(*snapshot));
}

void LogStore::ReadSyncedPosition() {
  const std::string data = synced_position_file_.ReadAll();
  const auto body = DecodeChecksummed(kSyncedPositionMagic, data);
  // A power failure can leave a torn synced position. Recovery then relies on the synced lengths in
  // the records.
  if (!body) return;
  Decoder decoder(*body);
  recovered_synced_segment_ = decoder.U64();
  recovered_synced_length_ = decoder.U64();
}

void LogStore::RecoverSegments() {
  const auto numbers = NumberedFiles(options_.folder, kSegmentPrefix);
  if (recovered_synced_segment_ != 0 &&
      (numbers.empty() || *numbers.rbegin() < recovered_synced_segment_)) {
    throw DamagedDataError(SegmentPath(recovered_synced_segment_), 0, "the segment is missing");
  }
  for (const std::uint64_t first : numbers) RecoverSegment(first, first == *numbers.rbegin());
  if (segments_.empty()) return;
  // If the log ends before the snapshot or conflicts with it, the process stopped after it saved
  // the snapshot and before it discarded the log.
  bool discard = last_index_ < snapshot_index_;
  for (const agreement::Entry& entry : recovered_.entries) {
    if (entry.index == snapshot_index_ && entry.term != snapshot_term_) discard = true;
  }
  if (!discard && segments_.front().first > snapshot_index_ + 1) {
    throw DamagedDataError(SegmentPath(segments_.front().first), 0,
                           "entries between the snapshot and this segment are missing");
  }
  if (discard) {
    recovered_.entries.clear();
    DiscardLog();
    return;
  }
  segment_file_ = File(SegmentPath(segments_.back().first), O_RDWR);
  synced_length_ = segments_.back().length;
  RemoveSegmentsThrough(snapshot_index_);
  std::erase_if(recovered_.entries, [this](const auto& e) { return e.index <= snapshot_index_; });
}

void LogStore::RecoverSegment(agreement::Index first, bool last) {
  const std::string path = SegmentPath(first);
  const std::string data = File(path, O_RDONLY).ReadAll();
  const std::string_view view(data);
  const auto header = DecodeSegmentHeader(view);
  if (!header || *header != first) {
    // Only a segment without records can result from a crash during its creation.
    if (last && data.size() <= kSegmentHeaderBytes && recovered_synced_segment_ != first) {
      counters_.torn_bytes_truncated += data.size();
      RemoveFile(path);
      SyncFolder(options_.folder);
      return;
    }
    throw DamagedDataError(path, 0, "the segment header is damaged");
  }
  if (!segments_.empty() && first != last_index_ + 1) {
    throw DamagedDataError(path, 0, "entries before this segment are missing");
  }
  Segment segment{first, kSegmentHeaderBytes, {}};
  agreement::Index next = first;
  while (segment.length < view.size()) {
    auto record = DecodeRecord(view.substr(segment.length));
    if (!record || record->entry.index != next) break;
    segment.entries.push_back({segment.length, record->entry.term});
    segment.length += record->size;
    recovered_.entries.push_back(std::move(record->entry));
    ++next;
  }
  const bool torn = segment.length < view.size();
  if (torn && !last) throw DamagedDataError(path, segment.length, "a record is damaged");
  if (recovered_synced_segment_ == first && recovered_synced_length_ > segment.length) {
    throw DamagedDataError(path, segment.length, "a synced record is damaged or missing");
  }
  // If a later record was written after this offset was synced, the damaged bytes were
  // acknowledged. Records of the same unsynced write are no evidence, because the pages of one
  // write reach the disk in any order.
  for (std::uint64_t at = segment.length + 1; torn && at < view.size(); ++at) {
    const auto record = DecodeRecord(view.substr(at));
    if (record && record->synced_length > segment.length) {
      throw DamagedDataError(path, segment.length, "a synced record is damaged");
    }
  }
  if (torn) {
    counters_.torn_bytes_truncated += view.size() - segment.length;
    File file(path, O_RDWR);
    file.Truncate(segment.length);
    SyncFile(file);
  }
  last_index_ = next - 1;
  segments_.push_back(std::move(segment));
}

}  // namespace wagtailslip::disk
