#include <algorithm>

#include "session_state.h"

namespace wagtailslip::spread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTakeoverCheck = milliseconds(250);
constexpr Duration kLongestTick = milliseconds(250);
// In mean deviations above the mean time of a request: from the first on, the sender is suspect and
// the request is doubled at another source; at the second it is given up. Queueing at a sender with
// 4 uploads varies the time by about one deviation.
constexpr double kSuspectDeviations = 4;
constexpr double kDeadlineDeviations = 8;
// A peer whose requests take this many times the mean of all is suspect as well.
constexpr double kSlowFactor = 5;
// Chunks that a fetcher takes from the origin before a neighbour shows the first of them, if the
// limits name no number: a part of the manifest, between 2 and 8 chunks.
constexpr std::size_t kUnconfirmedPart = 64;
constexpr std::size_t kMostUnconfirmed = 8;
// A peer that has refused all requests for this time and this many times the mean time of a request
// is suspect, so that a sole sender that is always busy is replaced.
constexpr Duration kRefusalLimit = seconds(10);
constexpr double kRefusalFactor = 20;
// Requests under way to all suspect peers.
constexpr std::size_t kSuspectRequests = 2;
// Makes a suspect peer the last choice.
constexpr double kSuspectCost = 1000;
// A fetcher whose bitmap is overdue for this time is taken for stopped. Bitmaps are small and come
// within tens of milliseconds, where progress shows only as fast as the origin sends.
constexpr Duration kSilence = seconds(1);
// A neighbour that offers this many wanted chunks is asked for its bitmap less often.
constexpr int kEnoughOffers = 16;

}  // namespace

const Session::Waiting& Session::WaitingFor(config::SpreadPolicy policy) {
  static const Waiting kTimeFirst{seconds(3),        seconds(5), seconds(10),
                                  milliseconds(250), seconds(3), 2};
  static const Waiting kBytesFirst{seconds(6), seconds(30), seconds(60), seconds(2), seconds(0), 0};
  return policy == config::SpreadPolicy::kTimeFirst ? kTimeFirst : kBytesFirst;
}

Duration Session::Shortened(Duration waiting) const {
  return std::chrono::duration_cast<Duration>(waiting * limits_.takeover_timeout_factor);
}

TickResult Session::Tick(TimePoint now) {
  TickResult result;
  result.next = now + kLongestTick;
  if (ended_) return result;
  WTS_INVARIANT(started_);
  ExpireRequests(now, result);
  if (Complete()) return result;
  FindSuspects(now);
  AskAssigned(now, result);
  const bool check = now >= next_takeover_check_;
  // Before the neighbours, whose chunks would take all places.
  if (check) AskTakeovers(now, result);
  AskNeighbours(now, result);
  if (check) {
    next_takeover_check_ = now + Shortened(kTakeoverCheck);
    AskFallback(now, result);
    AskExtra(now, result);
    AskDuplicates(now, result);
  }
  AskBitmaps(now, result);
  WTS_INVARIANT(requests_.size() <= limits_.max_outstanding);
  for (const Request& request : requests_) result.next = std::min(result.next, request.deadline);
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
    std::erase_if(peer.refused, [&](const auto& entry) { return now >= entry.second; });
  }
}

double Session::Expected(ChunkIndex chunk, double deviations) const {
  const auto size = static_cast<double>(manifest_->chunks[chunk].size);
  return (seconds_per_byte_ + deviations * std::max(deviation_, seconds_per_byte_ / 4)) * size;
}

Duration Session::Deadline(ChunkIndex chunk) const {
  const auto size = static_cast<double>(manifest_->chunks[chunk].size);
  const double expected = seconds_per_byte_ > 0
                              ? Expected(chunk, kDeadlineDeviations)
                              : size / static_cast<double>(limits_.min_initial_rate);
  const auto duration =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(expected, 1e6)));
  return std::clamp(duration, limits_.min_deadline, limits_.max_deadline);
}

