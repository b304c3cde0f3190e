#include "weights_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "wagtailslip/spread/small_weights.h"

namespace wagtailslip::spread {
namespace {

// One-way latency between any two machines, in seconds.
constexpr double kLatency = 0.002;
// Time in which an agent learns that a version was named, at most.
constexpr double kNamingDelay = 0.05;
constexpr std::size_t kDigestSources = 6;
constexpr double kDigestsRetry = 0.06;
constexpr double kDigestsBytes = 48 * 70;
constexpr double kTickPeriod = 0.05;
constexpr double kPeerConnectTimeout = 0.5;
constexpr double kNamedToFetch = 0.2;
// Bytes of one response that the origin sends in turn.
constexpr double kBlockBytes = 4096;
constexpr std::size_t kUploads = 4;
constexpr double kUploadShare = 0.95;
constexpr double kSlowShare = 0.05;

TimePoint ToTimePoint(double seconds) {
  return TimePoint(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds + 100)));
}
double FromTimePoint(TimePoint at) { return ToSeconds(at.time_since_epoch()) - 100; }

}  // namespace

double WeightsVersion::first_left() const {
  return left.empty() ? std::numeric_limits<double>::infinity()
                      : *std::min_element(left.begin(), left.end());
}

double WeightsVersion::last_left(std::size_t chunks) const {
  return left_by(std::numeric_limits<double>::max()) < chunks
             ? std::numeric_limits<double>::infinity()
             : *std::max_element(left.begin(), left.end());
}

std::size_t WeightsVersion::left_by(double at) const {
  return static_cast<std::size_t>(
      std::count_if(left.begin(), left.end(), [&](double it) { return it <= at; }));
}

/// One version at one agent.
struct WeightsModel::Fetching {
  std::size_t version;
  std::unique_ptr<Session> session;
  std::vector<double> chunk_at;
};

struct WeightsModel::Agent {
  Link up, down;
  double upload_free_at = 0;
  std::size_t uploads = 0;
  /// Newest version that the agent knows of, and the newest whose digests it asked for.
  std::size_t intended = 0;
  std::size_t learning = 0;
  std::shared_ptr<Fetching> incoming, current, previous;
  double next_tick = 0;
};

WeightsModel::WeightsModel(const WeightsConfig& config) : config_(config), random_(config.seed) {
  std::vector<Member> list;
  for (std::size_t i = 0; i < config.agents; ++i) {
    const std::string region = "r" + std::to_string(i % config.regions);
    const std::string id = std::to_string(1000 + i);
    list.push_back({id, "10.0.0.1:" + id, region, region + std::to_string(i / config.regions % 2)});
  }
  members_ = std::make_shared<Members>(list);
  agents_ = std::vector<Agent>(config.agents);
  for (Agent& agent : agents_) agent.up.rate = agent.down.rate = config.agent_bits / 8;
  origin_rate_ = config.origin_bits / 8;
  result_.versions.resize(config.named_at.size());
  for (std::size_t v = 0; v < config.named_at.size(); ++v) {
    auto manifest = std::make_shared<Manifest>();
    manifest->model = "m";
    manifest->version = std::to_string(v + 1);
    for (std::size_t i = 0; i < config.chunks; ++i) {
      const auto name = std::to_string(config.seed) + "/" + manifest->version + "/";
      manifest->chunks.push_back({Sha256(name + std::to_string(i)), config.chunk_bytes});
    }
    manifest->root = manifest->ComputeRoot();
    manifests_.push_back(manifest);
    digest_sources_.emplace_back();
    for (std::size_t i = 0; i < kDigestSources; ++i) {
      digest_sources_[v].push_back(static_cast<std::size_t>(Random() * 1e9) % config.agents);
    }
  }
  const auto fetchers = members_->TopRanked(
      0, MixHash(PlacementKey(manifests_[0]->root), 0x66657463), kFetchersPerRegion);
  for (std::size_t i = 0; i < config.slow && i < fetchers.size(); ++i) {
    Agent& agent = agents_[fetchers[fetchers.size() - 1 - i]];
    agent.up.rate = agent.down.rate = kSlowShare * config.agent_bits / 8;
  }
}

WeightsModel::~WeightsModel() = default;

void WeightsModel::At(double at, std::function<void()> call) {
  events_.push({std::max(at, now_), ++sequence_, std::move(call)});
}

double WeightsModel::Random() {
  random_ = MixHash(random_, 1);
  return static_cast<double>(random_ >> 11) * 0x1p-53;
}

bool WeightsModel::Stalled(std::size_t agent) const {
  if (config_.stalled == 0 || now_ < config_.stall_from) return false;
  const auto fetchers = members_->TopRanked(
      0, MixHash(PlacementKey(manifests_[0]->root), 0x66657463), kFetchersPerRegion);
  for (std::size_t i = 0; i < config_.stalled && i < fetchers.size(); ++i) {
    if (fetchers[i] == agent) return true;
  }
  return false;
}

