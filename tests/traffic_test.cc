#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "wagtailslip/base/error.h"
#include "wagtailslip/traffic/answer_check.h"
#include "wagtailslip/traffic/call_policy.h"

namespace wagtailslip::traffic {
namespace {

using config::CallClass;

struct AnswerRow {
  const char* name;
  AnswerHeader header;
  std::vector<std::string> pieces;
  bool lost;
  AnswerVerdict verdict;
  const char* forwarded;
};

const std::string kVersion = Sha256("v1").Hex();

AnswerHeader Header(AnswerFraming framing, std::uint64_t length = 0) {
  return {"r1", kVersion, framing, length};
}

// Each row guards against one way in which a caller could get an answer that is not its own or
// not whole.
const AnswerRow kAnswerRows[] = {
    {"whole body",
     Header(AnswerFraming::kContentLength, 5),
     {"ab", "cde"},
     false,
     AnswerVerdict::kComplete,
     "abcde"},
    {"swapped answer",
     {"r2", kVersion, AnswerFraming::kContentLength, 1},
     {"a"},
     false,
     AnswerVerdict::kWrongRequest,
     ""},
    {"no id",
     {"", kVersion, AnswerFraming::kContentLength, 1},
     {"a"},
     false,
     AnswerVerdict::kMissingIdentity,
     ""},
    {"no version",
     {"r1", "", AnswerFraming::kContentLength, 1},
     {"a"},
     false,
     AnswerVerdict::kMissingIdentity,
     ""},
    {"other version",
     {"r1", Sha256("v2").Hex(), AnswerFraming::kChunked, 0},
     {"a"},
     false,
     AnswerVerdict::kWrongVersion,
     ""},
    {"short body",
     Header(AnswerFraming::kContentLength, 5),
     {"abc"},
     false,
     AnswerVerdict::kTruncated,
     "abc"},
    {"long body",
     Header(AnswerFraming::kContentLength, 2),
     {"abc"},
     false,
     AnswerVerdict::kTooLong,
     ""},
    {"chunked body cut",
     Header(AnswerFraming::kChunked),
     {"abc"},
     true,
     AnswerVerdict::kTruncated,
     "abc"},
    {"whole stream, events straddle pieces",
     Header(AnswerFraming::kEventStream),
     {"id: 0\ndata: a\n", "\nid: 1\ndata: b\n\nda", "ta: [DONE]\n\n"},
     false,
     AnswerVerdict::kComplete,
     "id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n"},
    {"carriage returns",
     Header(AnswerFraming::kEventStream),
     {"id: 0\r\ndata: a\r\n\r", "\ndata: [DONE]\r\n\r\n"},
     false,
     AnswerVerdict::kComplete,
     "id: 0\r\ndata: a\r\n\r\ndata: [DONE]\r\n\r\n"},
    {"no end marker",
     Header(AnswerFraming::kEventStream),
     {"id: 0\ndata: a\n\n"},
     false,
     AnswerVerdict::kTruncated,
     "id: 0\ndata: a\n\n"},
    {"cut inside an event",
     Header(AnswerFraming::kEventStream),
     {"id: 0\ndata: a\n\nid: 1\nda"},
     true,
     AnswerVerdict::kTruncated,
     "id: 0\ndata: a\n\n"},
    {"lost after the end",
     Header(AnswerFraming::kEventStream),
     {"data: [DONE]\n\n"},
     true,
     AnswerVerdict::kComplete,
     "data: [DONE]\n\n"},
    {"gap",
     Header(AnswerFraming::kEventStream),
     {"id: 0\ndata: a\n\nid: 2\ndata: c\n\n"},
     false,
     AnswerVerdict::kTokenGap,
     "id: 0\ndata: a\n\n"},
    {"repetition",
     Header(AnswerFraming::kEventStream),
     {"id: 0-2\ndata: abc\n\nid: 2\ndata: c\n\n"},
     false,
     AnswerVerdict::kTokenRepeated,
     "id: 0-2\ndata: abc\n\n"},
    {"event without offset",
     Header(AnswerFraming::kEventStream),
     {"id: 0\ndata: a\n\ndata: b\n\n"},
     false,
     AnswerVerdict::kMalformed,
     "id: 0\ndata: a\n\n"},
    // The next offset would wrap to 0 and the same tokens would be accepted again.
    {"largest offset",
     Header(AnswerFraming::kEventStream),
     {"id: 0\ndata: a\n\nid: 1-18446744073709551615\ndata: b\n\n"},
     false,
     AnswerVerdict::kMalformed,
     "id: 0\ndata: a\n\n"},
    {"bytes after the end",
     Header(AnswerFraming::kEventStream),
     {"data: [DONE]\n\nid: 0\ndata: a\n\n"},
     false,
     AnswerVerdict::kTooLong,
     "data: [DONE]\n\n"},
};

class AnswerCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerCheckTest);
  CPPUNIT_TEST(JudgesEachRow);
  CPPUNIT_TEST(EachSplitGivesTheSameResult);
  CPPUNIT_TEST(ResumedStreamHasEachTokenOnce);
  CPPUNIT_TEST(ResumeOnAnotherVersionIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void JudgesEachRow() {
    for (const AnswerRow& row : kAnswerRows) {
      AnswerCheck check("r1", Sha256("v1"));
      std::string forward;
      check.OnHeader(row.header);
      for (const auto& piece : row.pieces) check.OnPiece(piece, forward);
      const AnswerVerdict verdict = row.lost ? check.OnLost() : check.OnEnd();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(kAnswerVerdicts.Name(row.verdict)),
                                   std::string(kAnswerVerdicts.Name(verdict)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.forwarded), forward);
    }
  }

