#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <tuple>

#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/agreement_codec.h"
#include "wagtailslip/codec/chat_codec.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/codec/limit_codec.h"
#include "wagtailslip/codec/manifest_codec.h"
#include "wagtailslip/codec/record_codec.h"
#include "wagtailslip/codec/state_codec.h"

namespace wagtailslip::codec {
namespace {

using namespace config;

// Fields returns the members of a struct as a tuple, for comparison. A structured binding with the
// wrong number of names does not compile, so a new member cannot be left out here.
auto Fields(const NoOp&) { return std::tuple<>(); }
auto Fields(const ControlRollout& d) {
  const auto& [a, b, c] = d;
  return std::tie(a, b, c);
}
auto Fields(const CreateRollout& d) {
  const auto& [a, b, c, e, f, g, h, i, j, k, l, m] = d;
  return std::tie(a, b, c, e, f, g, h, i, j, k, l, m);
}
auto Fields(const AdvanceRollout& d) {
  const auto& [a, b, c, e, f, g] = d;
  return std::tie(a, b, c, e, f, g);
}
auto Fields(const SetRule& d) {
  const auto& [a, b] = d;
  return std::tie(a, b);
}
auto Fields(const SubmitSheet& d) {
  const auto& [a, b, c] = d;
  return std::tie(a, b, c);
}
auto Fields(const ApplySchedule& d) { return std::tie(d.now); }
auto Fields(const EndpointJoined& d) {
  const auto& [a, b, c, e, f, g, h, i, j, k] = d;
  return std::tie(a, b, c, e, f, g, h, i, j, k);
}
auto Fields(const EndpointLeft& d) {
  const auto& [a, b, c] = d;
  return std::tie(a, b, c);
}
auto Fields(const DrainEndpoint& d) {
  const auto& [a, b, c] = d;
  return std::tie(a, b, c);
}
auto Fields(const IntentRecorded& d) {
  const auto& [a, b, c, e, f, g, h] = d;
  return std::tie(a, b, c, e, f, g, h);
}
auto Fields(const OutcomeRecorded& d) {
  const auto& [a, b, c, e, f, g, h, i, j] = d;
  return std::tie(a, b, c, e, f, g, h, i, j);
}
auto Fields(const ProcessStarted& d) {
  const auto& [a, b, c, e, f, g] = d;
  return std::tie(a, b, c, e, f, g);
}
auto Fields(const ProcessLeft& d) {
  const auto& [a, b] = d;
  return std::tie(a, b);
}
auto Fields(const State& d) {
  const auto& [a, b, c, e, f, g, h, i, j, k, l, m, n, o] = d;
  return std::tie(a, b, c, e, f, g, h, i, j, k, l, m, n, o);
}
auto Fields(const agreement::VoteRequest& d) {
  const auto& [a, b, c, e] = d;
  return std::tie(a, b, c, e);
}
auto Fields(const agreement::VoteReply& d) {
  const auto& [a, b] = d;
  return std::tie(a, b);
}
auto Fields(const agreement::AppendRequest& d) {
  const auto& [a, b, c, e, f] = d;
  return std::make_tuple(a, b, c ? *c : std::vector<agreement::Entry>(), e, f);
}
auto Fields(const agreement::AppendReply& d) {
  const auto& [a, b, c, e, f, g] = d;
  return std::tie(a, b, c, e, f, g);
}
auto Fields(const agreement::SnapshotPart& d) {
  const auto& [a, b, c, e, f, g, h] = d;
  return std::make_tuple(a, b, c.members(), e, f, g, h);
}
auto Fields(const agreement::SnapshotReply& d) {
  const auto& [a, b, c] = d;
  return std::tie(a, b, c);
}

/// Fails if a member of the sample has its default value: a codec that skips the member would go
/// unnoticed then.
template <typename T>
void AssertNoDefaultValues(const T& sample) {
  const T empty{};
  const auto compare = [](const auto&... value) {
    return [&value...](const auto&... other) { return ((value != other) && ...); };
  };
  CPPUNIT_ASSERT(std::apply(std::apply(compare, Fields(sample)), Fields(empty)));
}

UtcTime At(std::int64_t ns) { return UtcTime(Duration(ns)); }
CommandId SampleCommandId() { return {"req", 7, 8, "op"}; }
CreateRollout SampleCreateRollout() {
  return {SampleCommandId(),
          "m",
          "v",
          ArtifactKind::kAdapter,
          "ad",
          "base",
          "1.2.3.4:5",
          Sha256("root"),
          SpreadPolicy::kOriginBytesFirst,
          2,
          3,
          4};
}
Rule SampleRule() { return {"acc", "kind", CallClass::kDurable, 1, 2.5, 3.5, Duration(9)}; }
EndpointJoined SampleEndpointJoined() {
  return {"e", 1, EndpointRole::kService, "a:1", "a:2", "m", "r", "d", true, true};
}
ProcessStarted SampleProcessStarted() { return {"p", 1, "a:1", "a:2", "r", "d"}; }
ApplyResult SampleApplyResult() {
  return {
      ApplyStatus::kDuplicate, ApplyStatus::kRejected, 3, "w", 4, "code", "field", "msg", "obj"};
}

std::vector<Record> SampleRecords() {
  return {NoOp{},
          SampleCreateRollout(),
          ControlRollout{SampleCommandId(), "ro", RolloutAction::kRollBack},
          AdvanceRollout{"ro", "open", {"e1", "e2"}, "why", 3, true},
          SetRule{SampleCommandId(), SampleRule()},
          SubmitSheet{
              SampleCommandId(),
              {{At(5), SampleCreateRollout()}, {At(6), SetRule{SampleCommandId(), SampleRule()}}},
              Sha256("sheet")},
          ApplySchedule{At(11)},
          SampleEndpointJoined(),
          EndpointLeft{"e", 2, "gone"},
          DrainEndpoint{SampleCommandId(), "e", false},
          IntentRecorded{"acc", "key", Sha256("q"), "p", 4, At(12), 2},
          OutcomeRecorded{"acc", "key", "p", 4, CallOutcome::kNotRun, 429, "text/plain", "b", 2},
          SampleProcessStarted(),
          ProcessLeft{"p", 3}};
}

State SampleState() {
  const Artifact artifact{"v", "b", Sha256("r"), "o:1", SpreadPolicy::kOriginBytesFirst, "ro"};
  const ScheduledChange change{At(3), SetRule{SampleCommandId(), SampleRule()}};
  State s;
  s.revision = 21;
  s.commands["req"] = {Sha256("c"), SampleApplyResult()};
  s.evicted_command_revision = 2;
  s.version_histories["m/ad"] = {
      "m",      "ad", 3,        "req",         "ro",
      artifact, 4,    artifact, {Sha256("t")}, {{"e", {artifact, Sha256("p"), true, 5}}}};
  s.rollouts["ro"] = {"ro", SampleCreateRollout(), "paused", 1, 2, 3, 4, {"e1"}, {"e2"}, "why"};
  s.rules["k"] = {SampleRule(), 6, "req"};
  s.sheet = {7,
             "req",
             Sha256("s"),
             {{change, "req#2"}},
             {{"req#1", Sha256("x"), At(1), At(2), true, SampleApplyResult()}},
             At(9)};
  s.endpoints["e"] = {SampleEndpointJoined(), false, true, 1, 2, "gone", 3, "req"};
  s.processes["p"] = {SampleProcessStarted(), false, 9};
  s.calls["acc key"] = {"acc",
                        "key",
                        Sha256("q"),
                        "p",
                        2,
                        At(4),
                        5,
                        6,
                        1,
                        CallOutcome::kComplete,
                        200,
                        "text/plain",
                        "body",
                        true,
                        Sha256("body")};
  s.next_sequence = 6;
  s.call_clock = At(13);
  s.expired_keys_until = At(14);
  s.evicted_key_hashes = {15, ~std::uint64_t{0}};
  return s;
}

std::vector<agreement::MessageBody> SampleMessageBodies() {
  const TimePoint sent{Duration(77)};
  agreement::Membership members;
  members.Set({"p", 2}, agreement::MemberRole::kVoter);
  const auto entries = std::make_shared<const std::vector<agreement::Entry>>(
      std::vector<agreement::Entry>{{5, 2, agreement::EntryKind::kMembership, "data"}});
  return {agreement::VoteRequest{true, 1, 2, true},
          agreement::VoteReply{true, true},
          agreement::AppendRequest{1, 2, entries, 3, sent},
          agreement::AppendReply{true, 1, 2, 3, 4, sent},
          agreement::SnapshotPart{1, 2, members, 3, 4, "part", sent},
          agreement::SnapshotReply{1, 2, sent}};
}

/// Decodes truncated copies and copies with a flipped bit. Any exception but CodecError fails the
/// test.
template <typename Decode>
void DecodeDamagedCopies(const std::string& bytes, const Decode& decode) {
  std::mt19937 random(20261204);
  const auto try_decode = [&decode](const std::string& input) {
    try {
      decode(input);
    } catch (const CodecError&) {
    }
  };
  for (std::size_t n = 0; n < bytes.size(); ++n) try_decode(bytes.substr(0, n));
  for (int i = 0; i < 500; ++i) {
    std::string copy = bytes;
    copy[random() % copy.size()] ^= static_cast<char>(1U << (random() % 8));
    try_decode(copy);
  }
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(RecordsKeepEveryField);
  CPPUNIT_TEST(StateKeepsEveryField);
  CPPUNIT_TEST(AgreementMessagesKeepEveryField);
  CPPUNIT_TEST(LimitMessagesKeepEveryField);
  CPPUNIT_TEST(RejectsDamagedBytes);
  CPPUNIT_TEST(RejectsOutOfRangeEnumValues);
  CPPUNIT_TEST(ChatErrorsNameTheField);
  CPPUNIT_TEST(ManifestErrorsNameTheField);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a struct member that is missing in src/codec/record_fields.h.
  void RecordsKeepEveryField() {
    const auto records = SampleRecords();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Record>, records.size());
    for (std::size_t i = 0; i < records.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(i, records[i].index());
      const Record decoded = DecodeRecord(EncodeRecord(records[i]));
      std::visit(
          [&decoded](const auto& d) {
            AssertNoDefaultValues(d);
            using T = std::decay_t<decltype(d)>;
            CPPUNIT_ASSERT(std::holds_alternative<T>(decoded));
            CPPUNIT_ASSERT(Fields(d) == Fields(std::get<T>(decoded)));
          },
          records[i]);
    }
  }

