#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wagtailslip/net/http_server.h"

namespace wagtailslip::system_test {

/// Weights of a model, whose bytes follow from version and chunk.
struct TestWeights {
  std::string model = "m";
  std::uint32_t chunks = 64;
  std::size_t chunk_bytes = 2048;

  std::string Bytes(std::int64_t version, std::uint32_t chunk) const;
};

/// Calls that a stand-in of an engine receives from its sidecar.
enum class EngineCall { kState, kStage, kReadStaged, kListStaged, kLoad };

struct EngineCallInfo {
  EngineCall call = EngineCall::kState;
  std::uint32_t chunk = 0;
  /// Version in the body of a load command; 0 for other calls.
  std::int64_t version = 0;
  /// Calls of this kind since the engine was created, this one included.
  std::size_t count = 0;
};

/// What the engine does with a call beside answering it.
struct CallFault {
  /// Time before the call takes effect.
  Duration delay{};
  /// Ends the connection at once; the call takes effect all the same, after the delay.
  bool lose_answer = false;
  /// The thread of the engine stands still for this time before the call, like a paused process:
  /// what arrives meanwhile waits in the sockets.
  Duration pause{};
};

/// Load of weights that an engine has carried out.
struct TakenLoad {
  std::int64_t version = 0;
  Duration at{};
  Duration accepted_at{};
  /// Chunks that did not match the version when they were taken.
  std::vector<std::uint32_t> bad_chunks;
  /// Longest time for which one of them had not matched.
  Duration bad_for{};
  /// One of them matched another version.
  bool mixed = false;
};

/// Request of a caller that an engine has run.
struct ServedRequest {
  Duration at{};
  std::int64_t version = 0;
  /// The weights in use were loaded from a chunk that did not match.
  bool bad_weights = false;
  /// Longest time for which such a chunk had not matched when it was taken.
  Duration bad_for{};
  /// Such a chunk matched another version.
  bool mixed_weights = false;
};

/// When a load takes the staged chunks.
enum class TakeTime {
  kOnAcceptance,
  /// When the requests that were running have ended and the load begins.
  kAfterRunningRequests,
};

struct EngineOptions {
  std::string id;
  std::string address;
  std::string service;
  std::vector<std::string> controls;
  TestWeights weights;
  /// Version that is loaded and staged at the start; 0 if none.
  std::int64_t loaded_version = 1;
  Duration load_time = std::chrono::milliseconds(300);
  TakeTime take_time = TakeTime::kOnAcceptance;
  /// Time that the requests need which run when a load command arrives.
  Duration drain_time{};
  /// The process serves a plain service and needs no weights.
  bool plain = false;
  /// Body of a request that ends the process when it begins to run; empty if there is none.
  std::string crash_body;
  /// Part of prompts that ends the process when it answers a request with it; empty if there is
  /// none.
  std::string crash_part;
  /// Events of each response, and those that the process generates before it ends under a request;
  /// responses are plain if the first is 0.
  int stream_events = 0;
  int events_before_crash = 0;
  /// Time from such a request to the end, and from the end to the next start.
  Duration crash_delay = std::chrono::milliseconds(50);
  Duration restart_delay = std::chrono::milliseconds(800);
};

/// Stand-in of an engine on the users' platform, on a thread of its own. It announces itself,
/// serves requests, and stages and loads weights without checking them.
class WeightsEngine {
 public:
  static constexpr std::uint32_t kLayers = 4;
  using FaultScript = std::function<CallFault(WeightsEngine&, const EngineCallInfo&)>;

  /// @param script called on the engine's thread for each call of the sidecar, before its effect;
  /// it
  ///     may change staged chunks
  explicit WeightsEngine(EngineOptions options, FaultScript script = {});
  ~WeightsEngine();

  /// Flips a byte of a staged chunk; nothing happens if it is not staged.
  void Spoil(std::uint32_t chunk);
  void Lose(std::uint32_t chunk);
  /// Replaces a staged chunk by that of another version.
  void Overwrite(std::uint32_t chunk, std::int64_t version);
  /// Starts a new incarnation that holds no weights; staged chunks stay.
  void Restart();
  /// Ends like a crashed process: connections break and no new ones are accepted.
  void Down();
  /// Starts again after Down, as a new incarnation that holds no weights.
  /// @param keep_staged false after a loss of power
  void Up(bool keep_staged);
  /// Requests of callers, and the ends of their connections, arrive so much later than they are
  /// sent, as on a narrow link. Calls of the sidecar take no link.
  void SetLinkDelay(Duration delay) { link_delay_ = delay; }
  /// The thread stands still for a time, like a paused process.
  void Stall(Duration time);

