#include "traffic_model.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::benchmark {
namespace {

using traffic::RouteRequest;

constexpr std::size_t kPrefixBlocks = 12;
constexpr std::size_t kOwnBlocks = 4;
constexpr std::size_t kBlocks = kPrefixBlocks + kOwnBlocks;
constexpr double kTokensPerBlock = 16;
/// Prefill time of one block and decode time of one token in an idle engine.
constexpr double kBlockSeconds = 0.008;
constexpr double kTokenSeconds = 0.010;
/// Decode slows down by this part in a full batch.
constexpr double kBatchSlowdown = 0.5;
constexpr double kLeastOutput = 20;
constexpr double kMeanOutput = 100;
constexpr Duration kNetwork = std::chrono::microseconds(1500);

Duration FromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e9)); }

struct Request {
  std::uint64_t id = 0;
  const AccountLoad* account = nullptr;
  std::size_t process = 0;
  std::vector<std::uint64_t> prefix;
  double output = 0;
  TimePoint born{};
  TimePoint sent{};
  TimePoint deadline{};
  traffic::RouteChoice choice;
};

/// Prefix cache of an engine, least recently used first out.
class Cache {
 public:
  explicit Cache(std::size_t capacity) : capacity_(capacity) {}

  /// Blocks of a prompt that were held; all of them are held afterwards.
  std::size_t Use(const std::vector<std::uint64_t>& prefix,
                  std::vector<traffic::CacheEvent>& events) {
    std::size_t held = 0;
    while (held < prefix.size() && where_.contains(prefix[held])) ++held;
    for (const std::uint64_t block : prefix) {
      const auto it = where_.find(block);
      if (it != where_.end()) {
        order_.splice(order_.end(), order_, it->second);
        continue;
      }
      where_[block] = order_.insert(order_.end(), block);
      events.push_back({block, true});
    }
    while (order_.size() > capacity_) {
      events.push_back({order_.front(), false});
      where_.erase(order_.front());
      order_.pop_front();
    }
    return held;
  }
  std::vector<std::uint64_t> Blocks() const { return {order_.begin(), order_.end()}; }

 private:
  std::size_t capacity_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> where_;
};

struct Engine {
  explicit Engine(std::size_t cache_blocks) : cache(cache_blocks) {}
  std::uint32_t running = 0;
  std::deque<std::shared_ptr<Request>> waiting;
  Cache cache;
  std::vector<traffic::CacheEvent> events;
  std::uint64_t next_event = 0;
  std::uint32_t batches = 0;
};

struct Process {
  Process(const Scenario& scenario, std::uint64_t seed)
      : queue(scenario.limits, scenario.order),
        router({"r", "d", seed}, scenario.strategy(), ejector) {}
  traffic::FairQueue queue;
  traffic::Ejector ejector;
  traffic::Router router;
  std::unordered_map<std::uint64_t, std::shared_ptr<Request>> requests;
};

class Model {
 public:
  explicit Model(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
    for (int i = 0; i < scenario.engines; ++i) engines_.emplace_back(scenario.cache_blocks);
    for (int i = 0; i < scenario.processes; ++i) {
      processes_.push_back(
          std::make_unique<Process>(scenario, scenario.seed * 100 + static_cast<std::uint64_t>(i)));
    }
    double sum = 0;
    for (int i = 0; i < scenario.prefixes; ++i) {
      sum += 1.0 / (i + 1);
      popularity_.push_back(sum);
    }
    result_.seconds = ToSeconds(scenario.length);
  }

