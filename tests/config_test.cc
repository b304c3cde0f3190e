#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>

#include "config_fixture.h"

namespace wagtailslip::config {
namespace {

// 2027-01-15T08:00:00Z in seconds since the epoch.
constexpr std::int64_t kNow = 1'800'000'000;

SetRule MakeRule(const std::string& request, Revision base, const std::string& account,
                 const std::string& kind, std::uint32_t priority) {
  SetRule record;
  record.command = {.request_id = request, .base_revision = base};
  record.rule.account = account;
  record.rule.kind = kind;
  record.rule.priority = priority;
  return record;
}

IntentRecorded MakeIntent(const std::string& key, const std::string& body = "x",
                          std::int64_t at = kNow, const std::string& owner = "p",
                          std::uint64_t incarnation = 1) {
  return {"acc", key, Sha256(body), owner, incarnation, Utc(at)};
}

OutcomeRecorded MakeOutcome(const std::string& key, CallOutcome outcome = CallOutcome::kComplete,
                            const std::string& body = "answer", const std::string& owner = "p",
                            std::uint64_t incarnation = 1, std::uint32_t attempt = 1) {
  return {"acc", key, owner, incarnation, outcome, 200, "text/plain", body, attempt};
}

SubmitSheet MakeSheet(const std::string& request, Revision base,
                      std::vector<ScheduledChange> changes) {
  SubmitSheet record;
  record.command = {.request_id = request, .base_revision = base};
  record.content = Sha256(request);
  record.changes = std::move(changes);
  return record;
}

ProcessStarted MakeProcess(const std::string& name, std::uint64_t incarnation) {
  return {name, incarnation, "127.0.0.1:9", "r", "a"};
}

template <typename T, typename F>
T With(T record, F change) {
  change(record);
  return record;
}

class ConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTest);
  CPPUNIT_TEST(InvalidRecordsAreRejected);
  CPPUNIT_TEST(RetriedCommandGetsTheFirstResult);
  CPPUNIT_TEST(EvictedCommandIsRejected);
  CPPUNIT_TEST(ConcurrentCommandsConflict);
  CPPUNIT_TEST(MostSpecificRuleWins);
  CPPUNIT_TEST(AdapterRequiresBaseVersion);
  CPPUNIT_TEST(ScheduleTakesEffectOnce);
  CPPUNIT_TEST(OlderIncarnationIsRejected);
  CPPUNIT_TEST(CallRunsAtMostOnce);
  CPPUNIT_TEST(CallsOfDeadOwnerBecomeUnknown);
  CPPUNIT_TEST(KeysOutsideTheWindowAreRejected);
  CPPUNIT_TEST(BodySizesAreLimited);
  CPPUNIT_TEST(RandomRecordsAreDeterministic);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidRecordsAreRejected() {
    struct Row {
      Record record;
      const char* code;
      const char* field;
    };
    const auto rollout = MakeRollout("q", 0, "v1");
    const auto rule = MakeRule("q", 0, "a", "k", 1);
    const Row rows[] = {
        {With(rollout, [](auto& r) { r.command.request_id = ""; }), "invalid", "request_id"},
        {With(rollout, [](auto& r) { r.model = "a/b"; }), "invalid", "model"},
        {With(rollout, [](auto& r) { r.version = ""; }), "invalid", "version"},
        {With(rollout, [](auto& r) { r.root = {}; }), "invalid", "root"},
        {With(rollout, [](auto& r) { r.origin = ""; }), "invalid", "origin"},
        {With(rollout, [](auto& r) { r.batch_size = 0; }), "invalid", "batch_size"},
        {With(rollout, [](auto& r) { r.failure_limit = 0; }), "invalid", "failure_limit"},
        {With(rollout, [](auto& r) { r.adapter = "x"; }), "invalid", "kind"},
        {With(rollout, [](auto& r) { r.kind = ArtifactKind::kAdapter; }), "invalid", "adapter"},
        {With(rule, [](auto& r) { r.rule.priority = 10; }), "invalid", "priority"},
        {With(rule, [](auto& r) { r.rule.weight = 0; }), "invalid", "weight"},
        {With(rule, [](auto& r) { r.rule.weight = 0.0 / 0.0; }), "invalid", "weight"},
        {With(rule, [](auto& r) { r.rule.rate_limit = -1; }), "invalid", "rate_limit"},
        {With(rule, [](auto& r) { r.rule.deadline = Duration(-1); }), "invalid", "deadline"},
        {With(rule, [](auto& r) { r.rule.account = ""; }), "invalid", "account"},
        {ControlRollout{{.request_id = "q"}, "r9"}, "not_found", "rollout_id"},
        {AdvanceRollout{"r9", "start"}, "not_found", "rollout_id"},
        {DrainEndpoint{{.request_id = "q"}, "e9"}, "not_found", "endpoint_id"},
        {EndpointLeft{"e9", 1}, "not_found", "endpoint_id"},
        {ProcessLeft{"p9", 1}, "not_found", "process"},
        {MakeIntent("k"), "owner_not_live", "owner"},
        {MakeOutcome("k"), "not_found", "key"},
    };
    for (const auto& row : rows) {
      TestLog log;
      const auto result = log.Apply(row.record);
      CPPUNIT_ASSERT_EQUAL(std::string(row.code), result.code);
      CPPUNIT_ASSERT_EQUAL(std::string(row.field), result.field);
      CPPUNIT_ASSERT(!result.message.empty());
    }
  }

