#include <algorithm>

#include "session_state.h"

namespace wagtailslip::spread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTakeoverCheckInterval = milliseconds(250);
constexpr Duration kMaxTickInterval = milliseconds(250);
// Thresholds in mean deviations above the mean request time. Beyond the first, the source is
// suspect and the chunk is also requested from another source; at the second, the request times
// out. Queueing at a source with 4 concurrent uploads varies the time by about one deviation.
constexpr double kSuspectDeviations = 4;
constexpr double kDeadlineDeviations = 8;
// A peer whose mean request time exceeds the overall mean by this factor is suspect as well.
constexpr double kSlowFactor = 5;
// Default of SessionLimits::max_unconfirmed_chunks: the number of chunks in the manifest divided by
// the first constant, but at least 2 and at most the second.
constexpr std::size_t kUnconfirmedDivisor = 64;
constexpr std::size_t kMaxUnconfirmed = 8;
// A peer that has refused all requests for longer than both this time and this multiple of the mean
// request time is suspect, so that an only source that is always busy is replaced.
constexpr Duration kRefusalLimit = seconds(10);
constexpr double kRefusalFactor = 20;
// Maximum number of concurrent requests to all suspect peers together.
constexpr std::size_t kMaxSuspectRequests = 2;
// Cost factor that makes suspect peers the last choice.
constexpr double kSuspectCostFactor = 1000;
// A peer that has not answered a bitmap request for this time is taken to have stopped. Bitmaps are
// small and arrive within tens of milliseconds, whereas progress is visible only as fast as the
// origin sends.
constexpr Duration kBitmapOverdueAfter = seconds(1);
// A neighbour that offers at least this many missing chunks is polled less often.
constexpr int kReducedPollingOffers = 16;

}  // namespace

const Session::TakeoverTimeouts& Session::TimeoutsFor(config::SpreadPolicy policy) {
  static const TakeoverTimeouts kTimeFirst{seconds(3),        seconds(5), seconds(10),
                                           milliseconds(250), seconds(3), 2};
  static const TakeoverTimeouts kBytesFirst{seconds(6), seconds(30), seconds(60),
                                            seconds(2), seconds(0),  0};
  return policy == config::SpreadPolicy::kTimeFirst ? kTimeFirst : kBytesFirst;
}

Duration Session::ScaledTimeout(Duration timeout) const {
  return std::chrono::duration_cast<Duration>(timeout * limits_.takeover_timeout_factor);
}

TickResult Session::Tick(TimePoint now) {
  TickResult result;
  result.next = now + kMaxTickInterval;
  if (ended_) return result;
  WTS_INVARIANT(started_);
  ExpireRequests(now, result);
  if (Complete()) return result;
  UpdateSuspects(now);
  RequestPrimaryChunks(now, result);
  const bool takeover_check_due = now >= next_takeover_check_;
  // Takeovers precede the requests to neighbours, which would use up all request slots.
  if (takeover_check_due) RequestTakeovers(now, result);
  RequestRarestChunks(now, result);
  if (takeover_check_due) {
    next_takeover_check_ = now + ScaledTimeout(kTakeoverCheckInterval);
    RequestFallback(now, result);
    RequestRedundantCopies(now, result);
    DuplicateSlowRequests(now, result);
  }
  PollBitmaps(now, result);
  WTS_INVARIANT(requests_.size() <= limits_.max_outstanding);
  for (const Request& request : requests_) result.next = std::min(result.next, request.deadline);
  if (now < origin_.retry_at()) result.next = std::min(result.next, origin_.retry_at());
  return result;
}

