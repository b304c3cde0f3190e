// Cost of the retry budget and of the judgement of what ends endpoints: processor time and bytes
// for an ingress process, and for the control process that leads. Prints CSV.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "gen/mesh_types.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/serving/crash_guard.h"
#include "wagtailslip/serving/crash_judge.h"
#include "wagtailslip/serving/request_key.h"
#include "wagtailslip/serving/retry_allocator.h"
#include "wagtailslip/serving/retry_pool.h"

namespace wagtailslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr int kSeconds = 30;
constexpr Duration kTick = milliseconds(20);
constexpr int kRequestsPerSecond = 20;

double CpuMicroseconds(const std::function<void()>& work) {
  timespec before{};
  timespec after{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &before);
  work();
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &after);
  return static_cast<double>(after.tv_sec - before.tv_sec) * 1e6 +
         static_cast<double>(after.tv_nsec - before.tv_nsec) / 1e3;
}

void Print(const char* subject, std::size_t processes, double cpu_us, double bytes) {
  std::printf("%s,%zu,%.1f,%.0f\n", subject, processes, cpu_us / kSeconds, bytes / kSeconds);
}

/// @param failing share of the requests that need another send
void MeasureRetries(const char* subject, std::size_t processes, double failing) {
  const serving::RetryLimits limits{0.2, 25.0 * static_cast<double>(processes), seconds(10)};
  std::vector<serving::RetryPool> pools(processes, serving::RetryPool(limits));
  serving::RetryAllocator allocator(limits);
  allocator.TakeOver(0, kStart);
  double pool_us = 0;
  double allocator_us = 0;
  double bytes = 0;
  const auto ticks = seconds(kSeconds) / kTick;
  double due = 0;
  for (int tick = 0; tick < ticks; ++tick) {
    const TimePoint now = kStart + kTick * tick;
    due += ToSeconds(kTick) * kRequestsPerSecond;
    for (std::size_t i = 0; i < processes; ++i) {
      std::optional<serving::RetryReport> report;
      pool_us += CpuMicroseconds([&] {
        for (int n = 0; n < static_cast<int>(due); ++n) {
          pools[i].OnRequest("service", now);
          if (tick % 100 < static_cast<int>(100 * failing)) pools[i].Take("service", now);
        }
        report = pools[i].NextReport(processes, now);
      });
      if (!report) continue;
      report->process = std::to_string(i);
      bytes += static_cast<double>(codec::EncodeCompact(mesh::ToWire(*report)).size());
      serving::RetryGrant grant;
      allocator_us += CpuMicroseconds([&] { grant = allocator.Grant(*report, now); });
      bytes += static_cast<double>(codec::EncodeCompact(mesh::ToWire(grant)).size());
      pools[i].OnGrant(grant, "leader", now);
    }
    due -= static_cast<int>(due);
    if (allocator.BlocksToCommit(now)) allocator.OnBlocksCommitted(true);
  }
  const auto n = static_cast<double>(processes);
  Print((std::string("retries, ingress, ") + subject).c_str(), processes, pool_us / n, bytes / n);
  Print((std::string("retries, leader, ") + subject).c_str(), processes, allocator_us, bytes);
}

constexpr int kTargetRequestsPerSecond = 6800;

/// Requests that each bring a new part and a new body, of which some are at endpoints that end.
void MeasureCrashes(std::size_t processes, int ends_per_second, std::size_t body_bytes) {
  std::vector<serving::CrashGuard> guards(processes);
  serving::CrashJudge judge;
  const std::string filler(body_bytes, 'x');
  double guard_us = 0;
  double judge_us = 0;
  double bytes = 0;
  const auto ticks = seconds(kSeconds) / kTick;
  std::uint64_t number = 0;
  double due = 0;
  double ends_due = 0;
  for (int tick = 0; tick < ticks; ++tick) {
    const TimePoint now = kStart + kTick * tick;
    due += ToSeconds(kTick) * kTargetRequestsPerSecond;
    ends_due += ToSeconds(kTick) * ends_per_second;
    guard_us += CpuMicroseconds([&] {
      for (; due >= 1; --due) {
        serving::CrashGuard& guard = guards[number % processes];
        const std::string target = "/m/" + std::to_string(++number);
        const serving::RequestIdentity identity{"account", "POST", target, filler};
        std::vector<serving::CrashSubject> subjects{
            {serving::SubjectKind::kPromptPart, "first"},
            {serving::SubjectKind::kPromptPart, "part-" + std::to_string(number)}};
        const bool ends = ends_due >= 1;
        if (guard.TracksRequest(serving::RequestPrehash(identity)) || ends) {
          subjects.push_back({serving::SubjectKind::kRequest, serving::RequestKey(identity)});
        }
        guard.Admit(subjects, processes, now);
        if (ends) {
          --ends_due;
          const std::string endpoint = "10.0.0.1:" + std::to_string(number % 60000);
          guard.OnBroken({endpoint, 1, now, subjects, "m", true}, now);
          guard.OnEndpointEnded(endpoint, 1, now);
        } else {
          guard.OnBegun("m", now);
          guard.OnDelivered(subjects, "m", now);
        }
      }
    });
    for (auto& guard : guards) {
      std::optional<serving::CrashReport> report;
      guard_us += CpuMicroseconds([&] { report = guard.NextReport(processes, now); });
      if (!report) continue;
      bytes += static_cast<double>(codec::EncodeCompact(mesh::ToWire(*report, now)).size());
      judge_us += CpuMicroseconds([&] {
        judge.OnReport(*report, "p#1", now);
        judge.NextChanges({"p#1"}, now);
      });
    }
    judge_us += CpuMicroseconds([&] { judge.NextChanges({"p#1"}, now); });
  }
  const auto n = static_cast<double>(processes);
  const std::string load =
      std::to_string(body_bytes) + " B bodies, " + (ends_per_second > 0 ? "endpoints end" : "calm");
  Print(("crashes, ingress, " + load).c_str(), processes, guard_us / n, bytes / n);
  Print(("crashes, control, " + load).c_str(), processes, judge_us, bytes);
}

/// Keys of all requests, as if each had evidence.
void MeasureKeys(std::size_t processes, std::size_t body_bytes) {
  const std::string body(body_bytes, 'x');
  constexpr int kKeys = 100;
  std::size_t digits = 0;
  const double us = CpuMicroseconds([&] {
    for (int i = 0; i < kKeys; ++i) {
      const std::string target = "/m/" + std::to_string(i);
      digits += serving::RequestKey({"account", "POST", target, body}).size();
    }
  });
  const double per_second =
      static_cast<double>(kTargetRequestsPerSecond) / static_cast<double>(processes);
  if (digits == 0) return;
  Print(("crashes, ingress, keys of all requests, " + std::to_string(body_bytes) + " B").c_str(),
        processes, us / kKeys * per_second * kSeconds, 0);
}

}  // namespace
}  // namespace wagtailslip

int main() {
  std::printf("subject,processes,cpu_us_per_s,bytes_per_s\n");
  for (const std::size_t processes : {4, 360}) {
    wagtailslip::MeasureRetries("calm", processes, 0);
    wagtailslip::MeasureRetries("storm", processes, 0.8);
    wagtailslip::MeasureCrashes(processes, 0, 1000);
    wagtailslip::MeasureCrashes(processes, 20, 1000);
    wagtailslip::MeasureCrashes(processes, 20, 1000000);
    wagtailslip::MeasureKeys(processes, 1000);
    wagtailslip::MeasureKeys(processes, 1000000);
  }
}
