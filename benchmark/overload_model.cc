#include "overload_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <variant>

#include "wagtailslip/serving/admission.h"
#include "wagtailslip/serving/caller_timeout_tracker.h"
#include "wagtailslip/serving/ingress_selection.h"

namespace wagtailslip::benchmark {
namespace {

using serving::Admission;
using serving::Placement;
using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(1);
constexpr Duration kProcessWaitingPeriod = milliseconds(20);
// Interval at which sidecars read the load of their engines, and delay until the reports reach the
// ingress processes: the control processes collect reports before they relay them.
constexpr Duration kReportPeriod = milliseconds(120);
constexpr Duration kReportDelay = milliseconds(60);
// Time that the users' callers wait in all, including one retry.
constexpr Duration kCallerTimeout = milliseconds(6000);
// Maximum time between two events of a stream that is served in time.
constexpr double kMaxPauseMs = 400;
// Length of the initial part, in which the engines fill up. Requests that first arrive in it are
// not counted, nor are those less than kCallerTimeout before the end, which may not be served yet.
constexpr Duration kWarmUp = milliseconds(6000);
// Upper limit of random lengths, relative to their mean.
constexpr double kMaxLengthFactor = 3;
constexpr double kMaxSpreadLengthFactor = 8;
// Callers honour a Retry-After up to this part of their remaining time.
constexpr int kHonouredDivisor = 3;
constexpr double kColdSlowdown = 2;
constexpr std::uint32_t kMaxSends = 2;
constexpr double kLongTenth = 0.9;
// Shares that one process allots to all: their period, the floor of each rank, and the utilization
// below which nothing is limited.
constexpr Duration kAllotmentPeriod = milliseconds(1000);
constexpr double kShareFloor = 1.0 / 3;
constexpr double kFreeUtilization = 0.85;
constexpr Duration kShareRetryAfter = milliseconds(600);
const char* const kService = "assistant";

struct Request {
  std::size_t kind = 0;
  double prompt = 0;
  double answer = 0;
  TimePoint first_sent{};
  TimePoint sent{};
  bool retried = false;
  bool counted = false;
  std::uint32_t sends = 0;
  std::vector<std::string> tried;
  // State at an engine.
  std::string endpoint;
  std::size_t process = 0;
  double unread_tokens = 0;
  double unwritten_tokens = 0;
  bool started = false;
  TimePoint last_event{};
  double first_event_ms = 0;
  double max_pause_ms = 0;
};

class Engine {
 public:
  explicit Engine(const EngineParameters& parameters) : parameters_(parameters) {}

  void Submit(std::uint64_t id, std::uint32_t priority, Request* request) {
    waiting_.emplace(std::pair(priority, ++last_sequence_), std::pair(id, request));
  }
  void SetSlowUntil(TimePoint until) { slow_until_ = until; }
  std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
  std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }

  /// Ends the current pass if it is due, and starts the next one.
  /// @param on_event called for each request that generated tokens in the pass
  /// @param on_done called for each request that is complete
  template <typename OnEvent, typename OnDone>
  void Advance(TimePoint now, OnEvent on_event, OnDone on_done) {
    if (now < pass_end_) return;
    for (auto it = running_.begin(); it != running_.end();) {
      Request& request = *it->second;
      if (!decoding_ || request.unread_tokens > 0) {
        ++it;
        continue;
      }
      request.unwritten_tokens -= parameters_.steps_per_pass;
      on_event(it->first, request);
      if (request.unwritten_tokens > 0) {
        ++it;
        continue;
      }
      on_done(it->first, request);
      it = running_.erase(it);
    }
    StartPass(now);
  }

