#include "link_fake.h"

#include <algorithm>
#include <cmath>

namespace wagtailslip::spread {
namespace {

constexpr int kBlocksPerChunk = 4;
// Sizes of HTTP request and response headers on the wire, in bytes. A refusal has no body.
constexpr std::uint64_t kRequestBytes = 160;
constexpr std::uint64_t kResponseBytes = 140;
// One-way latencies in seconds.
constexpr double kLatencyInDomain = 0.0005;
constexpr double kLatencyInRegion = 0.0015;
constexpr double kLatencyBetweenRegions = 0.003;
// Time in seconds until the control plane has detected a lost instance and sent a new member list.
constexpr double kMembersDelay = 2.0;
constexpr double kSlowFactor = 0.05;

}  // namespace

Simulation::Simulation(const SimulationConfig& config) : config_(config), random_(config.seed) {
  manifest_ = std::make_shared<Manifest>();
  manifest_->model = "model";
  manifest_->version = "seed" + std::to_string(config.seed);
  for (std::size_t i = 0; i < config.chunks; ++i) {
    manifest_->chunks.push_back(
        {Sha256(manifest_->version + std::to_string(i)), config.chunk_bytes});
  }
  manifest_->root = manifest_->ComputeRoot();
  const std::size_t n = config.instances;
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t region = i % config.regions;
    const std::size_t domain = i / config.regions % config.domains;
    const std::string name = "region" + std::to_string(region);
    member_list_.push_back(
        {Name(static_cast<Node>(i)), "", name, name + "-" + std::to_string(domain)});
    region_of_.push_back(static_cast<std::uint32_t>(region));
    domain_of_.push_back(static_cast<std::uint32_t>(domain));
  }
  members_ = std::make_shared<Members>(member_list_);
  const auto size = static_cast<double>(manifest_->TotalSize());
  instance_rate_ = 2 * size / config.bound_seconds;
  instances_.resize(n);
  uplinks_.resize(n + 1);
  for (auto& uplink : uplinks_) uplink.rate = instance_rate_;
  uplinks_[n].rate = 2 * instance_rate_;
  region_link_free_.resize(config.regions * config.regions);
  const auto strategy = MakeStrategy(config.strategy);
  for (std::size_t i = 0; i < n; ++i) {
    sessions_.emplace_back(manifest_, members_, member_list_[i].id, strategy, config.policy,
                           config.limits, config.seed);
  }
}

std::string Simulation::Name(Node node) const {
  // Zero-padded, so that the ids sort in the order of the nodes.
  std::string digits = std::to_string(node);
  return "a" + std::string(5 - digits.size(), '0') + digits;
}

void Simulation::Push(double at, Kind kind, Node node, Node peer, std::uint32_t chunk,
                      std::uint64_t extra) {
  events_.push({at, ++sequence_, kind, node, peer, chunk, extra});
}

