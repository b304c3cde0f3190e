#include "load/recorder.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::tools {
namespace {

constexpr double kMinMs = 0.001;
constexpr double kMaxMs = 1e6;
/// Nine decades in steps of about 1%.
constexpr unsigned kBins = 2080;

}  // namespace

TimeRecorder::TimeRecorder()
    : histogram_(boost::histogram::make_histogram(Axis(kBins, kMinMs, kMaxMs))) {}

void TimeRecorder::Record(Duration time) {
  const double ms = std::max(ToMilliseconds(time), kMinMs);
  histogram_(ms);
  ++count_;
  sum_ms_ += ms;
  max_ms_ = std::max(max_ms_, ms);
}

double TimeRecorder::Quantile(double q) const {
  if (count_ == 0) return 0;
  const double rank = std::max(1.0, std::ceil(q * static_cast<double>(count_)));
  double seen = 0;
  for (const auto& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen >= rank) return std::min(bin.bin().upper(), max_ms_);
  }
  return max_ms_;
}

nlohmann::json TimeRecorder::ToJson() const {
  nlohmann::json json;
  json["count"] = count_;
  json["mean"] = count_ == 0 ? 0 : sum_ms_ / static_cast<double>(count_);
  json["p50"] = Quantile(0.5);
  json["p95"] = Quantile(0.95);
  json["p99"] = Quantile(0.99);
  json["max"] = max_ms_;
  return json;
}

nlohmann::json Row::ToJson() const {
  nlohmann::json json;
  json["sent"] = sent;
  json["dropped"] = dropped;
  json["resent"] = resent;
  json["violations"] = violations;
  for (const auto& [ending, name] : kEndings.rows) {
    const auto it = endings.find(ending);
    json[std::string(name)] = it == endings.end() ? 0 : it->second;
  }
  json["latency_ms"] = latency.ToJson();
  json["first_token_ms"] = first_token.ToJson();
  json["between_tokens_ms"] = between_tokens.ToJson();
  return json;
}

}  // namespace wagtailslip::tools