 private:
  void StartPass(TimePoint now) {
    while (running_.size() < parameters_.slots && !waiting_.empty()) {
      running_.push_back(waiting_.begin()->second);
      waiting_.erase(waiting_.begin());
    }
    double budget = parameters_.chunk_tokens;
    std::size_t decoding = 0;
    for (auto& [id, request] : running_) {
      const double read = std::min(budget, request->unread_tokens);
      request->unread_tokens -= read;
      budget -= read;
      if (request->unread_tokens <= 0) ++decoding;
    }
    double pass_ms = (parameters_.chunk_tokens - budget) / parameters_.tokens_per_ms;
    decoding_ = decoding > 0;
    if (decoding_) {
      pass_ms +=
          parameters_.steps_per_pass *
          (parameters_.step_ms + parameters_.step_per_request_ms * static_cast<double>(decoding));
    }
    if (now < slow_until_) pass_ms *= kColdSlowdown;
    pass_end_ = now + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double, std::milli>(pass_ms));
  }

  EngineParameters parameters_;
  /// By priority, then by arrival.
  std::map<std::pair<std::uint32_t, std::uint64_t>, std::pair<std::uint64_t, Request*>> waiting_;
  std::uint64_t last_sequence_ = 0;
  TimePoint slow_until_{};
  std::deque<std::pair<std::uint64_t, Request*>> running_;
  bool decoding_ = false;
  TimePoint pass_end_{};
};

class Model {
 public:
  explicit Model(const OverloadScenario& overload)
      : scenario_(overload), random_(static_cast<std::minstd_rand::result_type>(overload.seed)) {
    serving::ServiceConfig config;
    serving::EngineProfile profile;
    profile.model = "m";
    profile.slots = scenario_.engine.slots;
    profile.prefill_rate = scenario_.engine.tokens_per_ms * 1000;
    config.services.push_back({kService, "/healthz", 100, profile, ""});
    config_ = config;
    for (std::size_t i = 0; i < scenario_.engines; ++i) {
      serving::EndpointRecord record;
      record.id = "e" + std::to_string(i);
      record.started_ms = 1;
      record.sequence = 1;
      record.service = kService;
      record.address = AddressOf(i);
      record.failure_domain = "a";
      record.slots = scenario_.engine.slots;
      record.model = "m";
      record.weights = 1;
      table_.Apply(record, start_);
      records_.push_back(record);
      engines_.emplace(record.id, Engine(scenario_.engine));
      endpoint_ids_.push_back(record.id);
    }
    std::map<std::string, std::string> names;
    for (std::size_t i = 0; i < scenario_.processes; ++i) names["p" + std::to_string(i)] = "a";
    const auto selected = serving::SelectIngress(names, scenario_.engines);
    std::erase_if(names, [&](const auto& it) { return !selected.contains(it.first); });
    serving::PlacementSettings settings = scenario_.placement;
    settings.failure_domain = "a";
    if (scenario_.policy == PriorityPolicy::kEngineQueue) {
      const double limit = 1 + scenario_.engine_queue_limit / scenario_.engine.slots;
      settings.max_engine_utilization = limit;
      settings.max_engine_utilization_if_late = limit;
    }
    arrived_work_.resize(scenario_.kinds.size(), 0);
    shares_.resize(scenario_.kinds.size(), 1);
    for (const auto& [name, domain] : names) {
      auto process = std::make_unique<Process>(settings, scenario_.seed + processes_.size());
      process->placement.SetProcesses(name, names);
      process->placement.Sync(table_, config);
      if (scenario_.policy == PriorityPolicy::kLimits) {
        process->admission.priority_limits(kService) = serving::PriorityLimits(scenario_.limits);
        process->admission.SetRanks(kService, RankCount());
      }
      processes_.push_back(std::move(process));
    }
  }

