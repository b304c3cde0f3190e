#include "common/faults.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace wagtailslip::tools {
namespace {

constexpr double kMaxDelayMs = 600'000;
constexpr double kMaxRequests = 1e12;
/// Exit status of the `die` faults, the one that a shell reports for SIGKILL.
constexpr int kDieStatus = 137;

constexpr std::array<FaultField, 11> kFields{{
    {"delay_ms", &FaultValues::delay_ms, kMaxDelayMs, "milliseconds before each answer"},
    {"stall", &FaultValues::stall, 1, "share of answers that stop until the switch is cleared"},
    {"fail", &FaultValues::fail, 1, "share of requests answered with status 500"},
    {"refuse", &FaultValues::refuse, 1, "share of requests answered with status 503"},
    {"corrupt", &FaultValues::corrupt, 1, "share of answers with damaged or truncated bodies"},
    {"die", &FaultValues::die, 1, "1 ends the process at once, without clean-up"},
    {"die_after", &FaultValues::die_after, kMaxRequests,
     "ends the process without clean-up at this many further requests; 0 is off"},
    {"cross", &FaultValues::cross, 1, "share of answers swapped with a concurrent one"},
    {"wrong_version", &FaultValues::wrong_version, 1, "share of answers naming a wrong version"},
    {"lose_answer", &FaultValues::lose_answer, 1, "share of calls run but never answered"},
    {"load_fail", &FaultValues::load_fail, 1, "share of load commands that fail"},
}};

}  // namespace

std::span<const FaultField> FaultFields() { return kFields; }

Faults::Faults(std::vector<std::string_view> supported, const FaultValues& values,
               std::uint64_t seed)
    : supported_(std::move(supported)), values_(values), random_(seed) {}

bool Faults::Hit(double FaultValues::*share) {
  const double value = values_.*share;
  if (value <= 0) return false;
  return std::uniform_real_distribution<double>(0, 1)(random_) < value;
}

void Faults::CountRequest() {
  if (values_.die_after > 0 && --values_.die_after <= 0) _exit(kDieStatus);
}

const FaultField& Faults::Find(std::string_view name) const {
  const bool supported = std::find(supported_.begin(), supported_.end(), name) != supported_.end();
  const auto* it = std::find_if(kFields.begin(), kFields.end(),
                                [&](const FaultField& field) { return field.name == name; });
  if (!supported || it == kFields.end()) {
    throw ToolError("fault '" + std::string(name) + "' is unknown here");
  }
  return *it;
}

void Faults::Update(const nlohmann::json& changes) {
  if (!changes.is_object()) throw ToolError("faults must be a JSON object");
  FaultValues next = values_;
  for (const auto& [name, value] : changes.items()) {
    const FaultField& field = Find(name);
    if (!value.is_number() && !value.is_boolean()) {
      throw ToolError("fault '" + name + "' must be a number or a boolean");
    }
    const double number =
        value.is_boolean() ? static_cast<double>(value.get<bool>()) : value.get<double>();
    if (!(number >= 0 && number <= field.maximum)) {
      throw ToolError("fault '" + name + "' must lie between 0 and " +
                      std::to_string(field.maximum));
    }
    next.*field.member = number;
  }
  values_ = next;
  if (values_.die > 0) _exit(kDieStatus);
}

nlohmann::json Faults::ToJson() const {
  nlohmann::json json = nlohmann::json::object();
  for (const auto name : supported_) json[std::string(name)] = values_.*Find(name).member;
  return json;
}

}  // namespace wagtailslip::tools
