#include "wagtailslip/cli/process_commands.h"

#include <CLI/CLI.hpp>
#include <memory>

#include "wagtailslip/cli/api_client.h"
#include "wagtailslip/cli/settings_check.h"
#include "wagtailslip/process/agent.h"
#include "wagtailslip/process/entry.h"
#include "wagtailslip/process/signal_wait.h"

namespace wagtailslip::cli {
namespace {

/// Splits "id=ip:port" pairs.
std::map<std::string, std::string> ParsePairs(const std::vector<std::string>& pairs) {
  std::map<std::string, std::string> result;
  for (const auto& it : pairs) {
    const auto equals = it.find('=');
    if (equals == std::string::npos) {
      result[it] = "";
    } else {
      result[it.substr(0, equals)] = it.substr(equals + 1);
    }
  }
  return result;
}

template <typename Settings>
void Verify(const Settings& settings) {
  const auto faults = CheckSettings(settings);
  if (!faults.empty()) throw CommandError(ExitCode::kUsage, FormatFaults(faults));
}

void AddLogLevel(CLI::App& command, std::string& level) {
  command.add_option("--log-level", level, "Lowest severity that is logged")
      ->envname("WAGTAILSLIP_LOG_LEVEL")
      ->check(CLI::IsMember({"info", "warning", "error"}));
}

struct EntryFlags {
  process::EntrySettings settings;
  std::vector<std::string> voters;
  std::vector<std::string> peers;
  std::uint32_t deadline_ms = 60000;
};

void AddEntry(CLI::App& app, std::function<int()>& run) {
  const auto flags = std::make_shared<EntryFlags>();
  auto& s = flags->settings;
  auto* command = app.add_subcommand("entry", "Run an entry process");
  command->add_option("--id", s.id, "Id of the process, unique among entry processes")
      ->envname("WAGTAILSLIP_ID")
      ->required();
  command->add_option("--listen", s.listen, "Address ip:port for callers and operators")
      ->envname("WAGTAILSLIP_LISTEN")
      ->required();
  command->add_option("--peer-listen", s.peer_listen, "Address ip:port for other processes")
      ->envname("WAGTAILSLIP_PEER_LISTEN")
      ->required();
  command->add_option("--region", s.region, "Region of this instance")
      ->envname("WAGTAILSLIP_REGION")
      ->required();
  command->add_option("--failure-domain", s.failure_domain, "Failure domain of this instance")
      ->envname("WAGTAILSLIP_FAILURE_DOMAIN")
      ->required();
  command->add_option("--data", s.data_folder, "Data folder; makes the process a control replica")
      ->envname("WAGTAILSLIP_DATA");
  command
      ->add_option("--voter", flags->voters, "First voter as id=ip:port; the same list everywhere")
      ->envname("WAGTAILSLIP_VOTERS")
      ->delimiter(',')
      ->required();
  command
      ->add_flag("--bootstrap", s.bootstrap,
                 "Start a new log in a new data folder; only at the first start of all voters")
      ->envname("WAGTAILSLIP_BOOTSTRAP");
  command->add_option("--peer", flags->peers, "Other entry process as id=ip:port")
      ->envname("WAGTAILSLIP_PEERS")
      ->delimiter(',');
  command->add_option("--target-voters", s.target_voters, "Voters that repairs keep")
      ->envname("WAGTAILSLIP_TARGET_VOTERS")
      ->check(CLI::Range(1, 7));
  command->add_option("--access", s.access_file, "JSON file of accounts and operators")
      ->envname("WAGTAILSLIP_ACCESS");
  command->add_option("--traffic-threads", s.traffic_threads, "Threads for requests")
      ->envname("WAGTAILSLIP_TRAFFIC_THREADS")
      ->check(CLI::Range(1, 64));
  command->add_option("--max-connections", s.max_connections, "Connections for each traffic thread")
      ->envname("WAGTAILSLIP_MAX_CONNECTIONS")
      ->check(CLI::Range(1, 100000));
  command->add_option("--max-body-bytes", s.max_body_bytes, "Largest request body")
      ->envname("WAGTAILSLIP_MAX_BODY_BYTES")
      ->check(CLI::Range(1024, 64 * 1024 * 1024));
  command
      ->add_option("--default-deadline-ms", flags->deadline_ms,
                   "Deadline of requests that name none")
      ->envname("WAGTAILSLIP_DEFAULT_DEADLINE_MS")
      ->check(CLI::Range(10, 3600000));
  command->add_option("--snapshot-entries", s.snapshot_entries, "Log entries between snapshots")
      ->envname("WAGTAILSLIP_SNAPSHOT_ENTRIES")
      ->check(CLI::Range(10, 10000000));
  AddLogLevel(*command, s.log_level);
  command->callback([flags, &run] {
    run = [flags] {
      flags->settings.voters = ParsePairs(flags->voters);
      flags->settings.peers = ParsePairs(flags->peers);
      flags->settings.default_deadline = std::chrono::milliseconds(flags->deadline_ms);
      Verify(flags->settings);
      process::BlockStopSignals();
      return process::RunEntry(flags->settings);
    };
  });
}

struct AgentFlags {
  process::AgentSettings settings;
  std::string role = "engine";
};

void AddAgent(CLI::App& app, std::function<int()>& run) {
  const auto flags = std::make_shared<AgentFlags>();
  auto& s = flags->settings;
  auto& e = s.endpoint;
  auto* command = app.add_subcommand("agent", "Run the agent of an endpoint");
  command->add_option("--id", e.endpoint_id, "Id of the endpoint")
      ->envname("WAGTAILSLIP_ID")
      ->required();
  command->add_option("--endpoint", e.address, "Address ip:port of the engine or service")
      ->envname("WAGTAILSLIP_ENDPOINT")
      ->required();
  command->add_option("--role", flags->role, "What the endpoint is")
      ->envname("WAGTAILSLIP_ROLE")
      ->check(CLI::IsMember({"engine", "service"}));
  command->add_option("--model", e.model, "Model of the engine, or name of the service")
      ->envname("WAGTAILSLIP_MODEL")
      ->required();
  command->add_option("--region", e.region, "Region of this instance")
      ->envname("WAGTAILSLIP_REGION")
      ->required();
  command->add_option("--failure-domain", e.failure_domain, "Failure domain of this instance")
      ->envname("WAGTAILSLIP_FAILURE_DOMAIN")
      ->required();
  command->add_flag("--obeys-fencing", e.obeys_fencing, "The engine refuses stale fencing tokens")
      ->envname("WAGTAILSLIP_OBEYS_FENCING");
  command->add_flag("--checks-sender", e.checks_sender, "The endpoint checks who sends an order")
      ->envname("WAGTAILSLIP_CHECKS_SENDER");
  command->add_option("--listen", s.listen, "Address ip:port for peers' chunk requests")
      ->envname("WAGTAILSLIP_LISTEN")
      ->required();
  command->add_option("--peer-listen", s.peer_listen, "Address ip:port for other processes")
      ->envname("WAGTAILSLIP_PEER_LISTEN")
      ->required();
  command->add_option("--entry", s.entries, "Frame address ip:port of an entry process")
      ->envname("WAGTAILSLIP_ENTRY_PEERS")
      ->delimiter(',')
      ->required();
  command->add_option("--data", s.data_folder, "Folder for weights")
      ->envname("WAGTAILSLIP_DATA")
      ->required();
  command->add_option("--store-bytes", s.store_bytes, "Bytes of weights that may be stored")
      ->envname("WAGTAILSLIP_STORE_BYTES");
  command->add_option("--upload-rate", s.upload_rate, "Bytes per second to peers; 0 for no limit")
      ->envname("WAGTAILSLIP_UPLOAD_RATE");
  command
      ->add_option("--download-rate", s.download_rate,
                   "Bytes per second from peers and origin; 0 for no limit")
      ->envname("WAGTAILSLIP_DOWNLOAD_RATE");
  AddLogLevel(*command, s.log_level);
  command->callback([flags, &run] {
    run = [flags] {
      flags->settings.endpoint.role = *config::kEndpointRoles.Find(flags->role);
      Verify(flags->settings);
      process::BlockStopSignals();
      return process::RunAgent(flags->settings);
    };
  });
}

}  // namespace

void AddProcessCommands(CLI::App& app, std::function<int()>& run) {
  AddEntry(app, run);
  AddAgent(app, run);
}

}  // namespace wagtailslip::cli
