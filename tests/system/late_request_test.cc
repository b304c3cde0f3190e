// Requests that are complete only late in the grace period of a planned stop.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "cluster.h"
#include "limited_replicas.h"
#include "wagtailslip/net/address.h"

namespace wagtailslip::system_test {
namespace {

namespace asio = boost::asio;

/// Longer than what is left of the grace period when the request is complete.
constexpr auto kServiceTime = 5s;

/// Sends the two parts of a request at the given times after now, and reads until the connection
/// ends.
std::string SendInParts(const std::string& address, const std::string& first,
                        std::chrono::milliseconds first_at, const std::string& second,
                        std::chrono::milliseconds second_at) {
  const auto start = std::chrono::steady_clock::now();
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(net::ParseAddress(address));
  std::this_thread::sleep_until(start + first_at);
  asio::write(socket, asio::buffer(first));
  std::this_thread::sleep_until(start + second_at);
  asio::write(socket, asio::buffer(second));
  std::string received;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(received), ec);
  return received;
}

class LateRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateRequestTest);
  CPPUNIT_TEST(RefusesWhatCannotEndBeforeTheExit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that is taken and passed on so late that the exit of the process cuts
  // it, which the caller of a call that may run once cannot repeat.
  void RefusesWhatCannotEndBeforeTheExit() {
    Cluster cluster;
    cluster.StartDeployment(3, 2);
    SetConfig(cluster);
    std::vector<std::string> controls;
    for (const auto& it : cluster.controls()) controls.push_back(cluster.Address(it));
    LimitedReplicas replicas({{"slow", cluster.ReplicaAddress(0), {}, kServiceTime}}, "orders",
                             controls);
    cluster.WaitFor("i1 serves", [&] {
      const net::HttpHeaders headers{{"Host", "orders.example"}, {"Attempt-Id", "w"}};
      return Send(cluster.Address("i1"), verb::get, "/orders/1", {}, headers, 8s).status == 200;
    });
    const std::string address = cluster.Address("i1");
    // Keeps the process running until the late request is there.
    unsigned first_status = 0;
    std::thread first([&] {
      const net::HttpHeaders headers{{"Host", "orders.example"}, {"Attempt-Id", "first"}};
      first_status = Send(address, verb::post, "/orders/1", "{}", headers, 8s).status;
    });
    std::this_thread::sleep_for(500ms);
    const auto arrivals = replicas.Arrivals("slow").size();
    cluster.Stop("i1");
    const std::string received =
        SendInParts(address,
                    "POST /orders/2 HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: late\r\n"
                    "Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\n",
                    2000ms, "{}", 4000ms);
    first.join();
    CPPUNIT_ASSERT_EQUAL(200U, first_status);
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_MESSAGE(received, received.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(arrivals, replicas.Arrivals("slow").size());
  }

 private:
  static void SetConfig(const Cluster& cluster) {
    const Json config{{"version", 1},
                      {"route-table",
                       {{{"name", "orders"},
                         {"host", "orders.example"},
                         {"path-prefix", "/orders/"},
                         {"route-type", "non_idempotent"},
                         {"timeout-ms", 7000},
                         {"target-latency-ms", 300},
                         {"backend", "orders"},
                         {"max-attempts", 2},
                         {"public", true}}}},
                      {"backends", {{{"name", "orders"}, {"max-connections", 100}}}}};
    cluster.SetConfig(config);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LateRequestTest);

}  // namespace
}  // namespace wagtailslip::system_test
