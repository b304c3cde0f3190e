#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wagtailslip/base/error.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::deployment {

/// The settings of a process cannot be read or are inconsistent.
class SettingsError : public Error {
 public:
  using Error::Error;
};

/// Service-level bounds that the deployment guarantees to its users.
struct ServiceBounds {
  /// Maximum time from the acknowledgement of a configuration until it takes effect.
  Duration config_propagation = std::chrono::seconds(2);
  /// Maximum time from the acknowledgement that an endpoint is leaving until no request is sent to
  /// it any more.
  Duration drain_timeout = std::chrono::seconds(2);
  /// Maximum time for a process to stop: the time from SIGTERM to SIGKILL.
  Duration stop_grace = std::chrono::seconds(8);
  /// Maximum time from the announcement of a target version of the weights until no request starts
  /// on an older version.
  Duration weights_propagation = std::chrono::seconds(8);
  /// Maximum time for which a replaced control process still counts as failed after its start.
  Duration control_catch_up_time = std::chrono::seconds(4);
  /// Longest time to live of an address lookup that callers honour.
  Duration max_lookup_ttl = std::chrono::seconds(5);
  /// Retries per caller request, and retries beyond that, that all ingress processes together may
  /// send to a service within the window.
  double retry_budget_ratio = 0.2;
  double retry_budget_extra = 0;
  Duration retry_window = std::chrono::seconds(10);
  /// A cold endpoint may get in any second this multiple of its service's warm-up rate, and the
  /// tolerance in requests beyond it.
  double warmup_overshoot = 1.5;
  double warmup_tolerance = 5;
};

/// Port for metrics and state dumps, the same as in deploy/system.toml.
inline constexpr std::uint16_t kMetricsPort = 9464;

/// Settings of one process of a deployment, read at its start.
struct NodeSettings {
  std::string name;
  std::string ip;
  std::string failure_domain;
  std::string region;
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  /// First and last port for connections between processes of the system.
  std::uint16_t first_port = 0;
  std::uint16_t last_port = 0;
  /// Addresses of the control API of some control processes, from which the others are discovered.
  std::vector<std::string> seeds;
  /// The system is started for the first time, with empty disks.
  bool first_start = false;
  std::string data_folder;
  /// Listen addresses "ip:port"; empty for interfaces that this process does not serve.
  std::string caller_address;
  std::string readiness_address;
  std::string control_address;
  std::string lookup_address;
  /// Address of the engine of a sidecar, and the service that the engine belongs to.
  std::string engine_address;
  std::string engine_service;
  std::uint32_t max_open_files = 1024;
  /// Bandwidth of the machine's network link in bytes per second; 0 if unknown.
  double link_rate = 0;
  ServiceBounds bounds;

  /// Address where other processes connect to the mesh.
  std::string mesh_address() const { return ip + ":" + std::to_string(first_port); }
  std::string metrics_address() const { return ip + ":" + std::to_string(kMetricsPort); }
  /// Address where a sidecar serves chunks of weights to its peers.
  std::string chunk_address() const { return ip + ":" + std::to_string(first_port + 1); }
};

}  // namespace wagtailslip::deployment
