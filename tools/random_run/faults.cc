#include "faults.h"

namespace wagtailslip::simulation {

struct FaultInjector::Fault {
  const char* name;
  unsigned weight;
  void (FaultInjector::*inject)();
};

const FaultInjector::Fault FaultInjector::kFaults[] = {
    {"crash", 6, &FaultInjector::CrashOne},
    {"restart", 12, &FaultInjector::RestartOne},
    {"freeze", 5, &FaultInjector::FreezeOne},
    {"disk-loss", 5, &FaultInjector::LoseOneDisk},
    {"crash-all", 3, &FaultInjector::CrashAll},
    {"cut-from-leader", 6, &FaultInjector::CutFromLeader},
    {"cut-one-way", 4, &FaultInjector::CutOneWay},
    {"cut-both-ways", 4, &FaultInjector::CutBothWays},
    {"isolate", 3, &FaultInjector::IsolateOne},
    {"isolate-leader", 3, &FaultInjector::IsolateLeader},
    {"heal", 14, &FaultInjector::HealLinks},
    {"network", 4, &FaultInjector::ChangeNetwork},
    {"remove-member", 3, &FaultInjector::RemoveMember},
};

void FaultInjector::Poll() {
  if (cluster_.now() < next_fault_at_) return;
  Random& random = cluster_.random();
  next_fault_at_ =
      cluster_.now() + random.Between(std::chrono::milliseconds(20), std::chrono::seconds(2));
  std::uint64_t total = 0;
  for (const Fault& fault : kFaults) total += fault.weight;
  std::uint64_t pick = random.Below(total);
  for (const Fault& fault : kFaults) {
    if (pick < fault.weight) {
      (this->*fault.inject)();
      return;
    }
    pick -= fault.weight;
  }
}

void FaultInjector::CrashOne() {
  const std::size_t i = RandomNode();
  if (!cluster_.up(i)) return;
  cluster_.Crash(i);
  ++counts_["crash"];
}

void FaultInjector::CrashAll() {
  // Simulates a power failure: all processes crash at once, so an entry that none of them has
  // synced is lost.
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    cluster_.Crash(i);
    if (cluster_.random().Chance(0.8)) cluster_.Restart(i);
  }
  ++counts_["crash-all"];
}

void FaultInjector::CutFromLeader() {
  // The other voters still reach both replicas, so a wrongly granted vote gives two leaders.
  const auto leader = cluster_.Leader();
  if (!leader) return;
  cluster_.CutBoth(*leader, RandomNode());
  next_fault_at_ = cluster_.now() + std::chrono::milliseconds(2500);
  ++counts_["cut-from-leader"];
}

void FaultInjector::RestartOne() {
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    if (cluster_.up(i) || cluster_.random().Chance(0.3)) continue;
    cluster_.Restart(i);
    ++counts_["restart"];
  }
}

void FaultInjector::FreezeOne() {
  cluster_.Freeze(RandomNode(), cluster_.random().Between(std::chrono::milliseconds(50),
                                                          std::chrono::seconds(5)));
  ++counts_["freeze"];
}

void FaultInjector::LoseOneDisk() {
  const std::size_t i = RandomNode();
  if (!cluster_.DiskLossIsTolerable(i)) return;
  cluster_.LoseDisk(i);
  cluster_.Restart(i);
  ++counts_["disk-loss"];
  // A second disk loss soon after, often during the repair.
  if (!cluster_.random().Chance(0.5)) return;
  next_fault_at_ = cluster_.now();
  const std::size_t second = RandomNode();
  if (!cluster_.DiskLossIsTolerable(second)) return;
  cluster_.LoseDisk(second);
  cluster_.Restart(second);
  ++counts_["second-disk-loss"];
}

void FaultInjector::CutOneWay() {
  cluster_.Cut(RandomNode(), RandomNode());
  ++counts_["cut-one-way"];
}

void FaultInjector::CutBothWays() {
  cluster_.CutBoth(RandomNode(), RandomNode());
  ++counts_["cut-both-ways"];
}

void FaultInjector::IsolateOne() {
  cluster_.Isolate(RandomNode());
  ++counts_["isolate"];
}

void FaultInjector::IsolateLeader() {
  const auto leader = cluster_.Leader();
  if (!leader) return;
  cluster_.Isolate(*leader);
  ++counts_["isolate-leader"];
}

void FaultInjector::HealLinks() {
  cluster_.HealLinks();
  ++counts_["heal"];
}

void FaultInjector::ChangeNetwork() {
  Random& random = cluster_.random();
  ClusterOptions& options = cluster_.options();
  options.drop = random.Chance(0.5) ? 0.0 : 0.001 * static_cast<double>(random.Below(200));
  options.duplicate = random.Chance(0.5) ? 0.0 : 0.2;
  options.late = random.Chance(0.5) ? 0.0 : 0.1;
  options.sync_max =
      random.Chance(0.8) ? std::chrono::milliseconds(5) : std::chrono::milliseconds(900);
  ++counts_["network"];
}

void FaultInjector::RemoveMember() {
  const auto leader = cluster_.Leader();
  if (!leader) return;
  const auto& members = cluster_.node(*leader).replica->membership().members();
  auto it = members.begin();
  std::advance(it, cluster_.random().Below(members.size()));
  const agreement::MembershipChange change{agreement::ChangeKind::kRemove, it->first};
  // Removing a live voter while another member's disk is gone and the leader does not know it yet
  // is two faults at once: the quorum could be lost for good.
  for (const auto& [id, role] : members) {
    if (cluster_.lost(id) && id != it->first) return;
  }
  if (it->first == cluster_.node(*leader).id) {
    cluster_.StepDown(*leader);
    ++counts_["step-down"];
    return;
  }
  cluster_.ChangeMembership(*leader, change);
  ++counts_["remove-member"];
}

void FaultInjector::StopFaults() {
  ClusterOptions& options = cluster_.options();
  options.drop = options.duplicate = options.late = options.stop_after_save = 0;
  options.sync_max = std::chrono::milliseconds(5);
  cluster_.HealLinks();
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    cluster_.Freeze(i, Duration(0));
    cluster_.Restart(i);
  }
}

}  // namespace wagtailslip::simulation