void Session::ExpireRequests(TimePoint now, TickResult& result) {
  for (std::size_t i = requests_.size(); i-- > 0;) {
    const Request request = requests_[i];
    const bool present = have_.Test(request.chunk);
    if (!present && now < request.deadline) continue;
    const bool origin = request.slot == kOriginSlot;
    const std::string source = origin ? std::string(kOrigin) : peers_[request.slot].id;
    result.cancels.push_back({request.chunk, source});
    if (present) {
      EndRequest(request.chunk, request.slot, now, false);
    } else {
      OnFailure(source, request.chunk, FailureReason::kTimeout, Duration::zero(), now);
    }
  }
  for (Peer& peer : peers_) {
    if (peer.polling && now >= peer.poll_deadline) {
      OnFailure(peer.id, std::nullopt, FailureReason::kTimeout, Duration::zero(), now);
    }
    std::erase_if(peer.excluded_chunks, [&](const auto& entry) { return now >= entry.second; });
  }
}

double Session::ExpectedSeconds(ChunkIndex chunk, double deviations) const {
  const auto size = static_cast<double>(manifest_->chunks[chunk].size);
  return (seconds_per_byte_ + deviations * std::max(deviation_, seconds_per_byte_ / 4)) * size;
}

Duration Session::Deadline(ChunkIndex chunk, Slot slot) const {
  const auto size = static_cast<double>(manifest_->chunks[chunk].size);
  const double expected = seconds_per_byte_ > 0
                              ? ExpectedSeconds(chunk, kDeadlineDeviations)
                              : size / static_cast<double>(limits_.min_initial_rate);
  const auto duration =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(expected, 1e6)));
  const Duration lowest = slot == kOriginSlot
                              ? std::max(limits_.min_deadline, limits_.min_origin_deadline)
                              : limits_.min_deadline;
  return std::clamp(duration, lowest, std::max(lowest, limits_.max_deadline));
}

void Session::UpdateSuspects(TimePoint now) {
  std::uint64_t overdue_slots[kMaxSlots / 64] = {};
  for (const Request& request : requests_) {
    if (request.slot == kOriginSlot || seconds_per_byte_ == 0) continue;
    if (peers_[request.slot].last_success >= request.started) continue;
    if (ToSeconds(now - request.started) > ExpectedSeconds(request.chunk, kSuspectDeviations)) {
      overdue_slots[request.slot / 64] |= std::uint64_t{1} << (request.slot % 64);
    }
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    Peer& peer = peers_[i];
    const bool slow =
        seconds_per_byte_ > 0 && peer.seconds_per_byte > kSlowFactor * seconds_per_byte_;
    const bool refusing =
        peer.refused_since < now &&
        ToSeconds(now - peer.refused_since) >
            std::max(ToSeconds(kRefusalLimit), kRefusalFactor * seconds_per_byte_ * mean_chunk_);
    const bool failing = peer.failures > 0 || peer.poll_failures > 1;
    const bool overdue = (overdue_slots[i / 64] >> i % 64 & 1) != 0;
    if (!failing && !slow && !refusing && !overdue) {
      peer.suspect_since = TimePoint::max();
    } else if (!peer.Suspect()) {
      peer.suspect_since = now;
    }
  }
}

bool Session::AvailableFromPeers(ChunkIndex chunk, bool remote, TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    // A peer that stopped while it held the only copy does not count.
    return (peer.local || remote) && !peer.Suspect() && !BitmapOverdue(peer, now) &&
           peer.have.Test(chunk);
  });
}

bool Session::HasActiveRequest(ChunkIndex chunk) const {
  if (in_flight_[chunk] == 0) return false;
  if (in_flight_[chunk] >= limits_.max_sources_per_chunk) return true;
  return std::any_of(requests_.begin(), requests_.end(), [&](const Request& request) {
    return request.chunk == chunk &&
           (request.slot == kOriginSlot || !peers_[request.slot].Suspect());
  });
}

