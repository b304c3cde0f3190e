#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/config/record.h"

namespace wagtailslip::process {

/// Settings of an agent, checked by the command line before the process starts.
struct AgentSettings {
  /// The endpoint as it announces itself. The incarnation is set at start.
  config::EndpointJoined endpoint;
  /// Address "ip:port" for peers' chunk requests and the state dump.
  std::string listen;
  /// Address "ip:port" for frames.
  std::string peer_listen;
  /// Frame addresses of entry processes.
  std::vector<std::string> entries;
  std::string data_folder;
  /// Bytes of all versions that the slot may store.
  std::uint64_t store_bytes = 64ULL << 30;
  /// Upload and download rate in bytes per second; 0 for no limit.
  std::uint64_t upload_rate = 0;
  std::uint64_t download_rate = 0;
  std::string log_level = "info";
};

}  // namespace wagtailslip::process
