// Messages between control and ingress processes.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "gen/mesh_types.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/mesh/target_sync.h"

namespace wagtailslip::mesh {
namespace {

using serving::LimitObservation;
using serving::PermitGrant;
using serving::PermitRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clocks of two machines that have nothing to do with each other.
constexpr TimePoint kSenderNow{seconds(5000)};
constexpr TimePoint kReceiverNow{seconds(70)};

constexpr Duration kTargetBound = seconds(8);

/// Message that names version 2 of model "m".
wire::MeshMessage TargetMessage(milliseconds age) {
  wire::MeshMessage message;
  message.__isset.targets = true;
  wire::WeightsTarget target;
  target.model = "m";
  target.version = 2;
  target.age_ms = age.count();
  message.targets.push_back(target);
  return message;
}

wire::MeshMessage Transmit(const wire::MeshMessage& message) {
  return codec::DecodeCompact<wire::MeshMessage>(codec::EncodeCompact(message));
}

/// Asks for the targets and passes the answer on.
/// @param named when the control process has learned of version 2
/// @return when the answer was processed
TimePoint Answer(TargetSync& sync, const std::string& process, TimePoint named, TimePoint now,
                 int question_delay_ms, int answer_delay_ms) {
  std::optional<wire::MeshMessage> query;
  while (!(query = sync.NextQuery(now)) && now < named + kTargetBound) now += milliseconds(10);
  CPPUNIT_ASSERT(query);
  const TimePoint read = now + milliseconds(question_delay_ms);
  auto answer = TargetMessage(std::chrono::duration_cast<milliseconds>(read - named));
  answer.__set_targets_query(Transmit(*query).targets_query);
  answer.targets_query.answer = true;
  now = read + milliseconds(answer_delay_ms);
  sync.Receive(process, Transmit(answer), now, UtcTime{});
  return now;
}

class MeshTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MeshTest);
  CPPUNIT_TEST(PermitRequestKeepsAgesAndClock);
  CPPUNIT_TEST(PermitGrantReturnsClock);
  CPPUNIT_TEST(RetryReportAndGrantKeepClocks);
  CPPUNIT_TEST(CrashReportKeepsAges);
  CPPUNIT_TEST(CrashVerdictsRejectUnknownStates);
  CPPUNIT_TEST(DrainedDomainsKeepRevision);
  CPPUNIT_TEST(WarmupLeasesReturnClock);
  CPPUNIT_TEST(RejectsInvalidNumbers);
  CPPUNIT_TEST(TargetsCountFromTheirNaming);
  CPPUNIT_TEST(TargetsAreAskedForUntilAnswered);
  CPPUNIT_TEST(AnswersWithoutQuestionAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against observations that seem newer or older at the receiver, whose clock has another
  // origin, and against a withdrawn limit that arrives as a limit of 0.
  void PermitRequestKeepsAgesAndClock() {
    const std::optional<double> limits[] = {12.5, 0.0, std::nullopt};
    for (const auto& limit : limits) {
      PermitRequest request;
      request.sent_at = kSenderNow;
      request.rows = {{"e", 3}};
      request.limits = {
          {"e", 42, limit, kSenderNow - milliseconds(700), kSenderNow - milliseconds(200)}};
      const auto message = Transmit(ToWire(request, kSenderNow));
      CPPUNIT_ASSERT(message.__isset.permits && !message.permits.grant);
      const auto received = PermitRequestFromWire(message, "p", kReceiverNow);
      CPPUNIT_ASSERT_EQUAL(std::string("p"), received.process);
      CPPUNIT_ASSERT(received.sent_at == kSenderNow);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, received.rows.front().wanted);
      const LimitObservation& observation = received.limits.front();
      CPPUNIT_ASSERT_EQUAL(std::int64_t{42}, observation.started_ms);
      CPPUNIT_ASSERT(observation.per_second == limit);
      CPPUNIT_ASSERT(observation.sent_at == kReceiverNow - milliseconds(700));
      CPPUNIT_ASSERT(observation.answered_at == kReceiverNow - milliseconds(200));
    }
  }