bool Session::MayRequestFrom(const Peer& peer, ChunkIndex chunk, TimePoint now) const {
  if (!peer.have.Test(chunk) || now < peer.blocked_until) return false;
  if (peer.outstanding >= (peer.Suspect() ? 1 : limits_.max_per_peer)) return false;
  const auto count_in_flight = [&](auto matches) {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [&](const Request& request) {
          return request.slot != kOriginSlot && matches(peers_[request.slot]);
        }));
  };
  // During a network partition, requests to other regions end only at their deadline; they must not
  // use up the request slots needed inside the region.
  const std::size_t across =
      local_peers_ == 0 ? limits_.max_outstanding : limits_.max_across_regions;
  if (!peer.local && count_in_flight([](const Peer& p) { return !p.local; }) >= across)
    return false;
  if (peer.Suspect() &&
      count_in_flight([](const Peer& p) { return p.Suspect(); }) >= kMaxSuspectRequests) {
    return false;
  }
  return std::none_of(peer.excluded_chunks.begin(), peer.excluded_chunks.end(),
                      [&](const auto& entry) { return entry.first == chunk; });
}

bool Session::MayRequestFromOrigin(TimePoint now) const {
  const bool probing = limits_.origin_probe_interval > Duration::zero() && origin_.unreachable();
  // With two first requests of a dozen fetchers each, no chunk would arrive for a second on a link
  // of 9 Mbit/s, and backup fetchers would take the fetchers to have failed.
  const bool first = longest_origin_request_ == Duration::zero();
  return origin_requests_ < (probing || first ? 1 : limits_.max_to_origin) &&
         origin_.MayRequest(now) && requests_.size() < limits_.max_outstanding;
}

bool Session::OriginGracePeriodOver(TimePoint now) const {
  if (now - planned_at_ >= limits_.origin_grace_period) return true;
  return std::all_of(peers_.begin(), peers_.end(), [](const Peer& peer) { return peer.contacted; });
}

bool Session::BitmapOverdue(const Peer& peer, TimePoint now) const {
  return peer.polling &&
         now - (peer.poll_deadline - limits_.poll_timeout) >= ScaledTimeout(kBitmapOverdueAfter);
}

bool Session::HasFailed(Slot slot, TimePoint now) const {
  if (slot >= peers_.size()) return true;
  const Peer& peer = peers_[slot];
  if (BitmapOverdue(peer, now)) return true;
  Duration limit = ScaledTimeout(TimeoutsFor(policy_).takeover);
  // The other fetcher's requests to the origin take as long as this agent's own.
  if (limits_.help_other_fetchers) limit = std::max(limit, 2 * longest_origin_request_);
  return now - peer.progress_at >= limit || (peer.Suspect() && now - peer.suspect_since >= limit);
}

bool Session::ShouldUseOrigin(ChunkIndex chunk, TimePoint now) const {
  if (plan_.chunks[chunk].from_origin) return true;
  const Duration limit = ScaledTimeout(TimeoutsFor(policy_).region_lost);
  return std::none_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    if (peer.local || peer.region != plan_.chunks[chunk].home_region) return false;
    return now - peer.progress_at < limit && !(peer.Suspect() && now - peer.suspect_since >= limit);
  });
}

bool Session::UnconfirmedWindowOpen() const {
  if (peers_.empty()) return true;
  std::size_t unconfirmed = 0;
  for (std::size_t w = 0; w < have_.words().size(); ++w) {
    std::uint64_t own = have_.words()[w] & primary_chunks_.words()[w];
    for (const Peer& peer : peers_) own &= ~peer.have.words()[w];
    unconfirmed += static_cast<std::size_t>(std::popcount(own));
  }
  const std::size_t default_limit =
      std::clamp<std::size_t>(have_.size() / kUnconfirmedDivisor, 2, kMaxUnconfirmed);
  return unconfirmed <
         (limits_.max_unconfirmed_chunks == 0 ? default_limit : limits_.max_unconfirmed_chunks);
}

bool Session::IsResponsible(ChunkIndex chunk, TimePoint now) const {
  const ChunkPlan& plan = plan_.chunks[chunk];
  if (plan.rank == kNoRank) return false;
  for (std::size_t i = 0; i < plan.rank; ++i) {
    // Candidates of lower priority wait longer, so that they do not all take over at once.
    const Duration step = ScaledTimeout(TimeoutsFor(policy_).takeover) * (plan.rank - 1) / 2;
    if (!HasFailed(plan.candidates[i], now - step)) return false;
  }
  return true;
}

