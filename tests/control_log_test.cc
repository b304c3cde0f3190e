// The replicated log of the control processes over an in-memory network and real folders.
#include "control_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/process/log_volume.h"

namespace wagtailslip::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);

/// Control processes in virtual time. A message takes one step.
class Group {
 public:
  explicit Group(const std::string& name)
      : root_(std::filesystem::temp_directory_path() / ("wts-control-" + name)) {
    std::filesystem::remove_all(root_);
    std::filesystem::create_directories(root_);
  }
  ~Group() {
    nodes_.clear();
    std::filesystem::remove_all(root_);
  }

  static std::string Process(int i) { return "10.0.0." + std::to_string(i) + ":7700"; }

  void Start(int i, bool first_start) {
    deployment::NodeSettings settings;
    settings.name = "core-" + std::to_string(i);
    settings.ip = "10.0.0." + std::to_string(i);
    settings.first_port = 7700;
    settings.first_start = first_start;
    settings.data_folder = (root_ / std::to_string(i)).string();
    std::filesystem::create_directories(settings.data_folder);
    ControlLog::Outlets outlets;
    outlets.send = [this](const agreement::Message& message) { sent_.push_back(message); };
    outlets.schedule_flush = [this, i] { flush_.insert(i); };
    outlets.on_change = [] {};
    outlets.utc_now = [this] { return utc(); };
    nodes_[i] = std::make_unique<ControlLog>(
        settings, std::vector{Process(1), Process(2), Process(3)}, outlets, ++incarnation_, now_);
  }
  void Kill(int i) {
    nodes_.erase(i);
    flush_.erase(i);
  }
  void Wipe(int i) {
    Kill(i);
    std::filesystem::remove_all(root_ / std::to_string(i));
  }
  void Cut(int i, bool cut) { cut ? void(cut_.insert(i)) : void(cut_.erase(i)); }

