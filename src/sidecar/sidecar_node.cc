#include "sidecar_node.h"

#include <algorithm>

#include "gen/mesh_types.h"
#include "wagtailslip/base/digest.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::sidecar {
namespace {

using mesh::MemberKind;
using net::Task;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;
namespace asio = net::asio;

constexpr std::uint16_t kMetricsPort = 9464;
constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kEnginePeriod = std::chrono::milliseconds(120);
constexpr Duration kReadingPeriod = std::chrono::milliseconds(400);
constexpr Duration kLinkPatience = std::chrono::milliseconds(1000);
constexpr std::size_t kHomes = 2;
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kDigestsTimeout = std::chrono::milliseconds(1000);
constexpr Duration kDigestsRetry = std::chrono::milliseconds(60);
constexpr Duration kPeerDigestsTimeout = std::chrono::milliseconds(300);
constexpr std::size_t kFirstAtOrigin = 6;
constexpr int kPeerRounds = 6;
constexpr std::size_t kMostUploads = 4;
// Part of the link that chunks may take. They enter it one after the other, so that an event of the
// engine's streams waits for one chunk at most.
constexpr double kUploadPart = 0.95;
// Staged bytes may go bad; an order that follows the last check later than this checks again.
constexpr Duration kVerifiedFor = std::chrono::milliseconds(700);
// A version is finished although a newer one was named if one chunk in this many has arrived.
constexpr std::size_t kFinishPart = 3;
// Time after which an order without an effect is given again.
constexpr Duration kOrderPatience = std::chrono::seconds(7);
constexpr Duration kOrderRetry = std::chrono::milliseconds(200);

/// Limits for weights of a few megabytes that are to be everywhere within seconds.
spread::Limits SpreadLimits() {
  spread::Limits limits;
  limits.neighbours = 10;
  limits.outstanding = 6;
  limits.poll_interval = std::chrono::milliseconds(120);
  limits.poll_timeout = std::chrono::milliseconds(800);
  limits.min_deadline = std::chrono::milliseconds(700);
  limits.lowest_rate = 1 << 17;
  return limits;
}

std::string MeshAddressOf(const std::string& control_address, std::uint16_t port) {
  return control_address.substr(0, control_address.rfind(':')) + ":" + std::to_string(port);
}

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

mesh::Member Describe(const deployment::NodeSettings& settings, std::int64_t incarnation) {
  mesh::Member self;
  self.process = settings.mesh_address();
  self.kind = MemberKind::kSidecar;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.service_address = settings.engine_address;
  self.incarnation = incarnation;
  return self;
}

/// Whether two readings differ in load only, which ingress processes mostly know themselves.
bool SameWeights(const serving::EndpointReading& a, const serving::EndpointReading& b) {
  return a.started_ms == b.started_ms && a.weights == b.weights && a.swapping == b.swapping;
}

}  // namespace

SidecarNode::SidecarNode(asio::io_context& context, const deployment::NodeSettings& settings,
                         std::int64_t incarnation)
    : context_(context),
      settings_(settings),
      incarnation_(incarnation),
      timer_(context),
      engine_(context.get_executor(), net::ParseAddress(settings.engine_address)),
      peers_(context.get_executor()),
      upload_(static_cast<std::uint64_t>(settings.link_rate * kUploadPart)),
      strategy_(spread::MakeStrategy(spread::StrategyKind::kSwarm)) {
  for (const auto& it : settings.seeds) seeds_.insert(MeshAddressOf(it, settings.first_port));
  mesh::MeshNode::Handlers handlers;
  handlers.on_member = [this](const mesh::Member& member) { OnMember(member); };
  handlers.on_lost = [this](const mesh::Member& member) { OnLost(member); };
  handlers.on_message = [this](const mesh::Member& from, const wire::MeshMessage& message) {
    OnMessage(from, message);
  };
  mesh_ = std::make_unique<mesh::MeshNode>(context, net::ParseAddress(settings.mesh_address()),
                                           Describe(settings, incarnation), mesh::MeshLimits{},
                                           handlers);
  server_ = std::make_unique<net::HttpServer>(
      context, net::ParseAddress(settings.chunk_address()), net::HttpLimits{},
      [this](net::HttpExchange& exchange) { return Serve(exchange); });
  metrics_server_ = std::make_unique<net::HttpServer>(
      context, net::ParseAddress(settings.ip + ":" + std::to_string(kMetricsPort)),
      net::HttpLimits{}, [this](net::HttpExchange& exchange) { return ServeMetrics(exchange); });
}

