#include "wagtailslip/sheet/sheet.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

#include "local_time.h"
#include "table.h"
#include "wagtailslip/config/validate.h"

namespace wagtailslip::sheet {
namespace {

using config::CreateRollout;
using config::Rule;
using config::ScheduledChange;

/// Which rows use a column.
enum class Use { kBoth, kRollout, kRule };

struct Column {
  std::string_view name;
  Use use;
  /// Whether the rows that use it must fill it.
  bool required;
};

constexpr Column kColumns[] = {
    {"effective_at", Use::kBoth, true},   {"change", Use::kBoth, true},
    {"model", Use::kRollout, true},       {"version", Use::kRollout, true},
    {"adapter", Use::kRollout, false},    {"base_version", Use::kRollout, false},
    {"origin", Use::kRollout, true},      {"root", Use::kRollout, true},
    {"policy", Use::kRollout, false},     {"minimum_serving", Use::kRollout, false},
    {"batch_size", Use::kRollout, false}, {"failure_limit", Use::kRollout, false},
    {"account", Use::kRule, true},        {"kind", Use::kRule, true},
    {"call_class", Use::kRule, false},    {"priority", Use::kRule, false},
    {"weight", Use::kRule, false},        {"rate_limit", Use::kRule, false},
    {"deadline_ms", Use::kRule, false},
};

constexpr std::uint32_t kLongestDeadlineMs = 24 * 3600 * 1000;

std::string Trim(std::string_view text) {
  const auto space = [](char c) { return c == ' ' || c == '\t' || c == '\n'; };
  while (!text.empty() && space(text.front())) text.remove_prefix(1);
  while (!text.empty() && space(text.back())) text.remove_suffix(1);
  return std::string(text);
}

std::string Lower(std::string_view text) {
  std::string out = Trim(text);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

/// Lower case, with spaces and hyphens as underscores.
std::string ColumnName(std::string_view header) {
  std::string name = Lower(header);
  for (char& c : name) c = c == ' ' || c == '-' ? '_' : c;
  return name;
}

const Column* FindColumn(std::string_view name) {
  const auto it = std::find_if(std::begin(kColumns), std::end(kColumns),
                               [&](const auto& column) { return column.name == name; });
  return it == std::end(kColumns) ? nullptr : it;
}

/// Name of a field of a command in the sheet.
std::string ColumnOf(const std::string& field) {
  return field == "deadline" ? "deadline_ms" : field;
}

/// Reads one row into a scheduled change.
class RowReader {
 public:
  RowReader(const TableRow& row, const std::vector<const Column*>& columns, const Options& options,
            std::vector<Fault>& faults)
      : row_(row), options_(options), faults_(faults) {
    for (std::size_t i = 0; i < row.cells.size(); ++i) {
      const std::string cell = Trim(row.cells[i]);
      if (cell.empty()) continue;
      if (i >= columns.size()) {
        Fail("", "cell " + std::to_string(i + 1) + " has no column header");
      } else if (columns[i] != nullptr) {
        cells_[columns[i]->name] = cell;
      }
    }
  }

  std::optional<ScheduledChange> Read() {
    const std::size_t before = faults_.size();
    ScheduledChange change;
    if (const auto cell = cells_.find("effective_at"); cell != cells_.end()) {
      const auto time = ReadTime(cell->second, options_);
      if (const auto* message = std::get_if<std::string>(&time)) {
        Fail("effective_at", *message);
      } else {
        change.effective_at = std::get<UtcTime>(time);
      }
    }
    const std::string kind = Lower(Text("change"));
    if (kind == "rollout") {
      CheckColumns(Use::kRollout);
      change.change = ReadRollout();
    } else if (kind == "rule") {
      CheckColumns(Use::kRule);
      change.change = config::SetRule{{}, ReadRule()};
    } else {
      Fail("change", "'" + kind + "' is neither rollout nor rule");
      if (!cells_.contains("effective_at")) Fail("effective_at", "is empty");
    }
    if (faults_.size() != before) return std::nullopt;
    return change;
  }

 private:
  void Fail(std::string_view column, std::string message) {
    faults_.push_back({row_.number, std::string(column), std::move(message)});
  }

  std::string Text(std::string_view column) const {
    const auto it = cells_.find(column);
    return it == cells_.end() ? "" : it->second;
  }

  void CheckColumns(Use use) {
    for (const auto& column : kColumns) {
      const bool filled = cells_.contains(column.name);
      const bool used = column.use == Use::kBoth || column.use == use;
      if (used && column.required && !filled) Fail(column.name, "is empty");
      if (!used && filled) {
        Fail(column.name,
             std::string("must be empty in a ") + (use == Use::kRule ? "rule" : "rollout"));
      }
    }
  }

  template <typename T>
  void ReadNumber(std::string_view column, T& out, T most) {
    const std::string text = Text(column);
    if (text.empty()) return;
    T value = 0;
    const auto [at, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || at != text.data() + text.size() || value > most) {
      Fail(column, "'" + text + "' is no whole number from 0 to " + std::to_string(most));
      return;
    }
    out = value;
  }

  /// A decimal number with a point or a comma. Both together are ambiguous and refused.
  void ReadDecimal(std::string_view column, double& out) {
    std::string text = Text(column);
    if (text.empty()) return;
    const std::string original = text;
    const bool both = text.find('.') != std::string::npos && text.find(',') != std::string::npos;
    std::replace(text.begin(), text.end(), ',', '.');
    double value = 0;
    const auto [at, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (both || ec != std::errc() || at != text.data() + text.size() || !std::isfinite(value)) {
      Fail(column, "'" + original + "' is no number without thousands separators");
      return;
    }
    out = value;
  }

  template <typename E, std::size_t N>
  void ReadName(std::string_view column, const EnumTable<E, N>& table, E& out) {
    const std::string text = Lower(Text(column));
    if (text.empty()) return;
    const auto value = table.Find(text);
    if (value) {
      out = *value;
      return;
    }
    std::string names;
    for (const auto& row : table.rows)
      names += (names.empty() ? "" : ", ") + std::string(row.second);
    Fail(column, "'" + text + "' is none of " + names);
  }

  /// Lists the faults of the whole command in columns that have none already.
  void CheckCommand(const std::vector<config::ValidationError>& found) {
    for (const auto& fault : found) {
      const std::string column = ColumnOf(fault.field);
      const bool known = std::any_of(faults_.begin(), faults_.end(), [&](const auto& f) {
        return f.row == row_.number && f.column == column;
      });
      if (!known) Fail(column, fault.message);
    }
  }

  CreateRollout ReadRollout() {
    CreateRollout rollout;
    rollout.model = Text("model");
    rollout.version = Text("version");
    rollout.adapter = Text("adapter");
    rollout.base_version = Text("base_version");
    if (!rollout.adapter.empty()) rollout.kind = config::ArtifactKind::kAdapter;
    rollout.origin = Text("origin");
    if (const std::string text = Lower(Text("root")); !text.empty()) {
      const auto root = Digest::FromHex(text);
      if (root) rollout.root = *root;
      if (!root) Fail("root", "is no digest of 64 hexadecimal characters");
    }
    ReadName("policy", config::kSpreadPolicies, rollout.policy);
    ReadNumber("minimum_serving", rollout.minimum_serving, std::uint32_t{100'000});
    ReadNumber("batch_size", rollout.batch_size, std::uint32_t{100'000});
    ReadNumber("failure_limit", rollout.failure_limit, std::uint32_t{100'000});
    CheckCommand(config::Validate(rollout));
    return rollout;
  }

  Rule ReadRule() {
    Rule rule;
    rule.account = Text("account");
    rule.kind = Text("kind");
    ReadName("call_class", config::kCallClasses, rule.call_class);
    ReadNumber("priority", rule.priority, std::uint32_t{9});
    ReadDecimal("weight", rule.weight);
    ReadDecimal("rate_limit", rule.rate_limit);
    std::uint32_t deadline_ms = 0;
    ReadNumber("deadline_ms", deadline_ms, kLongestDeadlineMs);
    rule.deadline = std::chrono::milliseconds(deadline_ms);
    CheckCommand(config::Validate(rule));
    return rule;
  }

  const TableRow& row_;
  const Options& options_;
  std::vector<Fault>& faults_;
  std::map<std::string_view, std::string> cells_;
};

std::vector<const Column*> ReadHeader(const TableRow& header, std::vector<Fault>& faults) {
  std::vector<const Column*> columns;
  std::set<std::string> seen;
  for (const auto& cell : header.cells) {
    const std::string name = ColumnName(cell);
    const Column* column = FindColumn(name);
    columns.push_back(column);
    if (column == nullptr && !name.empty()) {
      faults.push_back({header.number, name, "is no column of the format"});
    }
    if (!name.empty() && !seen.insert(name).second) {
      faults.push_back({header.number, name, "appears twice"});
    }
  }
  for (const std::string name : {"effective_at", "change"}) {
    if (!seen.contains(name)) faults.push_back({header.number, name, "the column is missing"});
  }
  return columns;
}

/// Object that a change concerns.
std::string ObjectOf(const ScheduledChange& change) {
  if (const auto* rollout = std::get_if<CreateRollout>(&change.change)) {
    return "rollout " + config::ArtifactKey(rollout->model, rollout->adapter);
  }
  const Rule& rule = std::get<config::SetRule>(change.change).rule;
  return "rule " + config::RuleKey(rule.account, rule.kind);
}

Digest ContentOf(const std::vector<SheetRow>& rows) {
  std::set<Digest> digests;
  for (const auto& row : rows) digests.insert(config::ContentDigest(row.change));
  Sha256Stream stream;
  for (const auto& digest : digests) stream.Update(digest.Hex());
  return stream.Finish();
}

}  // namespace

ParseResult Parse(std::string_view csv, const Options& options) {
  ParseResult result;
  Table table = ReadTable(csv);
  std::vector<Fault>& faults = result.faults = std::move(table.faults);
  if (table.rows.empty()) {
    if (faults.empty()) faults.push_back({0, "", "the sheet has no header row"});
    return result;
  }
  const auto columns = ReadHeader(table.rows.front(), faults);
  // An empty sheet would cancel every scheduled change; a cut-off export must not.
  if (table.rows.size() == 1) faults.push_back({0, "", "the sheet has no rows"});
  if (table.rows.size() > kSheetRows + 1) {
    faults.push_back({0, "", "the sheet has more than 10000 rows"});
    return result;
  }
  std::map<std::pair<UtcTime, std::string>, std::size_t> seen;
  for (std::size_t i = 1; i < table.rows.size(); ++i) {
    const auto& row = table.rows[i];
    auto change = RowReader(row, columns, options, faults).Read();
    if (!change) continue;
    const auto [at, fresh] =
        seen.emplace(std::pair(change->effective_at, ObjectOf(*change)), row.number);
    if (!fresh) {
      faults.push_back({row.number, "effective_at",
                        "row " + std::to_string(at->second) + " changes the same at this time"});
    }
    result.sheet.rows.push_back({row.number, std::move(*change)});
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const auto& a, const auto& b) { return a.row < b.row; });
  if (faults.size() > kListedFaults) {
    const std::size_t more = faults.size() - kListedFaults;
    faults.resize(kListedFaults);
    faults.push_back({0, "", "there are " + std::to_string(more) + " more faults"});
  }
  if (!faults.empty()) {
    result.sheet = {};
  } else {
    result.sheet.content = ContentOf(result.sheet.rows);
  }
  return result;
}

config::SubmitSheet ToRecord(const Sheet& sheet, config::CommandId command) {
  config::SubmitSheet record;
  record.command = std::move(command);
  record.content = sheet.content;
  for (const auto& row : sheet.rows) record.changes.push_back(row.change);
  return record;
}

}  // namespace wagtailslip::sheet
