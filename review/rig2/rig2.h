// Rig of the second review: starts processes of the deployment on loopback addresses and the real
// clock, and stands in for clients, replicas and the operator. Blocking sockets and threads; needs
// the C++ and C libraries only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace rig2 {

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void SleepFor(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Lines of record.txt.
inline std::FILE*& RecordFile() {
  static std::FILE* file = nullptr;
  return file;
}
inline void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void Record(const char* format, ...) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  if (RecordFile() == nullptr) return;
  std::fprintf(RecordFile(), "%8.3f ", Now());
  va_list args;
  va_start(args, format);
  std::vfprintf(RecordFile(), format, args);
  va_end(args);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
}

inline std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline sockaddr_in Address(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

/// One TCP channel. Shutdown and Reset are safe from other threads while the object lives.
class Channel {
 public:
  explicit Channel(int fd = -1) : fd_(fd) {}
  ~Channel() {
    if (fd_ >= 0) ::close(fd_);
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Connect(const std::string& to, double timeout) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd_ < 0) return false;
    const auto address = Address(to);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
      return false;
    }
    pollfd p{fd_, POLLOUT, 0};
    if (::poll(&p, 1, static_cast<int>(timeout * 1000)) != 1) return false;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return false;
    ::fcntl(fd_, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Appends what is there. @return bytes, 0 at the end, -1 on an error, -2 after the timeout
  long Read(std::string& to, double timeout) {
    pollfd p{fd_, POLLIN, 0};
    const int ready = ::poll(&p, 1, std::max(0, static_cast<int>(timeout * 1000)));
    if (ready == 0) return -2;
    char buffer[16384];
    const auto n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n > 0) to.append(buffer, static_cast<std::size_t>(n));
    return n;
  }
  /// Whether the other side has closed or reset the channel.
  bool Gone() const {
    char byte = 0;
    const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Closes with a reset once the owner lets go of it, and wakes a thread that reads or writes.
  void Reset() {
    const linger off{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
    ::shutdown(fd_, SHUT_RD);
    reset_ = true;
  }
  bool reset() const { return reset_; }

 private:
  int fd_;
  std::atomic<bool> reset_{false};
};

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  int Status() const {
    return first_line.rfind("HTTP/1.", 0) == 0 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

inline void ParseHead(const std::string& head, Message& message) {
  std::size_t at = 0;
  while (at < head.size()) {
    auto end = head.find("\r\n", at);
    if (end == std::string::npos) end = head.size();
    const std::string line = head.substr(at, end - at);
    at = end + 2;
    if (message.first_line.empty()) {
      message.first_line = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.erase(0, 1);
    message.headers[name] = value;
  }
}

/// Reads one message with a length or in chunks. Bytes beyond it stay in `rest`.
inline bool ReadMessage(Channel& channel, std::string& rest, Message& message, double timeout) {
  const double until = Now() + timeout;
  std::size_t end = 0;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
    if (channel.Read(rest, until - Now()) <= 0) return false;
  }
  ParseHead(rest.substr(0, end), message);
  rest.erase(0, end + 4);
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t line = 0;
      while ((line = rest.find("\r\n")) == std::string::npos) {
        if (channel.Read(rest, until - Now()) <= 0) return true;
      }
      const auto size = std::strtoul(rest.c_str(), nullptr, 16);
      while (rest.size() < line + 2 + size + 2) {
        if (channel.Read(rest, until - Now()) <= 0) return true;
      }
      message.body += rest.substr(line + 2, size);
      rest.erase(0, line + 2 + size + 2);
      if (size == 0) break;
    }
    message.complete = true;
    return true;
  }
  const auto size = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  while (rest.size() < size) {
    if (channel.Read(rest, until - Now()) <= 0) return true;
  }
  message.body = rest.substr(0, size);
  rest.erase(0, size);
  message.complete = true;
  return true;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Calls once on a new channel. The status is 0 without an answer.
inline Message Call(const std::string& address, const std::string& method,
                    const std::string& target, const Headers& headers, const std::string& body,
                    double timeout) {
  Message answer;
  Channel channel;
  const double until = Now() + timeout;
  if (!channel.Connect(address, std::min(timeout, 1.0))) return answer;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
    host = host || name == "Host";
  }
  if (!host) text += "Host: " + address + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!channel.Write(text)) return answer;
  std::string rest;
  ReadMessage(channel, rest, answer, until - Now());
  return answer;
}

