#include "wagtailslip/traffic/fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace wagtailslip::traffic {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The same cases in each run; RC_PARAMS from outside takes precedence.
const int kSeedSet = setenv("RC_PARAMS", "seed=690 max_success=1000", 0);

TimePoint At(Duration d) { return TimePoint(d); }

QueueItem Item(std::uint64_t id, const std::string& account, double tokens = 100,
               std::uint32_t priority = 5, Duration deadline = seconds(60)) {
  return {id, account, "model", priority, 1.0, tokens, At(deadline)};
}

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(SmallAccountGoesFirst);
  CPPUNIT_TEST(WeightsShareTheTokens);
  CPPUNIT_TEST(LowestClassIsNotStarved);
  CPPUNIT_TEST(HopelessRequestIsRefusedAtOnceWithRetryTime);
  CPPUNIT_TEST(TightDeadlineIsTriedWhereASlotIsFree);
  CPPUNIT_TEST(ExpiredRequestIsRefusedAtOnce);
  CPPUNIT_TEST(FullPoolDisplacesTheLongestBacklog);
  CPPUNIT_TEST(EachRequestEndsOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A flood of one account must not delay the single request of another.
  void SmallAccountGoesFirst() {
    FairQueue queue;
    queue.SetSlots("model", 1);
    for (std::uint64_t id = 1; id <= 100; ++id) queue.Offer(Item(id, "large"), At(seconds(0)));
    CPPUNIT_ASSERT(queue.Advance(At(seconds(0))).dispatched == std::vector<std::uint64_t>{1});
    queue.Offer(Item(200, "small"), At(seconds(0)));
    queue.Finish(1, At(milliseconds(10)));
    CPPUNIT_ASSERT(queue.Advance(At(milliseconds(10))).dispatched ==
                   std::vector<std::uint64_t>{200});
  }

  void WeightsShareTheTokens() {
    FairQueue queue;
    std::map<std::string, double> served;
    std::map<std::uint64_t, QueueItem> items;
    for (std::uint64_t id = 1; id <= 400; ++id) {
      QueueItem item = Item(id, id % 2 == 0 ? "a" : "b", 50 + static_cast<double>(id % 7) * 10);
      item.weight = id % 2 == 0 ? 3 : 1;
      items.emplace(id, item);
      queue.Offer(item, At(seconds(0)));
    }
    queue.SetSlots("model", 1);
    for (int i = 0; i < 200; ++i) {
      const auto step = queue.Advance(At(seconds(0)));
      const auto id = step.dispatched.at(0);
      served[items.at(id).account] += items.at(id).tokens;
      queue.Finish(id, At(seconds(0)));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, served["a"] / served["b"], 0.1);
  }

  // Strict priority alone would let a flood of urgent kinds stop all other kinds.
  void LowestClassIsNotStarved() {
    FairQueue queue;
    queue.SetSlots("model", 1);
    for (std::uint64_t id = 1; id <= 1000; ++id) {
      queue.Offer(Item(id, "a", 100, id <= 900 ? 0 : 9), At(seconds(0)));
    }
    int low = 0;
    for (int i = 0; i < 400; ++i) {
      const auto id = queue.Advance(At(seconds(0))).dispatched.at(0);
      low += id > 900 ? 1 : 0;
      queue.Finish(id, At(seconds(0)));
    }
    CPPUNIT_ASSERT(low >= 400 * FairOrder::kClassFloor - 2);
    CPPUNIT_ASSERT(low <= 400 * FairOrder::kFloorTotal);
  }

  void HopelessRequestIsRefusedAtOnceWithRetryTime() {
    FairQueue queue;
    queue.SetSlots("model", 1);
    queue.Offer(Item(1, "a"), At(seconds(0)));
    queue.Advance(At(seconds(0)));
    queue.Finish(1, At(seconds(1)));  // 10 ms a token
    for (std::uint64_t id = 2; id <= 11; ++id) queue.Offer(Item(id, "a"), At(seconds(1)));
    // Ten seconds of work wait; a deadline in two seconds cannot be met.
    const Admission late = queue.Offer(Item(12, "a", 100, 6, seconds(3)), At(seconds(1)));
    CPPUNIT_ASSERT(!late.admitted);
    CPPUNIT_ASSERT(late.refused.at(0).reason == RefusalReason::kDeadline);
    CPPUNIT_ASSERT(late.refused.at(0).retry_after >= seconds(8));
    CPPUNIT_ASSERT(late.refused.at(0).retry_after <= seconds(20));
    // An earlier deadline within the account goes ahead, so an urgent request still fits.
    CPPUNIT_ASSERT(queue.Offer(Item(13, "a", 100, 5, seconds(4)), At(seconds(1))).admitted);
  }

  // An account whose deadlines are shorter than the mean service time must not be shut out.
  void TightDeadlineIsTriedWhereASlotIsFree() {
    FairQueue queue;
    queue.SetSlots("model", 3);
    queue.Offer(Item(1, "a"), At(seconds(0)));
    queue.Advance(At(seconds(0)));
    queue.Finish(1, At(seconds(10)));
    queue.Offer(Item(2, "a"), At(seconds(10)));
    queue.Advance(At(seconds(10)));
    queue.Offer(Item(3, "a", 100, 5, seconds(12)), At(seconds(10)));
    queue.Offer(Item(4, "a", 100, 5, seconds(13)), At(seconds(10)));
    const QueueStep step = queue.Advance(At(seconds(10)));
    CPPUNIT_ASSERT((step.dispatched == std::vector<std::uint64_t>{3, 4}));
  }

  void ExpiredRequestIsRefusedAtOnce() {
    FairQueue queue;
    queue.Offer(Item(1, "a", 100, 5, seconds(2)), At(seconds(0)));
    CPPUNIT_ASSERT(queue.NextExpiry() == At(seconds(2)));
    const QueueStep step = queue.Advance(At(seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, step.refused.size());
    CPPUNIT_ASSERT(step.refused[0].reason == RefusalReason::kExpired);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.queued());
  }

  // A full queue must not lock out an account that has nothing in it.
  void FullPoolDisplacesTheLongestBacklog() {
    FairQueue queue({1000, 10, seconds(30)});
    for (std::uint64_t id = 1; id <= 10; ++id) queue.Offer(Item(id, "large"), At(seconds(0)));
    const Admission small = queue.Offer(Item(11, "small"), At(seconds(0)));
    CPPUNIT_ASSERT(small.admitted);
    CPPUNIT_ASSERT(small.refused.at(0).id == 10);
    CPPUNIT_ASSERT(small.refused.at(0).reason == RefusalReason::kDisplaced);
    CPPUNIT_ASSERT(!queue.Offer(Item(12, "large"), At(seconds(0))).admitted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, queue.queued());
  }

  // No request is lost or run twice: each one is dispatched, refused or cancelled exactly once,
  // under any order of events and with both orders.
  void EachRequestEndsOnce() {
    CPPUNIT_ASSERT_EQUAL(0, kSeedSet);
    const auto property = [](FairQueue::OrderFactory factory) {
      FairQueue queue({5, 20, seconds(5)}, std::move(factory));
      std::map<std::uint64_t, int> ends;
      std::vector<std::uint64_t> running;
      std::uint64_t next = 1;
      TimePoint now{};
      std::uint32_t slots = 0;
      const auto end = [&](const std::vector<Refusal>& refused) {
        for (const auto& refusal : refused) {
          ++ends[refusal.id];
          RC_ASSERT(refusal.retry_after > Duration(0));
        }
      };
      const auto events =
          *rc::gen::container<std::vector<std::uint32_t>>(200, rc::gen::arbitrary<std::uint32_t>());
      for (const std::uint32_t event : events) {
        now += milliseconds(event >> 8 & 127);
        switch (event % 8) {
          case 0:
            slots = event >> 16 & 3;
            queue.SetSlots("model", slots);
            break;
          case 1:
            if (queue.Cancel(event >> 16 & 127)) ++ends[event >> 16 & 127];
            break;
          case 2:
          case 3:
            if (running.empty()) break;
            event & 16 ? queue.Finish(running.back(), now, 1 + (event >> 20))
                       : queue.Abandon(running.back());
            running.pop_back();
            break;
          default: {
            QueueItem item = Item(next, std::string(1, static_cast<char>('a' + (event >> 8 & 3))),
                                  1 + (event >> 12 & 255), event >> 20 & 3);
            item.deadline = now + milliseconds(1 + (event >> 22));
            item.weight = 1 + (event >> 28 & 3);
            ends[next++] = 0;
            end(queue.Offer(item, now).refused);
          }
        }
        const QueueStep step = queue.Advance(now);
        end(step.refused);
        for (const std::uint64_t id : step.dispatched) {
          ++ends[id];
          running.push_back(id);
        }
        RC_ASSERT(queue.running() == running.size());
        RC_ASSERT(step.dispatched.empty() || running.size() <= slots);
        RC_ASSERT(queue.queued() <= 20u);
      }
      std::size_t open = 0;
      for (const auto& [id, count] : ends) {
        RC_ASSERT(count <= 1);
        open += count == 0 ? 1 : 0;
      }
      RC_ASSERT(open == queue.queued());
    };
    CPPUNIT_ASSERT(rc::check("fair order", [&] { property(MakeFairOrder); }));
    CPPUNIT_ASSERT(rc::check("first in, first out", [&] { property(MakeFifoOrder); }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace
}  // namespace wagtailslip::traffic
