#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine_client.h"
#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/control_discovery.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/net/http_server.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/process/metrics.h"
#include "wagtailslip/process/rate_gate.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/stop_plan.h"
#include "wagtailslip/serving/swap_plan.h"
#include "wagtailslip/serving/weights_targets.h"
#include "wagtailslip/spread/members.h"
#include "weights.h"

namespace wagtailslip::sidecar {

/// Brings the intended weights to the engine beside this process. Runs on one thread.
class SidecarNode : public mesh::MeshListener {
 public:
  SidecarNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
              std::int64_t incarnation);

  void Start();
  /// The process is about to end. Chunks are handed out until Finished.
  void BeginStop(TimePoint now);
  /// Whether a stopping process is no longer needed.
  bool Finished(TimePoint now) const;
  void Stop();

 private:
  struct Source {
    std::string model;
    std::string origin;
  };
  // Links.
  void OnMemberUpdated(const mesh::Member& member) override;
  void OnMemberLost(const mesh::Member& member) override;
  void OnMessage(const mesh::Member& from, const wire::MeshMessage& message) override;
  void UpdateControlLinks(TimePoint now);
  void SendStatus(TimePoint now);

  // Spread.
  std::int64_t IntendedVersion() const;
  std::shared_ptr<const spread::Members> SpreadMembers() const;
  /// The same for a version whose spread has begun: with those that have left since, which hand out
  /// what they hold until they end.
  std::shared_ptr<const spread::Members> SpreadMembersWithDeparted(TimePoint begun, TimePoint now);
  net::Task<void> StartSession(std::int64_t version);
  /// The sidecars that take the digests of a version from the origin; the same for all processes.
  std::vector<std::string> DigestSources(std::int64_t version) const;
  net::Task<std::shared_ptr<const spread::Manifest>> FetchDigestsFromPeers(
      std::vector<std::string> peers, std::int64_t version);
  net::Task<std::shared_ptr<const spread::Manifest>> FetchDigestsFromOrigin(std::int64_t version);
  /// Takes over chunks of this version that are staged beside the engine.
  net::Task<void> ReuseLocalChunks(std::shared_ptr<Weights> weights);
  void TickSession(TimePoint now);
  /// Whether the version that is being fetched is finished although a newer one is intended.
  bool WorthFinishing(TimePoint now) const;
  void PromoteIfComplete(const std::shared_ptr<Weights>& weights);
  net::Task<void> Fetch(std::shared_ptr<Weights> weights, spread::Fetch fetch);
  net::Task<void> Poll(std::shared_ptr<Weights> weights, spread::Poll poll);

  // Engine.
  net::Task<void> EngineLoop();
  net::Task<void> UpdateEngineWeights();
  /// The fetched version is not known to be agreed on.
  bool CurrentIsUncommitted() const;
  /// When the engine is to be ordered to load the newest whole weights; nothing if it must not.
  std::optional<TimePoint> ScheduledSwapTime() const;
  /// The newest whole weights are staged, and the engine has not been ordered to load them.
  bool SwapPending() const;
  /// Time until the engine is looked at again.
  Duration EnginePollDelay(TimePoint now) const;
  /// Stages all chunks and reads them back.
  /// @return whether every staged chunk matches its digest
  net::Task<bool> StageAndVerify(std::shared_ptr<Weights> weights);

  // Chunk server.
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
  EngineClient engine_;
  net::HttpPool source_connections_;
  process::RateGate upload_limiter_;
  std::size_t active_uploads_ = 0;
  TimePoint last_upload_at_{};
  TimePoint stop_requested_at_{};

  mesh::ControlDiscovery known_controls_;
  std::map<std::string, TimePoint> control_last_linked_;

  serving::InstanceTable table_;
  std::uint64_t members_revision_ = 0;
  /// Time for which each member of a spread was known.
  struct KnownMember {
    spread::Member member;
    TimePoint first{};
    TimePoint last{};
  };
  std::map<std::string, KnownMember> known_members_;
  std::optional<Source> model_source_;
  serving::WeightsTargets targets_;
  std::int64_t newest_origin_version_ = 0;
  /// Newest version that was asked for and may not be agreed on yet.
  std::int64_t proposed_version_ = 0;

  std::shared_ptr<const spread::Strategy> strategy_;
  /// The version that is being fetched, the newest whole one, and the one before it for peers that
  /// are behind.
  std::shared_ptr<Weights> incoming_;
  std::shared_ptr<Weights> current_;
  std::shared_ptr<Weights> previous_;
  /// When `current_` was whole.
  TimePoint current_complete_at_{};
  bool starting_session_ = false;
  TimePoint next_session_start_{};
  TimePoint next_session_tick_{};

  std::optional<platform::EngineState> engine_state_;
  std::int64_t staged_version_ = 0;
  TimePoint staged_verified_at_{};
  std::int64_t ordered_version_ = 0;
  TimePoint ordered_at_{};
  std::int64_t ordered_incarnation_ = 0;
  serving::EngineStatus sent_status_;
  TimePoint status_sent_at_{};
  bool stopping_ = false;
};

}  // namespace wagtailslip::sidecar
