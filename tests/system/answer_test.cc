// Answers of faulty engines through the gateway of real entry processes.
#include <cppunit/extensions/HelperMacros.h>

#include "cluster.h"

namespace wagtailslip::system_test {
namespace {

struct FaultRow {
  const char* flag;
  const char* meaning;
  bool stream;
};

// Each fault hits every answer of the only engine, so no answer may be passed on as whole.
constexpr FaultRow kFaultRows[] = {
    {"--fault-corrupt", "a body that is cut before its length is set", false},
    {"--fault-corrupt", "a stream that is cut", true},
    {"--fault-wrong-version", "an answer of another version", false},
    {"--fault-wrong-version", "a stream of another version", true},
};

class AnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerTest);
  CPPUNIT_TEST(FaultyAnswersAreNotPassedOnAsWhole);
  CPPUNIT_TEST(ModelWithoutEndpointIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static std::string ChatBody(bool stream) {
    Json message;
    message["role"] = "user";
    message["content"] = "next bus";
    Json body;
    body["model"] = "dispatch";
    body["max_tokens"] = 8;
    body["stream"] = stream;
    body["messages"] = Json::array({message});
    return body.dump();
  }

 public:
  // Guards against a truncated or foreign answer that reaches a caller as complete.
  void FaultyAnswersAreNotPassedOnAsWhole() {
    for (const auto& row : kFaultRows) {
      Cluster cluster;
      cluster.StartEntries(3);
      cluster.StartEngine(1, "dispatch", "v1", {row.flag, "1", "--token-ms", "1"});
      cluster.WaitReady(cluster.entries(), 1);
      net::HttpHeaders headers;
      headers.emplace_back("Authorization", "Bearer test");
      headers.emplace_back("X-Deadline-Ms", "5000");
      for (int i = 0; i < 5; ++i) {
        const auto reply = Send(cluster.Address("e1"), verb::post, "/v1/chat/completions",
                                ChatBody(row.stream), headers);
        const bool whole =
            reply.status == 200 &&
            (!row.stream || reply.response.body.find("data: [DONE]") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(row.meaning, !whole);
      }
    }
  }

  // Guards against a caller that waits for its deadline although nothing can serve it.
  void ModelWithoutEndpointIsRefusedAtOnce() {
    Cluster cluster;
    cluster.StartEntries(3);
    cluster.StartEngine(1, "dispatch", "v1");
    cluster.WaitReady(cluster.entries(), 1);
    cluster.Kill("m1");
    net::HttpHeaders headers;
    headers.emplace_back("X-Deadline-Ms", "60000");
    cluster.WaitFor("the call is refused as not-run", [&] {
      const auto reply = Send(cluster.Address("e1"), verb::post, "/v1/chat/completions",
                              ChatBody(false), headers, 15s);
      return reply.Outcome() == "not-run" && !reply.response.Header("Retry-After").empty();
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTest);

}  // namespace
}  // namespace wagtailslip::system_test