TimePoint Simulation::ToTimePoint(double seconds) const {
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

double Simulation::Random() {
  random_ = MixHash(random_, 1);
  return static_cast<double>(random_ >> 11) * 0x1p-53;
}

double Simulation::Latency(Node a, Node b) const {
  if (a == origin() || b == origin() || region_of_[a] != region_of_[b]) {
    return kLatencyBetweenRegions;
  }
  return domain_of_[a] == domain_of_[b] ? kLatencyInDomain : kLatencyInRegion;
}

bool Simulation::Reachable(Node a, Node b) const {
  if (!partitioned_) return true;
  const bool a_partitioned = a != origin() && region_of_[a] == 0;
  const bool b_partitioned = b != origin() && region_of_[b] == 0;
  return a_partitioned == b_partitioned;
}

template <typename Call>
void Simulation::Timed(Call call) {
  const auto start = std::chrono::steady_clock::now();
  call();
  cpu_ += std::chrono::steady_clock::now() - start;
  ++calls_;
}

SimulationResult Simulation::Run() {
  const auto size = static_cast<double>(manifest_->TotalSize());
  const auto n = static_cast<double>(config_.instances);
  const double up = uplinks_[0].rate;
  const double origin_rate = uplinks_.back().rate;
  SimulationResult result;
  result.bound = std::max({size / origin_rate, size / up, n * size / (origin_rate + n * up)});
  alive_ = instances_.size();
  for (Node i = 0; i < instances_.size(); ++i) {
    Timed([&] { sessions_[i].Start(ToTimePoint(0)); });
    // Agents learn of the rollout within 100 ms of each other.
    Push(Random() * 0.1, Kind::kTick, i, 0, 0, 0);
  }
  Push(config_.scenario.fault_at * result.bound, Kind::kFault, 0);
  while (!events_.empty() && done_ < alive_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    if (now_ > config_.max_duration * result.bound) break;
    Handle(event);
  }
  std::vector<double> times;
  for (const Instance& instance : instances_) {
    if (instance.alive && instance.done) times.push_back(instance.finished / result.bound);
  }
  std::sort(times.begin(), times.end());
  const auto share = [&](double part) {
    const auto k = static_cast<std::size_t>(std::ceil(part * static_cast<double>(alive_)));
    return k <= times.size() && k > 0 ? times[k - 1] : 0;
  };
  result.t50 = share(0.5);
  result.t95 = share(0.95);
  result.t100 = share(1);
  result.complete = done_;
  result.survivors = alive_;
  result.origin_copies = static_cast<double>(origin_bytes_) / size;
  result.cross_copies = static_cast<double>(cross_bytes_) / size;
  std::uint64_t needed = 0;
  for (const Session& session : sessions_) {
    needed += session.present();
    result.memory += static_cast<double>(session.MemoryBytes()) / n;
    result.failures += session.stats().failures;
    result.corrupt += session.stats().corrupt;
    result.takeovers += session.stats().takeovers;
  }
  result.duplicate_share = static_cast<double>(delivered_) / static_cast<double>(needed) - 1;
  result.cpu_seconds = std::chrono::duration<double>(cpu_).count() / n;
  result.tick_microseconds =
      std::chrono::duration<double, std::micro>(cpu_).count() / static_cast<double>(calls_);
  result.control_bytes = static_cast<double>(control_bytes_) / n / now_;
  result.control_messages = static_cast<double>(control_messages_) / n / now_;
  result.refusals = refusals_;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    result.upload_use += uplinks_[i].busy_time / n / now_;
  }
  return result;
}

void Simulation::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kTick:
      if (instances_[event.node].tick_number == event.extra) Tick(event.node);
      break;
    case Kind::kRequest:
      Serve(event);
      break;
    case Kind::kPoll:
      // Approximation: the response carries the bitmap at the time of its delivery, not of the
      // request.
      if (!instances_[event.node].alive || !Reachable(event.node, event.peer)) break;
      control_bytes_ += kResponseBytes + (manifest_->chunks.size() + 7) / 8;
      Push(now_ + Latency(event.node, event.peer), Kind::kHave, event.peer, event.node);
      break;
    case Kind::kHave:
      if (!instances_[event.node].alive) break;
      Timed([&] {
        sessions_[event.node].OnPeerHave(Name(event.peer), sessions_[event.peer].have(),
                                         ToTimePoint(now_));
      });
      Tick(event.node);
      break;
    case Kind::kBusy:
      if (!instances_[event.node].alive) break;
      Timed([&] {
        sessions_[event.node].OnFailure(
            event.peer == origin() ? std::string(kOrigin) : Name(event.peer), event.chunk,
            FailureReason::kBusy, std::chrono::milliseconds(event.extra), ToTimePoint(now_));
      });
      Tick(event.node);
      break;
    case Kind::kBlockSent:
      BlockSent(event);
      break;
    case Kind::kBlockReceived:
      Deliver(event);
      break;
    case Kind::kCancel:
      CancelFlow(event.node, event.peer, event.chunk);
      break;
    case Kind::kFault:
      StartFault();
      break;
    case Kind::kPartitionEnd:
      partitioned_ = false;
      break;
    case Kind::kMembers:
      SendMembers();
      break;
  }
}

