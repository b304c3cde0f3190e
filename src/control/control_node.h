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
#include "wagtailslip/mesh/member_list.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/serving/crash_judge.h"
#include "wagtailslip/serving/host_regions.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/permit_allocator.h"
#include "wagtailslip/serving/relay_plan.h"
#include "wagtailslip/serving/retry_allocator.h"
#include "wagtailslip/serving/service_config.h"
#include "wagtailslip/serving/warmup_allocator.h"

namespace wagtailslip::control {

/// A control process: handles endpoint announcements and operator commands, and distributes
/// configurations, weights targets and endpoint records over its links. Runs on one thread.
class ControlNode : public mesh::MeshListener {
 public:
  ControlNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
              std::int64_t incarnation, TimePoint now);

  void Start();
  /// Steps down as leader and tells linked processes that this one is stopping. Links stay open.
  void BeginStop(TimePoint now);
  void Stop();

  ControlLog& log() { return *log_; }
  /// Address of the leader's operator API; empty if the leader is unknown, not linked, not
  /// accepting work, or this process.
  std::string LeaderAddress() const;
  /// Whether a majority of the control processes, including this one, is linked, so that endpoint
  /// announcements made here reach the processes that route to the endpoint.
  bool LinkedToMajority();

  /// Failure domains of the settings and of known endpoints and processes.
  std::set<std::string> KnownDomains() const;

  /// Applies an endpoint's announcement and relays it to linked processes.
  void Announce(serving::EndpointRecord record, TimePoint now);
  /// Removes an endpoint that is leaving and relays the removal.
  /// @param utc_now present UTC time; an endpoint that is unknown here has started before it
  void Leave(const std::string& id, UtcTime utc_now, TimePoint now);
  /// Tells the sidecars to fetch a weights version that an operator has named, while the command is
  /// still being committed.
  void PrefetchWeights(const std::string& model, std::int64_t version);
  /// Sorted addresses of the linked ingress processes that callers are to use, see
  /// serving::SelectIngress.
  std::vector<std::string> IngressAddresses() const;
  /// Addresses to return for a lookup, a part of IngressAddresses; see serving::HostRegions.
  /// @param region region of the caller; if empty, that of its failure domain `domain`
  std::vector<std::string> IngressAddressesFor(const std::string& host, std::string region,
                                               const std::string& domain) const;
  const serving::PermitAllocator& permit_allocator() const { return permit_allocator_; }
  serving::RetryAllocator& retry_allocator() { return retry_allocator_; }
  const serving::CrashJudge& crash_judge() const { return crash_judge_; }
  const serving::WarmupAllocator& warmup_allocator() const { return warmup_allocator_; }

 private:
  /// Progress of sending the service configuration to a linked process.
  struct ConfigSync {
    /// Version that the process reports to be in force.
    std::int64_t config_version = 0;
    std::int64_t sent_version = 0;
    TimePoint sent_at{};
    /// When the process was first seen to lack the committed version; unset if it has it.
    TimePoint behind_since{};
  };

