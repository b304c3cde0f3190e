// A deregistration that a partition held up arrives after the next boot. See claim.txt.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "model.h"

namespace {

constexpr int kControls = 3;
constexpr int kModelReplicas = 3;
constexpr int kPlainReplicas = 2;
constexpr int kStreamClients = 18;
constexpr int kPlainClients = 3;
constexpr double kRunSeconds = 100;
/// Length of the cut of a replica from the control machines, as the pages have it.
constexpr double kCutSeconds = 5;
/// The replica's drain-timeout-ms and a little longer; it exits without a confirmation.
constexpr double kExitAfter = 3.0;
constexpr double kDownSeconds = 1.0;
/// TCP sends again 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first try.
constexpr double kHeldSeconds = 6.2;

struct Count {
  std::atomic<int> asked{0};
  std::atomic<int> served{0};
  double Share() const { return asked > 0 ? static_cast<double>(served) / asked : 0; }
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  rig::OpenRecord(argv[1]);
  rig::Deployment deployment(argv[2], kControls, 1);
  deployment.Start();
  std::vector<std::unique_ptr<rig::Replica>> replicas;
  const auto start_replica = [&](int i, bool announce) {
    rig::ReplicaSettings settings;
    settings.model = i < kModelReplicas;
    settings.id = (settings.model ? "m-" : "p-") + std::to_string(i);
    settings.address = deployment.Host(60 + i) + ":8080";
    settings.slots = settings.model ? 16 : 6;
    settings.step = settings.model ? 0.045 : 0.03;
    settings.announce = announce;
    return std::make_unique<rig::Replica>(deployment, settings);
  };
  for (int i = 0; i < kModelReplicas + kPlainReplicas; ++i) {
    replicas.push_back(start_replica(i, true));
  }
  if (!deployment.Operate("/config/replace", rig::Manifest(1, 16, 6000, 400, 400))) return 2;
  const auto ready = [&] {
    return rig::Call(deployment.ReadyAddress(0), "GET", "/readyz", "").status == 200 &&
           std::all_of(replicas.begin(), replicas.end(),
                       [](const auto& it) { return it->announced(); });
  };
  for (int i = 0; i < 200 && !ready(); ++i) rig::SleepFor(0.1);
  if (!ready()) return 2;
  rig::SleepFor(1.5);

  Count streams;
  Count plain;
  Count late;
  const double start = rig::Now();
  std::atomic<bool> after{false};
  std::vector<std::thread> threads;
  for (int i = 0; i < kStreamClients + kPlainClients; ++i) {
    threads.emplace_back([&, i] {
      const bool stream = i < kStreamClients;
      rig::Client client(deployment.CallerAddress(0));
      rig::SleepFor(0.1 * i);
      for (int n = 0; rig::Now() < start + kRunSeconds; ++n) {
        const bool is_late = after;
        rig::Outcome outcome;
        const double began = rig::Now();
        for (int attempt = 0; attempt < 2 && !outcome.served; ++attempt) {
          // Clients honour Retry-After up to one third of the time that they have left.
          const double left = (stream ? 6.0 : 1.5) - (rig::Now() - began);
          if (attempt > 0) rig::SleepFor(std::clamp(outcome.retry_after, 0.05, left / 3));
          char id[32];
          std::snprintf(id, sizeof(id), "%04x%08x%04x", i, n, attempt);
          const int budget_ms =
              static_cast<int>(((stream ? 6.0 : 1.5) - (rig::Now() - began)) * 1000);
          outcome = client.Send(id, stream, budget_ms, 3.2);
          rig::Record("client " + std::string(id) + (stream ? " stream " : " plain ") +
                      std::to_string(outcome.status) +
                      (outcome.served ? " served" : " not served"));
        }
        Count& count = stream ? streams : plain;
        ++count.asked;
        if (outcome.served) ++count.served;
        if (!stream && is_late) {
          ++late.asked;
          if (outcome.served) ++late.served;
        }
        // Requests for plain replicas come at the same rate throughout.
        rig::SleepFor(stream ? 0.3 : start + n + 1 - rig::Now());
      }
    });
  }

  for (int i = kModelReplicas; i < kModelReplicas + kPlainReplicas; ++i) {
    auto& replica = replicas[static_cast<std::size_t>(i)];
    const std::string id = "p-" + std::to_string(i);
    const std::string call = "POST /replicas/" + id +
                             "/deregister HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
    const double leaves_at = rig::Now();
    // A kept channel to a control machine. Without the cut the call arrives at once.
    rig::Channel channel;
    if (!channel.Connect(deployment.ControlAddress(0), 1)) return 2;
    replica->StopAnnouncing();
    rig::Record(id + " deregisters" + (trouble ? ", cut off from the control machines" : ""));
    std::thread network([&] {
      if (trouble) rig::SleepFor(kHeldSeconds);
      std::string rest;
      rig::Message answer;
      channel.Write(call);
      rig::ReadMessage(channel, rest, answer, 2);
      rig::Record("the deregistration of " + id + " has arrived, answer " +
                  std::to_string(answer.Status()));
    });
    rig::SleepFor(leaves_at + kExitAfter - rig::Now());
    replica->Crash();
    rig::Record(id + " has exited");
    rig::SleepFor(kDownSeconds);
    replica = start_replica(i, false);
    rig::Record(id + " has started again");
    if (trouble) rig::SleepFor(leaves_at + kCutSeconds - rig::Now());
    replica->Announce();
    for (int n = 0; n < 100 && !replica->announced(); ++n) rig::SleepFor(0.01);
    if (!replica->announced()) return 2;
    rig::Record(id + " is acknowledged as ready");
    network.join();
    rig::SleepFor(1.5);
  }
  const int before = replicas[3]->served() + replicas[4]->served();
  // Longer than recovery-s.
  rig::SleepFor(12);
  after = true;
  for (auto& it : threads) it.join();
  const int runs = replicas[3]->served() + replicas[4]->served() - before;
  const double all = static_cast<double>(streams.served + plain.served) /
                     static_cast<double>(std::max(1, streams.asked + plain.asked));
  char text[400];
  std::snprintf(
      text, sizeof(text),
      "plain %d of %d served, %d of %d later than 12 s after the last cut; streams %d of %d; "
      "share of plain %.3f, a quarter of all %.3f; the two replicas ran %d since",
      plain.served.load(), plain.asked.load(), late.served.load(), late.asked.load(),
      streams.served.load(), streams.asked.load(), plain.Share(), all / 4, runs);
  rig::Record(text);
  std::puts(text);
  return plain.Share() < all / 4 ? 1 : 0;
}