  // Guards against permits whose lifetime counts from another clock than that of the process that
  // asked.
  void PermitGrantReturnsClock() {
    PermitGrant grant;
    grant.request_sent_at = kSenderNow;
    grant.rows = {{"e", 2, milliseconds(300), seconds(2)}};
    wire::MeshMessage message;
    message.__set_permits(ToWire(grant));
    const auto received = PermitGrantFromWire(Transmit(message).permits);
    CPPUNIT_ASSERT(received.request_sent_at == kSenderNow);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, received.rows.front().granted);
    CPPUNIT_ASSERT(received.rows.front().next == milliseconds(300));
    CPPUNIT_ASSERT(received.rows.front().queue_delay == seconds(2));
  }

  // Guards against retry permits whose lifetime, or requests whose age, counts from another clock.
  void RetryReportAndGrantKeepClocks() {
    serving::RetryReport report;
    report.sent_at = kSenderNow;
    report.last_grant_at = kReceiverNow;
    report.since_last_grant = milliseconds(120);
    report.rows = {{"s", {3, 0, 7}, 12, 4, 5}};
    wire::MeshMessage message;
    message.__set_retries(ToWire(report));
    const auto received = RetryReportFromWire(Transmit(message).retries, "p", 9);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), received.process);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, received.incarnation);
    CPPUNIT_ASSERT(received.sent_at == kSenderNow && received.last_grant_at == kReceiverNow);
    CPPUNIT_ASSERT(received.since_last_grant == milliseconds(120));
    const auto& row = received.rows.front();
    CPPUNIT_ASSERT(row.requests == std::vector<std::uint32_t>({3, 0, 7}));
    CPPUNIT_ASSERT(row.used == 12 && row.held == 4 && row.wanted == 5);

    serving::RetryGrant grant{kSenderNow, kReceiverNow, seconds(4), true, {{"s", 2, 6}}};
    message.__set_retries(ToWire(grant));
    const auto granted = RetryGrantFromWire(Transmit(message).retries);
    CPPUNIT_ASSERT(granted.report_sent_at == kSenderNow && granted.sent_at == kReceiverNow);
    CPPUNIT_ASSERT(granted.lifetime == seconds(4) && granted.counted);
    CPPUNIT_ASSERT(granted.rows.front().granted == 2 && granted.rows.front().reserve == 6);

    message.retries.rows.front().granted = -1;
    CPPUNIT_ASSERT_THROW(RetryGrantFromWire(message.retries), MeshError);
  }

  // Guards against ends and proofs that seem older or newer at a process with another clock: a
  // proof clears the ends before it. And against ends late in a response that an earlier release
  // would take for ends before it, of which it knows how likely they are.
  void CrashReportKeepsAges() {
    using serving::SubjectKind;
    const std::vector<serving::CrashSubject> subjects{{SubjectKind::kPromptPart, "a"},
                                                      {SubjectKind::kPromptPart, "b"},
                                                      {SubjectKind::kRequest, "r"}};
    serving::CrashReport report;
    report.ends = {
        {"10.0.0.1:80", 42, kSenderNow - milliseconds(300), subjects, "orders", false},
        {"10.0.0.2:80", 43, kSenderNow - milliseconds(200), subjects, "orders", true, 12}};
    report.proofs = {{subjects[0], kSenderNow - seconds(2)}, {subjects[2], kSenderNow}};
    report.totals["orders"] = {7, 5, {2, 0, 3}};
    report.refused = {subjects[1], subjects[2]};
    report.asks = {subjects[2]};
    report.trial_ends = {{subjects[2], 9, serving::TrialOutcome::kUnsent}};
    wire::MeshMessage message;
    message.__set_crash_report(ToWire(report, kSenderNow));
    auto transmitted = Transmit(message).crash_report;
    const auto received = FromWire(transmitted, kReceiverNow);
    const auto& end = received.ends.front();
    CPPUNIT_ASSERT(end.endpoint == "10.0.0.1:80" && end.started_ms == 42);
    CPPUNIT_ASSERT(end.at == kReceiverNow - milliseconds(300));
    CPPUNIT_ASSERT(end.subjects == subjects && end.service == "orders" && !end.confirmed);
    CPPUNIT_ASSERT(end.events == 0 && received.ends[1].events == 12 && received.ends[1].confirmed);
    CPPUNIT_ASSERT(transmitted.ends.size() == 1 && transmitted.later_ends.size() == 1);
    CPPUNIT_ASSERT(received.proofs.front().at == kReceiverNow - seconds(2));
    CPPUNIT_ASSERT(received.proofs[1].subject == subjects[2]);
    const auto& totals = received.totals.at("orders");
    CPPUNIT_ASSERT(totals.begun == 7 && totals.delivered == 5);
    CPPUNIT_ASSERT(totals.ended == report.totals["orders"].ended);
    // An earlier release counts neither.
    transmitted.attempts.front().ended_later.clear();
    transmitted.attempts.front().delivered = 0;
    const auto earlier = FromWire(transmitted, kReceiverNow).totals.at("orders");
    CPPUNIT_ASSERT(earlier.begun == 7 && earlier.EndedBy(serving::kStageStarts.size() - 1) == 2);
    CPPUNIT_ASSERT(received.refused == report.refused && received.asks == report.asks);
    const auto& trial = received.trial_ends.front();
    CPPUNIT_ASSERT(trial.subject == subjects[2] && trial.revision == 9);
    CPPUNIT_ASSERT(trial.outcome == serving::TrialOutcome::kUnsent);
    transmitted.trial_ends.front().outcome = 99;
    CPPUNIT_ASSERT_THROW(FromWire(transmitted, kReceiverNow), MeshError);
  }

  // Guards against a verdict of another release that is taken for one of this one.
  void CrashVerdictsRejectUnknownStates() {
    using serving::SubjectKind;
    using serving::VerdictState;
    const serving::CrashVerdictList list{
        5,
        {{{SubjectKind::kPromptPart, "a"}, VerdictState::kCondemned, 1, {}, 0, 2},
         {{SubjectKind::kPromptPart, "b"}, VerdictState::kOnTrial, 3, "p", 0, 3},
         {{SubjectKind::kRequest, "r"}, VerdictState::kHeld, 0, {}, 2, 5}}};
    wire::MeshMessage message;
    message.__set_crash_verdicts(ToWire(list));
    auto received = Transmit(message).crash_verdicts;
    const auto decoded = FromWire(received);
    CPPUNIT_ASSERT(decoded.revision == 5 && decoded.verdicts.size() == 3);
    CPPUNIT_ASSERT(decoded.verdicts[1].state == VerdictState::kOnTrial);
    CPPUNIT_ASSERT(decoded.verdicts[1].trial_process == "p" && decoded.verdicts[1].times == 3);
    const auto& held = decoded.verdicts[2];
    CPPUNIT_ASSERT(held.state == VerdictState::kHeld && held.subject.kind == SubjectKind::kRequest);
    CPPUNIT_ASSERT(held.trials == 2 && held.revision == 5);
    received.rows.front().state = 99;
    CPPUNIT_ASSERT_THROW(FromWire(received), MeshError);
    received.rows.front().state = 1;
    received.rows.front().kind = 99;
    CPPUNIT_ASSERT_THROW(FromWire(received), MeshError);
  }

  // Guards against a finished drain that is not distributed because the set is empty then, against
  // an end whose age counts from another clock, and against more bytes for each process than the
  // message is meant to have.
  void DrainedDomainsKeepRevision() {
    const serving::DrainedDomains states[] = {
        {7, {}, {{"north-1", {7, 42, kSenderNow - milliseconds(700)}}}},
        {8, {"north-1", "south-2"}, {}},
    };
    for (const auto& state : states) {
      wire::MeshMessage message;
      message.__set_drained_domains(ToWire(state, kSenderNow));
      CPPUNIT_ASSERT(codec::EncodeCompact(message).size() <= 60);
      const auto sent = Transmit(message);
      CPPUNIT_ASSERT(sent.__isset.drained_domains);
      const auto received = FromWire(sent.drained_domains, kReceiverNow);
      CPPUNIT_ASSERT_EQUAL(state.revision, received.revision);
      CPPUNIT_ASSERT(state.domains == received.domains);
      CPPUNIT_ASSERT_EQUAL(state.ended.size(), received.ended.size());
      for (const auto& [domain, end] : received.ended) {
        CPPUNIT_ASSERT_EQUAL(state.ended.at(domain).revision, end.revision);
        CPPUNIT_ASSERT(end.at == kReceiverNow - milliseconds(700));
      }
      const auto much_later = ToWire(state, kSenderNow + serving::kDrainEndTtl);
      CPPUNIT_ASSERT(much_later.ended.empty());
    }
  }

  // Guards against leases whose lifetime counts from another clock than that of the process that
  // asked, and against rows that take more of the links than specified.
  void WarmupLeasesReturnClock() {
    serving::WarmupLeaseRequest request;
    request.sent_at = kSenderNow;
    for (int i = 0; i < 18; ++i) {
      request.rows.push_back({"assistant-replica-" + std::to_string(10 + i), 1700000000123});
    }
    wire::MeshMessage message;
    message.__set_warmup_leases(ToWire(request));
    CPPUNIT_ASSERT(codec::EncodeCompact(message).size() <= 40 * request.rows.size());
    const auto sent = Transmit(message);
    CPPUNIT_ASSERT(sent.__isset.warmup_leases && !sent.warmup_leases.grant);
    const auto received = WarmupRequestFromWire(sent.warmup_leases, "p#7");
    CPPUNIT_ASSERT_EQUAL(std::string("p#7"), received.process);
    CPPUNIT_ASSERT(received.sent_at == kSenderNow);
    CPPUNIT_ASSERT(received.rows == request.rows);

    serving::WarmupLeaseGrant grant;
    grant.request_sent_at = kSenderNow;
    grant.rows = {{request.rows.front(), true}, {request.rows.back(), false}};
    message.__set_warmup_leases(ToWire(grant));
    auto reply = Transmit(message).warmup_leases;
    CPPUNIT_ASSERT(reply.grant);
    const auto granted = WarmupGrantFromWire(reply);
    CPPUNIT_ASSERT(granted.request_sent_at == kSenderNow);
    CPPUNIT_ASSERT(granted.lifetime == serving::kWarmupLeaseTtl);
    CPPUNIT_ASSERT(granted.rows.front().granted && !granted.rows.back().granted);
    CPPUNIT_ASSERT(granted.rows.back().key == request.rows.back());
    // A message without a lifetime grants nothing.
    reply.lifetime_ms = 0;
    CPPUNIT_ASSERT(WarmupGrantFromWire(reply).lifetime == Duration::zero());
    reply.lifetime_ms = -1;
    CPPUNIT_ASSERT_THROW(WarmupGrantFromWire(reply), MeshError);
  }

  // Guards against a message of a faulty process that grants billions of permits or withdraws a
  // limit.
  void RejectsInvalidNumbers() {
    for (const double invalid : {-2.0, std::nan("")}) {
      wire::EndpointLimit limit;
      limit.__set_per_second(invalid);
      CPPUNIT_ASSERT_THROW(FromWire(limit, kReceiverNow), MeshError);
    }

    wire::MeshMessage message;
    message.__isset.permits = true;
    message.permits.grant = true;
    wire::PermitRow row;
    row.endpoint = "e";
    row.wanted = -1;
    row.granted = -1;
    row.next_ms = -1;
    message.permits.rows.push_back(row);
    const auto sent = Transmit(message);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, PermitGrantFromWire(sent.permits).rows.front().granted);
    const auto request = PermitRequestFromWire(sent, "p", kReceiverNow);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, request.rows.front().wanted);
  }

  // Guards against a version that is taken to be named later than it was, so that requests begin on
  // overtaken weights after the bound: the message that names it, or the answer to the question for
  // it, waited on its way.
  void TargetsCountFromTheirNaming() {
    struct Row {
      const char* name;
      int first_delay_ms;
      int question_delay_ms;
      int answer_delay_ms;
      /// How much too early the version may be taken to be named.
      int early_ms;
      /// The answer took too long to be exact.
      bool inexact;
    };
    const Row rows[] = {
        {"nothing waits", 2, 3, 3, 3, false},
        {"the process stands still over the naming", 1400, 3, 3, 3, false},
        {"the link of the process is slow", 900, 700, 800, 700, true},
        {"the answer waits", 2, 3, 1400, 3, true},
        {"all wait", 1400, 1400, 1400, 1400, true},
    };
    for (const auto& row : rows) {
      TargetSync sync(kTargetBound);
      const TimePoint named = kReceiverNow;
      TimePoint now = named + milliseconds(row.first_delay_ms);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          row.name, std::size_t{1},
          sync.Receive("c1", Transmit(TargetMessage(milliseconds(0))), now, UtcTime{}).size());
      now = Answer(sync, "c1", named, now, row.question_delay_ms, row.answer_delay_ms);
      // Told again by a process that has just linked.
      sync.Receive("c2", Transmit(TargetMessage(milliseconds(0))), now, UtcTime{});
      const auto believed = sync.targets().EarliestNewerTargetTime("m", 1);
      CPPUNIT_ASSERT_MESSAGE(row.name, believed.has_value());
      CPPUNIT_ASSERT_MESSAGE(row.name, *believed <= named);
      CPPUNIT_ASSERT_MESSAGE(row.name, *believed >= named - milliseconds(row.early_ms));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.inexact,
                                   sync.NextQuery(now + seconds(1)).has_value());
      if (!row.inexact) continue;
      Answer(sync, "c1", named, now + seconds(2), 3, 3);
      const auto corrected = sync.targets().EarliestNewerTargetTime("m", 1);
      CPPUNIT_ASSERT_MESSAGE(row.name, *corrected <= named);
      CPPUNIT_ASSERT_MESSAGE(row.name, *corrected >= named - milliseconds(3));
    }
  }

  // Guards against a time of naming that stays too late because the question or its answer is lost,
  // and against questions without end to a process of a release that does not answer.
  void TargetsAreAskedForUntilAnswered() {
    TargetSync sync(kTargetBound);
    sync.Receive("c1", Transmit(TargetMessage(milliseconds(0))), kReceiverNow, UtcTime{});
    CPPUNIT_ASSERT(sync.NextQuery(kReceiverNow));
    CPPUNIT_ASSERT(!sync.NextQuery(kReceiverNow + milliseconds(20)));
    CPPUNIT_ASSERT(sync.NextQuery(kReceiverNow + seconds(1)));
    // A message that is no answer does not show how long it waited.
    sync.Receive("c1", Transmit(TargetMessage(milliseconds(1100))),
                 kReceiverNow + milliseconds(1100), UtcTime{});
    CPPUNIT_ASSERT(sync.NextQuery(kReceiverNow + seconds(2)));
    // An answer without delay ends the questions.
    Answer(sync, "c1", kReceiverNow, kReceiverNow + seconds(3), 3, 3);
    CPPUNIT_ASSERT(!sync.NextQuery(kReceiverNow + seconds(4)));

    TargetSync unanswered(kTargetBound);
    unanswered.Receive("c1", Transmit(TargetMessage(milliseconds(0))), kReceiverNow, UtcTime{});
    CPPUNIT_ASSERT(!unanswered.NextQuery(kReceiverNow + kTargetBound + seconds(1)));
  }

  // Guards against a version that seems to have been named long ago because of an answer that
  // belongs to no question: all engines would drop their weights at once.
  void AnswersWithoutQuestionAreIgnored() {
    for (const std::int64_t asked_at_ns :
         {std::int64_t{0}, std::int64_t{-1}, std::int64_t{1} << 62}) {
      TargetSync sync(kTargetBound);
      sync.Receive("c1", Transmit(TargetMessage(milliseconds(0))), kReceiverNow, UtcTime{});
      CPPUNIT_ASSERT(sync.NextQuery(kReceiverNow));
      auto answer = TargetMessage(milliseconds(0));
      answer.__isset.targets_query = true;
      answer.targets_query.answer = true;
      answer.targets_query.asked_at_ns = asked_at_ns;
      sync.Receive("c1", Transmit(answer), kReceiverNow + milliseconds(5), UtcTime{});
      CPPUNIT_ASSERT(sync.targets().EarliestNewerTargetTime("m", 1) == kReceiverNow);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MeshTest);

}  // namespace
}  // namespace wagtailslip::mesh
