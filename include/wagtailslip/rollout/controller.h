#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wagtailslip/config/state.h"

namespace wagtailslip::rollout {

/// State of a replica as its agent reports it; names are the states of charts/replica.chart.
enum class ReplicaState {
  kIdle,
  kFetching,
  kVerified,
  kDraining,
  kLoading,
  kChecking,
  kServing,
  kFailed,
  kExcluded
};
inline constexpr EnumTable<ReplicaState, 9> kReplicaStates{
    {{{ReplicaState::kIdle, "idle"},
      {ReplicaState::kFetching, "fetching"},
      {ReplicaState::kVerified, "verified"},
      {ReplicaState::kDraining, "draining"},
      {ReplicaState::kLoading, "loading"},
      {ReplicaState::kChecking, "checking"},
      {ReplicaState::kServing, "serving"},
      {ReplicaState::kFailed, "failed"},
      {ReplicaState::kExcluded, "excluded"}}}};

/// Progress of one agent with one model or adapter.
struct Progress {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  ReplicaState state = ReplicaState::kIdle;
  /// Root that the agent works on; state, chunks and error refer to it.
  Digest target_root;
  std::uint32_t chunks_present = 0;
  std::uint32_t chunks_total = 0;
  /// Root that the engine serves, as read back; zero if it serves none. An agent that drains or
  /// loads still names the root that the engine holds.
  Digest served_root;
  std::string error;
  /// Local time at which the report arrived.
  TimePoint received_at{};

  bool Verified() const { return chunks_total > 0 && chunks_present == chunks_total; }
};

/// Newest report by line key ("model" or "model/adapter") and endpoint id.
using Reports = std::map<std::string, std::map<std::string, Progress>>;

/// Orders with a smaller token than one already seen are stale.
struct FencingToken {
  std::uint64_t term = 0;
  config::Revision revision = 0;

  auto operator<=>(const FencingToken&) const = default;
};

/// What an agent shall do about one model or adapter.
enum class OrderKind { kFetch, kSwap };
inline constexpr EnumTable<OrderKind, 2> kOrderKinds{
    {{{OrderKind::kFetch, "fetch"}, {OrderKind::kSwap, "swap"}}}};

/// Target of one endpoint. The newest order replaces the earlier ones of the same line.
struct Order {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  std::string model;
  std::string adapter;
  /// kFetch: get the chunks, keep serving. kSwap: also drain, load, check and serve.
  OrderKind kind = OrderKind::kFetch;
  config::Artifact artifact;
  FencingToken token;
};

/// An endpoint that may not get requests for a line.
struct Exclusion {
  std::string endpoint_id;
  std::string artifact_key;
  std::string reason;
};

/// State of one running rollout, for operators.
struct RolloutStatus {
  std::string rollout_id;
  std::size_t members = 0;
  std::size_t verified = 0;
  std::size_t swapping = 0;
  std::size_t serving_target = 0;
  std::size_t serving = 0;
  std::size_t failed = 0;
  /// Why no further endpoint may swap now; empty if one may.
  std::string wait_reason;
};

struct Decision {
  /// Records that the leader proposes.
  std::vector<config::Record> records;
  std::vector<Order> orders;
  std::vector<Exclusion> excluded;
  std::vector<RolloutStatus> status;
};

struct ControllerOptions {
  /// An endpoint without a newer report counts as lost: it neither serves nor blocks.
  Duration report_timeout = std::chrono::seconds(10);
};

/// Whether an endpoint may get requests for a line, and why not.
struct RoutingDecision {
  bool allowed = true;
  /// A constant, so that routing tables can be built without allocation.
  const char* reason = "";
};

/// Decides routing of an endpoint from committed state and its newest report. Every entry process
/// calls it; it needs no leader.
/// @param progress newest report of the endpoint for the line; null if there is none
RoutingDecision DecideRouting(const config::VersionHistory& line, const config::Endpoint& endpoint,
                              const Progress* progress);

/// The leader's decisions on rollouts. It keeps no state of its own, so a new leader goes on from
/// the committed state and the agents' reports.
class Controller {
 public:
  explicit Controller(ControllerOptions options = {}) : options_(options) {}

  /// Decides for all lines. Call it after each applied record and each 100 ms or so; proposing the
  /// same records twice is harmless.
  /// @param term term of the leader, for fencing tokens
  Decision Decide(const config::State& state, const Reports& reports, std::uint64_t term,
                  TimePoint now) const;

 private:
  ControllerOptions options_;
};

}  // namespace wagtailslip::rollout