bool WeightsModel::OriginGone() const {
  return now_ >= config_.gone_from && now_ < config_.gone_to;
}

double WeightsModel::Send(Link& link, double bytes) const {
  link.free_at = std::max(link.free_at, now_) + bytes / link.rate;
  return link.free_at;
}

WeightsResult WeightsModel::Run() {
  for (std::size_t v = 0; v < config_.named_at.size(); ++v) {
    for (std::size_t a = 0; a < agents_.size(); ++a) {
      At(config_.named_at[v] + Random() * kNamingDelay, [this, a, v] {
        agents_[a].intended = std::max(agents_[a].intended, v + 1);
        Tick(a);
      });
    }
  }
  At(config_.gone_from, [this] {
    ++origin_incarnation_;
    origin_open_ = 0;
    std::deque<OriginResponse> lost;
    lost.swap(origin_responses_);
    if (config_.gone_silent) return;
    for (const OriginResponse& it : lost) {
      Fail(it.agent, it.fetching, std::string(kOrigin), it.chunk, FailureReason::kUnreachable);
    }
  });
  for (std::size_t a = 0; a < agents_.size(); ++a)
    At(Random() * kTickPeriod, [this, a] { Tick(a); });
  while (!events_.empty() && events_.top().at <= config_.end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.call();
  }
  MeasureIdle();
  return result_;
}

void WeightsModel::LearnVersion(std::size_t agent, std::size_t version, int attempt) {
  // As in SidecarNode::StartSession: few agents fetch the digests from the origin, the others from
  // them.
  const auto& sources = digest_sources_[version];
  const bool use_origin =
      attempt >= 6 || std::find(sources.begin(), sources.end(), agent) != sources.end();
  if (!use_origin) {
    At(now_ + kDigestsRetry, [this, agent, version, attempt] {
      const bool known = std::any_of(
          digest_sources_[version].begin(), digest_sources_[version].end(),
          [&](std::size_t it) { return !Stalled(it) && FindFetching(it, version) != nullptr; });
      if (known) {
        At(now_ + 4 * kLatency, [=, this] { StartFetching(agent, version); });
      } else {
        LearnVersion(agent, version, attempt + 1);
      }
    });
    return;
  }
  if (OriginGone()) {
    At(now_ + (config_.gone_silent ? 1 : kDigestsRetry),
       [=, this] { LearnVersion(agent, version, 0); });
    return;
  }
  const double sent = now_ + 2 * OriginReplyDelay() + kDigestsBytes / origin_rate_;
  const int incarnation = origin_incarnation_;
  At(sent + 4 * kLatency, [=, this] {
    if (incarnation == origin_incarnation_) return StartFetching(agent, version);
    LearnVersion(agent, version, 0);
  });
}

void WeightsModel::StartFetching(std::size_t agent, std::size_t version) {
  Agent& self = agents_[agent];
  if (Stalled(agent)) return;
  const auto fetching = std::make_shared<Fetching>();
  fetching->version = version;
  fetching->session = std::make_unique<Session>(
      manifests_[version], members_, (*members_)[static_cast<MemberIndex>(agent)].id,
      MakeStrategy(StrategyKind::kSwarm), config::SpreadPolicy::kTimeFirst, SmallWeightsLimits(),
      MixHash(config_.seed, agent));
  fetching->session->Start(ToTimePoint(now_));
  self.incoming = fetching;
  Tick(agent);
}

std::shared_ptr<WeightsModel::Fetching> WeightsModel::FindFetching(std::size_t agent,
                                                                   std::size_t version) const {
  const Agent& self = agents_[agent];
  for (const auto& it : {self.incoming, self.current, self.previous}) {
    if (it && it->version == version) return it;
  }
  return nullptr;
}

void WeightsModel::Tick(std::size_t agent) {
  if (Stalled(agent)) return;
  Agent& self = agents_[agent];
  // As in SidecarNode::Tick: a version that has chunks is finished before the next one is fetched.
  const bool finish = self.incoming && self.incoming->session->present() > 0;
  if (self.intended > self.learning && !finish) {
    self.learning = self.intended;
    LearnVersion(agent, self.learning - 1, 0);
  }
  const auto incoming = self.incoming;
  double next = now_ + kTickPeriod;
  if (incoming) TickFetching(agent, incoming);
  if (self.next_tick <= now_ || self.next_tick > next) {
    self.next_tick = next;
    At(next, [this, agent, next] {
      if (agents_[agent].next_tick == next) Tick(agent);
    });
  }
}

