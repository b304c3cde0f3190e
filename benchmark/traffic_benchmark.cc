// Measures the traffic modules in virtual time and their decision times in real time.
//   traffic_benchmark [fair|goodput|routing|speed]
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "traffic_model.h"
#include "wagtailslip/directory/address_book.h"
#include "wagtailslip/traffic/rate_limiter.h"

namespace wagtailslip::benchmark {
namespace {

using traffic::LeastOutstanding;
using traffic::PrefixAwareTwoChoices;
using traffic::RoundRobin;

std::unique_ptr<traffic::RouteStrategy> TwoChoices() {
  return std::make_unique<PrefixAwareTwoChoices>();
}

struct OrderRow {
  const char* name;
  traffic::FairQueue::OrderFactory make;
};
const OrderRow kOrders[] = {{"fair", traffic::MakeFairOrder}, {"fifo", traffic::MakeFifoOrder}};

/// A small account's p99 while a large one sends 100 times its rate; target: at most twice its
/// value alone.
void MeasureFairness() {
  std::printf("fairness: small account's latency in ms\n");
  std::printf("%6s %6s %9s %9s %9s %7s %9s %9s\n", "load", "order", "p50", "p99", "p99/alone",
              "lost", "p99 10th", "ratio");
  for (const double load : {0.9, 1.5, 3.0}) {
    Scenario scenario;
    scenario.strategy = TwoChoices;
    scenario.length = std::chrono::seconds(600);
    const double small = Capacity(scenario) * load / 100;
    scenario.accounts = {{"small", small}};
    const double alone = Run(scenario).accounts.at("small").latency.Quantile(0.99);
    std::printf("%6.1f %6s %9s %9.0f\n", load, "alone", "", alone);
    for (const OrderRow& order : kOrders) {
      scenario.order = order.make;
      scenario.accounts = {{"small", small}, {"large", 100 * small}};
      const Result one = Run(scenario);
      const AccountResult& result = one.accounts.at("small");
      // Ten accounts, a few of them large, as the users have.
      scenario.accounts = {{"small", small}};
      for (int i = 0; i < 9; ++i) {
        scenario.accounts.push_back({"l" + std::to_string(i), 100 * small / 9});
      }
      const double ten = Run(scenario).accounts.at("small").latency.Quantile(0.99);
      const double p99 = result.latency.Quantile(0.99);
      std::printf("%6.1f %6s %9.0f %9.0f %9.2f %7llu %9.0f %9.2f\n", load, order.name,
                  result.latency.Quantile(0.5), p99, p99 / alone,
                  static_cast<unsigned long long>(result.refused), ten, ten / alone);
    }
  }
}

void MeasureGoodput() {
  std::printf("goodput: requests answered before their deadline per second\n");
  std::printf("%6s %6s %8s %10s %10s %9s %9s\n", "load", "order", "return", "goodput", "of best",
              "p99 ms", "late");
  for (const bool clients_return : {false, true}) {
    for (const OrderRow& order : kOrders) {
      double best = 0;
      for (const double load : {1.0, 2.0, 4.0}) {
        Scenario scenario;
        scenario.strategy = TwoChoices;
        scenario.order = order.make;
        scenario.clients_return = clients_return;
        const double rate = Capacity(scenario) * load;
        for (int i = 0; i < 10; ++i) {
          scenario.accounts.push_back(
              {"a" + std::to_string(i), rate / 10, 5, std::chrono::seconds(5)});
        }
        const Result result = Run(scenario);
        Latencies all;
        std::uint64_t late = 0;
        for (const auto& [name, account] : result.accounts) {
          all.Merge(account.latency);
          late += account.complete - account.useful;
        }
        best = std::max(best, result.Goodput());
        std::printf("%6.0f %6s %8s %10.1f %10.3f %9.0f %9llu\n", load, order.name,
                    clients_return ? "yes" : "no", result.Goodput(), result.Goodput() / best,
                    all.Quantile(0.99), static_cast<unsigned long long>(late));
      }
    }
  }
}

void MeasureRouting() {
  struct Row {
    const char* name;
    std::function<std::unique_ptr<traffic::RouteStrategy>()> make;
  };
  const Row rows[] = {
      {"round-robin", [] { return std::make_unique<RoundRobin>(); }},
      {"least-outstanding", [] { return std::make_unique<LeastOutstanding>(); }},
      {"prefix-two-choices", TwoChoices},
  };
  std::printf("routing: reports lag 1 s\n");
  std::printf("%7s %7s %5s %19s %8s %9s %9s %10s %10s %9s\n", "engines", "entries", "load",
              "strategy", "hits", "wait p50", "wait p99", "engine p99", "total p99", "overload");
  struct Size {
    int engines;
    int processes;
    double load;
    int seconds;
  };
  for (const auto& [engines, processes, load, length] :
       {Size{12, 4, 0.6, 300}, Size{12, 4, 0.9, 300}, Size{96, 32, 0.9, 60}}) {
    for (const Row& row : rows) {
      Scenario scenario;
      scenario.engines = engines;
      scenario.processes = processes;
      scenario.strategy = row.make;
      scenario.length = std::chrono::seconds(length);
      scenario.accounts = {{"a", Capacity(scenario) * load}};
      const Result result = Run(scenario);
      std::printf("%7d %7d %5.1f %19s %8.3f %9.1f %9.1f %10.1f %10.0f %9.2f\n", engines, processes,
                  load, row.name, result.HitRate(), result.wait.Quantile(0.5),
                  result.wait.Quantile(0.99), result.engine_wait.Quantile(0.99),
                  result.accounts.at("a").latency.Quantile(0.99), result.worst_overload);
    }
  }
}

/// Mean time of one call in nanoseconds.
double Nanoseconds(int count, const std::function<void(int)>& body) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) body(i);
  const auto end = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::nano>(end - start).count() / count;
}

