#include "overload_model.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <variant>

#include "wagtailslip/serving/admission.h"
#include "wagtailslip/serving/caller_timeout_tracker.h"

namespace wagtailslip::benchmark {
namespace {

using serving::Admission;
using serving::Placement;
using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(1);
constexpr Duration kPumpPeriod = milliseconds(20);
// A sidecar reads its engine that often, and control processes gather readings before they relay.
constexpr Duration kReportPeriod = milliseconds(120);
constexpr Duration kReportLag = milliseconds(60);
// Callers of the users wait 6 s in all and come back once.
constexpr Duration kCallerPatience = milliseconds(6000);
constexpr double kLongestPauseMs = 400;
// Length of the part at the start that fills the engines, and at the end that is not answered yet.
constexpr Duration kWarmUp = milliseconds(6000);
constexpr double kLongestLength = 3;
const char* const kService = "assistant";

struct Request {
  std::size_t kind = 0;
  double prompt = 0;
  double answer = 0;
  TimePoint first_asked{};
  TimePoint asked{};
  bool returned = false;
  bool counted = false;
  // At an engine.
  std::string endpoint;
  std::size_t process = 0;
  double unread = 0;
  double unwritten = 0;
  bool begun = false;
  TimePoint last_event{};
  double first_event_ms = 0;
  double longest_pause_ms = 0;
};

class Engine {
 public:
  explicit Engine(const EngineParameters& parameters) : parameters_(parameters) {}

  void Submit(std::uint64_t id, Request* request) { waiting_.emplace_back(id, request); }
  std::uint32_t running() const { return static_cast<std::uint32_t>(active_.size()); }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }

  /// Ends the pass that is due and begins the next one.
  /// @param on_event called for each request that has written
  /// @param on_done called for each request that is complete
  template <typename OnEvent, typename OnDone>
  void Advance(TimePoint now, OnEvent on_event, OnDone on_done) {
    if (now < pass_end_) return;
    for (auto it = active_.begin(); it != active_.end();) {
      Request& request = *it->second;
      if (!writing_ || request.unread > 0) {
        ++it;
        continue;
      }
      request.unwritten -= parameters_.steps_per_pass;
      on_event(it->first, request);
      if (request.unwritten > 0) {
        ++it;
        continue;
      }
      on_done(it->first, request);
      it = active_.erase(it);
    }
    BeginPass(now);
  }

 private:
  void BeginPass(TimePoint now) {
    while (active_.size() < parameters_.slots && !waiting_.empty()) {
      active_.push_back(waiting_.front());
      waiting_.pop_front();
    }
    double budget = parameters_.chunk_tokens;
    std::size_t writers = 0;
    for (auto& [id, request] : active_) {
      const double read = std::min(budget, request->unread);
      request->unread -= read;
      budget -= read;
      if (request->unread <= 0) ++writers;
    }
    double pass_ms = (parameters_.chunk_tokens - budget) / parameters_.tokens_per_ms;
    writing_ = writers > 0;
    if (writing_) {
      pass_ms +=
          parameters_.steps_per_pass *
          (parameters_.step_ms + parameters_.step_per_request_ms * static_cast<double>(writers));
    }
    pass_end_ = now + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double, std::milli>(pass_ms));
  }

  EngineParameters parameters_;
  std::deque<std::pair<std::uint64_t, Request*>> waiting_;
  std::deque<std::pair<std::uint64_t, Request*>> active_;
  bool writing_ = false;
  TimePoint pass_end_{};
};

