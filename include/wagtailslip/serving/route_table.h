#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::serving {

/// Finds routes and accounts of one service configuration. Immutable.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const ServiceConfig> config);

  /// The route of a host with the longest prefix of a path; null if none matches.
  /// @param host name without case, with or without a port
  const Route* Find(std::string_view host, std::string_view path) const;
  /// The account that holds a key; null if none does.
  const Account* FindAccount(const std::string& key) const;
  /// Whether requests need a key.
  bool needs_key() const { return !config_->accounts.empty(); }
  const ServiceConfig& config() const { return *config_; }

 private:
  std::shared_ptr<const ServiceConfig> config_;
  /// Routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_;
  std::unordered_map<std::string, const Account*> accounts_;
};

/// The service that takes a request, by the weights of its route.
/// @param key spreads requests; equal keys reach the same service
const std::string& PickService(const Route& route, std::uint64_t key);

}  // namespace wagtailslip::serving
