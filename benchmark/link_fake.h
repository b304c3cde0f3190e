#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "wagtailslip/spread/session.h"

namespace wagtailslip::spread {

/// Faults and settings of one simulated distribution.
struct Scenario {
  std::string name = "none";
  /// Time at which the fault starts, as a share of the bound T.
  double fault_at = 0.4;
  std::size_t kill = 0;
  bool kill_domain = false;
  /// Number of instances whose uploads stall, or run at 1/20 of the rate, while bitmap requests are
  /// still answered.
  std::size_t stalled = 0;
  std::size_t slow = 0;
  /// Probability that a received chunk is corrupt.
  double corrupt = 0;
  /// Time for which region 0 is partitioned from the other regions and the origin, as a share of T.
  double partition = 0;
  /// Request rate above which the origin answers 429, in requests per second; 0 for no limit.
  double origin_requests_per_second = 0;
};

struct SimulationConfig {
  StrategyKind strategy = StrategyKind::kSwarm;
  config::SpreadPolicy policy = config::SpreadPolicy::kTimeFirst;
  std::size_t instances = 48;
  std::size_t regions = 3;
  std::size_t domains = 2;
  std::size_t chunks = 512;
  std::uint64_t chunk_bytes = std::uint64_t{16} << 20;
  /// Sets the link rates, in seconds: in this time the origin's link carries four copies of the
  /// artifact and each instance's link two.
  double bound_seconds = 240;
  std::size_t upload_slots = 4;
  SessionLimits limits;
  Scenario scenario;
  std::uint64_t seed = 1;
  /// Maximum duration of a run in multiples of T; a longer run is stopped as unfinished.
  double max_duration = 20;
};

struct SimulationResult {
  /// The bound T in seconds.
  double bound = 0;
  /// Time until 50%, 95% and 100% of the surviving replicas are complete, divided by T; 0 if not
  /// reached.
  double t50 = 0, t95 = 0, t100 = 0;
  std::size_t complete = 0, survivors = 0;
  /// Bytes sent by the origin and between regions, in multiples of the artifact's size.
  double origin_copies = 0, cross_copies = 0;
  /// Redundant received chunks as a share of the needed ones.
  double duplicate_share = 0;
  /// Per instance: CPU time of the session in seconds, control traffic (bitmaps, refusals, request
  /// headers) in bytes and in requests per second, memory of the session in bytes.
  double cpu_seconds = 0, control_bytes = 0, control_messages = 0, memory = 0;
  double tick_microseconds = 0;
  std::uint64_t refusals = 0, failures = 0, corrupt = 0, takeovers = 0;
  /// Mean utilization of the instances' upload links until the last replica was complete.
  double upload_use = 0;
};

/// Runs one Session per instance over simulated links in virtual time. An upload link sends the
/// blocks of its transfers round-robin; region links and download links are FIFO queues of blocks.
class Simulation {
 public:
  explicit Simulation(const SimulationConfig& config);
  SimulationResult Run();

 private:
  using Node = std::uint32_t;

  struct Flow {
    Node to = 0;
    ChunkIndex chunk = 0;
    int blocks_left = 0;
    bool open = false;
  };
  struct Uplink {
    double rate = 0;
    bool busy = false;
    bool stalled = false;
    /// Index of the flow whose block is being sent.
    std::uint32_t current = 0;
    std::size_t slots_used = 0;
    double busy_time = 0;
    /// Indices of the open flows in round-robin order.
    std::deque<std::uint32_t> send_queue;
  };
  struct Instance {
    bool alive = true;
    bool done = false;
    double downlink_free = 0;
    /// Time of completion in seconds.
    double finished = 0;
    /// Number of the latest scheduled tick; earlier ones are ignored.
    std::uint64_t tick_number = 0;
  };
  enum class Kind : std::uint8_t {
    kTick,
    kRequest,
    kPoll,
    kHave,
    kBusy,
    kBlockSent,
    kBlockReceived,
    kCancel,
    kFault,
    kPartitionEnd,
    kMembers
  };
  struct Event {
    double at;
    std::uint64_t sequence;
    Kind kind;
    Node node;
    Node peer;
    std::uint32_t chunk;
    std::uint64_t extra;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };

  Node origin() const { return static_cast<Node>(instances_.size()); }
  void Push(double at, Kind kind, Node node, Node peer = 0, std::uint32_t chunk = 0,
            std::uint64_t extra = 0);
  TimePoint ToTimePoint(double seconds) const;
  double Latency(Node a, Node b) const;
  bool Reachable(Node a, Node b) const;
  double Random();
  std::string Name(Node node) const;
  void Handle(const Event& event);
  void Tick(Node node);
  void Serve(const Event& event);
  void SendBlock(Node from);
  void BlockSent(const Event& event);
  void Deliver(const Event& event);
  void CancelFlow(Node from, Node to, ChunkIndex chunk);
  void StartFault();
  void SendMembers();
  template <typename Call>
  void Timed(Call call);

  SimulationConfig config_;
  std::shared_ptr<Manifest> manifest_;
  std::vector<Member> member_list_;
  std::shared_ptr<const Members> members_;
  std::vector<Session> sessions_;
  std::vector<Instance> instances_;
  std::vector<Uplink> uplinks_;
  std::vector<Flow> flows_;
  std::vector<std::uint32_t> free_flows_;
  std::vector<std::uint32_t> region_of_;
  std::vector<std::uint32_t> domain_of_;
  std::vector<double> region_link_free_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t sequence_ = 0;
  std::uint64_t random_ = 0;
  double now_ = 0;
  bool partitioned_ = false;
  double origin_tokens_ = 0, origin_tokens_at_ = 0;
  std::size_t done_ = 0, alive_ = 0;
  double instance_rate_ = 0;
  std::uint64_t origin_bytes_ = 0, cross_bytes_ = 0, control_bytes_ = 0, control_messages_ = 0;
  std::uint64_t refusals_ = 0, delivered_ = 0, calls_ = 0;
  std::chrono::nanoseconds cpu_{};
};

}  // namespace wagtailslip::spread