  void OnMemberUpdated(const mesh::Member& member, bool new_link) override;
  void OnMemberLost(const mesh::Member& member) override;
  void OnMessage(const mesh::Member& from, const wire::MeshMessage& message) override;
  /// Records the limits that an ingress process reports, and grants permits if this process leads.
  void OnPermitRequest(const mesh::Member& from, const wire::MeshMessage& message, TimePoint now);
  /// Sends changed limits to the ingress processes.
  void SendLimits(TimePoint now);
  /// Grants retry permits if this process leads.
  void OnRetryReport(const mesh::Member& from, const wire::Retries& retries, TimePoint now);
  /// Whether this process may grant retry permits; takes over from a former leader if it is new.
  bool LeadsRetries(TimePoint now);
  /// Has the log hold as many blocks of the retry budget as are needed.
  void CommitRetryBlocks(TimePoint now);
  /// Adds an ingress process's evidence on what ends endpoints. All control processes collect it,
  /// so that the next leader has it.
  void OnCrashReport(const mesh::Member& from, const wire::CrashReport& message, TimePoint now);
  /// Commits verdicts and sends the suspects, if this process leads.
  void JudgeCrashes(TimePoint now);
  void SendSuspects(TimePoint now);
  void CommitVerdict(const serving::VerdictChange& change, TimePoint now);
  /// Takes over the verdicts that the log holds.
  void SyncVerdicts(TimePoint now);
  /// Sends the verdicts to all linked ingress processes if that is due.
  void SendVerdicts(TimePoint now);
  /// Grants leases on cold endpoints if this process leads.
  void OnWarmupRequest(const mesh::Member& from, const wire::WarmupLeases& leases, TimePoint now);
  /// Whether this process leads and may grant leases once those of a former leader have ended.
  bool LeadsWarmup(TimePoint now);
  /// Discards the limits of endpoints that are gone.
  void PruneLimits(TimePoint now);
  void OnRecords(const mesh::Member& from, const std::vector<wire::InstanceRecord>& records,
                 TimePoint now);
  /// Relays changed records that another process has sent.
  void RelayAgain(const mesh::Member& from, const std::vector<wire::InstanceRecord>& records);
  void OnStateChange(TimePoint now);
  void Tick();
  void UpdateLinks();
  /// Sends the list of processes that the receiver needs.
  void SendMembers(const mesh::Member& member);
  /// Sends changes of a list; the whole list to processes of earlier releases.
  void SendMemberChanges(const mesh::MemberChanges& changes,
                         std::initializer_list<mesh::MemberKind> kinds);
  /// Sends what this process knows over a new link, ends of endpoints included: the process at the
  /// other side may have missed them. Where many ingress processes are linked, they get a summary
  /// of the endpoints and ask for the rest if they lack some of it.
  void SendFullState(const mesh::Member& member, TimePoint now);
  void OnInstanceRequest(const mesh::Member& from, const wire::InstanceRequest& request,
                         TimePoint now);
  /// Sends the ingress processes what replaces announcements that change nothing.
  void SendSummaries(TimePoint now);
  /// Relays once more what another control process may not have relayed before it was lost.
  void RepeatEnds(TimePoint now);
  void SendConfig(TimePoint now);
  void SendTargets(TimePoint now);
  void AddTargets(wire::MeshMessage& message, TimePoint now) const;
  void OnTargetsQuery(const mesh::Member& from, const wire::TargetsQuery& query, TimePoint now);
  /// Adds the drained failure domains to a message to ingress processes. Without a drain ever, the
  /// message stays as it is.
  void AddDrainedDomains(wire::MeshMessage& message, TimePoint now) const;
  /// Sends the drained failure domains to all ingress processes if they have changed.
  void SendDrainedDomains(TimePoint now);
  void RelayPrefetch(const std::string& model, std::int64_t version,
                     std::initializer_list<mesh::MemberKind> kinds);
  /// Sends a record to linked processes: at once if urgent, else with the next FlushRelay.
  void Relay(const serving::EndpointRecord& record, bool urgent, TimePoint now);
  void FlushRelay(TimePoint now);
  void RefreshSources(TimePoint now);
  /// Region of a failure domain by the settings; empty if unknown.
  std::string RegionOf(const std::string& domain) const;
  std::vector<std::string> LinkedProcesses(std::initializer_list<mesh::MemberKind> kinds) const;
  std::set<std::string> ControlProcesses();

  net::asio::io_context& context_;
  deployment::NodeSettings settings_;
  net::PeriodicTimer ticks_;
  std::unique_ptr<mesh::MeshNode> mesh_;
  std::unique_ptr<ControlLog> log_;
  serving::InstanceTable table_;
  mesh::ControlDiscovery control_discovery_;
  std::map<std::string, ConfigSync> config_syncs_;
  /// Announcements without changes for the next FlushRelay.
  std::vector<serving::EndpointRecord> relay_queue_;
  serving::RecentEnds recent_ends_;
  /// A link to a control process was lost since the last RepeatEnds.
  bool repeat_ends_ = false;
  TimePoint next_summary_at_{};
  TimePoint next_relay_at_{};
  std::vector<wire::InstanceReading> pending_readings_;
  TimePoint next_readings_at_{};
  serving::PermitAllocator permit_allocator_;
  /// Term of the leadership in which this process granted permits last.
  std::uint64_t permit_term_ = 0;
  serving::RetryAllocator retry_allocator_;
  /// Term of the leadership in which this process granted retry permits last.
  std::uint64_t retry_term_ = 0;
  serving::CrashJudge crash_judge_;
  std::int64_t verdicts_revision_ = 0;
  std::int64_t sent_verdicts_revision_ = 0;
  std::int64_t sent_drains_revision_ = 0;
  TimePoint next_verdicts_at_{};
  std::vector<serving::SuspectSubject> sent_suspects_;
  TimePoint suspects_sent_at_{};
  serving::WarmupAllocator warmup_allocator_;
  /// Term of the leadership in which this process granted leases on cold endpoints last.
  std::uint64_t warmup_term_ = 0;
  /// Endpoints whose limit has changed since the last SendLimits.
  std::set<std::string> changed_limits_;
  TimePoint next_limits_at_{};
  std::vector<wire::ModelSource> sources_;
  std::int64_t sources_version_ = 0;
  /// Regions that routes name, by the configuration of sources_version_.
  serving::HostRegions host_regions_;
  TimePoint next_sources_at_{};
  std::map<std::string, std::int64_t> sent_targets_;
  /// Newest version relayed for prefetching before it was committed, by model.
  std::map<std::string, std::int64_t> prefetched_versions_;
  TimePoint next_join_at_{};
  TimePoint next_expiry_at_{};
  /// The control processes, for other control processes and sidecars.
  mesh::MemberList control_list_;
  /// The control and ingress processes, for ingress processes.
  mesh::MemberList process_list_;
};

}  // namespace wagtailslip::control