class Model {
 public:
  explicit Model(const OverloadScenario& overload)
      : case_(overload), random_(static_cast<std::minstd_rand::result_type>(overload.seed)) {
    serving::ServiceConfig config;
    serving::EngineProfile profile;
    profile.model = "m";
    profile.slots = case_.engine.slots;
    profile.prefill_rate = case_.engine.tokens_per_ms * 1000;
    config.services.push_back({kService, "/healthz", 100, profile, ""});
    serving::InstanceTable table;
    for (std::size_t i = 0; i < case_.engines; ++i) {
      serving::EndpointRecord record;
      record.id = "e" + std::to_string(i);
      record.started_ms = 1;
      record.sequence = 1;
      record.service = kService;
      record.address = AddressOf(i);
      record.failure_domain = "a";
      record.slots = case_.engine.slots;
      record.model = "m";
      record.weights = 1;
      table.Apply(record, start_);
      engines_.emplace(record.id, Engine(case_.engine));
      order_.push_back(record.id);
    }
    std::map<std::string, std::string> names;
    for (std::size_t i = 0; i < case_.processes; ++i) names["p" + std::to_string(i)] = "a";
    serving::PlacementSettings settings = case_.placement;
    settings.failure_domain = "a";
    for (std::size_t i = 0; i < case_.processes; ++i) {
      auto process = std::make_unique<Process>(settings, case_.seed + i);
      process->placement.SetProcesses("p" + std::to_string(i), names);
      process->placement.Sync(table, config);
      processes_.push_back(std::move(process));
    }
  }

  OverloadResult Run() {
    const TimePoint end = start_ + case_.length;
    std::vector<TimePoint> next_arrival;
    for (const auto& kind : case_.kinds) next_arrival.push_back(start_ + Pause(kind));
    TimePoint report_at = start_;
    TimePoint pump_at = start_;
    for (TimePoint now = start_; now < end; now += kTick) {
      for (std::size_t i = 0; i < case_.kinds.size(); ++i) {
        for (; next_arrival[i] <= now; next_arrival[i] += Pause(case_.kinds[i])) Arrive(i, now);
      }
      while (!returns_.empty() && returns_.begin()->first <= now) {
        const std::uint64_t id = returns_.begin()->second;
        returns_.erase(returns_.begin());
        Ask(id, now);
      }
      for (auto& [id, engine] : engines_) {
        engine.Advance(
            now, [&](std::uint64_t, Request& request) { OnEvent(request, now); },
            [&](std::uint64_t request, Request&) { OnDone(request, now); });
      }
      if (now >= report_at) {
        report_at = now + kReportPeriod;
        Report(now);
      }
      DeliverReports(now);
      if (now >= pump_at) {
        pump_at = now + kPumpPeriod;
        for (std::size_t i = 0; i < processes_.size(); ++i) Pump(i, now);
      }
    }
    return Summary();
  }

 private:
  struct Process {
    Process(const serving::PlacementSettings& settings, std::uint64_t seed)
        : placement(settings, seed), admission(placement, seed) {}
    Placement placement;
    Admission admission;
    serving::CallerTimeoutTracker usual;
  };
  struct Reading {
    TimePoint due{};
    std::vector<serving::EngineStatus> readings;
  };

  static std::string AddressOf(std::size_t i) { return "10.0.0." + std::to_string(i) + ":80"; }

