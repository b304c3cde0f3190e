#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::rollout {

/// Thrown for a malformed or incomplete state chart.
class ChartError : public Error {
 public:
  using Error::Error;
};

/// How a state handles an event: change state, ignore it, or refuse it.
enum class Reaction { kTransition, kIgnore, kRefuse };
inline constexpr EnumTable<Reaction, 3> kReactions{{{{Reaction::kTransition, "on"},
                                                     {Reaction::kIgnore, "ignore"},
                                                     {Reaction::kRefuse, "refuse"}}}};

/// Outcome of an event in a given state.
struct Transition {
  Reaction reaction = Reaction::kRefuse;
  /// State after the event; the same state unless the reaction is kTransition.
  std::string next;
  /// Reason given in the chart for kRefuse; empty otherwise.
  std::string reason;
};

/// Interprets a state chart. The format is described in charts/rollout.chart.
class Chart {
 public:
  /// Parses a chart and verifies that every state is reachable and handles every event.
  /// @throws ChartError naming the invalid line, or the state and event
  static Chart Parse(std::string_view text);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }
  const std::set<std::string, std::less<>>& events() const { return events_; }
  std::vector<std::string> states() const;

  /// Looks up the transition for an event. Undeclared events are refused.
  /// @throws ChartError if the state is unknown
  const Transition& Fire(std::string_view state, std::string_view event) const;
  /// Whether no event leads out of the state.
  bool IsFinal(std::string_view state) const;

 private:
  void ParseLine(std::string_view line, int number, std::string& state);
  void Check() const;

  std::string name_;
  std::string initial_;
  std::set<std::string, std::less<>> events_;
  std::map<std::string, std::map<std::string, Transition, std::less<>>, std::less<>> states_;
  Transition unknown_event_{Reaction::kRefuse, "", "the chart does not declare this event"};
};

/// Charts from charts/, embedded at build time and parsed on first use.
/// @throws ChartError
const Chart& RolloutChart();
const Chart& ReplicaChart();

}  // namespace wagtailslip::rollout