  Result Run() {
    DeliverReport(Measure());
    At(now_ + scenario_.report_period, [this] { Report(); });
    for (const AccountLoad& account : scenario_.accounts) NextArrival(account);
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    return std::move(result_);
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void At(TimePoint time, std::function<void()> action) {
    events_.push({time, next_order_++, std::move(action)});
  }
  bool Ended() const { return now_ >= TimePoint(scenario_.length); }

  void NextArrival(const AccountLoad& account) {
    const double gap = std::exponential_distribution<>(account.rate)(random_);
    At(now_ + FromSeconds(gap), [this, &account] {
      if (Ended()) return;
      Arrive(account);
      NextArrival(account);
    });
  }

  void Arrive(const AccountLoad& account) {
    auto request = std::make_shared<Request>();
    request->account = &account;
    request->born = now_;
    request->deadline = now_ + account.deadline;
    request->output =
        kLeastOutput + std::exponential_distribution<>(1 / (kMeanOutput - kLeastOutput))(random_);
    const double pick = std::uniform_real_distribution<>(0, popularity_.back())(random_);
    const auto prefix = static_cast<std::uint64_t>(
        std::lower_bound(popularity_.begin(), popularity_.end(), pick) - popularity_.begin());
    for (std::size_t i = 0; i < kBlocks; ++i) {
      const bool own = i >= kPrefixBlocks;
      const std::uint64_t key[] = {own ? next_id_ : prefix, i, own};
      request->prefix.push_back(Hash64({reinterpret_cast<const char*>(key), sizeof(key)}));
    }
    ++result_.accounts[account.name].offered;
    Offer(request);
  }

  void Offer(const std::shared_ptr<Request>& request) {
    request->id = next_id_++;
    request->process = random_() % processes_.size();
    Process& process = *processes_[request->process];
    process.requests[request->id] = request;
    traffic::QueueItem item{request->id,
                            request->account->name,
                            "m",
                            request->account->priority,
                            1.0,
                            kBlocks * kTokensPerBlock + kMeanOutput,
                            request->deadline};
    Refuse(process, process.queue.Offer(std::move(item), now_).refused);
    Advance(process);
  }

  void Refuse(Process& process, const std::vector<traffic::Refusal>& refusals) {
    for (const auto& refusal : refusals) {
      const auto request = process.requests.at(refusal.id);
      process.requests.erase(refusal.id);
      AccountResult& account = result_.accounts[request->account->name];
      ++account.refusals;
      const TimePoint back = now_ + refusal.retry_after;
      if (scenario_.clients_return && back < request->deadline && !Ended()) {
        At(back, [this, request] { Offer(request); });
      } else {
        ++account.refused;
      }
    }
  }

  void Advance(Process& process) {
    const auto step = process.queue.Advance(now_);
    Refuse(process, step.refused);
    for (const std::uint64_t id : step.dispatched) {
      const auto request = process.requests.at(id);
      RouteRequest route{"m"};
      route.prefix = request->prefix;
      request->choice = process.router.Choose(route, now_);
      request->sent = now_;
      process.router.Started(request->choice, route, now_);
      const auto engine = static_cast<std::size_t>(std::stoi(request->choice.endpoint->id));
      At(now_ + kNetwork, [this, request, engine] { Receive(request, engine); });
    }
    if (const auto expiry = process.queue.NextExpiry(); expiry && !process.requests.empty()) {
      // Expired requests are found at the next event as well; one timer is enough for the model.
      if (*expiry < next_expiry_ || next_expiry_ <= now_) {
        next_expiry_ = *expiry;
        At(*expiry, [this, &process] { Refuse(process, process.queue.Advance(now_).refused); });
      }
    }
  }

  void Receive(const std::shared_ptr<Request>& request, std::size_t number) {
    Engine& engine = engines_[number];
    engine.waiting.push_back(request);
    const double load = static_cast<double>(engine.running + engine.waiting.size());
    result_.worst_overload = std::max(result_.worst_overload, load / scenario_.slots);
    StartWaiting(number);
  }

  void StartWaiting(std::size_t number) {
    Engine& engine = engines_[number];
    while (engine.running < scenario_.slots && !engine.waiting.empty()) {
      const auto request = engine.waiting.front();
      engine.waiting.pop_front();
      ++engine.running;
      const std::size_t held = engine.cache.Use(request->prefix, engine.events);
      result_.prefix_hits += static_cast<double>(held);
      result_.prefix_blocks += kPrefixBlocks;
      result_.wait.Add(now_ - request->born);
      result_.engine_wait.Add(now_ - request->sent);
      const double batch = 1 + kBatchSlowdown * engine.running / scenario_.slots;
      const double seconds = static_cast<double>(kBlocks - held) * kBlockSeconds +
                             request->output * kTokenSeconds * batch;
      At(now_ + FromSeconds(seconds), [this, request, number] { End(request, number); });
    }
  }

  void End(const std::shared_ptr<Request>& request, std::size_t number) {
    --engines_[number].running;
    StartWaiting(number);
    AccountResult& account = result_.accounts[request->account->name];
    ++account.complete;
    if (now_ <= request->deadline) ++account.useful;
    account.latency.Add(now_ - request->born);
    Process& process = *processes_[request->process];
    process.router.Finished(request->choice.endpoint->id, traffic::AttemptResult::kSuccess, now_);
    process.queue.Finish(request->id, now_, kBlocks * kTokensPerBlock + request->output);
    process.requests.erase(request->id);
    Advance(process);
  }

  std::vector<traffic::RoutingEndpoint> Measure() {
    std::vector<traffic::RoutingEndpoint> endpoints;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      traffic::RoutingEndpoint endpoint;
      endpoint.id = std::to_string(i);
      endpoint.incarnation = 1;
      endpoint.model = "m";
      endpoint.region = "r";
      endpoint.failure_domain = "d";
      endpoint.load = {1, scenario_.slots, engines_[i].running,
                       static_cast<std::uint32_t>(engines_[i].waiting.size()), now_};
      endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
  }

  void Report() {
    if (!Ended()) At(now_ + scenario_.report_period, [this] { Report(); });
    At(now_ + scenario_.report_lag, [this, report = Measure()] { DeliverReport(report); });
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      Engine& engine = engines_[i];
      const std::uint64_t first = engine.next_event;
      engine.next_event += engine.events.size();
      const auto batch = std::move(engine.events);
      engine.events.clear();
      if (scenario_.event_loss > 0 && ++engine.batches % scenario_.event_loss == 0) continue;
      At(now_ + scenario_.event_lag, [this, i, first, batch] { Feed(i, first, batch); });
    }
  }

