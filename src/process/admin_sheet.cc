// The planners' sheet in the administration API: check, preview and submit.
#include <charconv>

#include "admin_api.h"
#include "api_error.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/sheet/sheet.h"

namespace wagtailslip::process {
namespace {

using net::Task;

/// What to do with a sheet that has no faults.
enum class SheetMode { kCheck, kPreview, kSubmit };
constexpr EnumTable<SheetMode, 3> kSheetModes{{{{SheetMode::kCheck, "check"},
                                                {SheetMode::kPreview, "preview"},
                                                {SheetMode::kSubmit, "submit"}}}};

/// Decodes "%2F" and the like in a query value.
std::string DecodeQuery(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* hex = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(hex, hex + 2, value, 16).ptr == hex + 2) {
      result.push_back(static_cast<char>(value));
      i += 2;
    } else {
      result.push_back(text[i]);
    }
  }
  return result;
}

sheet::Options ReadOptions(const net::HttpExchange& exchange) {
  sheet::Options options;
  const std::string zone = DecodeQuery(exchange.Query("zone"));
  if (!zone.empty() && !cctz::load_time_zone(zone, &options.zone)) {
    throw ApiError(400, "invalid_value", "there is no time zone '" + zone + "'", "zone");
  }
  const std::string dates = exchange.Query("dates");
  if (!dates.empty()) {
    const auto form = sheet::kDateForms.Find(dates);
    if (!form) throw ApiError(400, "invalid_value", "use ymd, dmy or mdy", "dates");
    options.date_form = *form;
  }
  return options;
}

Json FaultBody(const std::vector<sheet::Fault>& faults) {
  Json rows = Json::array();
  for (const auto& it : faults) {
    Json row;
    row["row"] = it.row;
    row["column"] = it.column;
    row["message"] = it.message;
    rows.push_back(std::move(row));
  }
  Json error;
  error["code"] = "sheet_faults";
  error["message"] = "the sheet has " + std::to_string(faults.size()) + " faults; nothing changed";
  error["field"] = "";
  error["request_id"] = "";
  error["faults"] = std::move(rows);
  Json body;
  body["error"] = std::move(error);
  return body;
}

Json DifferenceBody(const std::vector<sheet::DifferenceLine>& lines) {
  Json rows = Json::array();
  for (const auto& it : lines) {
    Json row;
    row["row"] = it.row;
    row["change"] = sheet::kEffects.Name(it.effect);
    row["effective_at"] = FormatUtc(it.effective_at);
    row["object"] = it.object;
    row["text"] = it.before.empty() ? it.after : it.before + " -> " + it.after;
    row["warnings"] = it.warnings;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::uint64_t QueryNumber(const net::HttpExchange& exchange, const char* name) {
  const std::string text = exchange.Query(name);
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    throw ApiError(400, "invalid_value", "a whole number is expected", name);
  }
  return value;
}

}  // namespace

Task<void> AdminApi::HandleSheet(net::HttpExchange& exchange, const Operator& op) {
  const std::string mode_text = exchange.Query("mode");
  const auto mode = kSheetModes.Find(mode_text);
  if (!mode) throw ApiError(400, "invalid_value", "use check, preview or submit", "mode");
  const sheet::Options options = ReadOptions(exchange);
  auto parsed =
      std::make_shared<const sheet::ParseResult>(sheet::Parse(exchange.request().body(), options));
  if (!parsed->ok()) {
    const std::string faults = FaultBody(parsed->faults).dump();
    co_await exchange.Respond(422, faults);
    co_return;
  }
  if (*mode == SheetMode::kSubmit) {
    if (!op.MayChange("*")) throw ApiError(403, "forbidden", "a sheet needs the scope *");
    config::CommandId command;
    command.request_id = DecodeQuery(exchange.Query("request_id"));
    if (command.request_id.empty()) {
      throw ApiError(400, "missing_member", "a request id is needed", "request_id");
    }
    command.base_revision = QueryNumber(exchange, "base_revision");
    command.operator_name = op.name;
    const std::string request_id = command.request_id;
    config::Record record = sheet::ToRecord(parsed->sheet, std::move(command));
    co_await Commit(exchange, op, std::move(record), request_id);
    co_return;
  }
  Json body;
  body["rows"] = parsed->sheet.rows.size();
  body["content"] = parsed->sheet.content.Hex();
  if (*mode == SheetMode::kPreview) {
    const View difference = [parsed](const EntryControl& control, TimePoint) {
      return DifferenceBody(sheet::Difference(parsed->sheet, control.machine().state(), UtcNow()));
    };
    const auto rows = co_await shared_.control.Ask<Json>(difference);
    if (!rows) throw ApiError(503, "busy", "the control thread did not answer");
    body["changes"] = *rows;
  }
  const std::string text = body.dump();
  co_await exchange.Respond(200, text);
}

}  // namespace wagtailslip::process
