#include "sidecar_node.h"

#include <algorithm>

#include "gen/mesh_types.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"

namespace wagtailslip::sidecar {
namespace {

using mesh::MemberKind;
using process::MonotonicNow;
namespace asio = net::asio;

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
// Share of the link rate that chunk uploads may use. Uploads are sent one after another, so an
// event of a response stream of the engine waits for at most one chunk.
constexpr double kUploadLinkShare = 0.95;

}  // namespace

SidecarNode::SidecarNode(asio::io_context& context, const deployment::NodeSettings& settings,
                         std::int64_t incarnation)
    : context_(context),
      settings_(settings),
      incarnation_(incarnation),
      tick_timer_(context, kTickPeriod, [this] { Tick(); }),
      engine_(context.get_executor(), net::ParseAddress(settings.engine_address)),
      source_connections_(context.get_executor()),
      upload_limiter_(static_cast<std::uint64_t>(settings.link_rate * kUploadLinkShare)),
      control_discovery_(settings),
      target_sync_(settings.bounds.weights_propagation),
      strategy_(spread::MakeStrategy(spread::StrategyKind::kSwarm)) {
  mesh_ = std::make_unique<mesh::MeshNode>(
      context, net::ParseAddress(settings.mesh_address()),
      mesh::MakeSelfMember(settings, MemberKind::kSidecar, settings.engine_address, incarnation),
      mesh::MeshLimits{}, *this);
  chunk_server_ = std::make_unique<net::HttpServer>(
      context, net::ParseAddress(settings.chunk_address()), net::HttpLimits{},
      [this](net::HttpExchange& exchange) { return ServeWeights(exchange); });
  metrics_server_ = std::make_unique<net::HttpServer>(
      context, net::ParseAddress(settings.metrics_address()), net::HttpLimits{},
      [this](net::HttpExchange& exchange) { return ServeMetrics(exchange); });
}

void SidecarNode::Start() {
  UpdateControlLinks(MonotonicNow());
  mesh_->Start();
  chunk_server_->Start();
  metrics_server_->Start();
  asio::co_spawn(context_, EngineLoop(), asio::detached);
  tick_timer_.Start();
}

void SidecarNode::BeginStop(TimePoint now) {
  stop_requested_at_ = now;
  last_upload_at_ = now;
  stopping_ = true;
}

bool SidecarNode::Finished(TimePoint now) const {
  const bool busy = active_uploads_ > 0 || CheckPending();
  return serving::SourceMayExit(
      {stop_requested_at_, last_upload_at_, busy, settings_.bounds.stop_grace}, now);
}

void SidecarNode::Stop() {
  stopping_ = true;
  tick_timer_.Stop();
  mesh_->Stop();
  chunk_server_->StopAccepting();
  metrics_server_->StopAccepting();
}

void SidecarNode::Tick() {
  const TimePoint now = MonotonicNow();
  UpdateControlLinks(now);
  target_sync_.AskIfDue(*mesh_, now);
  const std::int64_t intended = IntendedVersion();
  const std::int64_t newest_started =
      std::max(current_ ? current_->version : 0, incoming_ ? incoming_->version : 0);
  const bool up_to_date = newest_started != 0 && newest_started >= intended;
  const bool start_intended = !up_to_date && !ShouldFinishIncoming(now);
  const bool refetch_digests = incoming_ && incoming_->rejected.RefetchDue(now);
  if (model_source_ && (start_intended || refetch_digests) && !starting_session_ &&
      now >= next_session_start_) {
    starting_session_ = true;
    const std::int64_t version = start_intended ? intended : incoming_->version;
    asio::co_spawn(context_, StartSession(version), asio::detached);
  }
  if (incoming_ && table_.revision() != members_revision_) {
    members_revision_ = table_.revision();
    incoming_->session->OnMembers(SpreadMembersWithDeparted(incoming_->fetch_started, now), now);
    next_session_tick_ = now;
  }
  if (now >= next_session_tick_) TickSession(now);
}

bool SidecarNode::ShouldFinishIncoming(TimePoint now) const {
  if (!incoming_ || incoming_->session->present() == 0) return false;
  const auto since =
      target_sync_.targets().EarliestNewerTargetTime(incoming_->model, incoming_->version - 1);
  return !since ||
         serving::ShouldFinishSpreading(*since, settings_.bounds.weights_propagation, now);
}

}  // namespace wagtailslip::sidecar
