#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace rig {
namespace {

constexpr int kControlPort = 8000;
constexpr int kLookupPort = 8003;
constexpr int kCallerPort = 8005;
constexpr int kReadyPort = 8002;
constexpr int kFirstMeshPort = 7700;
constexpr int kFirstIngressHost = 20;
constexpr int kBacklog = 512;
constexpr double kBeatInterval = 1.2;
/// A run that takes longer has not played the case.
constexpr double kMaxRunSeconds = 117;

// Processes that run, for the end of the rig by a signal or an error.
constexpr std::size_t kMaxProcesses = 64;
std::array<std::atomic<pid_t>, kMaxProcesses> running_processes;

void EndProcesses() {
  for (auto& it : running_processes) {
    const pid_t pid = it.exchange(0);
    if (pid > 0) kill(pid, SIGKILL);
  }
}

void OnSignal(int /*signal*/) {
  EndProcesses();
  _exit(2);
}

void OnTerminate() {
  EndProcesses();
  _exit(2);
}

void ReplaceRunning(pid_t former, pid_t pid) {
  for (auto& it : running_processes) {
    pid_t expected = former;
    if (it.compare_exchange_strong(expected, pid)) return;
  }
}

std::mutex record_mutex;
std::FILE* record_file = nullptr;

bool ParseAddress(const std::string& address, sockaddr_in& out) {
  const auto colon = address.rfind(':');
  out = {};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

int PollMs(double seconds) { return std::max(0, static_cast<int>(seconds * 1000)); }

bool CanBind(const std::string& address) {
  sockaddr_in at{};
  ParseAddress(address, at);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
  close(fd);
  return free;
}

}  // namespace

double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void OpenRecord(const std::string& folder) {
  Now();
  record_file = std::fopen((folder + "/record.txt").c_str(), "w");
  if (record_file == nullptr) throw std::runtime_error("record.txt cannot be written");
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%9.3f %s\n", Now(), line.c_str());
  std::fflush(record_file);
}

bool Channel::Connect(const std::string& address, double timeout) {
  sockaddr_in at{};
  if (!ParseAddress(address, at)) return false;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = errno;
    socklen_t n = sizeof(error);
    const bool ready = error == EINPROGRESS && poll(&wait, 1, PollMs(timeout)) == 1 &&
                       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) == 0 && error == 0;
    if (!ready) {
      close(fd);
      return false;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  fd_ = fd;
  return true;
}

bool Channel::Write(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

int Channel::Read(std::string& buf, double timeout) {
  pollfd wait{fd_, POLLIN, 0};
  if (poll(&wait, 1, PollMs(timeout)) <= 0) return -2;
  char bytes[16384];
  const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
  if (n < 0) return -1;
  buf.append(bytes, static_cast<std::size_t>(n));
  return static_cast<int>(n);
}

void Channel::Close() {
  const int fd = fd_.exchange(-1);
  if (fd >= 0) close(fd);
}

void Channel::Reset() {
  const int fd = fd_;
  if (fd < 0) return;
  // Connecting to no address ends the channel with a reset and leaves the descriptor to its owner.
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  connect(fd, &none, sizeof(none));
}

void Channel::Shutdown() {
  const int fd = fd_;
  if (fd >= 0) shutdown(fd, SHUT_RDWR);
}

std::string Message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

int Message::Status() const {
  return first_line.size() < 12 || first_line[0] != 'H' ? 0 : std::atoi(first_line.c_str() + 9);
}

bool ReadMessage(Channel& channel, std::string& rest, Message& message, double timeout) {
  const double until = Now() + timeout;
  auto end = rest.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (channel.Read(rest, until - Now()) <= 0) return false;
    end = rest.find("\r\n\r\n");
  }
  std::istringstream head(rest.substr(0, end + 2));
  rest.erase(0, end + 4);
  std::getline(head, message.first_line);
  if (message.first_line.ends_with('\r')) message.first_line.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (line.ends_with('\r')) line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& it : name) it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  while (rest.size() < length) {
    if (channel.Read(rest, until - Now()) <= 0) return false;
  }
  message.body = rest.substr(0, length);
  rest.erase(0, length);
  return true;
}

