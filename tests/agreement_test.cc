#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>

#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::agreement {
namespace {

using std::chrono::milliseconds;

ReplicaId Id(const std::string& process, std::uint64_t incarnation = 1) {
  return {process, incarnation};
}

/// Replicas that exchange messages without loss; every write is synced at once.
class Group {
 public:
  explicit Group(const std::vector<ReplicaId>& voters) {
    for (const ReplicaId& id : voters) Add(id, BootstrapState(voters));
  }

  void Add(const ReplicaId& id, PersistentState state) {
    ReplicaConfig config;
    config.id = id;
    config.snapshot_part_bytes = 1000;
    config.retained_entries = 0;
    replicas_.emplace(id, Replica(config, std::move(state), replicas_.size() + 1, now_));
  }

  Replica& operator[](const ReplicaId& id) { return replicas_.at(id); }

  void Run(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end; now_ += milliseconds(10)) {
      for (auto& [id, replica] : replicas_) Take(id, replica.Tick(now_));
      Deliver();
    }
  }

  void Take(const ReplicaId& id, Effects effects) {
    for (Message& m : effects.messages) queue_.push_back(std::move(m));
    if (effects.install) installed_[id] = effects.install;
    for (Entry& e : effects.committed) committed_[id].push_back(std::move(e));
    if (effects.write > 0) Take(id, replicas_.at(id).Persisted(effects.write, now_));
  }

  void Deliver() {
    while (!queue_.empty()) {
      const Message m = std::move(queue_.front());
      queue_.pop_front();
      const auto it = replicas_.find(m.to);
      if (it == replicas_.end() || isolated_.contains(m.to) || isolated_.contains(m.from)) continue;
      Take(m.to, it->second.Step(m, now_));
    }
  }

  Replica* Leader() {
    for (auto& [id, replica] : replicas_) {
      if (!isolated_.contains(id) && replica.HasLease(now_)) return &replica;
    }
    return nullptr;
  }

  ProposeStatus Propose(const std::string& data) {
    Replica* leader = Leader();
    CPPUNIT_ASSERT(leader != nullptr);
    ProposeResult result = leader->Propose(data, now_);
    Take(leader->id(), std::move(result.effects));
    Deliver();
    return result.status;
  }

  ProposeStatus Change(ChangeKind kind, const ReplicaId& id) {
    Replica* leader = Leader();
    CPPUNIT_ASSERT(leader != nullptr);
    ProposeResult result = leader->ChangeMembership({kind, id}, now_);
    Take(leader->id(), std::move(result.effects));
    Deliver();
    return result.status;
  }

  TimePoint now_{};
  std::map<ReplicaId, Replica> replicas_;
  std::set<ReplicaId> isolated_;
  std::deque<Message> queue_;
  std::map<ReplicaId, std::vector<Entry>> committed_;
  std::map<ReplicaId, std::shared_ptr<const Snapshot>> installed_;
};

const std::vector<ReplicaId> kThree = {Id("a"), Id("b"), Id("c")};

class AgreementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgreementTest);
  CPPUNIT_TEST(ElectsAndReplicates);
  CPPUNIT_TEST(IsolatedLeaderStopsBeforeItsSuccessor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ElectsAndReplicates() {
    Group group(kThree);
    group.Run(milliseconds(3000));
    CPPUNIT_ASSERT(group.Propose("x") == ProposeStatus::kAccepted);
    group.Run(milliseconds(100));
    for (const ReplicaId& id : kThree) {
      CPPUNIT_ASSERT_EQUAL(std::string("x"), group.committed_[id].back().data);
    }
  }

  void IsolatedLeaderStopsBeforeItsSuccessor() {
    Group group(kThree);
    group.Run(milliseconds(3000));
    Replica* old = group.Leader();
    group.isolated_.insert(old->id());
    while (!group.Leader()) {
      group.Run(milliseconds(10));
      CPPUNIT_ASSERT(group.now_ < TimePoint(std::chrono::seconds(6)));
    }
    CPPUNIT_ASSERT(!old->HasLease(group.now_));
    CPPUNIT_ASSERT(old->Propose("y", group.now_).status != ProposeStatus::kAccepted);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AgreementTest);

}  // namespace
}  // namespace wagtailslip::agreement
