#pragma once

#include <map>

#include "cluster.h"

namespace wagtailslip::simulation {

/// Injects random faults into a cluster at random times.
class FaultInjector {
 public:
  explicit FaultInjector(Cluster& cluster) : cluster_(cluster) {}

  /// Injects a fault if one is due.
  void Poll();
  /// Ends all faults: restores the links, resumes frozen processes, restarts stopped ones and ends
  /// message loss.
  void StopFaults();
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  struct Fault;
  static const Fault kFaults[];

  void CrashOne();
  void RestartOne();
  void FreezeOne();
  void LoseOneDisk();
  void CrashAll();
  void CutFromLeader();
  void CutOneWay();
  void CutBothWays();
  void IsolateOne();
  void IsolateLeader();
  void HealLinks();
  void ChangeNetwork();
  void RemoveMember();

  std::size_t RandomNode() { return cluster_.random().Below(cluster_.size()); }

  Cluster& cluster_;
  TimePoint next_fault_at_{};
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace wagtailslip::simulation
