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

/// Source id of the origin. It is empty, which the id of an agent never is.
inline constexpr std::string_view kOrigin;

/// Limits and timeouts of one session.
struct SessionLimits {
  /// Number of neighbours inside the region. The fetchers of a region have its other fetchers and
  /// those of the other regions as additional neighbours.
  std::size_t neighbours = 8;
  /// Maximum number of concurrent requests in total, per peer and to the origin. A total of one
  /// more than the concurrent uploads that a peer serves keeps the links busy; more only adds
  /// refused requests and queueing.
  std::size_t max_outstanding = 5;
  std::size_t max_per_peer = 2;
  std::size_t max_to_origin = 1;
  /// Maximum number of concurrent requests to the fetchers of all other regions together.
  std::size_t max_across_regions = 3;
  /// Maximum number of sources that are asked for the same chunk concurrently.
  std::size_t max_sources_per_chunk = 2;
  /// Interval between bitmap requests to one neighbour, and the timeout of each request.
  Duration poll_interval = std::chrono::milliseconds(500);
  Duration poll_timeout = std::chrono::seconds(2);
  /// Transfer rate in bytes per second that deadlines assume until a transfer has completed.
  std::uint64_t min_initial_rate = 1 << 20;
  /// Bounds of the timeout of a chunk request.
  Duration min_deadline = std::chrono::seconds(2);
  Duration max_deadline = std::chrono::seconds(120);
  /// Lower bound of the timeout of a chunk request to the origin, if higher than min_deadline. All
  /// fetchers share the origin's link, so a request takes as long as all chunks that are requested
  /// at the same time.
  Duration min_origin_deadline = Duration::zero();
  /// Maximum backoff before a failed origin is asked again, without jitter.
  Duration max_origin_backoff = std::chrono::seconds(5);
  /// Constant pause before an origin that is unreachable or times out is asked again, with one
  /// request at a time; 0 to back off exponentially.
  Duration origin_probe_interval = Duration::zero();
  /// Maximum time to wait for a first reply from every neighbour before the origin is asked, so
  /// that a restarted agent, or one that has become a fetcher, does not fetch chunks that they
  /// hold.
  Duration origin_grace_period = std::chrono::seconds(1);
  /// Maximum number of primary chunks that this agent holds and no neighbour does yet; at the limit
  /// it stops fetching from the origin, so that a fetcher whose uploads are stalled does not fetch
  /// chunks that it cannot pass on. 0 derives the limit from the size of the manifest.
  std::size_t max_unconfirmed_chunks = 0;
  /// Maximum number of concurrent requests to neighbours while this agent still has chunks to fetch
  /// from the origin; 0 for no limit. These requests share the link with the chunks from the
  /// origin, which all other agents wait for.
  std::size_t max_peer_requests_during_origin_fetch = 0;
  /// Whether a fetcher that has requested all its own chunks also requests chunks of the region's
  /// other fetchers from the origin, so that fetchers with fewer chunks or faster links help the
  /// others. Fetchers then request their own chunks in ascending order, and help in descending
  /// order.
  bool help_other_fetchers = false;
  /// Time after which a fetcher that holds all its own chunks also requests those chunks that
  /// another fetcher has probably requested already; in addition to the longest time of its own
  /// requests, which compete for the same link.
  Duration help_with_requested_after = std::chrono::milliseconds(400);
  /// Factor on the timeouts after which another agent takes over the chunks of a fetcher, of all
  /// fetchers of a region or of all fetchers.
  double takeover_timeout_factor = 1;
};

/// A chunk to request from a source.
struct Fetch {
  ChunkIndex chunk = 0;
  Digest digest;
  std::uint64_t size = 0;
  /// Id of the peer, or kOrigin.
  std::string source;
  /// Address "ip:port" of the peer; empty for the origin.
  std::string address;
  /// Time by which the whole chunk must have been received.
  TimePoint deadline;
};

/// A bitmap to request from a neighbour.
struct Poll {
  std::string peer;
  std::string address;
  TimePoint deadline;
};

/// A chunk request to abort. No event may be reported for it afterwards.
struct Cancel {
  ChunkIndex chunk = 0;
  std::string source;
};

/// Requests to send and to abort after one call of Session::Tick.
struct TickResult {
  std::vector<Fetch> fetches;
  std::vector<Poll> polls;
  std::vector<Cancel> cancels;
  /// Time of the next call if no event occurs before.
  TimePoint next;
};

/// Why a request failed.
enum class FailureReason { kTimeout, kUnreachable, kBusy, kMissing };
inline constexpr EnumTable<FailureReason, 4> kFailureReasons{
    {{{FailureReason::kTimeout, "timeout"},
      {FailureReason::kUnreachable, "unreachable"},
      {FailureReason::kBusy, "busy"},
      {FailureReason::kMissing, "missing"}}}};