Reply Call(const std::string& address, const std::string& method, const std::string& target,
           const std::string& body, double timeout, const std::vector<std::string>& headers) {
  Reply reply;
  Channel channel;
  if (!channel.Connect(address, timeout)) return reply;
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + address + "\r\n";
  for (const auto& it : headers) text += it + "\r\n";
  if (!body.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string rest;
  if (!channel.Write(text) || !ReadMessage(channel, rest, reply.message, timeout)) return reply;
  reply.status = reply.message.Status();
  return reply;
}

Deployment::Deployment(std::string binary, int controls, int ingresses)
    : binary_(std::move(binary)), controls_(controls), ingresses_(ingresses) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  signal(SIGTERM, OnSignal);
  signal(SIGINT, OnSignal);
  std::set_terminate(OnTerminate);
  std::thread([] {
    SleepFor(kMaxRunSeconds);
    OnTerminate();
  }).detach();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = pattern;
  std::mt19937 random(static_cast<unsigned>(getpid()));
  do {
    net_ =
        "127." + std::to_string(70 + random() % 100) + "." + std::to_string(random() % 250) + ".";
  } while (!CanBind(Host(0) + ":" + std::to_string(kControlPort)) ||
           !CanBind(Host(kFirstIngressHost) + ":" + std::to_string(kCallerPort)));
}

Deployment::~Deployment() {
  for (auto& [name, it] : processes_) {
    if (it.pid <= 0) continue;
    kill(it.pid, SIGCONT);
    kill(it.pid, SIGKILL);
    waitpid(it.pid, nullptr, 0);
    ReplaceRunning(it.pid, 0);
  }
  if (std::getenv("KEEP") != nullptr) {
    std::fprintf(stderr, "logs: %s\n", folder_.c_str());
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

std::string Deployment::Host(int i) const { return net_ + std::to_string(i + 1); }
std::string Deployment::ControlAddress(int i) const {
  return Host(i) + ":" + std::to_string(kControlPort);
}
std::string Deployment::CallerAddress(int i) const {
  return Host(kFirstIngressHost + i) + ":" + std::to_string(kCallerPort);
}
std::string Deployment::ReadyAddress(int i) const {
  return Host(kFirstIngressHost + i) + ":" + std::to_string(kReadyPort);
}

void Deployment::WriteSettings(const std::string& name, const std::string& kind, int host,
                               bool first) {
  std::string seeds;
  for (int i = 0; i < std::min(controls_, 3); ++i) {
    seeds += (i > 0 ? ",\"" : "\"") + ControlAddress(i) + "\"";
  }
  const auto at = [&](int port) { return "\"" + Host(host) + ":" + std::to_string(port) + "\""; };
  const std::string listen =
      kind == "control" ? "\"admin\":" + at(kControlPort) + ",\"registry\":" + at(kLookupPort)
                        : "\"frontend\":" + at(kCallerPort) + ",\"readiness\":" + at(kReadyPort);
  const std::string data = kind == "control" ? folder_ + "/" + name : "";
  auto& process = processes_[name];
  process.kind = kind;
  process.settings = folder_ + "/" + name + ".json";
  // The bounds and limits are those of coralbay-refill.
  std::ofstream(process.settings)
      << R"({"node-name":")" << name << R"(","ip":")" << Host(host)
      << R"(","zone":"bne-a","region":"brisbane","zones":{"bne-a":"brisbane"},"port-range":[)"
      << kFirstMeshPort << "," << kFirstMeshPort + 15 << R"(],"seed-nodes":[)" << seeds
      << R"(],"bootstrap":)" << (first ? "true" : "false") << R"(,"data-dir":")" << data
      << R"(","listen-addrs":{)" << listen
      << R"(},"limits":{"memory-mb":260,"max-open-files":4200,"bandwidth-mbps":1000.0},)"
      << R"("timing-bounds":{"config-propagation-ms":2000,"drain-timeout-ms":2000,)"
      << R"("grace-period-s":8,"version_ms":8000,"sync-s":4,"ttl_max_s":5,"contact-ms":3000,)"
      << R"("retry-budget-ratio":0.2,"retry-budget-extra":100,"retry-window-s":10}})";
}

