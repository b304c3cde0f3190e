// Cost of permits for endpoints that limit their requests, by number of ingress processes, as CSV:
// messages and bytes per second and processor time of the allocator from the model of
// permit_model.h, with the real codec.
#include <chrono>
#include <cstdio>

#include "gen/mesh_types.h"
#include "permit_model.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/serving/permit_allocator.h"

namespace wagtailslip::benchmark {
namespace {

/// Requests per second of all callers, per ingress process, as at the two-year target.
constexpr double kDemandPerProcess = 19;
constexpr Duration kLength = std::chrono::seconds(20);

struct AllocatorCost {
  double microseconds = 0;
  std::size_t request_bytes = 0;
  std::size_t grant_bytes = 0;
};

/// Time to decode, answer and encode one request with `rows` rows, and the size of the messages.
AllocatorCost MeasureAllocator(std::size_t processes, std::size_t rows) {
  constexpr int kRounds = 20;
  const TimePoint start(std::chrono::seconds(1000));
  serving::PermitAllocator allocator;
  AllocatorCost cost;
  std::vector<std::string> requests;
  for (std::size_t i = 0; i < processes; ++i) {
    serving::PermitRequest request;
    request.sent_at = start;
    for (std::size_t row = 0; row < rows; ++row) {
      const std::string id = "i-03c6f551" + std::to_string(100 + row);
      request.rows.push_back({id, 2});
      request.limits.push_back({id, 1'788'000'000'000, 5.0, start, start});
    }
    requests.push_back(codec::EncodeCompact(mesh::ToWire(request, start)));
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    const TimePoint now = start + std::chrono::milliseconds(400) * round;
    for (std::size_t i = 0; i < processes; ++i) {
      const auto message = codec::DecodeCompact<wire::MeshMessage>(requests[i]);
      const auto request = mesh::PermitRequestFromWire(message, "10.0.0." + std::to_string(i), now);
      for (const auto& it : request.limits) allocator.Record(it);
      wire::MeshMessage reply;
      reply.__set_permits(mesh::ToWire(allocator.Grant(request, now)));
      cost.grant_bytes = codec::EncodeCompact(reply).size();
    }
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  cost.microseconds = elapsed.count() / (kRounds * static_cast<double>(processes));
  cost.request_bytes = requests.front().size();
  return cost;
}

void Run() {
  std::printf(
      "processes,limited_endpoints,limit,requests_per_s,asks_per_s,bytes_per_s_per_process,"
      "allocator_us_per_ask,allocator_cpu_percent,allocator_bytes_per_s,used,expired_per_s\n");
  for (const std::size_t processes : {4, 18, 59, 120, 360}) {
    for (const std::size_t endpoints : {1, 10, 60}) {
      PermitScenario scenario;
      scenario.processes = processes;
      scenario.demand = kDemandPerProcess * static_cast<double>(processes);
      scenario.length = kLength;
      // Half of the demand, so that every process needs permits all the time.
      const double limit = scenario.demand / 2 / static_cast<double>(endpoints);
      scenario.endpoints.assign(endpoints, {{std::chrono::seconds(1), limit}});
      const auto result = RunPermits(scenario);
      const double asks = static_cast<double>(result.messages) / ToSeconds(kLength);
      const double rows = static_cast<double>(result.rows) /
                          std::max<double>(1, static_cast<double>(result.messages));
      const auto cost = MeasureAllocator(
          processes, std::max<std::size_t>(1, static_cast<std::size_t>(rows + 0.5)));
      const double bytes = asks * static_cast<double>(cost.request_bytes + cost.grant_bytes);
      double used = 0;
      for (const auto& arrivals : result.arrivals) {
        for (const Duration it : arrivals) used += it >= std::chrono::seconds(4) ? 1 : 0;
      }
      used /= (ToSeconds(kLength) - 4) * limit * static_cast<double>(endpoints);
      std::printf("%zu,%zu,%.3f,%.0f,%.0f,%.0f,%.2f,%.3f,%.0f,%.3f,%.1f\n", processes, endpoints,
                  limit, scenario.demand, asks, bytes / static_cast<double>(processes),
                  cost.microseconds, asks * cost.microseconds / 1e4, bytes, used,
                  static_cast<double>(result.expired) / ToSeconds(kLength));
    }
  }
}

}  // namespace
}  // namespace wagtailslip::benchmark

int main() {
  wagtailslip::benchmark::Run();
  return 0;
}
