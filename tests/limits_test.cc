#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/traffic/ejector.h"
#include "wagtailslip/traffic/rate_limiter.h"
#include "wagtailslip/traffic/retry_budget.h"

namespace wagtailslip::traffic {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration d) { return TimePoint(d); }

const LimitKey kKey{"account", "*"};
constexpr double kLimit = 100;
constexpr Duration kStep = milliseconds(50);

/// Several limiters with different clocks, joined by links that delay and lose messages.
class LimiterGroup {
 public:
  explicit LimiterGroup(int size) {
    for (int i = 0; i < size; ++i) members_.push_back("p" + std::to_string(i));
    for (int i = 0; i < size; ++i) {
      demand_.push_back(0);
      incarnation_.push_back(0);
      limiters_.emplace_back();
      cut_.push_back(false);
      Restart(i);
    }
  }

  void Restart(int i) {
    limiters_[i] = std::make_unique<RateLimiter>("p" + std::to_string(i), ++incarnation_[i]);
    // A machine that was restarted has another clock.
    offset_[i] = seconds(1000 * (i + 1)) - seconds(137) * static_cast<int>(incarnation_[i]);
    limiters_[i]->SetLease(Local(i) + seconds(2));
    limiters_[i]->SetMembers(members_, Local(i));
    apply_at_.erase(i);
    pending_[i].clear();
    limiters_[i]->SetLimit(kKey, kLimit, Local(i));
  }

  /// Commits another set of members; each process applies it some time later.
  void Commit(std::vector<std::string> members, std::uint32_t delays) {
    members_ = std::move(members);
    for (int i = 0; i < static_cast<int>(limiters_.size()); ++i) {
      pending_[i].push_back(members_);
      apply_at_[i] = now_ + milliseconds(delays >> 4 * i & 15) * 100;
    }
  }

  TimePoint Local(int i) { return At(now_ + offset_[i]); }

  void Step(Duration delay, bool lose) {
    now_ += kStep;
    for (std::size_t n = 0; n < limiters_.size(); ++n) {
      const int i = static_cast<int>(n);
      const auto apply = apply_at_.find(i);
      if (apply != apply_at_.end() && !cut_[i] && apply->second <= now_) {
        // A log gives each set in order; a snapshot skips some.
        const auto sets = std::move(pending_[i]);
        pending_[i].clear();
        if (sets.size() % 2 == 0) {
          limiters_[i]->SetMembers(members_, Local(i), true);
        } else {
          for (const auto& members : sets) limiters_[i]->SetMembers(members, Local(i));
        }
        apply_at_.erase(apply);
      }
      // Only a process that has applied what is committed gets its lease renewed.
      if (!cut_[i] && !apply_at_.contains(i)) limiters_[i]->SetLease(Local(i) + seconds(2));
      owed_[i] += demand_[i] * ToSeconds(kStep);
      for (; owed_[i] >= 1; owed_[i] -= 1) {
        passed_[i] += limiters_[i]->Take("account", "alert", Local(i)).allowed ? 1 : 0;
      }
      Send(i, limiters_[i]->Tick(Local(i)), delay, lose);
    }
    while (!network_.empty() && network_.begin()->first <= now_) {
      auto [to, message] = network_.begin()->second;
      network_.erase(network_.begin());
      if (cut_[to]) continue;
      Send(to, limiters_[to]->OnMessage(message, Local(to)), delay, false);
    }
  }

  double Sum() {
    double sum = 0;
    for (std::size_t i = 0; i < limiters_.size(); ++i) sum += Share(static_cast<int>(i));
    return sum;
  }
  double Share(int i) { return limiters_[i]->Share(kKey, Local(i)); }

  void Run(Duration time) {
    for (const Duration end = now_ + time; now_ < end;) Step(milliseconds(5), false);
  }

  std::vector<double> demand_;
  std::vector<bool> cut_;
  std::map<int, int> passed_;

 private:
  void Send(int from, std::vector<LimitMessage> messages, Duration delay, bool lose) {
    for (auto& message : messages) {
      const std::string to = std::visit([](const auto& m) { return m.to; }, message);
      if (lose || cut_[from]) continue;
      const int number = std::stoi(to.substr(1));
      const Duration way = number == from ? Duration(0) : delay;
      network_.emplace(now_ + way, std::pair(number, std::move(message)));
    }
  }

  Duration now_ = seconds(0);
  std::vector<std::string> members_;
  std::map<int, Duration> apply_at_;
  std::map<int, std::vector<std::vector<std::string>>> pending_;
  std::vector<std::uint64_t> incarnation_;
  std::vector<std::unique_ptr<RateLimiter>> limiters_;
  std::map<int, Duration> offset_;
  std::map<int, double> owed_;
  std::multimap<Duration, std::pair<int, LimitMessage>> network_;
};

