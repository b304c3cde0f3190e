#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "retry_budget_rule.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::retry_model {

/// When each run starts.
inline constexpr TimePoint kStart{std::chrono::seconds(1000)};

/// What happens to ingress processes, or to the control processes, for a time.
enum class Fault {
  kRestarted,     ///< The processes end at the start of the span and run again at its end.
  kAbsent,        ///< The processes do not run; before their first start or after their stop.
  kFrozen,        ///< The processes do nothing, and then continue where they stood.
  kCutOff,        ///< No message between the processes and the control processes arrives.
  kLateMessages,  ///< Messages to and from control processes take up to kMaxLateness.
  kLateArrivals,  ///< What the processes send reaches endpoints up to kMaxLateness later.
  kNoLeader,      ///< No control process leads; afterwards one does that has no memory.
};
inline constexpr Duration kMaxLateness = std::chrono::milliseconds(400);

struct FaultSpan {
  Fault fault = Fault::kRestarted;
  Duration from{};
  Duration to{};
  /// Share of the ingress processes, drawn by the seed; ignored for kNoLeader.
  double share = 1;
};

/// Part of a run with its own load.
struct Load {
  Duration from{};
  /// Requests per second of all callers.
  double requests = 0;
  /// Share of the requests that need another send.
  double failing = 0;
};

struct Scenario {
  std::string name;
  std::size_t processes = 4;
  std::vector<Load> loads;
  std::vector<FaultSpan> faults;
  Duration length = std::chrono::seconds(36);
  std::uint64_t seed = 1;
  retry_budget_rule::Rule rule;
};

struct Result {
  /// Times at which callers sent requests, and at which retries reached endpoints.
  std::vector<TimePoint> requests;
  std::vector<TimePoint> retries;
  /// Retries that were needed.
  std::size_t needed = 0;
};

/// How the processes decide on retries; the decisions are those of the product.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void Start(std::size_t process, TimePoint now) = 0;
  virtual void OnRequest(std::size_t process, TimePoint now) = 0;
  virtual bool Take(std::size_t process, TimePoint now) = 0;
  /// Called every 20 ms for a process that runs.
  virtual void Tick(std::size_t process, TimePoint now) = 0;
  /// Called for the control processes; `leading` is false while none of them leads.
  virtual void TickControl(bool leading, TimePoint now) = 0;
  /// The ingress processes that the control processes list changed.
  virtual void SetListed(std::size_t count) = 0;
  /// A message between the process and the control processes is possible, and how late it is.
  virtual void SetLink(std::size_t process, bool connected, Duration lateness) = 0;
};

/// Runs callers, ingress processes and faults in virtual time.
Result Run(const Scenario& scenario, Policy& policy);

/// Faults and loads drawn by the seed.
Scenario RandomScenario(std::uint64_t seed);

}  // namespace wagtailslip::retry_model
