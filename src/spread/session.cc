#include "wagtailslip/spread/session.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "session_state.h"

namespace wagtailslip::spread {
namespace {

// Weight of a new sample in moving averages.
constexpr double kEwmaWeight = 0.2;
constexpr Duration kInitialBlock = std::chrono::milliseconds(500);
// Bounds, before jitter, the time until a peer is retried after a network partition has healed.
constexpr Duration kMaxBlock = std::chrono::seconds(8);
// A peer that refuses a request without a Retry-After time is asked again after the mean request
// time divided by this number, in which about half of one of its 4 uploads completes.
constexpr double kBusyDivisor = 8;
constexpr Duration kMinBusyPause = std::chrono::milliseconds(50);
// A chunk may be corrupted in transfer or at one source. After this time the same source is asked
// for it again, so that a single transfer error of the only source does not stop the session.
constexpr Duration kCorruptPause = std::chrono::seconds(10);
constexpr double kMaxDeadlineFactor = 8;
constexpr Duration kSuspectPause = std::chrono::seconds(2);
constexpr Duration kMissingPause = std::chrono::seconds(3);
// Each intact chunk offsets a tenth of a corrupt one: a source with 1% transfer errors stays in
// use, and one that corrupts more than a tenth of its chunks is blocked for increasing times.
constexpr double kCorruptScoreDecay = 0.1;

double Ewma(double mean, double sample) {
  return mean == 0 ? sample : mean + kEwmaWeight * (sample - mean);
}

}  // namespace

Session::Session(std::shared_ptr<const Manifest> manifest, std::shared_ptr<const Members> members,
                 std::string self, std::shared_ptr<const Strategy> strategy,
                 config::SpreadPolicy policy, SessionLimits limits, std::uint64_t seed)
    : manifest_(std::move(manifest)),
      members_(std::move(members)),
      self_(std::move(self)),
      strategy_(std::move(strategy)),
      policy_(policy),
      limits_(limits),
      random_(MixHash(seed, Hash64(self_))),
      origin_(limits.max_origin_backoff, limits.origin_probe_interval) {
  if (members_->Find(self_) == kNoMember) {
    throw SpreadError("agent " + self_ + " is not in the member list");
  }
  const std::size_t n = manifest_->chunks.size();
  have_ = Bitmap(n);
  in_flight_.resize(n);
  copies_.resize(n);
  priority_.resize(n);
  for (auto& value : priority_) value = static_cast<std::uint16_t>(Random());
  mean_chunk_ = static_cast<double>(manifest_->TotalSize()) / static_cast<double>(n);
}

Session::~Session() = default;
Session::Session(Session&&) noexcept = default;
Session& Session::operator=(Session&&) noexcept = default;

std::size_t Session::outstanding() const { return requests_.size(); }

std::uint64_t Session::Random() {
  // splitmix64
  random_ += 0x9e3779b97f4a7c15;
  std::uint64_t z = random_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

void Session::MarkPresent(ChunkIndex chunk) {
  WTS_INVARIANT(chunk < have_.size());
  SetPresent(chunk);
}

void Session::SetPresent(ChunkIndex chunk) {
  if (have_.Test(chunk)) return;
  have_.Set(chunk);
  ++present_;
}

void Session::Start(TimePoint now) {
  WTS_INVARIANT(!started_);
  started_ = true;
  progress_at_ = idle_since_ = next_takeover_check_ = now;
  Replan(now);
}

void Session::OnMembers(std::shared_ptr<const Members> members, TimePoint now) {
  if (members->Find(self_) == kNoMember) return;
  members_ = std::move(members);
  if (started_) Replan(now);
}

void Session::Replan(TimePoint now) {
  const MemberIndex self = members_->Find(self_);
  planned_at_ = now;
  plan_ = strategy_->MakePlan(*manifest_, *members_, self, limits_.neighbours);
  std::vector<Peer> peers;
  std::vector<Slot> moved(peers_.size(), kNoSlot);
  for (const Neighbour& neighbour : plan_.neighbours) {
    const Member& member = (*members_)[neighbour.member];
    Peer peer;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
      if (peers_[i].id != member.id) continue;
      moved[i] = static_cast<Slot>(peers.size());
      peer = std::move(peers_[i]);
      break;
    }
    if (peer.id.empty()) {
      peer.id = member.id;
      peer.have = Bitmap(have_.size());
      peer.progress_at = peer.next_poll = now;
    }
    peer.address = member.address;
    peer.member = neighbour.member;
    peer.region = members_->RegionOf(neighbour.member);
    peer.local = neighbour.local;
    peers.push_back(std::move(peer));
  }
  peers_ = std::move(peers);
  local_peers_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [](const Peer& peer) { return peer.local; }));
  // Requests to former neighbours are no longer tracked, but a late response is still accepted.
  std::erase_if(requests_, [&](Request& request) {
    if (request.slot == kOriginSlot) return false;
    request.slot = moved[request.slot];
    if (request.slot != kNoSlot) return false;
    --in_flight_[request.chunk];
    return true;
  });
  std::fill(copies_.begin(), copies_.end(), 0);
  for (const Peer& peer : peers_) {
    if (!peer.local) continue;
    for (std::size_t w = 0; w < peer.have.words().size(); ++w) {
      ForEachBit(peer.have.words()[w], w, [&](std::size_t chunk) { ++copies_[chunk]; });
    }
  }
  missing_primary_.clear();
  missing_backup_.clear();
  primary_chunks_ = Bitmap(have_.size());
  for (ChunkIndex c = 0; c < plan_.chunks.size(); ++c) {
    if (plan_.chunks[c].rank == 0) primary_chunks_.Set(c);
    if (have_.Test(c) || plan_.chunks[c].rank == kNoRank) continue;
    (plan_.chunks[c].rank == 0 ? missing_primary_ : missing_backup_).push_back(c);
  }
  const auto by_priority = [&](ChunkIndex a, ChunkIndex b) { return priority_[a] < priority_[b]; };
  if (limits_.help_other_fetchers) {
    std::reverse(missing_backup_.begin(), missing_backup_.end());
  } else {
    std::sort(missing_primary_.begin(), missing_primary_.end(), by_priority);
    std::sort(missing_backup_.begin(), missing_backup_.end(), by_priority);
  }
  // The share per agent is rounded up or down at random, so that its mean over all agents is exact.
  const double extra = TimeoutsFor(policy_).redundant_copies *
                       static_cast<double>(manifest_->chunks.size()) /
                       static_cast<double>(members_->size());
  redundant_limit_ =
      static_cast<std::size_t>(extra + static_cast<double>(Random() >> 11) * 0x1p-53);
}