class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(SharesFollowDemand);
  CPPUNIT_TEST(CutOffProcessLosesItsShareAndFreesItsLoans);
  CPPUNIT_TEST(SharesNeverExceedTheLimit);
  CPPUNIT_TEST(LoanWithoutACurrentStampIsNotUsed);
  CPPUNIT_TEST(NewHomeGetsNoLoanBeforeTheOldOneEnds);
  CPPUNIT_TEST(LimitForEachAccountIsSeparate);
  CPPUNIT_TEST(RetriesStayWithinTheBudget);
  CPPUNIT_TEST(OuterRetriesEarnNothing);
  CPPUNIT_TEST(FloorAndSoleEndpointHold);
  CPPUNIT_TEST(EjectionBacksOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An even split alone would let an account whose callers use one process get a quarter of its
  // limit.
  void SharesFollowDemand() {
    LimiterGroup group(4);
    group.demand_ = {200, 2, 0, 0};
    group.Run(seconds(10));
    CPPUNIT_ASSERT(group.Share(0) > 85);
    CPPUNIT_ASSERT(group.Share(1) >= 2);
    CPPUNIT_ASSERT(group.Sum() <= kLimit + 1e-6);
    group.demand_ = {200, 200, 200, 200};
    group.Run(seconds(10));
    for (int i = 0; i < 4; ++i) CPPUNIT_ASSERT_DOUBLES_EQUAL(25, group.Share(i), 1);
    group.passed_.clear();
    group.Run(seconds(10));
    int passed = 0;
    for (const auto& [i, count] : group.passed_) passed += count;
    CPPUNIT_ASSERT(passed <= 1010 && passed >= 950);
  }

  void CutOffProcessLosesItsShareAndFreesItsLoans() {
    LimiterGroup group(4);
    group.demand_ = {200, 0, 0, 0};
    group.Run(seconds(10));
    group.cut_[0] = true;
    group.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0.0, group.Share(0));
    group.demand_ = {200, 30, 30, 30};
    group.Run(seconds(5));
    for (int i = 1; i < 4; ++i) CPPUNIT_ASSERT(group.Share(i) >= 24);
  }

  // The sum of the shares stays within the limit under late and lost messages, processes that are
  // cut off, restarts and changes of the members.
  void SharesNeverExceedTheLimit() {
    CPPUNIT_ASSERT(rc::check("sum of shares", [] {
      LimiterGroup group(4);
      const auto events =
          *rc::gen::container<std::vector<std::uint32_t>>(60, rc::gen::arbitrary<std::uint32_t>());
      for (const std::uint32_t event : events) {
        const int target = static_cast<int>(event & 3);
        switch (event >> 2 & 7) {
          case 0:
            group.cut_[target] = !group.cut_[target];
            break;
          case 1:
            group.Restart(target);
            break;
          case 2: {
            std::vector<std::string> members;
            for (int i = 0; i < 4; ++i) {
              if ((event >> 5 & 15) == 0 || (event >> (5 + i) & 1) != 0) {
                members.push_back("p" + std::to_string(i));
              }
            }
            group.Commit(std::move(members), event >> 9);
            break;
          }
          default:
            group.demand_[target] = event >> 5 & 127;
        }
        const Duration delay = milliseconds(event >> 12 & 1023);
        for (std::uint32_t i = 0; i < (event >> 22 & 31); ++i) {
          group.Step(delay, (event >> 27 & 3) == 0);
          RC_ASSERT(group.Sum() <= kLimit + 1e-6);
        }
      }
    }));
  }

  // A restarted home that trusted a stamp of its earlier clock would use a loan after its end.
  void LoanWithoutACurrentStampIsNotUsed() {
    for (const std::uint64_t incarnation : {1, 2}) {
      // The only member is the home of each key.
      RateLimiter home("a", 2);
      home.SetLease(TimePoint::max());
      home.SetMembers({"a"}, At(seconds(0)));
      home.SetLimit(kKey, kLimit, At(seconds(0)));
      const LocalStamp echo{incarnation, Duration(seconds(10)).count()};
      home.OnMessage(ShareReport{"x", "a", {1, 1}, echo, {{kKey, 0, 30}}}, At(seconds(10)));
      const auto replies =
          home.OnMessage(ShareReport{"y", "a", {1, 1}, {}, {{kKey, 200, 0}}}, At(seconds(10)));
      const double rate = std::get<ShareGrant>(replies.at(0)).rows.at(0).rate;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(incarnation == 2 ? 30.0 : 0.0, rate, 1e-6);
    }
  }

  // Two homes that both use the same loan would pass the limit.
  void NewHomeGetsNoLoanBeforeTheOldOneEnds() {
    RateLimiter lender("p0", 1);
    lender.SetLease(TimePoint::max());
    lender.SetLimit(kKey, kLimit, At(seconds(0)));
    const auto lent = [&](Duration at) {
      double sum = 0;
      for (const auto& message : lender.Tick(At(at))) {
        sum += std::get<ShareReport>(message).rows.at(0).lent;
      }
      return sum;
    };
    // Members that are the key's home beside p0, one after the other.
    std::vector<std::string> homes;
    for (int i = 1; homes.size() < 2; ++i) {
      const std::string other = "p" + std::to_string(i);
      lender.SetMembers({"p0", other}, At(seconds(0)));
      if (lender.Status(kKey, At(seconds(0)))->home == other) homes.push_back(other);
      lender.OnMessage(ShareGrant{other, "p0", {1, 1}, {}, {}}, At(seconds(0)));
    }
    lender.SetMembers({"p0", homes[0]}, At(seconds(0)));
    CPPUNIT_ASSERT(lent(seconds(10)) > 0);
    lender.SetMembers({"p0", homes[1]}, At(seconds(11)));
    CPPUNIT_ASSERT_EQUAL(0.0, lent(seconds(11)));
    CPPUNIT_ASSERT(lent(seconds(14)) > 0);
  }

  void LimitForEachAccountIsSeparate() {
    RateLimiter limiter("p", 1);
    limiter.SetLease(TimePoint::max());
    limiter.SetMembers({"p"}, At(seconds(0)));
    limiter.SetLimit({"*", "quote"}, 2, At(seconds(0)));
    const auto pass = [&](const std::string& account, const std::string& kind) {
      int passed = 0;
      for (int i = 0; i < 10; ++i) {
        passed += limiter.Take(account, kind, At(seconds(10))).allowed ? 1 : 0;
      }
      return passed;
    };
    const int first = pass("a", "quote");
    CPPUNIT_ASSERT(first >= 1 && first <= 2);
    CPPUNIT_ASSERT_EQUAL(first, pass("b", "quote"));
    CPPUNIT_ASSERT_EQUAL(10, pass("a", "stock"));
    const LimitDecision refused = limiter.Take("a", "quote", At(seconds(10)));
    CPPUNIT_ASSERT(refused.retry_after > Duration(0));
    CPPUNIT_ASSERT(limiter.Take("a", "quote", At(seconds(10)) + refused.retry_after).allowed);
  }

  // Retries of a failing endpoint must not multiply the load.
  void RetriesStayWithinTheBudget() {
    RetryBudget budget;
    int taken = 0;
    TimePoint now{};
    for (int i = 0; i < 10000; ++i) {
      now += milliseconds(1);
      budget.OnRequest(false, now);
      taken += budget.Take(now) ? 1 : 0;
    }
    const double most =
        10000 * RetryBudget::kShare + RetryBudget::kReserve + 10 * RetryBudget::kReserveRate;
    CPPUNIT_ASSERT(taken <= most);
    CPPUNIT_ASSERT(taken >= 0.8 * 10000 * RetryBudget::kShare);
  }

  void OuterRetriesEarnNothing() {
    RetryBudget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnRequest(true, TimePoint{});
      taken += budget.Take(TimePoint{}) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(RetryBudget::kReserve), taken);
  }

  // Ejecting a sole replica, or most of a pool, would turn some failures into a full outage.
  void FloorAndSoleEndpointHold() {
    CPPUNIT_ASSERT(rc::check("floor", [] {
      Ejector ejector;
      std::map<std::string, std::string> pools;
      TimePoint now{};
      const auto events =
          *rc::gen::container<std::vector<std::uint16_t>>(200, rc::gen::arbitrary<std::uint16_t>());
      for (const std::uint16_t event : events) {
        now += milliseconds(event >> 8);
        const std::string id = std::to_string(event & 7);
        switch (event >> 3 & 7) {
          case 0:
            pools[id] = (event & 1) != 0 ? "odd" : "even";
            ejector.Add(id, pools[id]);
            break;
          case 1:
            pools.erase(id);
            ejector.Remove(id);
            break;
          case 2:
            ejector.StartProbe(id, now);
            break;
          default:
            ejector.OnResult(id, static_cast<AttemptResult>((event >> 6 & 3) + (event >> 15 & 1)),
                             now);
        }
        std::map<std::string, std::pair<int, int>> count;
        for (const auto& [name, pool] : pools) {
          const EndpointHealth* health = ejector.Find(name);
          RC_ASSERT(health != nullptr);
          ++count[pool].first;
          count[pool].second += ejector.Allows(*health) ? 0 : 1;
        }
        for (const auto& [pool, pair] : count) RC_ASSERT(2 * pair.second <= pair.first);
      }
    }));
  }

  void EjectionBacksOff() {
    Ejector ejector;
    for (const char* id : {"a", "b", "c"}) ejector.Add(id, "m");
    TimePoint now{};
    Duration expected = seconds(1);
    for (int i = 0; i < 8; ++i) {
      ejector.OnResult("a", AttemptResult::kTimeout, now);
      const EndpointHealth& health = *ejector.Find("a");
      CPPUNIT_ASSERT(!ejector.Allows(health));
      CPPUNIT_ASSERT(!ejector.WantsProbe(health, now + expected - milliseconds(1)));
      CPPUNIT_ASSERT(ejector.WantsProbe(health, now + expected));
      now += expected;
      ejector.StartProbe("a", now);
      CPPUNIT_ASSERT(!ejector.WantsProbe(health, now));
      expected = std::min<Duration>(2 * expected, seconds(30));
    }
    ejector.OnResult("a", AttemptResult::kSuccess, now);
    CPPUNIT_ASSERT(ejector.Allows(*ejector.Find("a")));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

}  // namespace
}  // namespace wagtailslip::traffic
