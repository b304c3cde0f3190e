#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/config/record.h"
#include "wagtailslip/spread/bitmap.h"
#include "wagtailslip/spread/manifest.h"
#include "wagtailslip/spread/members.h"
#include "wagtailslip/spread/origin_backoff.h"
#include "wagtailslip/spread/strategy.h"

namespace wagtailslip::spread {

/// Identifier of the origin where a source is named; agents have non-empty ids.
inline constexpr std::string_view kOrigin;

/// Bounds of one session.
struct SessionLimits {
  /// Neighbours inside the region. A region's fetchers know its other fetchers and those of the
  /// other regions as well.
  std::size_t neighbours = 8;
  /// Requests under way, in all and per peer. One more than the uploads that a peer serves at a
  /// time keeps the links busy; more only adds refused requests and queueing.
  std::size_t max_outstanding = 5;
  std::size_t max_per_peer = 2;
  std::size_t max_to_origin = 1;
  /// Requests under way to fetchers of other regions, over all of them.
  std::size_t max_across_regions = 3;
  /// Sources asked for the same chunk at the same time.
  std::size_t max_sources_per_chunk = 2;
  /// Time between two requests for the bitmap of one neighbour, and their deadline.
  Duration poll_interval = std::chrono::milliseconds(500);
  Duration poll_timeout = std::chrono::seconds(2);
  /// Lowest rate in bytes per second that the first requests allow for, before a rate is known.
  std::uint64_t min_initial_rate = 1 << 20;
  Duration min_deadline = std::chrono::seconds(2);
  Duration max_deadline = std::chrono::seconds(120);
  /// Longest pause before an origin that failed is asked again.
  Duration max_origin_backoff = std::chrono::seconds(5);
  /// Time in which the neighbours must have answered once before the origin is asked, so that a
  /// restarted agent, or one that has become a fetcher, does not fetch what they hold.
  Duration origin_grace_period = std::chrono::seconds(1);
  /// Own chunks taken from the origin before a neighbour shows the first of them; 0 for a part of
  /// the manifest. A fetcher whose uploads are stalled stops there.
  std::size_t max_unconfirmed_chunks = 0;
  /// Requests under way to neighbours while own chunks of the origin are missing, which share the
  /// link with them and for which all others wait; 0 for no such bound.
  std::size_t max_peer_requests_during_origin_fetch = 0;
  /// Part of the usual waiting times after which another agent takes over from a fetcher, a region
  /// or all of them.
  double takeover_timeout_factor = 1;
};

/// A request for a chunk.
struct Fetch {
  ChunkIndex chunk = 0;
  Digest digest;
  std::uint64_t size = 0;
  /// Id of the peer, or kOrigin.
  std::string source;
  /// Address "ip:port" of the peer; empty for the origin.
  std::string address;
  /// Time by which the whole chunk must have arrived.
  TimePoint deadline;
};

/// A neighbour whose bitmap is to be asked for.
struct Poll {
  std::string peer;
  std::string address;
  TimePoint deadline;
};

/// A request that is no longer of use and should be aborted without a further event.
struct Cancel {
  ChunkIndex chunk = 0;
  std::string source;
};

struct TickResult {
  std::vector<Fetch> fetches;
  std::vector<Poll> polls;
  std::vector<Cancel> cancels;
  /// Time of the next call if no event comes before.
  TimePoint next;
};

/// Why a request ended without a body.
enum class FailureReason { kTimeout, kUnreachable, kBusy, kMissing };
inline constexpr EnumTable<FailureReason, 4> kFailureReasons{
    {{{FailureReason::kTimeout, "timeout"},
      {FailureReason::kUnreachable, "unreachable"},
      {FailureReason::kBusy, "busy"},
      {FailureReason::kMissing, "missing"}}}};

/// Counters of one session, for metrics.
struct SessionStats {
  std::uint64_t from_origin = 0;
  std::uint64_t from_peers = 0;
  std::uint64_t across_regions = 0;
  std::uint64_t corrupt = 0;
  std::uint64_t failures = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t polls = 0;
};

/// Decides which chunks one agent asks for, and from whom, until it holds a whole version.
class Session {
 public:
  /// @param self id of the agent, which must be in `members`
  /// @param seed chooses between equally good chunks and spreads retries
  /// @throws SpreadError if `self` is not a member
  Session(std::shared_ptr<const Manifest> manifest, std::shared_ptr<const Members> members,
          std::string self, std::shared_ptr<const Strategy> strategy, config::SpreadPolicy policy,
          SessionLimits limits, std::uint64_t seed);
  ~Session();
  Session(Session&&) noexcept;
  Session& operator=(Session&&) noexcept;

  /// Records a chunk that the agent holds and has verified, before or after Start.
  void MarkPresent(ChunkIndex chunk);

  /// Starts the session; no event or tick may come before.
  void Start(TimePoint now);

  /// Takes over a new member list. A list without the agent itself is ignored: the agent goes on
  /// with the last one until it is a member again.
  void OnMembers(std::shared_ptr<const Members> members, TimePoint now);

  /// Handles a neighbour's bitmap. An unknown peer or a bitmap of another size is ignored.
  void OnPeerHave(std::string_view peer, const Bitmap& have, TimePoint now);

  /// Handles a received chunk.
  /// @param source peer id or kOrigin
  /// @return true if the chunk is now present and was not before, so it should be stored
  bool OnChunk(ChunkIndex chunk, std::string_view source, ChunkResult result, TimePoint now);