  /// Version of which all layers are held; 0 if there is none.
  std::int64_t loaded_version() const;
  /// Whether the weights that are held were taken from damaged chunks.
  bool holds_damaged_layers() const;
  std::vector<TakenLoad> loads() const;
  std::vector<ServedRequest> served() const;
  /// Times of the requests that were refused because the engine held no weights.
  std::vector<Duration> refused() const;
  /// Times at which requests with the crash body or part arrived, and those of the ends among them.
  std::vector<TimePoint> crash_requests() const;
  std::vector<TimePoint> crashes() const;
  Duration Elapsed() const;
  const std::string& id() const { return options_.id; }

 private:
  struct Staged {
    /// Empty if the chunk is lost.
    std::string bytes;
    /// Version that the bytes match; 0 if none.
    std::int64_t version = 0;
    /// When the bytes ceased to match a version.
    std::map<std::int64_t, Duration> matched_until;
  };
  /// How a layer that is held was taken.
  struct HeldLayer {
    bool damaged = false;
    Duration bad_for{};
    bool mixed = false;
  };

  void StartServer();
  net::Task<void> Handle(net::HttpExchange& exchange);
  net::Task<void> HandleRequest(net::HttpExchange& exchange);
  /// Whether the process ends under a request.
  bool EndsUnder(const net::HttpExchange& exchange) const;
  /// Writes the events of a stream after the last one that the caller has.
  /// @param last number of the last event to write
  net::Task<void> WriteEvents(net::HttpExchange& exchange, net::HttpHeaders headers, int last);
  /// Ends the process under a request, and starts it again later.
  net::Task<void> Crash();
  net::Task<void> Announce();
  net::Task<void> ApplyLater(Duration delay, std::function<void()> effect);
  /// Load command as its body names it.
  struct Command {
    std::int64_t version = 0;
    /// Layers to hold, a half-open range.
    std::uint32_t from = 0;
    std::uint32_t to = kLayers;
    std::optional<std::int64_t> expected_commands;
  };
  static Command ParseCommand(const std::string& body);
  net::Task<void> Load(Command command, std::int64_t incarnation);
  /// Accepts a load command.
  /// @return HTTP status
  unsigned AcceptLoad(const Command& command);
  void SetStaged(std::uint32_t chunk, std::string bytes);
  /// Takes the staged chunks of a layer, and records in the load which of them do not match.
  HeldLayer TakeLayer(std::uint32_t layer, TakenLoad& load) const;
  bool HoldsAllLayers() const { return layers_.size() == kLayers; }
  std::string State() const;

  EngineOptions options_;
  FaultScript script_;
  TimePoint started_;
  mutable std::recursive_mutex mutex_;
  std::map<std::uint32_t, Staged> staged_;
  std::map<EngineCall, std::size_t> calls_;
  std::int64_t incarnation_ = 0;
  std::int64_t loaded_version_ = 0;
  std::map<std::uint32_t, HeldLayer> layers_;
  bool loading_ = false;
  bool down_ = false;
  Command loading_command_;
  std::int64_t commands_ = 0;
  std::vector<TakenLoad> loads_;
  std::vector<ServedRequest> served_;
  std::vector<Duration> refused_;
  std::vector<TimePoint> crash_requests_;
  std::vector<TimePoint> crashes_;
  std::atomic<Duration> link_delay_{Duration::zero()};
  net::asio::io_context context_;
  std::unique_ptr<net::HttpServer> server_;
  std::thread thread_;
};

/// Origin of test weights, on a thread of its own.
class WeightsOrigin {
 public:
  /// @param newest newest version that it holds; later ones are answered with 404
  WeightsOrigin(const std::string& address, TestWeights weights, std::int64_t newest);
  ~WeightsOrigin();
  void SetNewest(std::int64_t version) { newest_ = version; }
  /// Connections end without an answer while it is down.
  void SetDown(bool down) { down_ = down; }
  void SetDelay(Duration delay) { delay_ = delay; }
  /// Damages the answer to one of so many chunk requests; 0 for none.
  void SetDamagedShare(unsigned one_of) { damage_one_of_ = one_of; }

 private:
  net::Task<void> Handle(net::HttpExchange& exchange);

  TestWeights weights_;
  std::atomic<std::int64_t> newest_;
  std::atomic<bool> down_{false};
  std::atomic<Duration> delay_{Duration::zero()};
  std::atomic<unsigned> damage_one_of_{0};
  unsigned chunks_sent_ = 0;
  net::asio::io_context context_;
  std::unique_ptr<net::HttpServer> server_;
  std::thread thread_;
};

}  // namespace wagtailslip::system_test
