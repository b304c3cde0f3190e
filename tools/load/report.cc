#include <iomanip>
#include <sstream>

#include "load/load_run.h"

namespace wagtailslip::tools {
namespace {

constexpr int kNameWidth = 24;
constexpr int kWidth = 10;

void FormatRow(std::ostream& out, const std::string& name, const nlohmann::json& row) {
  const auto failed = row["error"].get<std::uint64_t>() + row["broken"].get<std::uint64_t>() +
                      row["timeout"].get<std::uint64_t>() +
                      row["no_connection"].get<std::uint64_t>();
  out << std::left << std::setw(kNameWidth) << name << std::right;
  for (const char* column : {"sent", "complete", "not_run", "unknown"}) {
    out << std::setw(kWidth) << row[column].get<std::uint64_t>();
  }
  out << std::setw(kWidth) << failed << std::setw(kWidth) << row["dropped"].get<std::uint64_t>()
      << std::setw(kWidth) << row["resent"].get<std::uint64_t>() << std::setw(kWidth)
      << row["violations"].get<std::uint64_t>();
  for (const char* times : {"latency_ms", "first_token_ms", "between_tokens_ms"}) {
    for (const char* quantile : {"p50", "p95", "p99"}) {
      out << std::setw(kWidth) << row[times][quantile].get<double>();
    }
  }
  out << '\n';
}

}  // namespace

std::string FormatTable(const nlohmann::json& report) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2);
  out << std::left << std::setw(kNameWidth) << "" << std::right;
  for (const char* title : {"sent", "complete", "not-run", "unknown", "failed", "dropped", "resent",
                            "violated", "p50 ms", "p95 ms", "p99 ms", "first p50", "first p95",
                            "first p99", "token p50", "token p95", "token p99"}) {
    out << std::setw(kWidth) << title;
  }
  out << '\n';
  FormatRow(out, "total", report["total"]);
  for (const auto& [name, row] : report["accounts"].items()) FormatRow(out, "account " + name, row);
  for (const auto& [name, row] : report["kinds"].items()) FormatRow(out, "kind " + name, row);
  for (const auto& [name, n] : report["violations"].items()) {
    out << "violation " << name << ": " << n << '\n';
  }
  for (const auto& example : report["examples"]) out << "  " << example.get<std::string>() << '\n';
  return out.str();
}

}  // namespace wagtailslip::tools
