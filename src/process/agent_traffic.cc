#include "agent_traffic.h"

#include <charconv>

#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/codec/manifest_codec.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

using net::Task;
namespace asio = net::asio;

constexpr Duration kManifestTimeout = std::chrono::seconds(10);
constexpr Duration kDumpTimeout = std::chrono::seconds(2);
constexpr std::size_t kMostUploads = 4;
constexpr Duration kShortest = std::chrono::milliseconds(10);

std::string ErrorBody(std::string_view code, std::string_view message) {
  return R"({"error":{"code":")" + std::string(code) + R"(","message":")" + std::string(message) +
         R"(","field":"","request_id":""}})";
}

std::unique_ptr<EngineClient> MakeEngine(const config::EndpointJoined& endpoint) {
  const auto address = net::ParseAddress(endpoint.address);
  if (endpoint.role == config::EndpointRole::kEngine) {
    return std::make_unique<HttpEngineClient>(address);
  }
  constexpr std::uint32_t kServiceSlots = 64;
  return std::make_unique<ServiceClient>(address, kServiceSlots);
}

Duration RetryAfter(const net::HttpResponse& response) {
  const std::string text = response.Header("Retry-After");
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

spread::FailureReason ReasonOf(unsigned status) {
  if (status == 404) return spread::FailureReason::kMissing;
  if (status == 429 || status == 503) return spread::FailureReason::kBusy;
  return spread::FailureReason::kUnreachable;
}

}  // namespace

/// Forwards the control state's effects to the traffic and disk threads.
class TrafficEffects final : public AgentEffects {
 public:
  explicit TrafficEffects(AgentTraffic& t) : t_(t) {}

  void FetchManifest(const std::string& line, std::uint64_t generation, const rollout::Order& order,
                     const std::vector<std::string>& peers) override {
    Spawn(t_.FetchManifest(line, generation, order, peers));
  }
  void OpenArtifact(const std::string& line, std::uint64_t generation,
                    std::shared_ptr<const spread::Manifest> manifest) override {
    asio::post(t_.disk_.context(),
               [this, line, generation, manifest] { t_.OpenArtifact(line, generation, manifest); });
  }
  void FetchChunk(const std::string& line, std::uint64_t generation,
                  std::shared_ptr<disk::Artifact> artifact, const spread::Fetch& fetch,
                  const std::string& origin) override {
    const bool from_origin = fetch.source == spread::kOrigin;
    Spawn(t_.FetchChunk(line, generation, std::move(artifact), fetch,
                        from_origin ? origin : fetch.address));
  }
  void PollHave(const std::string& line, std::uint64_t generation, const Digest& root,
                std::size_t chunks, const spread::Poll& poll) override {
    Spawn(t_.PollHave(line, generation, root, chunks, poll));
  }
  void Seal(const std::string& line, std::uint64_t generation,
            std::shared_ptr<disk::Artifact> artifact,
            std::shared_ptr<const spread::Manifest> manifest) override {
    asio::post(t_.disk_.context(), [this, line, generation, artifact, manifest] {
      t_.Seal(line, generation, artifact, *manifest);
    });
  }
  void Load(const std::string& line, std::uint64_t generation, const rollout::Order& order,
            const std::string& path) override {
    Spawn(t_.Load(line, generation, order, path));
  }
  void ReadEngine() override { Spawn(t_.ReadEngine()); }
  void SendHeartbeat(const std::string& entry, wire::Frame frame) override {
    frame.protocol = 1;
    frame.sender = t_.settings_.endpoint.endpoint_id;
    frame.incarnation = static_cast<std::int64_t>(t_.settings_.endpoint.incarnation);
    frame.sender_address = t_.peer_address();
    t_.transport_->Send(net::ParseAddress(entry), codec::EncodeCompact(frame));
  }
  void Evict(const std::vector<Digest>& keep) override {
    asio::post(t_.disk_.context(), [this, keep] { t_.store_.Evict(keep); });
  }

 private:
  void Spawn(Task<void> task) {
    asio::co_spawn(t_.traffic_.context(), std::move(task), asio::detached);
  }

  AgentTraffic& t_;
};