void Session::FindSuspects(TimePoint now) {
  std::uint64_t late[kMaxSlots / 64] = {};
  for (const Request& request : requests_) {
    if (request.slot == kOriginSlot || seconds_per_byte_ == 0) continue;
    if (peers_[request.slot].last_success >= request.started) continue;
    if (ToSeconds(now - request.started) > Expected(request.chunk, kSuspectDeviations)) {
      late[request.slot / 64] |= std::uint64_t{1} << (request.slot % 64);
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
    const bool too_late = (late[i / 64] >> i % 64 & 1) != 0;
    if (!failing && !slow && !refusing && !too_late) {
      peer.suspect_since = TimePoint::max();
    } else if (!peer.Suspect()) {
      peer.suspect_since = now;
    }
  }
}

bool Session::Available(ChunkIndex chunk, bool remote, TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    // Those are passed over that have stopped with the only copy.
    return (peer.local || remote) && !peer.Suspect() && !Silent(peer, now) && peer.have.Test(chunk);
  });
}

bool Session::UnderWay(ChunkIndex chunk) const {
  if (in_flight_[chunk] == 0) return false;
  if (in_flight_[chunk] >= limits_.max_sources_per_chunk) return true;
  return std::any_of(requests_.begin(), requests_.end(), [&](const Request& request) {
    return request.chunk == chunk &&
           (request.slot == kOriginSlot || !peers_[request.slot].Suspect());
  });
}

bool Session::MayAsk(const Peer& peer, ChunkIndex chunk, TimePoint now) const {
  if (!peer.have.Test(chunk) || now < peer.blocked_until) return false;
  if (peer.outstanding >= (peer.Suspect() ? 1 : limits_.max_per_peer)) return false;
  const auto under_way = [&](auto matches) {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [&](const Request& request) {
          return request.slot != kOriginSlot && matches(peers_[request.slot]);
        }));
  };
  // Behind a link that was cut, requests end only by their deadline; they must not hold the places
  // of requests inside the region.
  const std::size_t across =
      local_peers_ == 0 ? limits_.max_outstanding : limits_.max_across_regions;
  if (!peer.local && under_way([](const Peer& p) { return !p.local; }) >= across) return false;
  if (peer.Suspect() && under_way([](const Peer& p) { return p.Suspect(); }) >= kSuspectRequests) {
    return false;
  }
  return std::none_of(peer.refused.begin(), peer.refused.end(),
                      [&](const auto& entry) { return entry.first == chunk; });
}

bool Session::MayAskOrigin(TimePoint now) const {
  return origin_requests_ < limits_.max_to_origin && origin_.MayRequest(now) &&
         requests_.size() < limits_.max_outstanding;
}

bool Session::Settled(TimePoint now) const {
  if (now - planned_at_ >= limits_.origin_grace_period) return true;
  return std::all_of(peers_.begin(), peers_.end(), [](const Peer& peer) { return peer.contacted; });
}

bool Session::Silent(const Peer& peer, TimePoint now) const {
  return peer.polling && now - (peer.poll_deadline - limits_.poll_timeout) >= Shortened(kSilence);
}

bool Session::Hopeless(Slot slot, TimePoint now) const {
  if (slot >= peers_.size()) return true;
  const Peer& peer = peers_[slot];
  if (Silent(peer, now)) return true;
  const Duration limit = Shortened(WaitingFor(policy_).takeover);
  return now - peer.progress_at >= limit || (peer.Suspect() && now - peer.suspect_since >= limit);
}

bool Session::FromOrigin(ChunkIndex chunk, TimePoint now) const {
  if (plan_.chunks[chunk].from_origin) return true;
  const Duration limit = Shortened(WaitingFor(policy_).region_lost);
  return std::none_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
    if (peer.local || peer.region != plan_.chunks[chunk].home_region) return false;
    return now - peer.progress_at < limit && !(peer.Suspect() && now - peer.suspect_since >= limit);
  });
}