  // Guards against running a command twice when an operator retries it after the answer was lost.
  void RetriedCommandGetsTheFirstResult() {
    TestLog log;
    const auto command = MakeRollout("q1", 0, "v1");
    const auto first = log.Apply(command);
    log.Apply(MakeRollout("q2", first.revision, "v2"));
    const auto again = log.Apply(command);
    CPPUNIT_ASSERT(again.status == ApplyStatus::kDuplicate);
    CPPUNIT_ASSERT(again.first_status == ApplyStatus::kApplied);
    CPPUNIT_ASSERT_EQUAL(first.revision, again.revision);
    CPPUNIT_ASSERT_EQUAL(first.object, again.object);
    const auto other = log.Apply(MakeRollout("q1", 0, "v3"));
    CPPUNIT_ASSERT_EQUAL(std::string("request_id_reused"), other.code);
    CPPUNIT_ASSERT_EQUAL(
        std::string("v2"),
        log.machine.FindRollout(log.machine.FindVersionHistory("m")->rollout_id)->spec.version);
  }

  void EvictedCommandIsRejected() {
    TestLog log(Limits{.commands = 3});
    auto first = MakeRule("q0", 0, "a", "k0", 1);
    first.command.seen_revision = 1;
    log.Apply(NoOp{});
    log.Apply(first);
    for (int i = 1; i < 5; ++i) {
      log.Apply(MakeRule("q" + std::to_string(i), 0, "a", "k" + std::to_string(i), 1));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log.machine.state().commands.size());
    CPPUNIT_ASSERT_EQUAL(std::string("request_too_old"), log.Apply(first).code);
    // Without a seen_revision, the base revision of the object still prevents a second run.
    first.command.seen_revision = 0;
    CPPUNIT_ASSERT(log.Apply(first).status == ApplyStatus::kConflict);
  }

  void ConcurrentCommandsConflict() {
    TestLog log;
    const auto created = log.Apply(MakeRollout("q1", 0, "v1"));
    const ControlRollout pause{{.request_id = "q2", .base_revision = created.revision},
                               created.object,
                               RolloutAction::kPause};
    ControlRollout cancel = pause;
    cancel.command.request_id = "q3";
    cancel.action = RolloutAction::kCancel;
    // Progress recorded by the leader does not make an operator's base revision stale.
    log.Apply(AdvanceRollout{created.object, "start"});
    CPPUNIT_ASSERT(log.Apply(pause).ok());
    const auto rejected = log.Apply(cancel);
    CPPUNIT_ASSERT(rejected.status == ApplyStatus::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("q2"), rejected.conflicting_request_id);
    CPPUNIT_ASSERT_EQUAL(std::string("paused"), log.machine.FindRollout(created.object)->state);
    // Commands on different objects do not conflict.
    CPPUNIT_ASSERT(log.Apply(MakeRollout("q4", 0, "v1", "m2")).ok());
    CPPUNIT_ASSERT(log.Apply(MakeRule("q5", 0, "a", "*", 1)).ok());
    CPPUNIT_ASSERT(log.Apply(MakeRule("q6", 0, "a", "*", 2)).status == ApplyStatus::kConflict);
    log.Apply(MakeEndpoint("e"));
    const Revision joined = log.index;
    CPPUNIT_ASSERT(log.Apply(DrainEndpoint{{"q7", joined}, "e"}).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("q7"),
                         log.Apply(DrainEndpoint{{"q8", joined}, "e"}).conflicting_request_id);
    CPPUNIT_ASSERT(log.machine.FindEndpoint("e")->draining);
  }

