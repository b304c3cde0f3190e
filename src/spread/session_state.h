#pragma once

#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {

/// Slot that denotes the origin in a request.
inline constexpr Slot kOriginSlot = 0xfd;

struct Session::Peer {
  std::string id;
  std::string address;
  MemberIndex member = kNoMember;
  std::uint32_t region = 0;
  bool local = true;
  Bitmap have;
  std::size_t have_count = 0;
  /// True after the first bitmap or failed bitmap request.
  bool contacted = false;
  bool polling = false;
  TimePoint poll_deadline;
  TimePoint next_poll;
  /// Last time at which the bitmap gained a chunk.
  TimePoint progress_at;
  TimePoint blocked_until;
  /// Consecutive failed chunk requests and consecutive failed bitmap requests.
  std::uint32_t failures = 0;
  std::uint32_t poll_failures = 0;
  /// Time of the first busy reply since the last success; max() if there was none.
  TimePoint refused_since = TimePoint::max();
  /// Number of corrupt chunks received, reduced by a fraction for each intact one.
  double corrupt_score = 0;
  std::size_t outstanding = 0;
  /// Time since which requests to this peer fail or take much longer than those to others; max()
  /// otherwise. Chunks of a suspect peer count as unavailable.
  TimePoint suspect_since = TimePoint::max();
  TimePoint last_success;
  bool Suspect() const { return suspect_since != TimePoint::max(); }
  /// Moving average of the time of completed requests in seconds per byte; 0 before the first.
  double seconds_per_byte = 0;
  /// Chunks that are not requested from this peer until the given time, because it sent them
  /// corrupt or did not hold them.
  std::vector<std::pair<ChunkIndex, TimePoint>> excluded_chunks;
};

struct Session::Request {
  ChunkIndex chunk;
  Slot slot;
  TimePoint started;
  TimePoint deadline;
};

/// Timeouts after which an agent that is not the primary fetcher asks the origin. Fallback applies
/// to all agents, in a pseudo-random order.
struct Session::TakeoverTimeouts {
  /// Time without progress of a fetcher after which the next candidate takes over its chunks.
  Duration takeover;
  /// Time without progress of all fetchers of a chunk's home region after which other regions fetch
  /// the chunk from the origin.
  Duration region_lost;
  /// Time without progress of any neighbour after which the first agent falls back to the origin,
  /// and the delay between consecutive agents.
  Duration fallback;
  Duration fallback_step;
  /// Time without any request in flight after which a redundant copy of a chunk is fetched.
  Duration redundant;
  /// Maximum number of redundant copies of the artifact from the origin, over all agents.
  double redundant_copies;
};

}  // namespace wagtailslip::spread
