#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wagtailslip/config/state.h"

namespace wagtailslip::rollout {

/// State of a replica as reported by its agent. The names match the states in
/// charts/replica.chart.
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

/// Progress of one agent in updating one model or adapter.
struct Progress {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  ReplicaState state = ReplicaState::kIdle;
  /// Root that the agent is fetching or loading; state, chunk counts and error refer to it.
  Digest target_root;
  std::uint32_t chunks_present = 0;
  std::uint32_t chunks_total = 0;
  /// Root read back from the engine; zero if it serves none. While draining or loading, this is
  /// still the root that the engine holds.
  Digest served_root;
  std::string error;
  /// Local time at which the report was received.
  TimePoint received_at{};

  bool Verified() const { return chunks_total > 0 && chunks_present == chunks_total; }
};

/// Newest report by artifact key ("model" or "model/adapter") and endpoint id.
using Reports = std::map<std::string, std::map<std::string, Progress>>;

/// Leader term and revision of an order. An order with a smaller token than one already seen
/// is stale.
struct FencingToken {
  std::uint64_t term = 0;
  config::Revision revision = 0;

  auto operator<=>(const FencingToken&) const = default;
};

/// Action that an agent is to take for one model or adapter.
enum class OrderKind { kFetch, kSwap };
inline constexpr EnumTable<OrderKind, 2> kOrderKinds{
    {{{OrderKind::kFetch, "fetch"}, {OrderKind::kSwap, "swap"}}}};

/// Target version of one endpoint. A newer order replaces earlier ones for the same model or
/// adapter.
struct Order {
  std::string endpoint_id;
  std::uint64_t incarnation = 0;
  std::string model;
  std::string adapter;
  /// kFetch: download the chunks and keep serving the current version. kSwap: also drain, load,
  /// check and serve the target.
  OrderKind kind = OrderKind::kFetch;
  config::Artifact artifact;
  FencingToken token;
};

/// An endpoint that must not receive requests for a model or adapter.
struct Exclusion {
  std::string endpoint_id;
  std::string artifact_key;
  std::string reason;
};

/// Progress of one active rollout, shown to operators.
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
  /// Records for the leader to propose.
  std::vector<config::Record> records;
  std::vector<Order> orders;
  std::vector<Exclusion> excluded;
  std::vector<RolloutStatus> status;
};

struct ControllerOptions {
  /// An endpoint whose newest report is older than this counts as lost: it is not counted as
  /// serving and does not block a rollout.
  Duration report_timeout = std::chrono::seconds(10);
};

/// Whether an endpoint may receive requests for a model or adapter and, if not, why.
struct RoutingDecision {
  bool allowed = true;
  /// String literal, so that building a routing table does not allocate.
  const char* reason = "";
};

/// Decides from committed state and the newest report whether an endpoint may receive requests.
/// Every entry process calls this; it does not need a leader.
/// @param progress newest report of the endpoint for this model or adapter; null if there is none
RoutingDecision DecideRouting(const config::VersionHistory& history,
                              const config::Endpoint& endpoint, const Progress* progress);

/// Makes the leader's rollout decisions. It is stateless, so a new leader continues from the
/// committed state and the agents' reports.
class Controller {
 public:
  explicit Controller(ControllerOptions options = {}) : options_(options) {}

  /// Decides for all models and adapters. Call it after each applied record and about every 100 ms.
  /// Proposing the same records twice is harmless.
  /// @param term leader term, used in fencing tokens
  Decision Decide(const config::State& state, const Reports& reports, std::uint64_t term,
                  TimePoint now) const;

 private:
  ControllerOptions options_;
};

}  // namespace wagtailslip::rollout
