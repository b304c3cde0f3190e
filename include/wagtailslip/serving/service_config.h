#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/error.h"

namespace wagtailslip::serving {

/// Whether a request of a route may run more than once; see Route::repeatable.
enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming };
inline constexpr EnumTable<RouteKind, 3> kRouteKinds{
    {{{RouteKind::kIdempotent, "idempotent"},
      {RouteKind::kNonIdempotent, "non-idempotent"},
      {RouteKind::kStreaming, "streaming"}}}};

/// A service that receives a part of a route's requests, in proportion to its weight.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// Maps the requests for a host and a path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// Maximum duration of a request, including retries.
  Duration timeout{};
  /// Target time to the response, or to the first event of a stream.
  Duration latency_objective{};
  /// Target maximum time between two events of a stream.
  Duration inter_token_objective{};
  /// Lower values are more urgent; 0 is the highest priority.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Maximum number of times that a request is sent to an endpoint.
  std::uint32_t max_attempts = 1;
  /// Requests need no API key.
  bool is_public = false;
  /// An interrupted stream may be resumed at another endpoint.
  bool resumable = false;
  /// Regions whose endpoints may serve the route, sorted and unique; empty for all.
  std::vector<std::string> allowed_regions;

  /// Whether a request may run more than once.
  bool repeatable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

/// Inference engine of a service whose endpoints serve a model.
struct EngineProfile {
  std::string model;
  /// Maximum number of requests that run at the same time.
  std::uint32_t slots = 1;
  /// Layers of the model, and number and size of the chunks of its weights.
  std::uint32_t layers = 1;
  std::uint32_t chunks = 0;
  std::uint32_t chunk_bytes = 0;
  /// Duration of one decoding step, and its increase per running request.
  Duration step{};
  Duration step_per_request{};
  /// Decoding steps between two prefills.
  std::uint32_t steps_per_pass = 1;
  /// Prompt tokens processed per second.
  double prefill_rate = 0;
  /// Mean lengths of prompts and answers.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Maximum number of connections that an endpoint accepts from all callers together.
  std::uint32_t max_connections = 0;
  std::optional<EngineProfile> engine;
  /// Address "ip:port" if the service is an origin server of weights; empty otherwise.
  std::string origin{};
  /// Time after its start for which an endpoint is cold.
  Duration warmup{};
  /// Requests per second that a cold endpoint gets from all ingress processes; 0 for no limit.
  double warmup_per_second = 0;
};

/// A client account and its API keys.
struct Account {
  std::string name;
  std::vector<std::string> keys;
  /// Lower values are more urgent. Takes precedence over the route's priority if specified.
  std::optional<std::uint32_t> priority;
  /// Regions whose endpoints may serve the account, sorted and unique; empty for all.
  std::vector<std::string> allowed_regions;
};

/// Size limits and timeouts for the requests of callers.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One version of the routes, services and accounts.
struct ServiceConfig {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  /// Nothing if the configuration has no list of accounts: requests need no API key. With an empty
  /// list no key is valid, and only public routes serve requests.
  std::optional<std::vector<Account>> accounts;
  CallerLimits limits;

  /// The accounts; empty without a list.
  std::span<const Account> AccountList() const;
  const Service* FindService(const std::string& name) const;
  std::set<std::string> ServiceNames() const;
};

/// Checks constraints between fields.
/// @throws ServingError if two services have the same name, a route refers to an unknown service,
/// two
///     routes share host and prefix, the weights of a route add up to 0, a timeout is not positive,
///     two accounts share an API key, an allowed region has an empty name, or the warm-up of a
///     service is out of range
void Validate(const ServiceConfig& config);

}  // namespace wagtailslip::serving
