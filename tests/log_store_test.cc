#include "wagtailslip/disk/log_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "wagtailslip/disk/log_names.h"

namespace wagtailslip::disk {
namespace {

namespace fs = std::filesystem;
using agreement::Entry;
using agreement::EntryKind;
using agreement::Index;

Entry CommandEntry(Index index, const std::string& data, agreement::Term term = 1) {
  return {index, term, EntryKind::kCommand, data};
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void WriteFile(const std::string& path, const std::string& data) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << data;
}

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(RecoversSyncedEntries);
  CPPUNIT_TEST(TruncatesTornWriteAtEveryByte);
  CPPUNIT_TEST(DetectsFlippedBitInSyncedData);
  CPPUNIT_TEST(DetectsFlippedBitWithoutSyncedPosition);
  CPPUNIT_TEST(TruncatesUnsyncedWriteWithMissingPage);
  CPPUNIT_TEST(DetectsDamagedStateAndSnapshot);
  CPPUNIT_TEST(DetectsMissingFiles);
  CPPUNIT_TEST(FullDiskStopsTheStore);
  CPPUNIT_TEST(RecoversOnceTheDiskHasRoom);
  CPPUNIT_TEST(SnapshotsRemoveSegments);
  CPPUNIT_TEST(TruncatesAcrossSegments);
  CPPUNIT_TEST(RetriesInterruptedCreation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ =
        (fs::temp_directory_path() / ("wts-log-store-" + std::to_string(::getpid()))).string();
    fs::remove_all(folder_);
  }
  void tearDown() override { fs::remove_all(folder_); }

  void RecoversSyncedEntries() {
    {
      LogStore store(Options());
      CPPUNIT_ASSERT(store.created());
      CPPUNIT_ASSERT_THROW(LogStore second(Options()), FolderLockedError);
      store.Append({CommandEntry(1, "one"), CommandEntry(2, "two")});
      store.Sync();
      store.SaveHardState({3, agreement::ReplicaId{"b", 7}, 1});
      store.TruncateFrom(2);
      store.Append({CommandEntry(2, "three", 3)});
      store.Sync();
    }
    LogStore store(Options());
    CPPUNIT_ASSERT(!store.created());
    const auto state = store.TakeState();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("three"), state.entries[1].data);
    CPPUNIT_ASSERT(state.hard_state == (agreement::HardState{3, agreement::ReplicaId{"b", 7}, 1}));
  }

  // Guards against losing synced entries, or recovering a partial one, after a power failure during
  // a write: truncates the segment at every length.
  void TruncatesTornWriteAtEveryByte() {
    const std::uint64_t synced = WriteSample();
    const std::string segment = ReadFile(SegmentPath(1));
    for (std::size_t length = 0; length <= segment.size(); ++length) {
      WriteFile(SegmentPath(1), segment.substr(0, length));
      if (length < synced) {
        CPPUNIT_ASSERT_THROW(LogStore store(Options()), DamagedDataError);
        continue;
      }
      LogStore store(Options());
      const auto entries = store.TakeState().entries;
      CPPUNIT_ASSERT(entries.size() >= 4);
      AssertSampleData(entries);
      if (length == segment.size()) CPPUNIT_ASSERT_EQUAL(std::size_t{7}, entries.size());
    }
  }

  // Guards against starting with a log whose acknowledged entries were damaged on disk: flips a bit
  // in every synced byte.
  void DetectsFlippedBitInSyncedData() {
    const std::uint64_t synced = WriteSample();
    const std::string segment = ReadFile(SegmentPath(1));
    for (std::size_t at = 0; at < synced; ++at) {
      std::string damaged = segment;
      damaged[at] = static_cast<char>(damaged[at] ^ (1 << at % 8));
      WriteFile(SegmentPath(1), damaged);
      try {
        LogStore store(Options());
        CPPUNIT_FAIL("started with damage at byte " + std::to_string(at));
      } catch (const DamagedDataError& error) {
        CPPUNIT_ASSERT_EQUAL(SegmentPath(1), error.path());
        CPPUNIT_ASSERT(error.offset() <= at);
      }
    }
  }

  // As above, after a power failure that lost the synced position, which is not synced itself. The
  // synced length in later records then shows that the damaged record had been synced.
  void DetectsFlippedBitWithoutSyncedPosition() {
    WriteSample();
    const std::string segment = ReadFile(SegmentPath(1));
    const std::size_t unsynced_start = unsynced_start_;
    for (std::size_t at = 0; at < segment.size(); ++at) {
      std::string damaged = segment;
      damaged[at] = static_cast<char>(damaged[at] ^ (1 << at % 8));
      WriteFile(SegmentPath(1), damaged);
      WriteFile(folder_ + "/" + kSyncedPositionName, "");
      if (at < unsynced_start) {
        CPPUNIT_ASSERT_THROW(LogStore store(Options()), DamagedDataError);
      } else {
        LogStore store(Options());
        const auto entries = store.TakeState().entries;
        CPPUNIT_ASSERT(entries.size() >= 4);
        AssertSampleData(entries);
      }
    }
  }