  Duration Pause(const RequestKind& kind) {
    std::exponential_distribution<double> pause(kind.per_second * case_.load);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(random_)));
  }

  double Length(double mean) {
    std::exponential_distribution<double> length(1 / mean);
    return std::clamp(length(random_), 1.0, kLongestLength * mean);
  }

  void Arrive(std::size_t kind, TimePoint now) {
    auto request = std::make_unique<Request>();
    request->kind = kind;
    request->prompt = Length(case_.kinds[kind].prompt_tokens);
    request->answer = Length(case_.kinds[kind].answer_tokens);
    request->first_asked = now;
    request->counted = now >= start_ + kWarmUp && now + kCallerPatience < start_ + case_.length;
    const std::uint64_t id = ++last_id_;
    requests_[id] = std::move(request);
    if (requests_[id]->counted) ++result_.requests;
    Ask(id, now);
  }

  void Ask(std::uint64_t id, TimePoint now) {
    Request& request = *requests_.at(id);
    const RequestKind& kind = case_.kinds[request.kind];
    request.asked = now;
    request.process = std::uniform_int_distribution<std::size_t>(0, processes_.size() - 1)(random_);
    Process& process = *processes_[request.process];
    const Duration left = kCallerPatience - (now - request.first_asked);
    serving::AdmissionRequest applicant;
    applicant.id = id;
    applicant.query.service = kService;
    applicant.query.prompt_tokens = request.prompt;
    applicant.query.repeatable = true;
    applicant.query.late = left + kind.objective < process.usual.Record(kind.name, left, now);
    applicant.account = "account";
    applicant.arrived = now;
    applicant.latest_start =
        serving::LatestStart({now, kind.objective, applicant.query.late, false, now + left}, now);
    Take(id, process.admission.Offer(applicant, now), now);
  }

  void Take(std::uint64_t id, const serving::AdmissionDecision& verdict, TimePoint now) {
    Request& request = *requests_.at(id);
    if (const auto* placed = std::get_if<serving::PlacementResult>(&verdict)) {
      request.endpoint = placed->id;
      request.unread = request.prompt;
      request.unwritten = request.answer;
      engines_.at(placed->id).Submit(id, &request);
    } else if (const auto* refusal = std::get_if<serving::Refusal>(&verdict)) {
      if (request.returned) {
        if (request.counted) ++result_.refused;
        requests_.erase(id);
        return;
      }
      request.returned = true;
      returns_.emplace(now + refusal->retry_after, id);
    }
  }

  void Pump(std::size_t process, TimePoint now) {
    for (const auto& [id, verdict] : processes_[process]->admission.ProcessWaiting(now)) {
      Take(id, verdict, now);
    }
  }

  void OnEvent(Request& request, TimePoint now) {
    if (!request.begun) {
      request.begun = true;
      request.first_event_ms = ToMilliseconds(now - request.first_asked);
      Placement& placement = processes_[request.process]->placement;
      placement.RemovePending(request.endpoint, request.prompt);
      const Engine& engine = engines_.at(request.endpoint);
      placement.OnLoadReport(request.endpoint, engine.running(), engine.waiting(), now);
      Pump(request.process, now);
    } else {
      request.longest_pause_ms =
          std::max(request.longest_pause_ms, ToMilliseconds(now - request.last_event));
    }
    request.last_event = now;
  }

  void OnDone(std::uint64_t id, TimePoint now) {
    const Request& request = *requests_.at(id);
    const std::size_t process = request.process;
    processes_[process]->placement.Finish(request.endpoint, traffic::AttemptResult::kSuccess, now);
    if (request.counted) {
      const bool in_time =
          request.first_event_ms <= ToMilliseconds(case_.kinds[request.kind].objective) &&
          request.longest_pause_ms <= kLongestPauseMs;
      ++(in_time ? result_.in_time : result_.late);
      first_events_.push_back(request.first_event_ms);
    }
    requests_.erase(id);
    Pump(process, now);
  }

  void Report(TimePoint now) {
    Reading reading{now + kReportLag, {}};
    for (std::size_t i = 0; i < order_.size(); ++i) {
      const Engine& engine = engines_.at(order_[i]);
      reading.readings.push_back(
          {AddressOf(i), 1, 1, engine.running(), engine.waiting(), false, 1});
    }
    under_way_.push_back(std::move(reading));
  }

  void DeliverReports(TimePoint now) {
    while (!under_way_.empty() && under_way_.front().due <= now) {
      for (const auto& it : under_way_.front().readings) {
        for (auto& process : processes_) process->placement.OnEngineStatus(it, now);
      }
      under_way_.pop_front();
    }
  }

  OverloadResult Summary() {
    std::sort(first_events_.begin(), first_events_.end());
    if (!first_events_.empty()) {
      result_.median_ms = first_events_[first_events_.size() / 2];
      result_.p95_ms = first_events_[first_events_.size() * 95 / 100];
    }
    return result_;
  }

  OverloadScenario case_;
  std::minstd_rand random_;
  TimePoint start_ = TimePoint(std::chrono::seconds(1000));
  std::map<std::string, Engine> engines_;
  std::vector<std::string> order_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::multimap<TimePoint, std::uint64_t> returns_;
  std::deque<Reading> under_way_;
  std::uint64_t last_id_ = 0;
  std::vector<double> first_events_;
  OverloadResult result_;
};

}  // namespace

std::vector<RequestKind> TypicalRequestKinds() {
  return {{"summary", 69, 1330, 105, milliseconds(500)},
          {"reply", 52.6, 827, 105, milliseconds(400)},
          {"alert", 49.7, 647, 70, milliseconds(400)}};
}

OverloadResult RunOverload(const OverloadScenario& overload) { return Model(overload).Run(); }

}  // namespace wagtailslip::benchmark