Session::Peer* Session::FindPeer(std::string_view id) {
  for (Peer& peer : peers_) {
    if (peer.id == id) return &peer;
  }
  return nullptr;
}

Slot Session::SlotOf(std::string_view source) const {
  if (source == kOrigin) return kOriginSlot;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].id == source) return static_cast<Slot>(i);
  }
  return kNoSlot;
}

void Session::OnPeerHave(std::string_view peer_id, const Bitmap& have, TimePoint now) {
  Peer* peer = FindPeer(peer_id);
  if (peer == nullptr || have.size() != have_.size()) return;
  peer->contacted = true;
  peer->polling = false;
  peer->poll_failures = 0;
  SetHave(*peer, have, now);
}

void Session::SetHave(Peer& peer, const Bitmap& have, TimePoint now) {
  bool gained = false;
  for (std::size_t w = 0; w < have.words().size(); ++w) {
    const std::uint64_t added = have.words()[w] & ~peer.have.words()[w];
    const std::uint64_t lost = peer.have.words()[w] & ~have.words()[w];
    gained = gained || added != 0;
    if (!peer.local) continue;
    ForEachBit(added, w, [&](std::size_t chunk) { ++copies_[chunk]; });
    ForEachBit(lost, w, [&](std::size_t chunk) { --copies_[chunk]; });
  }
  peer.have = have;
  peer.have_count = have.Count();
  if (gained) peer.progress_at = progress_at_ = now;
}