  /// Guards against state that is lost in a snapshot.
  void StateKeepsEveryField() {
    const State state = SampleState();
    AssertNoDefaultValues(state);
    CPPUNIT_ASSERT(state == DecodeState(EncodeState(state)));
  }

  void AgreementMessagesKeepEveryField() {
    const auto bodies = SampleMessageBodies();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<agreement::MessageBody>, bodies.size());
    for (const auto& body : bodies) {
      const auto decoded = FromWire(ToWire(agreement::Message{{"a", 1}, {"b", 2}, 3, body}));
      CPPUNIT_ASSERT(decoded.from == (agreement::ReplicaId{"a", 1}));
      CPPUNIT_ASSERT(decoded.to == (agreement::ReplicaId{"b", 2}));
      CPPUNIT_ASSERT_EQUAL(agreement::Term{3}, decoded.term);
      std::visit(
          [&decoded](const auto& d) {
            AssertNoDefaultValues(d);
            CPPUNIT_ASSERT(Fields(d) == Fields(std::get<std::decay_t<decltype(d)>>(decoded.body)));
          },
          body);
    }
  }

  void LimitMessagesKeepEveryField() {
    traffic::ShareReport report{"a", "b", {1, 2}, {3, 4}};
    report.rows.push_back({{"acc", "kind"}, 1.5, 2.5});
    const auto r = std::get<traffic::ShareReport>(LimitsFromWire(ToWire(report)));
    traffic::ShareGrant grant{"a", "b", {1, 2}, {3, 4}};
    grant.rows.push_back({{"acc", "kind"}, 1.5, true});
    const auto g = std::get<traffic::ShareGrant>(LimitsFromWire(ToWire(grant)));
    const auto header_fields = [](const auto& d) {
      return std::make_tuple(d.from, d.to, d.stamp.incarnation, d.stamp.nanoseconds,
                             d.echo.incarnation, d.echo.nanoseconds, d.rows.size(),
                             d.rows.at(0).key.account, d.rows.at(0).key.kind);
    };
    CPPUNIT_ASSERT(header_fields(report) == header_fields(r));
    CPPUNIT_ASSERT(header_fields(grant) == header_fields(g));
    CPPUNIT_ASSERT(r.rows[0].demand == 1.5 && r.rows[0].lent == 2.5);
    CPPUNIT_ASSERT(g.rows[0].rate == 1.5 && g.rows[0].wanted);
  }

