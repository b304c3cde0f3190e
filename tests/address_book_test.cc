#include "wagtailslip/directory/address_book.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace wagtailslip::directory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration d) { return TimePoint(d); }

class AddressBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressBookTest);
  CPPUNIT_TEST(NearestFirst);
  CPPUNIT_TEST(EquallyNearProcessesAreRotated);
  CPPUNIT_TEST(CallersOfADeadProcessAreDistributed);
  CPPUNIT_TEST(LeavingProcessStaysWithdrawn);
  CPPUNIT_TEST(WithoutALeaseNothingIsCached);
  CPPUNIT_TEST(ExitWaitsUntilCachedAnswersExpire);
  CPPUNIT_TEST_SUITE_END();

  // Two processes in each of two failure domains of r1 and one in r2. Addresses equal the ids.
  static AddressBook MakeBook() {
    AddressBook book("a1");
    for (const char* row : {"a1 r1 da", "a2 r1 da", "b1 r1 db", "b2 r1 db", "c1 r2 dc"}) {
      const std::string text(row);
      const std::string id = text.substr(0, 2);
      book.Update({id, 1, id, {text.substr(3, 2), text.substr(6)}, ProcessState::kLive});
    }
    return book;
  }

 public:
  void NearestFirst() {
    AddressBook book = MakeBook();
    const auto answer = book.Answer({"r1", "db"}, true, At(seconds(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, answer.addresses.size());
    CPPUNIT_ASSERT_EQUAL('b', answer.addresses[0][0]);
    CPPUNIT_ASSERT_EQUAL('b', answer.addresses[1][0]);
    CPPUNIT_ASSERT_EQUAL('a', answer.addresses[2][0]);
    CPPUNIT_ASSERT_EQUAL('c', answer.addresses[4][0]);
    CPPUNIT_ASSERT(answer.max_age == seconds(5));
  }

  void EquallyNearProcessesAreRotated() {
    AddressBook book = MakeBook();
    std::map<std::string, int> first;
    for (int i = 0; i < 100; ++i) {
      ++first[book.Answer({"r1", ""}, true, At(seconds(0))).addresses[0]];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.size());
    for (const auto& [id, count] : first) CPPUNIT_ASSERT_EQUAL(25, count);
  }

  void CallersOfADeadProcessAreDistributed() {
    AddressBook book = MakeBook();
    book.MarkDead("a1", 1);
    std::map<std::string, int> first;
    for (int i = 0; i < 90; ++i) {
      ++first[book.Answer({"r1", ""}, true, At(seconds(0))).addresses[0]];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.size());
    for (const auto& [id, count] : first) CPPUNIT_ASSERT_EQUAL(30, count);
  }

  // Guards against a late heartbeat that adds a leaving process to the answers again.
  void LeavingProcessStaysWithdrawn() {
    AddressBook book = MakeBook();
    CPPUNIT_ASSERT(book.Update({"a1", 1, "a1", {"r1", "da"}, ProcessState::kLeaving}));
    CPPUNIT_ASSERT(!book.Update({"a1", 1, "a1", {"r1", "da"}, ProcessState::kLive}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         book.Answer({"r1", ""}, true, At(seconds(0))).addresses.size());
    book.MarkDead("a1", 1);
    CPPUNIT_ASSERT(!book.Update({"a1", 1, "a1", {"r1", "da"}, ProcessState::kLive}));
    CPPUNIT_ASSERT(book.Update({"a1", 2, "a1", {"r1", "da"}, ProcessState::kLive}));
    CPPUNIT_ASSERT(!book.Update({"a1", 1, "a1", {"r1", "da"}, ProcessState::kLeaving}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5},
                         book.Answer({"r1", ""}, true, At(seconds(0))).addresses.size());
    // A process that was only presumed dead becomes live again.
    book.MarkDead("b1", 1);
    CPPUNIT_ASSERT(book.Update({"b1", 1, "b1", {"r1", "db"}, ProcessState::kLive}));
  }

  void WithoutALeaseNothingIsCached() {
    AddressBook book = MakeBook();
    const auto answer = book.Answer({"r1", "da"}, false, At(seconds(0)));
    CPPUNIT_ASSERT(answer.max_age == seconds(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, answer.addresses.size());
    CPPUNIT_ASSERT(book.AnswersExpireIn("a2", At(seconds(0))) == seconds(0));
  }

  void ExitWaitsUntilCachedAnswersExpire() {
    AddressBook book = MakeBook();
    book.Answer({"r1", "da"}, true, At(seconds(10)));
    CPPUNIT_ASSERT(book.AnswersExpireIn("a1", At(seconds(12))) == seconds(3));
    ExitPlan plan({"a1", "a2"}, At(seconds(12)));
    // Without confirmations, wait for the peer's lease to end and then for its last answer to
    // expire.
    CPPUNIT_ASSERT(plan.MayExitAt() == At(seconds(12) + kPeerLease + kAnswerMaxAge + kExitMargin));
    plan.OnConfirmed("a1", seconds(3), At(seconds(12)));
    plan.OnConfirmed("a2", seconds(5), At(milliseconds(12100)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan.unconfirmed());
    CPPUNIT_ASSERT(plan.MayExitAt() == At(milliseconds(17100) + kExitMargin));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AddressBookTest);

}  // namespace
}  // namespace wagtailslip::directory