  void Run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += kStep;
      std::deque<agreement::Message> due;
      due.swap(sent_);
      for (const auto& message : due) Deliver(message);
      for (auto& [i, node] : nodes_) {
        node->Tick(now_);
        const auto id = node->WantsPlace(now_);
        if (!id || cut_.contains(i) || (now_.time_since_epoch() / kStep) % 30 != 0) continue;
        for (auto& [other, target] : nodes_) {
          if (other != i && !cut_.contains(other)) target->OnJoin(*id, now_);
        }
      }
      Flush();
    }
  }

  ControlLog* Leader() {
    for (auto& [i, node] : nodes_) {
      if (!cut_.contains(i) && node->Leading(now_)) return node.get();
    }
    return nullptr;
  }

  /// Proposes a configuration at the leader.
  /// @return whether it was acknowledged
  bool Put(std::int64_t version, const std::string& body) {
    Command command;
    command.config_version = version;
    command.config_body = body;
    return Propose(command);
  }

  bool Propose(const Command& command) {
    ControlLog* leader = Leader();
    if (leader == nullptr) return false;
    std::optional<bool> outcome;
    leader->Propose(
        command, [&outcome](bool committed) { outcome = committed; }, now_);
    for (int i = 0; i < 300 && !outcome; ++i) Run(kStep);
    return outcome.value_or(false);
  }

  /// Names weights at the leader.
  bool Name(std::int64_t version) {
    Command command;
    command.model = "m";
    command.weights = version;
    command.named_utc_ms =
        std::chrono::duration_cast<milliseconds>(utc().time_since_epoch()).count();
    return Propose(command);
  }

  UtcTime utc() const { return UtcTime(now_.time_since_epoch() + seconds(1'700'000'000)); }
  ControlLog& node(int i) { return *nodes_.at(i); }
  TimePoint now() const { return now_; }
  std::size_t voters() { return Leader() ? Leader()->replica().membership().voter_count() : 0; }

 private:
  void Deliver(const agreement::Message& message) {
    for (auto& [i, node] : nodes_) {
      if (Process(i) != message.to.process || cut_.contains(i)) continue;
      bool sender_cut = false;
      for (const int j : cut_) sender_cut = sender_cut || Process(j) == message.from.process;
      if (!sender_cut) node->OnMessage(message, now_);
    }
  }
  void Flush() {
    while (!flush_.empty()) {
      std::set<int> due;
      due.swap(flush_);
      for (const int i : due) {
        if (nodes_.contains(i)) nodes_.at(i)->Flush(now_);
      }
    }
  }

  std::filesystem::path root_;
  TimePoint now_{seconds(1000)};
  std::int64_t incarnation_ = 1000;
  std::map<int, std::unique_ptr<ControlLog>> nodes_;
  std::deque<agreement::Message> sent_;
  std::set<int> flush_;
  std::set<int> cut_;
};

class ControlLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlLogTest);
  CPPUNIT_TEST(AllProcessesBecomeVoters);
  CPPUNIT_TEST(KeepsTheHighestVersion);
  CPPUNIT_TEST(KeepsWhatWasAcknowledgedOverARestartOfAll);
  CPPUNIT_TEST(ReplacesAWipedProcessInTime);
  CPPUNIT_TEST(AnIsolatedLeaderIsNotCurrent);
  CPPUNIT_TEST(KnowsTheAgeOfWeightsAfterARestart);
  CPPUNIT_TEST(KnowsTheHeldConfigurationBeforeALeader);
  CPPUNIT_TEST(BoundsLogLines);
  CPPUNIT_TEST_SUITE_END();

  static void StartAll(Group& group, int count) {
    for (int i = 1; i <= count; ++i) group.Start(i, true);
    group.Run(seconds(5));
  }

 public:
  // Guards against processes outside the seeds that never take part.
  void AllProcessesBecomeVoters() {
    Group group("voters");
    StartAll(group, 5);
    CPPUNIT_ASSERT(group.Leader() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.voters());
  }

  // Guards against an older version that replaces a newer one, and other content under one version.
  void KeepsTheHighestVersion() {
    Group group("highest");
    StartAll(group, 3);
    CPPUNIT_ASSERT(group.Put(4, "four"));
    CPPUNIT_ASSERT(group.Put(3, "three"));
    CPPUNIT_ASSERT(group.Put(4, "other"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, group.Leader()->state().config_version);
    CPPUNIT_ASSERT_EQUAL(std::string("four"), group.Leader()->state().config_body);
    group.Run(seconds(1));
    for (int i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("four"), group.node(i).state().config_body);
    }
  }

  // Guards against a restarted process that hands out an old configuration as the newest one, and
  // against sidecars that wait for a leader before they look for weights.
  void KnowsTheHeldConfigurationBeforeALeader() {
    Group group("held");
    StartAll(group, 3);
    for (std::int64_t version = 1; version <= 5; ++version) {
      CPPUNIT_ASSERT(group.Put(version, "body " + std::to_string(version)));
    }
    group.Run(seconds(1));
    for (int i = 1; i <= 3; ++i) group.Kill(i);
    group.Start(1, false);
    group.Run(seconds(1));
    CPPUNIT_ASSERT(!group.node(1).CaughtUp());
    CPPUNIT_ASSERT_EQUAL(std::string("body 5"), group.node(1).held_config().config_body);
    for (int i = 2; i <= 3; ++i) group.Start(i, false);
    group.Run(seconds(3));
    for (int i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT(group.node(i).CaughtUp());
      CPPUNIT_ASSERT_EQUAL(std::string("body 5"), group.node(i).state().config_body);
    }
  }

  void KeepsWhatWasAcknowledgedOverARestartOfAll() {
    Group group("restart");
    StartAll(group, 5);
    // Enough versions that the log is replaced by snapshots on the way.
    for (std::int64_t version = 1; version <= 150; ++version) {
      CPPUNIT_ASSERT(group.Put(version, "body " + std::to_string(version)));
    }
    for (int i = 1; i <= 5; ++i) group.Kill(i);
    for (int i = 1; i <= 5; ++i) group.Start(i, false);
    group.Run(seconds(5));
    CPPUNIT_ASSERT(group.Leader() != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("body 150"), group.Leader()->state().config_body);
    CPPUNIT_ASSERT(group.Leader()->Current(group.now()));
  }

  // Guards against a process that comes back with an empty disk and does not count again within
  // the catch-up time of 4 s, and against one that votes under its old identity.
  void ReplacesAWipedProcessInTime() {
    Group group("wiped");
    StartAll(group, 5);
    CPPUNIT_ASSERT(group.Put(1, "one"));
    const auto before = group.node(2).replica().id();
    group.Wipe(2);
    group.Run(milliseconds(700));
    group.Start(2, false);
    CPPUNIT_ASSERT(group.node(2).replica().id() != before);
    group.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, group.voters());
    CPPUNIT_ASSERT(group.Leader()->replica().membership().IsVoter(group.node(2).replica().id()));
    CPPUNIT_ASSERT(!group.Leader()->replica().membership().Role(before));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), group.node(2).state().config_body);
  }

  // Guards against a read that an isolated leader answers from the past.
  void AnIsolatedLeaderIsNotCurrent() {
    Group group("isolated");
    StartAll(group, 5);
    CPPUNIT_ASSERT(group.Put(1, "one"));
    int leader = 0;
    for (int i = 1; i <= 5; ++i) {
      if (group.node(i).Leading(group.now())) leader = i;
    }
    group.Cut(leader, true);
    group.Run(seconds(3));
    CPPUNIT_ASSERT(!group.node(leader).Current(group.now()));
    CPPUNIT_ASSERT(group.Leader() != nullptr);
    CPPUNIT_ASSERT(group.Put(2, "two"));
    group.Cut(leader, false);
    group.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("two"), group.node(leader).state().config_body);
  }

  // Guards against a bound that starts anew because all processes were restarted, and against one
  // that is forgotten because the next version was named.
  void KnowsTheAgeOfWeightsAfterARestart() {
    Group group("age");
    StartAll(group, 3);
    CPPUNIT_ASSERT(group.Name(2));
    const TimePoint named = group.now();
    group.Run(seconds(3));
    CPPUNIT_ASSERT(group.Name(3));
    for (int i = 1; i <= 3; ++i) group.Kill(i);
    group.Run(seconds(4));
    for (int i = 1; i <= 3; ++i) group.Start(i, false);
    group.Run(seconds(4));
    for (int i = 1; i <= 3; ++i) {
      const auto& targets = group.node(i).state().targets.at("m");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, targets.size());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, targets[0].version);
      CPPUNIT_ASSERT(targets[0].since <= named);
      CPPUNIT_ASSERT(targets[0].since >= named - milliseconds(500));
      CPPUNIT_ASSERT(targets[1].since >= named + seconds(3) - milliseconds(500));
    }
  }

  void BoundsLogLines() {
    process::LogVolume volume(10, 20);
    int written = 0;
    std::uint64_t left_out = 0;
    for (int i = 0; i < 2000; ++i) {
      const auto admitted = volume.Admit(7, TimePoint(milliseconds(i)));
      if (!admitted) continue;
      ++written;
      left_out += *admitted;
    }
    CPPUNIT_ASSERT(written >= 38 && written <= 41);
    CPPUNIT_ASSERT(left_out > 1800);
    CPPUNIT_ASSERT(volume.Admit(8, TimePoint(milliseconds(2000))));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlLogTest);

}  // namespace
}  // namespace wagtailslip::control
