#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wagtailslip/base/error.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::deployment {

/// The settings of a process cannot be read or contradict themselves.
class SettingsError : public Error {
 public:
  using Error::Error;
};

/// Bounds that the deployment promises its users.
struct ServiceBounds {
  /// From the acknowledgement of a configuration until it is in force.
  Duration config_propagation = std::chrono::seconds(2);
  /// From the acknowledgement that an endpoint leaves until nothing reaches it.
  Duration drain_timeout = std::chrono::seconds(2);
  /// From SIGTERM until SIGKILL.
  Duration stop_grace = std::chrono::seconds(8);
  /// From the naming of weights until no request begins on older ones.
  Duration weights_propagation = std::chrono::seconds(8);
  /// Time after its start in which a replaced control process counts as lost.
  Duration control_catch_up_time = std::chrono::seconds(4);
  /// Longest life of an answer to an address lookup that callers honour.
  Duration max_lookup_ttl = std::chrono::seconds(5);
  double retry_budget_ratio = 0.2;
  double retry_budget_extra = 0;
  Duration retry_window = std::chrono::seconds(10);
};

/// Port for metrics and state dumps; deploy/system.toml names it.
inline constexpr std::uint16_t kMetricsPort = 9464;

/// What a process of a deployment is told at its start.
struct NodeSettings {
  std::string name;
  std::string ip;
  std::string failure_domain;
  std::string region;
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  /// Ports for the processes of the system among themselves, first and last.
  std::uint16_t first_port = 0;
  std::uint16_t last_port = 0;
  /// Addresses of the control interface of some control processes.
  std::vector<std::string> seeds;
  /// The system starts for the first time, with empty disks.
  bool first_start = false;
  std::string data_folder;
  /// Addresses "ip:port" of what this process serves; empty for what it does not.
  std::string caller_address;
  std::string readiness_address;
  std::string control_address;
  std::string lookup_address;
  /// Engine beside a sidecar, and the service that it belongs to.
  std::string engine_address;
  std::string engine_service;
  std::uint32_t max_open_files = 1024;
  /// Rate of the machine's link in bytes per second; 0 if it is unknown.
  double link_rate = 0;
  ServiceBounds bounds;

  /// Address for links of other processes.
  std::string mesh_address() const { return ip + ":" + std::to_string(first_port); }
  std::string metrics_address() const { return ip + ":" + std::to_string(kMetricsPort); }
  /// Address from which a sidecar hands out chunks.
  std::string chunk_address() const { return ip + ":" + std::to_string(first_port + 1); }
};

}  // namespace wagtailslip::deployment