void SidecarNode::Start() {
  UpdateLinks(MonotonicNow());
  mesh_->Start();
  server_->Start();
  metrics_server_->Start();
  asio::co_spawn(context_, EngineLoop(), asio::detached);
  ScheduleTick();
}

void SidecarNode::Stop() {
  stopping_ = true;
  timer_.cancel();
  mesh_->Stop();
  server_->StopAccepting();
  metrics_server_->StopAccepting();
}

void SidecarNode::ScheduleTick() {
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([this](net::error_code ec) {
    if (ec) return;
    Tick();
    ScheduleTick();
  });
}

void SidecarNode::Tick() {
  const TimePoint now = MonotonicNow();
  UpdateLinks(now);
  const std::int64_t intended = IntendedVersion();
  const std::int64_t under_way =
      std::max(current_ ? current_->version : 0, incoming_ ? incoming_->version : 0);
  const bool have_target = under_way != 0 && under_way >= intended;
  if (source_ && !have_target && !NearlyThere() && !finding_digests_ && now >= digests_at_) {
    finding_digests_ = true;
    asio::co_spawn(context_, FindDigests(intended), asio::detached);
  }
  if (incoming_ && table_.revision() != members_revision_) {
    members_revision_ = table_.revision();
    incoming_->session->OnMembers(SpreadMembers(), now);
    session_next_ = now;
  }
  if (now >= session_next_) TickSession(now);
}

bool SidecarNode::NearlyThere() const {
  // A version that was overtaken on its way still has a bound of its own. Given up late, it would
  // leave the engines without any version that may answer until the next one is everywhere.
  return incoming_ && incoming_->session->present() * kFinishPart >= incoming_->chunks.size();
}

// --- Links.

void SidecarNode::UpdateLinks(TimePoint now) {
  std::set<std::string> known = seeds_;
  for (const auto& [process, list] : known_by_) known.insert(list.begin(), list.end());
  if (known_by_.empty()) known.insert(last_known_.begin(), last_known_.end());
  last_known_ = known;
  // The order spreads the sidecars over the control processes.
  std::vector<std::string> order(known.begin(), known.end());
  std::sort(order.begin(), order.end(), [this](const std::string& a, const std::string& b) {
    return Hash64(a, Hash64(settings_.ip)) < Hash64(b, Hash64(settings_.ip));
  });
  std::set<std::string> homes;
  std::size_t good = 0;
  for (const auto& it : order) {
    if (good >= kHomes) break;
    homes.insert(it);
    const auto [since, added] = home_since_.try_emplace(it, now);
    if (mesh_->Linked(it)) since->second = now;
    // A process that cannot be linked is still tried, but another one is taken besides.
    if (now - since->second < kLinkPatience) ++good;
  }
  std::erase_if(home_since_, [&](const auto& row) { return !homes.contains(row.first); });
  mesh_->KeepLinks(homes);
}