/// Memory in use from the allocator in KiB.
long AllocatedKib() { return static_cast<long>(mallinfo2().uordblks / 1024); }

void MeasureRouterSpeed() {
  std::printf("router: ns per decision (choose, start, finish) and per swap, KiB allocated\n");
  std::printf("%9s %19s %10s %12s %9s\n", "replicas", "strategy", "decision", "swap us", "KiB");
  for (const int replicas : {12, 75, 150, 300, 600, 1200}) {
    const std::function<std::unique_ptr<traffic::RouteStrategy>()> strategies[] = {
        [] { return std::make_unique<RoundRobin>(); },
        [] { return std::make_unique<LeastOutstanding>(); }, TwoChoices};
    const char* names[] = {"round-robin", "least-outstanding", "prefix-two-choices"};
    for (int s = 0; s < 3; ++s) {
      const long before = AllocatedKib();
      traffic::Ejector ejector;
      traffic::Router router({"r", "d", 1}, strategies[s](), ejector);
      std::vector<traffic::RoutingEndpoint> endpoints;
      for (int i = 0; i < replicas; ++i) {
        traffic::RoutingEndpoint endpoint;
        endpoint.id = "endpoint-" + std::to_string(i);
        endpoint.incarnation = 1;
        endpoint.model = "m";
        endpoint.region = "r";
        endpoint.failure_domain = i % 4 == 0 ? "d" : "e";
        endpoint.load.slots = 16;
        endpoints.push_back(std::move(endpoint));
      }
      TimePoint now{std::chrono::seconds(100)};
      const auto swap = [&](int) {
        now += std::chrono::milliseconds(250);
        router.Swap(std::make_shared<traffic::RoutingSnapshot>(endpoints, 1, 360), now);
      };
      swap(0);
      std::vector<std::uint64_t> prefix(16);
      const double decision = Nanoseconds(20000, [&](int i) {
        now += std::chrono::microseconds(50);
        for (std::size_t b = 0; b < prefix.size(); ++b) {
          prefix[b] = (b < 12 ? i % 200 : i) * 1000003ULL + b * 7919 + 1;
        }
        traffic::RouteRequest request{"m"};
        request.prefix = prefix;
        const auto choice = router.Choose(request, now);
        router.Started(choice, request, now);
        router.Finished(choice.endpoint->id, traffic::AttemptResult::kSuccess, now);
      });
      const double swap_time = Nanoseconds(200, swap) / 1000;
      std::printf("%9d %19s %10.0f %12.1f %9ld\n", replicas, names[s], decision, swap_time,
                  AllocatedKib() - before);
    }
  }
}

