// Test rig of the review: starts processes of the deployment on loopback addresses, and stands in
// for clients, replicas and the operator. Blocking sockets and threads; no dependency beyond the
// C++ and C libraries.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rig {

/// Seconds since the start of the rig.
double Now();
void SleepFor(double seconds);
std::int64_t UnixMs();

/// Appends a line with the time to record.txt in the folder of the case.
void Record(const std::string& line);
/// Starts record.txt anew.
void OpenRecord(const std::string& folder);

/// Byte stream over TCP. Closes its descriptor at the end of its life.
class Channel {
 public:
  Channel() = default;
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Connect(const std::string& address, double timeout);
  bool Write(const std::string& bytes);
  /// Reads once. @return bytes read, 0 at the end, -1 on a reset, -2 after the timeout
  int Read(std::string& buf, double timeout);
  void Close();
  /// Closes with a reset. Safe from other threads while this object lives.
  void Reset();
  /// Ends both directions, so that another thread that reads returns.
  void Shutdown();
  int fd() const { return fd_; }

 private:
  std::atomic<int> fd_{-1};
};

/// Parsed head of a message, and its body as far as it was read.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const;
  /// Status of a response; 0 if there is none.
  int Status() const;
};

/// Reads a message with a length, or a head only if it has none.
/// @param rest bytes read beyond the message
bool ReadMessage(Channel& channel, std::string& rest, Message& message, double timeout);

struct Reply {
  int status = 0;  // 0 if there was no whole response
  Message message;
};

/// Calls once on a new channel.
Reply Call(const std::string& address, const std::string& method, const std::string& target,
           const std::string& body, double timeout = 1.0,
           const std::vector<std::string>& headers = {});

/// Processes of one deployment. Ends all of them at the end of its life.
class Deployment {
 public:
  /// @param binary path of the program
  Deployment(std::string binary, int controls, int ingresses);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void Start();
  std::string ControlAddress(int i) const;
  std::string CallerAddress(int i) const;
  std::string ReadyAddress(int i) const;
  /// Loopback address without a port for a stand-in.
  std::string Host(int i) const;
  /// Sends a call to the control processes in turn, following redirections, until it gets 2xx.
  bool Operate(const std::string& target, const std::string& body, double limit = 20);
  /// @param name "control-0", "ingress-0", ...
  void Signal(const std::string& name, int signal);
  /// Ends a process and starts it again.
  void Restart(const std::string& name);
  pid_t Pid(const std::string& name) const;
  /// Whether the process has ended by itself.
  bool Ended(const std::string& name);
  /// Resident memory in bytes.
  std::uint64_t Memory(const std::string& name) const;
  const std::string& folder() const { return folder_; }

 private:
  struct Process {
    std::string kind;
    std::string settings;
    pid_t pid = -1;
  };
  void WriteSettings(const std::string& name, const std::string& kind, int host, bool first);
  void Spawn(const std::string& name);

  std::string binary_;
  int controls_;
  int ingresses_;
  std::string net_;
  std::string folder_;
  std::map<std::string, Process> processes_;
};

/// Accepts channels at an address and serves each on a thread.
class Server {
 public:
  using Handler = std::function<void(Channel&)>;
  Server(std::string address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Closes the listener and resets all channels.
  void Crash();
  /// The channels that are open.
  std::vector<std::shared_ptr<Channel>> Channels();

 private:
  void Run();

  std::string address_;
  Handler handler_;
  std::atomic<int> listener_{-1};
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Channel>> channels_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Announces a replica about every 1.2 s until it ends.
class Announcer {
 public:
  /// @param fields JSON members of the call without "sequence" and braces
  Announcer(Deployment& deployment, std::string id, std::string fields);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;
  bool acknowledged() const { return acknowledged_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<bool> acknowledged_{false};
  std::thread thread_;
};

}  // namespace rig