  /// Guards against damaged bytes that crash the process or cause an exception other than
  /// CodecError.
  void RejectsDamagedBytes() {
    for (const auto& record : SampleRecords()) {
      DecodeDamagedCopies(EncodeRecord(record), [](const std::string& b) { DecodeRecord(b); });
    }
    DecodeDamagedCopies(EncodeState(SampleState()), [](const std::string& b) { DecodeState(b); });
    for (const auto& body : SampleMessageBodies()) {
      DecodeDamagedCopies(
          EncodeCompact(ToWire(agreement::Message{{"a", 1}, {"b", 2}, 3, body})),
          [](const std::string& b) { FromWire(DecodeCompact<wire::AgreementMessage>(b)); });
    }
  }

  /// Guards against accepting values beyond the last value of an enum, which have no name.
  void RejectsOutOfRangeEnumValues() {
    EndpointJoined endpoint = SampleEndpointJoined();
    endpoint.role = static_cast<EndpointRole>(2);
    CPPUNIT_ASSERT_THROW(DecodeRecord(EncodeRecord(endpoint)), CodecError);
    SetRule rule{SampleCommandId(), SampleRule()};
    rule.rule.call_class = static_cast<CallClass>(4);
    CPPUNIT_ASSERT_THROW(DecodeRecord(EncodeRecord(rule)), CodecError);
  }

