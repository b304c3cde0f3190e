#include "wagtailslip/serving/service_config.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailslip::serving {

const Service* ServiceConfig::FindService(const std::string& name) const {
  const auto it = std::find_if(services.begin(), services.end(),
                               [&name](const Service& service) { return service.name == name; });
  return it == services.end() ? nullptr : &*it;
}

std::set<std::string> ServiceConfig::ServiceNames() const {
  std::set<std::string> names;
  for (const auto& it : services) names.insert(it.name);
  return names;
}

std::span<const Account> ServiceConfig::AccountList() const {
  return accounts ? std::span<const Account>(*accounts) : std::span<const Account>();
}

namespace {

/// An empty name is how endpoints of an unknown region are represented.
void ValidateRegions(const std::vector<std::string>& regions, const std::string& owner) {
  if (std::find(regions.begin(), regions.end(), std::string()) != regions.end()) {
    throw ServingError(owner + " allows a region without a name");
  }
}

// Warm-up takes seconds; a longer time is a mistake, such as milliseconds for seconds.
constexpr Duration kMaxWarmup = std::chrono::hours(1);
// An endpoint with a lower rate would get no request while it is cold.
constexpr double kMinWarmupPerSecond = 0.1;
constexpr double kMaxWarmupPerSecond = 100'000;

void ValidateWarmup(const Service& service) {
  if (service.warmup < Duration::zero() || service.warmup > kMaxWarmup) {
    throw ServingError("the warm-up time of service " + service.name + " is out of range");
  }
  const double rate = service.warmup_per_second;
  // Also true for a value that is not a number.
  if (rate != 0 && !(rate >= kMinWarmupPerSecond && rate <= kMaxWarmupPerSecond)) {
    throw ServingError("the warm-up rate of service " + service.name + " is out of range");
  }
}

void ValidateRoute(const Route& route, const std::set<std::string>& services) {
  std::uint64_t weights = 0;
  for (const auto& it : route.services) {
    if (!services.contains(it.service)) {
      throw ServingError("route " + route.name + " names the unknown service " + it.service);
    }
    weights += it.weight;
  }
  if (weights == 0) throw ServingError("the weights of route " + route.name + " add up to 0");
  if (route.timeout <= Duration::zero()) {
    throw ServingError("route " + route.name + " has no timeout");
  }
  ValidateRegions(route.allowed_regions, "route " + route.name);
}

}  // namespace

void Validate(const ServiceConfig& config) {
  std::set<std::string> services;
  for (const auto& it : config.services) {
    if (!services.insert(it.name).second) throw ServingError("service " + it.name + " is repeated");
    ValidateWarmup(it);
  }
  std::set<std::pair<std::string, std::string>> matches;
  for (const auto& route : config.routes) {
    ValidateRoute(route, services);
    if (!matches.emplace(route.host, route.prefix).second) {
      throw ServingError("route " + route.name + " repeats the place " + route.host + route.prefix);
    }
  }
  std::set<std::string> keys;
  for (const auto& account : config.AccountList()) {
    ValidateRegions(account.allowed_regions, "account " + account.name);
    const std::set<std::string> distinct_keys(account.keys.begin(), account.keys.end());
    for (const auto& key : distinct_keys) {
      if (!keys.insert(key).second) {
        throw ServingError("account " + account.name + " shares a key with another account");
      }
    }
  }
}

}  // namespace wagtailslip::serving