void WeightsModel::TickFetching(std::size_t agent, const std::shared_ptr<Fetching>& fetching) {
  const TickResult result = fetching->session->Tick(ToTimePoint(now_));
  for (const Fetch& it : result.fetches) {
    if (it.source == kOrigin) {
      AskOrigin(agent, fetching, it);
    } else {
      AskPeer(agent, fetching, it);
    }
  }
  for (const Poll& it : result.polls) AskBitmap(agent, fetching, it);
  const double next = FromTimePoint(result.next);
  if (next < now_ + kTickPeriod) At(std::max(next, now_ + 0.001), [this, agent] { Tick(agent); });
}

void WeightsModel::AskOrigin(std::size_t agent, std::shared_ptr<Fetching> fetching, Fetch fetch) {
  const ChunkIndex chunk = fetch.chunk;
  if (OriginGone()) {
    ++result_.connections_to_gone_origin;
    const double timeout = ToSeconds(OriginConnectTimeout(*fetching->session));
    At(now_ + (config_.gone_silent ? timeout : 2 * kLatency), [=, this] {
      Fail(agent, fetching, std::string(kOrigin), chunk,
           config_.gone_silent ? FailureReason::kTimeout : FailureReason::kUnreachable);
    });
    return;
  }
  const int incarnation = origin_incarnation_;
  const double accepted = now_ + 2 * kLatency + OriginReplyDelay();
  const double timeout = ToSeconds(OriginConnectTimeout(*fetching->session));
  if (accepted - now_ > timeout) {
    At(now_ + timeout,
       [=, this] { Fail(agent, fetching, std::string(kOrigin), chunk, FailureReason::kTimeout); });
    return;
  }
  ++origin_open_;
  At(accepted, [=, this] {
    if (incarnation != origin_incarnation_) {
      if (config_.gone_silent) return;
      return Fail(agent, fetching, std::string(kOrigin), chunk, FailureReason::kUnreachable);
    }
    At(now_ + kLatency, [=, this] {
      if (incarnation == origin_incarnation_) return OnOriginConnected(agent, fetching, chunk);
      if (config_.gone_silent) return;
      Fail(agent, fetching, std::string(kOrigin), chunk, FailureReason::kUnreachable);
    });
  });
}

void WeightsModel::OnOriginConnected(std::size_t agent, std::shared_ptr<Fetching> fetching,
                                     ChunkIndex chunk) {
  if (origin_open_ > config_.origin_connections) {
    --origin_open_;
    ++result_.refused_by_origin;
    At(now_ + kLatency + OriginReplyDelay(),
       [=, this] { Fail(agent, fetching, std::string(kOrigin), chunk, FailureReason::kBusy); });
    return;
  }
  origin_responses_.push_back(
      {agent, fetching, chunk, now_, static_cast<double>(config_.chunk_bytes)});
  if (!origin_sending_) SendOriginBlock();
}

double WeightsModel::OriginReplyDelay() const {
  return static_cast<double>(origin_responses_.size()) * kBlockBytes / origin_rate_;
}

void WeightsModel::SendOriginBlock() {
  origin_sending_ = !origin_responses_.empty();
  if (!origin_sending_) return;
  const double bytes = std::min(kBlockBytes, origin_responses_.front().bytes_left);
  const double sent = now_ + bytes / origin_rate_;
  const int incarnation = origin_incarnation_;
  origin_busy_.emplace_back(now_, sent);
  At(sent, [this, bytes, incarnation] {
    if (incarnation == origin_incarnation_) {
      OriginResponse response = origin_responses_.front();
      origin_responses_.pop_front();
      response.bytes_left -= bytes;
      if (response.bytes_left > 0) {
        origin_responses_.push_back(response);
      } else {
        NoteOriginSent(response);
      }
    }
    SendOriginBlock();
  });
}

void WeightsModel::NoteOriginSent(const OriginResponse& response) {
  --origin_open_;
  WeightsVersion& result = result_.versions[response.fetching->version];
  ++result.sent;
  if (result.left.empty()) {
    result.left.assign(config_.chunks, std::numeric_limits<double>::infinity());
  }
  double& left = result.left[response.chunk];
  left = std::min(left, now_);
  Receive(response.agent, response.fetching, response.chunk, std::string(kOrigin), response.started,
          now_);
}

void WeightsModel::Receive(std::size_t agent, std::shared_ptr<Fetching> fetching, ChunkIndex chunk,
                           std::string source, double sent_from, double sent_to) {
  // The receiver's link carries the chunk while the sender sends it, unless it is busy or slower.
  Link& down = agents_[agent].down;
  const double time = static_cast<double>(config_.chunk_bytes) / down.rate;
  down.free_at = std::max(std::max(down.free_at, sent_from) + time, sent_to);
  At(down.free_at + kLatency, [=, this] {
    if (Stalled(agent)) return;
    fetching->session->OnChunk(chunk, source, ChunkResult::kOk, ToTimePoint(now_));
    Promote(agent);
    Tick(agent);
  });
}

