// Fetches the chunks of a version from the origin and from other sidecars.
#include <algorithm>

#include "sidecar_node.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"
#include "wagtailslip/spread/small_weights.h"

namespace wagtailslip::sidecar {
namespace {

using net::Task;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;
namespace asio = net::asio;

constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kOriginDigestsTimeout = std::chrono::milliseconds(1000);
constexpr Duration kDigestsRetryDelay = std::chrono::milliseconds(60);
constexpr Duration kPeerDigestsTimeout = std::chrono::milliseconds(300);
// Number of sidecars that fetch the digests of a version from the origin.
constexpr std::size_t kDigestSourceCount = 6;
// Times that all digest sources are asked before the origin is.
constexpr int kPeerDigestsAttempts = 6;
// Timeout of a whole chunk transfer as a multiple of the fetch timeout. On a slow link a chunk can
// still be useful after its deadline, when another source has been asked for it; a chunk that takes
// longer than this factor is not.
constexpr int kSlowChunkTimeoutFactor = 3;
// Far larger than a chunk or a bitmap of chunks. The limit bounds the memory that a faulty source
// can make this process allocate.
constexpr std::uint64_t kMaxChunkResponseBytes = std::uint64_t{8} * 1024 * 1024;
// Digests of 10,000 chunks, with room for their encoding.
constexpr std::uint64_t kMaxDigestsResponseBytes = std::uint64_t{1} * 1024 * 1024;
constexpr Duration kMaxSessionTickDelay = std::chrono::milliseconds(50);

/// Copies the chunks that match the manifest of `to`.
void CopyMatchingChunks(const Weights& from, Weights& to) {
  for (std::uint32_t i = 0; i < to.chunks.size() && i < from.chunks.size(); ++i) {
    const auto& bytes = from.chunks[i];
    if (bytes.empty() || to.manifest->Check(i, bytes) != spread::ChunkResult::kOk) continue;
    to.chunks[i] = bytes;
    to.session->MarkPresent(i);
  }
}

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

std::int64_t SidecarNode::IntendedVersion() const {
  if (!model_source_) return 0;
  std::int64_t version =
      std::max(target_sync_.targets().Newest(model_source_->model), proposed_version_);
  for (const auto& [id, record] : table_.endpoints()) version = std::max(version, record.weights);
  if (engine_state_) version = std::max(version, engine_state_->weights.complete_version);
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

std::shared_ptr<const spread::Members> SidecarNode::SpreadMembersWithDeparted(
    TimePoint fetch_started, TimePoint now) {
  const auto present = SpreadMembers();
  for (spread::MemberIndex i = 0; i < present->size(); ++i) {
    const auto& member = (*present)[i];
    auto [it, added] = known_members_.try_emplace(member.address, KnownMember{member, now, now});
    it->second.last_seen = now;
  }
  std::erase_if(known_members_, [&](const auto& entry) {
    return now - entry.second.last_seen > settings_.bounds.stop_grace;
  });
  std::vector<spread::Member> list;
  list.reserve(known_members_.size());
  for (const auto& [address, known] : known_members_) {
    // A member that left before this fetch started is not a source of the version.
    if (known.last_seen == now || known.first_seen <= fetch_started) list.push_back(known.member);
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
  // model_source_ may change during the calls.
  const std::string model = model_source_->model;
  const std::size_t offset = Hash64(settings_.ip) % std::max<std::size_t>(peers.size(), 1);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const std::string peer = peers[(offset + i) % peers.size()];
    if (peer == settings_.chunk_address()) continue;
    net::HttpResponse response;
    try {
      auto request = net::MakeRequest(net::http::verb::get, DigestsPath(model, version));
      response = co_await net::CallOnce(net::ParseAddress(peer), std::move(request),
                                        kPeerDigestsTimeout, kMaxDigestsResponseBytes);
    } catch (const net::NetError&) {
      // The digests are also available from the other peers and the origin.
      continue;
    }
    if (response.status != 200) continue;
    auto manifest = DecodeDigests(model, version, response.body);
    if (!manifest) continue;
    // This process fetches the version already, with digests that seem to be wrong.
    const bool refetch = incoming_ && incoming_->version == version;
    if (!refetch || incoming_->rejected.MatchedBy(*manifest)) co_return manifest;
  }
  co_return nullptr;
}

Task<std::shared_ptr<const spread::Manifest>> SidecarNode::FetchDigestsFromOrigin(
    std::int64_t version) {
  if (model_source_->origin.empty()) co_return nullptr;
  const std::string model = model_source_->model;
  std::string problem;
  std::int64_t newest = 0;
  try {
    auto request = platform::MakeDigestsRequest(model, version);
    const auto response =
        co_await net::CallOnce(net::ParseAddress(model_source_->origin), std::move(request),
                               kOriginDigestsTimeout, kMaxDigestsResponseBytes);
    if (response.status == 200) {
      const auto digests = platform::DecodeDigests(response.body);
      if (version != 0) {
        auto manifest = MakeManifest(model, version, digests);
        newest_origin_version_ = std::max(newest_origin_version_, version);
        co_return manifest;
      }
      newest = digests.version;
    } else {
      problem = "HTTP status " + std::to_string(response.status);
    }
  } catch (const Error& e) {
    problem = e.what();
  }
  // The version in the answer to a request for the newest one may be damaged, so it counts only if
  // a request that names it is answered with the same one.
  if (newest > 0) co_return co_await FetchDigestsFromOrigin(newest);
  if (problem.empty()) problem = "the newest version is " + std::to_string(newest);
  LogEvent(Event::kFetchFailed, {{"what", "digests"}, {"version", version}, {"error", problem}});
  co_return nullptr;
}

Task<void> SidecarNode::StartSession(std::int64_t version) {
  // Only a few sidecars fetch the digests from the origin, because its link carries the first copy
  // of the chunks at that time. The other sidecars fetch the digests from those few.
  const auto sources = DigestSources(version);
  const bool use_origin = version == 0 || std::find(sources.begin(), sources.end(),
                                                    settings_.chunk_address()) != sources.end();
  std::shared_ptr<const spread::Manifest> manifest;
  // Set if the version is being fetched already and its digests seem to be wrong.
  const auto replaced =
      incoming_ && incoming_->version == version ? incoming_ : std::shared_ptr<Weights>();
  if (replaced) {
    LogEvent(Event::kFetchFailed,
             {{"what", "digests"},
              {"version", version},
              {"error", "a rejected chunk was received again with the same bytes"}});
    manifest = co_await FetchDigestsFromPeers(sources, version);
  }
  for (int i = 0; i < kPeerDigestsAttempts && !use_origin && !replaced && !manifest; ++i) {
    co_await process::Sleep(kDigestsRetryDelay);
    manifest = co_await FetchDigestsFromPeers(sources, version);
  }
  if (!manifest) manifest = co_await FetchDigestsFromOrigin(version);
  const bool holds_weights =
      current_ || incoming_ || (engine_state_ && engine_state_->weights.complete_version != 0);
  if (!manifest && !holds_weights) {
    // Meanwhile the engine can serve the version that is in use. The newest one may be a proposal
    // that is never agreed on, or the origin may be gone.
    std::int64_t in_use = target_sync_.targets().Newest(model_source_->model);
    if (in_use >= version) in_use = 0;
    for (const auto& [id, record] : table_.endpoints()) {
      if (record.weights < version) in_use = std::max(in_use, record.weights);
    }
    if (in_use != 0) {
      const auto sources_in_use = DigestSources(in_use);
      manifest = co_await FetchDigestsFromPeers(sources_in_use, in_use);
      if (!manifest) manifest = co_await FetchDigestsFromOrigin(in_use);
    }
  }
  if (replaced) {
    replaced->rejected.OnRefetch(MonotonicNow());
    if (manifest && !replaced->rejected.MatchedBy(*manifest)) manifest.reset();
  }
  next_session_start_ = MonotonicNow() + kDigestsRetryDelay;
  if (manifest) {
    auto weights = std::make_shared<Weights>();
    weights->model = manifest->model;
    weights->version = std::stoll(manifest->version);
    weights->manifest = manifest;
    weights->chunks.resize(manifest->chunks.size());
    weights->session = std::make_unique<spread::Session>(
        manifest, SpreadMembers(), settings_.chunk_address(), strategy_,
        config::SpreadPolicy::kTimeFirst, spread::SmallWeightsLimits(), Hash64(settings_.ip));
    co_await ReuseLocalChunks(weights);
    if (weights->model == model_source_->model &&
        (!current_ || weights->version > current_->version) &&
        (!incoming_ || weights->version > incoming_->version ||
         (replaced && incoming_ == replaced))) {
      if (replaced) CopyMatchingChunks(*replaced, *weights);
      members_revision_ = table_.revision();
      next_session_tick_ = {};
      weights->fetch_started = MonotonicNow();
      // Records the members at the start of the fetch; the returned list is not needed.
      SpreadMembersWithDeparted(weights->fetch_started, weights->fetch_started);
      weights->session->Start(weights->fetch_started);
      incoming_ = weights;
      PromoteIfComplete(weights);
    }
  }
  starting_session_ = false;
}

Task<void> SidecarNode::ReuseLocalChunks(std::shared_ptr<Weights> weights) {
  // Chunks that are the same in both versions are not fetched again.
  if (current_) {
    CopyMatchingChunks(*current_, *weights);
    co_return;
  }
  std::string problem;
  try {
    const auto staged = co_await engine_.ListStagedChunks(weights->model);
    const TimePoint read_since = MonotonicNow();
    for (const std::uint32_t chunk : staged) {
      if (chunk >= weights->chunks.size()) continue;
      auto bytes = co_await engine_.ReadStagedChunk(weights->model, chunk);
      if (weights->manifest->Check(chunk, bytes) != spread::ChunkResult::kOk) continue;
      weights->chunks[chunk] = std::move(bytes);
      weights->session->MarkPresent(chunk);
    }
    // Another version that became complete meanwhile may have been staged over chunks that were
    // read before.
    if (weights->complete() && !current_) {
      // All chunks were just read back and verified, so they need not be staged again. This is the
      // case after a restart of both the sidecar and the engine.
      staged_version_ = weights->version;
      staged_read_since_ = read_since;
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
    asio::co_spawn(context_, FetchChunk(weights, it), asio::detached);
  }
  for (const auto& it : step.polls) {
    asio::co_spawn(context_, PollPeer(weights, it), asio::detached);
  }
}

Task<void> SidecarNode::FetchChunk(std::shared_ptr<Weights> weights, spread::Fetch fetch) {
  const TimePoint started = MonotonicNow();
  const bool from_origin = fetch.source == spread::kOrigin;
  const std::string address = from_origin ? model_source_->origin : fetch.address;
  const Duration timeout =
      std::max(fetch.deadline - started, Duration(std::chrono::milliseconds(50)));
  net::HttpResponse response;
  auto reason = spread::FailureReason::kUnreachable;
  std::string problem;
  try {
    auto request = from_origin
                       ? platform::MakeChunkRequest(weights->model, weights->version, fetch.chunk)
                       : net::MakeRequest(net::http::verb::get,
                                          ChunkPath(weights->model, weights->version, fetch.chunk));
    const auto endpoint = net::ParseAddress(address);
    const Duration connect_timeout =
        from_origin ? spread::OriginConnectTimeout(*weights->session) : kPeerConnectTimeout;
    auto connection = co_await source_connections_.Acquire(endpoint, connect_timeout, from_origin);
    connection->set_body_limit(kMaxChunkResponseBytes);
    const Duration total_timeout = kSlowChunkTimeoutFactor * timeout;
    response = co_await connection->Call(std::move(request), timeout, total_timeout);
    // The origin accepts few connections, so connections to it are not pooled.
    if (!from_origin) source_connections_.Release(endpoint, std::move(connection));
    if (response.status == 404) reason = spread::FailureReason::kMissing;
    if (response.status == 429 || response.status == 503) reason = spread::FailureReason::kBusy;
    if (response.status != 200) problem = "HTTP status " + std::to_string(response.status);
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
                                   {"ms", ToMilliseconds(now - started)}});
  }
  if (result == spread::ChunkResult::kCorrupt) {
    metrics_.Add(process::Counter::kChunksRejected);
    LogEvent(Event::kChunkRejected, {{"chunk", fetch.chunk}, {"source", address}});
    weights->rejected.Add(fetch.chunk, response.body, now);
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

Task<void> SidecarNode::PollPeer(std::shared_ptr<Weights> weights, spread::Poll poll) {
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
    // Reported to the session below, which polls other neighbours meanwhile.
    failed = true;
  }
  const TimePoint now = MonotonicNow();
  next_session_tick_ = now;
  std::optional<spread::Bitmap> have;
  if (!failed && response.status == 200) {
    have = spread::Bitmap::FromBytes(response.body, weights->chunks.size());
  }
  // Status 404 means that the peer has not started to fetch this version. It will have chunks soon,
  // so this counts as an empty bitmap and not as a failure.
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