bool Session::WindowOpen() const {
  if (peers_.empty()) return true;
  std::size_t unconfirmed = 0;
  for (std::size_t w = 0; w < have_.words().size(); ++w) {
    std::uint64_t own = have_.words()[w] & owned_.words()[w];
    for (const Peer& peer : peers_) own &= ~peer.have.words()[w];
    unconfirmed += static_cast<std::size_t>(std::popcount(own));
  }
  const std::size_t part =
      std::clamp<std::size_t>(have_.size() / kUnconfirmedPart, 2, kMostUnconfirmed);
  return unconfirmed <
         (limits_.max_unconfirmed_chunks == 0 ? part : limits_.max_unconfirmed_chunks);
}

bool Session::Owns(ChunkIndex chunk, TimePoint now) const {
  const ChunkPlan& plan = plan_.chunks[chunk];
  if (plan.rank == kNoRank) return false;
  for (std::size_t i = 0; i < plan.rank; ++i) {
    // Each fetcher further down waits longer, so that they do not all take over at once.
    const Duration step = Shortened(WaitingFor(policy_).takeover) * (plan.rank - 1) / 2;
    if (!Hopeless(plan.candidates[i], now - step)) return false;
  }
  return true;
}

Slot Session::BestPeer(ChunkIndex chunk, TimePoint now, bool local, bool remote) const {
  Slot best = kNoSlot;
  double best_cost = 0;
  const Slot only = plan_.chunks[chunk].only_source;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& peer = peers_[i];
    if (peer.local ? !local : !remote) continue;
    if (only != kNoSlot && i != only) continue;
    if (!MayAsk(peer, chunk, now)) continue;
    const double pace = peer.seconds_per_byte > 0 ? peer.seconds_per_byte : seconds_per_byte_;
    double cost = static_cast<double>(peer.outstanding + 1) * (pace > 0 ? pace : 1);
    if (peer.Suspect()) cost *= kSuspectCost;
    if (best == kNoSlot || cost < best_cost) {
      best = static_cast<Slot>(i);
      best_cost = cost;
    }
  }
  return best;
}

