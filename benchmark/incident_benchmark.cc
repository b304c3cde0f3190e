// Cost of the retry budget and of the judgement of prompt parts: processor time and bytes for an
// ingress process, and for the control process that leads. Prints CSV.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "gen/mesh_types.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/serving/part_evidence.h"
#include "wagtailslip/serving/part_guard.h"
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

/// Requests that each bring a new part, of which some are at engines that end.
void MeasureParts(std::size_t processes, int parts_per_second, int ends_per_second) {
  std::vector<serving::PartGuard> guards(processes);
  serving::PartEvidence evidence;
  double guard_us = 0;
  double evidence_us = 0;
  double bytes = 0;
  const auto ticks = seconds(kSeconds) / kTick;
  std::uint64_t part = 0;
  double due = 0;
  double ends_due = 0;
  for (int tick = 0; tick < ticks; ++tick) {
    const TimePoint now = kStart + kTick * tick;
    due += ToSeconds(kTick) * parts_per_second;
    ends_due += ToSeconds(kTick) * ends_per_second;
    guard_us += CpuMicroseconds([&] {
      for (; due >= 1; --due) {
        serving::PartGuard& guard = guards[part % processes];
        const std::vector<std::string> parts{"first", "part-" + std::to_string(++part)};
        guard.Admit(parts, "self", processes, now);
        if (ends_due >= 1) {
          --ends_due;
          const std::string engine = "10.0.0.1:" + std::to_string(part % 60000);
          guard.OnBroken({engine, 1, now, parts}, now);
          guard.OnEngineEnded(engine, 1, now);
        } else {
          guard.OnProven(parts, now);
        }
      }
    });
    for (auto& guard : guards) {
      std::optional<serving::PartReport> report;
      guard_us += CpuMicroseconds([&] { report = guard.NextReport(processes, now); });
      if (!report) continue;
      bytes += static_cast<double>(codec::EncodeCompact(mesh::ToWire(*report, now)).size());
      evidence_us += CpuMicroseconds([&] {
        evidence.AddTotals(report->proven_attempts, report->ended_attempts, now);
        for (const auto& it : report->ends) evidence.AddEnd(it, now);
        for (const auto& it : report->proofs) evidence.AddProof(it.part, it.at, now);
      });
    }
    evidence_us += CpuMicroseconds([&] {
      evidence.Condemn(now);
      if (tick % 50 == 0) evidence.Expire(now);
      evidence.Suspects(now);
    });
  }
  const auto n = static_cast<double>(processes);
  const std::string load = ends_per_second > 0 ? "engines end" : "calm";
  Print(("parts, ingress, " + load).c_str(), processes, guard_us / n, bytes / n);
  Print(("parts, control, " + load).c_str(), processes, evidence_us, bytes);
}

}  // namespace
}  // namespace wagtailslip

int main() {
  std::printf("subject,processes,cpu_us_per_s,bytes_per_s\n");
  for (const std::size_t processes : {4, 360}) {
    wagtailslip::MeasureRetries("calm", processes, 0);
    wagtailslip::MeasureRetries("storm", processes, 0.8);
    wagtailslip::MeasureParts(processes, 1000, 0);
    wagtailslip::MeasureParts(processes, 1000, 20);
  }
}