void SidecarNode::OnMember(const mesh::Member& member) {
  LogEvent(Event::kLinkUp,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  reading_sent_at_ = {};
}

void SidecarNode::OnLost(const mesh::Member& member) {
  LogEvent(Event::kLinkLost,
           {{"peer", member.process}, {"kind", mesh::kMemberKinds.Name(member.kind)}});
  known_by_.erase(member.process);
}

void SidecarNode::OnMessage(const mesh::Member& from, const wire::MeshMessage& message) {
  const TimePoint now = MonotonicNow();
  if (message.__isset.members) {
    auto& known = known_by_[from.process];
    known.clear();
    for (const auto& it : message.members) {
      if (it.kind == static_cast<std::int16_t>(MemberKind::kControl)) known.insert(it.process);
    }
  }
  if (message.__isset.instances) {
    for (const auto& it : message.instances) {
      if (it.service_name == settings_.engine_service || it.service_name.empty()) {
        table_.Apply(mesh::FromWire(it, now), now);
      }
    }
  }
  if (message.__isset.sources) {
    for (const auto& it : message.sources) {
      if (it.service_name == settings_.engine_service) source_ = Source{it.model, it.origin};
    }
  }
  if (message.__isset.targets) {
    for (const auto& it : message.targets) {
      const TimePoint since = now - std::chrono::milliseconds(it.age_ms);
      if (!targets_.Name(it.model, it.version, since)) continue;
      LogEvent(Event::kWeightsNamed,
               {{"model", it.model}, {"version", it.version}, {"age_ms", it.age_ms}});
    }
  }
}

void SidecarNode::SendReading(TimePoint now) {
  if (!engine_state_) return;
  serving::EndpointReading reading;
  reading.address = settings_.engine_address;
  reading.started_ms = engine_state_->started_ms;
  reading.weights = engine_state_->weights.whole_version;
  reading.running = engine_state_->running;
  reading.waiting = engine_state_->waiting;
  reading.swapping = ordered_version_ > reading.weights || engine_state_->order_in_progress;
  reading.pace = engine_state_->pace;
  if (SameWeights(reading, sent_reading_) && now - reading_sent_at_ < kReadingPeriod) return;
  wire::MeshMessage message;
  message.__isset.readings = true;
  message.readings.push_back(mesh::ToWire(reading));
  for (const auto& it : mesh_->Members(MemberKind::kControl)) {
    if (!mesh_->Send(it.process, message)) continue;
    sent_reading_ = reading;
    reading_sent_at_ = now;
    return;
  }
}

// --- Spread.

std::int64_t SidecarNode::IntendedVersion() const {
  if (!source_) return 0;
  std::int64_t version = targets_.Newest(source_->model);
  for (const auto& [id, record] : table_.endpoints()) version = std::max(version, record.weights);
  if (engine_state_) version = std::max(version, engine_state_->weights.whole_version);
  return std::max(version, newest_at_origin_);
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
  sources.reserve(kFirstAtOrigin);
  for (const auto& [score, address] : order) {
    if (sources.size() < kFirstAtOrigin) sources.push_back(address);
  }
  return sources;
}

Task<std::shared_ptr<const spread::Manifest>> SidecarNode::AskPeersForDigests(
    std::vector<std::string> peers, std::int64_t version) {
  const std::size_t first = Hash64(settings_.ip) % std::max<std::size_t>(peers.size(), 1);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const std::string peer = peers[(first + i) % peers.size()];
    if (peer == settings_.chunk_address()) continue;
    net::HttpResponse response;
    try {
      auto request = net::MakeRequest(net::http::verb::get, DigestsPath(source_->model, version));
      response =
          co_await net::CallOnce(net::ParseAddress(peer), std::move(request), kPeerDigestsTimeout);
    } catch (const net::NetError&) {
      // Another peer, or the origin, has them too.
      continue;
    }
    if (response.status != 200) continue;
    auto manifest = DecodeDigests(source_->model, version, response.body);
    if (manifest) co_return manifest;
  }
  co_return nullptr;
}

Task<std::shared_ptr<const spread::Manifest>> SidecarNode::AskOriginForDigests(
    std::int64_t version) {
  if (source_->origin.empty()) co_return nullptr;
  const std::string model = source_->model;
  std::string problem;
  try {
    auto request = platform::MakeDigestsRequest(model, version);
    const auto response = co_await net::CallOnce(net::ParseAddress(source_->origin),
                                                 std::move(request), kDigestsTimeout);
    if (response.status == 200) {
      const auto digests = platform::DecodeDigests(response.body);
      newest_at_origin_ = std::max(newest_at_origin_, digests.version);
      co_return MakeManifest(model, digests.version, digests.chunk_bytes, digests.digests);
    }
    problem = "status " + std::to_string(response.status);
  } catch (const Error& e) {
    problem = e.what();
  }
  LogEvent(Event::kFetchFailed, {{"what", "digests"}, {"version", version}, {"error", problem}});
  co_return nullptr;
}