void Session::Ask(ChunkIndex chunk, Slot slot, TimePoint now, TickResult& result) {
  WTS_INVARIANT(requests_.size() < limits_.max_outstanding);
  WTS_INVARIANT(in_flight_[chunk] < limits_.max_sources_per_chunk);
  WTS_INVARIANT(!have_.Test(chunk));
  Fetch fetch{chunk,
              manifest_->chunks[chunk].digest,
              manifest_->chunks[chunk].size,
              std::string(kOrigin),
              "",
              now + Deadline(chunk)};
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

void Session::AskAssigned(TimePoint now, TickResult& result) {
  std::erase_if(assigned_, [&](ChunkIndex c) { return have_.Test(c); });
  const bool origin_open = MayAskOrigin(now) && Settled(now) && WindowOpen();
  for (const ChunkIndex c : assigned_) {
    if (requests_.size() >= limits_.max_outstanding) return;
    if (UnderWay(c)) continue;
    Slot peer = BestPeer(c, now, true, false);
    if (peer == kNoSlot && !Available(c, false, now)) peer = BestPeer(c, now, false, true);
    if (peer != kNoSlot) {
      Ask(c, peer, now, result);
    } else if (origin_open && MayAskOrigin(now) && !Available(c, true, now) && FromOrigin(c, now)) {
      Ask(c, kOriginSlot, now, result);
    }
  }
}

void Session::AskNeighbours(TimePoint now, TickResult& result) {
  std::vector<std::uint64_t> offered(have_.words().size());
  const auto missing = [&](ChunkIndex c) {
    return !have_.Test(c) && plan_.chunks[c].from_origin && !Available(c, false, now);
  };
  const bool owes =
      std::any_of(assigned_.begin(), assigned_.end(),
                  [&](ChunkIndex c) { return !have_.Test(c) && plan_.chunks[c].from_origin; }) ||
      std::any_of(substitute_.begin(), substitute_.end(),
                  [&](ChunkIndex c) { return missing(c) && Owns(c, now); });
  std::size_t most = limits_.max_outstanding;
  if (owes && limits_.max_peer_requests_during_origin_fetch > 0)
    most = std::min(most, limits_.max_peer_requests_during_origin_fetch + origin_requests_);
  while (requests_.size() < most) {
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
    Ask(best, best_slot, now, result);
  }
}

void Session::AskTakeovers(TimePoint now, TickResult& result) {
  std::erase_if(substitute_, [&](ChunkIndex c) { return have_.Test(c); });
  for (const ChunkIndex c : substitute_) {
    if (requests_.size() >= limits_.max_outstanding) return;
    if (UnderWay(c) || Available(c, false, now) || !Owns(c, now)) continue;
    const Slot peer = BestPeer(c, now, false, true);
    if (peer != kNoSlot) {
      Ask(c, peer, now, result);
      ++stats_.takeovers;
    } else if (MayAskOrigin(now) && !Available(c, true, now) && FromOrigin(c, now)) {
      Ask(c, kOriginSlot, now, result);
      ++stats_.takeovers;
    }
  }
}

void Session::AskFallback(TimePoint now, TickResult& result) {
  const Waiting& waiting = WaitingFor(policy_);
  const auto position = static_cast<std::int64_t>(
      MixHash(Hash64(self_), PlacementKey(manifest_->root)) % members_->size());
  if (now - progress_at_ < Shortened(waiting.fallback + waiting.fallback_step * position)) return;
  if (!MayAskOrigin(now)) return;
  ChunkIndex best = kMaxChunks;
  for (ChunkIndex c = 0; c < have_.size(); ++c) {
    if (have_.Test(c) || UnderWay(c) || Available(c, true, now)) continue;
    if (best == kMaxChunks || priority_[c] < priority_[best]) best = c;
  }
  if (best == kMaxChunks) return;
  Ask(best, kOriginSlot, now, result);
  ++stats_.takeovers;
}

void Session::AskExtra(TimePoint now, TickResult& result) {
  // A session with requests under way, or with less than half of the chunks, leaves the origin to
  // the assigned fetchers: until the first copy is out, another copy only delays it.
  if (!requests_.empty() || present_ * 2 < have_.size()) {
    idle_since_ = now;
    return;
  }
  const Waiting& waiting = WaitingFor(policy_);
  if (extra_taken_ >= extra_limit_ || now - idle_since_ < waiting.extra || !MayAskOrigin(now))
    return;
  ChunkIndex best = kMaxChunks;
  for (ChunkIndex c = 0; c < have_.size(); ++c) {
    if (have_.Test(c) || UnderWay(c) || Available(c, true, now)) continue;
    if (best == kMaxChunks || priority_[c] < priority_[best]) best = c;
  }
  if (best == kMaxChunks) return;
  ++extra_taken_;
  Ask(best, kOriginSlot, now, result);
}

void Session::AskDuplicates(TimePoint now, TickResult& result) {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const Request request = requests_[i];
    if (requests_.size() >= limits_.max_outstanding) return;
    if (in_flight_[request.chunk] >= limits_.max_sources_per_chunk || seconds_per_byte_ == 0)
      continue;
    if (ToSeconds(now - request.started) < Expected(request.chunk, kSuspectDeviations)) continue;
    Slot best = kNoSlot;
    for (std::size_t s = 0; s < peers_.size(); ++s) {
      if (s == request.slot || !peers_[s].local) continue;
      if (plan_.chunks[request.chunk].only_source != kNoSlot) continue;
      if (!peers_[s].Suspect() && MayAsk(peers_[s], request.chunk, now) &&
          (best == kNoSlot || peers_[s].outstanding < peers_[best].outstanding)) {
        best = static_cast<Slot>(s);
      }
    }
    if (best != kNoSlot) Ask(request.chunk, best, now, result);
  }
}

void Session::AskBitmaps(TimePoint now, TickResult& result) {
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
    peer.next_poll = now + limits_.poll_interval * (offers >= kEnoughOffers ? 3 : 1);
    ++stats_.polls;
    result.polls.push_back({peer.id, peer.address, peer.poll_deadline});
    result.next = std::min(result.next, peer.poll_deadline);
  }
}

}  // namespace wagtailslip::spread