  void MostSpecificRuleWins() {
    TestLog log;
    log.Apply(MakeRule("q1", 0, "*", "*", 9));
    log.Apply(MakeRule("q2", 0, "*", "k", 3));
    log.Apply(MakeRule("q3", 0, "a", "*", 2));
    log.Apply(MakeRule("q4", 0, "a", "k", 1));
    struct Row {
      const char* account;
      const char* kind;
      std::uint32_t priority;
    };
    const Row rows[] = {{"a", "k", 1}, {"a", "z", 2}, {"b", "k", 3}, {"b", "z", 9}};
    for (const auto& row : rows) {
      CPPUNIT_ASSERT_EQUAL(row.priority, log.machine.FindRule(row.account, row.kind).priority);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, TestLog().machine.FindRule("a", "k").priority);
  }

  void AdapterRequiresBaseVersion() {
    TestLog log;
    auto adapter = MakeRollout("q1", 0, "a1");
    adapter.kind = ArtifactKind::kAdapter;
    adapter.adapter = "letters";
    adapter.base_version = "v1";
    CPPUNIT_ASSERT_EQUAL(std::string("base_missing"), log.Apply(adapter).code);
    auto finish = [&](const std::string& id) {
      log.Apply(AdvanceRollout{id, "start"});
      return log.Apply(AdvanceRollout{id, "complete"});
    };
    CPPUNIT_ASSERT(finish(log.Apply(MakeRollout("q2", 0, "v1")).object).ok());
    adapter.command.request_id = "q3";
    const auto created = log.Apply(adapter);
    CPPUNIT_ASSERT(created.ok());
    CPPUNIT_ASSERT(finish(created.object).ok());
    // A new version of the model takes the adapters of the old version out of service.
    finish(log.Apply(MakeRollout("q4", log.CommandRevision(), "v2")).object);
    CPPUNIT_ASSERT(!log.machine.FindVersionHistory("m", "letters")->last_good);
  }