AgentTraffic::AgentTraffic(const AgentSettings& settings, Metrics& metrics)
    : settings_(settings),
      metrics_(metrics),
      store_(std::filesystem::path(settings.data_folder) / "artifacts", settings.store_bytes),
      engine_(MakeEngine(settings.endpoint)),
      pool_(traffic_.context().get_executor()),
      upload_(settings.upload_rate),
      download_(settings.download_rate) {
  net::HttpLimits limits;
  limits.write_timeout = std::chrono::seconds(120);
  server_ = std::make_unique<net::HttpServer>(
      traffic_.context(), net::ParseAddress(settings.listen), limits,
      [this](net::HttpExchange& exchange) { return Handle(exchange); });
  transport_ = std::make_unique<net::PeerTransport>(
      traffic_.context(), net::ParseAddress(settings.peer_listen), net::PeerLimits{},
      [this](const std::string& bytes) {
        try {
          const auto frame = codec::DecodeCompact<wire::Frame>(bytes);
          post_([frame](AgentControl& control, TimePoint now) { control.OnFrame(frame, now); });
        } catch (const codec::CodecError& e) {
          LogEvent(Event::kFrameRejected, {{"error", e.what()}});
        }
      });
}

void AgentTraffic::Start(PostToAgent post) {
  post_ = std::move(post);
  server_->Start();
  transport_->Start();
  traffic_.Start();
  disk_.Start();
}

void AgentTraffic::StopAccepting() {
  asio::post(traffic_.context(), [this] { server_->StopAccepting(); });
}

void AgentTraffic::Stop() {
  traffic_.Stop();
  disk_.Stop();
  traffic_.Join();
  disk_.Join();
}

std::unique_ptr<AgentEffects> AgentTraffic::MakeEffects() {
  return std::make_unique<TrafficEffects>(*this);
}

std::string AgentTraffic::http_address() const { return net::FormatAddress(server_->address()); }
std::string AgentTraffic::peer_address() const { return net::FormatAddress(transport_->address()); }

Task<void> AgentTraffic::Handle(net::HttpExchange& exchange) {
  const std::string_view path = exchange.path();
  constexpr std::string_view kChunks = "/chunks/";
  constexpr std::string_view kHave = "/have/";
  constexpr std::string_view kManifests = "/manifests/";
  if (path.starts_with(kChunks)) {
    co_await ServeChunk(exchange, path.substr(kChunks.size()));
  } else if (path.starts_with(kHave)) {
    co_await ServeHave(exchange, path.substr(kHave.size()));
  } else if (path.starts_with(kManifests)) {
    co_await ServeManifest(exchange, path.substr(kManifests.size()));
  } else if (path == "/debug/state") {
    co_await ServeDump(exchange);
  } else if (path == "/metrics") {
    co_await exchange.Respond(200, metrics_.Text(), {}, "text/plain; version=0.0.4");
  } else {
    co_await exchange.Respond(404, ErrorBody("unknown_path", "the agent has no such path"));
  }
}

Task<void> AgentTraffic::ServeChunk(net::HttpExchange& exchange, std::string_view hex) {
  const auto digest = Digest::FromHex(hex);
  const auto data = digest ? store_.ReadChunk(*digest) : std::nullopt;
  if (!data) {
    co_await exchange.Respond(404, ErrorBody("unknown_chunk", "this agent does not hold it"));
    co_return;
  }
  // Few uploads at a time finish early and spread at once; the rest is told to ask elsewhere.
  if (uploads_ >= kMostUploads) {
    co_await exchange.Respond(429, ErrorBody("busy", "enough uploads are under way"));
    co_return;
  }
  ++uploads_;
  std::exception_ptr problem;
  try {
    const Duration pause = upload_.Reserve(data->size(), MonotonicNow());
    if (pause > kShortest) co_await Sleep(pause);
    metrics_.Add(Counter::kServedChunkBytes, data->size());
    co_await exchange.Respond(200, *data, {}, "application/octet-stream");
  } catch (const net::NetError&) {
    problem = std::current_exception();
  }
  --uploads_;
  if (problem) std::rethrow_exception(problem);
}

Task<void> AgentTraffic::ServeHave(net::HttpExchange& exchange, std::string_view hex) {
  const auto root = Digest::FromHex(hex);
  const auto artifact = root ? store_.Find(*root) : nullptr;
  if (!artifact) {
    co_await exchange.Respond(404, ErrorBody("unknown_version", "this agent does not hold it"));
    co_return;
  }
  spread::Bitmap have(artifact->chunk_count());
  for (std::size_t i = 0; i < artifact->chunk_count(); ++i) {
    if (artifact->Has(i)) have.Set(i);
  }
  co_await exchange.Respond(200, have.ToBytes(), {}, "application/octet-stream");
}

