#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/error.h"

namespace wagtailslip::serving {

/// How often requests of a route may run.
enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming };
inline constexpr EnumTable<RouteKind, 3> kRouteKinds{
    {{{RouteKind::kIdempotent, "idempotent"},
      {RouteKind::kNonIdempotent, "non-idempotent"},
      {RouteKind::kStreaming, "streaming"}}}};

/// A service that takes a share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// Sends the requests of a host under a path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// Longest time that a caller is kept waiting.
  Duration timeout{};
  /// Time to the answer, or to the first event of a stream.
  Duration latency_objective{};
  /// Longest pause between two events of a stream.
  Duration inter_token_objective{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  /// Endpoints that one attempt of a caller may be sent to.
  std::uint32_t max_attempts = 1;
  /// Requests need no key.
  bool is_public = false;
  /// A stream may be continued at another endpoint.
  bool resumable = false;

  /// Whether a request may run more than once.
  bool repeatable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

/// Engine of a service whose endpoints serve a model.
struct EngineProfile {
  std::string model;
  /// Requests that run at the same time.
  std::uint32_t slots = 1;
  std::uint32_t layers = 1;
  std::uint32_t chunks = 0;
  std::uint32_t chunk_bytes = 0;
  /// Time of one decoding step, and its growth with each running request.
  Duration step{};
  Duration step_per_request{};
  /// Decoding steps between two reads of prompts.
  std::uint32_t steps_per_pass = 1;
  /// Prompt tokens that are read per second.
  double prefill_rate = 0;
  /// Mean tokens of prompts and answers.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Connections that an endpoint accepts from all callers together.
  std::uint32_t max_connections = 0;
  std::optional<EngineProfile> engine;
  /// Address "ip:port" of an origin of weights; empty for any other service.
  std::string origin;
};

/// A client account and its keys.
struct Account {
  std::string name;
  std::vector<std::string> keys;
  std::uint32_t priority = 0;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{4} * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// Routes, services and accounts under one version.
struct ServiceConfig {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Account> accounts;
  CallerLimits limits;

  const Service* FindService(const std::string& name) const;
};

/// Checks what one field alone does not show.
/// @throws ServingError if a route names an unknown service, two routes share host and prefix, the
///     weights of a route add up to 0, a timeout is 0, or two accounts share a key
void Validate(const ServiceConfig& config);

}  // namespace wagtailslip::serving