bool Session::EndRequest(ChunkIndex chunk, Slot slot, TimePoint now, bool completed) {
  const auto it = std::find_if(requests_.begin(), requests_.end(), [&](const Request& request) {
    return request.chunk == chunk && request.slot == slot;
  });
  if (it == requests_.end()) return false;
  if (completed && slot == kOriginSlot) {
    longest_origin_request_ = std::max(longest_origin_request_, now - it->started);
  }
  if (completed) {
    const double sample =
        ToSeconds(now - it->started) / static_cast<double>(manifest_->chunks[chunk].size);
    deviation_ = seconds_per_byte_ == 0 ? sample / 2
                                        : Ewma(deviation_, std::abs(sample - seconds_per_byte_));
    seconds_per_byte_ = Ewma(seconds_per_byte_, sample);
    deadline_factor_ = 1;
    if (slot != kOriginSlot) {
      peers_[slot].seconds_per_byte = Ewma(peers_[slot].seconds_per_byte, sample);
    }
  }
  if (slot == kOriginSlot) {
    --origin_requests_;
  } else {
    --peers_[slot].outstanding;
  }
  --in_flight_[chunk];
  requests_.erase(it);
  return true;
}

bool Session::OnChunk(ChunkIndex chunk, std::string_view source, ChunkResult result,
                      TimePoint now) {
  WTS_INVARIANT(chunk < have_.size());
  const Slot slot = SlotOf(source);
  const bool expected = EndRequest(chunk, slot, now, result == ChunkResult::kOk);
  if (result == ChunkResult::kCorrupt) {
    ++stats_.corrupt;
    if (slot == kOriginSlot) {
      origin_.OnFailed(Random(), now);
    } else if (slot != kNoSlot) {
      Peer& peer = peers_[slot];
      peer.excluded_chunks.emplace_back(chunk, now + kCorruptPause);
      peer.corrupt_score += 1;
      Block(peer, kInitialBlock * (1 << static_cast<int>(std::min(peer.corrupt_score, 6.0))), now);
    }
    return false;
  }
  if (slot == kOriginSlot) {
    origin_.OnSuccess();
    // After a takeover, further chunks are taken over without waiting for the next check.
    if (stats_.takeovers > 0) next_takeover_check_ = now;
    if (expected) ++stats_.from_origin;
  } else if (slot != kNoSlot) {
    Peer& peer = peers_[slot];
    peer.failures = 0;
    peer.last_success = now;
    peer.refused_since = TimePoint::max();
    peer.corrupt_score = std::max(0.0, peer.corrupt_score - kCorruptScoreDecay);
    ++stats_.from_peers;
    if (!peer.local) ++stats_.across_regions;
  }
  if (have_.Test(chunk)) {
    ++stats_.duplicates;
    return false;
  }
  if (ended_) return false;
  SetPresent(chunk);
  return true;
}

void Session::Block(Peer& peer, Duration duration, TimePoint now) {
  duration = std::min(duration, kMaxBlock);
  duration += duration * static_cast<std::int64_t>(Random() % 256) / 1024;
  peer.blocked_until = std::max(peer.blocked_until, now + duration);
}

void Session::BackOff(Peer& peer, TimePoint now) {
  Block(peer, kInitialBlock * (1 << std::min(peer.failures, 6U)), now);
  ++peer.failures;
}

Duration Session::BusyPause() {
  const double chunk = seconds_per_byte_ * mean_chunk_;
  const double seconds = chunk / kBusyDivisor * (0.75 + static_cast<double>(Random() % 512) / 1024);
  return std::max(kMinBusyPause, std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(std::min(seconds, 2.0))));
}

