#include "wagtailslip/serving/route_table.h"

#include <algorithm>
#include <cctype>

namespace wagtailslip::serving {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  for (char& it : name) it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return name;
}

Priority PriorityOf(const Route& route, const Account* account) {
  const bool named = account != nullptr && account->priority.has_value();
  return {named ? *account->priority : route.priority, route.priority};
}

RouteTable::RouteTable(std::shared_ptr<const ServiceConfig> config) : config_(std::move(config)) {
  for (const auto& it : config_->routes) routes_[NormalizeHost(it.host)].push_back(&it);
  for (auto& [host, routes] : routes_) {
    std::sort(routes.begin(), routes.end(),
              [](const Route* a, const Route* b) { return a->prefix.size() > b->prefix.size(); });
  }
  const auto accounts = config_->AccountList();
  for (const auto& account : accounts) {
    for (const auto& key : account.keys) accounts_[key] = &account;
    account_names_[account.name] = &account;
    restricts_regions_ = restricts_regions_ || !account.allowed_regions.empty();
  }
  for (const auto& it : config_->routes) {
    restricts_regions_ = restricts_regions_ || !it.allowed_regions.empty();
  }
  for (const auto& route : config_->routes) {
    std::vector<Priority> priorities;
    for (const auto& account : accounts) {
      if (!route.is_public) priorities.push_back(PriorityOf(route, &account));
    }
    // Without accounts nobody may use a route that needs a key, but requests that were accepted
    // under an earlier configuration still have a rank.
    if (priorities.empty()) priorities.push_back(PriorityOf(route, nullptr));
    for (const auto& it : route.services) {
      auto& known = priorities_[it.service];
      known.insert(known.end(), priorities.begin(), priorities.end());
    }
  }
  for (auto& [service, priorities] : priorities_) {
    const auto route_of = [](const Priority& it) { return it.route; };
    const auto [lowest, highest] = std::ranges::minmax_element(priorities, {}, route_of);
    if (lowest->route != highest->route) ranked_services_.insert(service);
    std::sort(priorities.begin(), priorities.end());
    priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());
  }
}

std::size_t RouteTable::RankCount(const std::string& service) const {
  const auto it = priorities_.find(service);
  return it == priorities_.end() ? 1 : it->second.size();
}

std::uint32_t RouteTable::Rank(const std::string& service, const Priority& priority) const {
  const auto it = priorities_.find(service);
  if (it == priorities_.end()) return 0;
  const auto& known = it->second;
  return static_cast<std::uint32_t>(std::lower_bound(known.begin(), known.end(), priority) -
                                    known.begin());
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto it = routes_.find(NormalizeHost(host));
  if (it == routes_.end()) return nullptr;
  for (const Route* route : it->second) {
    if (path.starts_with(route->prefix)) return route;
  }
  return nullptr;
}

const Account* RouteTable::FindAccount(const std::string& key) const {
  // A request without a key has an empty one, which an account may list by mistake.
  if (key.empty()) return nullptr;
  const auto it = accounts_.find(key);
  return it == accounts_.end() ? nullptr : it->second;
}

const Account* RouteTable::FindAccountByName(const std::string& name) const {
  const auto it = account_names_.find(name);
  return it == account_names_.end() ? nullptr : it->second;
}

AllowedRegions RouteTable::AllowedRegionsFor(const RegionScope& scope) const {
  AllowedRegions allowed = scope.at_arrival;
  if (!restricts_regions_) return allowed;
  if (const Route* route = Find(scope.host, scope.path)) {
    allowed.Intersect(AllowedRegions(route->allowed_regions));
  }
  if (const Account* account = FindAccountByName(scope.account)) {
    allowed.Intersect(AllowedRegions(account->allowed_regions));
  }
  return allowed;
}

const std::string& PickService(const Route& route, std::uint64_t key) {
  std::uint64_t total = 0;
  for (const auto& it : route.services) total += it.weight;
  std::uint64_t offset = key % total;
  for (const auto& it : route.services) {
    if (offset < it.weight) return it.service;
    offset -= it.weight;
  }
  return route.services.back().service;
}

}  // namespace wagtailslip::serving