/// Counters of one session, for metrics. `from_origin`, `from_peers` and `across_regions` count
/// received chunks.
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

/// Selects the chunks that one agent requests, and their sources, until it holds a complete
/// version. Does no I/O: the caller sends the requests that Tick returns and reports their outcome.
class Session {
 public:
  /// @param self id of the agent, which must be in `members`
  /// @param seed seeds the choice between equally rare chunks and the jitter of retries
  /// @throws SpreadError if `self` is not a member
  Session(std::shared_ptr<const Manifest> manifest, std::shared_ptr<const Members> members,
          std::string self, std::shared_ptr<const Strategy> strategy, config::SpreadPolicy policy,
          SessionLimits limits, std::uint64_t seed);
  ~Session();
  Session(Session&&) noexcept;
  Session& operator=(Session&&) noexcept;

  /// Records a chunk that the agent holds and has verified. May be called before or after Start.
  void MarkPresent(ChunkIndex chunk);

  /// Starts the session. Must precede all events and ticks.
  void Start(TimePoint now);

  /// Replaces the member list. A list without the agent itself is ignored: the agent continues with
  /// the previous list until it is a member again.
  void OnMembers(std::shared_ptr<const Members> members, TimePoint now);

  /// Handles a neighbour's bitmap. Unknown peers and bitmaps of the wrong size are ignored.
  void OnPeerHave(std::string_view peer, const Bitmap& have, TimePoint now);

  /// Handles a received chunk.
  /// @param source peer id or kOrigin
  /// @return true if the chunk was missing and is now present, so the caller must store it
  bool OnChunk(ChunkIndex chunk, std::string_view source, ChunkResult result, TimePoint now);

  /// Handles a failed request.
  /// @param chunk the requested chunk, or nullopt for a bitmap request
  /// @param retry_after time to wait before the source is asked again, 0 if it gave none
  void OnFailure(std::string_view source, std::optional<ChunkIndex> chunk, FailureReason reason,
                 Duration retry_after, TimePoint now);

  /// Selects the next requests. Must be called after each event and at the time in `next`.
  TickResult Tick(TimePoint now);

  /// State handed over to the session of the next version.
  struct Handover {
    /// Chunks that are already present, as indices into the next version.
    std::vector<ChunkIndex> present;
    /// Present chunks that the next version does not need.
    std::vector<Digest> obsolete;
    std::vector<Cancel> cancels;
  };

  /// Ends the session because `next` replaces its version. Later ticks return no requests.
  Handover Supersede(const Manifest& next);

  const Bitmap& have() const { return have_; }
  std::size_t present() const { return present_; }
  bool Complete() const { return present_ == manifest_->chunks.size(); }
  std::size_t outstanding() const;
  /// Returns whether the last request to the origin timed out or could not be sent.
  bool OriginUnreachable() const { return origin_.unreachable(); }
  const SessionStats& stats() const { return stats_; }
  const Manifest& manifest() const { return *manifest_; }
  /// Memory used by the session in bytes, without the manifest and the member list.
  std::size_t MemoryBytes() const;

 private:
  struct Peer;
  struct Request;
  struct TakeoverTimeouts;

