#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::process {

/// Settings of an entry process, checked by the command line before the process starts.
struct EntrySettings {
  std::string id;
  /// Address "ip:port" for callers and operators.
  std::string listen;
  /// Address "ip:port" for frames of other processes.
  std::string peer_listen;
  std::string region;
  std::string failure_domain;
  /// Folder for the replicated log; empty for a process without a disk.
  std::string data_folder;
  /// Frame addresses of the first voters by process id; the same on every process.
  std::map<std::string, std::string> voters;
  /// Whether a new data folder starts a new log with these voters. Set once, at the first start of
  /// all: a voter that lost its disk must join again under a new identity.
  bool bootstrap = false;
  /// Frame addresses of other entry processes by id, to join through.
  std::map<std::string, std::string> peers;
  /// Voters that the log is kept at while enough control replicas live.
  std::uint32_t target_voters = 3;
  /// JSON file of client accounts and operators; empty lets every caller in.
  std::string access_file;
  std::uint32_t traffic_threads = 2;
  std::uint32_t max_connections = 4096;
  std::uint64_t max_body_bytes = std::uint64_t{1024} * 1024;
  Duration default_deadline = std::chrono::seconds(60);
  /// Entries between two snapshots of the configuration.
  std::uint32_t snapshot_entries = 10000;
  std::string log_level = "info";
};

}  // namespace wagtailslip::process
