#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <memory>

#include "benchmark.h"
#include "wagtailslip/disk/log_store.h"

namespace wagtailslip::benchmark {
namespace {

constexpr std::size_t kChangeBytes = 300;
constexpr std::size_t kStateBytes = 64 * 1024;
constexpr std::size_t kSnapshotEvery = 500;

void WriteChanges(const disk::LogStoreOptions& options, std::size_t changes, bool snapshots) {
  disk::LogStore store(options);
  agreement::Snapshot snapshot;
  snapshot.membership.Set(options.identity, agreement::MemberRole::kVoter);
  snapshot.term = 1;
  snapshot.data = std::string(kStateBytes, 's');
  store.SaveHardState({1, {}, 0});
  for (std::size_t i = 1; i <= changes; ++i) {
    store.Append({{i, 1, agreement::EntryKind::kCommand, std::string(kChangeBytes, 'c')}});
    if (i % 100 == 0) store.Sync();
    if (snapshots && i % kSnapshotEvery == 0) {
      snapshot.index = i;
      store.SaveSnapshot(snapshot);
    }
  }
  store.Sync();
}

}  // namespace

void RunRestart(const std::string& folder) {
  std::printf("%8s %10s %12s %14s %14s\n", "changes", "snapshots", "restart ms", "memory KiB",
              "folder KiB");
  for (const std::size_t changes : {100, 1000, 10000}) {
    for (const bool snapshots : {false, true}) {
      std::filesystem::remove_all(folder);
      disk::LogStoreOptions options;
      options.folder = folder;
      options.identity = {"a", 1};
      options.segment_bytes = 256 * 1024;
      WriteChanges(options, changes, snapshots);
      std::uint64_t size = 0;
      for (const auto& item : std::filesystem::directory_iterator(folder)) {
        size += item.file_size();
      }
      ::malloc_trim(0);
      const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
      const auto start = std::chrono::steady_clock::now();
      auto store = std::make_unique<disk::LogStore>(options);
      agreement::ReplicaConfig config;
      config.id = options.identity;
      const agreement::Replica replica(config, store->TakeState(), 1, TimePoint{});
      const auto span = std::chrono::steady_clock::now() - start;
      const std::size_t after = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
      std::printf("%8zu %10s %12.2f %14zu %14llu\n", changes, snapshots ? "yes" : "no",
                  std::chrono::duration<double, std::milli>(span).count(), (after - before) / 1024,
                  static_cast<unsigned long long>(size / 1024));
    }
  }
}

}  // namespace wagtailslip::benchmark