void MeasureQueueSpeed() {
  std::printf("queue: ns per offer, advance and finish with a standing backlog\n");
  std::printf("%9s %9s %10s %9s\n", "accounts", "backlog", "ns", "KiB");
  for (const int accounts : {10, 100, 1000, 4000}) {
    const long before = AllocatedKib();
    traffic::FairQueue queue({100000, 100000, std::chrono::hours(1)});
    std::uint64_t id = 0;
    const auto offer = [&] {
      traffic::QueueItem item{++id,
                              "account-" + std::to_string(id % accounts),
                              "m",
                              5,
                              1.0,
                              300,
                              TimePoint(std::chrono::hours(1) + std::chrono::nanoseconds(id))};
      queue.Offer(std::move(item), TimePoint{});
    };
    for (int i = 0; i < 4000; ++i) offer();
    queue.SetSlots("m", 1);
    const double ns = Nanoseconds(20000, [&](int) {
      offer();
      for (const std::uint64_t next : queue.Advance(TimePoint{}).dispatched) {
        queue.Finish(next, TimePoint{});
      }
    });
    std::printf("%9d %9zu %10.0f %9ld\n", accounts, queue.queued(), ns, AllocatedKib() - before);
  }
}

void MeasureDirectorySpeed() {
  std::printf("directory: ns per address answer; limits: ns per request, bytes per report\n");
  std::printf("%9s %10s %10s\n", "processes", "answer ns", "take ns");
  for (const int processes : {4, 45, 90, 180, 360, 720}) {
    directory::AddressBook book("p0");
    std::vector<std::string> members;
    for (int i = 0; i < processes; ++i) {
      const std::string id = "p" + std::to_string(i);
      members.push_back(id);
      book.Update({id,
                   1,
                   id + ":8080",
                   {i % 2 == 0 ? "r1" : "r2", "d" + std::to_string(i % 8)},
                   directory::ProcessState::kLive});
    }
    const directory::Location caller{"r1", "d2"};
    TimePoint now{std::chrono::seconds(10)};
    const double answer = Nanoseconds(20000, [&](int) { book.Answer(caller, true, now); });
    traffic::RateLimiter limiter("p0", 1);
    limiter.SetLease(TimePoint::max());
    limiter.SetMembers(members, now);
    limiter.SetLimit({"*", "*"}, 1000, now);
    const double take = Nanoseconds(20000, [&](int i) {
      now += std::chrono::milliseconds(1);
      limiter.Take(i % 2 == 0 ? "one" : "two", "quote", now);
    });
    std::printf("%9d %10.0f %10.0f\n", processes, answer, take);
  }
}

}  // namespace
}  // namespace wagtailslip::benchmark

int main(int argc, char** argv) {
  namespace b = wagtailslip::benchmark;
  const std::string_view part = argc > 1 ? argv[1] : "";
  const auto wanted = [&](std::string_view name) { return part.empty() || part == name; };
  if (wanted("fair")) b::MeasureFairness();
  if (wanted("goodput")) b::MeasureGoodput();
  if (wanted("routing")) b::MeasureRouting();
  if (wanted("speed")) {
    b::MeasureRouterSpeed();
    b::MeasureQueueSpeed();
    b::MeasureDirectorySpeed();
  }
  return 0;
}