std::size_t Session::PositionAtFetcher(ChunkIndex chunk) const {
  const Slot fetcher = plan_.chunks[chunk].candidates[0];
  std::size_t position = 0;
  for (ChunkIndex c = 0; c < chunk; ++c) {
    if (plan_.chunks[c].from_origin && plan_.chunks[c].candidates[0] == fetcher && !have_.Test(c) &&
        !(fetcher < peers_.size() && peers_[fetcher].have.Test(c))) {
      ++position;
    }
  }
  return position;
}

bool Session::ShouldHelp(ChunkIndex chunk, TimePoint now) const {
  const ChunkPlan& plan = plan_.chunks[chunk];
  if (!limits_.help_other_fetchers || !plan.from_origin || plan.rank == kNoRank) return false;
  // Only the first candidate after the fetcher helps, so that two do not request the same chunk.
  for (std::size_t i = 1; i < plan.rank; ++i) {
    if (!HasFailed(plan.candidates[i], now)) return false;
  }
  // The fetcher may have requested twice as many chunks again since its last bitmap.
  if (PositionAtFetcher(chunk) >= 3 * limits_.max_to_origin) {
    return own_requested_since_ != TimePoint::max();
  }
  if (own_held_since_ == TimePoint::max()) return false;
  return now - own_held_since_ >= limits_.help_with_requested_after + longest_origin_request_;
}

Slot Session::BestPeer(ChunkIndex chunk, TimePoint now, bool local, bool remote) const {
  Slot best = kNoSlot;
  double best_cost = 0;
  const Slot only = plan_.chunks[chunk].only_source;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& peer = peers_[i];
    if (peer.local ? !local : !remote) continue;
    if (only != kNoSlot && i != only) continue;
    if (!MayRequestFrom(peer, chunk, now)) continue;
    const double pace = peer.seconds_per_byte > 0 ? peer.seconds_per_byte : seconds_per_byte_;
    double cost = static_cast<double>(peer.outstanding + 1) * (pace > 0 ? pace : 1);
    if (peer.Suspect()) cost *= kSuspectCostFactor;
    if (best == kNoSlot || cost < best_cost) {
      best = static_cast<Slot>(i);
      best_cost = cost;
    }
  }
  return best;
}

void Session::StartRequest(ChunkIndex chunk, Slot slot, TimePoint now, TickResult& result) {
  WTS_INVARIANT(requests_.size() < limits_.max_outstanding);
  WTS_INVARIANT(in_flight_[chunk] < limits_.max_sources_per_chunk);
  WTS_INVARIANT(!have_.Test(chunk));
  Fetch fetch{
      chunk, manifest_->chunks[chunk].digest, manifest_->chunks[chunk].size, std::string(kOrigin),
      "",    now + Deadline(chunk, slot)};
  if (slot == kOriginSlot) {
    ++origin_requests_;
  } else {
    Peer& peer = peers_[slot];
    ++peer.outstanding;
    fetch.source = peer.id;
    fetch.address = peer.address;
  }
  ++in_flight_[chunk];
  requests_.push_back({chunk, slot, now, fetch.deadline});
  result.fetches.push_back(std::move(fetch));
}

void Session::RequestPrimaryChunks(TimePoint now, TickResult& result) {
  std::erase_if(missing_primary_, [&](ChunkIndex c) { return have_.Test(c); });
  const bool origin_open =
      MayRequestFromOrigin(now) && OriginGracePeriodOver(now) && UnconfirmedWindowOpen();
  for (const ChunkIndex c : missing_primary_) {
    if (requests_.size() >= limits_.max_outstanding) return;
    if (HasActiveRequest(c)) continue;
    Slot peer = BestPeer(c, now, true, false);
    if (peer == kNoSlot && !AvailableFromPeers(c, false, now)) peer = BestPeer(c, now, false, true);
    if (peer != kNoSlot) {
      StartRequest(c, peer, now, result);
    } else if (origin_open && MayRequestFromOrigin(now) && !AvailableFromPeers(c, true, now) &&
               ShouldUseOrigin(c, now)) {
      StartRequest(c, kOriginSlot, now, result);
    }
  }
}

