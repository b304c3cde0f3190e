#include "retry_model.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace wagtailslip::retry_model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTick = milliseconds(20);
// Time between a request and the failure of its first send.
constexpr Duration kFailureDelay = milliseconds(30);

class Model {
 public:
  Model(const Scenario& scenario, Policy& policy)
      : scenario_(scenario),
        policy_(policy),
        random_(static_cast<std::minstd_rand::result_type>(scenario.seed)),
        processes_(scenario.processes) {
    for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
      std::vector<bool>& chosen = chosen_.emplace_back(scenario_.processes, false);
      for (std::size_t p = 0; p < scenario_.processes; ++p) {
        chosen[p] = Draw() < scenario_.faults[i].share;
      }
    }
  }

  Result Run() {
    for (now_ = kStart; now_ < kStart + scenario_.length; now_ += kStep) {
      ApplyFaults();
      Arrive();
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (Runs(i)) Work(i);
      }
      if ((now_ - kStart) % kTick != Duration::zero()) continue;
      policy_.TickControl(leading_, now_);
      for (std::size_t i = 0; i < processes_.size(); ++i) {
        if (Runs(i)) policy_.Tick(i, now_);
      }
    }
    std::sort(result_.retries.begin(), result_.retries.end());
    return std::move(result_);
  }

 private:
  struct Process {
    bool up = false;
    bool frozen = false;
    Duration arrival_lateness{};
    /// Requests that wait to be read, and when the first sends of others fail.
    std::size_t unread = 0;
    std::vector<TimePoint> failures;
  };

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool Runs(std::size_t i) const { return processes_[i].up && !processes_[i].frozen; }

  bool Active(const FaultSpan& span) const {
    return now_ >= kStart + span.from && now_ < kStart + span.to;
  }

  void ApplyFaults() {
    leading_ = true;
    std::size_t listed = 0;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      bool up = true;
      bool connected = true;
      Duration message_lateness{};
      Process& process = processes_[i];
      process.frozen = false;
      process.arrival_lateness = {};
      for (std::size_t f = 0; f < scenario_.faults.size(); ++f) {
        const FaultSpan& span = scenario_.faults[f];
        if (!Active(span)) continue;
        if (span.fault == Fault::kNoLeader) leading_ = false;
        if (!chosen_[f][i]) continue;
        if (span.fault == Fault::kRestarted || span.fault == Fault::kAbsent) up = false;
        if (span.fault == Fault::kFrozen) process.frozen = true;
        if (span.fault == Fault::kCutOff) connected = false;
        if (span.fault == Fault::kLateMessages) message_lateness = kMaxLateness;
        if (span.fault == Fault::kLateArrivals) process.arrival_lateness = kMaxLateness;
      }
      if (up && !process.up) policy_.Start(i, now_);
      if (!up) process = Process{};
      process.up = up;
      policy_.SetLink(i, up && connected, message_lateness);
      if (up && connected) ++listed;
    }
    policy_.SetListed(listed);
  }

  const Load& CurrentLoad() const {
    const Load* current = &scenario_.loads.front();
    for (const auto& it : scenario_.loads) {
      if (now_ >= kStart + it.from) current = &it;
    }
    return *current;
  }

  void Arrive() {
    const double mean = CurrentLoad().requests * ToSeconds(kStep);
    if (mean <= 0) return;
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].up) up.push_back(i);
    }
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
      // Sent even if no process is there to take it.
      result_.requests.push_back(now_);
      if (!up.empty()) ++processes_[up[random_() % up.size()]].unread;
    }
  }

  void Work(std::size_t i) {
    Process& process = processes_[i];
    for (; process.unread > 0; --process.unread) {
      policy_.OnRequest(i, now_);
      if (Draw() < CurrentLoad().failing) process.failures.push_back(now_ + kFailureDelay);
    }
    auto later = std::partition(process.failures.begin(), process.failures.end(),
                                [this](TimePoint at) { return at > now_; });
    for (auto it = later; it != process.failures.end(); ++it) {
      ++result_.needed;
      if (!policy_.Take(i, now_)) continue;
      result_.retries.push_back(
          now_ + std::chrono::duration_cast<Duration>(process.arrival_lateness * Draw()));
    }
    process.failures.erase(later, process.failures.end());
  }

  const Scenario& scenario_;
  Policy& policy_;
  std::minstd_rand random_;
  TimePoint now_ = kStart;
  std::vector<Process> processes_;
  /// By fault and process.
  std::vector<std::vector<bool>> chosen_;
  bool leading_ = true;
  Result result_;
};

}  // namespace

Result Run(const Scenario& scenario, Policy& policy) { return Model(scenario, policy).Run(); }

Scenario RandomScenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random);
  };
  const auto time = [&](double least_s, double most_s) {
    return milliseconds(static_cast<int>(100 * draw(least_s, most_s)) * 10);
  };
  constexpr std::size_t kProcesses[] = {4, 18, 59, 360};
  constexpr Fault kFaults[] = {Fault::kRestarted,    Fault::kRestarted, Fault::kAbsent,
                               Fault::kFrozen,       Fault::kCutOff,    Fault::kLateMessages,
                               Fault::kLateArrivals, Fault::kNoLeader};
  Scenario scenario;
  scenario.name = "seed " + std::to_string(seed);
  scenario.seed = seed;
  scenario.processes = kProcesses[random() % std::size(kProcesses)];
  scenario.rule.extra = draw(0, 650);
  scenario.length = seconds(40);
  const double rate = std::exp(draw(std::log(10), std::log(1000)));
  scenario.loads.push_back({{}, rate, 0});
  for (Duration at = time(3, 12); at < scenario.length; at += time(1, 8)) {
    const double pause = draw(0, 1) < 0.15 ? 0 : 1;
    scenario.loads.push_back({at, pause * rate * draw(0.3, 2), std::sqrt(draw(0, 1))});
  }
  for (int i = static_cast<int>(draw(1, 12)); i > 0; --i) {
    const Fault fault = kFaults[random() % std::size(kFaults)];
    const Duration from = time(0, 35);
    if (fault != Fault::kRestarted && fault != Fault::kNoLeader) {
      scenario.faults.push_back({fault, from, from + time(0.2, 15), draw(0, 1)});
      continue;
    }
    // Restarts and changes of the leader come in series.
    Duration at = from;
    for (int n = static_cast<int>(draw(1, 7)); n > 0; --n) {
      const Duration end = at + time(0.05, 2);
      scenario.faults.push_back({fault, at, end, std::sqrt(draw(0, 1))});
      at = end + time(0.2, 3);
    }
  }
  return scenario;
}

}  // namespace wagtailslip::retry_model
