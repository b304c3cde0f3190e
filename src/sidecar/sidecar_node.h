#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "local_engine_client.h"
#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/control_discovery.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/mesh/target_sync.h"
#include "wagtailslip/net/http_server.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/process/metrics.h"
#include "wagtailslip/process/rate_gate.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/load_guard.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/stop_plan.h"
#include "wagtailslip/serving/swap_plan.h"
#include "wagtailslip/spread/members.h"
#include "weights.h"

namespace wagtailslip::sidecar {

/// Fetches the weights that the engine of this sidecar is to serve, shares their chunks with other
/// sidecars, stages them at the engine and sends it load commands. Runs on one thread.
class SidecarNode : public mesh::MeshListener {
 public:
  SidecarNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
              std::int64_t incarnation);

  void Start();
  /// Begins a graceful shutdown. Chunks are served to other sidecars until Finished returns true.
  void BeginStop(TimePoint now);
  /// Returns whether a stopping process may exit: it has served no chunk for a while, or its grace
  /// period is over.
  bool Finished(TimePoint now) const;
  void Stop();

 private:
  /// The model of the engine's service, and the address of the origin that holds its weights.
  struct Source {
    std::string model;
    std::string origin;
    std::uint32_t layers = 0;
  };

  // Links to control processes.
  void OnMemberUpdated(const mesh::Member& member, bool new_link) override;
  void OnMemberLost(const mesh::Member& member) override;
  void OnMessage(const mesh::Member& from, const wire::MeshMessage& message) override;
  /// Chooses the control processes to keep links to.
  void UpdateControlLinks(TimePoint now);
  /// Sends the engine status to a control process if it has changed or the period has passed.
  void SendStatus(TimePoint now);

  // Fetching of weights.

  /// Returns the newest version that this process knows of, which is the one to fetch; 0 if none.
  std::int64_t IntendedVersion() const;
  /// Returns the sidecars that exchange chunks, including this one.
  std::shared_ptr<const spread::Members> SpreadMembers() const;
  /// Like SpreadMembers, and with the members that have left since a fetch started: they serve the
  /// chunks that they hold until they exit. Updates known_members_.
  std::shared_ptr<const spread::Members> SpreadMembersWithDeparted(TimePoint fetch_started,
                                                                   TimePoint now);
  /// Fetches the digests of a version, and starts the session that fetches its chunks.
  /// @param version 0 for the newest version of the origin
  net::Task<void> StartSession(std::int64_t version);
  /// Returns the sidecars that fetch the digests of a version from the origin. All processes with
  /// the same member list compute the same result.
  std::vector<std::string> DigestSources(std::int64_t version) const;
  net::Task<std::shared_ptr<const spread::Manifest>> FetchDigestsFromPeers(
      std::vector<std::string> peers, std::int64_t version);
  net::Task<std::shared_ptr<const spread::Manifest>> FetchDigestsFromOrigin(std::int64_t version);
  /// Copies the chunks of this version that are available locally: from current_, or, if this
  /// process holds no complete version, from the staging area of the engine.
  net::Task<void> ReuseLocalChunks(std::shared_ptr<Weights> weights);
  void TickSession(TimePoint now);
  /// Returns whether to finish the fetch of incoming_ even though a newer version is intended.
  bool ShouldFinishIncoming(TimePoint now) const;
  /// Makes incoming_ the current version once it has all chunks.
  void PromoteIfComplete(const std::shared_ptr<Weights>& weights);
  net::Task<void> FetchChunk(std::shared_ptr<Weights> weights, spread::Fetch fetch);
  /// Asks a peer for the bitmap of the chunks that it holds.
  net::Task<void> PollPeer(std::shared_ptr<Weights> weights, spread::Poll poll);

  // Engine.

