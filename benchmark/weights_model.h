#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {

/// A rollout of small weights to agents with narrow links, from an origin whose link is narrow too.
/// All times are in seconds since version 1 was named.
struct WeightsConfig {
  std::size_t agents = 52;
  std::size_t regions = 1;
  std::size_t chunks = 48;
  std::uint64_t chunk_bytes = 49152;
  double agent_bits = 9.4e6;
  double origin_bits = 9e6;
  /// Number of open connections above which the origin answers 429.
  std::size_t origin_connections = 48;
  /// When each version is named; version numbers start at 1.
  std::vector<double> named_at{0};
  /// The origin is gone from `gone_from` to `gone_to`. Connections to it are refused, or not
  /// answered if `gone_silent`.
  double gone_from = 1e9, gone_to = 1e9;
  bool gone_silent = false;
  /// Number of fetchers of version 1 that stand still from `stall_from` on: they neither answer nor
  /// receive. The first one asked the origin for chunks before.
  std::size_t stalled = 0;
  double stall_from = 0;
  /// Number of fetchers of version 1 whose links have a twentieth of the rate.
  std::size_t slow = 0;
  std::uint64_t seed = 1;
  /// End of the run.
  double end = 30;
};

struct WeightsVersion {
  /// When the first, the last and any chunk left the origin for the first time; one entry a chunk.
  std::vector<double> left;
  /// Chunks that the origin sent, repeated ones included.
  std::size_t sent = 0;
  /// When the first and the last agent that is not stalled held the whole version; 0 if none did.
  double first_whole = 0, all_whole = 0;

  double first_left() const;
  /// Time at which all chunks had left; infinite if one did not.
  double last_left(std::size_t chunks) const;
  /// Number of chunks that had left by a time.
  std::size_t left_by(double at) const;
};

struct WeightsResult {
  std::vector<WeightsVersion> versions;
  /// Longest and total time for which the origin, while it was not gone, sent nothing although a
  /// version that was named 0.2 s before had chunks that had not left; 0.2 s is the time in which
  /// all agents learn of a version and of its digests.
  double longest_idle = 0, total_idle = 0;
  std::size_t refused_by_peers = 0, refused_by_origin = 0, connections_to_gone_origin = 0;
};

/// Runs the sessions of all agents, and the rules by which a sidecar changes between versions. An
/// agent's link carries whole chunks one after another. The origin's link is shared by all its
/// responses, as by TCP connections.
class WeightsModel {
 public:
  explicit WeightsModel(const WeightsConfig& config);
  ~WeightsModel();
  WeightsResult Run();

 private:
  struct Agent;
  struct Fetching;
  /// A chunk that the origin sends.
  struct OriginResponse {
    std::size_t agent;
    std::shared_ptr<Fetching> fetching;
    ChunkIndex chunk;
    double started;
    double bytes_left;
  };
  struct Link {
    double rate = 0;
    double free_at = 0;
  };

  void At(double at, std::function<void()> call);
  double Random();
  bool Stalled(std::size_t agent) const;
  bool OriginGone() const;
  /// Time for which a short reply waits on the origin's link.
  double OriginReplyDelay() const;
  std::shared_ptr<Manifest> ManifestOf(std::size_t version) const;
  /// Sends bytes over a link after those that were sent before. Returns the time of the last byte.
  double Send(Link& link, double bytes) const;
  void LearnVersion(std::size_t agent, std::size_t version, int attempt);
  void StartFetching(std::size_t agent, std::size_t version);
  void Tick(std::size_t agent);
  void TickFetching(std::size_t agent, const std::shared_ptr<Fetching>& fetching);
  void AskOrigin(std::size_t agent, std::shared_ptr<Fetching> fetching, Fetch fetch);
  void OnOriginConnected(std::size_t agent, std::shared_ptr<Fetching> fetching, ChunkIndex chunk);
  void AskPeer(std::size_t agent, std::shared_ptr<Fetching> fetching, Fetch fetch);
  void AskBitmap(std::size_t agent, std::shared_ptr<Fetching> fetching, Poll poll);
  void Receive(std::size_t agent, std::shared_ptr<Fetching> fetching, ChunkIndex chunk,
               std::string source, double sent_from, double sent_to);
  void Fail(std::size_t agent, const std::shared_ptr<Fetching>& fetching, const std::string& source,
            std::optional<ChunkIndex> chunk, FailureReason reason);
  void Promote(std::size_t agent);
  std::shared_ptr<Fetching> FindFetching(std::size_t agent, std::size_t version) const;
  /// Sends the next block of the origin's responses, in turn.
  void SendOriginBlock();
  void NoteOriginSent(const OriginResponse& response);
  void MeasureIdle();

  WeightsConfig config_;
  WeightsResult result_;
  std::vector<std::shared_ptr<Manifest>> manifests_;
  std::shared_ptr<const Members> members_;
  std::vector<Agent> agents_;
  double origin_rate_ = 0;
  bool origin_sending_ = false;
  std::deque<OriginResponse> origin_responses_;
  std::size_t origin_open_ = 0;
  /// Incremented when the origin goes, which ends its connections.
  int origin_incarnation_ = 0;
  std::vector<std::pair<double, double>> origin_busy_;
  std::vector<std::vector<std::size_t>> digest_sources_;
  struct Event {
    double at;
    std::uint64_t sequence;
    std::function<void()> call;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t sequence_ = 0;
  std::uint64_t random_ = 0;
  double now_ = 0;
};

}  // namespace wagtailslip::spread