  void Feed(std::size_t number, std::uint64_t first,
            const std::vector<traffic::CacheEvent>& batch) {
    const std::string id = std::to_string(number);
    for (auto& process : processes_) {
      if (process->router.OnCacheEvents(id, first, batch, now_) != traffic::CacheFeed::kGap)
        continue;
      const std::uint64_t next = engines_[number].next_event;
      process->router.Resynchronise(id, next, engines_[number].cache.Blocks(), now_);
    }
  }

  void DeliverReport(std::vector<traffic::RoutingEndpoint> endpoints) {
    const auto snapshot = std::make_shared<traffic::RoutingSnapshot>(
        std::move(endpoints), 1, static_cast<std::uint32_t>(processes_.size()));
    for (auto& process : processes_) {
      process->router.Swap(snapshot, now_);
      process->queue.SetSlots("m", process->router.Slots("m"));
      Advance(*process);
    }
  }

  const Scenario& scenario_;
  std::mt19937_64 random_;
  std::vector<double> popularity_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 1;
  TimePoint now_{};
  TimePoint next_expiry_{};
  Result result_;
};

}  // namespace

Latencies::Latencies() : histogram_(boost::histogram::make_histogram(Axis(1400, 0.1, 100000))) {}

void Latencies::Add(Duration latency) {
  const double ms = std::max(0.1, ToMilliseconds(latency));
  histogram_(ms);
  sum_ += ms;
  ++count_;
}

void Latencies::Merge(const Latencies& other) {
  histogram_ += other.histogram_;
  sum_ += other.sum_;
  count_ += other.count_;
}

double Latencies::Quantile(double part) const {
  double left = part * static_cast<double>(count_);
  for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    left -= *bin;
    if (left <= 0) return bin.bin().upper();
  }
  return 0;
}

double Result::Goodput() const {
  double useful = 0;
  for (const auto& [name, account] : accounts) useful += static_cast<double>(account.useful);
  return useful / seconds;
}

Result Run(const Scenario& scenario) { return Model(scenario).Run(); }

double Capacity(const Scenario& scenario) {
  const double seconds =
      kBlocks * kBlockSeconds + kMeanOutput * kTokenSeconds * (1 + kBatchSlowdown);
  return scenario.engines * scenario.slots / seconds;
}

}  // namespace wagtailslip::benchmark
