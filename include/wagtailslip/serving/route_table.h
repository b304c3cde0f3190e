#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wagtailslip/serving/regions.h"
#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::serving {

/// Priority of a request; lower values are more urgent. That of the account takes precedence.
struct Priority {
  std::uint32_t account = 0;
  std::uint32_t route = 0;
  auto operator<=>(const Priority&) const = default;
};

/// Priority of an account's requests on a route.
/// @param account null for a request without an account
Priority PriorityOf(const Route& route, const Account* account);

/// Name of a host in lower case, without a port.
std::string NormalizeHost(std::string_view host);

/// Index of the routes and accounts of one service configuration. Immutable.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const ServiceConfig> config);

  /// The route of the host with the longest matching path prefix; null if none matches.
  /// @param host case-insensitive name, with or without a port
  const Route* Find(std::string_view host, std::string_view path) const;
  /// The account with this API key; null if there is none. An empty key is no key.
  const Account* FindAccount(const std::string& key) const;
  /// The account with this name; null if there is none.
  const Account* FindAccountByName(const std::string& name) const;
  /// Regions whose endpoints may serve a request: those that its route and its account allow by
  /// this configuration, and that were allowed when it arrived. A route or an account that no
  /// longer exists restricts nothing here.
  AllowedRegions AllowedRegionsFor(const RegionScope& scope) const;
  /// Whether the routes to the service have different priorities.
  bool RanksRoutes(const std::string& service) const { return ranked_services_.contains(service); }
  /// Number of different priorities that requests for the service can have; at least 1.
  std::size_t RankCount(const std::string& service) const;
  /// Position of the priority among those of the service; 0 is the most urgent.
  std::uint32_t Rank(const std::string& service, const Priority& priority) const;
  /// Whether requests need an API key, except on public routes.
  bool needs_key() const { return config_->accounts.has_value(); }
  const ServiceConfig& config() const { return *config_; }

 private:
  std::shared_ptr<const ServiceConfig> config_;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_;
  /// Accounts by API key.
  std::unordered_map<std::string, const Account*> accounts_;
  /// Services whose routes have different priorities.
  std::unordered_set<std::string> ranked_services_;
  /// Priorities that requests can have, in ascending order, by service.
  std::unordered_map<std::string, std::vector<Priority>> priorities_;
  /// Accounts by name.
  std::unordered_map<std::string, const Account*> account_names_;
  /// A route or an account names regions.
  bool restricts_regions_ = false;
};

/// Picks the service for a request by the weights of its route.
/// @param key hash of the request; equal keys get the same service
const std::string& PickService(const Route& route, std::uint64_t key);

}  // namespace wagtailslip::serving
