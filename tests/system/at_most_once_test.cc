// At-most-once calls while entry processes are killed, on real processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "command_writer.h"

namespace wagtailslip::system_test {
namespace {

constexpr int kDefaultCalls = 1500;
constexpr int kCallers = 24;
constexpr int kServices = 2;
constexpr std::uint64_t kDefaultSeed = 23;
/// Longest pause before a call of the default run, so that it spans several kills.
constexpr std::uint64_t kPauseMs = 600;
/// The entry process puts the account before the key, so that accounts share no keys.
const std::string kKeyPrefix = "test:";

/// Seed of pauses, kills and lost answers; WTS_SEED sets another one.
std::uint64_t Seed() {
  const char* text = std::getenv("WTS_SEED");
  return text == nullptr ? kDefaultSeed : std::strtoull(text, nullptr, 10);
}

/// What a caller learned about one key.
struct KeyResult {
  std::string key;
  /// Last outcome; empty if no answer came.
  std::string outcome;
  /// A request got no answer, so it may have run although a later one was told "not-run".
  bool unanswered = false;
  std::string fault;
};

class Callers {
 public:
  Callers(const Cluster& cluster, int calls) : cluster_(cluster), calls_(calls) {
    for (int i = 0; i < kCallers; ++i) threads_.emplace_back([this, i] { Run(i); });
  }
  ~Callers() { Join(); }
  void Join() {
    for (auto& it : threads_) it.join();
    threads_.clear();
  }
  int done() const { return done_; }
  int requests() const { return requests_; }
  const std::vector<KeyResult>& results() const { return results_; }

 private:
  Reply Call(const std::string& key, const std::string& entry, const std::string& deadline_ms) {
    ++requests_;
    net::HttpHeaders headers;
    headers.emplace_back("X-Request-Kind", "booking");
    headers.emplace_back("Idempotency-Key", key);
    headers.emplace_back("X-Deadline-Ms", deadline_ms);
    return Send(cluster_.Address(entry), verb::post, "/v1/services/bookings/release",
                "{\"seat\":\"" + key + "\"}", headers, 25s);
  }

  void Run(int caller) {
    std::mt19937_64 random(Seed() + static_cast<std::uint64_t>(caller));
    const auto& entries = cluster_.entries();
    for (int n = next_++; n < calls_; n = next_++) {
      if (calls_ <= kDefaultCalls) {
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % kPauseMs));
      }
      KeyResult result;
      result.key = "k" + std::to_string(n);
      const auto first = random() % entries.size();
      // Some callers send the same request to two entry processes at once.
      std::thread twin;
      Reply twin_reply;
      if (n % 5 == 0) {
        const auto& other = entries[(first + 1) % entries.size()];
        twin = std::thread([&, other] { twin_reply = Call(result.key, other, "6000"); });
      }
      // Some callers never resend, so that a first "not-run" is checked too.
      const int tries = n % 10 == 3 ? 1 : 40;
      for (int i = 0; i < tries; ++i) {
        const auto reply = Call(result.key, entries[(first + i) % entries.size()], "6000");
        result.outcome = reply.Outcome();
        if (reply.status == 0) result.unanswered = true;
        if (result.outcome == "complete" || result.outcome == "unknown") break;
        if (reply.status != 0 && result.outcome != "not-run") {
          result.fault = std::to_string(reply.status) + " " + reply.response.body;
        }
        std::this_thread::sleep_for(100ms);
      }
      if (twin.joinable()) {
        twin.join();
        if (twin_reply.status == 0) result.unanswered = true;
        // Whichever request ran the call, the best answer is the one that its caller acts on.
        const std::string other = twin_reply.Outcome();
        if (other == "complete" || (other == "unknown" && result.outcome != "complete")) {
          result.outcome = other;
        }
      }
      if (n % 3 == 0 && result.outcome != "not-run" && !result.outcome.empty()) {
        const auto again = Call(result.key, entries[random() % entries.size()], "6000");
        if (result.outcome == "complete" && again.Outcome() == "unknown") {
          result.fault = "complete, then " + again.response.body;
        }
      }
      ++done_;
      std::lock_guard lock(mutex_);
      results_.push_back(std::move(result));
    }
  }

