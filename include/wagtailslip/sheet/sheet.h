#pragma once

#include <cctz/time_zone.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/error.h"
#include "wagtailslip/config/state.h"

namespace wagtailslip::sheet {

/// The CSV library failed, for example out of memory. Faults of a sheet are no errors.
class SheetError : public Error {
 public:
  using Error::Error;
};

/// Order of day, month and year in the planners' dates. Year first is accepted with any of them.
enum class DateForm { kYearMonthDay, kDayMonthYear, kMonthDayYear };
inline constexpr EnumTable<DateForm, 3> kDateForms{{{{DateForm::kYearMonthDay, "ymd"},
                                                     {DateForm::kDayMonthYear, "dmy"},
                                                     {DateForm::kMonthDayYear, "mdy"}}}};

/// How local times are read. The caller loads the zone, because that reads the zone files.
struct Options {
  cctz::time_zone zone = cctz::utc_time_zone();
  DateForm date_form = DateForm::kYearMonthDay;
};

/// A cell that cannot be accepted.
struct Fault {
  /// Row as a spreadsheet counts it, the header being 1; 0 for the whole sheet.
  std::size_t row = 0;
  /// Column name as in the format; empty for a whole row.
  std::string column;
  std::string message;
};

struct SheetRow {
  std::size_t row = 0;
  config::ScheduledChange change;
};

struct Sheet {
  /// In the order of the file.
  std::vector<SheetRow> rows;
  /// Digest of what the rows mean: spelling, order of rows and columns do not change it.
  Digest content;
};

/// A sheet, or all of its faults.
struct ParseResult {
  Sheet sheet;
  std::vector<Fault> faults;

  bool ok() const { return faults.empty(); }
};

/// Bounds of a sheet.
inline constexpr std::size_t kSheetBytes = std::size_t{4} << 20;
inline constexpr std::size_t kSheetRows = 10'000;
/// More faults than this are counted rather than listed.
inline constexpr std::size_t kListedFaults = 500;

/// Reads and checks a whole sheet. docs/operations/sheet.md describes the format.
/// @throws SheetError
ParseResult Parse(std::string_view csv, const Options& options);

/// The record that submits a sheet.
config::SubmitSheet ToRecord(const Sheet& sheet, config::CommandId command);

/// What a row of a sheet, or a scheduled change that it replaces, would do.
enum class Effect { kAdded, kKept, kRemoved, kInForce, kTookEffect };
inline constexpr EnumTable<Effect, 5> kEffects{{{{Effect::kAdded, "added"},
                                                 {Effect::kKept, "kept"},
                                                 {Effect::kRemoved, "removed"},
                                                 {Effect::kInForce, "in-force"},
                                                 {Effect::kTookEffect, "took-effect"}}}};

/// One line of a preview.
struct DifferenceLine {
  /// 0 for a scheduled change that is not in the sheet.
  std::size_t row = 0;
  Effect effect = Effect::kAdded;
  UtcTime effective_at{};
  /// "model/adapter" of a rollout, "account, kind" of a rule.
  std::string object;
  std::string before;
  std::string after;
  /// Points that the operator should know before submitting.
  std::vector<std::string> warnings;
};

/// What a sheet would change, in order of effect time.
/// @param now present time; rows before it take effect at once
std::vector<DifferenceLine> Difference(const Sheet& sheet, const config::State& state, UtcTime now);

}  // namespace wagtailslip::sheet