  // An event boundary that falls on a piece boundary must not be missed.
  void EachSplitGivesTheSameResult() {
    const std::string body = "id: 0\r\ndata: a\r\n\r\nid: 1\ndata: b\n\ndata: [DONE]\n\n";
    for (std::size_t first = 0; first <= body.size(); ++first) {
      for (std::size_t second = first; second <= body.size(); ++second) {
        AnswerCheck check("r1");
        check.OnHeader({"r1", "", AnswerFraming::kEventStream, 0});
        std::string forward;
        check.OnPiece(std::string_view(body).substr(0, first), forward);
        check.OnPiece(std::string_view(body).substr(first, second - first), forward);
        check.OnPiece(std::string_view(body).substr(second), forward);
        CPPUNIT_ASSERT(check.OnEnd() == AnswerVerdict::kComplete);
        CPPUNIT_ASSERT_EQUAL(body, forward);
      }
    }
  }

  void ResumedStreamHasEachTokenOnce() {
    AnswerCheck check("r1", Sha256("v1"));
    std::string forward;
    check.OnHeader(Header(AnswerFraming::kEventStream));
    check.OnPiece("id: 0\ndata: a\n\nid: 1\ndata: b", forward);
    CPPUNIT_ASSERT(check.OnLost() == AnswerVerdict::kTruncated);
    CPPUNIT_ASSERT(check.resumable());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, check.next_token());
    check.Resume();
    check.OnHeader(Header(AnswerFraming::kEventStream));
    check.OnPiece("id: 1\ndata: b\n\ndata: [DONE]\n\n", forward);
    CPPUNIT_ASSERT(check.OnEnd() == AnswerVerdict::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n"),
                         forward);
  }

  void ResumeOnAnotherVersionIsRefused() {
    AnswerCheck check("r1", Sha256("v1"));
    std::string forward;
    check.OnHeader(Header(AnswerFraming::kEventStream));
    check.OnPiece("id: 0\ndata: a\n\n", forward);
    check.OnLost();
    check.Resume();
    const AnswerHeader other{"r1", Sha256("v2").Hex(), AnswerFraming::kEventStream, 0};
    CPPUNIT_ASSERT(check.OnHeader(other) == AnswerVerdict::kWrongVersion);
    check.OnPiece("id: 1\ndata: b\n\n", forward);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: a\n\n"), forward);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerCheckTest);

class CallPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallPolicyTest);
  CPPUNIT_TEST(NotRunOnlyWhereNothingCanHaveRun);
  CPPUNIT_TEST(AtMostOnceIsNeverSentTwice);
  CPPUNIT_TEST(EarlierAttemptsCount);
  CPPUNIT_TEST(StartedAnswersAreResumedOrCut);
  CPPUNIT_TEST_SUITE_END();

  template <typename F>
  static void ForEach(F body) {
    for (const auto& call_class : config::kCallClasses.rows) {
      for (const auto& progress : kCallProgresses.rows) {
        for (const auto& failure : kCallFailures.rows) {
          body(call_class.first, progress.first, failure.first);
        }
      }
    }
  }

 public:
  // Invariant: a caller that is told `not-run` can rely on it.
  void NotRunOnlyWhereNothingCanHaveRun() {
    ForEach([](CallClass call_class, CallProgress progress, CallFailure failure) {
      const CallRule rule = RuleFor(call_class, progress, failure);
      CPPUNIT_ASSERT(rule.preferred != CallAction::kAnswerNotRun);
      if (rule.fallback != CallAction::kAnswerNotRun) return;
      CPPUNIT_ASSERT(progress != CallProgress::kAnswerStarted);
      CPPUNIT_ASSERT(progress == CallProgress::kNothingSent || failure == CallFailure::kRefused);
    });
  }

  void AtMostOnceIsNeverSentTwice() {
    ForEach([](CallClass call_class, CallProgress progress, CallFailure failure) {
      if (call_class != CallClass::kAtMostOnce) return;
      const CallRule rule = RuleFor(call_class, progress, failure);
      if (rule.preferred != CallAction::kRetryElsewhere) return;
      CPPUNIT_ASSERT(progress == CallProgress::kNothingSent || failure == CallFailure::kRefused);
    });
  }

  // A refusal by the second endpoint must not hide that the first one got the request.
  void EarlierAttemptsCount() {
    CallPolicy policy(CallClass::kRepeatable);
    policy.OnBytesSent();
    CPPUNIT_ASSERT(policy.OnFailure(CallFailure::kTimeout, true) == CallAction::kRetryElsewhere);
    CPPUNIT_ASSERT(policy.OnFailure(CallFailure::kConnect, false) == CallAction::kAnswerUnknown);
    CallPolicy refused(CallClass::kAtMostOnce);
    refused.OnBytesSent();
    CPPUNIT_ASSERT(refused.OnFailure(CallFailure::kRefused, true) == CallAction::kRetryElsewhere);
    CPPUNIT_ASSERT(refused.OnFailure(CallFailure::kConnect, false) == CallAction::kAnswerNotRun);
    CPPUNIT_ASSERT(refused.GiveUp() == CallAction::kAnswerNotRun);
    refused.OnBytesSent();
    CPPUNIT_ASSERT(refused.OnFailure(CallFailure::kTimeout, true) == CallAction::kAnswerUnknown);
  }

  void StartedAnswersAreResumedOrCut() {
    ForEach([](CallClass call_class, CallProgress progress, CallFailure failure) {
      if (progress != CallProgress::kAnswerStarted) return;
      const CallRule rule = RuleFor(call_class, progress, failure);
      CPPUNIT_ASSERT(rule.fallback == CallAction::kCutStream);
      CPPUNIT_ASSERT(
          rule.preferred == CallAction::kCutStream ||
          (rule.preferred == CallAction::kResumeStream && call_class != CallClass::kAtMostOnce));
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallPolicyTest);

}  // namespace
}  // namespace wagtailslip::traffic
