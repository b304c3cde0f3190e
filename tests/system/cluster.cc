#include "cluster.h"

#include <cppunit/Asserter.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <thread>

#include "wagtailslip/net/address.h"

extern char** environ;

namespace wagtailslip::system_test {
namespace {

constexpr int kFirstPort = 20000;
constexpr int kPortsPerCluster = 100;
constexpr int kRanges = 120;
constexpr int kPeerOffset = 10;
constexpr int kEngineOffset = 20;
constexpr int kServiceOffset = 40;
constexpr int kOriginOffset = 60;
constexpr Duration kPoll = 50ms;
// Last parts of the loopback addresses of control processes, ingress processes, sidecars with their
// engines, and replicas.
constexpr int kControlHost = 1;
constexpr int kIngressHost = 20;
constexpr int kSidecarHost = 100;
constexpr int kReplicaHost = 200;
constexpr int kReplicaHosts = 50;
constexpr int kCallerPort = 8000;
constexpr int kReadinessPort = 8001;
constexpr int kControlPort = 8002;
constexpr int kLookupPort = 8003;
constexpr int kReplicaPort = 8004;
constexpr int kFirstMeshPort = 7700;

bool Bindable(int port) {
  net::asio::io_context context;
  net::error_code ec;
  net::tcp::acceptor acceptor(context);
  acceptor.open(net::tcp::v4(), ec);
  acceptor.set_option(net::tcp::acceptor::reuse_address(true), ec);
  acceptor.bind(net::ParseAddress("127.0.0.1:" + std::to_string(port)), ec);
  return !ec;
}

/// Takes a range below the ephemeral ports. The lock of a file keeps two test programs apart.
int TakePorts() {
  for (int i = 0; i < kRanges; ++i) {
    const int range = (getpid() + i) % kRanges;
    const auto lock = std::filesystem::temp_directory_path() /
                      ("wagtailslip-ports-" + std::to_string(range) + ".lock");
    const int fd = open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0) continue;
    struct flock whole {};
    whole.l_type = F_WRLCK;
    bool free = fcntl(fd, F_SETLK, &whole) == 0;
    const int first = kFirstPort + range * kPortsPerCluster;
    for (int port = first; free && port < first + kPortsPerCluster; ++port) free = Bindable(port);
    // The lock is held until the program ends.
    if (free) return first;
    close(fd);
  }
  throw std::runtime_error("no free range of ports");
}

net::Task<void> CallInto(Reply& reply, net::tcp::endpoint address, net::HttpRequest request,
                         Duration timeout) {
  reply.response = co_await net::CallOnce(address, std::move(request), timeout);
  reply.status = reply.response.status;
}

}  // namespace

Json Reply::Body() const { return Json::parse(response.body, nullptr, false); }

Reply Send(const std::string& address, verb method, std::string target, std::string body,
           net::HttpHeaders headers, Duration timeout) {
  Reply reply;
  net::asio::io_context context(1);
  if (std::none_of(headers.begin(), headers.end(),
                   [](const auto& it) { return it.first == "Authorization"; })) {
    headers.emplace_back("Authorization", "Bearer test");
  }
  auto request = net::MakeRequest(method, target, std::move(body), headers);
  net::asio::co_spawn(context,
                      CallInto(reply, net::ParseAddress(address), std::move(request), timeout),
                      [](const std::exception_ptr&) {});
  context.run();
  return reply;
}

Cluster::Cluster() : base_port_(TakePorts()) {
  folder_ = std::filesystem::temp_directory_path() /
            ("wagtailslip-system-" + std::to_string(getpid()) + "-" + std::to_string(base_port_));
  std::filesystem::create_directories(folder_);
}

