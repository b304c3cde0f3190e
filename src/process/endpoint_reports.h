#pragma once

#include <map>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/config/state_machine.h"
#include "wagtailslip/rollout/controller.h"
#include "wagtailslip/traffic/routing_snapshot.h"

namespace wagtailslip::wire {
class EndpointReport;
class LoadBatch;
}  // namespace wagtailslip::wire

namespace wagtailslip::process {

/// Newest report of each endpoint, received from its agent or relayed by its home entry process.
class EndpointReports {
 public:
  struct Row {
    std::uint64_t incarnation = 0;
    std::int64_t number = 0;
    bool healthy = false;
    traffic::LoadReport load;
    TimePoint received{};
    /// Process that the agent reports to; empty for this process.
    std::string home;
    /// Frame address of the agent, where this process is the home.
    std::string agent_frame_address;
  };

  /// Takes a report over.
  /// @param home process that relayed it; empty if it came from the agent
  /// @return false if the report is older than the one that is held
  /// @throws CodecError if the report does not decode
  bool Take(const wire::EndpointReport& report, const std::string& home, TimePoint now);
  void SetAgentAddress(const std::string& endpoint, const std::string& address);
  void Remove(const std::string& endpoint);

  const Row* Find(const std::string& endpoint) const;
  const std::map<std::string, Row>& rows() const { return rows_; }
  const rollout::Reports& progress() const { return progress_; }
  const rollout::Progress* FindProgress(const std::string& line, const std::string& endpoint) const;

  /// Reports of own agents that changed since the last call.
  wire::LoadBatch TakeRelay();

  /// The endpoints as the router sees them.
  std::vector<traffic::RoutingEndpoint> RoutingEndpoints(const config::StateMachine& machine,
                                                         TimePoint now) const;

 private:
  std::map<std::string, Row> rows_;
  rollout::Reports progress_;
  std::map<std::string, wire::EndpointReport> relay_;
};

}  // namespace wagtailslip::process
