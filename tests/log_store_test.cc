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

Entry Command(Index index, const std::string& data, agreement::Term term = 1) {
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
  CPPUNIT_TEST(RecoversWhatWasSynced);
  CPPUNIT_TEST(CutsATornTailAtEveryByte);
  CPPUNIT_TEST(RefusesAFlippedBitInSyncedData);
  CPPUNIT_TEST(RefusesAFlippedBitWithoutTheMark);
  CPPUNIT_TEST(AcceptsPagesOfOneWriteInAnyOrder);
  CPPUNIT_TEST(RefusesDamagedStateAndSnapshot);
  CPPUNIT_TEST(RefusesMissingFiles);
  CPPUNIT_TEST(FullDiskStopsTheStore);
  CPPUNIT_TEST(SnapshotsRemoveSegments);
  CPPUNIT_TEST(TruncatesAcrossSegments);
  CPPUNIT_TEST(InterruptedCreationIsRepeated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ =
        (fs::temp_directory_path() / ("wts-log-store-" + std::to_string(::getpid()))).string();
    fs::remove_all(folder_);
  }
  void tearDown() override { fs::remove_all(folder_); }

  void RecoversWhatWasSynced() {
    {
      LogStore store(Options());
      CPPUNIT_ASSERT(store.created());
      CPPUNIT_ASSERT_THROW(LogStore second(Options()), FolderLockedError);
      store.Append({Command(1, "one"), Command(2, "two")});
      store.Sync();
      store.SaveHardState({3, agreement::ReplicaId{"b", 7}, 1});
      store.TruncateFrom(2);
      store.Append({Command(2, "three", 3)});
      store.Sync();
    }
    LogStore store(Options());
    CPPUNIT_ASSERT(!store.created());
    const auto state = store.TakeState();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("three"), state.entries[1].data);
    CPPUNIT_ASSERT(state.hard_state == (agreement::HardState{3, agreement::ReplicaId{"b", 7}, 1}));
  }

  // Guards against losing synced entries, or starting with a partial one, after a power failure
  // in the middle of a write.
  void CutsATornTailAtEveryByte() {
    const std::uint64_t synced = WriteSample();
    const std::string segment = ReadFile(Segment(1));
    for (std::size_t length = 0; length <= segment.size(); ++length) {
      WriteFile(Segment(1), segment.substr(0, length));
      if (length < synced) {
        CPPUNIT_ASSERT_THROW(LogStore store(Options()), DamagedDataError);
        continue;
      }
      LogStore store(Options());
      const auto entries = store.TakeState().entries;
      CPPUNIT_ASSERT(entries.size() >= 4);
      AssertSample(entries);
      if (length == segment.size()) CPPUNIT_ASSERT_EQUAL(std::size_t{7}, entries.size());
    }
  }

  // Guards against serving a log whose acknowledged entries were damaged on the disk.
  void RefusesAFlippedBitInSyncedData() {
    const std::uint64_t synced = WriteSample();
    const std::string segment = ReadFile(Segment(1));
    for (std::size_t at = 0; at < synced; ++at) {
      std::string damaged = segment;
      damaged[at] = static_cast<char>(damaged[at] ^ (1 << at % 8));
      WriteFile(Segment(1), damaged);
      try {
        LogStore store(Options());
        CPPUNIT_FAIL("started with damage at byte " + std::to_string(at));
      } catch (const DamagedDataError& error) {
        CPPUNIT_ASSERT_EQUAL(Segment(1), error.path());
        CPPUNIT_ASSERT(error.offset() <= at);
      }
    }
  }

  // The same after a power failure, which may lose the unsynced mark: later records then prove
  // that the damaged one was synced.
  void RefusesAFlippedBitWithoutTheMark() {
    WriteSample();
    const std::string segment = ReadFile(Segment(1));
    const std::size_t unsynced_start = unsynced_start_;
    for (std::size_t at = 0; at < segment.size(); ++at) {
      std::string damaged = segment;
      damaged[at] = static_cast<char>(damaged[at] ^ (1 << at % 8));
      WriteFile(Segment(1), damaged);
      WriteFile(folder_ + "/" + kSyncedPositionName, "");
      if (at < unsynced_start) {
        CPPUNIT_ASSERT_THROW(LogStore store(Options()), DamagedDataError);
      } else {
        LogStore store(Options());
        const auto entries = store.TakeState().entries;
        CPPUNIT_ASSERT(entries.size() >= 4);
        AssertSample(entries);
      }
    }
  }

  void AcceptsPagesOfOneWriteInAnyOrder() {
    const std::uint64_t synced = WriteSample();
    std::string segment = ReadFile(Segment(1));
    segment.replace(synced, 20, 20, '\0');
    WriteFile(Segment(1), segment);
    LogStore store(Options());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, store.TakeState().entries.size());
  }

  void RefusesDamagedStateAndSnapshot() {
    {
      LogStore store(Options());
      store.Append({Command(1, "one"), Command(2, "two")});
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

  void RefusesMissingFiles() {
    {
      LogStore store(Small());
      for (Index i = 1; i <= 40; ++i) store.Append({Command(i, std::string(50, 'x'))});
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
      CPPUNIT_ASSERT_THROW_MESSAGE(name, LogStore store(Small()), DamagedDataError);
      fs::rename(folder_ + ".away", folder_ + "/" + name);
    }
    LogStore store(Small());
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, store.TakeState().entries.size());
  }

  // Guards against acknowledging entries that a full disk did not take.
  void FullDiskStopsTheStore() {
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit old{};
    ::getrlimit(RLIMIT_FSIZE, &old);
    {
      LogStore store(Options());
      store.Append({Command(1, "kept")});
      store.Sync();
      const rlimit limit{4096, old.rlim_max};
      ::setrlimit(RLIMIT_FSIZE, &limit);
      CPPUNIT_ASSERT_THROW(store.Append({Command(2, std::string(10000, 'x'))}), DiskFullError);
      ::setrlimit(RLIMIT_FSIZE, &old);
      CPPUNIT_ASSERT_THROW(store.Sync(), DiskError);
      CPPUNIT_ASSERT_THROW(store.SaveHardState({2, {}, 0}), DiskError);
    }
    LogStore store(Options());
    const auto entries = store.TakeState().entries;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), entries[0].data);
  }

  void SnapshotsRemoveSegments() {
    {
      LogStore store(Small());
      for (Index i = 1; i <= 40; ++i) store.Append({Command(i, std::string(50, 'x'))});
      store.Sync();
      const std::uint64_t before = store.segment_bytes();
      store.SaveSnapshot(SampleSnapshot(30));
      CPPUNIT_ASSERT(store.segment_bytes() < before / 2);
    }
    {
      LogStore store(Small());
      const auto state = store.TakeState();
      CPPUNIT_ASSERT_EQUAL(Index{30}, state.snapshot->index);
      CPPUNIT_ASSERT_EQUAL(std::size_t{10}, state.entries.size());
      CPPUNIT_ASSERT_EQUAL(Index{31}, state.entries[0].index);
      // A snapshot ahead of the log replaces it.
      store.SaveSnapshot(SampleSnapshot(100));
      store.Append({Command(101, "next")});
      store.Sync();
    }
    LogStore store(Small());
    const auto state = store.TakeState();
    CPPUNIT_ASSERT_EQUAL(Index{100}, state.snapshot->index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.entries.size());
  }

  void TruncatesAcrossSegments() {
    for (Index from = 1; from <= 21; ++from) {
      fs::remove_all(folder_);
      {
        LogStore store(Small());
        for (Index i = 1; i <= 20; ++i) store.Append({Command(i, std::string(50, 'x'))});
        store.Sync();
        store.TruncateFrom(from);
        store.Append({Command(from, "new", 2)});
        store.Sync();
      }
      LogStore store(Small());
      const auto entries = store.TakeState().entries;
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(from), entries.size());
      CPPUNIT_ASSERT_EQUAL(std::string("new"), entries.back().data);
    }
  }

  void InterruptedCreationIsRepeated() {
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
  LogStoreOptions Small() const {
    LogStoreOptions options = Options();
    options.segment_bytes = 300;
    return options;
  }
  std::string Segment(Index first) const {
    return folder_ + "/" + NumberedName(kSegmentPrefix, first);
  }
  static std::string Sample(Index index) {
    return "entry " + std::to_string(index) + std::string(index * 3, '.');
  }
  static agreement::Snapshot SampleSnapshot(Index index) {
    agreement::Snapshot snapshot{index, 1, {}, "state"};
    snapshot.membership.Set({"a", 1}, agreement::MemberRole::kVoter);
    return snapshot;
  }

  /// Two synced writes of two entries, and an unsynced one of three.
  /// @return synced length of the segment
  std::uint64_t WriteSample() {
    LogStore store(Options());
    store.Append({Command(1, Sample(1)), Command(2, Sample(2))});
    store.Sync();
    store.Append({Command(3, Sample(3)), Command(4, Sample(4))});
    store.Sync();
    const std::uint64_t synced = store.segment_bytes();
    unsynced_start_ = synced;
    store.Append({Command(5, Sample(5)), Command(6, Sample(6)), Command(7, Sample(7))});
    return synced;
  }
  static void AssertSample(const std::vector<Entry>& entries) {
    for (const Entry& entry : entries) CPPUNIT_ASSERT_EQUAL(Sample(entry.index), entry.data);
  }

  std::string folder_;
  std::size_t unsynced_start_ = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace
}  // namespace wagtailslip::disk
