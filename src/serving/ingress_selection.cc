#include "wagtailslip/serving/ingress_selection.h"

#include <algorithm>
#include <vector>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

// Below this number of endpoints for each process, most endpoints are shared.
constexpr double kMinEndpointsPerProcess = 1.5;
// Endpoints for each chosen process. With two endpoints a process balances between them, and has a
// second one when the first fails.
constexpr std::size_t kEndpointsPerProcess = 2;
// A fraction of the processes that is chosen even while few endpoints are known, for example after
// a restart of all control processes: the chosen ones have to carry the load of all.
constexpr std::size_t kMinFractionDivisor = 4;

std::size_t DivideRoundingUp(std::size_t a, std::size_t b) { return (a + b - 1) / b; }

}  // namespace

std::set<std::string> SelectIngress(const std::map<std::string, std::string>& processes,
                                    std::size_t endpoints) {
  std::map<std::string, std::vector<std::string>> by_domain;
  std::set<std::string> selected;
  for (const auto& [process, domain] : processes) {
    by_domain[domain].push_back(process);
    selected.insert(process);
  }
  const std::size_t n = processes.size();
  if (endpoints == 0 ||
      static_cast<double>(endpoints) >= kMinEndpointsPerProcess * static_cast<double>(n)) {
    return selected;
  }
  const std::size_t wanted = std::max(DivideRoundingUp(endpoints, kEndpointsPerProcess),
                                      DivideRoundingUp(n, kMinFractionDivisor));
  selected.clear();
  for (auto& [domain, members] : by_domain) {
    std::sort(members.begin(), members.end(), [](const std::string& a, const std::string& b) {
      return std::pair(Hash64(a), a) < std::pair(Hash64(b), b);
    });
    const std::size_t share =
        std::min(members.size(), DivideRoundingUp(wanted * members.size(), n));
    selected.insert(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(share));
  }
  return selected;
}

std::size_t LargestServiceSize(const InstanceTable& table) {
  std::map<std::string, std::size_t> sizes;
  std::size_t largest = 0;
  for (const auto& [id, record] : table.endpoints()) {
    if (record.state != EndpointState::kServing) continue;
    largest = std::max(largest, ++sizes[record.service]);
  }
  return largest;
}

}  // namespace wagtailslip::serving
