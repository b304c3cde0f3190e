#include "local_time.h"

#include <cctz/civil_time.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

namespace wagtailslip::sheet {
namespace {

using Seconds = std::chrono::seconds;

constexpr std::string_view kExpected[] = {"YYYY-MM-DD HH:MM", "DD/MM/YYYY HH:MM",
                                          "MM/DD/YYYY HH:MM"};

constexpr int kFirstYear = 1970;
constexpr int kLastYear = 2199;

/// Reads a text from the left.
class Reader {
 public:
  explicit Reader(std::string_view text) : text_(text) {}

  bool AtEnd() const { return text_.empty(); }
  bool Skip(std::string_view any) {
    if (text_.empty() || any.find(text_.front()) == std::string_view::npos) return false;
    text_.remove_prefix(1);
    return true;
  }
  /// A number of at most `digits` digits; -1 if there is none.
  int Number(std::size_t digits, std::size_t* length = nullptr) {
    int value = 0;
    std::size_t n = 0;
    while (n < text_.size() && n < digits && std::isdigit(text_[n]) != 0) {
      value = value * 10 + (text_[n++] - '0');
    }
    text_.remove_prefix(n);
    if (length != nullptr) *length = n;
    return n == 0 ? -1 : value;
  }
  /// "am" or "pm" with optional dots, in any case; nothing if the text goes on otherwise.
  std::optional<bool> Afternoon() {
    std::string word;
    std::size_t n = 0;
    while (n < text_.size() && word.size() < 2) {
      const auto c = static_cast<char>(std::tolower(static_cast<unsigned char>(text_[n++])));
      if (c != '.' && c != ' ') word += c;
    }
    if (word != "am" && word != "pm") return std::nullopt;
    text_.remove_prefix(n);
    Skip(".");
    return word == "pm";
  }

 private:
  std::string_view text_;
};

struct Date {
  int year = -1;
  int month = -1;
  int day = -1;
};

std::optional<Date> ReadDate(Reader& reader, DateForm form) {
  int parts[3];
  std::size_t lengths[3];
  for (int i = 0; i < 3; ++i) {
    if (i > 0 && !reader.Skip("-/.")) return std::nullopt;
    parts[i] = reader.Number(4, &lengths[i]);
    if (parts[i] < 0) return std::nullopt;
  }
  if (lengths[0] == 4) return Date{parts[0], parts[1], parts[2]};
  // A year of two digits could be a day.
  if (lengths[2] != 4 || form == DateForm::kYearMonthDay) return std::nullopt;
  if (form == DateForm::kDayMonthYear) return Date{parts[2], parts[1], parts[0]};
  return Date{parts[2], parts[0], parts[1]};
}

}  // namespace

std::variant<UtcTime, std::string> ReadTime(const std::string& text, const Options& options) {
  const std::string expected = "'" + text + "' is no time; expected " +
                               std::string(kExpected[static_cast<std::size_t>(options.date_form)]);
  Reader reader(text);
  const auto date = ReadDate(reader, options.date_form);
  if (!date) return expected;
  // Times are counted in nanoseconds, which a year such as 6026 overflows.
  if (date->year < kFirstYear || date->year > kLastYear) return expected;
  if (!reader.Skip("T") && !reader.Skip(" ")) return expected;
  while (reader.Skip(" ")) {
  }
  int hour = reader.Number(2);
  if (!reader.Skip(":")) return expected;
  const int minute = reader.Number(2);
  int second = 0;
  if (reader.Skip(":")) second = reader.Number(2);
  while (reader.Skip(" ")) {
  }
  if (const auto afternoon = reader.Afternoon()) {
    if (hour < 1 || hour > 12) return expected;
    hour = hour % 12 + (*afternoon ? 12 : 0);
    while (reader.Skip(" ")) {
    }
  }
  std::optional<Seconds> offset;
  if (reader.Skip("Z")) {
    offset = Seconds(0);
  } else {
    const bool east = reader.Skip("+");
    if (east || reader.Skip("-")) {
      const int hours = reader.Number(2);
      reader.Skip(":");
      const int minutes = reader.Number(2);
      if (hours < 0 || hours > 14 || minutes < 0 || minutes > 59) return expected;
      offset = (east ? 1 : -1) * Seconds(hours * 3600 + minutes * 60);
    }
  }
  if (!reader.AtEnd()) return expected;
  const cctz::civil_second civil(date->year, date->month, date->day, hour, minute, second);
  // cctz carries 31 April over to 1 May; such a date is a typing error here.
  if (hour < 0 || minute < 0 || second < 0 || civil.year() != date->year ||
      civil.month() != date->month || civil.day() != date->day || civil.hour() != hour ||
      civil.minute() != minute || civil.second() != second) {
    return "'" + text + "' is no date of the calendar";
  }
  cctz::time_point<Seconds> at;
  if (offset) {
    at = cctz::convert(civil, cctz::utc_time_zone()) - *offset;
  } else {
    const auto lookup = options.zone.lookup(civil);
    if (lookup.kind == cctz::time_zone::civil_lookup::SKIPPED) {
      return "'" + text + "' does not exist in " + options.zone.name();
    }
    if (lookup.kind == cctz::time_zone::civil_lookup::REPEATED) {
      return "'" + text + "' occurs twice in " + options.zone.name() +
             "; add the offset, such as +10:00";
    }
    at = lookup.trans;
  }
  return UtcTime(at.time_since_epoch());
}

std::string FormatTime(UtcTime time, const cctz::time_zone& zone) {
  const auto seconds = std::chrono::floor<Seconds>(time.time_since_epoch());
  return cctz::format("%Y-%m-%d %H:%M:%S %z", cctz::time_point<Seconds>(seconds), zone);
}

}  // namespace wagtailslip::sheet