void Session::RequestRarestChunks(TimePoint now, TickResult& result) {
  std::vector<std::uint64_t> offered(have_.words().size());
  const auto missing = [&](ChunkIndex c) {
    return !have_.Test(c) && plan_.chunks[c].from_origin && !AvailableFromPeers(c, false, now);
  };
  const bool has_origin_chunks =
      std::any_of(missing_primary_.begin(), missing_primary_.end(),
                  [&](ChunkIndex c) { return !have_.Test(c) && plan_.chunks[c].from_origin; }) ||
      std::any_of(missing_backup_.begin(), missing_backup_.end(),
                  [&](ChunkIndex c) { return missing(c) && IsResponsible(c, now); });
  std::size_t max_requests = limits_.max_outstanding;
  if (has_origin_chunks && limits_.max_peer_requests_during_origin_fetch > 0)
    max_requests =
        std::min(max_requests, limits_.max_peer_requests_during_origin_fetch + origin_requests_);
  while (requests_.size() < max_requests) {
    std::fill(offered.begin(), offered.end(), 0);
    for (const Peer& peer : peers_) {
      if (!peer.local || now < peer.blocked_until || peer.outstanding >= limits_.max_per_peer)
        continue;
      for (std::size_t w = 0; w < offered.size(); ++w) offered[w] |= peer.have.words()[w];
    }
    ChunkIndex best = 0;
    Slot best_slot = kNoSlot;
    std::uint32_t best_key = ~std::uint32_t{0};
    for (std::size_t w = 0; w < offered.size(); ++w) {
      ForEachBit(offered[w] & ~have_.words()[w], w, [&](std::size_t c) {
        const std::uint32_t key = std::uint32_t{copies_[c]} << 16 | priority_[c];
        if (key >= best_key || in_flight_[c] > 0) return;
        const Slot slot = BestPeer(static_cast<ChunkIndex>(c), now, true, false);
        if (slot == kNoSlot) return;
        best = static_cast<ChunkIndex>(c);
        best_slot = slot;
        best_key = key;
      });
    }
    if (best_slot == kNoSlot) return;
    StartRequest(best, best_slot, now, result);
  }
}

void Session::RequestTakeovers(TimePoint now, TickResult& result) {
  std::erase_if(missing_backup_, [&](ChunkIndex c) { return have_.Test(c); });
  const auto update = [&](TimePoint& since, auto finished) {
    const bool all = std::all_of(
        missing_primary_.begin(), missing_primary_.end(),
        [&](ChunkIndex c) { return !plan_.chunks[c].from_origin || have_.Test(c) || finished(c); });
    since = all ? std::min(since, now) : TimePoint::max();
  };
  update(own_requested_since_,
         [&](ChunkIndex c) { return HasActiveRequest(c) || AvailableFromPeers(c, true, now); });
  update(own_held_since_, [&](ChunkIndex c) { return AvailableFromPeers(c, true, now); });
  for (const ChunkIndex c : missing_backup_) {
    if (requests_.size() >= limits_.max_outstanding) return;
    if (HasActiveRequest(c) || AvailableFromPeers(c, false, now) ||
        (!IsResponsible(c, now) && !ShouldHelp(c, now)))
      continue;
    const Slot peer = BestPeer(c, now, false, true);
    if (peer != kNoSlot) {
      StartRequest(c, peer, now, result);
      ++stats_.takeovers;
    } else if (MayRequestFromOrigin(now) && !AvailableFromPeers(c, true, now) &&
               ShouldUseOrigin(c, now)) {
      StartRequest(c, kOriginSlot, now, result);
      ++stats_.takeovers;
    }
  }
}