void Session::OnFailure(std::string_view source, std::optional<ChunkIndex> chunk,
                        FailureReason reason, Duration retry_after, TimePoint now) {
  const Slot slot = SlotOf(source);
  if (slot == kNoSlot) return;
  if (chunk) {
    WTS_INVARIANT(*chunk < have_.size());
    // A request that has already expired was counted at its deadline.
    if (!EndRequest(*chunk, slot, now, false)) return;
  }
  ++stats_.failures;
  if (slot == kOriginSlot) {
    if (reason == FailureReason::kBusy) {
      origin_.OnRefused(retry_after, Random(), now);
    } else {
      origin_.OnFailed(Random(), now);
    }
    return;
  }
  Peer& peer = peers_[slot];
  if (!chunk) {
    peer.polling = false;
    peer.contacted = true;
    ++peer.poll_failures;
    Block(peer, kInitialBlock * (1 << std::min(peer.poll_failures, 6U)), now);
    return;
  }
  switch (reason) {
    case FailureReason::kBusy:
      peer.refused_since = std::min(peer.refused_since, now);
      if (peer.Suspect()) {
        Block(peer, std::max(retry_after, kSuspectPause), now);
        break;
      }
      peer.blocked_until = std::max(peer.blocked_until, now + std::max(retry_after, BusyPause()));
      break;
    case FailureReason::kMissing:
      if (peer.have.Test(*chunk)) {
        peer.have.Reset(*chunk);
        --peer.have_count;
        if (peer.local) --copies_[*chunk];
      }
      peer.excluded_chunks.emplace_back(*chunk, now + kMissingPause);
      break;
    case FailureReason::kTimeout:
      // Meant to extend deadlines when the rate drops on all links, so that not every request
      // fails; Deadline() does not apply the factor.
      deadline_factor_ = std::min(kMaxDeadlineFactor, deadline_factor_ * 1.25);
      BackOff(peer, now);
      break;
    case FailureReason::kUnreachable:
      BackOff(peer, now);
      break;
  }
}

Session::Handover Session::Supersede(const Manifest& next) {
  Handover handover;
  std::unordered_set<Digest> kept;
  for (const auto& shared : Compare(*manifest_, next).shared) {
    // With repeated digests, any present chunk of the old version serves all positions of the new
    // one.
    if (have_.Test(shared.from)) handover.present.push_back(shared.to);
    kept.insert(manifest_->chunks[shared.from].digest);
  }
  for (ChunkIndex c = 0; c < have_.size(); ++c) {
    const Digest& digest = manifest_->chunks[c].digest;
    if (have_.Test(c) && !kept.contains(digest)) handover.obsolete.push_back(digest);
  }
  for (const Request& request : requests_) {
    const bool origin = request.slot == kOriginSlot;
    handover.cancels.push_back(
        {request.chunk, origin ? std::string(kOrigin) : peers_[request.slot].id});
  }
  requests_.clear();
  std::fill(in_flight_.begin(), in_flight_.end(), 0);
  for (Peer& peer : peers_) peer.outstanding = 0;
  origin_requests_ = 0;
  ended_ = true;
  return handover;
}

std::size_t Session::MemoryBytes() const {
  std::size_t bytes =
      sizeof(*this) + requests_.capacity() * sizeof(Request) +
      have_.words().capacity() * sizeof(std::uint64_t) + in_flight_.capacity() +
      2 * (copies_.capacity() + priority_.capacity()) +
      plan_.chunks.capacity() * sizeof(ChunkPlan) +
      plan_.neighbours.capacity() * sizeof(Neighbour) +
      (missing_primary_.capacity() + missing_backup_.capacity()) * sizeof(ChunkIndex);
  for (const Peer& peer : peers_) {
    bytes += sizeof(Peer) + peer.have.words().capacity() * sizeof(std::uint64_t) +
             peer.excluded_chunks.capacity() * sizeof(peer.excluded_chunks[0]);
  }
  return bytes;
}

}  // namespace wagtailslip::spread
