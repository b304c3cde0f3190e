// A replica sends events without end. See claim.txt.
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
constexpr int kModelReplicas = 4;
constexpr int kClients = 8;
constexpr double kRunSeconds = 40;
constexpr int kTimeoutMs = 3000;
constexpr int kBudgetMs = 6000;
constexpr double kLongestGap = 3.2;  // eight times the longest pause of the route
/// Bounds of the rule.
constexpr double kGraceSeconds = 0.5;
constexpr int kMinUnanswered = 8;
constexpr double kMaxShare = 0.25;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  rig::OpenRecord(argv[1]);
  rig::Deployment deployment(argv[2], kControls, 1);
  deployment.Start();
  std::vector<std::unique_ptr<rig::Replica>> replicas;
  for (int i = 0; i < kModelReplicas; ++i) {
    rig::ReplicaSettings settings;
    settings.id = "m-" + std::to_string(i);
    settings.address = deployment.Host(60 + i) + ":8080";
    settings.step = 0.045;
    settings.endless = trouble && i == 0;
    replicas.push_back(std::make_unique<rig::Replica>(deployment, settings));
  }
  if (!deployment.Operate("/config/replace", rig::Manifest(1, 16, kTimeoutMs, 400, 400))) return 2;
  const auto ready = [&] {
    return rig::Call(deployment.ReadyAddress(0), "GET", "/readyz", "").status == 200 &&
           std::all_of(replicas.begin(), replicas.end(),
                       [](const auto& it) { return it->announced(); });
  };
  for (int i = 0; i < 200 && !ready(); ++i) rig::SleepFor(0.1);
  if (!ready()) return 2;
  rig::SleepFor(1.5);

  std::atomic<int> asked{0};
  std::atomic<int> served{0};
  std::atomic<int> over_time{0};
  std::atomic<int> unanswered{0};
  const double end = rig::Now() + kRunSeconds;
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      rig::Client client(deployment.CallerAddress(0));
      rig::SleepFor(0.1 * i);
      for (int n = 0; rig::Now() < end; ++n) {
        char id[32];
        std::snprintf(id, sizeof(id), "%04x%08x%04x", i, n, 0);
        const auto outcome = client.Send(id, true, kBudgetMs, kLongestGap);
        ++asked;
        if (outcome.served) ++served;
        if (outcome.status == 200 && outcome.seconds * 1000 > kTimeoutMs) ++over_time;
        const bool no_answer = outcome.seconds * 1000 > kTimeoutMs + kGraceSeconds * 1000;
        if (outcome.status == 200 && no_answer) ++unanswered;
        char text[200];
        std::snprintf(text, sizeof(text),
                      "client %s status %d %s, %d events, %zu bytes, over after %.2f s%s", id,
                      outcome.status, outcome.served ? "whole" : "not whole", outcome.events,
                      outcome.bytes, outcome.seconds, outcome.left ? ", the client left" : "");
        rig::Record(text);
        rig::SleepFor(0.3);
      }
    });
  }
  for (auto& it : threads) it.join();
  char text[300];
  std::snprintf(
      text, sizeof(text),
      "%d requests, %d served; %d lasted longer than the timeout of %d ms, %d of them had "
      "no final answer 0.5 s after it",
      asked.load(), served.load(), over_time.load(), kTimeoutMs, unanswered.load());
  rig::Record(text);
  std::puts(text);
  if (asked == 0 || (!trouble && served == 0)) return 2;
  const bool broken = unanswered >= kMinUnanswered && unanswered > kMaxShare * over_time;
  return broken ? 1 : 0;
}
