// Fetches the chunks of a version from the origin and from other sidecars.
#include <algorithm>

#include "sidecar_node.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::sidecar {
namespace {

using net::Task;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;
namespace asio = net::asio;

constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(500);
// While the first copy leaves the origin, the answer to a connection waits in the queue of its link
// behind a chunk for each fetcher. A fetcher that gives up then pauses while the link runs idle.
constexpr Duration kOriginConnectTimeout = std::chrono::milliseconds(1500);
constexpr Duration kOriginDigestsTimeout = std::chrono::milliseconds(1000);
constexpr Duration kDigestsRetryDelay = std::chrono::milliseconds(60);
constexpr Duration kPeerDigestsTimeout = std::chrono::milliseconds(300);
constexpr std::size_t kDigestSourceCount = 6;
constexpr int kPeerDigestsAttempts = 6;
// All chunks of the users' weights; the first copy of larger ones would wait for its neighbours.
constexpr std::size_t kMaxUnconfirmedOwnChunks = 64;
// A chunk on a narrow link may still be of use after its deadline, when another source has been
// asked; one that trickles in for longer is not.
constexpr int kSlowChunkTimeoutFactor = 3;
// Far more than a chunk or a bitmap of chunks; bounds what a faulty source can make this process
// hold.
constexpr std::uint64_t kMaxChunkResponseBytes = std::uint64_t{8} * 1024 * 1024;
constexpr Duration kMaxSessionTickDelay = std::chrono::milliseconds(50);

/// Limits for weights of a few megabytes that are to be everywhere within seconds.
spread::Limits SpreadLimits() {
  spread::Limits limits;
  limits.neighbours = 10;
  limits.outstanding = 6;
  limits.poll_interval = std::chrono::milliseconds(120);
  limits.poll_timeout = std::chrono::milliseconds(800);
  limits.min_deadline = std::chrono::milliseconds(700);
  limits.lowest_rate = 1 << 17;
  // Versions are due everywhere within 8 s, so an origin that is back must be noticed soon.
  limits.longest_origin_pause = std::chrono::seconds(1);
  // An origin may be gone seconds after a version was named, so the first copy leaves it without
  // pauses: two requests hide the round trip, and neighbours get little of a fetcher's link. What a
  // stopped fetcher owes is taken over after 0.9 s instead of 3 s, or after 0.3 s of silence.
  limits.settle = std::chrono::milliseconds(250);
  limits.unconfirmed = kMaxUnconfirmedOwnChunks;
  limits.to_origin = 2;
  limits.beside_own = 1;
  limits.takeover_part = 0.3;
  return limits;
}

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

std::int64_t SidecarNode::IntendedVersion() const {
  if (!model_source_) return 0;
  std::int64_t version = std::max(targets_.Newest(model_source_->model), proposed_version_);
  for (const auto& [id, record] : table_.endpoints()) version = std::max(version, record.weights);
  if (engine_state_) version = std::max(version, engine_state_->weights.whole_version);
  return std::max(version, newest_origin_version_);
}

std::shared_ptr<const spread::Members> SidecarNode::SpreadMembers() const {
  std::map<std::string, spread::Member> members;
  const auto add = [&](const std::string& ip, const std::string& domain) {
    const auto region = settings_.regions.find(domain);
    const std::string address = ip + ":" + std::to_string(settings_.first_port + 1);
    members[address] = {address, address,
                        region == settings_.regions.end() ? domain : region->second, domain};
  };
  for (const auto& [id, record] : table_.endpoints()) {
    add(HostOf(record.address), record.failure_domain);
  }
  add(settings_.ip, settings_.failure_domain);
  std::vector<spread::Member> list;
  list.reserve(members.size());
  for (auto& [address, member] : members) list.push_back(std::move(member));
  return std::make_shared<const spread::Members>(std::move(list));
}

std::shared_ptr<const spread::Members> SidecarNode::SpreadMembersWithDeparted(TimePoint begun,
                                                                              TimePoint now) {
  const auto present = SpreadMembers();
  for (spread::MemberIndex i = 0; i < present->size(); ++i) {
    const auto& member = (*present)[i];
    auto [it, added] = known_members_.try_emplace(member.address, KnownMember{member, now, now});
    it->second.last = now;
  }
  std::erase_if(known_members_, [&](const auto& entry) {
    return now - entry.second.last > settings_.bounds.stop_grace;
  });
  std::vector<spread::Member> list;
  list.reserve(known_members_.size());
  for (const auto& [address, known] : known_members_) {
    // One that left before this spread began is no source of it.
    if (known.last == now || known.first <= begun) list.push_back(known.member);
  }
  return std::make_shared<const spread::Members>(std::move(list));
}

std::vector<std::string> SidecarNode::DigestSources(std::int64_t version) const {
  const auto members = SpreadMembers();
  const auto key = static_cast<std::uint64_t>(version);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.reserve(members->size());
  for (spread::MemberIndex i = 0; i < members->size(); ++i) {
    order.emplace_back(members->Score(i, key), (*members)[i].address);
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<std::string> sources;
  sources.reserve(kDigestSourceCount);
  for (const auto& [score, address] : order) {
    if (sources.size() < kDigestSourceCount) sources.push_back(address);
  }
  return sources;
}

Task<std::shared_ptr<const spread::Manifest>> SidecarNode::FetchDigestsFromPeers(
    std::vector<std::string> peers, std::int64_t version) {
  const std::size_t first = Hash64(settings_.ip) % std::max<std::size_t>(peers.size(), 1);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const std::string peer = peers[(first + i) % peers.size()];
    if (peer == settings_.chunk_address()) continue;
    net::HttpResponse response;
    try {
      auto request =
          net::MakeRequest(net::http::verb::get, DigestsPath(model_source_->model, version));
      response =
          co_await net::CallOnce(net::ParseAddress(peer), std::move(request), kPeerDigestsTimeout);
    } catch (const net::NetError&) {
      // Another peer, or the origin, has them too.
      continue;
    }
    if (response.status != 200) continue;
    auto manifest = DecodeDigests(model_source_->model, version, response.body);
    if (manifest) co_return manifest;
  }
  co_return nullptr;
}

Task<std::shared_ptr<const spread::Manifest>> SidecarNode::FetchDigestsFromOrigin(
    std::int64_t version) {
  if (model_source_->origin.empty()) co_return nullptr;
  const std::string model = model_source_->model;
  std::string problem;
  try {
    auto request = platform::MakeDigestsRequest(model, version);
    const auto response = co_await net::CallOnce(net::ParseAddress(model_source_->origin),
                                                 std::move(request), kOriginDigestsTimeout);
    if (response.status == 200) {
      const auto digests = platform::DecodeDigests(response.body);
      newest_origin_version_ = std::max(newest_origin_version_, digests.version);
      co_return MakeManifest(model, digests.version, digests.chunk_bytes, digests.digests);
    }
    problem = "status " + std::to_string(response.status);
  } catch (const Error& e) {
    problem = e.what();
  }
  LogEvent(Event::kFetchFailed, {{"what", "digests"}, {"version", version}, {"error", problem}});
  co_return nullptr;
}

Task<void> SidecarNode::StartSession(std::int64_t version) {
  // Few processes take the digests from the origin, whose link carries the first copy of the chunks
  // at that time; the others take them from those few.
  const auto sources = DigestSources(version);
  const bool use_origin = version == 0 || std::find(sources.begin(), sources.end(),
                                                    settings_.chunk_address()) != sources.end();
  std::shared_ptr<const spread::Manifest> manifest;
  for (int i = 0; i < kPeerDigestsAttempts && !use_origin && !manifest; ++i) {
    co_await process::Sleep(kDigestsRetryDelay);
    manifest = co_await FetchDigestsFromPeers(sources, version);
  }
  if (!manifest) manifest = co_await FetchDigestsFromOrigin(version);
  next_session_start_ = MonotonicNow() + kDigestsRetryDelay;
  if (manifest) {
    auto weights = std::make_shared<Weights>();
    weights->model = model_source_->model;
    weights->version = std::stoll(manifest->version);
    weights->manifest = manifest;
    weights->chunks.resize(manifest->chunks.size());
    weights->session = std::make_unique<spread::Session>(
        manifest, SpreadMembers(), settings_.chunk_address(), strategy_,
        config::SpreadPolicy::kTimeFirst, SpreadLimits(), Hash64(settings_.ip));
    co_await ReuseLocalChunks(weights);
    if ((!current_ || weights->version > current_->version) &&
        (!incoming_ || weights->version > incoming_->version)) {
      members_revision_ = table_.revision();
      next_session_tick_ = {};
      weights->begun = MonotonicNow();
      // Notes who takes part from the beginning.
      SpreadMembersWithDeparted(weights->begun, weights->begun);
      weights->session->Start(weights->begun);
      incoming_ = weights;
      PromoteIfComplete(weights);
    }
  }
  starting_session_ = false;
}

Task<void> SidecarNode::ReuseLocalChunks(std::shared_ptr<Weights> weights) {
  // Chunks that both versions have are not fetched again.
  if (current_) {
    for (std::uint32_t i = 0; i < weights->chunks.size() && i < current_->chunks.size(); ++i) {
      const auto& bytes = current_->chunks[i];
      if (bytes.empty() || weights->manifest->Check(i, bytes) != spread::ChunkResult::kOk) {
        continue;
      }
      weights->chunks[i] = bytes;
      weights->session->MarkPresent(i);
    }
    co_return;
  }
  std::string problem;
  try {
    const auto staged = co_await engine_.ListStagedChunks(weights->model);
    std::size_t taken = 0;
    for (const std::uint32_t chunk : staged) {
      if (chunk >= weights->chunks.size()) continue;
      auto bytes = co_await engine_.ReadStagedChunk(weights->model, chunk);
      if (weights->manifest->Check(chunk, bytes) != spread::ChunkResult::kOk) continue;
      weights->chunks[chunk] = std::move(bytes);
      weights->session->MarkPresent(chunk);
      ++taken;
    }
    if (taken == weights->chunks.size()) {
      // What was read back just now need not be staged again, as after a restart of both.
      staged_version_ = weights->version;
      staged_verified_at_ = MonotonicNow();
    }
  } catch (const Error& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    LogEvent(Event::kFetchFailed, {{"what", "staged chunks"}, {"error", problem}});
  }
}

void SidecarNode::TickSession(TimePoint now) {
  next_session_tick_ = now + kMaxSessionTickDelay;
  if (!incoming_) return;
  const auto weights = incoming_;
  const auto step = weights->session->Tick(now);
  next_session_tick_ = std::min(next_session_tick_, step.next);
  for (const auto& it : step.fetches) {
    asio::co_spawn(context_, Fetch(weights, it), asio::detached);
  }
  for (const auto& it : step.polls) {
    asio::co_spawn(context_, Poll(weights, it), asio::detached);
  }
}

Task<void> SidecarNode::Fetch(std::shared_ptr<Weights> weights, spread::Fetch fetch) {
  const TimePoint begun = MonotonicNow();
  const bool from_origin = fetch.source == spread::kOrigin;
  const std::string address = from_origin ? model_source_->origin : fetch.address;
  const Duration timeout =
      std::max(fetch.deadline - begun, Duration(std::chrono::milliseconds(50)));
  net::HttpResponse response;
  auto reason = spread::FailureReason::kUnreachable;
  std::string problem;
  try {
    auto request = from_origin
                       ? platform::MakeChunkRequest(weights->model, weights->version, fetch.chunk)
                       : net::MakeRequest(net::http::verb::get,
                                          ChunkPath(weights->model, weights->version, fetch.chunk));
    const auto endpoint = net::ParseAddress(address);
    const Duration connect = from_origin ? kOriginConnectTimeout : kPeerConnectTimeout;
    auto connection = co_await source_connections_.Acquire(endpoint, connect, from_origin);
    connection->set_body_limit(kMaxChunkResponseBytes);
    const Duration most = kSlowChunkTimeoutFactor * timeout;
    response = co_await connection->Call(std::move(request), timeout, most);
    // The origin accepts few connections, so none is kept open to it.
    if (!from_origin) source_connections_.Release(endpoint, std::move(connection));
    if (response.status == 404) reason = spread::FailureReason::kMissing;
    if (response.status == 429 || response.status == 503) reason = spread::FailureReason::kBusy;
    if (response.status != 200) problem = "status " + std::to_string(response.status);
  } catch (const net::TimeoutError& e) {
    reason = spread::FailureReason::kTimeout;
    problem = e.what();
  } catch (const net::NetError& e) {
    problem = e.what();
  }
  const TimePoint now = MonotonicNow();
  next_session_tick_ = now;
  if (!problem.empty()) {
    LogEvent(Event::kFetchFailed,
             {{"chunk", fetch.chunk}, {"source", address}, {"error", problem}});
    weights->session->OnFailure(fetch.source, fetch.chunk, reason, Duration::zero(), now);
    TickSession(now);
    co_return;
  }
  const auto result = weights->manifest->Check(fetch.chunk, response.body);
  if (from_origin) {
    LogEvent(Event::kOriginChunk, {{"version", weights->version},
                                   {"chunk", fetch.chunk},
                                   {"ms", ToMilliseconds(now - begun)}});
  }
  if (result == spread::ChunkResult::kCorrupt) {
    metrics_.Add(process::Counter::kChunksRejected);
    LogEvent(Event::kChunkRejected, {{"chunk", fetch.chunk}, {"source", address}});
  }
  metrics_.Add(
      from_origin ? process::Counter::kFetchedBytesOrigin : process::Counter::kFetchedBytesPeer,
      response.body.size());
  if (weights->session->OnChunk(fetch.chunk, fetch.source, result, now)) {
    weights->chunks[fetch.chunk] = std::move(response.body);
  }
  PromoteIfComplete(weights);
  if (weights == incoming_) TickSession(now);
}

void SidecarNode::PromoteIfComplete(const std::shared_ptr<Weights>& weights) {
  if (weights != incoming_ || !weights->complete()) return;
  LogEvent(Event::kArtifactVerified, {{"version", weights->version},
                                      {"chunks", weights->chunks.size()},
                                      {"from_origin", weights->session->stats().from_origin},
                                      {"from_peers", weights->session->stats().from_peers}});
  previous_ = current_;
  current_ = weights;
  current_complete_at_ = MonotonicNow();
  incoming_.reset();
}

Task<void> SidecarNode::Poll(std::shared_ptr<Weights> weights, spread::Poll poll) {
  net::HttpResponse response;
  bool failed = false;
  try {
    auto request =
        net::MakeRequest(net::http::verb::get, HavePath(weights->model, weights->version));
    const auto endpoint = net::ParseAddress(poll.address);
    auto connection = co_await source_connections_.Acquire(endpoint, kPeerConnectTimeout);
    response = co_await connection->Call(
        std::move(request),
        std::max(poll.deadline - MonotonicNow(), Duration(std::chrono::milliseconds(50))));
    source_connections_.Release(endpoint, std::move(connection));
  } catch (const net::NetError&) {
    // The session asks other neighbours meanwhile.
    failed = true;
  }
  const TimePoint now = MonotonicNow();
  next_session_tick_ = now;
  std::optional<spread::Bitmap> have;
  if (!failed && response.status == 200) {
    have = spread::Bitmap::FromBytes(response.body, weights->chunks.size());
  }
  // A neighbour that has not begun with this version will soon have chunks of it.
  if (!failed && response.status == 404) have = spread::Bitmap(weights->chunks.size());
  if (have) {
    weights->session->OnPeerHave(poll.peer, *have, now);
  } else {
    const auto reason = failed ? spread::FailureReason::kUnreachable : spread::FailureReason::kBusy;
    weights->session->OnFailure(poll.peer, std::nullopt, reason, Duration::zero(), now);
  }
  if (weights == incoming_) TickSession(now);
}

}  // namespace wagtailslip::sidecar
