#include "wagtailslip/process/published.h"

#include "wagtailslip/config/state.h"

namespace wagtailslip::process {

const config::Rule& RuleBook::Find(const std::string& account, const std::string& kind) const {
  const std::pair<const std::string, const std::string> keys[] = {
      {account, kind}, {account, "*"}, {"*", kind}, {"*", "*"}};
  for (const auto& [a, k] : keys) {
    const auto it = rules_.find(config::RuleKey(a, k));
    if (it != rules_.end()) return it->second;
  }
  return fallback_;
}

}  // namespace wagtailslip::process