void Deployment::Spawn(const std::string& name) {
  Process& process = processes_.at(name);
  const std::string log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> words{binary_, process.kind, "--settings", process.settings};
  std::vector<char*> argv;
  for (auto& it : words) argv.push_back(it.data());
  argv.push_back(nullptr);
  const int error =
      posix_spawn(&process.pid, binary_.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + binary_);
  ReplaceRunning(0, process.pid);
}

void Deployment::Start() {
  for (int i = 0; i < controls_; ++i) {
    WriteSettings("control-" + std::to_string(i), "control", i, true);
  }
  for (int i = 0; i < ingresses_; ++i) {
    WriteSettings("ingress-" + std::to_string(i), "ingress", kFirstIngressHost + i, true);
  }
  for (const auto& [name, it] : processes_) Spawn(name);
}

bool Deployment::Operate(const std::string& target, const std::string& body, double limit) {
  const double until = Now() + limit;
  for (int i = 0; Now() < until; ++i) {
    std::string address = ControlAddress(i % controls_);
    for (int hops = 0; hops < 3; ++hops) {
      const auto reply = Call(address, "POST", target, body, 3.0);
      Record("operator " + target + " to " + address + ", answer " + std::to_string(reply.status));
      if (reply.status / 100 == 2) return true;
      const std::string location = reply.message.Header("location");
      if (reply.status != 307 || !location.starts_with("http://")) break;
      address = location.substr(7, location.find('/', 7) - 7);
    }
    SleepFor(0.1);
  }
  return false;
}

void Deployment::Signal(const std::string& name, int signal) {
  const pid_t pid = processes_.at(name).pid;
  if (pid > 0) kill(pid, signal);
}

void Deployment::Restart(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid > 0) {
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    ReplaceRunning(process.pid, 0);
  }
  Spawn(name);
}

pid_t Deployment::Pid(const std::string& name) const { return processes_.at(name).pid; }

bool Deployment::Ended(const std::string& name) {
  Process& process = processes_.at(name);
  if (process.pid > 0 && waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
    ReplaceRunning(process.pid, 0);
    process.pid = -1;
  }
  return process.pid <= 0;
}

std::uint64_t Deployment::Memory(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(processes_.at(name).pid) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

Server::Server(std::string address, Handler handler)
    : address_(std::move(address)), handler_(std::move(handler)) {
  sockaddr_in at{};
  ParseAddress(address_, at);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || listen(fd, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + address_);
  }
  listener_ = fd;
  acceptor_ = std::thread([this] { Run(); });
}

Server::~Server() {
  Crash();
  for (auto& it : threads_) it.join();
}

void Server::Run() {
  while (!stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    auto channel = std::make_shared<Channel>(fd);
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    channels_.push_back(channel);
    threads_.emplace_back([this, channel] {
      handler_(*channel);
      {
        const std::lock_guard done(mutex_);
        std::erase(channels_, channel);
      }
      channel->Close();
    });
  }
}

void Server::Crash() {
  if (stopped_.exchange(true)) return;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  const std::lock_guard lock(mutex_);
  for (const auto& it : channels_) it->Reset();
}

std::vector<std::shared_ptr<Channel>> Server::Channels() {
  const std::lock_guard lock(mutex_);
  return channels_;
}

Announcer::Announcer(Deployment& deployment, std::string id, std::string fields) {
  thread_ = std::thread([this, &deployment, id, fields] {
    for (int sequence = 1; !stop_; ++sequence) {
      const std::string body = "{" + fields + ",\"sequence\":" + std::to_string(sequence) + "}";
      for (int i = 0; i < 3 && !stop_; ++i) {
        const auto reply = Call(deployment.ControlAddress((sequence + i) % 3), "POST",
                                "/replicas/" + id + "/heartbeat", body);
        Record("announcement " + std::to_string(sequence) + " of " + id + ", answer " +
               std::to_string(reply.status));
        if (reply.status / 100 != 2) continue;
        acknowledged_ = true;
        break;
      }
      const double next = Now() + (acknowledged_ ? kBeatInterval : 0.2);
      while (!stop_ && Now() < next) SleepFor(0.02);
    }
  });
}

Announcer::~Announcer() {
  stop_ = true;
  thread_.join();
}

}  // namespace rig
