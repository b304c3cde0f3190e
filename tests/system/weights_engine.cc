#include "weights_engine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::system_test {
namespace {

namespace asio = net::asio;
using net::Task;
using net::http::verb;
using Json = nlohmann::json;

constexpr Duration kAnnouncementPeriod = std::chrono::milliseconds(300);
constexpr Duration kAnnouncementTimeout = std::chrono::milliseconds(500);
constexpr int kSlots = 16;
constexpr Duration kEventGap = std::chrono::milliseconds(20);
// Versions that a staged chunk can be told to belong to.
constexpr std::int64_t kVersions = 12;

TimePoint Now() { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t QueryNumber(const net::HttpExchange& exchange, std::string_view name,
                         std::int64_t missing) {
  const std::string text = exchange.Query(name);
  std::int64_t value = missing;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

Task<void> Sleep(Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  co_await timer.async_wait(asio::use_awaitable);
}

EngineCall CallOf(const net::HttpExchange& exchange) {
  const std::string_view path = exchange.path();
  if (path == "/report") return EngineCall::kState;
  if (path == "/order") return EngineCall::kLoad;
  if (path.starts_with("/stage-put/")) return EngineCall::kStage;
  return exchange.Query("number").empty() ? EngineCall::kListStaged : EngineCall::kReadStaged;
}

bool IsSidecarCall(std::string_view path) {
  return path == "/report" || path == "/order" || path.starts_with("/stage-");
}

}  // namespace

std::string TestWeights::Bytes(std::int64_t version, std::uint32_t chunk) const {
  std::string bytes(chunk_bytes, '\0');
  std::uint64_t state = static_cast<std::uint64_t>(version) * 1000003 + chunk;
  for (auto& it : bytes) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    it = static_cast<char>(state >> 56);
  }
  return bytes;
}

WeightsEngine::WeightsEngine(EngineOptions options, FaultScript script)
    : options_(std::move(options)),
      script_(std::move(script)),
      started_(Now()),
      incarnation_(UnixMilliseconds()),
      loaded_version_(options_.loaded_version),
      context_(1) {
  for (std::uint32_t i = 0; loaded_version_ != 0 && i < kLayers; ++i) layers_[i] = {};
  for (std::uint32_t i = 0; loaded_version_ != 0 && i < options_.weights.chunks; ++i) {
    SetStaged(i, options_.weights.Bytes(loaded_version_, i));
  }
  StartServer();
  asio::co_spawn(context_, Announce(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

void WeightsEngine::StartServer() {
  server_ = std::make_unique<net::HttpServer>(
      context_, net::ParseAddress(options_.address), net::HttpLimits{},
      [this](net::HttpExchange& exchange) { return Handle(exchange); });
  server_->Start();
}

WeightsEngine::~WeightsEngine() {
  context_.stop();
  thread_.join();
}

Duration WeightsEngine::Elapsed() const { return Now() - started_; }

std::int64_t WeightsEngine::loaded_version() const {
  const std::lock_guard lock(mutex_);
  return HoldsAllLayers() && !loading_ ? loaded_version_ : 0;
}

bool WeightsEngine::holds_damaged_layers() const {
  const std::lock_guard lock(mutex_);
  return std::any_of(layers_.begin(), layers_.end(),
                     [](const auto& it) { return it.second.damaged; });
}

std::vector<TakenLoad> WeightsEngine::loads() const {
  const std::lock_guard lock(mutex_);
  return loads_;
}

std::vector<Duration> WeightsEngine::refused() const {
  const std::lock_guard lock(mutex_);
  return refused_;
}

std::vector<ServedRequest> WeightsEngine::served() const {
  const std::lock_guard lock(mutex_);
  return served_;
}

std::vector<TimePoint> WeightsEngine::crash_requests() const {
  const std::lock_guard lock(mutex_);
  return crash_requests_;
}

std::vector<TimePoint> WeightsEngine::crashes() const {
  const std::lock_guard lock(mutex_);
  return crashes_;
}

void WeightsEngine::SetStaged(std::uint32_t chunk, std::string bytes) {
  const std::lock_guard lock(mutex_);
  Staged& staged = staged_[chunk];
  if (staged.bytes == bytes) return;
  if (staged.version != 0) staged.matched_until[staged.version] = Elapsed();
  staged.version = 0;
  for (std::int64_t version = 1; version <= kVersions && staged.version == 0; ++version) {
    if (bytes == options_.weights.Bytes(version, chunk)) staged.version = version;
  }
  staged.bytes = std::move(bytes);
}

void WeightsEngine::Spoil(std::uint32_t chunk) {
  const std::lock_guard lock(mutex_);
  const auto it = staged_.find(chunk);
  if (it == staged_.end() || it->second.bytes.empty()) return;
  std::string bytes = it->second.bytes;
  bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 1);
  SetStaged(chunk, std::move(bytes));
}

void WeightsEngine::Lose(std::uint32_t chunk) { SetStaged(chunk, {}); }

void WeightsEngine::Overwrite(std::uint32_t chunk, std::int64_t version) {
  SetStaged(chunk, options_.weights.Bytes(version, chunk));
}

void WeightsEngine::Restart() {
  const std::lock_guard lock(mutex_);
  incarnation_ = std::max(incarnation_ + 1, UnixMilliseconds());
  loaded_version_ = 0;
  layers_.clear();
  loading_ = false;
  commands_ = 0;
}

void WeightsEngine::Down() {
  Restart();
  const std::lock_guard lock(mutex_);
  if (down_) return;
  down_ = true;
  asio::post(context_, [this] { server_->StopAccepting(); });
}

void WeightsEngine::Up(bool keep_staged) {
  Restart();
  const std::lock_guard lock(mutex_);
  for (std::uint32_t i = 0; !keep_staged && i < options_.weights.chunks; ++i) SetStaged(i, {});
  if (!down_) return;
  asio::post(context_, [this] {
    StartServer();
    const std::lock_guard lock(mutex_);
    down_ = false;
  });
}

void WeightsEngine::Stall(Duration time) {
  asio::post(context_, [time] { std::this_thread::sleep_for(time); });
}

WeightsEngine::HeldLayer WeightsEngine::TakeLayer(std::uint32_t layer, TakenLoad& load) const {
  const std::uint32_t chunks = options_.weights.chunks;
  const std::uint32_t end = ((layer + 1) * chunks + kLayers - 1) / kLayers;
  HeldLayer held;
  for (std::uint32_t i = layer * chunks / kLayers; i < end; ++i) {
    const auto it = staged_.find(i);
    if (it != staged_.end() && it->second.version == load.version) continue;
    held.damaged = true;
    held.mixed = held.mixed || (it != staged_.end() && it->second.version != 0);
    // A chunk that never matched counts from the start of the engine.
    Duration matched_until{};
    if (it != staged_.end()) {
      const auto match = it->second.matched_until.find(load.version);
      if (match != it->second.matched_until.end()) matched_until = match->second;
    }
    held.bad_for = std::max(held.bad_for, load.at - matched_until);
    load.bad_chunks.push_back(i);
  }
  load.bad_for = std::max(load.bad_for, held.bad_for);
  load.mixed = load.mixed || held.mixed;
  return held;
}

WeightsEngine::Command WeightsEngine::ParseCommand(const std::string& body) {
  const Json json = Json::parse(body);
  Command command;
  command.version = json.at("version").get<std::int64_t>();
  command.from = json.value("source", 0U);
  command.to = json.value("to", kLayers);
  if (json.contains("expected-revision")) {
    command.expected_commands = json["expected-revision"].get<std::int64_t>();
  }
  return command;
}

unsigned WeightsEngine::AcceptLoad(const Command& command) {
  const std::lock_guard lock(mutex_);
  if (command.expected_commands && *command.expected_commands != commands_) return 409;
  const auto same_range = [&](std::uint32_t from, std::uint32_t to) {
    return command.from == from && command.to == to;
  };
  if (loading_) {
    return command.version == loading_command_.version &&
                   same_range(loading_command_.from, loading_command_.to)
               ? 202
               : 409;
  }
  if (!layers_.empty() && command.version == loaded_version_ &&
      same_range(layers_.begin()->first, layers_.rbegin()->first + 1)) {
    return 200;
  }
  loading_ = true;
  loading_command_ = command;
  ++commands_;
  asio::co_spawn(context_, Load(command, incarnation_), asio::detached);
  return 202;
}

Task<void> WeightsEngine::Load(Command command, std::int64_t incarnation) {
  std::map<std::uint32_t, HeldLayer> layers;
  bool drained = false;
  {
    const std::lock_guard lock(mutex_);
    drained = layers_.empty();
    // Only layers of the same version are kept.
    if (command.version != loaded_version_) layers_.clear();
    std::erase_if(
        layers_, [&](const auto& it) { return it.first < command.from || it.first >= command.to; });
    layers = layers_;
  }
  const Duration accepted_at = Elapsed();
  const auto take = [&] {
    const std::lock_guard lock(mutex_);
    TakenLoad load{command.version, Elapsed(), accepted_at, {}, {}, false};
    for (std::uint32_t i = command.from; i < command.to; ++i) {
      if (!layers.contains(i)) layers[i] = TakeLayer(i, load);
    }
    return load;
  };
  TakenLoad load;
  if (options_.take_time == TakeTime::kOnAcceptance) load = take();
  const Duration drain = drained ? Duration::zero() : options_.drain_time;
  co_await Sleep(drain);
  if (options_.take_time == TakeTime::kAfterRunningRequests) load = take();
  co_await Sleep(options_.load_time);
  const std::lock_guard lock(mutex_);
  if (incarnation != incarnation_) co_return;
  loading_ = false;
  loaded_version_ = command.version;
  layers_ = std::move(layers);
  loads_.push_back(std::move(load));
}

std::string WeightsEngine::State() const {
  const std::lock_guard lock(mutex_);
  Json models = Json::array();
  // The layers that are held; none while weights of another version are loaded.
  Json layers;
  if (loaded_version_ != 0) {
    models.push_back({{"name", options_.weights.model}, {"version", loaded_version_}});
  }
  if (!layers_.empty()) {
    layers = {{"source", layers_.begin()->first},
              {"to", layers_.rbegin()->first + 1},
              {"version", loaded_version_}};
  }
  return Json{{"phase", "unified"}, {"model-list", models},  {"layers", layers},
              {"busy", loading_},   {"sequence", commands_}, {"queued", 0},
              {"active", 0},        {"born", incarnation_}}
      .dump();
}

Task<void> WeightsEngine::ApplyLater(Duration delay, std::function<void()> effect) {
  co_await Sleep(delay);
  effect();
}

Task<void> WeightsEngine::Handle(net::HttpExchange& exchange) {
  {
    const std::lock_guard lock(mutex_);
    if (down_) throw net::NetError("the engine is down");
  }
  if (!IsSidecarCall(exchange.path())) {
    co_await HandleRequest(exchange);
    co_return;
  }
  EngineCallInfo info;
  info.call = CallOf(exchange);
  info.chunk = static_cast<std::uint32_t>(QueryNumber(exchange, "number", 0));
  if (info.call == EngineCall::kLoad) {
    info.version = ParseCommand(exchange.request().body()).version;
  }
  CallFault fault;
  std::int64_t incarnation = 0;
  {
    const std::lock_guard lock(mutex_);
    info.count = ++calls_[info.call];
    incarnation = incarnation_;
  }
  if (script_) fault = script_(*this, info);
  // Blocks the only thread of the engine, so that nothing is read from its sockets.
  if (fault.pause > Duration::zero()) std::this_thread::sleep_for(fault.pause);
  auto status = std::make_shared<unsigned>(200);
  std::function<void()> effect = [] {};
  if (info.call == EngineCall::kStage) {
    effect = [this, chunk = info.chunk, bytes = exchange.request().body()] {
      SetStaged(chunk, bytes);
    };
  } else if (info.call == EngineCall::kLoad) {
    effect = [this, command = ParseCommand(exchange.request().body()), status] {
      *status = AcceptLoad(command);
    };
  }
  // A call that is carried out late ends with the incarnation that received it.
  effect = [this, incarnation, effect = std::move(effect)] {
    const std::lock_guard lock(mutex_);
    if (incarnation == incarnation_) effect();
  };
  if (fault.lose_answer) {
    asio::co_spawn(context_, ApplyLater(fault.delay, std::move(effect)), asio::detached);
    throw net::NetError("the answer is lost");
  }
  co_await Sleep(fault.delay);
  effect();
  std::string body = "{}";
  {
    const std::lock_guard lock(mutex_);
    if (down_) throw net::NetError("the engine is down");
    if (info.call == EngineCall::kState) body = State();
    if (info.call == EngineCall::kListStaged) {
      Json held = Json::array();
      for (const auto& [chunk, staged] : staged_) {
        if (!staged.bytes.empty()) held.push_back(chunk);
      }
      body = Json{{"held", held}}.dump();
    }
    if (info.call == EngineCall::kReadStaged) {
      const auto it = staged_.find(info.chunk);
      body = it == staged_.end() ? std::string() : it->second.bytes;
      if (body.empty()) *status = 404;
    }
  }
  co_await exchange.Respond(*status, body);
}

Task<void> WeightsEngine::Crash() {
  co_await Sleep(options_.crash_delay);
  {
    const std::lock_guard lock(mutex_);
    if (down_) co_return;
    crashes_.push_back(Now());
    Down();
  }
  co_await Sleep(options_.restart_delay);
  Up(true);
}

bool WeightsEngine::EndsUnder(const net::HttpExchange& exchange) const {
  if (!options_.crash_body.empty() && exchange.request().body() == options_.crash_body) return true;
  return !options_.crash_part.empty() &&
         exchange.Header("Prefix-Hash").find(options_.crash_part) != std::string_view::npos;
}

Task<void> WeightsEngine::WriteEvents(net::HttpExchange& exchange, net::HttpHeaders headers,
                                      int last) {
  const std::string resumed_after(exchange.Header("Last-Event-Id"));
  const int first = resumed_after.empty() ? 1 : std::stoi(resumed_after) + 1;
  co_await exchange.StartStream(200, headers, "text/event-stream");
  for (int i = first; i <= last; ++i) {
    co_await Sleep(kEventGap);
    {
      const std::lock_guard lock(mutex_);
      if (down_) throw net::NetError("the engine is down");
    }
    const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
    co_await exchange.WriteChunk(event);
  }
}

Task<void> WeightsEngine::HandleRequest(net::HttpExchange& exchange) {
  co_await Sleep(link_delay_.load());
  net::HttpHeaders headers;
  headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
  if (EndsUnder(exchange)) {
    {
      const std::lock_guard lock(mutex_);
      crash_requests_.push_back(Now());
    }
    if (options_.events_before_crash > 0) {
      headers.emplace_back("Replica-Signature", options_.id);
      co_await WriteEvents(exchange, headers, options_.events_before_crash);
    }
    asio::co_spawn(context_, Crash(), asio::detached);
    co_await Sleep(options_.crash_delay);
    throw net::NetError("the process has ended");
  }
  std::int64_t version = 0;
  {
    const std::lock_guard lock(mutex_);
    version = loaded_version();
    if (version != 0) {
      ServedRequest served{Elapsed(), version, holds_damaged_layers(), {}, false};
      for (const auto& [layer, held] : layers_) {
        served.bad_for = std::max(served.bad_for, held.bad_for);
        served.mixed_weights = served.mixed_weights || held.mixed;
      }
      served_.push_back(served);
    } else {
      refused_.push_back(Elapsed());
    }
  }
  const std::string body = "{}";
  if (version == 0 && !options_.plain) {
    headers.emplace_back("Not-Executed", "1");
    co_await exchange.Respond(503, body, headers);
    co_return;
  }
  headers.emplace_back("Replica-Signature", options_.id);
  headers.emplace_back("Weight-Versions", std::to_string(version));
  if (options_.stream_events > 0) {
    co_await WriteEvents(exchange, headers, options_.stream_events);
    co_await exchange.EndStream();
    co_return;
  }
  co_await exchange.Respond(200, body, headers);
}

Task<void> WeightsEngine::Announce() {
  for (std::int64_t sequence = 1;; ++sequence) {
    bool down = false;
    {
      const std::lock_guard lock(mutex_);
      down = down_;
    }
    if (down) {
      co_await Sleep(kAnnouncementPeriod);
      continue;
    }
    Json announcement = Json::parse(State());
    announcement.update(Json{{"backend", options_.service},
                             {"address", options_.address},
                             {"zone", "za"},
                             {"version", "v1"},
                             {"batch-slots", kSlots},
                             {"state", "ready"},
                             {"warmup-remaining-ms", 0},
                             {"sequence", sequence}});
    const std::string path = "/replicas/" + options_.id + "/heartbeat";
    bool acknowledged = false;
    for (std::size_t i = 0; i < options_.controls.size() && !acknowledged; ++i) {
      auto request = net::MakeRequest(verb::post, path, announcement.dump());
      try {
        const auto response = co_await net::CallOnce(net::ParseAddress(options_.controls[i]),
                                                     std::move(request), kAnnouncementTimeout);
        acknowledged = response.status == 200;
      } catch (const net::NetError&) {
        // The next control process is asked.
        acknowledged = false;
      }
    }
    co_await Sleep(kAnnouncementPeriod);
  }
}

WeightsOrigin::WeightsOrigin(const std::string& address, TestWeights weights, std::int64_t newest)
    : weights_(std::move(weights)), newest_(newest), context_(1) {
  server_ = std::make_unique<net::HttpServer>(
      context_, net::ParseAddress(address), net::HttpLimits{},
      [this](net::HttpExchange& exchange) { return Handle(exchange); });
  server_->Start();
  thread_ = std::thread([this] { context_.run(); });
}

WeightsOrigin::~WeightsOrigin() {
  context_.stop();
  thread_.join();
}

Task<void> WeightsOrigin::Handle(net::HttpExchange& exchange) {
  co_await Sleep(delay_.load());
  if (down_) throw net::NetError("the origin is down");
  const std::int64_t version = QueryNumber(exchange, "version", newest_);
  std::string body;
  unsigned status = 404;
  if (version >= 1 && version <= newest_ && exchange.path().starts_with("/manifest/")) {
    Json digests = Json::array();
    for (std::uint32_t i = 0; i < weights_.chunks; ++i) {
      digests.push_back(Sha256(weights_.Bytes(version, i)).Hex());
    }
    body = Json{{"model-name", weights_.model},
                {"version", version},
                {"chunk-bytes", weights_.chunk_bytes},
                {"layers", WeightsEngine::kLayers},
                {"chunk-digests", digests}}
               .dump();
    status = 200;
  } else if (version >= 1 && version <= newest_ && exchange.path().starts_with("/piece/")) {
    body = weights_.Bytes(version, static_cast<std::uint32_t>(QueryNumber(exchange, "number", 0)));
    status = 200;
    if (damage_one_of_ != 0 && ++chunks_sent_ % damage_one_of_ == 0) {
      body[body.size() / 2] = static_cast<char>(body[body.size() / 2] ^ 1);
    }
  }
  co_await exchange.Respond(status, body);
}

}  // namespace wagtailslip::system_test
