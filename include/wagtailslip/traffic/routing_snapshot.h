#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::traffic {

/// Whether an endpoint has weights that it may answer from.
enum class ServingState { kLoading, kServing, kFailed };
inline constexpr EnumTable<ServingState, 3> kServingStates{{{{ServingState::kLoading, "loading"},
                                                             {ServingState::kServing, "serving"},
                                                             {ServingState::kFailed, "failed"}}}};

/// Part of a request that an engine runs. An engine with kMixed runs all of it.
enum class EngineRole { kMixed, kPrefill, kDecode };
inline constexpr EnumTable<EngineRole, 3> kEngineRoles{{{{EngineRole::kMixed, "mixed"},
                                                         {EngineRole::kPrefill, "prefill"},
                                                         {EngineRole::kDecode, "decode"}}}};

/// Load of an endpoint as it reported it.
struct LoadReport {
  /// Grows with each report of an incarnation; 0 means that there was none.
  std::uint64_t sequence = 0;
  /// Requests that may run at once.
  std::uint32_t slots = 1;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Time of the measurement on this process's clock: time of receipt less the report's age.
  TimePoint measured_at{};
};

/// An endpoint as the router sees it.
struct RoutingEndpoint {
  std::string id;
  std::uint64_t incarnation = 0;
  config::EndpointRole kind = config::EndpointRole::kEngine;
  EngineRole role = EngineRole::kMixed;
  /// Address "ip:port".
  std::string address;
  /// Model, or the name of the service.
  std::string model;
  /// Root digest of the version that it serves.
  Digest version;
  /// Loaded adapters and their versions.
  std::map<std::string, Digest> adapters;
  std::string region;
  std::string failure_domain;
  bool draining = false;
  ServingState serving = ServingState::kServing;
  LoadReport load;
};

/// Everything that routing decisions depend on besides the process's own requests. Immutable; a
/// new one replaces it whole.
class RoutingSnapshot {
 public:
  /// @param entry_processes live entry processes, this one included; at least 1
  RoutingSnapshot(std::vector<RoutingEndpoint> endpoints, config::Revision revision,
                  std::uint32_t entry_processes);

  const std::vector<RoutingEndpoint>& endpoints() const { return endpoints_; }
  /// Indexes of the endpoints of a model or service.
  std::span<const std::uint32_t> OfModel(const std::string& model) const;
  /// Models and services with their endpoints.
  const std::unordered_map<std::string, std::vector<std::uint32_t>>& models() const {
    return models_;
  }
  std::optional<std::uint32_t> Find(const std::string& id) const;
  config::Revision revision() const { return revision_; }
  std::uint32_t entry_processes() const { return entry_processes_; }

 private:
  std::vector<RoutingEndpoint> endpoints_;
  std::unordered_map<std::string, std::vector<std::uint32_t>> models_;
  std::unordered_map<std::string, std::uint32_t> by_id_;
  config::Revision revision_;
  std::uint32_t entry_processes_;
};

}  // namespace wagtailslip::traffic
