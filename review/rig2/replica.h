// Stand-in of a replica that follows the pages: checks Target-Replica, echoes Attempt-Id, gives a
// receipt, runs `slots` requests at once and refuses others with Not-Executed.
#pragma once

#include "rig2.h"

namespace rig2 {

/// A request that a replica has taken, refusals aside.
struct Arrival {
  double at = 0;
  std::string attempt;
  std::string key;
  std::string path;
  std::string prefix;
  bool cold = false;
  int boot = 0;
};

struct ReplicaOptions {
  std::string id;
  std::string address;
  std::string service;
  int slots = 16;
  /// Seconds of work, of a plain replica.
  double work = 0.03;
  /// A model replica streams `events` events, one each `gap` seconds, the first after `first`.
  bool model = false;
  int events = 20;
  double first = 0.05;
  double gap = 0.044;
  /// Ids of events are multiples of this number.
  int id_step = 1;
  /// A replica that starts during traffic is cold for so long; 0: never.
  double cold_s = 0;
  /// A server of another system sends no pings of this one.
  bool pings = true;
};

class Replica {
 public:
  Replica(const Deployment& deployment, ReplicaOptions options)
      : deployment_(deployment), options_(std::move(options)) {}
  ~Replica() { Crash(); }

  /// Starts a boot.
  /// @param id of this boot; empty for the one that it had
  void Start(bool warm, const std::string& id = "", double ping_delay = 0) {
    if (!id.empty()) options_.id = id;
    ++boot_;
    cold_until_ = warm ? 0 : Now() + options_.cold_s;
    running_ = 0;
    server_ = std::make_unique<Server>(options_.address,
                                       [this](Channel& c, const Message& m) { Handle(c, m); });
    if (options_.pings) {
      pinger_ = std::make_unique<Pinger>(
          deployment_, options_.id, [this] { return Fields(); }, ping_delay);
    }
    Record("replica %s at %s: boot %d starts%s", options_.id.c_str(), options_.service.c_str(),
           boot_.load(), warm ? "" : ", cold");
  }
  /// Ends the process: pings stop, all channels are reset, new ones are refused.
  void Crash() {
    if (!server_) return;
    server_->Crash();
    pinger_.reset();
    server_.reset();
    Record("replica %s: boot %d has ended", options_.id.c_str(), boot_.load());
  }
  bool up() const { return server_ != nullptr; }
  std::vector<Arrival> Arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  const std::string& id() const { return options_.id; }
  const std::string& address() const { return options_.address; }
  int acknowledged() const { return pinger_ ? pinger_->acknowledged() : 0; }

  /// Called with each request that begins; says after how many events the replica crashes under
  /// it, or -1.
  std::function<int(const Arrival&)> crash_after;
  /// Called by a crash of its own, on another thread.
  std::function<void()> on_crash;
  /// Called where a cold replica gets a request, with the number of the last second.
  std::function<void(int)> on_cold_rate;

