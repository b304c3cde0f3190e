#include "wagtailslip/config/validate.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace wagtailslip::config {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
/// Priorities are 0 (served first) to 9.
constexpr std::uint32_t kLowestPriority = 9;
constexpr double kMaxWeight = 1e6;

bool IsValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':' || c == '+';
         });
}

/// Account and kind names may contain any character except control characters below 0x20.
bool IsValidLabel(const std::string& label) {
  return !label.empty() && label.size() <= kMaxNameBytes &&
         std::none_of(label.begin(), label.end(), [](unsigned char c) { return c < 0x20; });
}

}  // namespace

std::vector<ValidationError> Validate(const CreateRollout& command) {
  std::vector<ValidationError> errors;
  const std::string name_rule =
      " has 1 to " + std::to_string(kMaxNameBytes) + " letters, digits or . _ - : +";
  if (!IsValidName(command.model)) errors.push_back({"model", "a model name" + name_rule});
  if (!IsValidName(command.version)) errors.push_back({"version", "a version" + name_rule});
  if (command.kind == ArtifactKind::kAdapter) {
    if (!IsValidName(command.adapter)) errors.push_back({"adapter", "an adapter name" + name_rule});
    if (!IsValidName(command.base_version))
      errors.push_back({"base_version", "a version" + name_rule});
  } else if (!command.adapter.empty() || !command.base_version.empty()) {
    errors.push_back({"kind", "a model has no adapter name and no base version"});
  }
  if (command.origin.empty()) errors.push_back({"origin", "the origin's address is missing"});
  if (command.root == Digest{}) errors.push_back({"root", "the root digest is missing"});
  if (command.batch_size == 0) errors.push_back({"batch_size", "the batch size is at least 1"});
  if (command.failure_limit == 0) errors.push_back({"failure_limit", "the limit is at least 1"});
  return errors;
}

std::vector<ValidationError> Validate(const Rule& rule) {
  std::vector<ValidationError> errors;
  if (!IsValidLabel(rule.account))
    errors.push_back({"account", "an account has 1 to 128 characters"});
  if (!IsValidLabel(rule.kind)) errors.push_back({"kind", "a kind has 1 to 128 characters"});
  if (rule.priority > kLowestPriority) errors.push_back({"priority", "a priority is 0 to 9"});
  if (!std::isfinite(rule.weight) || rule.weight <= 0 || rule.weight > kMaxWeight) {
    errors.push_back({"weight", "a weight is over 0 and at most 1000000"});
  }
  if (!std::isfinite(rule.rate_limit) || rule.rate_limit < 0) {
    errors.push_back({"rate_limit", "a rate limit is 0 or more"});
  }
  if (rule.deadline < Duration::zero()) errors.push_back({"deadline", "a deadline is 0 or more"});
  return errors;
}

}  // namespace wagtailslip::config