Task<void> AgentTraffic::ServeManifest(net::HttpExchange& exchange, std::string_view hex) {
  const auto it = manifests_.find(std::string(hex));
  if (it == manifests_.end()) {
    co_await exchange.Respond(404, ErrorBody("unknown_version", "this agent does not hold it"));
    co_return;
  }
  co_await exchange.Respond(200, it->second);
}

Task<void> AgentTraffic::ServeDump(net::HttpExchange& exchange) {
  const auto result = std::make_shared<AsyncResult<std::string>>(traffic_.context().get_executor());
  post_([result](AgentControl& control, TimePoint now) { result->Set(control.Dump(now)); });
  const auto text = co_await result->Wait(kDumpTimeout);
  if (text) {
    co_await exchange.Respond(200, *text);
  } else {
    co_await exchange.Respond(503, ErrorBody("busy", "the control thread did not answer"));
  }
}

Task<void> AgentTraffic::FetchManifest(std::string line, std::uint64_t generation,
                                       rollout::Order order, std::vector<std::string> peers) {
  std::string error = "no source";
  std::shared_ptr<const spread::Manifest> manifest;
  const std::string by_root = "/manifests/" + order.artifact.root.Hex();
  const std::string by_name = "/models/" + (order.adapter.empty() ? order.model : order.adapter) +
                              "/" + order.artifact.version + "/manifest";
  // The root digest proves a manifest, so any peer may send it and the origin is asked last.
  peers.push_back(order.artifact.origin);
  for (std::size_t i = 0; i < peers.size() && !manifest; ++i) {
    const bool origin = i + 1 == peers.size();
    try {
      auto request = net::MakeRequest(net::http::verb::get, origin ? by_name : by_root);
      const auto response =
          co_await net::CallOnce(net::ParseAddress(peers[i]), std::move(request), kManifestTimeout);
      if (response.status != 200) {
        error = "manifest: status " + std::to_string(response.status) + " from " + peers[i];
        continue;
      }
      auto parsed = codec::ParseManifest(response.body);
      if (parsed.root != order.artifact.root) {
        error = "manifest from " + peers[i] + " has root " + parsed.root.Hex();
        continue;
      }
      manifests_[parsed.root.Hex()] = response.body;
      manifest = std::make_shared<const spread::Manifest>(std::move(parsed));
    } catch (const Error& e) {
      error = peers[i] + ": " + e.what();
    }
  }
  post_([line, generation, manifest, error](AgentControl& control, TimePoint now) {
    control.OnManifest(line, generation, manifest, error, now);
  });
}

void AgentTraffic::OpenArtifact(const std::string& line, std::uint64_t generation,
                                const std::shared_ptr<const spread::Manifest>& manifest) {
  std::shared_ptr<disk::Artifact> artifact;
  std::string error;
  try {
    std::vector<disk::ChunkSpec> chunks;
    for (const auto& it : manifest->chunks) chunks.push_back({it.digest, it.size});
    std::size_t copied = 0;
    artifact = store_.Open(manifest->root, std::move(chunks), &copied);
    if (copied > 0) {
      LogEvent(Event::kArtifactSupplied, {{"version", manifest->version}, {"chunks", copied}});
    }
  } catch (const disk::DiskError& e) {
    error = e.what();
  }
  post_([line, generation, artifact, error](AgentControl& control, TimePoint now) {
    control.OnArtifact(line, generation, artifact, error, now);
  });
}

void AgentTraffic::Seal(const std::string& line, std::uint64_t generation,
                        const std::shared_ptr<disk::Artifact>& artifact,
                        const spread::Manifest& manifest) {
  std::string error;
  try {
    artifact->Seal(codec::FormatManifest(manifest));
  } catch (const disk::DiskError& e) {
    error = e.what();
  }
  post_([line, generation, error](AgentControl& control, TimePoint now) {
    control.OnSealed(line, generation, error, now);
  });
}