  /// Reads the engine state periodically, updates the engine's weights and sends the engine status.
  net::Task<void> EngineLoop();
  /// Returns whether newer weights have overtaken this version so long ago that no request may
  /// begin on it any more.
  /// @param newer_staged see serving::DropTime
  bool Overtaken(std::int64_t version, bool newer_staged, TimePoint now) const;
  /// Returns whether the engine has to be told to drop its weights.
  bool DropDue(TimePoint now) const;
  /// Lets the engine drop weights that it must not answer on any more.
  net::Task<void> DropOvertakenWeights();
  /// Stages and verifies current_, and sends the engine a load command once its swap time has come.
  net::Task<void> UpdateEngineWeights();
  /// Returns whether current_ is a proposed version that is not known to be committed.
  bool CurrentIsUncommitted() const;
  /// Returns when to send the engine a load command for current_, or nothing if it must not load it
  /// yet. A time in the past means at once.
  std::optional<TimePoint> ScheduledSwapTime() const;
  /// Returns whether the engine carries out a load command, or its weights have to be checked or
  /// loaded again.
  bool LoadPending() const;
  /// Like LoadPending, but not for a load that had ended before this process started.
  bool CheckPending() const;
  /// Returns whether current_ is staged and the load command for it has not been accepted yet.
  bool SwapPending() const;
  /// Returns the time until the next read of the engine state.
  Duration EnginePollDelay(TimePoint now) const;
  /// Reads the engine state, and reports it to load_guard_.
  net::Task<void> ReadEngineState();
  /// Reads back the chunks from which the engine has loaded its weights, or is loading them.
  /// Damaged weights are loaded again.
  /// @return whether the engine may be told to load other weights
  net::Task<bool> CheckLoad();
  /// Reads back the staged chunks of a load, and writes damaged ones again.
  net::Task<void> ReadBackLoad(std::shared_ptr<Weights> weights);
  /// Lets the engine drop all layers but one of a damaged load, so that they are loaded again.
  net::Task<void> DropDamagedLayers();
  /// Sends a load command and takes its result into account.
  /// @param drops the command only lets the engine drop weights
  net::Task<void> SendLoadCommand(platform::LoadCommand command, bool drops = false);
  /// Reads back all chunks that are staged already, and stages and reads back those that are
  /// missing or corrupt.
  /// @return whether all chunks match their digests now
  net::Task<bool> StageAndVerify(std::shared_ptr<Weights> weights);
  /// Reads back all chunks, and stages and reads back those that do not match.
  /// @param read_first false if nothing of this version is staged
  /// @return the chunks that did not match at first; nothing if one does not match after it was
  ///     staged
  net::Task<std::optional<std::vector<std::uint32_t>>> RepairStagedChunks(
      std::shared_ptr<Weights> weights, bool read_first);

  // HTTP servers.
  net::Task<void> ServeWeights(net::HttpExchange& exchange);
  net::Task<void> ServeMetrics(net::HttpExchange& exchange);
  std::shared_ptr<Weights> FindWeights(std::string_view model, std::int64_t version) const;

  void Tick();

  net::asio::io_context& context_;
  deployment::NodeSettings settings_;
  std::int64_t incarnation_;
  net::PeriodicTimer tick_timer_;
  std::unique_ptr<mesh::MeshNode> mesh_;
  std::unique_ptr<net::HttpServer> chunk_server_;
  std::unique_ptr<net::HttpServer> metrics_server_;
  process::Metrics metrics_;
  LocalEngineClient engine_;
  /// Connections to chunk sources.
  net::HttpPool source_connections_;
  process::RateGate upload_limiter_;
  /// Chunk requests that are being served.
  std::size_t active_uploads_ = 0;
  TimePoint last_upload_at_{};
  TimePoint stop_requested_at_{};

  mesh::ControlDiscovery control_discovery_;
  /// For each chosen control process: when its link was last up, or when it was chosen if it has
  /// not been up since.
  std::map<std::string, TimePoint> control_last_linked_;

  serving::InstanceTable table_;
  /// Revision of table_ that the members of the session were taken from.
  std::uint64_t members_revision_ = 0;
  /// A sidecar, and when it was first and last a member.
  struct KnownMember {
    spread::Member member;
    TimePoint first_seen{};
    TimePoint last_seen{};
  };
  /// By address.
  std::map<std::string, KnownMember> known_members_;
  std::optional<Source> model_source_;
  mesh::TargetSync target_sync_;
  std::int64_t newest_origin_version_ = 0;
  /// Newest proposed version, which may not be committed yet. It is fetched, but an engine that has
  /// weights does not load it before it is committed.
  std::int64_t proposed_version_ = 0;

  std::shared_ptr<const spread::Strategy> strategy_;
  /// The version that is being fetched, the newest complete one, and the complete one before it,
  /// which is kept for peers that have not fetched the newer one yet.
  std::shared_ptr<Weights> incoming_;
  std::shared_ptr<Weights> current_;
  std::shared_ptr<Weights> previous_;
  /// When current_ became complete.
  TimePoint current_complete_at_{};
  /// StartSession is running.
  bool starting_session_ = false;
  /// Earliest time at which StartSession may be called again.
  TimePoint next_session_start_{};
  /// When to call TickSession next.
  TimePoint next_session_tick_{};

  std::optional<platform::EngineState> engine_state_;
  serving::LoadGuard load_guard_;
  /// Version of which all chunks are staged, and when the reads of their last verification began:
  /// no chunk was read earlier.
  std::int64_t staged_version_ = 0;
  TimePoint staged_read_since_{};
  /// The last verification was too old when it ended.
  bool verification_slow_ = false;
  /// The last load command that the engine accepted: its version, 0 if no command is outstanding;
  /// its time; and the start time of the engine incarnation that accepted it.
  std::int64_t load_command_version_ = 0;
  TimePoint load_command_at_{};
  std::int64_t load_command_incarnation_ = 0;
  /// Earliest time of the next command to drop weights.
  TimePoint next_drop_{};
  /// Commands to drop weights that the engine has not accepted, since the last one that it has.
  int failed_drops_ = 0;
  serving::EngineStatus sent_status_;
  TimePoint status_sent_at_{};
  bool stopping_ = false;
};

}  // namespace wagtailslip::sidecar
