#pragma once

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::system_test {

using Json = nlohmann::json;
using net::http::verb;
using namespace std::chrono_literals;

/// Longest wait for a condition. Generous, because the machine may be busy; no test asserts on it.
constexpr Duration kLongWait = 90s;

/// Answer of a process, or none.
struct Reply {
  /// 0 if the connection failed or ended before the answer did.
  unsigned status = 0;
  net::HttpResponse response;

  std::string Outcome() const { return response.Header("X-Outcome"); }
  /// Body as JSON; null if there is none.
  Json Body() const;
};

/// Calls a process over HTTP on a new connection. Safe from any thread.
Reply Send(const std::string& address, verb method, std::string target, std::string body = {},
           net::HttpHeaders headers = {}, Duration timeout = 20s);

/// Processes of one system on loopback. Each is started by posix_spawn and ended by its own pid.
class Cluster {
 public:
  /// Takes a range of free ports and a folder for data and logs.
  Cluster();
  /// Kills every process that still runs and removes the folder.
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts entry processes e1, e2, ...: three voters and standbys.
  void StartEntries(int count = 4);
  /// Starts the origin with one artifact.
  void StartOrigin(const std::string& model, const std::string& version, std::uint64_t bytes,
                   const std::vector<std::string>& more = {});
  /// Starts engine "m<number>" with its agent "g<number>".
  void StartEngine(int number, const std::string& model, const std::string& version,
                   const std::vector<std::string>& more = {}, bool obeys_fencing = true);
  /// Starts control processes c1, c2, ... and ingress processes i1, i2, ... as the deployment file
  /// does, each at a loopback address of its own.
  /// @param bounds bounds in the settings of the processes; those left out have their defaults
  void StartDeployment(int controls, int ingresses, const Json& bounds = Json::object());
  /// Sends a configuration to the control processes until one acknowledges it.
  void SetConfig(const Json& config) const;
  /// Address of a stand-in of a replica beside the processes of StartDeployment.
  std::string ReplicaAddress(int number) const;
  /// Starts sidecar "w<number>" for the stand-in of an engine at EngineAddress.
  /// @param propagation_ms bound for the propagation of weights
  void StartSidecar(int number, const std::string& service, int propagation_ms);
  std::string EngineAddress(int number) const;
  /// Starts service "s<number>" with its agent "a<number>".
  void StartService(int number, const std::string& name, const std::vector<std::string>& more = {});

  /// Ends a process with SIGKILL and reaps it.
  void Kill(const std::string& name);
  /// Sends SIGTERM and returns at once.
  void Stop(const std::string& name);
  /// Waits for a stopped process.
  /// @return its exit status, or -1 if a signal ended it
  int WaitExit(const std::string& name);
  /// SIGSTOP and SIGCONT.
  void Freeze(const std::string& name);
  void Continue(const std::string& name);
  /// Starts an ended process again.
  /// @param keep_data false removes its data folder first; the process then joins as a new identity
  void Restart(const std::string& name, bool keep_data = true);

  /// HTTP address of a process.
  const std::string& Address(const std::string& name) const { return processes_.at(name).address; }
  /// Readiness address of an ingress process, which also gives its state dump.
  std::string ReadinessAddress(const std::string& name) const;
  bool Running(const std::string& name) const { return processes_.at(name).pid > 0; }
  const std::vector<std::string>& entries() const { return entries_; }
  const std::vector<std::string>& controls() const { return controls_; }
  const std::vector<std::string>& ingresses() const { return ingresses_; }

  /// GET of a JSON view; null if the process does not answer with status 200.
  Json Get(const std::string& name, const std::string& target) const;
  /// Entry process that leads and says so itself; empty if there is none.
  std::string Leader() const;
  /// Control process that leads; empty if none says so.
  std::string ControlLeader() const;
  /// Waits until a condition holds.
  /// @throws CppUnit::Exception naming the condition and the last log lines
  void WaitFor(const std::string& what, const std::function<bool()>& condition,
               Duration limit = kLongWait) const;
  /// Waits until the named entry processes hold a lease and see as many healthy endpoints.
  void WaitReady(const std::vector<std::string>& names, std::size_t endpoints) const;
  std::string WaitLeader() const;
  /// Log lines of a process that contain a text.
  std::vector<std::string> LogLines(const std::string& name, const std::string& text) const;

 private:
  struct Process {
    std::vector<std::string> command;
    std::string address;
    std::filesystem::path data;
    pid_t pid = -1;
  };

  std::string Port(int offset) const { return "127.0.0.1:" + std::to_string(base_port_ + offset); }
  /// Loopback address of a process of StartDeployment, without a port.
  std::string HostOf(int index) const;
  void StartNode(const std::string& name, const std::string& kind, int index, Json listen,
                 const Json& more = Json::object());
  void Start(const std::string& name, std::vector<std::string> command, const std::string& address,
             const std::filesystem::path& data = {});
  void StartAgent(const std::string& name, const std::string& endpoint, int offset,
                  std::vector<std::string> more);
  void Spawn(const std::string& name, Process& process);
  void Signal(const std::string& name, int signal) const;
  std::string LastLogLines() const;

  int base_port_ = 0;
  std::filesystem::path folder_;
  std::map<std::string, Process> processes_;
  std::vector<std::string> entries_;
  std::vector<std::string> controls_;
  std::vector<std::string> ingresses_;
  /// Control addresses of the control processes.
  std::vector<std::string> seeds_;
  /// Bounds in the settings of the processes of StartDeployment.
  Json bounds_ = Json::object();
};

}  // namespace wagtailslip::system_test