void Session::RequestFallback(TimePoint now, TickResult& result) {
  const TakeoverTimeouts& timeouts = TimeoutsFor(policy_);
  const auto position = static_cast<std::int64_t>(
      MixHash(Hash64(self_), PlacementKey(manifest_->root)) % members_->size());
  if (now - progress_at_ < ScaledTimeout(timeouts.fallback + timeouts.fallback_step * position))
    return;
  if (!MayRequestFromOrigin(now)) return;
  ChunkIndex best = kMaxChunks;
  for (ChunkIndex c = 0; c < have_.size(); ++c) {
    if (have_.Test(c) || HasActiveRequest(c) || AvailableFromPeers(c, true, now)) continue;
    if (best == kMaxChunks || priority_[c] < priority_[best]) best = c;
  }
  if (best == kMaxChunks) return;
  StartRequest(best, kOriginSlot, now, result);
  ++stats_.takeovers;
}

void Session::RequestRedundantCopies(TimePoint now, TickResult& result) {
  // While requests are in flight, or less than half of the chunks are present, the origin is left
  // to the primary fetchers: a redundant copy would only delay the first complete one.
  if (!requests_.empty() || present_ * 2 < have_.size()) {
    idle_since_ = now;
    return;
  }
  const TakeoverTimeouts& timeouts = TimeoutsFor(policy_);
  if (redundant_taken_ >= redundant_limit_ || now - idle_since_ < timeouts.redundant ||
      !MayRequestFromOrigin(now))
    return;
  ChunkIndex best = kMaxChunks;
  for (ChunkIndex c = 0; c < have_.size(); ++c) {
    if (have_.Test(c) || HasActiveRequest(c) || AvailableFromPeers(c, true, now)) continue;
    if (best == kMaxChunks || priority_[c] < priority_[best]) best = c;
  }
  if (best == kMaxChunks) return;
  ++redundant_taken_;
  StartRequest(best, kOriginSlot, now, result);
}

void Session::DuplicateSlowRequests(TimePoint now, TickResult& result) {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const Request request = requests_[i];
    if (requests_.size() >= limits_.max_outstanding) return;
    if (in_flight_[request.chunk] >= limits_.max_sources_per_chunk || seconds_per_byte_ == 0)
      continue;
    if (ToSeconds(now - request.started) < ExpectedSeconds(request.chunk, kSuspectDeviations))
      continue;
    Slot best = kNoSlot;
    for (std::size_t s = 0; s < peers_.size(); ++s) {
      if (s == request.slot || !peers_[s].local) continue;
      if (plan_.chunks[request.chunk].only_source != kNoSlot) continue;
      if (!peers_[s].Suspect() && MayRequestFrom(peers_[s], request.chunk, now) &&
          (best == kNoSlot || peers_[s].outstanding < peers_[best].outstanding)) {
        best = static_cast<Slot>(s);
      }
    }
    if (best != kNoSlot) StartRequest(request.chunk, best, now, result);
  }
}

void Session::PollBitmaps(TimePoint now, TickResult& result) {
  for (Peer& peer : peers_) {
    if (peer.polling || peer.have_count == have_.size()) continue;
    const TimePoint due = std::max(peer.next_poll, peer.blocked_until);
    if (now < due) {
      result.next = std::min(result.next, due);
      continue;
    }
    int offers = 0;
    for (std::size_t w = 0; w < peer.have.words().size(); ++w) {
      offers += std::popcount(peer.have.words()[w] & ~have_.words()[w]);
    }
    peer.polling = true;
    peer.poll_deadline = now + limits_.poll_timeout;
    peer.next_poll = now + limits_.poll_interval * (offers >= kReducedPollingOffers ? 3 : 1);
    ++stats_.polls;
    result.polls.push_back({peer.id, peer.address, peer.poll_deadline});
    result.next = std::min(result.next, peer.poll_deadline);
  }
}

}  // namespace wagtailslip::spread