void WeightsModel::Fail(std::size_t agent, const std::shared_ptr<Fetching>& fetching,
                        const std::string& source, std::optional<ChunkIndex> chunk,
                        FailureReason reason) {
  if (Stalled(agent)) return;
  fetching->session->OnFailure(source, chunk, reason, Duration::zero(), ToTimePoint(now_));
  Tick(agent);
}

void WeightsModel::Promote(std::size_t agent) {
  Agent& self = agents_[agent];
  if (!self.incoming || !self.incoming->session->Complete()) return;
  WeightsVersion& version = result_.versions[self.incoming->version];
  if (version.first_whole == 0) version.first_whole = now_;
  version.all_whole = now_;
  self.previous = self.current;
  self.current = self.incoming;
  self.incoming = nullptr;
}

void WeightsModel::AskPeer(std::size_t agent, std::shared_ptr<Fetching> fetching, Fetch fetch) {
  const std::size_t peer = members_->Find(fetch.source);
  At(now_ + 2 * kLatency, [=, this] {
    if (Stalled(peer)) return;
    Agent& sender = agents_[peer];
    const auto held = FindFetching(peer, fetching->version);
    if (!held || !held->session->have().Test(fetch.chunk)) {
      At(now_ + kLatency,
         [=, this] { Fail(agent, fetching, fetch.source, fetch.chunk, FailureReason::kMissing); });
      return;
    }
    if (sender.uploads >= kUploads) {
      ++result_.refused_by_peers;
      At(now_ + kLatency,
         [=, this] { Fail(agent, fetching, fetch.source, fetch.chunk, FailureReason::kBusy); });
      return;
    }
    ++sender.uploads;
    // As in process::RateGate: a transfer starts when the previous one should have ended.
    const auto bytes = static_cast<double>(config_.chunk_bytes);
    const double start = std::max(sender.upload_free_at, now_);
    sender.upload_free_at = start + bytes / (kUploadShare * config_.agent_bits / 8);
    At(start, [=, this] {
      Agent& from = agents_[peer];
      const double sent = Send(from.up, bytes);
      const double started = sent - bytes / from.up.rate;
      At(sent, [=, this] {
        --agents_[peer].uploads;
        if (Stalled(peer)) return;
        Receive(agent, fetching, fetch.chunk, fetch.source, started, sent);
      });
    });
  });
}

void WeightsModel::AskBitmap(std::size_t agent, std::shared_ptr<Fetching> fetching, Poll poll) {
  const std::size_t peer = members_->Find(poll.peer);
  At(now_ + kLatency, [=, this] {
    if (Stalled(peer)) {
      At(now_ + kPeerConnectTimeout, [=, this] {
        Fail(agent, fetching, poll.peer, std::nullopt, FailureReason::kUnreachable);
      });
      return;
    }
    const auto held = FindFetching(peer, fetching->version);
    // The reply waits for the chunk that the peer's link carries.
    const double replied = std::max(agents_[peer].up.free_at, now_) + kLatency;
    const Bitmap have = held ? held->session->have() : Bitmap(config_.chunks);
    At(replied, [=, this] {
      if (Stalled(agent)) return;
      fetching->session->OnPeerHave(poll.peer, have, ToTimePoint(now_));
      Tick(agent);
    });
  });
}

void WeightsModel::MeasureIdle() {
  std::sort(origin_busy_.begin(), origin_busy_.end());
  for (std::size_t v = 0; v < result_.versions.size(); ++v) {
    // Only the time from which this version is to be fetched until the next one is.
    const double from = config_.named_at[v] + kNamedToFetch;
    const double next =
        v + 1 < config_.named_at.size() ? config_.named_at[v + 1] + kNamedToFetch : config_.end;
    const double to = std::min(result_.versions[v].last_left(config_.chunks), next);
    double at = from;
    const auto note = [&](double begin, double end) {
      // The time for which the origin is gone does not count.
      if (begin < config_.gone_to && end > config_.gone_from) {
        if (begin < config_.gone_from) {
          end = config_.gone_from;
        } else {
          begin = config_.gone_to;
        }
      }
      if (end <= begin) return;
      result_.longest_idle = std::max(result_.longest_idle, end - begin);
      result_.total_idle += end - begin;
    };
    for (const auto& [begin, end] : origin_busy_) {
      if (end <= from) continue;
      if (begin >= to) break;
      if (begin > at) note(at, begin);
      at = std::max(at, end);
    }
    if (at < to && std::isfinite(to)) note(at, to);
  }
}

}  // namespace wagtailslip::spread