/// Accepts channels at an address and serves each on a thread, until Stop or Crash.
class Server {
 public:
  using Handler = std::function<void(Channel&, const Message&)>;
  Server(std::string address, Handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto to = Address(address_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        ::listen(listener_, 512) != 0) {
      Record("cannot listen on %s", address_.c_str());
      std::_Exit(2);
    }
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Server() { Crash(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Closes the listener and resets all channels, as the end of a process does.
  void Crash() {
    if (stopped_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (auto* it : channels_) it->Reset();
    }
    while (threads_ > 0) SleepFor(0.002);
  }
  bool stopped() const { return stopped_; }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) return;
        continue;
      }
      ++threads_;
      std::thread([this, fd] {
        Serve(fd);
        --threads_;
      }).detach();
    }
  }
  void Serve(int fd) {
    Channel channel(fd);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(mutex_);
      if (stopped_) channel.Reset();
      channels_.insert(&channel);
    }
    std::string rest;
    while (!stopped_) {
      Message request;
      if (!ReadMessage(channel, rest, request, 15) || !request.complete) break;
      handler_(channel, request);
    }
    const std::lock_guard lock(mutex_);
    channels_.erase(&channel);
  }

  std::string address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::atomic<int> threads_{0};
  std::mutex mutex_;
  std::set<Channel*> channels_;
  std::thread acceptor_;
};