  /// Guards against an invalid field that is accepted, reported under another name or causes an
  /// exception other than FieldError.
  void ChatErrorsNameTheField() {
    const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
    const std::pair<std::string, std::string> cases[] = {
        {"{", ""},
        {"[]", ""},
        {"{" + messages + "}", "model"},
        {R"({"model":1,)" + messages + "}", "model"},
        {R"({"model":"m"})", "messages"},
        {R"({"model":"m","messages":[]})", "messages"},
        {R"({"model":"m","messages":[1]})", "messages"},
        {R"({"model":"m","messages":[{}]})", "messages.content"},
        {R"({"model":"m","messages":[{"role":1,"content":"x"}]})", "messages.role"},
        {R"({"model":"m","stream":1,)" + messages + "}", "stream"},
        {R"({"model":"m","max_tokens":0,)" + messages + "}", "max_tokens"},
        {R"({"model":"m","max_tokens":18446744073709551615,)" + messages + "}", "max_tokens"},
    };
    for (const auto& [body, field] : cases) {
      try {
        ParseChatRequest(body);
        CPPUNIT_FAIL("accepted: " + body);
      } catch (const FieldError& e) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(body, field, e.field());
      }
    }
  }

  void ManifestErrorsNameTheField() {
    spread::Manifest manifest{"m", "v", ArtifactKind::kModel, "", {{Sha256("c"), 4}}, {}};
    manifest.root = manifest.ComputeRoot();
    const std::string text = FormatManifest(manifest);
    CPPUNIT_ASSERT(ParseManifest(text).chunks == manifest.chunks);
    // Each case renames a field or replaces its value by an invalid one.
    const std::tuple<std::string, std::string, std::string> cases[] = {
        {"\"model\":\"m\"", "\"x\":\"m\"", "model"},
        {"\"version\"", "\"x\"", "version"},
        {"\"kind\":\"model\"", "\"kind\":\"x\"", "kind"},
        {"\"chunks\"", "\"x\"", "chunks"},
        {"\"size\":4", "\"size\":-1", "size"},
        {"\"size\":4", "\"size\":1e300", "size"},
        {Sha256("c").Hex(), "zz", "chunk digest"},
        {manifest.root.Hex(), Sha256("other").Hex(), "root"},
    };
    for (const auto& [from, to, field] : cases) {
      std::string invalid = text;
      invalid.replace(invalid.find(from), from.size(), to);
      try {
        ParseManifest(invalid);
        CPPUNIT_FAIL("accepted: " + invalid);
      } catch (const CodecError& e) {
        CPPUNIT_ASSERT_MESSAGE(e.what(), std::string(e.what()).find(field) != std::string::npos);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace wagtailslip::codec
