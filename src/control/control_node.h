#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control_log.h"
#include "gen/mesh_types.h"
#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/control_discovery.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/service_config.h"

namespace wagtailslip::control {

/// State of a control process and its links: takes announcements and commands, and feeds the other
/// processes. Runs on one thread.
class ControlNode : public mesh::MeshListener {
 public:
  ControlNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
              std::int64_t incarnation, TimePoint now);

  void Start();
  /// Hands the lead over and tells the others; links stay open.
  void BeginStop(TimePoint now);
  void Stop();

  ControlLog& log() { return *log_; }
  /// Address of the operators' interface of the leader; empty if it is unknown or this process.
  std::string LeaderAddress() const;
  /// Whether a majority of the control processes is linked, so that what an endpoint says here
  /// reaches those that route to it.
  bool InTouch();

  /// Takes what an endpoint announced, and relays it.
  void Announce(serving::EndpointRecord record, TimePoint now);
  void Leave(const std::string& id, TimePoint now);
  /// A version of weights was asked for: lets the sidecars fetch it while it is being agreed on.
  void ExpectWeights(const std::string& model, std::int64_t version);
  /// Addresses of the ingress processes that take callers.
  std::vector<std::string> IngressAddresses() const;

 private:
  /// What a linked process is known to have.
  struct Feed {
    std::int64_t config_version = 0;
    std::int64_t sent_version = 0;
    TimePoint sent_at{};
    /// Since when it lacks the agreed version; unset if it has it.
    TimePoint behind_since{};
  };

  void OnMemberUpdated(const mesh::Member& member) override;
  void OnMemberLost(const mesh::Member& member) override;
  void OnMessage(const mesh::Member& from, const wire::MeshMessage& message) override;
  void OnRecords(const std::vector<wire::InstanceRecord>& records, TimePoint now);
  void OnAgreed(TimePoint now);
  void Tick();
  void UpdateLinks();
  void SendMembers(const std::string& process);
  void SendEverything(const mesh::Member& member, TimePoint now);
  void FeedConfig(TimePoint now);
  void FeedTargets(TimePoint now);
  void RelayExpected(const std::string& model, std::int64_t version,
                     std::initializer_list<mesh::MemberKind> kinds);
  void Relay(const serving::EndpointRecord& record, bool urgent, TimePoint now);
  void FlushRelay(TimePoint now);
  void RefreshSources(TimePoint now);
  std::vector<std::string> Processes(std::initializer_list<mesh::MemberKind> kinds) const;
  std::set<std::string> ControlProcesses();

  net::asio::io_context& context_;
  deployment::NodeSettings settings_;
  net::PeriodicTimer ticks_;
  std::unique_ptr<mesh::MeshNode> mesh_;
  std::unique_ptr<ControlLog> log_;
  serving::InstanceTable table_;
  mesh::ControlDiscovery known_;
  std::map<std::string, Feed> feeds_;
  std::vector<wire::InstanceRecord> refreshed_;
  TimePoint relay_at_{};
  std::vector<wire::InstanceReading> readings_;
  TimePoint readings_at_{};
  std::vector<wire::ModelSource> sources_;
  std::int64_t sources_version_ = 0;
  TimePoint sources_at_{};
  std::map<std::string, std::int64_t> fed_targets_;
  /// Newest versions that were relayed before they were agreed on, by model.
  std::map<std::string, std::int64_t> expected_;
  TimePoint join_at_{};
  TimePoint expire_at_{};
  /// Control and ingress processes that the others were told of.
  std::map<std::string, mesh::Member> announced_members_;
};

}  // namespace wagtailslip::control
