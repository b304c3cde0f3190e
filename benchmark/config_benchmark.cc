// Measures the configuration state machine and the rollout controller.
//   config_benchmark [machine|controller]...
// Prints one tab-separated row per measurement. Sizes increase, so that the growth of the cost with
// the size can be read off.
#include <malloc.h>  // for mallinfo2 and malloc_trim, which are glibc extensions

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include "wagtailslip/config/state_machine.h"
#include "wagtailslip/rollout/controller.h"

namespace {

using wagtailslip::Digest;
using wagtailslip::Sha256;
using wagtailslip::TimePoint;
using wagtailslip::UtcTime;
namespace config = wagtailslip::config;
namespace rollout = wagtailslip::rollout;

/// Returns the CPU time that `work` takes, in seconds. CPU time depends less on other load than
/// wall time does.
double CpuSeconds(const std::function<void()>& work) {
  const std::clock_t start = std::clock();
  work();
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Estimates the size of a snapshot in a compact encoding from its variable parts: strings by their
/// length, digests as 32 bytes, integers as 4 bytes on average.
std::size_t SnapshotBytes(const config::State& state) {
  constexpr std::size_t kDigestBytes = 32;
  constexpr std::size_t kIntegerBytes = 4;
  std::size_t bytes = 0;
  for (const auto& [id, command] : state.commands) {
    const auto& answer = command.result;
    bytes += id.size() + kDigestBytes + 4 * kIntegerBytes + answer.conflicting_request_id.size() +
             answer.code.size() + answer.field.size() + answer.message.size() +
             answer.object.size();
  }
  for (const auto& [key, call] : state.calls) {
    bytes += key.size() + call.account.size() + call.key.size() + 2 * kDigestBytes +
             call.owner.size() + 7 * kIntegerBytes + call.content_type.size() + call.body.size();
  }
  for (const auto& [key, entry] : state.rules) {
    bytes += key.size() + entry.rule.account.size() + entry.rule.kind.size() +
             entry.request_id.size() + 2 * 8 + 4 * kIntegerBytes;
  }
  for (const auto& [id, endpoint] : state.endpoints) {
    const auto& info = endpoint.info;
    bytes += id.size() + info.endpoint_id.size() + info.address.size() + info.agent_address.size() +
             info.model.size() + info.region.size() + info.failure_domain.size() +
             6 * kIntegerBytes;
  }
  for (const auto& [id, item] : state.rollouts) {
    bytes += id.size() + kDigestBytes + item.spec.model.size() + item.spec.version.size() +
             item.spec.origin.size() + 9 * kIntegerBytes;
  }
  return bytes + state.evicted_key_hashes.size() * 8;
}

/// Returns a mix of records as on a busy day: mostly at-most-once calls and some operator commands.
std::vector<config::Record> MakeRecords(std::size_t count) {
  constexpr std::size_t kRules = 500;
  std::vector<config::Revision> revisions(kRules);
  std::vector<config::Record> records;
  records.reserve(count + 1);
  records.emplace_back(config::ProcessStarted{"entry-1", 1, "127.0.0.1:80", "r", "a"});
  const auto time = [](std::size_t i) {
    return UtcTime(std::chrono::milliseconds(1'796'328'000'000 + static_cast<std::int64_t>(i)));
  };
  for (std::size_t i = 0; records.size() < count; ++i) {
    const std::string key = std::to_string(1'796'328'000'000 + i) + "-key";
    records.emplace_back(config::IntentRecorded{"account-" + std::to_string(i % 10), key,
                                                Sha256(key), "entry-1", 1, time(i)});
    config::OutcomeRecorded outcome{"account-" + std::to_string(i % 10), key, "entry-1", 1};
    outcome.outcome = config::CallOutcome::kComplete;
    outcome.status = 200;
    outcome.content_type = "application/json";
    outcome.body = std::string(200, 'b');
    records.emplace_back(std::move(outcome));
    if (i % 10 != 0) continue;
    config::SetRule rule;
    // Each rule is set repeatedly, based on the revision that last set it.
    config::Revision& revision = revisions[i / 10 % kRules];
    rule.command = {.request_id = "request-" + std::to_string(i), .base_revision = revision};
    rule.rule.account = "account-" + std::to_string(i / 10 % kRules);
    rule.rule.kind = "seat release";
    rule.rule.deadline = std::chrono::milliseconds(i);
    records.emplace_back(std::move(rule));
    revision = records.size();
  }
  records.resize(count);
  return records;
}

void MeasureMachine() {
  std::printf("records\tapply/s\theap KiB\tbytes/record\tsnapshot KiB\tcopy ms\trestore ms\n");
  for (const std::size_t count : {100U, 1'000U, 10'000U, 100'000U, 1'000'000U}) {
    const auto records = MakeRecords(count);
    const std::size_t before = HeapBytes();
    config::StateMachine machine;
    const double apply = CpuSeconds([&] {
      config::Revision index = 0;
      for (const auto& record : records) machine.Apply(record, ++index);
    });
    const std::size_t heap = HeapBytes() - before;
    config::State snapshot;
    const double copy = CpuSeconds([&] { snapshot = machine.CopyState(); });
    const std::size_t bytes = SnapshotBytes(snapshot);
    config::StateMachine other;
    const double restore = CpuSeconds([&] { other.Restore(std::move(snapshot)); });
    const auto n = static_cast<double>(count);
    std::printf("%zu\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\n", count, n / apply,
                static_cast<double>(heap) / 1024, static_cast<double>(heap) / n,
                static_cast<double>(bytes) / 1024, copy * 1e3, restore * 1e3);
  }
}

void MeasureController() {
  // Otherwise memory freed by an earlier benchmark would be consolidated during the first
  // measurement.
  malloc_trim(0);
  std::printf("endpoints\tdecide us\tper endpoint us\trecords to complete\trounds\n");
  for (const std::size_t count : {48U, 160U, 600U, 2'500U}) {
    config::StateMachine machine;
    config::Revision index = 0;
    const auto propose = [&](const config::Record& record) { machine.Apply(record, ++index); };
    rollout::Reports reports;
    const Digest root = Sha256("v1");
    for (std::size_t i = 0; i < count; ++i) {
      config::EndpointJoined joined;
      joined.endpoint_id = "endpoint-" + std::to_string(i);
      joined.incarnation = 1;
      joined.address = joined.agent_address = "127.0.0.1:1";
      joined.model = "dispatch";
      joined.failure_domain = "domain-" + std::to_string(i % 4);
      propose(joined);
      rollout::Progress progress{.endpoint_id = joined.endpoint_id, .incarnation = 1};
      progress.target_root = root;
      progress.chunks_present = progress.chunks_total = 100;
      progress.state = rollout::ReplicaState::kVerified;
      reports["dispatch"][joined.endpoint_id] = progress;
    }
    config::CreateRollout create;
    create.command.request_id = "q";
    create.model = "dispatch";
    create.version = "v1";
    create.origin = "127.0.0.1:1";
    create.root = root;
    create.batch_size = static_cast<std::uint32_t>(std::max<std::size_t>(1, count / 10));
    create.failure_limit = 10;
    propose(create);
    const rollout::Controller controller;
    double total = 0;
    int rounds = 0;
    int records = 0;
    while (machine.FindRollout(machine.FindVersionHistory("dispatch")->rollout_id)->state !=
           "complete") {
      rollout::Decision decision;
      total += CpuSeconds(
          [&] { decision = controller.Decide(machine.state(), reports, 1, TimePoint{}); });
      ++rounds;
      for (const auto& record : decision.records) {
        propose(record);
        ++records;
      }
      for (const auto& order : decision.orders) {
        if (order.kind != rollout::OrderKind::kSwap) continue;
        auto& progress = reports["dispatch"][order.endpoint_id];
        progress.served_root = root;
        progress.state = rollout::ReplicaState::kServing;
      }
    }
    const double microseconds = total / rounds * 1e6;
    std::printf("%zu\t%.1f\t%.3f\t%d\t%d\n", count, microseconds,
                microseconds / static_cast<double>(count), records, rounds);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> selected_benchmarks(argv + 1, argv + argc);
  const auto selected = [&](const std::string& part) {
    return selected_benchmarks.empty() ||
           std::find(selected_benchmarks.begin(), selected_benchmarks.end(), part) !=
               selected_benchmarks.end();
  };
  if (selected("machine")) MeasureMachine();
  if (selected("controller")) MeasureController();
  return 0;
}
