#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint_reports.h"
#include "wagtailslip/agreement/replica.h"
#include "wagtailslip/config/state_machine.h"
#include "wagtailslip/disk/log_store.h"
#include "wagtailslip/process/entry_settings.h"
#include "wagtailslip/process/published.h"
#include "wagtailslip/rollout/controller.h"
#include "wagtailslip/traffic/rate_limiter.h"

namespace wagtailslip::wire {
class AgentHeartbeat;
class Frame;
class OrderBatch;
class PeerMessage;
class ProposeReply;
class ProposeRequest;
}  // namespace wagtailslip::wire

namespace wagtailslip::process {

/// What became of a proposal. Nothing means that its outcome is not known: it may still take
/// effect, and the same record may be proposed again.
using ProposalDone = std::function<void(std::optional<config::ApplyResult>)>;

/// What the control state of an entry process needs from its surroundings.
struct EntryOutlets {
  /// Sends an encoded frame to a frame address.
  std::function<void(const std::string& address, std::string frame)> send;
  /// Calls Flush on the control thread after the work that is queued already.
  std::function<void()> post_flush;
  /// Takes a message of the rate limiter from another entry process.
  std::function<void(const traffic::LimitMessage& message)> limits;
  std::shared_ptr<PublishedCell> published;
};

/// Control state of an entry process: its replica of the log, the configuration, leases, endpoint
/// reports and, on the leader, the rollouts. Runs on the control thread.
class EntryControl {
 public:
  /// @throws DiskError if the data folder cannot be used
  EntryControl(EntrySettings settings, EntryOutlets outlets, TimePoint now);

  void Tick(TimePoint now);
  void OnFrame(const wire::Frame& frame, TimePoint now);
  /// Commits what was proposed and syncs what was written since the last call.
  void Flush(TimePoint now);
  /// Proposes a record, through the leader if this process does not lead.
  /// @param timeout time after which the outcome is reported as unknown
  void Propose(config::Record record, Duration timeout, ProposalDone done, TimePoint now);

  /// Sends a message of the rate limiter to another entry process.
  void SendLimits(const traffic::LimitMessage& message, TimePoint now);

  /// Starts a graceful stop: the process is withdrawn from the address answers.
  void Leave(TimePoint now);
  /// Whether the withdrawal is committed.
  bool Withdrawn() const;

  const config::StateMachine& machine() const { return machine_; }
  const agreement::Replica& replica() const { return *replica_; }
  const EntrySettings& settings() const { return settings_; }
  const EndpointReports& reports() const { return reports_; }
  const std::vector<rollout::RolloutStatus>& rollout_status() const { return rollout_status_; }
  config::Revision in_force() const { return in_force_; }
  std::uint64_t incarnation() const { return incarnation_; }
  bool HoldsLease(TimePoint now) const { return caught_up_ && now < lease_until_; }
  /// Last frame of each process.
  struct PeerState {
    std::string address;
    config::Revision applied = 0;
    TimePoint heard{};
    std::int64_t sent_at_ns = 0;
  };
  const std::map<std::string, PeerState>& peers() const { return peers_; }

 private:
  struct LocalProposal {
    config::Record record;
    ProposalDone done;
    TimePoint deadline;
    TimePoint next_try;
    /// Set once the leader has answered; the caller is told when this revision is applied here.
    std::optional<config::ApplyResult> result;
  };
  struct LogOrigin {
    agreement::Term term = 0;
    /// Empty for a proposal of this process.
    std::string process;
    std::int64_t proposal = 0;
  };
  struct QueuedRecord {
    config::Record record;
    std::string process;
    std::int64_t proposal = 0;
  };

  void OpenReplica(TimePoint now);
  void HandleEffects(agreement::Effects effects, TimePoint now);
  void ApplyEntry(const agreement::Entry& entry, TimePoint now);
  void FinishProposal(const LogOrigin& origin, const config::ApplyResult& result, TimePoint now);
  void DeliverApplied();
  void ExpireProposals(TimePoint now);
  void SendProposals(TimePoint now);
  void ProposeQueued(TimePoint now);
  void ScheduleFlush();
  void Send(const std::string& process, const wire::PeerMessage& body, TimePoint now);
  std::string AddressOf(const std::string& process) const;
  void OnProposeRequest(const std::string& sender, const wire::ProposeRequest& request,
                        TimePoint now);
  void OnProposeReply(const wire::ProposeReply& reply, TimePoint now);
  void OnAgentHeartbeat(const wire::Frame& frame, TimePoint now);
  void OnOrderBatch(const wire::OrderBatch& batch, TimePoint now);
  void NoteLease(const wire::Frame& frame, TimePoint now);
  void UpdateLease(TimePoint now);
  void UpdateInForce(TimePoint now);
  void Register(TimePoint now);
  void Join(TimePoint now);
  void Lead(TimePoint now);
  void Repair(TimePoint now);
  void RemoveSilent(TimePoint now);
  void Decide(TimePoint now);
  void SendOrders(TimePoint now);
  void RelayReports(TimePoint now);
  void MaybeCompact(TimePoint now);
  void Publish(TimePoint now);
  bool Leading(TimePoint now) const;

  EntrySettings settings_;
  EntryOutlets outlets_;
  std::unique_ptr<disk::LogStore> store_;
  std::unique_ptr<agreement::Replica> replica_;
  config::StateMachine machine_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t last_write_ = 0;
  std::uint64_t persisted_write_ = 0;
  bool flush_scheduled_ = false;
  agreement::Role last_role_ = agreement::Role::kFollower;
  TimePoint leading_since_{};
  std::uint64_t applied_since_snapshot_ = 0;

  std::map<std::string, PeerState> peers_;
  std::map<std::int64_t, LocalProposal> local_;
  std::int64_t next_proposal_;
  std::vector<QueuedRecord> queued_;
  std::map<agreement::Index, LogOrigin> in_log_;

  TimePoint started_at_{};
  TimePoint lease_until_{};
  bool caught_up_ = false;
  config::Revision required_ = 0;
  config::Revision in_force_ = 0;
  std::uint64_t process_changes_ = 0;
  bool registering_ = false;
  bool leaving_ = false;

  EndpointReports reports_;
  config::Revision endpoints_revision_ = 0;
  std::vector<rollout::RolloutStatus> rollout_status_;
  rollout::Controller controller_;
  /// Orders by endpoint: decided here on the leader, received elsewhere.
  std::map<std::string, std::vector<rollout::Order>> orders_;
  std::uint64_t orders_term_ = 0;
  std::size_t records_in_flight_ = 0;
  TimePoint decide_at_{};
  TimePoint orders_at_{};
  TimePoint relay_at_{};
  TimePoint repair_at_{};
  TimePoint join_at_{};
  TimePoint publish_at_{};
  bool publish_due_ = true;
  /// A record that may have changed the rules was applied since the last Publish.
  bool rules_due_ = false;
  config::Revision rules_revision_ = 0;
  std::shared_ptr<const RuleBook> rules_;
};

}  // namespace wagtailslip::process