  OverloadResult Run() {
    const TimePoint end = start_ + scenario_.length;
    std::vector<TimePoint> next;
    for (const auto& kind : scenario_.kinds)
      next.push_back(start_ + InterArrivalTime(kind, start_));
    TimePoint report_at = start_;
    TimePoint process_waiting_at = start_;
    for (TimePoint now = start_; now < end; now += kTick) {
      for (std::size_t i = 0; i < scenario_.kinds.size(); ++i) {
        for (; next[i] <= now; next[i] += InterArrivalTime(scenario_.kinds[i], now)) Arrive(i, now);
      }
      UpdateOutages(now);
      if ((now - start_) % kAllotmentPeriod == Duration::zero()) AllotShares();
      while (!retries_.empty() && retries_.begin()->first <= now) {
        const std::uint64_t id = retries_.begin()->second;
        retries_.erase(retries_.begin());
        Send(id, now);
      }
      for (auto& [id, engine] : engines_) {
        engine.Advance(
            now, [&](std::uint64_t, Request& request) { OnEvent(request, now); },
            [&](std::uint64_t request, Request&) { OnDone(request, now); });
      }
      if (now >= report_at) {
        report_at = now + kReportPeriod;
        Report(now);
        CountUtilization();
      }
      DeliverReports(now);
      if (now >= process_waiting_at) {
        process_waiting_at = now + kProcessWaitingPeriod;
        for (std::size_t i = 0; i < processes_.size(); ++i) ProcessWaiting(i, now);
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
    serving::CallerTimeoutTracker usual_timeout;
  };
  struct DelayedReport {
    TimePoint due{};
    std::vector<serving::EngineStatus> readings;
  };

  static std::string AddressOf(std::size_t i) { return "10.0.0." + std::to_string(i) + ":80"; }

  std::size_t RankCount() const {
    std::uint32_t last = 0;
    for (const auto& it : scenario_.kinds) last = std::max(last, it.priority);
    return last + 1;
  }

  std::uint32_t PriorityOf(const RequestKind& kind) const {
    return scenario_.policy == PriorityPolicy::kNone ? 0 : kind.priority;
  }

  double LoadFactor(const RequestKind& kind, TimePoint now) const {
    double factor = scenario_.load;
    for (const auto& it : scenario_.bursts) {
      const Duration at = now - start_;
      if (at >= it.from && at < it.to && (it.kind.empty() || it.kind == kind.name)) {
        factor *= it.factor;
      }
    }
    return factor;
  }

  void UpdateOutages(TimePoint now) {
    const Duration at = now - start_;
    for (const auto& it : scenario_.outages) {
      const auto count =
          static_cast<std::size_t>(it.fraction * static_cast<double>(records_.size()) + 0.5);
      const bool begins = at >= it.from && at < it.from + kTick;
      const bool ends = at >= it.to && at < it.to + kTick;
      if (!begins && !ends) continue;
      for (std::size_t i = 0; i < count; ++i) {
        records_[i].state =
            begins ? serving::EndpointState::kDraining : serving::EndpointState::kServing;
        ++records_[i].sequence;
        table_.Apply(records_[i], now);
        if (ends) engines_.at(records_[i].id).SetSlowUntil(now + it.cold);
      }
      for (auto& process : processes_) process->placement.Sync(table_, config_);
    }
  }

  /// Engine time that a request of the kind takes, in milliseconds.
  double WorkOf(const RequestKind& kind) const {
    const auto& engine = scenario_.engine;
    return kind.prompt_tokens / engine.tokens_per_ms +
           kind.answer_tokens * engine.step_ms / engine.slots;
  }

  /// Divides the capacity of all engines by rank, with a floor for each.
  void AllotShares() {
    if (scenario_.policy != PriorityPolicy::kLeaderShares) return;
    const double used = used_slots_ - used_slots_at_allotment_;
    const double all = all_slots_ - all_slots_at_allotment_;
    used_slots_at_allotment_ = used_slots_;
    all_slots_at_allotment_ = all_slots_;
    const double utilization = all > 0 ? used / all : 0;
    double left = started_work_ / std::max(utilization, 0.1);
    started_work_ = 0;
    for (const double it : arrived_work_) left -= kShareFloor * it;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      const double rest = (1 - kShareFloor) * arrived_work_[i];
      const double given = std::clamp(left, 0.0, rest);
      left -= given;
      const bool free = utilization < kFreeUtilization || arrived_work_[i] <= 0;
      shares_[i] = free ? 1 : kShareFloor + given / arrived_work_[i];
      arrived_work_[i] = 0;
    }
  }

  void CountUtilization() {
    for (std::size_t i = 0; i < records_.size(); ++i) {
      if (records_[i].state != serving::EndpointState::kServing) continue;
      used_slots_ += engines_.at(records_[i].id).running();
      all_slots_ += scenario_.engine.slots;
    }
  }

  Duration InterArrivalTime(const RequestKind& kind, TimePoint now) {
    std::exponential_distribution<double> interval(kind.per_second * LoadFactor(kind, now));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval(random_)));
  }

  double RandomLength(double mean, double log_spread) {
    if (log_spread > 0) {
      std::lognormal_distribution<double> length(std::log(mean) - log_spread * log_spread / 2,
                                                 log_spread);
      return std::clamp(length(random_), 1.0, kMaxSpreadLengthFactor * mean);
    }
    std::exponential_distribution<double> length(1 / mean);
    return std::clamp(length(random_), 1.0, kMaxLengthFactor * mean);
  }

  void Arrive(std::size_t kind, TimePoint now) {
    auto request = std::make_unique<Request>();
    request->kind = kind;
    request->prompt =
        RandomLength(scenario_.kinds[kind].prompt_tokens, scenario_.kinds[kind].log_spread);
    request->answer =
        RandomLength(scenario_.kinds[kind].answer_tokens, scenario_.kinds[kind].log_spread);
    request->first_sent = now;
    request->counted = now >= start_ + kWarmUp && now + kCallerTimeout < start_ + scenario_.length;
    const std::uint64_t id = ++last_id_;
    requests_[id] = std::move(request);
    if (requests_[id]->counted) {
      ++result_.requests;
      ++result_.kinds[scenario_.kinds[kind].name].requests;
      prompts_[kind].emplace_back(requests_[id]->prompt, id);
    }
    Send(id, now);
  }

  void Send(std::uint64_t id, TimePoint now) {
    Request& request = *requests_.at(id);
    request.sent = now;
    request.process = std::uniform_int_distribution<std::size_t>(0, processes_.size() - 1)(random_);
    arrived_work_[request.kind] += WorkOf(scenario_.kinds[request.kind]);
    if (std::uniform_real_distribution<double>(0, 1)(random_) > shares_[request.kind]) {
      std::uniform_real_distribution<double> factor(0.75, 2);
      const double rank = 1 + scenario_.kinds[request.kind].priority;
      return Refuse(
          id, std::chrono::duration_cast<Duration>(kShareRetryAfter * factor(random_) * rank), now);
    }
    Offer(id, now);
  }

  void Offer(std::uint64_t id, TimePoint now) {
    Request& request = *requests_.at(id);
    const RequestKind& kind = scenario_.kinds[request.kind];
    Process& process = *processes_[request.process];
    const Duration left = kCallerTimeout - (now - request.first_sent);
    serving::AdmissionRequest admission_request;
    admission_request.id = id;
    admission_request.query.service = kService;
    admission_request.query.prompt_tokens = request.prompt;
    admission_request.query.repeatable = true;
    admission_request.query.late =
        left + kind.objective < process.usual_timeout.Record(kind.name, left, now);
    admission_request.query.excluded = request.tried;
    admission_request.priority = PriorityOf(kind);
    admission_request.deadline = now + left;
    admission_request.account = "account";
    admission_request.arrived = now;
    admission_request.latest_start =
        serving::LatestStart({now, kind.objective, admission_request.query.late, request.sends > 0,
                              now + left, scenario_.policy == PriorityPolicy::kLimits},
                             now);
    ApplyDecision(id, process.admission.Offer(admission_request, now), now);
  }

  void Refuse(std::uint64_t id, Duration retry_after, TimePoint now) {
    Request& request = *requests_.at(id);
    auto& kind = result_.kinds[scenario_.kinds[request.kind].name];
    if (request.retried) {
      if (request.counted) {
        ++result_.refused;
        ++kind.refused;
      }
      requests_.erase(id);
      return;
    }
    if (request.counted) ++kind.returned;
    request.retried = true;
    request.tried.clear();
    request.sends = 0;
    const Duration left = kCallerTimeout - (now - request.first_sent);
    retries_.emplace(now + std::min(retry_after, left / kHonouredDivisor), id);
  }

  void ApplyDecision(std::uint64_t id, const serving::AdmissionDecision& decision, TimePoint now) {
    Request& request = *requests_.at(id);
    if (const auto* placed = std::get_if<serving::PlacementResult>(&decision)) {
      request.endpoint = placed->id;
      request.unread_tokens = request.prompt;
      request.unwritten_tokens = request.answer;
      Engine& engine = engines_.at(placed->id);
      if (engine.waiting() >= scenario_.engine_queue) {
        // The engine refuses the request, which is tried at another one.
        Placement& placement = processes_[request.process]->placement;
        placement.RemovePending(placed->id, request.prompt);
        placement.OnRefused(placed->id, now);
        request.tried.push_back(placed->id);
        if (++request.sends < kMaxSends) {
          Offer(id, now);
        } else {
          Refuse(id, processes_[request.process]->admission.RetryAfter(kService, now), now);
        }
        return;
      }
      engine.Submit(id, PriorityOf(scenario_.kinds[request.kind]), &request);
    } else if (const auto* refusal = std::get_if<serving::Refusal>(&decision)) {
      Refuse(id, refusal->retry_after, now);
    }
  }

  void ProcessWaiting(std::size_t process, TimePoint now) {
    for (const auto& [id, decision] : processes_[process]->admission.ProcessWaiting(now)) {
      ApplyDecision(id, decision, now);
    }
  }

  void OnEvent(Request& request, TimePoint now) {
    if (!request.started) {
      request.started = true;
      started_work_ += WorkOf(scenario_.kinds[request.kind]);
      request.first_event_ms = ToMilliseconds(now - request.first_sent);
      Placement& placement = processes_[request.process]->placement;
      placement.RemovePending(request.endpoint, request.prompt);
      const Engine& engine = engines_.at(request.endpoint);
      placement.OnLoadReport(request.endpoint,
                             {engine.running(), engine.waiting(), 0, std::nullopt}, now);
      ProcessWaiting(request.process, now);
    } else {
      request.max_pause_ms =
          std::max(request.max_pause_ms, ToMilliseconds(now - request.last_event));
    }
    request.last_event = now;
  }

  void OnDone(std::uint64_t id, TimePoint now) {
    const Request& request = *requests_.at(id);
    const std::size_t process = request.process;
    processes_[process]->placement.Finish(request.endpoint, traffic::AttemptResult::kSuccess, now);
    if (request.counted) {
      const bool in_time =
          request.first_event_ms <= ToMilliseconds(scenario_.kinds[request.kind].objective) &&
          request.max_pause_ms <= kMaxPauseMs;
      ++(in_time ? result_.in_time : result_.late);
      auto& kind = result_.kinds[scenario_.kinds[request.kind].name];
      ++(in_time ? kind.in_time : kind.late);
      served_.insert(id);
      if (in_time) in_time_.insert(id);
      first_events_.push_back(request.first_event_ms);
    }
    requests_.erase(id);
    ProcessWaiting(process, now);
  }

  void Report(TimePoint now) {
    DelayedReport report{now + kReportDelay, {}};
    for (std::size_t i = 0; i < endpoint_ids_.size(); ++i) {
      const Engine& engine = engines_.at(endpoint_ids_[i]);
      report.readings.push_back({AddressOf(i), 1, 1, engine.running(), engine.waiting(), false, 1});
    }
    reports_in_transit_.push_back(std::move(report));
  }

  void DeliverReports(TimePoint now) {
    while (!reports_in_transit_.empty() && reports_in_transit_.front().due <= now) {
      for (const auto& it : reports_in_transit_.front().readings) {
        for (auto& process : processes_) process->placement.OnEngineStatus(it, now);
      }
      reports_in_transit_.pop_front();
    }
  }

  OverloadResult Summary() {
    std::sort(first_events_.begin(), first_events_.end());
    if (!first_events_.empty()) {
      result_.median_ms = first_events_[first_events_.size() / 2];
      result_.p95_ms = first_events_[first_events_.size() * 95 / 100];
    }
    result_.utilization = used_slots_ / std::max(all_slots_, 1.0);
    double worth = 0;
    double full_worth = 0;
    for (std::size_t i = 0; i < scenario_.kinds.size(); ++i) {
      const RequestKind& kind = scenario_.kinds[i];
      auto& result = result_.kinds[kind.name];
      const double kind_worth = static_cast<double>(result.in_time) * kind.value +
                                static_cast<double>(result.late) * kind.late_value;
      const double kind_full_worth = static_cast<double>(result.requests) * kind.value;
      result.worth = kind_full_worth > 0 ? kind_worth / kind_full_worth : 1;
      worth += kind_worth;
      full_worth += kind_full_worth;
      auto& prompts = prompts_[i];
      std::sort(prompts.begin(), prompts.end());
      const auto first = static_cast<std::size_t>(static_cast<double>(prompts.size()) * kLongTenth);
      for (std::size_t j = first; j < prompts.size(); ++j) {
        ++result.long_requests;
        if (served_.contains(prompts[j].second)) ++result.long_served;
        if (in_time_.contains(prompts[j].second)) ++result.long_in_time;
      }
    }
    result_.worth = full_worth > 0 ? worth / full_worth : 1;
    return result_;
  }

  OverloadScenario scenario_;
  std::minstd_rand random_;
  TimePoint start_ = TimePoint(std::chrono::seconds(1000));
  std::map<std::string, Engine> engines_;
  std::vector<std::string> endpoint_ids_;
  serving::ServiceConfig config_;
  serving::InstanceTable table_;
  std::vector<serving::EndpointRecord> records_;
  double used_slots_ = 0;
  double all_slots_ = 0;
  /// Prompt lengths and ids of the counted requests, by kind.
  std::map<std::size_t, std::vector<std::pair<double, std::uint64_t>>> prompts_;
  std::set<std::uint64_t> served_;
  std::set<std::uint64_t> in_time_;
  /// With PriorityPolicy::kLeaderShares, by kind: work that arrived and was started since the last
  /// allotment, and the share of the requests that may be placed.
  std::vector<double> arrived_work_;
  std::vector<double> shares_;
  double started_work_ = 0;
  double used_slots_at_allotment_ = 0;
  double all_slots_at_allotment_ = 0;
  /// Those that address lookups name.
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::multimap<TimePoint, std::uint64_t> retries_;
  std::deque<DelayedReport> reports_in_transit_;
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

