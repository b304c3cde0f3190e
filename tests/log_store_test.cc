#include "wagtailslip/disk/log_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>

namespace wagtailslip::disk {
namespace {

namespace fs = std::filesystem;

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(RecoversWhatWasSynced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ =
        (fs::temp_directory_path() / ("wts-log-store-" + std::to_string(::getpid()))).string();
    fs::remove_all(folder_);
  }
  void tearDown() override { fs::remove_all(folder_); }

  LogStoreOptions Options() const {
    LogStoreOptions options;
    options.folder = folder_;
    options.identity = {"a", 1};
    return options;
  }

  void RecoversWhatWasSynced() {
    {
      LogStore store(Options());
      CPPUNIT_ASSERT(store.created());
      CPPUNIT_ASSERT_THROW(LogStore second(Options()), FolderLockedError);
      store.Append({{1, 1, agreement::EntryKind::kCommand, "one"},
                    {2, 1, agreement::EntryKind::kCommand, "two"}});
      store.Sync();
      store.SaveHardState({3, agreement::ReplicaId{"b", 7}});
      store.TruncateFrom(2);
      store.Append({{2, 3, agreement::EntryKind::kCommand, "three"}});
      store.Sync();
    }
    LogStore store(Options());
    const auto state = store.TakeState();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("three"), state.entries[1].data);
    CPPUNIT_ASSERT(state.hard_state == (agreement::HardState{3, agreement::ReplicaId{"b", 7}}));
  }

 private:
  std::string folder_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace
}  // namespace wagtailslip::disk