  static const TakeoverTimeouts& TimeoutsFor(config::SpreadPolicy policy);
  /// Applies SessionLimits::takeover_timeout_factor.
  Duration ScaledTimeout(Duration timeout) const;
  /// Rebuilds the plan for the current member list and keeps the state of remaining neighbours.
  void Replan(TimePoint now);
  Peer* FindPeer(std::string_view id);
  Slot SlotOf(std::string_view source) const;
  void SetHave(Peer& peer, const Bitmap& have, TimePoint now);
  void SetPresent(ChunkIndex chunk);
  /// Removes a request in flight. Returns false if there is none.
  bool EndRequest(ChunkIndex chunk, Slot slot, TimePoint now, bool completed);
  /// Sends no chunk or bitmap requests to a peer for a time with jitter.
  void Block(Peer& peer, Duration duration, TimePoint now);
  Duration BusyPause();
  /// Blocks a peer after a failed chunk request, exponentially longer with each consecutive
  /// failure.
  void BackOff(Peer& peer, TimePoint now);
  void ExpireRequests(TimePoint now, TickResult& result);
  bool MayRequestFrom(const Peer& peer, ChunkIndex chunk, TimePoint now) const;
  bool MayRequestFromOrigin(TimePoint now) const;
  /// True if the neighbour has not answered the last bitmap request in time.
  bool BitmapOverdue(const Peer& peer, TimePoint now) const;
  /// True if a fetcher shows no progress or has been suspect for the takeover timeout, or if its
  /// bitmap is overdue.
  bool HasFailed(Slot slot, TimePoint now) const;
  /// True if all candidates that rank before this agent for a chunk have failed.
  bool IsResponsible(ChunkIndex chunk, TimePoint now) const;
  /// True if a responsive neighbour holds the chunk, including other regions if `remote`.
  bool AvailableFromPeers(ChunkIndex chunk, bool remote, TimePoint now) const;
  /// True if this agent, having requested all its own chunks, is to request a chunk of another
  /// fetcher: the other one has more chunks left than it requests at a time, or keeps a requested
  /// one waiting.
  bool ShouldHelp(ChunkIndex chunk, TimePoint now) const;
  /// Number of missing chunks that the fetcher of `chunk` is expected to request before it.
  std::size_t PositionAtFetcher(ChunkIndex chunk) const;
  /// True if the chunk is to be fetched from the origin: the plan says so, or all fetchers of its
  /// home region have failed.
  bool ShouldUseOrigin(ChunkIndex chunk, TimePoint now) const;
  /// True while fewer primary chunks than the limit are held by this agent and no neighbour.
  bool UnconfirmedWindowOpen() const;
  /// Updates Peer::suspect_since of all peers.
  void UpdateSuspects(TimePoint now);
  /// True once every neighbour has replied or the grace period since the last plan has elapsed.
  bool OriginGracePeriodOver(TimePoint now) const;
  /// True if the chunk needs no further request: it is requested from the origin, from a peer that
  /// is not suspect, or from the maximum number of sources.
  bool HasActiveRequest(ChunkIndex chunk) const;
  /// Returns the peer with the lowest expected time that may be asked for a chunk, or kNoSlot.
  Slot BestPeer(ChunkIndex chunk, TimePoint now, bool local, bool remote) const;
  void StartRequest(ChunkIndex chunk, Slot slot, TimePoint now, TickResult& result);
  /// Requests chunks for which this agent is the primary fetcher.
  void RequestPrimaryChunks(TimePoint now, TickResult& result);
  /// Requests the chunks that the fewest neighbours in the region hold.
  void RequestRarestChunks(TimePoint now, TickResult& result);
  /// Requests chunks for which this agent is a backup fetcher and whose fetchers have failed.
  void RequestTakeovers(TimePoint now, TickResult& result);
  /// Asks the origin for a chunk that no neighbour holds after a long time without progress,
  /// whether or not this agent is a fetcher.
  void RequestFallback(TimePoint now, TickResult& result);
  /// Asks the origin for a chunk that no neighbour holds yet when no request is in flight.
  void RequestRedundantCopies(TimePoint now, TickResult& result);
  /// Requests chunks whose requests take unusually long from a second neighbour.
  void DuplicateSlowRequests(TimePoint now, TickResult& result);
  void PollBitmaps(TimePoint now, TickResult& result);
  /// Expected time of a chunk request plus a number of mean deviations.
  double ExpectedSeconds(ChunkIndex chunk, double deviations) const;
  Duration Deadline(ChunkIndex chunk, Slot slot) const;
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
  /// Per chunk: concurrent requests, local neighbours that hold it, random tie-breaker.
  std::vector<std::uint8_t> in_flight_;
  std::vector<std::uint16_t> copies_;
  std::vector<std::uint16_t> priority_;
  /// Missing chunks for which this agent is the primary fetcher (rank 0) and a backup fetcher.
  std::vector<ChunkIndex> missing_primary_;
  std::vector<ChunkIndex> missing_backup_;
  OriginBackoff origin_;
  std::size_t origin_requests_ = 0;
  /// Moving averages of the time of completed chunk requests and of its absolute deviation, in
  /// seconds per byte; 0 before the first request.
  double seconds_per_byte_ = 0;
  double deviation_ = 0;
  /// Longest time of a completed chunk request to the origin.
  Duration longest_origin_request_{};
  /// Grows with each timeout and returns to 1 at the next completed request. Deadline() does not
  /// apply it.
  double deadline_factor_ = 1;
  /// Mean chunk size in bytes.
  double mean_chunk_ = 0;
  /// Chunks for which this agent is the primary fetcher, present or not.
  Bitmap primary_chunks_;
  /// Last time that a neighbour gained a chunk.
  TimePoint progress_at_;
  TimePoint next_takeover_check_;
  TimePoint idle_since_;
  /// Times since which this agent has requested, and holds, all chunks that it is to fetch from the
  /// origin; max() before.
  TimePoint own_requested_since_ = TimePoint::max();
  TimePoint own_held_since_ = TimePoint::max();
  /// Number of redundant chunk copies that this agent may take and has taken from the origin.
  std::size_t redundant_limit_ = 0;
  std::size_t redundant_taken_ = 0;
  SessionStats stats_;
};

}  // namespace wagtailslip::spread
