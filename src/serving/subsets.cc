#include "wagtailslip/serving/subsets.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {

std::set<std::string> OwnSubset(const std::string& self,
                                const std::map<std::string, std::string>& processes,
                                const std::map<std::string, std::string>& endpoints) {
  std::set<std::string> own;
  if (!processes.contains(self)) return own;
  std::vector<std::string> order;
  order.reserve(endpoints.size());
  for (const auto& [id, domain] : endpoints) order.push_back(id);
  std::sort(order.begin(), order.end(), [](const std::string& a, const std::string& b) {
    return std::pair(Hash64(a), a) < std::pair(Hash64(b), b);
  });
  const std::size_t n = processes.size();
  if (!order.empty() && order.size() < n) {
    const auto rank =
        static_cast<std::size_t>(std::distance(processes.begin(), processes.find(self)));
    own.insert(order[rank % order.size()]);
    return own;
  }
  std::map<std::string, std::size_t> remaining_capacity;
  std::size_t position = 0;
  for (const auto& [process, domain] : processes) {
    remaining_capacity[process] = order.size() / n + (position++ < order.size() % n ? 1 : 0);
  }
  // The first pass assigns endpoints within their failure domain, the second pass the others.
  for (const bool same_domain : {true, false}) {
    std::vector<std::string> unassigned;
    for (const auto& id : order) {
      const std::string* best = nullptr;
      for (const auto& [process, domain] : processes) {
        if (remaining_capacity[process] == 0) continue;
        if (same_domain && domain != endpoints.at(id)) continue;
        if (best == nullptr || remaining_capacity[process] > remaining_capacity[*best])
          best = &process;
      }
      if (best == nullptr) {
        unassigned.push_back(id);
        continue;
      }
      --remaining_capacity[*best];
      if (*best == self) own.insert(id);
    }
    order = std::move(unassigned);
  }
  return own;
}

}  // namespace wagtailslip::serving
