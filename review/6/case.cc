// One part of prompts crashes each replica that begins to write an answer on it, a moment after the
// first events.
#include "replica.h"

using namespace rig2;

namespace {

constexpr double kContact = 3.0;  // contact-ms
constexpr double kBack = 2.0;     // until a crashed replica is back
constexpr int kReplicas = 6;
const std::string kDeadly = "dead0000beef0000";

std::string EngineService() {
  return R"({"name":"modelo","health-check-path":"/healthz","max-connections":434,"protocol":"h1","tls":false,"runtime":{"batch-slots":16,"kv-cache-tokens":1180000,"kv-token-bytes":163840,"bandwidth-mbps":400000.0,"hash-stride":5,"model-list":[{"name":"m0","pace":1.0,"load-time-s":4.0,"prewarm-s":0.3}],"size-mb":266000.0,"max-loras":8,"loads-per-s":0.0,"step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,"read_per_s":19100.0,"pairs_per_m":1.47,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{"prompt":787,"answer":94},"layers":16,"layer_mb":4540.0,"act_bytes":16384,"pipe_mbps":0.0,"chunk-count":64,"chunk-bytes":32768}})";
}

int Run(const std::string& binary) {
  const int crash_at = std::getenv("EVENTS") ? std::atoi(std::getenv("EVENTS")) : 2;
  Deployment deployment(binary, 3, 2);
  deployment.Start();
  std::vector<std::unique_ptr<Replica>> replicas;
  std::mutex mutex;
  std::vector<double> crashes;          // times of crashes under the deadly part
  std::vector<double> deadly_arrivals;  // requests with it that reach replicas
  std::atomic<bool> stop{false};
  std::vector<std::thread> restarts;
  std::vector<std::atomic<bool>> crashing(kReplicas);
  int next_id = 0;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(
        deployment, ReplicaOptions{.id = "i-" + std::to_string(next_id++),
                                   .address = deployment.Host(100 + i) + ":9000",
                                   .service = "modelo",
                                   .model = true}));
    Replica& replica = *replicas.back();
    replica.crash_after = [&](const Arrival& arrival) {
      if (arrival.prefix.find(kDeadly) == std::string::npos) return -1;
      const std::lock_guard lock(mutex);
      deadly_arrivals.push_back(arrival.at);
      return crash_at;
    };
    replica.on_crash = [&, i] {
      if (crashing[i].exchange(true)) return;
      const std::lock_guard lock(mutex);
      crashes.push_back(Now());
      Record("replica %s crashes under the deadly part: crash %zu", replicas[i]->id().c_str(),
             crashes.size());
      restarts.emplace_back([&, i, id = "i-" + std::to_string(next_id++)] {
        replicas[i]->Crash();
        SleepFor(kBack);
        crashing[i] = false;
        if (!stop) replicas[i]->Start(true, id);
      });
    };
    replica.Start(true);
  }
  const std::string route =
      R"({"name":"r-m","host":"a.example","path-prefix":"/m/","route-type":"streaming","timeout-ms":6000,"target-latency-ms":400,"priority":1,"backend":"modelo","max-attempts":2,"public":true,"session-affinity":true,"stream-resume":true,"target-itl-ms":400})";
  if (deployment.Operate("POST", "/config/replace", Manifest(1, route, EngineService(), ""))
              .Status() != 200 ||
      !deployment.WaitReady()) {
    return 2;
  }
  SleepFor(2.5);
  std::atomic<int> sound{0}, sound_whole{0}, open{0};
  const auto send = [&](bool deadly, int n) {
    ++open;
    std::thread([&, deadly, n] {
      const std::string attempt = NewId();
      const std::string shared = deadly ? kDeadly : "a0000000000000" + std::to_string(10 + n % 40);
      const auto answer =
          Request(deployment.Caller(n), "POST", "/m/x" + std::to_string(n), attempt, "",
                  {{"Model", "m0"},
                   {"Token-Usage", "400,100"},
                   {"Prefix-Hash", shared + ":40," + attempt + ":360"}},
                  "prompt " + attempt, 6);
      Record("client: %s %s -> %d%s", deadly ? "deadly" : "sound", attempt.c_str(), answer.Status(),
             answer.complete ? "" : ", broken off");
      if (!deadly) {
        ++sound;
        if (answer.Status() == 200 && answer.complete) ++sound_whole;
      }
      --open;
    }).detach();
  };
  const double start = Now();
  int n = 0;
  // Sound requests, 20 a second; from 3 s on, for 22 s, one with the deadly part each second.
  for (double next = start, deadly = start + 3; Now() < start + 28; next += 0.05) {
    send(false, n++);
    if (Trouble() && Now() >= deadly && Now() < start + 25) {
      deadly += 1;
      send(true, n++);
    }
    SleepFor(next + 0.05 - Now());
  }
  stop = true;
  for (const double until = Now() + 8; open > 0 && Now() < until;) SleepFor(0.05);
  int late = 0;
  {
    const std::lock_guard lock(mutex);
    for (const double it : deadly_arrivals) {
      late += crashes.size() >= 5 && it > crashes[4] + kContact ? 1 : 0;
    }
    Record(
        "crashes: %zu; requests with the part at replicas: %zu, of them %d later than "
        "contact-ms after the fifth crash (BUDGET allows 3)",
        crashes.size(), deadly_arrivals.size(), late);
  }
  Record("sound streams: %d, whole: %d", sound.load(), sound_whole.load());
  for (auto& it : restarts) it.join();
  if (!Trouble() && sound_whole < sound * 9 / 10) return 2;
  return late > 3 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