/// Control and ingress processes of one deployment, started with the commands of the deploy file.
/// Ends all of them at the end of its life.
class Deployment {
 public:
  Deployment(std::string binary, int controls, int ingresses)
      : binary_(std::move(binary)), controls_(controls), ingresses_(ingresses) {
    std::random_device random;
    // A loopback network of its own, on which the first address is free.
    for (int i = 0; i < 100; ++i) {
      net_ =
          "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
      Channel probe;
      if (!probe.Connect(net_ + ".10:8000", 0.2)) break;
    }
    char name[] = "/tmp/wts-review-XXXXXX";
    folder_ = ::mkdtemp(name);
    for (int i = 0; i < controls; ++i) Write("c" + std::to_string(i), "control", 10 + i);
    for (int i = 0; i < ingresses; ++i) Write("i" + std::to_string(i), "ingress", 40 + i);
  }
  ~Deployment() {
    for (const auto& [name, pid] : pids_) ::kill(pid, SIGKILL);
    for (const auto& [name, pid] : pids_) ::waitpid(pid, nullptr, 0);
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void Start() {
    for (const auto& [name, role] : roles_) Spawn(name);
  }
  std::string Host(int n) const { return net_ + "." + std::to_string(n); }
  std::string Control(int i) const { return Host(10 + i % controls_) + ":8000"; }
  std::string Caller(int i) const { return Host(40 + i % ingresses_) + ":8005"; }
  std::string Readiness(int i) const { return Host(40 + i % ingresses_) + ":8002"; }
  int ingresses() const { return ingresses_; }
  pid_t Pid(const std::string& name) const { return pids_.at(name); }

  /// Sends a call of the operator until it gets 2xx, following redirections twice.
  Message Operate(const std::string& method, const std::string& target, const std::string& body,
                  double limit = 20) const {
    Message answer;
    int i = 0;
    for (const double until = Now() + limit; Now() < until; SleepFor(0.05)) {
      std::string address = Control(i++);
      for (int hop = 0; hop < 3; ++hop) {
        answer = Call(address, method, target, {{"Content-Type", "application/json"}}, body, 1);
        if (answer.Status() != 307) break;
        const std::string to = answer.Header("location").substr(7);
        address = to.substr(0, to.find('/'));
      }
      const int status = answer.Status();
      if ((status >= 200 && status < 300) || status == 400) break;
    }
    Record("operator: %s %s -> %d", method.c_str(), target.c_str(), answer.Status());
    return answer;
  }
  /// Waits until all ingress processes are ready.
  bool WaitReady(double limit = 20) const {
    for (const double until = Now() + limit; Now() < until; SleepFor(0.05)) {
      int ready = 0;
      for (int i = 0; i < ingresses_; ++i) {
        ready += Call(Readiness(i), "GET", "/readyz", {}, "", 1).Status() == 200 ? 1 : 0;
      }
      if (ready == ingresses_) return true;
    }
    return false;
  }
  /// Whether a process has ended by itself.
  bool Ended(const std::string& name) {
    const auto it = pids_.find(name);
    if (it == pids_.end() || ::waitpid(it->second, nullptr, WNOHANG) != it->second) return false;
    pids_.erase(it);
    return true;
  }

 private:
  void Write(const std::string& name, const std::string& role, int host) {
    const std::string ip = Host(host);
    std::string seeds;
    for (int i = 0; i < std::min(3, controls_); ++i) {
      seeds += (i == 0 ? "\"" : ",\"") + Control(i) + "\"";
    }
    const bool control = role == "control";
    std::ofstream file(folder_ + "/" + name + ".json");
    file
        << R"({"node-name":")" << name << R"(","role":")" << role << R"(","instance-class":")"
        << (control ? "core" : "edge") << R"(","serves":[)"
        << (control ? R"("control_plane","registry")" : R"("edge")") << R"(],"ip":")" << ip
        << R"(","zone":"za","region":"ra","port-range":[7700,7715],"seed-nodes":[)" << seeds
        << R"(],"bootstrap":true,"in-tolerance":)" << (control ? "true" : "false")
        << R"(,"discovery":"self_register","ingress":"registry","heartbeat-ms":1200,"config-mode":"highest","zones":{"za":"ra"},"listen-addrs":{)"
        << (control ? R"("admin":")" + ip + R"(:8000","registry":")" + ip + R"(:8001")"
                    : R"("frontend":")" + ip + R"(:8005","readiness":")" + ip + R"(:8002")")
        << "}," << (control ? R"("data-dir":")" + folder_ + "/" + name + R"(",)" : "")
        << R"("limits":{"cpu-quota":0.5,"cpu-cores":1,"memory-mb":390,"max-open-files":6150,"bandwidth-mbps":1500.0,"disk-mb":128},"fault-tolerance":{"nodes":1,"zones":0,"regions":0},"timing-bounds":{"seed-staleness-s":3,"address-reuse-s":2,"contact-ms":3000,"ack-timeout-ms":4000,"sync-s":4,"drain-timeout-ms":2000,"grace-period-s":8,"loss-slack-ms":200,"config-propagation-ms":2000,"rollback-slack-ms":250,"partition-bound-ms":5000,"fail-closed":false,"revocation-ms":5000,"retry-budget-ratio":0.2,"retry-window-s":10,"retry-budget-extra":104,"warmup-overshoot":1.5,"warmup-tolerance":5,"evacuation-ms":5000,"recovery-s":12,"event-delay-ms":120,"retry-after-s":0,"version_ms":8000,"version_all_ms":0,"ttl_max_s":5}})"
        << "\n";
    roles_[name] = role;
  }
  void Spawn(const std::string& name) {
    const std::string settings = folder_ + "/" + name + ".json";
    const std::string log = folder_ + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // The command of the deploy file; the settings come from the variable.
    const std::string variable = "WAGTAILSLIP_CONFIG=" + settings;
    std::vector<char*> environment{const_cast<char*>(variable.c_str())};
    for (char** it = environ; *it != nullptr; ++it) {
      if (std::strncmp(*it, "PATH=", 5) == 0 || std::strncmp(*it, "HOME=", 5) == 0 ||
          std::strncmp(*it, "LANG=", 5) == 0) {
        environment.push_back(*it);
      }
    }
    environment.push_back(nullptr);
    char* const arguments[] = {const_cast<char*>(binary_.c_str()),
                               const_cast<char*>(roles_[name].c_str()), nullptr};
    pid_t pid = -1;
    if (::posix_spawn(&pid, binary_.c_str(), &actions, nullptr, arguments, environment.data()) !=
        0) {
      Record("cannot start %s", name.c_str());
      std::_Exit(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    pids_[name] = pid;
  }

  std::string binary_;
  int controls_;
  int ingresses_;
  std::string net_;
  std::string folder_;
  std::map<std::string, std::string> roles_;
  std::map<std::string, pid_t> pids_;
};

/// Pings of one boot of a replica, every 1.2 s, to the next daemon after a failure.
class Pinger {
 public:
  /// @param fields gives the JSON fields of the call without braces, "sequence" and "born"
  Pinger(const Deployment& deployment, std::string id, std::function<std::string()> fields,
         double delay = 0)
      : deployment_(deployment), id_(std::move(id)), fields_(std::move(fields)) {
    thread_ = std::thread([this, delay] { Run(delay); });
  }
  ~Pinger() {
    stop_ = true;
    thread_.join();
  }
  Pinger(const Pinger&) = delete;
  Pinger& operator=(const Pinger&) = delete;
  int acknowledged() const { return acknowledged_; }

 private:
  void Wait(double s) const {
    for (const double until = Now() + s; Now() < until && !stop_;) SleepFor(0.01);
  }
  void Run(double delay) {
    const std::int64_t born = UnixMs();
    Wait(delay);
    int daemon = static_cast<int>(std::hash<std::string>{}(id_) % 3);
    for (int sequence = 1; !stop_; ++sequence) {
      const std::string body = "{" + fields_() + ",\"sequence\":" + std::to_string(sequence) +
                               ",\"born\":" + std::to_string(born) + "}";
      const auto answer =
          Call(deployment_.Control(daemon), "POST", "/replicas/" + id_ + "/heartbeat",
               {{"Content-Type", "application/json"}}, body, 1);
      const bool ok = answer.Status() / 100 == 2;
      if (ok) ++acknowledged_;
      if (!ok) ++daemon;
      Wait(ok ? 1.2 : 0.1);
    }
  }

  const Deployment& deployment_;
  std::string id_;
  std::function<std::string()> fields_;
  std::atomic<bool> stop_{false};
  std::atomic<int> acknowledged_{0};
  std::thread thread_;
};

/// Main program of a case: opens record.txt in the folder of the case, and prints and returns the
/// verdict.
inline int Main(int argc, char** argv, const std::function<int(const std::string&)>& run) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  Now();
  RecordFile() = std::fopen((std::string(argv[1]) + "/record.txt").c_str(), "w");
  if (RecordFile() == nullptr) return 2;
  Record("trouble: %s", Trouble() ? "yes" : "no");
  const int verdict = run(argv[2]);
  Record("exit: %d", verdict);
  std::printf("exit %d\n", verdict);
  return verdict;
}

}  // namespace rig2