  /// Handles a request that failed.
  /// @param chunk the chunk asked for, or nothing if it was a bitmap
  /// @param retry_after earliest time to ask the source again, 0 if it named none
  void OnFailure(std::string_view source, std::optional<ChunkIndex> chunk, FailureReason reason,
                 Duration retry_after, TimePoint now);

  /// Decides the next requests. To be called after each event and at the time in `next`.
  TickResult Tick(TimePoint now);

  /// What the successor of this version takes over.
  struct Handover {
    /// Chunks of the next version that are already present.
    std::vector<ChunkIndex> present;
    /// Present chunks that the next version does not need.
    std::vector<Digest> obsolete;
    std::vector<Cancel> cancels;
  };

  /// Ends the session because `next` replaces its version; later ticks ask for nothing.
  Handover Supersede(const Manifest& next);

  const Bitmap& have() const { return have_; }
  std::size_t present() const { return present_; }
  bool Complete() const { return present_ == manifest_->chunks.size(); }
  std::size_t outstanding() const;
  const SessionStats& stats() const { return stats_; }
  const Manifest& manifest() const { return *manifest_; }
  /// Bytes held by the session itself, without manifest and member list.
  std::size_t MemoryBytes() const;

 private:
  struct Peer;
  struct Request;
  struct Waiting;

  static const Waiting& WaitingFor(config::SpreadPolicy policy);
  Duration Shortened(Duration waiting) const;
  void Replan(TimePoint now);
  Peer* FindPeer(std::string_view id);
  Slot SlotOf(std::string_view source) const;
  void SetHave(Peer& peer, const Bitmap& have, TimePoint now);
  void SetPresent(ChunkIndex chunk);
  bool EndRequest(ChunkIndex chunk, Slot slot, TimePoint now, bool completed);
  void Block(Peer& peer, Duration duration, TimePoint now);
  Duration BusyPause();
  void Punish(Peer& peer, TimePoint now);
  void ExpireRequests(TimePoint now, TickResult& result);
  bool MayAsk(const Peer& peer, ChunkIndex chunk, TimePoint now) const;
  bool MayAskOrigin(TimePoint now) const;
  /// The neighbour has not answered the last request for its bitmap in time.
  bool Silent(const Peer& peer, TimePoint now) const;
  bool Hopeless(Slot slot, TimePoint now) const;
  bool Owns(ChunkIndex chunk, TimePoint now) const;
  bool Available(ChunkIndex chunk, bool remote, TimePoint now) const;
  bool FromOrigin(ChunkIndex chunk, TimePoint now) const;
  bool WindowOpen() const;
  void FindSuspects(TimePoint now);
  bool Settled(TimePoint now) const;
  bool UnderWay(ChunkIndex chunk) const;
  Slot BestPeer(ChunkIndex chunk, TimePoint now, bool local, bool remote) const;
  void Ask(ChunkIndex chunk, Slot slot, TimePoint now, TickResult& result);
  void AskAssigned(TimePoint now, TickResult& result);
  void AskNeighbours(TimePoint now, TickResult& result);
  void AskTakeovers(TimePoint now, TickResult& result);
  void AskFallback(TimePoint now, TickResult& result);
  void AskExtra(TimePoint now, TickResult& result);
  void AskDuplicates(TimePoint now, TickResult& result);
  void AskBitmaps(TimePoint now, TickResult& result);
  double Expected(ChunkIndex chunk, double deviations) const;
  Duration Deadline(ChunkIndex chunk) const;
  std::uint64_t Random();

  std::shared_ptr<const Manifest> manifest_;
  std::shared_ptr<const Members> members_;
  std::string self_;
  std::shared_ptr<const Strategy> strategy_;
  config::SpreadPolicy policy_;
  SessionLimits limits_;
  std::uint64_t random_;

  bool started_ = false;
  bool ended_ = false;
  /// Time of the last change of the plan.
  TimePoint planned_at_;
  Bitmap have_;
  std::size_t present_ = 0;
  Plan plan_;
  std::vector<Peer> peers_;
  std::size_t local_peers_ = 0;
  std::vector<Request> requests_;
  /// Per chunk: requests under way, local neighbours that have it, order among equals.
  std::vector<std::uint8_t> in_flight_;
  std::vector<std::uint16_t> copies_;
  std::vector<std::uint16_t> priority_;
  /// Chunks of rank 0 and of a higher rank that are still missing.
  std::vector<ChunkIndex> assigned_;
  std::vector<ChunkIndex> substitute_;
  OriginBackoff origin_;
  std::size_t origin_requests_ = 0;
  /// Mean and mean deviation of the time of a completed chunk request in seconds per byte; 0 before
  /// the first.
  double seconds_per_byte_ = 0;
  double deviation_ = 0;
  /// Factor of deadlines, above 1 while requests time out.
  double patience_ = 1;
  /// Mean size of the chunks in bytes.
  double mean_chunk_ = 0;
  /// Chunks of rank 0, present or not.
  Bitmap owned_;
  /// Last time that a neighbour gained a chunk.
  TimePoint progress_at_;
  TimePoint next_takeover_check_;
  TimePoint idle_since_;
  /// Additional copies of chunks that this agent may take and has taken from the origin.
  std::size_t extra_limit_ = 0;
  std::size_t extra_taken_ = 0;
  SessionStats stats_;
};

}  // namespace wagtailslip::spread