void Simulation::Tick(Node node) {
  Instance& instance = instances_[node];
  if (!instance.alive || instance.done) return;
  TickResult result;
  Timed([&] { result = sessions_[node].Tick(ToTimePoint(now_)); });
  for (const Cancel& cancel : result.cancels) {
    const Node from = cancel.source == kOrigin ? origin() : members_->Find(cancel.source);
    if (from != kNoMember) {
      Push(now_ + Latency(node, from), Kind::kCancel, from, node, cancel.chunk);
    }
  }
  for (const Fetch& fetch : result.fetches) {
    const Node from =
        fetch.source == kOrigin ? origin() : static_cast<Node>(std::stoul(fetch.source.substr(1)));
    control_bytes_ += kRequestBytes;
    ++control_messages_;
    Push(now_ + Latency(node, from), Kind::kRequest, from, node, fetch.chunk);
  }
  for (const Poll& poll : result.polls) {
    const auto peer = static_cast<Node>(std::stoul(poll.peer.substr(1)));
    control_bytes_ += kRequestBytes;
    ++control_messages_;
    Push(now_ + Latency(node, peer), Kind::kPoll, peer, node);
  }
  if (sessions_[node].Complete()) {
    instance.done = true;
    ++done_;
    instance.finished = now_;
    return;
  }
  ++instance.tick_number;
  Push(std::max(ToSeconds(result.next.time_since_epoch()), now_ + 1e-6), Kind::kTick, node, 0, 0,
       instance.tick_number);
}

void Simulation::Serve(const Event& event) {
  const Node from = event.node;
  if (!Reachable(from, event.peer)) return;
  Uplink& uplink = uplinks_[from];
  bool refuse = false;
  std::uint64_t retry_after_ms = 0;
  if (from == origin()) {
    const double limit = config_.scenario.origin_requests_per_second;
    if (limit > 0) {
      origin_tokens_ = std::min(limit, origin_tokens_ + (now_ - origin_tokens_at_) * limit);
      origin_tokens_at_ = now_;
      if (origin_tokens_ < 1) {
        refuse = true;
        retry_after_ms = 1000;
      } else {
        origin_tokens_ -= 1;
      }
    }
  } else {
    if (!instances_[from].alive) return;
    refuse = uplink.slots_used >= config_.upload_slots;
  }
  control_bytes_ += kResponseBytes;
  if (refuse) {
    ++refusals_;
    Push(now_ + Latency(from, event.peer), Kind::kBusy, event.peer, from, event.chunk,
         retry_after_ms);
    return;
  }
  ++uplink.slots_used;
  std::uint32_t id = 0;
  if (free_flows_.empty()) {
    id = static_cast<std::uint32_t>(flows_.size());
    flows_.emplace_back();
  } else {
    id = free_flows_.back();
    free_flows_.pop_back();
  }
  flows_[id] = {event.peer, event.chunk, kBlocksPerChunk, true};
  uplink.send_queue.push_back(id);
  if (!uplink.busy) SendBlock(from);
}

void Simulation::SendBlock(Node from) {
  Uplink& uplink = uplinks_[from];
  if (uplink.stalled || uplink.send_queue.empty()) return;
  const std::uint32_t id = uplink.send_queue.front();
  uplink.send_queue.pop_front();
  const double duration = static_cast<double>(config_.chunk_bytes) / kBlocksPerChunk / uplink.rate;
  uplink.busy = true;
  uplink.current = id;
  uplink.busy_time += duration;
  Push(now_ + duration, Kind::kBlockSent, from, 0, id);
}