 private:
  std::string Fields() const {
    std::string text = R"("backend":")" + options_.service + R"(","address":")" + options_.address +
                       R"(","zone":"za","version":"v1","batch-slots":)" +
                       std::to_string(options_.slots) +
                       R"(,"state":"ready","warmup-remaining-ms":)" +
                       std::to_string(std::max(0, static_cast<int>((cold_until_ - Now()) * 1000)));
    if (options_.model) {
      text +=
          R"(,"phase":"unified","model-list":[{"name":"m0","version":1,"loras":[]}],"layers":[{"source":0,"to":16,"version":1}])";
    }
    return text;
  }
  static std::string Answer(int status, const std::string& lines, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  void Handle(Channel& channel, const Message& request) {
    const std::string attempt = request.Header("attempt-id");
    const std::string id_line = "Attempt-Id: " + attempt + "\r\n";
    const std::string target = request.Header("target-replica");
    if (!target.empty() && target != options_.id) {
      channel.Write(Answer(421, id_line + "Not-Executed: 1\r\n", ""));
      return;
    }
    if (running_.fetch_add(1) >= options_.slots) {
      --running_;
      channel.Write(Answer(503, id_line + "Not-Executed: 1\r\n", ""));
      return;
    }
    const auto first_space = request.first_line.find(' ');
    Arrival arrival;
    arrival.at = Now();
    arrival.attempt = attempt;
    arrival.key = request.Header("authorization");
    arrival.path =
        request.first_line.substr(first_space + 1, request.first_line.rfind(' ') - first_space - 1);
    arrival.prefix = request.Header("prefix-hash");
    arrival.cold = arrival.at < cold_until_;
    arrival.boot = boot_;
    int in_second = 0;
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(arrival);
      for (auto it = arrivals_.rbegin(); it != arrivals_.rend(); ++it) {
        if (it->boot != arrival.boot || it->at <= arrival.at - 1) break;
        ++in_second;
      }
    }
    Record("replica %s: boot %d runs %s%s", options_.id.c_str(), arrival.boot, attempt.c_str(),
           arrival.cold ? " (cold)" : "");
    if (arrival.cold && on_cold_rate) on_cold_rate(in_second);
    const int crash = crash_after ? crash_after(arrival) : -1;
    const std::string receipt = id_line + "Replica-Signature: " + options_.id + "." +
                                std::to_string(arrival.boot) + "." + attempt + "\r\n";
    if (!options_.model) {
      SleepFor(options_.work);
      if (!channel.reset()) channel.Write(Answer(200, receipt, attempt));
    } else {
      Stream(channel, receipt, crash);
    }
    --running_;
  }
  void Stream(Channel& channel, const std::string& receipt, int crash) {
    SleepFor(options_.first);
    if (channel.reset() || channel.Gone()) return;
    channel.Write("HTTP/1.1 200 OK\r\n" + receipt +
                  "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n");
    for (int i = 1; i <= options_.events; ++i) {
      if (channel.reset() || channel.Gone()) return;
      const std::string event =
          "id: " + std::to_string(i * options_.id_step) + "\ndata: t" + std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      channel.Write(size + event + "\r\n");
      if (i == crash && on_crash) on_crash();
      SleepFor(options_.gap);
    }
    if (!channel.reset()) channel.Write("0\r\n\r\n");
  }

  const Deployment& deployment_;
  ReplicaOptions options_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<Pinger> pinger_;
  std::atomic<int> boot_{0};
  std::atomic<int> running_{0};
  std::atomic<double> cold_until_{0};
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

/// Parts of a manifest.
inline std::string Manifest(int version, const std::string& routes, const std::string& backends,
                            const std::string& tenants) {
  return R"({"version":)" + std::to_string(version) + R"(,"route-table":[)" + routes +
         R"(],"backends":[)" + backends +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[)" +
         tenants + "]}";
}
inline std::string PlainRoute(const std::string& name, const std::string& type, bool is_public) {
  return R"({"name":"r-)" + name + R"(","host":"a.example","path-prefix":"/)" + name +
         R"(/","route-type":")" + type +
         R"(","timeout-ms":800,"target-latency-ms":150,"priority":2,"backend":")" + name +
         R"(","max-attempts":)" + (type == "idempotent" ? "2" : "1") + R"(,"public":)" +
         (is_public ? "true" : "false") + "}";
}
inline std::string PlainService(const std::string& name, const std::string& more = "") {
  return R"({"name":")" + name +
         R"(","health-check-path":"/healthz","max-connections":434,"protocol":"h1","tls":false)" +
         more + "}";
}

/// One request of a client. The status is 0 where no whole answer came.
inline Message Request(const std::string& ingress, const std::string& method,
                       const std::string& path, const std::string& attempt, const std::string& key,
                       const Headers& more = {}, const std::string& body = "",
                       double budget = 1.5) {
  Headers headers{{"Host", "a.example"},
                  {"Attempt-Id", attempt},
                  {"Deadline-Ms", std::to_string(static_cast<int>(budget * 1000))}};
  if (!key.empty()) headers.emplace_back("Authorization", "Bearer " + key);
  for (const auto& it : more) headers.push_back(it);
  return Call(ingress, method, path, headers, body, budget + 1);
}

}  // namespace rig2
