#pragma once

#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {

/// Slot that stands for the origin in a request.
inline constexpr Slot kOriginSlot = 0xfd;

struct Session::Peer {
  std::string id;
  std::string address;
  MemberIndex member = kNoMember;
  std::uint32_t region = 0;
  bool local = true;
  Bitmap have;
  std::size_t have_count = 0;
  /// True after the first bitmap or failure.
  bool contacted = false;
  bool polling = false;
  TimePoint poll_deadline;
  TimePoint next_poll;
  /// Last time that the bitmap gained a chunk.
  TimePoint progress_at;
  TimePoint blocked_until;
  /// Failed chunk requests since the last success, and failed bitmap requests.
  std::uint32_t failures = 0;
  std::uint32_t poll_failures = 0;
  /// First refusal since the last success; the far future if there was none.
  TimePoint refused_since = TimePoint::max();
  /// Corrupt chunks received, reduced by intact ones.
  double strikes = 0;
  std::size_t outstanding = 0;
  /// Time since which requests to this peer fail or take much longer than others; the far future
  /// while they do not. Its chunks count as unavailable.
  TimePoint suspect_since = TimePoint::max();
  TimePoint last_success;
  bool Suspect() const { return suspect_since != TimePoint::max(); }
  /// Mean time of a completed request in seconds per byte; 0 before the first.
  double seconds_per_byte = 0;
  /// Chunks that are not asked from this peer until a time, after a corrupt or missing answer.
  std::vector<std::pair<ChunkIndex, TimePoint>> refused;
};

struct Session::Request {
  ChunkIndex chunk;
  Slot slot;
  TimePoint started;
  TimePoint deadline;
};

/// Waiting before an agent that is not the assigned fetcher asks the origin.
struct Session::Waiting {
  /// Time without progress of a fetcher after which the next in order takes its chunks.
  Duration takeover;
  /// Time without progress of all fetchers of another region after which its chunks are taken from
  /// the origin.
  Duration region_lost;
  /// Time without any progress in sight after which an agent outside the order asks, and the
  /// time between two such agents.
  Duration fallback;
  Duration fallback_step;
  /// Time without a useful peer after which an additional copy of a chunk is asked for.
  Duration extra;
  /// Additional copies from the origin, over all agents.
  double extra_copies;
};

}  // namespace wagtailslip::spread
