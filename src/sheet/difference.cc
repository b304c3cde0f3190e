#include <algorithm>
#include <map>
#include <set>

#include "wagtailslip/sheet/sheet.h"

namespace wagtailslip::sheet {
namespace {

using config::CreateRollout;
using config::Rule;
using config::ScheduledChange;

std::string Number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

std::string Describe(const Rule& rule) {
  return std::string(config::kCallClasses.Name(rule.call_class)) + ", priority " +
         std::to_string(rule.priority) + ", weight " + Number(rule.weight) + ", limit " +
         Number(rule.rate_limit) + "/s, deadline " + Number(ToMilliseconds(rule.deadline)) + " ms";
}

/// Values of all objects as they will be at a time of the preview.
class Timeline {
 public:
  explicit Timeline(const config::State& state) {
    for (const auto& [key, line] : state.version_histories) {
      const auto rollout = state.rollouts.find(line.rollout_id);
      const bool ended =
          rollout->second.state == "rolled-back" || rollout->second.state == "cancelled";
      if (!ended) {
        values_[key] = rollout->second.spec.version;
      } else if (line.last_good) {
        values_[key] = line.last_good->version;
      }
    }
    for (const auto& [key, entry] : state.rules) values_["\n" + key] = Describe(entry.rule);
  }

  /// Fills a line with the values before and after a change.
  /// @return key of the object for Set
  std::string Fill(const ScheduledChange& change, DifferenceLine& line) const {
    std::string key;
    if (const auto* rollout = std::get_if<CreateRollout>(&change.change)) {
      key = config::ArtifactKey(rollout->model, rollout->adapter);
      line.object = key;
      line.after = rollout->version;
      const auto base = values_.find(rollout->model);
      const std::string present = base == values_.end() ? "none" : base->second;
      if (!rollout->adapter.empty() && present != rollout->base_version) {
        line.warnings.push_back("the adapter needs version " + rollout->base_version + " of " +
                                rollout->model + ", which will be at " + present);
      }
    } else {
      const Rule& rule = std::get<config::SetRule>(change.change).rule;
      key = "\n" + config::RuleKey(rule.account, rule.kind);
      line.object = rule.account + ", " + rule.kind;
      line.after = Describe(rule);
    }
    const auto value = values_.find(key);
    if (value != values_.end()) line.before = value->second;
    return key;
  }

  /// Goes on to the time after a change.
  void Set(const std::string& key, const std::string& value) { values_[key] = value; }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace

std::vector<DifferenceLine> Difference(const Sheet& sheet, const config::State& state,
                                       UtcTime now) {
  std::set<Digest> effected;
  for (const auto& change : state.sheet.applied_changes) effected.insert(change.content);
  std::set<Digest> pending;
  for (const auto& change : state.sheet.pending) {
    pending.insert(config::ContentDigest(change.change));
  }
  std::vector<const SheetRow*> rows;
  std::set<Digest> kept;
  for (const auto& row : sheet.rows) {
    rows.push_back(&row);
    kept.insert(config::ContentDigest(row.change));
  }
  std::stable_sort(rows.begin(), rows.end(), [](const auto* a, const auto* b) {
    return a->change.effective_at < b->change.effective_at;
  });
  std::vector<DifferenceLine> lines;
  Timeline timeline(state);
  for (const auto* row : rows) {
    DifferenceLine line{.row = row->row, .effective_at = row->change.effective_at};
    const Digest digest = config::ContentDigest(row->change);
    if (effected.contains(digest)) {
      timeline.Fill(row->change, line);
      line.effect = Effect::kTookEffect;
      line.after = line.before;
      line.warnings.clear();
      lines.push_back(std::move(line));
      continue;
    }
    timeline.Set(timeline.Fill(row->change, line), line.after);
    if (pending.contains(digest)) {
      line.effect = Effect::kKept;
    } else if (line.before == line.after) {
      line.effect = Effect::kInForce;
    }
    if (row->change.effective_at <= now) {
      line.warnings.emplace_back("its time has passed; it takes effect at once");
    }
    lines.push_back(std::move(line));
  }
  const Timeline present(state);
  for (const auto& change : state.sheet.pending) {
    if (kept.contains(config::ContentDigest(change.change))) continue;
    DifferenceLine line{.effect = Effect::kRemoved, .effective_at = change.change.effective_at};
    present.Fill(change.change, line);
    line.warnings.clear();
    std::swap(line.before, line.after);
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace wagtailslip::sheet