Cluster::~Cluster() {
  for (auto& [name, process] : processes_) {
    if (process.pid <= 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
  std::error_code ec;
  if (getenv("WTS_SYSTEM_KEEP") == nullptr) std::filesystem::remove_all(folder_, ec);
}

void Cluster::StartEntries(int count) {
  std::string voters;
  for (int i = 1; i <= 3; ++i) {
    voters += (i > 1 ? ",e" : "e") + std::to_string(i) + "=" + Port(kPeerOffset + i);
  }
  std::vector<std::string> peers;
  for (int i = 1; i <= count; ++i) {
    peers.insert(peers.end(), {"--peer", "e" + std::to_string(i) + "=" + Port(kPeerOffset + i)});
  }
  for (int i = 1; i <= count; ++i) {
    const std::string name = "e" + std::to_string(i);
    std::vector<std::string> command{WTS_BINARY,
                                     "entry",
                                     "--id",
                                     name,
                                     "--listen",
                                     Port(i),
                                     "--peer-listen",
                                     Port(kPeerOffset + i),
                                     "--region",
                                     i <= 2 ? "cali" : "bogota",
                                     "--failure-domain",
                                     "d" + std::to_string(i),
                                     "--data",
                                     folder_ / name,
                                     "--voter",
                                     voters,
                                     "--bootstrap"};
    command.insert(command.end(), peers.begin(), peers.end());
    entries_.push_back(name);
    Start(name, std::move(command), Port(i), folder_ / name);
  }
}

void Cluster::StartOrigin(const std::string& model, const std::string& version, std::uint64_t bytes,
                          const std::vector<std::string>& more) {
  std::vector<std::string> command{
      WTS_ORIGIN, "--listen", Port(kOriginOffset),   "--model", model, "--version",
      version,    "--bytes",  std::to_string(bytes), "--seed",  "7"};
  command.insert(command.end(), more.begin(), more.end());
  Start("origin", std::move(command), Port(kOriginOffset));
}

void Cluster::StartAgent(const std::string& name, const std::string& endpoint, int offset,
                         std::vector<std::string> more) {
  std::string peers;
  for (std::size_t i = 1; i <= entries_.size(); ++i) {
    peers += (i > 1 ? "," : "") + Port(kPeerOffset + static_cast<int>(i));
  }
  std::vector<std::string> command{WTS_BINARY,   "agent",      "--id",          name,
                                   "--endpoint", endpoint,     "--region",      "cali",
                                   "--listen",   Port(offset), "--peer-listen", Port(offset + 10),
                                   "--entry",    peers,        "--data",        folder_ / name};
  command.insert(command.end(), more.begin(), more.end());
  Start(name, std::move(command), Port(offset), folder_ / name);
}

void Cluster::StartEngine(int number, const std::string& model, const std::string& version,
                          const std::vector<std::string>& more, bool obeys_fencing) {
  const std::string n = std::to_string(number);
  const std::string address = Port(kOriginOffset + 1 + number);
  std::vector<std::string> command{WTS_ENGINE, "--listen", address, "--preload",
                                   model + ":" + version};
  command.insert(command.end(), more.begin(), more.end());
  if (!obeys_fencing) command.emplace_back("--ignore-fencing");
  Start("m" + n, std::move(command), address);
  std::vector<std::string> agent{"--model", model, "--failure-domain", "d" + n};
  if (obeys_fencing) agent.emplace_back("--obeys-fencing");
  StartAgent("g" + n, address, kEngineOffset + number, std::move(agent));
}

void Cluster::StartService(int number, const std::string& name,
                           const std::vector<std::string>& more) {
  const std::string n = std::to_string(number);
  const std::string address = Port(kOriginOffset + 20 + number);
  std::vector<std::string> command{WTS_SERVICE, "--listen", address, "--name", name};
  command.insert(command.end(), more.begin(), more.end());
  Start("s" + n, std::move(command), address);
  StartAgent("a" + n, address, kServiceOffset + number,
             {"--model", name, "--role", "service", "--failure-domain", "d" + n});
}

std::string Cluster::HostOf(int index) const {
  // One address range for each range of ports, which no other test program has.
  const int range = (base_port_ - kFirstPort) / kPortsPerCluster;
  return "127.64." + std::to_string(range) + "." + std::to_string(index);
}

void Cluster::SetConfig(const Json& config) const {
  WaitFor("the configuration is acknowledged", [&] {
    return std::any_of(controls_.begin(), controls_.end(), [&](const std::string& it) {
      return Send(Address(it), verb::post, "/config/replace", config.dump()).status == 200;
    });
  });
}

std::string Cluster::ReplicaAddress(int number) const {
  return HostOf(kReplicaHost + number % kReplicaHosts) + ":" +
         std::to_string(kReplicaPort + number / kReplicaHosts);
}

std::string Cluster::ReadinessAddress(const std::string& name) const {
  const std::string& address = Address(name);
  return address.substr(0, address.rfind(':') + 1) + std::to_string(kReadinessPort);
}

std::string Cluster::EngineAddress(int number) const {
  return HostOf(kSidecarHost + number) + ":" + std::to_string(kReplicaPort);
}

void Cluster::StartSidecar(int number, const std::string& service, int propagation_ms) {
  StartNode("w" + std::to_string(number), "sidecar", kSidecarHost + number, Json::object(),
            {{"app", EngineAddress(number)},
             {"backend", service},
             {"timing-bounds", {{"version_ms", propagation_ms}}}});
}

void Cluster::StartNode(const std::string& name, const std::string& kind, int index, Json listen,
                        const Json& more) {
  const std::string host = HostOf(index);
  Json settings{{"node-name", name},
                {"ip", host},
                {"zone", "za"},
                {"region", "ra"},
                {"zones", {{"za", "ra"}}},
                {"port-range", {kFirstMeshPort, kFirstMeshPort + 15}},
                {"seed-nodes", seeds_},
                {"bootstrap", true},
                {"timing-bounds", bounds_},
                {"data-dir", kind == "control" ? (folder_ / name).string() : ""},
                {"listen-addrs", std::move(listen)}};
  settings.update(more);
  const auto path = folder_ / (name + ".json");
  std::ofstream(path) << settings.dump();
  Start(name, {WTS_BINARY, kind, "--settings", path},
        host + ":" + std::to_string(kind == "control" ? kControlPort : kCallerPort),
        folder_ / name);
}

void Cluster::StartDeployment(int controls, int ingresses, const Json& bounds) {
  bounds_ = bounds;
  for (int i = 0; i < controls; ++i) {
    seeds_.push_back(HostOf(kControlHost + i) + ":" + std::to_string(kControlPort));
  }
  const auto at = [](const std::string& host, int port) {
    return host + ":" + std::to_string(port);
  };
  for (int i = 0; i < controls; ++i) {
    const std::string host = HostOf(kControlHost + i);
    controls_.push_back("c" + std::to_string(i + 1));
    StartNode(controls_.back(), "control", kControlHost + i,
              {{"admin", at(host, kControlPort)}, {"registry", at(host, kLookupPort)}});
  }
  for (int i = 0; i < ingresses; ++i) {
    const std::string host = HostOf(kIngressHost + i);
    ingresses_.push_back("i" + std::to_string(i + 1));
    StartNode(ingresses_.back(), "ingress", kIngressHost + i,
              {{"frontend", at(host, kCallerPort)}, {"readiness", at(host, kReadinessPort)}});
  }
}

std::string Cluster::ControlLeader() const {
  for (const auto& name : controls_) {
    const Json dump = Get(name, "/debug/state");
    if (dump.is_object() && dump["role"] == "leader") return name;
  }
  return {};
}

void Cluster::Start(const std::string& name, std::vector<std::string> command,
                    const std::string& address, const std::filesystem::path& data) {
  Process& process = processes_[name];
  process.command = std::move(command);
  process.address = address;
  process.data = data;
  Spawn(name, process);
}

void Cluster::Spawn(const std::string& name, Process& process) {
  const std::string log = folder_ / (name + ".log");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Sockets of stand-ins that run in the test would stay open in the process after the test has
  // closed them.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> argv;
  for (auto& it : process.command) argv.push_back(it.data());
  argv.push_back(nullptr);
  const int error =
      posix_spawn(&process.pid, argv.front(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + process.command.front());
}

void Cluster::Signal(const std::string& name, int signal) const {
  const pid_t pid = processes_.at(name).pid;
  if (pid > 0) kill(pid, signal);
}

void Cluster::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  WaitExit(name);
}

void Cluster::Stop(const std::string& name) { Signal(name, SIGTERM); }
void Cluster::Freeze(const std::string& name) { Signal(name, SIGSTOP); }
void Cluster::Continue(const std::string& name) { Signal(name, SIGCONT); }

int Cluster::WaitExit(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid <= 0) return -1;
  int status = 0;
  waitpid(process.pid, &status, 0);
  process.pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Cluster::Restart(const std::string& name, bool keep_data) {
  Process& process = processes_.at(name);
  if (!keep_data) {
    std::filesystem::remove_all(process.data);
    std::erase(process.command, "--bootstrap");
  }
  Spawn(name, process);
}

Json Cluster::Get(const std::string& name, const std::string& target) const {
  const auto reply = Send(Address(name), verb::get, target, {}, {}, 5s);
  return reply.status == 200 ? reply.Body() : Json();
}

std::string Cluster::Leader() const {
  for (const auto& name : entries_) {
    if (!Running(name)) continue;
    const Json dump = Get(name, "/debug/state");
    if (dump.is_object() && dump["replica"]["role"] == "leader" && dump["replica"]["has_lease"]) {
      return name;
    }
  }
  return {};
}

void Cluster::WaitFor(const std::string& what, const std::function<bool()>& condition,
                      Duration limit) const {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      CppUnit::Asserter::fail("not reached: " + what + "\n" + LastLogLines());
    }
    std::this_thread::sleep_for(kPoll);
  }
}

