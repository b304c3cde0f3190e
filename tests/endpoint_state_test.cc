// What processes know of endpoints, over random orders of announcements, calls to leave and faults.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <string>

#include "endpoint_state_model.h"

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for which an endpoint goes on serving after the confirmation that it leaves.
constexpr Duration kDrainTimeout = seconds(2);
// Time after which what was disturbed serves again.
constexpr Duration kRecovery = seconds(12);

struct Row {
  EndpointStateSettings settings;
  std::uint64_t seeds;
};
const Row kRows[] = {
    {{"calm, small", 3, 4, 6, false, false, seconds(60)}, 40},
    {{"calls held up, small", 3, 4, 6, false, true, seconds(60)}, 120},
    {{"faults of processes, small", 3, 4, 6, true, false, seconds(60)}, 120},
    {{"faults and calls held up, small", 3, 4, 6, true, true, seconds(60)}, 120},
    {{"faults and calls held up, medium", 5, 18, 12, true, true, seconds(60)}, 30},
    {{"faults and calls held up, large", 9, 59, 24, true, true, seconds(60)}, 6},
    {{"faults and calls held up, many ingress", 9, 40, 12, true, true, seconds(60)}, 12},
    {{"foreign writers", 3, 4, 6, false, false, seconds(60), true}, 60},
    {{"foreign writers, faults and calls held up", 3, 4, 6, true, true, seconds(60), true}, 120},
    {{"foreign writers, faults and calls held up, many ingress", 9, 40, 12, true, true, seconds(60),
      true},
     6},
    {{"faults and calls held up, target", 9, 360, 24, true, true, seconds(40)}, 1},
};

Duration Median(std::vector<Duration> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

class EndpointStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointStateTest);
  CPPUNIT_TEST(UsesNoEndpointThatLeft);
  CPPUNIT_TEST(UsesEveryEndpointThatGoesOn);
  CPPUNIT_TEST(AgreesInTheEnd);
  CPPUNIT_TEST_SUITE_END();

  /// Plays all rows once and keeps the findings for the tests.
  static const std::vector<std::vector<EndpointStateFindings>>& Findings() {
    static const auto findings = [] {
      std::vector<std::vector<EndpointStateFindings>> rows;
      for (const auto& row : kRows) {
        auto& runs = rows.emplace_back();
        std::vector<Duration> propagation;
        std::uint64_t requests = 0;
        for (std::uint64_t seed = 1; seed <= row.seeds; ++seed) {
          runs.push_back(EndpointStateModel(row.settings, seed).Run());
          const auto& times = runs.back().propagation;
          requests += runs.back().state_requests;
          propagation.insert(propagation.end(), times.begin(), times.end());
        }
        const Duration worst = propagation.empty()
                                   ? Duration{}
                                   : *std::max_element(propagation.begin(), propagation.end());
        std::cout << row.settings.name << ": " << propagation.size() << " ends, in use for "
                  << ToMilliseconds(Median(propagation)) << " ms after them (median), "
                  << ToMilliseconds(worst) << " ms (worst), " << requests
                  << " full states asked for\n";
      }
      return rows;
    }();
    return findings;
  }

  template <typename Fault>
  static void Report(Fault fault) {
    std::string faults;
    for (std::size_t i = 0; i < std::size(kRows); ++i) {
      for (std::size_t j = 0; j < Findings()[i].size(); ++j) {
        const std::string text = fault(Findings()[i][j]);
        if (text.empty()) continue;
        faults += std::string(kRows[i].settings.name) + ", seed " + std::to_string(j + 1) + ": " +
                  text + "\n";
      }
    }
    CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
  }

 public:
  // Guards against requests to an endpoint whose end was confirmed: a process that stood still, was
  // cut off or restarted has missed the end, or an old announcement brings the endpoint back.
  void UsesNoEndpointThatLeft() {
    Report([](const EndpointStateFindings& it) {
      if (it.longest_use_after_end <= kDrainTimeout) return std::string();
      return "in use " + std::to_string(ToMilliseconds(it.longest_use_after_end)) +
             " ms after its end was confirmed";
    });
  }

  // Guards against an endpoint that announces itself and is not used: a call to leave of its
  // predecessor arrived late and counts as its own, or a foreign writer has announced its id or
  // address.
  void UsesEveryEndpointThatGoesOn() {
    Report([](const EndpointStateFindings& it) {
      if (it.longest_absence <= kRecovery) return std::string();
      return "not in use for " + std::to_string(ToMilliseconds(it.longest_absence)) +
             " ms although it announced itself";
    });
  }

  // Guards against processes that keep on differing in which endpoints they use.
  void AgreesInTheEnd() {
    Report([](const EndpointStateFindings& it) {
      return it.disagreements.empty() ? std::string() : it.disagreements.front();
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndpointStateTest);

}  // namespace
}  // namespace wagtailslip::serving