Task<void> AgentTraffic::FetchChunk(std::string line, std::uint64_t generation,
                                    std::shared_ptr<disk::Artifact> artifact, spread::Fetch fetch,
                                    std::string address) {
  spread::FailureReason reason = spread::FailureReason::kUnreachable;
  Duration retry_after{};
  std::string error;
  try {
    const auto to = net::ParseAddress(address);
    const auto timeout = std::max(fetch.deadline - MonotonicNow(), kShortest);
    auto connection = co_await pool_.Acquire(to, timeout);
    connection->set_body_limit(fetch.size);
    auto request = net::MakeRequest(net::http::verb::get, "/chunks/" + fetch.digest.Hex());
    const auto response = co_await connection->Call(std::move(request), timeout);
    pool_.Release(to, std::move(connection));
    if (response.status == 200) {
      const Duration pause = download_.Reserve(response.body.size(), MonotonicNow());
      if (pause > kShortest) co_await Sleep(pause);
      const bool ok = artifact->Write(fetch.chunk, response.body);
      metrics_.Add(fetch.source == spread::kOrigin ? Counter::kFetchedBytesOrigin
                                                   : Counter::kFetchedBytesPeer,
                   response.body.size());
      if (!ok) metrics_.Add(Counter::kChunksRejected);
      const auto result = ok ? spread::ChunkResult::kOk : spread::ChunkResult::kCorrupt;
      post_([line, generation, chunk = fetch.chunk, source = fetch.source, result](
                AgentControl& control, TimePoint now) {
        control.OnChunk(line, generation, chunk, source, result, now);
      });
      co_return;
    }
    reason = ReasonOf(response.status);
    retry_after = RetryAfter(response);
    error = "status " + std::to_string(response.status);
  } catch (const net::TimeoutError& e) {
    reason = spread::FailureReason::kTimeout;
    error = e.what();
  } catch (const Error& e) {
    error = e.what();
  }
  LogEvent(Event::kFetchFailed, {{"source", address}, {"chunk", fetch.chunk}, {"error", error}});
  post_([line, generation, fetch, reason, retry_after](AgentControl& control, TimePoint now) {
    control.OnFetchFailure(line, generation, fetch.source, fetch.chunk, reason, retry_after, now);
  });
}

Task<void> AgentTraffic::PollHave(std::string line, std::uint64_t generation, Digest root,
                                  std::size_t chunks, spread::Poll poll) {
  spread::FailureReason reason = spread::FailureReason::kUnreachable;
  try {
    const auto to = net::ParseAddress(poll.address);
    const auto timeout = std::max(poll.deadline - MonotonicNow(), kShortest);
    auto connection = co_await pool_.Acquire(to, timeout);
    auto request = net::MakeRequest(net::http::verb::get, "/have/" + root.Hex());
    const auto response = co_await connection->Call(std::move(request), timeout);
    pool_.Release(to, std::move(connection));
    std::optional<spread::Bitmap> have;
    if (response.status == 200) have = spread::Bitmap::FromBytes(response.body, chunks);
    if (have) {
      post_([line, generation, peer = poll.peer, have](AgentControl& control, TimePoint now) {
        control.OnHave(line, generation, peer, *have, now);
      });
      co_return;
    }
    reason = ReasonOf(response.status);
  } catch (const net::TimeoutError&) {
    reason = spread::FailureReason::kTimeout;
  } catch (const Error&) {
    reason = spread::FailureReason::kUnreachable;
  }
  post_([line, generation, peer = poll.peer, reason](AgentControl& control, TimePoint now) {
    control.OnFetchFailure(line, generation, peer, std::nullopt, reason, Duration::zero(), now);
  });
}

Task<void> AgentTraffic::Load(std::string line, std::uint64_t generation, rollout::Order order,
                              std::string path) {
  std::string error;
  try {
    co_await engine_->Load(order, path);
  } catch (const EngineError& e) {
    error = e.what();
  }
  post_([line, generation, error](AgentControl& control, TimePoint now) {
    control.OnLoaded(line, generation, error, now);
  });
}

Task<void> AgentTraffic::ReadEngine() {
  EngineReading reading;
  try {
    reading.served = co_await engine_->ReadState();
    reading.load = co_await engine_->ReadLoad();
    reading.reachable = true;
  } catch (const EngineError&) {
    reading.reachable = false;
  }
  post_([reading](AgentControl& control, TimePoint now) { control.OnEngineReading(reading, now); });
}

}  // namespace wagtailslip::process