void Cluster::WaitReady(const std::vector<std::string>& names, std::size_t endpoints) const {
  for (const auto& name : names) {
    WaitFor(name + " holds a lease and sees " + std::to_string(endpoints) + " endpoints", [&] {
      const Json status = Get(name, "/v1/status");
      if (!status.is_object() || status["lease"] != true) return false;
      const auto& rows = status["endpoints"];
      return endpoints <=
             static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), [](const Json& row) {
               return row["health"] == "healthy";
             }));
    });
  }
}

std::string Cluster::WaitLeader() const {
  std::string leader;
  WaitFor("a leader with a lease", [&] {
    leader = Leader();
    return !leader.empty();
  });
  return leader;
}

std::vector<std::string> Cluster::LogLines(const std::string& name, const std::string& text) const {
  std::ifstream file(folder_ / (name + ".log"));
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    if (line.find(text) != std::string::npos) lines.push_back(line);
  }
  return lines;
}

std::string Cluster::LastLogLines() const {
  constexpr std::size_t kLines = 4;
  std::string out;
  for (const auto& [name, process] : processes_) {
    const auto lines = LogLines(name, "");
    const std::size_t first = lines.size() > kLines ? lines.size() - kLines : 0;
    for (std::size_t i = first; i < lines.size(); ++i) out += name + ": " + lines[i] + "\n";
  }
  return out;
}

}  // namespace wagtailslip::system_test
