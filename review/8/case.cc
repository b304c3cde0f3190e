// Keys are taken away from all tenants, one tenant after the other.
#include "replica.h"

using namespace rig2;

namespace {

constexpr double kPropagation = 2.0;  // config-propagation-ms

struct Count {
  int sent = 0, answered_401 = 0, succeeded = 0;
};

Count Send(const Deployment& deployment, const std::string& key, const std::string& label, int n,
           std::set<std::string>& attempts) {
  Count count;
  for (int i = 0; i < n; ++i) {
    const std::string attempt = NewId();
    attempts.insert(attempt);
    const auto answer =
        Request(deployment.Caller(i), "POST", "/turnos/seat", attempt, key, {}, "release");
    ++count.sent;
    count.answered_401 += answer.Status() == 401 ? 1 : 0;
    count.succeeded += answer.Status() == 200 ? 1 : 0;
    Record("client: %s sends %s -> %d", label.c_str(), attempt.c_str(), answer.Status());
  }
  return count;
}

int Run(const std::string& binary) {
  Deployment deployment(binary, 3, 2);
  deployment.Start();
  Replica replica(deployment,
                  {.id = "i-1", .address = deployment.Host(100) + ":9000", .service = "turnos"});
  replica.Start(true);
  const std::string route = PlainRoute("turnos", "non_idempotent", false);
  const std::string service = PlainService("turnos");
  const std::string first = R"({"name":"t1","api-keys":["key-of-t1-aaaaaaaa"],"priority":1})";
  const std::string second = R"({"name":"t2","api-keys":["key-of-t2-bbbbbbbb"],"priority":1})";
  const std::string third = R"({"name":"t1","api-keys":["key-of-t1-cccccccc"],"priority":1})";
  const auto replace = [&](int version, const std::string& tenants) {
    return deployment.Operate("POST", "/config/replace", Manifest(version, route, service, tenants))
               .Status() == 200;
  };
  if (!replace(1, first + "," + second) || !deployment.WaitReady()) return 2;
  SleepFor(2);
  std::set<std::string> ignored;
  const auto held = Send(deployment, "key-of-t1-aaaaaaaa", "key of t1", 6, ignored);
  const auto other = Send(deployment, "key-never-held-zzzz", "key never held", 6, ignored);
  if (held.succeeded != held.sent || other.answered_401 != other.sent) return 2;
  if (!replace(4, first)) return 2;
  SleepFor(1);
  // Without the disruption the last tenant gets another key and keeps it.
  if (!replace(6, Trouble() ? "" : third)) return 2;
  SleepFor(kPropagation + 1);
  Record("the last manifest was confirmed over config-propagation-ms ago");
  std::set<std::string> dropped, never;
  Send(deployment, "key-of-t1-aaaaaaaa", "dropped key of t1", 10, dropped);
  Send(deployment, "key-of-t2-bbbbbbbb", "dropped key of t2", 10, dropped);
  Send(deployment, "key-never-held-zzzz", "key never held", 10, never);
  int ran_dropped = 0, ran_never = 0;
  for (const auto& it : replica.Arrivals()) {
    ran_dropped += dropped.contains(it.attempt) ? 1 : 0;
    ran_never += never.contains(it.attempt) ? 1 : 0;
  }
  Record("run with a dropped key: %d of %zu (CONFIG)", ran_dropped, dropped.size());
  Record("run with a key that no manifest ever held: %d of %zu (ROUTE)", ran_never, never.size());
  for (const std::string name : {"c0", "c1", "c2", "i0", "i1"}) {
    if (deployment.Ended(name)) Record("%s has ended by itself", name.c_str());
  }
  return ran_dropped + ran_never > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