  // Guards against refusing to start when only a later page of an unsynced write reached the disk:
  // the pages of one write are written in any order.
  void TruncatesUnsyncedWriteWithMissingPage() {
    const std::uint64_t synced = WriteSample();
    std::string segment = ReadFile(SegmentPath(1));
    segment.replace(synced, 20, 20, '\0');
    WriteFile(SegmentPath(1), segment);
    LogStore store(Options());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, store.TakeState().entries.size());
  }

  void DetectsDamagedStateAndSnapshot() {
    {
      LogStore store(Options());
      store.Append({CommandEntry(1, "one"), CommandEntry(2, "two")});
      store.Sync();
      store.SaveHardState({1, agreement::ReplicaId{"a", 1}, 0});
      store.SaveSnapshot(SampleSnapshot(2));
    }
    const std::string paths[] = {folder_ + "/" + kStateName,
                                 folder_ + "/" + NumberedName(kSnapshotPrefix, 2)};
    for (const std::string& path : paths) {
      const std::string data = ReadFile(path);
      for (std::size_t at = 0; at < data.size(); ++at) {
        std::string damaged = data;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
        WriteFile(path, damaged);
        CPPUNIT_ASSERT_THROW(LogStore store(Options()), DamagedDataError);
      }
      WriteFile(path, data);
    }
    LogStore store(Options());
    const auto state = store.TakeState();
    CPPUNIT_ASSERT(state.snapshot && *state.snapshot == SampleSnapshot(2));
  }

  // Guards against starting when any file but the lock and the synced position is missing.
  void DetectsMissingFiles() {
    {
      LogStore store(SmallSegmentOptions());
      for (Index i = 1; i <= 40; ++i) store.Append({CommandEntry(i, std::string(50, 'x'))});
      store.Sync();
      store.SaveHardState({1, {}, 40});
    }
    std::vector<std::string> names;
    for (const auto& item : fs::directory_iterator(folder_)) {
      const std::string name = item.path().filename().string();
      if (name != kLockName && name != kSyncedPositionName) names.push_back(name);
    }
    CPPUNIT_ASSERT(names.size() > 4);
    for (const std::string& name : names) {
      fs::rename(folder_ + "/" + name, folder_ + ".away");
      CPPUNIT_ASSERT_THROW_MESSAGE(name, LogStore store(SmallSegmentOptions()), DamagedDataError);
      fs::rename(folder_ + ".away", folder_ + "/" + name);
    }
    LogStore store(SmallSegmentOptions());
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, store.TakeState().entries.size());
  }

  // Guards against acknowledging entries that were not stored because the disk was full.
  void FullDiskStopsTheStore() {
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit old{};
    ::getrlimit(RLIMIT_FSIZE, &old);
    {
      LogStore store(Options());
      store.Append({CommandEntry(1, "kept")});
      store.Sync();
      const rlimit limit{4096, old.rlim_max};
      ::setrlimit(RLIMIT_FSIZE, &limit);
      CPPUNIT_ASSERT_THROW(store.Append({CommandEntry(2, std::string(10000, 'x'))}), DiskFullError);
      ::setrlimit(RLIMIT_FSIZE, &old);
      CPPUNIT_ASSERT_THROW(store.Sync(), DiskError);
      CPPUNIT_ASSERT_THROW(store.SaveHardState({2, {}, 0}), DiskError);
    }
    LogStore store(Options());
    const auto entries = store.TakeState().entries;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), entries[0].data);
  }

  // Guards against a log that cannot be read or continued after its disk was full in the middle of
  // a write, wherever the write stopped: synced entries are kept, and new ones are taken.
  void RecoversOnceTheDiskHasRoom() {
    rlimit unlimited{};
    ::getrlimit(RLIMIT_FSIZE, &unlimited);
    const auto previous = std::signal(SIGXFSZ, SIG_IGN);
    for (rlim_t room = 0; room < 400; room += 7) {
      fs::remove_all(folder_);
      Index synced = 0;
      {
        LogStore store(Options());
        rlimit full = unlimited;
        full.rlim_cur = room;
        ::setrlimit(RLIMIT_FSIZE, &full);
        try {
          for (Index index = 1; index <= 40; ++index) {
            store.Append({CommandEntry(index, "entry " + std::to_string(index))});
            store.Sync();
            synced = index;
            store.SaveHardState({index, agreement::ReplicaId{"b", 7}, index});
          }
        } catch (const DiskError&) {
          // The process ends here.
          CPPUNIT_ASSERT(synced < 40);
        }
        ::setrlimit(RLIMIT_FSIZE, &unlimited);
      }
      for (int restart = 0; restart < 2; ++restart) {
        LogStore store(Options());
        const auto entries = store.TakeState().entries;
        CPPUNIT_ASSERT(entries.size() >= synced);
        store.Append({CommandEntry(entries.size() + 1, "later")});
        store.Sync();
        synced = entries.size() + 1;
      }
    }
    std::signal(SIGXFSZ, previous);
  }

  void SnapshotsRemoveSegments() {
    {
      LogStore store(SmallSegmentOptions());
      for (Index i = 1; i <= 40; ++i) store.Append({CommandEntry(i, std::string(50, 'x'))});
      store.Sync();
      const std::uint64_t before = store.segment_bytes();
      store.SaveSnapshot(SampleSnapshot(30));
      CPPUNIT_ASSERT(store.segment_bytes() < before / 2);
    }
    {
      LogStore store(SmallSegmentOptions());
      const auto state = store.TakeState();
      CPPUNIT_ASSERT_EQUAL(Index{30}, state.snapshot->index);
      CPPUNIT_ASSERT_EQUAL(std::size_t{10}, state.entries.size());
      CPPUNIT_ASSERT_EQUAL(Index{31}, state.entries[0].index);
      // A snapshot beyond the end of the log replaces the log.
      store.SaveSnapshot(SampleSnapshot(100));
      store.Append({CommandEntry(101, "next")});
      store.Sync();
    }
    LogStore store(SmallSegmentOptions());
    const auto state = store.TakeState();
    CPPUNIT_ASSERT_EQUAL(Index{100}, state.snapshot->index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.entries.size());
  }

  void TruncatesAcrossSegments() {
    for (Index from = 1; from <= 21; ++from) {
      fs::remove_all(folder_);
      {
        LogStore store(SmallSegmentOptions());
        for (Index i = 1; i <= 20; ++i) store.Append({CommandEntry(i, std::string(50, 'x'))});
        store.Sync();
        store.TruncateFrom(from);
        store.Append({CommandEntry(from, "new", 2)});
        store.Sync();
      }
      LogStore store(SmallSegmentOptions());
      const auto entries = store.TakeState().entries;
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(from), entries.size());
      CPPUNIT_ASSERT_EQUAL(std::string("new"), entries.back().data);
    }
  }

  void RetriesInterruptedCreation() {
    LogStoreOptions options = Options();
    options.initial = agreement::BootstrapState({{"a", 1}, {"b", 1}});
    { const LogStore store(options); }
    fs::remove(folder_ + "/" + kStateName);
    LogStore store(options);
    CPPUNIT_ASSERT(store.created());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.TakeState().entries.size());
  }

 private:
  LogStoreOptions Options() const {
    LogStoreOptions options;
    options.folder = folder_;
    options.identity = {"a", 1};
    return options;
  }
  LogStoreOptions SmallSegmentOptions() const {
    LogStoreOptions options = Options();
    options.segment_bytes = 300;
    return options;
  }
  std::string SegmentPath(Index first) const {
    return folder_ + "/" + NumberedName(kSegmentPrefix, first);
  }
  static std::string SampleData(Index index) {
    return "entry " + std::to_string(index) + std::string(index * 3, '.');
  }
  static agreement::Snapshot SampleSnapshot(Index index) {
    agreement::Snapshot snapshot{index, 1, {}, "state"};
    snapshot.membership.Set({"a", 1}, agreement::MemberRole::kVoter);
    return snapshot;
  }

  /// Writes and syncs two entries twice, then writes three entries without a sync.
  /// @return synced length of the segment in bytes
  std::uint64_t WriteSample() {
    LogStore store(Options());
    store.Append({CommandEntry(1, SampleData(1)), CommandEntry(2, SampleData(2))});
    store.Sync();
    store.Append({CommandEntry(3, SampleData(3)), CommandEntry(4, SampleData(4))});
    store.Sync();
    const std::uint64_t synced = store.segment_bytes();
    unsynced_start_ = synced;
    store.Append({CommandEntry(5, SampleData(5)), CommandEntry(6, SampleData(6)),
                  CommandEntry(7, SampleData(7))});
    return synced;
  }
  static void AssertSampleData(const std::vector<Entry>& entries) {
    for (const Entry& entry : entries) CPPUNIT_ASSERT_EQUAL(SampleData(entry.index), entry.data);
  }

  std::string folder_;
  std::size_t unsynced_start_ = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace
}  // namespace wagtailslip::disk
