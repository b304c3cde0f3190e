#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "benchmark.h"
#include "wagtailslip/disk/log_store.h"

namespace wagtailslip::benchmark {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kChangeBytes = 300;

TimePoint Now() { return TimePoint(SteadyClock::now().time_since_epoch()); }

/// Mailbox of one replica thread.
class Mailbox {
 public:
  void Put(agreement::Message message) {
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
    }
    ready_.notify_one();
  }
  std::deque<agreement::Message> Take(Duration limit) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, limit, [this] { return !messages_.empty() || stopped_; });
    return std::exchange(messages_, {});
  }
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    ready_.notify_one();
  }
  bool stopped() {
    const std::lock_guard lock(mutex_);
    return stopped_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<agreement::Message> messages_;
  bool stopped_ = false;
};

/// One replica with its store, as the control thread of an entry process runs it.
class Worker {
 public:
  Worker(const std::string& folder, const std::vector<agreement::ReplicaId>& voters,
         const agreement::ReplicaId& id, std::map<std::string, Mailbox>& mailboxes,
         std::size_t batch)
      : mailboxes_(mailboxes), batch_(batch) {
    disk::LogStoreOptions options;
    options.folder = folder + "/" + id.process;
    options.identity = id;
    options.initial = agreement::BootstrapState(voters);
    store_ = std::make_unique<disk::LogStore>(std::move(options));
    agreement::ReplicaConfig config;
    config.id = id;
    replica_ = std::make_unique<agreement::Replica>(config, store_->TakeState(),
                                                    std::hash<std::string>{}(id.process), Now());
  }

  void Run() {
    Mailbox& mailbox = mailboxes_[replica_->id().process];
    TimePoint next_tick = Now();
    while (!mailbox.stopped()) {
      for (const agreement::Message& m : mailbox.Take(std::chrono::milliseconds(5))) {
        Do(replica_->Step(m, Now()));
      }
      if (Now() >= next_tick) {
        next_tick = Now() + std::chrono::milliseconds(20);
        Do(replica_->Tick(Now()));
      }
      // A closed loop: the next batch follows when the last one is committed.
      if (awaited_ == 0 && replica_->ReadIndex(Now())) {
        auto result = replica_->ProposeBatch(
            std::vector<std::string>(batch_, std::string(kChangeBytes, 'c')), Now());
        if (result.status == agreement::ProposeStatus::kAccepted) {
          awaited_ = result.first_index + batch_ - 1;
          proposed_at_ = Now();
          Do(std::move(result.effects));
        }
      }
      while (write_ > 0) {
        store_->Sync();
        Do(replica_->Persisted(std::exchange(write_, 0), Now()));
      }
    }
  }

  const std::vector<double>& latencies() const { return latencies_; }

 private:
  void Do(agreement::Effects effects) {
    if (effects.hard_state) store_->SaveHardState(*effects.hard_state);
    for (agreement::Message& m : effects.messages) {
      mailboxes_[m.to.process].Put(std::move(m));
    }
    store_->Write(effects);
    if (effects.write > 0) write_ = effects.write;
    for (const agreement::Entry& entry : effects.committed) {
      if (entry.index != awaited_) continue;
      latencies_.push_back(ToMilliseconds(Now() - proposed_at_));
      awaited_ = 0;
    }
  }

  std::map<std::string, Mailbox>& mailboxes_;
  std::size_t batch_;
  std::unique_ptr<disk::LogStore> store_;
  std::unique_ptr<agreement::Replica> replica_;
  std::uint64_t write_ = 0;
  agreement::Index awaited_ = 0;
  TimePoint proposed_at_{};
  std::vector<double> latencies_;
};

void RunBatch(const std::string& folder, std::size_t batch, double seconds) {
  std::filesystem::remove_all(folder);
  const std::vector<agreement::ReplicaId> voters = {{"a", 1}, {"b", 1}, {"c", 1}};
  std::map<std::string, Mailbox> mailboxes;
  std::vector<std::unique_ptr<Worker>> workers;
  for (const auto& id : voters) mailboxes[id.process];
  for (const auto& id : voters) {
    workers.push_back(std::make_unique<Worker>(folder, voters, id, mailboxes, batch));
  }
  std::vector<std::thread> threads;
  for (auto& worker : workers) threads.emplace_back([&worker] { worker->Run(); });
  // The first election takes up to two seconds.
  std::this_thread::sleep_for(std::chrono::duration<double>(2.2 + seconds));
  for (auto& [process, mailbox] : mailboxes) mailbox.Stop();
  for (std::thread& thread : threads) thread.join();
  std::vector<double> latencies;
  double busy_ms = 0;
  for (const auto& worker : workers) {
    for (const double ms : worker->latencies()) {
      latencies.push_back(ms);
      busy_ms += ms;
    }
  }
  const double rate = 1000 * static_cast<double>(latencies.size() * batch) / std::max(busy_ms, 1.0);
  std::printf("%6zu %12.0f %12.3f %12.3f\n", batch, rate, Percentile(latencies, 0.5),
              Percentile(latencies, 0.99));
}

}  // namespace

void RunCommit(const std::string& folder, double seconds) {
  std::printf("%6s %12s %12s %12s  (3 replicas, %zu bytes a change)\n", "batch", "commits/s",
              "median ms", "99% ms", kChangeBytes);
  for (const std::size_t batch : {1, 4, 16, 64, 256, 1024}) RunBatch(folder, batch, seconds);
}

}  // namespace wagtailslip::benchmark