Task<void> SidecarNode::FindDigests(std::int64_t version) {
  // Few processes take the digests from the origin, whose link carries the first copy of the chunks
  // at that time; the others take them from those few.
  const auto sources = DigestSources(version);
  const bool first_hand = version == 0 || std::find(sources.begin(), sources.end(),
                                                    settings_.chunk_address()) != sources.end();
  std::shared_ptr<const spread::Manifest> manifest;
  for (int i = 0; i < kPeerRounds && !first_hand && !manifest; ++i) {
    co_await process::Sleep(kDigestsRetry);
    manifest = co_await AskPeersForDigests(sources, version);
  }
  if (!manifest) manifest = co_await AskOriginForDigests(version);
  digests_at_ = MonotonicNow() + kDigestsRetry;
  if (manifest) {
    auto weights = std::make_shared<Weights>();
    weights->model = source_->model;
    weights->version = std::stoll(manifest->version);
    weights->manifest = manifest;
    weights->chunks.resize(manifest->chunks.size());
    weights->session = std::make_unique<spread::Session>(
        manifest, SpreadMembers(), settings_.chunk_address(), strategy_,
        config::SpreadPolicy::kTimeFirst, SpreadLimits(), Hash64(settings_.ip));
    co_await TakeStaged(weights);
    if ((!current_ || weights->version > current_->version) &&
        (!incoming_ || weights->version > incoming_->version)) {
      members_revision_ = table_.revision();
      session_next_ = {};
      weights->session->Start(MonotonicNow());
      incoming_ = weights;
      TakeOverIfComplete(weights);
    }
  }
  finding_digests_ = false;
}

Task<void> SidecarNode::TakeStaged(std::shared_ptr<Weights> weights) {
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
    const auto staged = co_await engine_.StagedChunks(weights->model);
    for (const std::uint32_t chunk : staged) {
      if (chunk >= weights->chunks.size()) continue;
      auto bytes = co_await engine_.ReadStaged(weights->model, chunk);
      if (weights->manifest->Check(chunk, bytes) != spread::ChunkResult::kOk) continue;
      weights->chunks[chunk] = std::move(bytes);
      weights->session->MarkPresent(chunk);
    }
  } catch (const Error& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    LogEvent(Event::kFetchFailed, {{"what", "staged chunks"}, {"error", problem}});
  }
}

void SidecarNode::TickSession(TimePoint now) {
  session_next_ = now + kTickPeriod;
  if (!incoming_) return;
  const auto weights = incoming_;
  const auto step = weights->session->Tick(now);
  session_next_ = std::min(session_next_, step.next);
  for (const auto& it : step.fetches) {
    asio::co_spawn(context_, Fetch(weights, it), asio::detached);
  }
  for (const auto& it : step.polls) {
    asio::co_spawn(context_, Poll(weights, it), asio::detached);
  }
}