  const Cluster& cluster_;
  int calls_;
  std::atomic<int> next_{0};
  std::atomic<int> done_{0};
  std::atomic<int> requests_{0};
  std::mutex mutex_;
  std::vector<KeyResult> results_;
  std::vector<std::thread> threads_;
};

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(CallsRunAtMostOnceUnderKills);
  CPPUNIT_TEST(ResendAfterNotRunIsServed);
  CPPUNIT_TEST_SUITE_END();

  static void KillEntries(Cluster& cluster, const Callers& callers, int calls, int& kills) {
    std::mt19937_64 random(Seed());
    while (callers.done() < calls) {
      const auto& name = cluster.entries()[random() % cluster.entries().size()];
      cluster.Kill(name);
      ++kills;
      std::this_thread::sleep_for(std::chrono::milliseconds(200 + random() % 1500));
      cluster.Restart(name);
      cluster.WaitReady({name}, kServices);
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 500));
    }
  }

  static void SetRule(const Cluster& cluster) {
    const std::string rule =
        R"({"request_id":"rule","kind":"booking","call_class":"at-most-once"})";
    CPPUNIT_ASSERT_EQUAL(200U, CommandWriter::SendCommand(cluster, "e1", rule, 15s).status);
    cluster.WaitFor("the rule is on every process", [&] {
      return std::all_of(cluster.entries().begin(), cluster.entries().end(), [&](const auto& it) {
        const Json view = cluster.Get(it, "/v1/rules");
        return view.is_object() && !view["rules"].empty();
      });
    });
  }

 public:
  // Guards against a key that stays refused for ever after one attempt that was not run.
  void ResendAfterNotRunIsServed() {
    Cluster cluster;
    cluster.StartEntries();
    cluster.StartService(1, "bookings");
    cluster.WaitReady(cluster.entries(), 1);
    SetRule(cluster);
    const auto call = [&](const std::string& entry) {
      return Send(cluster.Address(entry), verb::post, "/v1/services/bookings/release", "{}",
                  {{"X-Request-Kind", "booking"},
                   {"Idempotency-Key", "seat-4"},
                   {"X-Deadline-Ms", "3000"}});
    };
    cluster.Kill("s1");
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), call("e1").Outcome());
    cluster.Restart("s1");
    cluster.WaitReady(cluster.entries(), 1);
    std::string last;
    cluster.WaitFor(
        "the resent call completes",
        [&] {
          const auto reply = call("e2");
          last = reply.Outcome();
          return last == "complete";
        },
        30s);
    const Json executions = cluster.Get("s1", "/executions");
    CPPUNIT_ASSERT_EQUAL(1, executions[kKeyPrefix + "seat-4"].get<int>());
  }

  // Guards against a seat release that runs twice, a "complete" that did not run, and a "not-run"
  // that did, while entry processes die and the service loses answers.
  void CallsRunAtMostOnceUnderKills() {
    const char* text = std::getenv("WTS_AT_MOST_ONCE_CALLS");
    const int calls = text == nullptr ? kDefaultCalls : std::atoi(text);
    Cluster cluster;
    cluster.StartEntries();
    for (int i = 1; i <= kServices; ++i) {
      cluster.StartService(i, "bookings",
                           {"--call-ms", "3", "--fault-lose-answer", "0.02", "--fault-seed",
                            std::to_string(Seed() + static_cast<std::uint64_t>(i))});
    }
    cluster.WaitReady(cluster.entries(), kServices);
    SetRule(cluster);

    Callers callers(cluster, calls);
    int kills = 0;
    KillEntries(cluster, callers, calls, kills);
    callers.Join();

    std::map<std::string, int> executions;
    for (int i = 1; i <= kServices; ++i) {
      const Json view = cluster.Get("s" + std::to_string(i), "/executions");
      CPPUNIT_ASSERT(view.is_object());
      for (const auto& [key, n] : view.items()) executions[key] += n.get<int>();
    }
    std::map<std::string, int> outcomes;
    std::vector<std::string> faults;
    int false_not_run_unanswered = 0;
    for (const auto& it : callers.results()) {
      ++outcomes[it.outcome.empty() ? "no answer" : it.outcome];
      const int n = executions[kKeyPrefix + it.key];
      const bool bad = n > 1 || (it.outcome == "complete" && n != 1) ||
                       (it.outcome == "not-run" && n != 0) || !it.fault.empty();
      if (bad && it.unanswered && it.outcome == "not-run") ++false_not_run_unanswered;
      if (bad) {
        faults.push_back(it.key + " " + it.outcome + " executions " + std::to_string(n) +
                         (it.unanswered ? " after a request without answer " : " ") + it.fault);
      }
    }
    std::cout << calls << " calls, " << callers.requests() << " requests, " << kills << " kills";
    for (const auto& [outcome, n] : outcomes) std::cout << ", " << n << " " << outcome;
    std::cout << ", " << faults.size() << " faults (" << false_not_run_unanswered
              << " not-run after a request without answer)\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(faults.size(), 20); ++i) {
      std::cout << faults[i] << "\n";
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, faults.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(calls), callers.results().size());
    CPPUNIT_ASSERT_MESSAGE("few calls complete", outcomes["complete"] > calls / 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

}  // namespace
}  // namespace wagtailslip::system_test