std::vector<RequestKind> PrioritizedRequestKinds() {
  return {{"receipt-draft", 202, 1290, 147, milliseconds(400), 0, 3.7, 0.37, 1},
          {"price-hint", 242, 787, 147, milliseconds(400), 1, 1.7, 0.42, 1},
          {"evening-summary", 171, 607, 70, milliseconds(800), 2, 0.51, 0.19, 1}};
}

EngineParameters PrioritizedEngine() { return {12, 6.73, 0.0219, 30.6, 2048, 7}; }

OverloadScenario PrioritizedOverload(LoadPattern pattern, std::size_t processes,
                                     std::size_t engines) {
  // Requests that arrive in the first and last 6 s are not counted.
  OverloadScenario overload;
  overload.processes = processes;
  overload.engines = engines;
  overload.engine = PrioritizedEngine();
  overload.engine_queue = 24;
  overload.kinds = PrioritizedRequestKinds();
  overload.load = static_cast<double>(engines) / 52;
  overload.length = milliseconds(24000);
  switch (pattern) {
    case LoadPattern::kSteady:
      break;
    case LoadPattern::kUrgentBurst:
      overload.bursts = {{milliseconds(7000), milliseconds(11000), 1.7, "receipt-draft"},
                         {milliseconds(13000), milliseconds(16000), 1.7, "receipt-draft"}};
      break;
    case LoadPattern::kBurst:
      overload.bursts = {{milliseconds(8000), milliseconds(12000), 1.6, ""}};
      break;
    case LoadPattern::kOutage:
      overload.outages = {{milliseconds(8000), milliseconds(16000), 1.0 / 3, Duration::zero()}};
      break;
    case LoadPattern::kColdReturn:
      overload.outages = {{milliseconds(3000), milliseconds(9000), 1.0 / 3, milliseconds(3000)}};
      break;
  }
  return overload;
}

OverloadResult RunOverload(const OverloadScenario& overload) { return Model(overload).Run(); }

}  // namespace wagtailslip::benchmark
