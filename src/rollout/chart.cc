#include "wagtailslip/rollout/chart.h"

#include <deque>
#include <sstream>

#include "wagtailslip/rollout/embedded_charts.h"

namespace wagtailslip::rollout {
namespace {

std::vector<std::string> SplitWords(std::string_view line) {
  std::istringstream in{std::string(line)};
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

[[noreturn]] void Fail(int number, const std::string& what) {
  throw ChartError("chart line " + std::to_string(number) + ": " + what);
}

}  // namespace

Chart Chart::Parse(std::string_view text) {
  Chart chart;
  std::string state;
  int number = 0;
  while (!text.empty()) {
    const auto end = text.find('\n');
    chart.ParseLine(text.substr(0, end), ++number, state);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  }
  chart.Check();
  return chart;
}

void Chart::ParseLine(std::string_view line, int number, std::string& state) {
  line = line.substr(0, line.find('#'));
  const auto words = SplitWords(line);
  if (words.empty()) return;
  if (words[0] == "event") {
    events_.insert(words.begin() + 1, words.end());
    return;
  }
  if (words.size() < 2) Fail(number, "'" + words[0] + "' needs a name");
  if (words[0] == "chart") {
    name_ = words[1];
  } else if (words[0] == "initial") {
    initial_ = words[1];
  } else if (words[0] == "state") {
    state = words[1];
    if (!states_.try_emplace(state).second) Fail(number, "state " + state + " appears twice");
  } else if (const auto reaction = kReactions.Find(words[0])) {
    if (state.empty()) Fail(number, "an event outside a state");
    Transition transition{*reaction, state, ""};
    if (*reaction == Reaction::kTransition) {
      if (words.size() != 4 || words[2] != "->") Fail(number, "expected 'on EVENT -> STATE'");
      transition.next = words[3];
    } else if (*reaction == Reaction::kRefuse) {
      if (words.size() < 3) Fail(number, "a refused event needs a reason");
      for (std::size_t i = 2; i < words.size(); ++i) {
        transition.reason += (i > 2 ? " " : "") + words[i];
      }
    } else if (words.size() != 2) {
      Fail(number, "expected 'ignore EVENT'");
    }
    if (!states_[state].emplace(words[1], transition).second) {
      Fail(number, "event " + words[1] + " appears twice in state " + state);
    }
  } else {
    Fail(number, "unknown word '" + words[0] + "'");
  }
}

void Chart::Check() const {
  if (name_.empty()) throw ChartError("the chart has no name");
  if (!states_.contains(initial_)) throw ChartError(name_ + ": no initial state");
  for (const auto& [state, transitions] : states_) {
    const std::string at = name_ + ": state " + state;
    for (const auto& event : events_) {
      if (!transitions.contains(event))
        throw ChartError(std::string(at).append(" does not react to event ").append(event));
    }
    for (const auto& [event, transition] : transitions) {
      if (!events_.contains(event))
        throw ChartError(std::string(at).append(" reacts to undeclared event ").append(event));
      if (!states_.contains(transition.next)) {
        throw ChartError(name_ + ": state " + transition.next + " is not defined");
      }
    }
  }
  std::set<std::string> reachable{initial_};
  std::deque<std::string> pending{initial_};
  while (!pending.empty()) {
    for (const auto& [event, transition] : states_.find(pending.front())->second) {
      if (reachable.insert(transition.next).second) pending.push_back(transition.next);
    }
    pending.pop_front();
  }
  for (const auto& [state, transitions] : states_) {
    if (!reachable.contains(state))
      throw ChartError(name_ + ": state " + state + " is unreachable");
  }
}

std::vector<std::string> Chart::states() const {
  std::vector<std::string> names;
  for (const auto& [state, transitions] : states_) names.push_back(state);
  return names;
}

const Transition& Chart::Fire(std::string_view state, std::string_view event) const {
  const auto at = states_.find(state);
  if (at == states_.end()) throw ChartError(name_ + ": unknown state " + std::string(state));
  const auto it = at->second.find(event);
  return it == at->second.end() ? unknown_event_ : it->second;
}

bool Chart::IsFinal(std::string_view state) const {
  const auto at = states_.find(state);
  if (at == states_.end()) throw ChartError(name_ + ": unknown state " + std::string(state));
  for (const auto& [event, transition] : at->second) {
    if (transition.reaction == Reaction::kTransition) return false;
  }
  return true;
}

const Chart& RolloutChart() {
  static const Chart chart = Chart::Parse(kRolloutChartText);
  return chart;
}

const Chart& ReplicaChart() {
  static const Chart chart = Chart::Parse(kReplicaChartText);
  return chart;
}

}  // namespace wagtailslip::rollout
