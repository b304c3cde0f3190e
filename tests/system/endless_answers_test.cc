// Endpoints that send without end, and when callers of an ingress process get their final answer.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>

#include "cluster.h"
#include "hostile_replicas.h"
#include "wagtailslip/net/address.h"

namespace wagtailslip::system_test {
namespace {

namespace asio = net::asio;

constexpr int kRouteTimeoutMs = 1500;
// The callers would wait longer than the operator lets them.
constexpr int kCallerDeadlineMs = 6000;
// Generous, because the machine may be busy; endless answers last until the caller closes.
constexpr Duration kReadLimit = 20s;
constexpr int kMaxOutputTokens = 50;
constexpr int kFloodPieces = 400;

std::string Chunk(const std::string& text) {
  std::array<char, 16> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return std::string(size.data(), static_cast<std::size_t>(n)) + text + "\r\n";
}
std::string Event(std::uint64_t number) {
  return "id: " + std::to_string(number) + "\ndata: token\n\n";
}
std::string Repeated(const std::string& piece) {
  std::string text;
  for (int i = 0; i < kFloodPieces; ++i) text += piece;
  return text;
}

/// Bytes that an endpoint sends after the head of its answer.
struct Form {
  const char* name;
  bool streaming;
  std::function<std::string(std::uint64_t number)> bytes;
  Duration pause;
};
const Form kForms[] = {
    {"new events",
     true,
     [](std::uint64_t n) {
       std::string text;
       for (std::uint64_t i = 1; i <= kFloodPieces; ++i) text += Chunk(Event(n * kFloodPieces + i));
       return text;
     },
     {}},
    {"events that the caller has",
     true,
     [](std::uint64_t) { return Repeated(Chunk(Event(1))); },
     {}},
    {"comments", true, [](std::uint64_t) { return Repeated(Chunk(": a\n\n")); }, {}},
    {"comments in large chunks",
     true,
     [](std::uint64_t) { return Chunk(Repeated(": a\n\n")); },
     {}},
    {"an event in chunks of one byte",
     true,
     [](std::uint64_t n) { return (n == 0 ? Chunk("data: ") : "") + Repeated(Chunk("a")); },
     {}},
    {"text without a line's end",
     true,
     [](std::uint64_t) { return Chunk(std::string(16384, 'a')); },
     {}},
    {"chunk extensions",
     true,
     [](std::uint64_t) { return Repeated("4;ext=value\r\n: a\n\r\n"); },
     {}},
    {"new events, slowly", true, [](std::uint64_t n) { return Chunk(Event(n + 1)); }, 100ms},
    {"events that the caller has, slowly", true, [](std::uint64_t) { return Chunk(Event(1)); },
     100ms},
    {"comments, slowly", true, [](std::uint64_t) { return Chunk(": a\n\n"); }, 100ms},
    {"an event, byte by byte", true, [](std::uint64_t) { return Chunk("d"); }, 100ms},
    {"a body in chunks of one byte", false, [](std::uint64_t) { return Repeated(Chunk("a")); }, {}},
    {"a body in large chunks",
     false,
     [](std::uint64_t) { return Chunk(std::string(16384, 'a')); },
     {}},
    {"a body, byte by byte", false, [](std::uint64_t) { return Chunk("a"); }, 100ms},
};

/// What a caller does.
struct CallerKind {
  const char* name;
  bool names_tokens;
  /// Begins to read its answer only so long after the request.
  Duration pause;
};
const CallerKind kCallerKinds[] = {
    {"caller", false, {}},
    {"caller that names its tokens", true, {}},
    {"caller that does not read at first", false, 3s},
};

struct Call {
  /// Service and route.
  std::string id;
  std::string attempt_id;
  const Form* form = nullptr;
  const CallerKind* kind = nullptr;
  std::size_t bytes = 0;
  /// Last bytes, which show whether the answer looks complete.
  std::string tail;
  bool open = false;
};

net::Task<void> Make(asio::io_context& context, net::tcp::endpoint address, Call& it) {
  net::beast::tcp_stream stream(context);
  stream.expires_after(kReadLimit);
  co_await stream.async_connect(address, asio::use_awaitable);
  const std::string tokens =
      it.kind->names_tokens ? "Token-Usage: 100," + std::to_string(kMaxOutputTokens) + "\r\n" : "";
  const std::string request = "GET /" + it.id + "/ask HTTP/1.1\r\nHost: endless.example\r\n" +
                              "Attempt-Id: " + it.attempt_id + "\r\n" + tokens +
                              "Deadline-Ms: " + std::to_string(kCallerDeadlineMs) +
                              "\r\nConnection: close\r\n\r\n";
  co_await asio::async_write(stream, asio::buffer(request), asio::use_awaitable);
  net::error_code ec;
  if (it.kind->pause > Duration::zero()) {
    asio::steady_timer timer(context, it.kind->pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  const auto until = std::chrono::steady_clock::now() + kReadLimit;
  std::array<char, 65536> buffer{};
  while (!ec && !it.open) {
    const auto n = co_await stream.async_read_some(asio::buffer(buffer),
                                                   asio::redirect_error(asio::use_awaitable, ec));
    it.bytes += n;
    it.tail = (it.tail + std::string(buffer.data(), n));
    if (it.tail.size() > 7) it.tail.erase(0, it.tail.size() - 7);
    it.open = std::chrono::steady_clock::now() > until;
  }
  it.open = it.open || ec == net::beast::error::timeout;
}

class EndlessAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessAnswersTest);
  CPPUNIT_TEST(RequestsEndAtTheirRoutesTimeout);
  CPPUNIT_TEST(AFaultyEndpointIsLeftOut);
  CPPUNIT_TEST_SUITE_END();

  static Json Route(const std::string& service, bool streaming) {
    return {{"name", service},
            {"host", "endless.example"},
            {"path-prefix", "/" + service + "/"},
            {"route-type", streaming ? "streaming" : "idempotent"},
            {"stream-resume", true},
            {"timeout-ms", kRouteTimeoutMs},
            {"target-latency-ms", 1000},
            {"backend", service},
            {"max-attempts", 2},
            {"public", true}};
  }

  /// The head of an answer and, for a stream, its first event.
  static Script Begun(const Arrival& arrival, bool streaming) {
    Script script;
    script.steps.push_back(
        {"HTTP/1.1 200 OK\r\nAttempt-Id: " + arrival.attempt_id +
             "\r\nReplica-Signature: " + arrival.signature +
             "\r\nContent-Type: " + (streaming ? "text/event-stream" : "text/plain") +
             "\r\nTransfer-Encoding: chunked\r\n\r\n" +
             (streaming && arrival.last_event_id == 0 ? Chunk(Event(1)) : ""),
         {}});
    return script;
  }

  static void WaitKnown(const Cluster& cluster, const HostileReplicas& replicas,
                        std::size_t endpoints) {
    cluster.WaitFor("the ingress process knows the configuration and the endpoints", [&] {
      if (!replicas.announced()) return false;
      const Json state = Send(cluster.ReadinessAddress("i1"), verb::get, "/debug/state").Body();
      return state.is_object() && state["config"] == 1 && state["endpoints"].size() == endpoints;
    });
  }

 public:
  // Guards against requests that never end because their endpoint sends without end: a read that
  // finds bytes at once has no timeout of its own, and neither has a write to a caller that does
  // not read.
  void RequestsEndAtTheirRoutesTimeout() {
    Cluster cluster;
    cluster.StartDeployment(1, 1);
    Json config{{"version", 1}, {"route-table", Json::array()}, {"backends", Json::array()}};
    std::vector<Call> calls;
    std::vector<ReplicaIdentity> identities;
    std::map<std::string, const Form*> forms;
    for (const auto& form : kForms) {
      for (const auto& kind : kCallerKinds) {
        Call it;
        it.id = "call-" + std::to_string(calls.size());
        it.attempt_id = it.id;
        it.form = &form;
        it.kind = &kind;
        forms[it.id] = &form;
        const int number = static_cast<int>(identities.size());
        identities.push_back({it.id + "-a", cluster.ReplicaAddress(number), it.id});
        config["route-table"].push_back(Route(it.id, form.streaming));
        config["backends"].push_back({{"name", it.id}, {"max-connections", 100}});
        calls.push_back(std::move(it));
      }
    }
    const std::size_t endpoints = identities.size();
    cluster.SetConfig(config);
    const HostileReplicas replicas(std::move(identities), cluster.Address("c1"),
                                   [&forms](const Arrival& arrival, std::size_t) {
                                     const Form& form = *forms.at(arrival.attempt_id);
                                     Script script = Begun(arrival, form.streaming);
                                     script.endless = form.bytes;
                                     script.endless_pause = form.pause;
                                     return script;
                                   });
    WaitKnown(cluster, replicas, endpoints);
    asio::io_context context(1);
    for (auto& it : calls) {
      asio::co_spawn(context, Make(context, net::ParseAddress(cluster.Address("i1")), it),
                     asio::detached);
    }
    context.run();
    std::string faults;
    for (const auto& it : calls) {
      const std::string name = std::string(it.form->name) + " / " + it.kind->name;
      if (it.open) faults += name + ": not ended\n";
      // A stream that was cut must not look complete.
      if (it.form->streaming && it.tail == "\r\n0\r\n\r\n") faults += name + ": looks complete\n";
    }
    std::cout << calls.size() << " calls\n";
    CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
  }

  // Guards against an endpoint that goes on getting requests because nothing counts against it: its
  // streams end at their deadline, or when their callers leave.
  void AFaultyEndpointIsLeftOut() {
    constexpr int kRequests = 40;
    // An endpoint whose requests fail is tried again now and then.
    constexpr std::size_t kMaxAtFaulty = kRequests / 4;
    Cluster cluster;
    cluster.StartDeployment(1, 1, {{"retry-budget-extra", 1000}});
    Json config{{"version", 1}, {"route-table", Json::array()}, {"backends", Json::array()}};
    std::vector<ReplicaIdentity> identities;
    std::map<std::string, const Form*> forms;
    for (const auto& form : kForms) {
      if (!form.streaming || form.pause > Duration::zero()) continue;
      const std::string service = "service-" + std::to_string(forms.size());
      forms[service] = &form;
      config["route-table"].push_back(Route(service, true));
      config["backends"].push_back({{"name", service}, {"max-connections", 100}});
      for (const char* suffix : {"-sound", "-faulty"}) {
        const int number = static_cast<int>(identities.size());
        identities.push_back({service + suffix, cluster.ReplicaAddress(number), service});
      }
    }
    const std::size_t endpoints = identities.size();
    cluster.SetConfig(config);
    const HostileReplicas replicas(std::move(identities), cluster.Address("c1"),
                                   [&forms](const Arrival& arrival, std::size_t) {
                                     Script script = Begun(arrival, true);
                                     if (arrival.endpoint.ends_with("-faulty")) {
                                       const auto service = arrival.attempt_id.substr(
                                           0, arrival.attempt_id.find('/'));
                                       script.endless = forms.at(service)->bytes;
                                     } else {
                                       script.steps.push_back({Chunk(Event(2)) + "0\r\n\r\n", {}});
                                     }
                                     return script;
                                   });
    WaitKnown(cluster, replicas, endpoints);
    const CallerKind caller{"caller that names its tokens", true, {}};
    std::string faults;
    for (const auto& [service, form] : forms) {
      std::size_t at_faulty = 0;
      for (int i = 0; i < kRequests; ++i) {
        Call call;
        call.id = service;
        call.attempt_id = service + "/" + std::to_string(i);
        call.kind = &caller;
        asio::io_context context(1);
        asio::co_spawn(context, Make(context, net::ParseAddress(cluster.Address("i1")), call),
                       asio::detached);
        context.run();
        for (const auto& it : replicas.Arrivals(call.attempt_id)) {
          at_faulty += it.endpoint.ends_with("-faulty") ? 1 : 0;
        }
      }
      std::cout << form->name << ": " << at_faulty << " at the faulty endpoint\n";
      if (at_faulty > kMaxAtFaulty) faults += std::string(form->name) + "\n";
    }
    CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswersTest);

}  // namespace
}  // namespace wagtailslip::system_test
