// A replica leaves while an ingress machine stands still. See claim.txt.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "model.h"

namespace {

constexpr int kControls = 3;
constexpr int kCycles = 5;
constexpr int kWarmRequests = 8;
constexpr int kLateRequests = 8;
/// The freeze of the site, and its bounds.
constexpr double kFreezeSeconds = 3.5;
constexpr double kContactSeconds = 3.0;
constexpr double kDrainSeconds = 2.0;
/// The replica deregisters this long after the start of the freeze.
constexpr double kLeavesAfter = 2.2;
constexpr double kMargin = 0.3;

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  rig::OpenRecord(argv[1]);
  rig::Deployment deployment(argv[2], kControls, 1);
  deployment.Start();
  const auto start_replica = [&](int i) {
    rig::ReplicaSettings settings;
    settings.model = false;
    settings.id = "p-" + std::to_string(i);
    settings.address = deployment.Host(60 + i) + ":8080";
    settings.slots = 6;
    settings.step = 0.03;
    return std::make_unique<rig::Replica>(deployment, settings);
  };
  const auto stays = start_replica(0);
  if (!deployment.Operate("/config/replace", rig::Manifest(1, 16, 6000, 400, 400))) return 2;
  for (int i = 0; i < 200; ++i) {
    if (rig::Call(deployment.ReadyAddress(0), "GET", "/readyz", "").status == 200) break;
    rig::SleepFor(0.1);
  }
  rig::Client client(deployment.CallerAddress(0));
  int broken = 0;
  int number = 0;
  const auto send = [&] {
    char id[32];
    std::snprintf(id, sizeof(id), "%012x%04x", ++number, 0);
    const auto outcome = client.Send(id, false, 1500, 1.5);
    rig::Record("client " + std::string(id) + " status " + std::to_string(outcome.status));
    return outcome.served;
  };
  for (int cycle = 1; cycle <= kCycles; ++cycle) {
    const auto leaver = start_replica(cycle);
    const std::string id = "p-" + std::to_string(cycle);
    for (int i = 0; i < 100 && !leaver->announced(); ++i) rig::SleepFor(0.05);
    rig::SleepFor(2.5);
    int warm = 0;
    for (int i = 0; i < kWarmRequests; ++i) warm += send() ? 1 : 0;
    if (!leaver->announced() || warm == 0) return 2;
    const double frozen_at = rig::Now();
    if (trouble) {
      rig::Record("the ingress machine freezes");
      deployment.Signal("ingress-0", SIGSTOP);
    }
    rig::SleepFor(frozen_at + kLeavesAfter - rig::Now());
    leaver->StopAnnouncing();
    leaver->SetLeaving();
    const auto reply = rig::Call(deployment.ControlAddress(cycle % kControls), "POST",
                                 "/replicas/" + id + "/deregister", "");
    const double acknowledged_at = rig::Now();
    rig::Record(id + " deregisters, answer " + std::to_string(reply.status));
    if (reply.status / 100 != 2) return 2;
    rig::SleepFor(frozen_at + kFreezeSeconds - rig::Now());
    if (trouble) {
      deployment.Signal("ingress-0", SIGCONT);
      rig::Record("the ingress machine wakes");
    }
    const double in_touch_at = frozen_at + kFreezeSeconds + kContactSeconds;
    rig::SleepFor(std::max(in_touch_at, acknowledged_at + kDrainSeconds) + kMargin - rig::Now());
    const int before = leaver->served();
    for (int i = 0; i < kLateRequests; ++i) send();
    const int late = leaver->served() - before;
    char text[200];
    std::snprintf(text, sizeof(text),
                  "cycle %d: %d requests, sent by a machine in touch %.1f s after the confirmation "
                  "that %s is gone, have reached it",
                  cycle, late, rig::Now() - acknowledged_at, id.c_str());
    rig::Record(text);
    std::puts(text);
    if (late > 0) ++broken;
    leaver->Crash();
    rig::Record(id + " has exited");
  }
  return broken > 0 ? 1 : 0;
}
