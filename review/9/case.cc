// One ping of another writer names a service that no manifest names, at the address of a replica.
#include "replica.h"

using namespace rig2;

namespace {

struct Kind {
  std::string name;
  std::atomic<int> sent{0}, served{0}, refused{0};
};

int Run(const std::string& binary) {
  Deployment deployment(binary, 3, 2);
  deployment.Start();
  Replica booking(deployment,
                  {.id = "i-71", .address = deployment.Host(100) + ":9000", .service = "turnos"});
  Replica lookup(deployment,
                 {.id = "i-72", .address = deployment.Host(101) + ":9000", .service = "terminal"});
  booking.Start(true);
  lookup.Start(true);
  const std::string routes = PlainRoute("turnos", "non_idempotent", true) + "," +
                             PlainRoute("terminal", "idempotent", true);
  if (deployment
              .Operate(
                  "POST", "/config/replace",
                  Manifest(1, routes, PlainService("turnos") + "," + PlainService("terminal"), ""))
              .Status() != 200 ||
      !deployment.WaitReady()) {
    return 2;
  }
  SleepFor(2.5);
  Kind kinds[] = {{"turnos"}, {"terminal"}};
  std::atomic<int> open{0};
  const auto send = [&](Kind& kind, int n) {
    ++open;
    std::thread([&, n] {
      const std::string attempt = NewId();
      const bool post = kind.name == "turnos";
      const auto answer = Request(deployment.Caller(n), post ? "POST" : "GET",
                                  "/" + kind.name + "/x" + std::to_string(n), attempt, "", {},
                                  post ? "seat " + attempt : "");
      ++kind.sent;
      kind.served += answer.Status() == 200 ? 1 : 0;
      kind.refused += answer.Status() == 503 ? 1 : 0;
      Record("client: %s %s -> %d", kind.name.c_str(), attempt.c_str(), answer.Status());
      --open;
    }).detach();
  };
  const double start = Now();
  bool foreign = false;
  int acknowledged = 0;
  int n = 0;
  for (double next = start; Now() < start + 40; next += 0.1) {
    for (auto& kind : kinds) send(kind, n++);
    if (!foreign && Now() > start + 2) {
      foreign = true;
      acknowledged = booking.acknowledged();
      const std::string body =
          R"({"backend":"despacho-viejo","address":")" + booking.address() +
          R"(","zone":"za","version":"v1","batch-slots":4,"state":"ready","warmup-remaining-ms":0,"sequence":1,"born":)" +
          std::to_string(UnixMs()) + "}";
      if (Trouble()) {
        const auto answer = Call(deployment.Control(0), "POST", "/replicas/otro-7/heartbeat",
                                 {{"Content-Type", "application/json"}}, body, 1);
        Record("another writer: one ping %s -> %d", body.c_str(), answer.Status());
      }
    }
    SleepFor(next + 0.1 - Now());
  }
  for (const double until = Now() + 5; open > 0 && Now() < until;) SleepFor(0.05);
  const double all = static_cast<double>(kinds[0].served + kinds[1].served) /
                     std::max(1, kinds[0].sent + kinds[1].sent);
  bool starved = false;
  for (auto& kind : kinds) {
    const double share = static_cast<double>(kind.served) / std::max(1, kind.sent.load());
    Record("%s: %d sent, %d served (share %.3f; all requests %.3f), %d refused with 503",
           kind.name.c_str(), kind.sent.load(), kind.served.load(), share, all,
           kind.refused.load());
    starved = starved || share < all / 4;
  }
  Record("pings of the replica of turnos acknowledged after the ping of the other writer: %d",
         booking.acknowledged() - acknowledged);
  return starved ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