void Simulation::BlockSent(const Event& event) {
  const Node from = event.node;
  Uplink& uplink = uplinks_[from];
  const std::uint32_t id = event.chunk;
  Flow& flow = flows_[id];
  uplink.busy = false;
  if (from != origin() && !instances_[from].alive) return;
  const std::uint64_t block = config_.chunk_bytes / kBlocksPerChunk;
  if (from == origin()) origin_bytes_ += block;
  if (!flow.open) {
    free_flows_.push_back(id);
  } else {
    --flow.blocks_left;
    const Node to = flow.to;
    double at = now_ + Latency(from, to);
    if (from != origin() && region_of_[from] != region_of_[to]) {
      cross_bytes_ += block;
      double& free_at = region_link_free_[region_of_[from] * config_.regions + region_of_[to]];
      // Each direction of a link between two regions has the rate of the origin's link.
      free_at = std::max(free_at, at) + static_cast<double>(block) / uplinks_[origin()].rate;
      at = free_at;
    }
    if (Reachable(from, to) && instances_[to].alive) {
      Instance& receiver = instances_[to];
      receiver.downlink_free =
          std::max(receiver.downlink_free, at) + static_cast<double>(block) / instance_rate_;
      if (flow.blocks_left == 0) {
        Push(receiver.downlink_free, Kind::kBlockReceived, to, from, flow.chunk);
      }
    }
    if (flow.blocks_left == 0) {
      flow.open = false;
      free_flows_.push_back(id);
      --uplink.slots_used;
    } else {
      uplink.send_queue.push_back(id);
    }
  }
  SendBlock(from);
}

void Simulation::Deliver(const Event& event) {
  if (!instances_[event.node].alive || instances_[event.node].done) return;
  ++delivered_;
  const bool corrupt = config_.scenario.corrupt > 0 && Random() < config_.scenario.corrupt;
  Timed([&] {
    sessions_[event.node].OnChunk(
        event.chunk, event.peer == origin() ? std::string(kOrigin) : Name(event.peer),
        corrupt ? ChunkResult::kCorrupt : ChunkResult::kOk, ToTimePoint(now_));
  });
  Tick(event.node);
}

void Simulation::CancelFlow(Node from, Node to, ChunkIndex chunk) {
  Uplink& uplink = uplinks_[from];
  for (auto it = uplink.send_queue.begin(); it != uplink.send_queue.end(); ++it) {
    if (flows_[*it].to != to || flows_[*it].chunk != chunk) continue;
    flows_[*it].open = false;
    free_flows_.push_back(*it);
    uplink.send_queue.erase(it);
    --uplink.slots_used;
    return;
  }
  // The current block is sent to its end, but no further blocks follow.
  Flow& current = flows_[uplink.current];
  if (uplink.busy && current.open && current.to == to && current.chunk == chunk) {
    current.open = false;
    --uplink.slots_used;
  }
}

void Simulation::StartFault() {
  const Scenario& s = config_.scenario;
  std::vector<Node> victims;
  if (s.kill_domain) {
    for (Node i = 0; i < instances_.size(); ++i) {
      if (region_of_[i] == 0 && domain_of_[i] == 0) victims.push_back(i);
    }
  }
  const auto fetchers = members_->TopRanked(0, MixHash(PlacementKey(manifest_->root), 0x66657463),
                                            kFetchersPerRegion);
  // Faults of single instances hit the fetchers first, because all others depend on them.
  std::vector<Node> targets(fetchers.begin(), fetchers.end());
  std::size_t next = 0;
  const auto take = [&] { return next < targets.size() ? targets[next++] : Node{0}; };
  for (std::size_t i = 0; i < s.kill; ++i) victims.push_back(take());
  for (const Node node : victims) {
    if (!instances_[node].alive) continue;
    instances_[node].alive = false;
    --alive_;
    if (instances_[node].done) --done_;
  }
  if (!victims.empty()) Push(now_ + kMembersDelay, Kind::kMembers, 0);
  for (std::size_t i = 0; i < s.stalled; ++i) uplinks_[take()].stalled = true;
  for (std::size_t i = 0; i < s.slow; ++i) uplinks_[take()].rate *= kSlowFactor;
  if (s.partition > 0) {
    partitioned_ = true;
    Push(now_ + s.partition * config_.bound_seconds / 2, Kind::kPartitionEnd, 0);
  }
}

void Simulation::SendMembers() {
  std::vector<Member> alive;
  for (Node i = 0; i < instances_.size(); ++i) {
    if (instances_[i].alive) alive.push_back(member_list_[i]);
  }
  const auto members = std::make_shared<const Members>(alive);
  for (Node i = 0; i < instances_.size(); ++i) {
    if (!instances_[i].alive || instances_[i].done) continue;
    Timed([&] { sessions_[i].OnMembers(members, ToTimePoint(now_)); });
    Tick(i);
  }
}

}  // namespace wagtailslip::spread
