#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/agreement/replica.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/disk/log_store.h"

namespace wagtailslip::control {

/// Content of a control command: a service configuration, or a version of weights to be served.
struct Command {
  /// Version and body of a service configuration, see PackConfig; version 0 if the command has
  /// none.
  std::int64_t config_version = 0;
  std::string config_body;
  std::string model;
  std::int64_t weights = 0;
  /// When the weights were named, UTC milliseconds.
  std::int64_t named_utc_ms = 0;
};

/// A version of weights that was named.
struct Target {
  std::int64_t version = 0;
  /// When it was named, UTC milliseconds. A process that restarts knows the age of a version by it.
  std::int64_t named_utc_ms = 0;
  /// The same by this process's clock.
  TimePoint since{};
};

/// What the log has agreed on.
struct AgreedState {
  std::int64_t config_version = 0;
  /// As in a command.
  std::string config_body;
  /// The last versions of each model, oldest first. One that was overtaken still has its bound.
  std::map<std::string, std::vector<Target>> targets;
};

/// Body of a configuration as it is kept in the log and sent to other processes: compressed,
/// because a copy goes to each of them over links that requests share.
std::string PackConfig(std::string_view body);
/// @throws codec::CodecError if it is damaged
std::string UnpackConfig(std::string_view packed);

/// The replicated log of the control processes with its disk. Runs on one thread.
class ControlLog {
 public:
  struct Outlets {
    std::function<void(const agreement::Message&)> send;
    /// Runs Flush after the current event.
    std::function<void()> schedule_flush;
    /// The agreed state has changed.
    std::function<void()> on_change;
    std::function<UtcTime()> utc_now;
  };
  /// Called once: true if the command is committed, false if that is not known in time.
  using Done = std::function<void(bool committed)>;

  /// @throws disk::DiskError, agreement::AgreementError
  ControlLog(const deployment::NodeSettings& settings, const std::vector<std::string>& first_voters,
             Outlets outlets, std::int64_t incarnation, TimePoint now);

  void Tick(TimePoint now);
  void OnMessage(const agreement::Message& message, TimePoint now);
  /// A process without a place in the log asks for one.
  void OnJoin(const agreement::ReplicaId& id, TimePoint now);
  void Propose(const Command& command, Done done, TimePoint now);
  /// Proposes what is queued, syncs the disk and acknowledges.
  void Flush(TimePoint now);
  /// Gives up leadership before a planned stop.
  void StepDown(TimePoint now);

  bool Leading(TimePoint now) const;
  /// Whether what this process has applied is the newest that was acknowledged.
  bool Current(TimePoint now) const;
  /// Whether the applied state holds all that was committed before the current term. Without it, it
  /// may be far behind.
  bool CaughtUp() const { return replica_->CommittedInTerm(); }
  /// The newest configuration on this disk after a restart, which may not be agreed on. Tells where
  /// weights are found, and nothing else.
  const Command& held_config() const { return held_config_; }
  /// Process that leads; empty if none is known.
  std::string Leader() const;
  /// Identity to ask a place for; nothing while the log knows this process.
  std::optional<agreement::ReplicaId> WantsPlace(TimePoint now) const;
  const AgreedState& state() const { return state_; }
  const agreement::Replica& replica() const { return *replica_; }
  const disk::LogStoreCounters& disk_counters() const { return store_->counters(); }

 private:
  struct Pending {
    agreement::Term term = 0;
    TimePoint deadline{};
    Done done;
  };

  void HandleEffects(agreement::Effects effects, TimePoint now);
  void Apply(const agreement::Entry& entry, TimePoint now);
  void ApplyTarget(const std::string& model, std::int64_t version, std::int64_t named_utc_ms,
                   TimePoint now);
  void ApplyCommand(const Command& command, TimePoint now);
  void Restore(const std::string& snapshot, TimePoint now);
  void ExpirePending(TimePoint now);
  void Repair(TimePoint now);
  /// The next change that brings the voters to their number: all processes vote, so that the log
  /// goes on while more than half run, and a dead one makes room for a standby that is ready.
  std::optional<agreement::MembershipChange> PlanRepair(TimePoint now);
  void Compact();

  std::string process_;
  Outlets outlets_;
  std::unique_ptr<disk::LogStore> store_;
  std::unique_ptr<agreement::Replica> replica_;
  AgreedState state_;
  Command held_config_;
  agreement::Index applied_ = 0;
  std::uint64_t last_write_ = 0;
  std::uint64_t persisted_write_ = 0;
  bool flush_scheduled_ = false;
  std::vector<std::pair<std::string, Done>> queued_;
  std::map<agreement::Index, Pending> pending_;
  agreement::Role last_role_ = agreement::Role::kFollower;
  TimePoint heard_leader_{};
  TimePoint leading_since_{};
  TimePoint repair_at_{};
  /// Most voters and processes that answered at the same time, while this process led.
  std::size_t wanted_voters_ = 0;
  std::uint64_t applied_since_snapshot_ = 0;
  std::size_t bytes_since_snapshot_ = 0;
};

}  // namespace wagtailslip::control
