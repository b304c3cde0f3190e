// Client accounts and keys that are removed by later configurations, on control and ingress
// processes over loopback.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cluster.h"

namespace wagtailslip::system_test {
namespace {

constexpr const char* kKey = "key-of-shop";
constexpr const char* kUnknownKey = "key-of-nobody";
constexpr unsigned kUnauthorized = 401;
// The service has no endpoint, so requests that may run are refused later.
constexpr unsigned kNoEndpoint = 503;

Json Config(int version, const Json& accounts) {
  const auto route = [](const char* prefix, bool is_public) {
    return Json{{"name", prefix},     {"host", "h.example"}, {"path-prefix", prefix},
                {"timeout-ms", 1000}, {"backend", "s"},      {"route-type", "idempotent"},
                {"max-attempts", 1},  {"public", is_public}};
  };
  Json config{{"version", version},
              {"route-table", {route("/private/", false), route("/public/", true)}},
              {"backends", Json::array({{{"name", "s"}, {"max-connections", 100}}})}};
  if (!accounts.is_discarded()) config["tenants"] = accounts;
  return config;
}

Json Accounts(const Json& keys) { return Json::array({{{"name", "shop"}, {"api-keys", keys}}}); }

unsigned Status(const Cluster& cluster, const std::string& ingress, const std::string& path,
                const std::string& key) {
  net::HttpHeaders headers{{"Host", "h.example"}, {"Attempt-Id", "a"}, {"Deadline-Ms", "1000"}};
  if (!key.empty()) headers.emplace_back("Authorization", "Bearer " + key);
  return Send(cluster.Address(ingress), verb::get, path, {}, headers).status;
}

/// Waits until every ingress process answers requests with the known, the unknown and no key so.
void WaitStatuses(const Cluster& cluster, const std::string& what, unsigned known, unsigned unknown,
                  unsigned none) {
  for (const auto& it : cluster.ingresses()) {
    cluster.WaitFor(what + " at " + it, [&] {
      return Status(cluster, it, "/private/x", kKey) == known &&
             Status(cluster, it, "/private/x", kUnknownKey) == unknown &&
             Status(cluster, it, "/private/x", "") == none &&
             Status(cluster, it, "/public/x", "") == kNoEndpoint;
    });
  }
}

class AccountKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountKeysTest);
  CPPUNIT_TEST(RemovingTheLastAccountKeepsRoutesClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against routes that open to everybody once a configuration has an empty list of
  // accounts, also after all processes have read it from disk and from each other, and against an
  // invalid list that takes effect.
  void RemovingTheLastAccountKeepsRoutesClosed() {
    Cluster cluster;
    cluster.StartDeployment(3, 2);
    cluster.SetConfig(Config(1, Accounts({kKey})));
    WaitStatuses(cluster, "only the key of the account is valid", kNoEndpoint, kUnauthorized,
                 kUnauthorized);
    cluster.SetConfig(Config(3, Accounts(Json::array())));
    WaitStatuses(cluster, "an account without keys is in force", kUnauthorized, kUnauthorized,
                 kUnauthorized);
    cluster.SetConfig(Config(4, Accounts({kKey})));
    WaitStatuses(cluster, "the key is valid again", kNoEndpoint, kUnauthorized, kUnauthorized);
    cluster.SetConfig(Config(6, Json::array()));
    WaitStatuses(cluster, "the empty list is in force", kUnauthorized, kUnauthorized,
                 kUnauthorized);
    for (const Json& invalid : {Json(nullptr), Json("none"), Json::object()}) {
      for (const auto& it : cluster.controls()) {
        const auto reply =
            Send(cluster.Address(it), verb::post, "/config/replace", Config(8, invalid).dump());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid.dump(), 400U, reply.status);
      }
    }
    auto processes = cluster.controls();
    processes.insert(processes.end(), cluster.ingresses().begin(), cluster.ingresses().end());
    for (const auto& it : processes) cluster.Kill(it);
    for (const auto& it : processes) cluster.Restart(it);
    WaitStatuses(cluster, "the empty list is in force after a restart", kUnauthorized,
                 kUnauthorized, kUnauthorized);
    cluster.SetConfig(Config(9, Json(Json::value_t::discarded)));
    WaitStatuses(cluster, "no key is needed without a list", kNoEndpoint, kNoEndpoint, kNoEndpoint);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AccountKeysTest);

}  // namespace
}  // namespace wagtailslip::system_test