  void ScheduleTakesEffectOnce() {
    TestLog log;
    const std::vector<ScheduledChange> rows = {
        {Utc(300), MakeRule("", 0, "a", "k", 3)},
        {Utc(100), MakeRule("", 0, "a", "k", 1)},
        {Utc(200), MakeRule("", 0, "a", "k", 2)},
        {Utc(200), MakeRollout("", 0, "v1")},
    };
    const auto sheet = MakeSheet("q1", 0, rows);
    CPPUNIT_ASSERT(log.Apply(sheet).ok());
    CPPUNIT_ASSERT(log.machine.NextScheduledTime() == Utc(100));
    CPPUNIT_ASSERT(log.Apply(ApplySchedule{Utc(99)}).status == ApplyStatus::kUnchanged);
    CPPUNIT_ASSERT(log.Apply(ApplySchedule{Utc(210)}).ok());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, log.machine.FindRule("a", "k").priority);
    CPPUNIT_ASSERT(log.machine.FindVersionHistory("m") != nullptr);
    const auto& applied = log.machine.state().sheet.applied_changes;
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, applied.size());
    CPPUNIT_ASSERT(applied[0].late && !applied[1].late);
    // Neither the same sheet nor a new one that repeats applied rows applies those rows again.
    auto again = sheet;
    again.command = {"q2", 1};
    CPPUNIT_ASSERT(log.Apply(again).status == ApplyStatus::kUnchanged);
    auto extended = rows;
    extended.push_back({Utc(400), MakeRule("", 0, "a", "k", 4)});
    CPPUNIT_ASSERT(log.Apply(MakeSheet("q3", 1, extended)).ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.machine.state().sheet.pending.size());
    log.Apply(ApplySchedule{Utc(250)});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, log.machine.FindRule("a", "k").priority);
    CPPUNIT_ASSERT(log.Apply(MakeSheet("q4", 1, {})).status == ApplyStatus::kConflict);
    log.Apply(ApplySchedule{Utc(1000)});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, log.machine.FindRule("a", "k").priority);
  }

  void OlderIncarnationIsRejected() {
    TestLog log;
    log.Apply(MakeEndpoint("e", 5));
    CPPUNIT_ASSERT_EQUAL(std::string("older_incarnation"), log.Apply(MakeEndpoint("e", 4)).code);
    CPPUNIT_ASSERT(!log.Apply(EndpointLeft{"e", 4}).ok());
    CPPUNIT_ASSERT(log.Apply(EndpointLeft{"e", 5}).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("older_incarnation"), log.Apply(MakeEndpoint("e", 4)).code);
    CPPUNIT_ASSERT(log.Apply(MakeEndpoint("e", 5)).ok());
    CPPUNIT_ASSERT_EQUAL(std::string("incarnation_reused"),
                         log.Apply(MakeEndpoint("e", 5, "b")).code);
    log.Apply(MakeProcess("p", 2));
    CPPUNIT_ASSERT_EQUAL(std::string("older_incarnation"), log.Apply(MakeProcess("p", 1)).code);
    log.Apply(ProcessLeft{"p", 2});
    CPPUNIT_ASSERT_EQUAL(std::string("incarnation_reused"), log.Apply(MakeProcess("p", 2)).code);
  }

  void CallRunsAtMostOnce() {
    TestLog log;
    log.Apply(MakeProcess("p", 1));
    CPPUNIT_ASSERT(log.Apply(MakeIntent("k")).status == ApplyStatus::kApplied);
    CPPUNIT_ASSERT(log.Apply(MakeIntent("k")).status == ApplyStatus::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(std::string("key_reused"), log.Apply(MakeIntent("k", "y")).code);
    CPPUNIT_ASSERT_EQUAL(std::string("not_owner"),
                         log.Apply(MakeOutcome("k", CallOutcome::kComplete, "z", "other")).code);
    CPPUNIT_ASSERT(log.Apply(MakeOutcome("k")).status == ApplyStatus::kApplied);
    CPPUNIT_ASSERT(log.Apply(MakeOutcome("k")).status == ApplyStatus::kUnchanged);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome_final"),
                         log.Apply(MakeOutcome("k", CallOutcome::kNotRun)).code);
    CPPUNIT_ASSERT(log.Apply(MakeIntent("k")).status == ApplyStatus::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), log.machine.FindCall("acc", "k")->body);
    // A call that was not run may be run with the same key.
    log.Apply(MakeIntent("k2"));
    log.Apply(MakeOutcome("k2", CallOutcome::kNotRun));
    const auto second = With(MakeIntent("k2"), [](auto& r) { r.attempt = 2; });
    CPPUNIT_ASSERT(log.Apply(MakeIntent("k2")).status == ApplyStatus::kDuplicate);
    CPPUNIT_ASSERT(log.Apply(second).status == ApplyStatus::kApplied);
    // A delayed duplicate of the first outcome does not end the second attempt.
    const auto late = log.Apply(MakeOutcome("k2", CallOutcome::kNotRun));
    CPPUNIT_ASSERT_EQUAL(std::string("stale_attempt"), late.code);
    CPPUNIT_ASSERT(log.Apply(second).status == ApplyStatus::kDuplicate);
  }

  void CallsOfDeadOwnerBecomeUnknown() {
    for (const bool restart : {false, true}) {
      TestLog log;
      log.Apply(MakeProcess("p", 1));
      log.Apply(MakeProcess("q", 1));
      log.Apply(MakeIntent("k"));
      log.Apply(MakeIntent("k2", "x", kNow, "q"));
      // Restore() has to rebuild the index of pending calls.
      log.machine.Restore(log.machine.CopyState());
      log.Apply(restart ? Record(MakeProcess("p", 2)) : Record(ProcessLeft{"p", 1}));
      CPPUNIT_ASSERT(log.machine.FindCall("acc", "k")->outcome == CallOutcome::kUnknown);
      CPPUNIT_ASSERT(log.machine.FindCall("acc", "k2")->outcome == CallOutcome::kPending);
      CPPUNIT_ASSERT(log.Apply(MakeIntent("k", "x", kNow, "q")).status == ApplyStatus::kDuplicate);
      CPPUNIT_ASSERT_EQUAL(std::string("outcome_final"), log.Apply(MakeOutcome("k")).code);
      CPPUNIT_ASSERT_EQUAL(std::string("owner_not_live"), log.Apply(MakeIntent("k3")).code);
    }
  }

  void KeysOutsideTheWindowAreRejected() {
    // Keys with an issue time (a version 7 UUID or leading milliseconds) and without one.
    const std::string timed = "01a3185c-5000-7000-8000-000000000001";
    CPPUNIT_ASSERT(KeyIssueTime(timed) == Utc(kNow));
    CPPUNIT_ASSERT(KeyIssueTime("1800000000000-a") == Utc(kNow));
    for (const char* key : {"seat-4711", "1234567890123-order", "01a3185c-5000-4000-8000-0000"}) {
      CPPUNIT_ASSERT(!KeyIssueTime(key));
    }
    for (const std::string& key : {timed, std::string("1800000000000-a"), std::string("seat-4")}) {
      TestLog by_count(Limits{.calls = 2});
      by_count.Apply(MakeProcess("p", 1));
      by_count.Apply(MakeIntent(key));
      by_count.Apply(MakeOutcome(key));
      by_count.Apply(MakeIntent("b"));
      CPPUNIT_ASSERT(by_count.Apply(MakeIntent("c")).ok());
      CPPUNIT_ASSERT_EQUAL(std::string("key_expired"), by_count.Apply(MakeIntent(key)).code);
      // Pending calls are never evicted to make room.
      CPPUNIT_ASSERT_EQUAL(std::string("window_full"), by_count.Apply(MakeIntent("d")).code);
      TestLog by_age;
      by_age.Apply(MakeProcess("p", 1));
      by_age.Apply(MakeIntent(key));
      by_age.Apply(MakeIntent("later", "x", kNow + 24 * 3600));
      CPPUNIT_ASSERT(by_age.machine.FindCall("acc", key) == nullptr);
      by_age.machine.Restore(by_age.machine.CopyState());
      const auto late = by_age.Apply(MakeIntent(key, "x", kNow + 24 * 3600));
      CPPUNIT_ASSERT_EQUAL(std::string("key_expired"), late.code);
    }
    TestLog log;
    log.Apply(MakeProcess("p", 1));
    CPPUNIT_ASSERT_EQUAL(std::string("key_from_future"),
                         log.Apply(MakeIntent("1800009000000-a")).code);
  }

  void BodySizesAreLimited() {
    TestLog log(Limits{.call_body_bytes = 10, .call_bodies_total_bytes = 15});
    log.Apply(MakeProcess("p", 1));
    for (const char* key : {"a", "b", "c"}) log.Apply(MakeIntent(key));
    log.Apply(MakeOutcome("a", CallOutcome::kComplete, std::string(11, 'x')));
    log.Apply(MakeOutcome("b", CallOutcome::kComplete, std::string(10, 'y')));
    const Call* large = log.machine.FindCall("acc", "a");
    CPPUNIT_ASSERT(!large->body_kept && large->body.empty());
    CPPUNIT_ASSERT(large->body_digest == Sha256(std::string(11, 'x')));
    CPPUNIT_ASSERT(log.machine.FindCall("acc", "b")->body_kept);
    log.Apply(MakeOutcome("c", CallOutcome::kComplete, std::string(10, 'z')));
    CPPUNIT_ASSERT(!log.machine.FindCall("acc", "b")->body_kept);
    CPPUNIT_ASSERT(log.machine.FindCall("acc", "c")->body_kept);
  }

  // Applies random records to two machines with small limits, one of which is restored from
  // snapshots of the other now and then. Their results must agree, their states must be equal, and
  // the invariants must hold after every record.
  void RandomRecordsAreDeterministic() {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      std::mt19937 random(seed);
      const Limits limits{.commands = 20,
                          .calls = 12,
                          .call_body_bytes = 6,
                          .call_bodies_total_bytes = 40,
                          .evicted_key_hashes = 400,
                          .finished_rollouts = 5,
                          .absent_endpoints = 4,
                          .applied_changes = 9};
      TestLog log(limits);
      TestLog copy(limits);
      std::map<std::string, int> runs;
      std::map<std::string, ApplyResult> answers;
      std::map<std::string, int> applied;
      for (int i = 0; i < 1500; ++i) {
        const Record record = RandomRecord(random, log, i);
        const auto result = log.Apply(record);
        const auto other = copy.Apply(record);
        CPPUNIT_ASSERT(result.status == other.status && result.code == other.code &&
                       result.object == other.object &&
                       result.conflicting_request_id == other.conflicting_request_id);
        if (const auto* intent = std::get_if<IntentRecorded>(&record)) {
          if (result.status == ApplyStatus::kApplied) ++runs[intent->key];
          CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), runs[intent->key] <= 1);
        }
        if (const auto* outcome = std::get_if<OutcomeRecorded>(&record)) {
          const bool not_run = outcome->outcome == CallOutcome::kNotRun;
          if (not_run && result.status == ApplyStatus::kApplied) --runs[outcome->key];
        }
        if (const auto* command = std::get_if<SetRule>(&record)) {
          const std::string& id = command->command.request_id;
          if (result.status == ApplyStatus::kDuplicate) {
            CPPUNIT_ASSERT_EQUAL(answers.at(id).revision, result.revision);
          } else if (result.code != "request_id_reused") {
            answers[id] = result;
          }
          // Even when the result of a command has been evicted, the command is not applied again.
          if (result.status == ApplyStatus::kApplied) CPPUNIT_ASSERT_EQUAL(1, ++applied[id]);
        }
        if (i % 100 == 0) CPPUNIT_ASSERT(log.machine.state() == copy.machine.state());
        if (random() % 200 == 0) copy.machine.Restore(log.machine.CopyState());
      }
      CPPUNIT_ASSERT(log.machine.state().calls.size() <= limits.calls);
      CPPUNIT_ASSERT(log.machine.state().commands.size() <= limits.commands);
    }
  }

 private:
  static Record RandomRecord(std::mt19937& random, const TestLog& log, int i) {
    auto pick = [&](const char* prefix, unsigned n) {
      return prefix + std::to_string(random() % n);
    };
    const std::string process = pick("p", 2);
    const auto& processes = log.machine.state().processes;
    const auto known = processes.find(process);
    const std::uint64_t incarnation =
        known == processes.end() ? 1 : known->second.info.incarnation + random() % 2;
    const VersionHistory* history = log.machine.FindVersionHistory("m");
    const std::string rollout = history == nullptr ? "r0" : history->rollout_id;
    const std::string request = random() % 4 == 0 ? pick("q", 30) : "n" + std::to_string(i);
    const Revision base = random() % 3 == 0 ? random() % 50 : log.CommandRevision();
    switch (random() % 16) {
      case 0:
        return MakeRollout(request, base, pick("v", 9));
      case 1:
        return ControlRollout{{request, base}, rollout, kRolloutActions.rows[random() % 4].first};
      case 2:
      case 3: {
        const char* events[] = {"start", "open", "swapped", "fail", "complete", "halt", "returned"};
        const Rollout* at = log.machine.FindRollout(rollout);
        return AdvanceRollout{rollout,
                              events[random() % 7],
                              {pick("e", 6)},
                              "",
                              at == nullptr ? 1 : at->batches + 1,
                              at != nullptr && IsRollingBack(*at)};
      }
      case 4: {
        const std::string id = pick("s", 200);
        return MakeRule(id, 0, "acc", "kind" + id, 1);
      }
      case 5:
        return MakeSheet(request, log.machine.state().sheet.command_revision,
                         {{Utc(1000 + i), MakeRule("", 0, "acc", pick("k", 3), 1 + i % 9)},
                          {Utc(1000 + i + random() % 50), MakeRollout("", 0, pick("v", 9))}});
      case 6:
        return ApplySchedule{Utc(1000 + i)};
      case 7:
        return MakeEndpoint(pick("e", 12), random() % 5);
      case 8:
        return EndpointLeft{pick("e", 12), random() % 5, "gone"};
      case 9:
        return random() % 3 == 0 ? Record(MakeProcess(process, incarnation))
                                 : Record(ProcessLeft{process, random() % 2});
      case 10:
      case 11:
      case 12:
        return With(MakeIntent(pick("k", 300), "x", kNow + i * 20, process, incarnation),
                    [&](auto& r) { r.attempt = 1 + random() % 2; });
      default: {
        const auto& calls = log.machine.state().calls;
        if (calls.empty()) return NoOp{};
        auto it = calls.begin();
        std::advance(it, random() % calls.size());
        const Call& call = it->second;
        return MakeOutcome(call.key, kCallOutcomes.rows[1 + random() % 3].first,
                           std::string(random() % 9, 'b'), call.owner, call.owner_incarnation,
                           random() % 3 == 0 ? 1 : call.attempt);
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);

}  // namespace
}  // namespace wagtailslip::config