Task<void> SidecarNode::Fetch(std::shared_ptr<Weights> weights, spread::Fetch fetch) {
  const bool from_origin = fetch.source == spread::kOrigin;
  const std::string address = from_origin ? source_->origin : fetch.address;
  const Duration timeout =
      std::max(fetch.deadline - MonotonicNow(), Duration(std::chrono::milliseconds(50)));
  net::HttpResponse response;
  auto reason = spread::FailureReason::kUnreachable;
  std::string problem;
  try {
    auto request = from_origin
                       ? platform::MakeChunkRequest(weights->model, weights->version, fetch.chunk)
                       : net::MakeRequest(net::http::verb::get,
                                          ChunkPath(weights->model, weights->version, fetch.chunk));
    const auto endpoint = net::ParseAddress(address);
    auto connection = co_await peers_.Acquire(endpoint, kPeerConnectTimeout, from_origin);
    response = co_await connection->Call(std::move(request), timeout);
    // The origin accepts few connections, so none is kept open to it.
    if (!from_origin) peers_.Release(endpoint, std::move(connection));
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
  session_next_ = now;
  if (!problem.empty()) {
    LogEvent(Event::kFetchFailed,
             {{"chunk", fetch.chunk}, {"source", address}, {"error", problem}});
    weights->session->OnFailure(fetch.source, fetch.chunk, reason, Duration::zero(), now);
    TickSession(now);
    co_return;
  }
  const auto result = weights->manifest->Check(fetch.chunk, response.body);
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
  TakeOverIfComplete(weights);
  if (weights == incoming_) TickSession(now);
}

void SidecarNode::TakeOverIfComplete(const std::shared_ptr<Weights>& weights) {
  if (weights != incoming_ || !weights->complete()) return;
  LogEvent(Event::kArtifactVerified, {{"version", weights->version},
                                      {"chunks", weights->chunks.size()},
                                      {"from_origin", weights->session->stats().from_origin},
                                      {"from_peers", weights->session->stats().from_peers}});
  previous_ = current_;
  current_ = weights;
  incoming_.reset();
}

Task<void> SidecarNode::Poll(std::shared_ptr<Weights> weights, spread::Poll poll) {
  net::HttpResponse response;
  bool failed = false;
  try {
    auto request =
        net::MakeRequest(net::http::verb::get, HavePath(weights->model, weights->version));
    const auto endpoint = net::ParseAddress(poll.address);
    auto connection = co_await peers_.Acquire(endpoint, kPeerConnectTimeout);
    response = co_await connection->Call(
        std::move(request),
        std::max(poll.deadline - MonotonicNow(), Duration(std::chrono::milliseconds(50))));
    peers_.Release(endpoint, std::move(connection));
  } catch (const net::NetError&) {
    // The session asks other neighbours meanwhile.
    failed = true;
  }
  const TimePoint now = MonotonicNow();
  session_next_ = now;
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

// --- Engine.

Task<void> SidecarNode::EngineLoop() {
  bool reachable = true;
  while (!stopping_) {
    std::string problem;
    try {
      engine_state_ = co_await engine_.ReadState();
    } catch (const Error& e) {
      problem = e.what();
    }
    if (problem.empty() != reachable) {
      reachable = problem.empty();
      LogEvent(reachable ? Event::kEngineRegained : Event::kEngineLost,
               {{"engine", settings_.engine_address}, {"error", problem}});
    }
    if (reachable) {
      co_await DriveEngine();
      SendReading(MonotonicNow());
    }
    co_await process::Sleep(kEnginePeriod);
  }
}

bool SidecarNode::SwapIsDue(TimePoint now) const {
  // An engine without weights serves nobody, so nothing is gained by waiting.
  if (engine_state_->weights.whole_version == 0) return true;
  const auto since = targets_.OldestUnmet(current_->model, engine_state_->weights.whole_version);
  if (!since) return true;
  std::vector<std::string> serving;
  for (const auto& [id, record] : table_.endpoints()) {
    if (record.weights != 0) serving.push_back(record.address);
  }
  if (std::find(serving.begin(), serving.end(), settings_.engine_address) == serving.end()) {
    serving.push_back(settings_.engine_address);
  }
  const std::size_t rank = serving::SwapRank(settings_.engine_address, serving);
  return now - *since >= serving::SwapOffset(rank, serving.size(), serving::SwapSettings{});
}

Task<void> SidecarNode::DriveEngine() {
  const auto weights = current_;
  const auto& state = *engine_state_;
  if (state.weights.whole_version == ordered_version_) ordered_version_ = 0;
  // A restarted engine has forgotten its orders.
  if (ordered_version_ != 0 && state.started_ms != ordered_incarnation_) ordered_version_ = 0;
  if (!weights) co_return;
  if (state.weights.whole_version >= weights->version) co_return;
  const TimePoint now = MonotonicNow();
  if (ordered_version_ == weights->version && now - ordered_at_ < kOrderPatience) co_return;
  if (state.order_in_progress) co_return;
  std::string problem;
  try {
    const bool fresh = staged_version_ == weights->version && now - staged_at_ < kVerifiedFor;
    if (!fresh) {
      const bool due = SwapIsDue(now);
      // Staging early leaves only the check for the moment of the order.
      if (!due && staged_version_ == weights->version) co_return;
      if (!co_await StageAndVerify(weights)) co_return;
      if (!due) co_return;
    } else if (!SwapIsDue(now)) {
      co_return;
    }
    const auto answer = co_await engine_.Load(weights->model, weights->version);
    LogEvent(Event::kSwapOrdered, {{"version", weights->version},
                                   {"held", state.weights.whole_version},
                                   {"running", state.running},
                                   {"answer", platform::kOrderAnswers.Name(answer)}});
    if (answer == platform::OrderAnswer::kBegun || answer == platform::OrderAnswer::kInEffect) {
      ordered_version_ = weights->version;
      ordered_incarnation_ = state.started_ms;
      ordered_at_ = MonotonicNow();
    }
  } catch (const Error& e) {
    problem = e.what();
  }
  if (problem.empty()) co_return;
  LogEvent(Event::kOrderFailed, {{"version", weights->version}, {"error", problem}});
  co_await process::Sleep(kOrderRetry);
}

Task<bool> SidecarNode::StageAndVerify(std::shared_ptr<Weights> weights) {
  const TimePoint begun = MonotonicNow();
  std::size_t written = 0;
  const bool staged_before = staged_version_ == weights->version;
  for (std::uint32_t i = 0; i < weights->chunks.size(); ++i) {
    std::string held;
    if (staged_before) held = co_await engine_.ReadStaged(weights->model, i);
    if (staged_before && weights->manifest->Check(i, held) == spread::ChunkResult::kOk) continue;
    const std::string bytes = weights->chunks[i];
    co_await engine_.Stage(weights->model, i, bytes);
    ++written;
    held = co_await engine_.ReadStaged(weights->model, i);
    if (weights->manifest->Check(i, held) != spread::ChunkResult::kOk) {
      LogEvent(Event::kChunkRejected, {{"chunk", i}, {"source", "staged"}});
      co_return false;
    }
  }
  staged_version_ = weights->version;
  staged_at_ = MonotonicNow();
  LogEvent(Event::kWeightsStaged, {{"version", weights->version},
                                   {"written", written},
                                   {"ms", ToMilliseconds(staged_at_ - begun)}});
  co_return true;
}

// --- Chunk server.

std::shared_ptr<Weights> SidecarNode::Find(std::string_view model, std::int64_t version) const {
  for (const auto& it : {incoming_, current_, previous_}) {
    if (it && it->model == model && it->version == version) return it;
  }
  return nullptr;
}

Task<void> SidecarNode::Serve(net::HttpExchange& exchange) {
  // /weights/MODEL/VERSION/(have|digests|chunks/N)
  std::vector<std::string> parts;
  std::string_view path = exchange.path();
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto end = path.find('/');
    parts.emplace_back(path.substr(0, end));
    path = end == std::string_view::npos ? std::string_view() : path.substr(end);
  }
  std::shared_ptr<Weights> weights;
  if (parts.size() >= 4 && parts[0] == "weights") {
    weights = Find(parts[1], std::strtoll(parts[2].c_str(), nullptr, 10));
  }
  std::string body;
  net::HttpHeaders headers;
  if (weights && parts[3] == "have") {
    body = weights->session->have().ToBytes();
    co_return co_await exchange.Respond(200, body, headers, "application/octet-stream");
  }
  if (weights && parts[3] == "digests") {
    body = EncodeDigests(*weights->manifest);
    co_return co_await exchange.Respond(200, body, headers, "text/plain");
  }
  const std::size_t chunk =
      parts.size() == 5 ? std::strtoul(parts[4].c_str(), nullptr, 10) : ~std::size_t{0};
  if (!weights || chunk >= weights->chunks.size() || weights->chunks[chunk].empty()) {
    co_return co_await exchange.Respond(404, body);
  }
  // Few uploads at a time end early and spread at once; the rest is told to ask elsewhere.
  if (uploads_ >= kMostUploads) co_return co_await exchange.Respond(429, body);
  ++uploads_;
  std::exception_ptr problem;
  try {
    body = weights->chunks[chunk];
    const Duration pause = upload_.Reserve(body.size(), MonotonicNow());
    co_await process::Sleep(pause);
    metrics_.Add(process::Counter::kServedChunkBytes, body.size());
    co_await exchange.Respond(200, body, headers, "application/octet-stream");
  } catch (const net::NetError&) {
    problem = std::current_exception();
  }
  --uploads_;
  if (problem) std::rethrow_exception(problem);
}

Task<void> SidecarNode::ServeMetrics(net::HttpExchange& exchange) {
  net::HttpHeaders headers;
  std::string body = metrics_.Text();
  if (exchange.path() == "/debug/state") {
    body = nlohmann::json{{"name", settings_.name},
                          {"incarnation", incarnation_},
                          {"intended", IntendedVersion()},
                          {"current", current_ ? current_->version : 0},
                          {"incoming", incoming_ ? incoming_->version : 0},
                          {"present", incoming_ ? incoming_->session->present() : 0},
                          {"engine", engine_state_ ? engine_state_->weights.whole_version : 0}}
               .dump();
  }
  co_await exchange.Respond(200, body, headers, "text/plain; version=0.0.4");
}

}  // namespace wagtailslip::sidecar
