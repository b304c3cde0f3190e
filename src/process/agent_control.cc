#include "agent_control.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/record_codec.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

using rollout::ReplicaState;

constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(500);
constexpr Duration kReadingPeriod = std::chrono::milliseconds(250);
constexpr Duration kRetryDelay = std::chrono::seconds(1);
// Entry processes stop routing to an endpoint whose report they lack for 1.5 s, so after 2 s no
// entry process can still send new work on an older report.
constexpr Duration kDrainSettle = std::chrono::seconds(2);
// A stream that runs longer is resumed on another endpoint by its entry process.
constexpr Duration kDrainLimit = std::chrono::seconds(120);
constexpr Duration kEntrySilence = std::chrono::milliseconds(1500);
constexpr Duration kEntryRetry = std::chrono::seconds(5);
constexpr int kAttemptLimit = 3;
constexpr std::size_t kManifestPeers = 3;

std::string DigestBytes(const Digest& digest) {
  return {reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size()};
}

}  // namespace

AgentControl::AgentControl(AgentSettings settings, std::unique_ptr<AgentEffects> effects)
    : settings_(std::move(settings)),
      effects_(std::move(effects)),
      strategy_(spread::MakeStrategy(spread::StrategyKind::kSwarm)) {}

LineWork* AgentControl::Find(const std::string& line, std::uint64_t generation) {
  const auto it = lines_.find(line);
  return it != lines_.end() && it->second.generation == generation ? &it->second : nullptr;
}

void AgentControl::SetState(LineWork& work, ReplicaState state) {
  if (work.state == state) return;
  work.state = state;
  work.attempts = 0;
  next_heartbeat_ = {};
  LogEvent(Event::kReplicaStateChanged, {{"endpoint", settings_.endpoint.endpoint_id},
                                         {"state", rollout::kReplicaStates.Name(state)},
                                         {"version", work.order.artifact.version},
                                         {"rollout", work.order.artifact.rollout_id}});
}

void AgentControl::Fail(LineWork& work, const std::string& error, TimePoint now) {
  work.error = error;
  work.retry_at = now + kRetryDelay;
  if (++work.attempts < kAttemptLimit) return;
  SetState(work, ReplicaState::kFailed);
}

std::string AgentControl::HomeEntry(TimePoint now) const {
  // Rendezvous order spreads the agents over the entry processes; one that stays silent is passed
  // over until its retry time has come.
  std::string best;
  std::uint64_t best_score = 0;
  for (const bool any : {false, true}) {
    for (const auto& entry : settings_.entries) {
      const auto silent = first_unanswered_.find(entry);
      if (!any && silent != first_unanswered_.end() && now - silent->second > kEntrySilence &&
          now - silent->second < kEntryRetry) {
        continue;
      }
      const auto score = Hash64(entry, Hash64(settings_.endpoint.endpoint_id));
      if (best.empty() || score > best_score) {
        best = entry;
        best_score = score;
      }
    }
    if (!best.empty()) break;
  }
  return best;
}

void AgentControl::Heartbeat(TimePoint now) {
  next_heartbeat_ = now + kHeartbeatPeriod;
  const std::string entry = HomeEntry(now);
  if (entry.empty()) return;
  auto& waiting = first_unanswered_[entry];
  if (waiting == TimePoint{} || now - waiting >= kEntryRetry) waiting = now;
  wire::AgentHeartbeat beat;
  beat.endpoint = codec::ToWire(settings_.endpoint);
  beat.leaving = leaving_;
  beat.members_revision = members_revision_;
  auto& report = beat.report;
  report.endpoint_id = settings_.endpoint.endpoint_id;
  report.incarnation = static_cast<std::int64_t>(settings_.endpoint.incarnation);
  report.report_number = static_cast<std::int64_t>(++report_number_);
  report.healthy = reading_.reachable;
  report.running = static_cast<std::int32_t>(reading_.load.running);
  report.waiting = static_cast<std::int32_t>(reading_.load.waiting);
  report.slots = static_cast<std::int32_t>(reading_.load.slots);
  for (const auto& [line, work] : lines_) {
    wire::LineReport row;
    row.model = work.order.model;
    row.adapter = work.order.adapter;
    row.replica_state = static_cast<std::int16_t>(work.state);
    row.target_root = DigestBytes(work.order.artifact.root);
    row.chunks_total = work.manifest ? static_cast<std::int32_t>(work.manifest->chunks.size()) : 0;
    row.chunks_present =
        work.artifact ? static_cast<std::int32_t>(work.artifact->present_count()) : 0;
    row.served_root = DigestBytes(work.served_root);
    row.error = work.error;
    row.token_term = static_cast<std::int64_t>(work.order.token.term);
    row.token_revision = static_cast<std::int64_t>(work.order.token.revision);
    report.lines.push_back(std::move(row));
  }
  // A line that the engine serves without an order is reported too, so that routing knows it.
  for (const auto& [line, served] : reading_.served) {
    if (lines_.contains(line)) continue;
    wire::LineReport row;
    const auto slash = line.find('/');
    row.model = line.substr(0, slash);
    if (slash != std::string::npos) row.adapter = line.substr(slash + 1);
    row.replica_state = static_cast<std::int16_t>(ReplicaState::kServing);
    row.served_root = DigestBytes(served.root);
    row.target_root = row.served_root;
    report.lines.push_back(std::move(row));
  }
  wire::Frame frame;
  frame.body.__set_agent_heartbeat(beat);
  effects_->SendHeartbeat(entry, frame);
}

void AgentControl::OnFrame(const wire::Frame& frame, TimePoint now) {
  if (!frame.body.__isset.home_reply) return;
  first_unanswered_.erase(frame.sender_address);
  OnHomeReply(frame.body.home_reply, now);
}

void AgentControl::OnHomeReply(const wire::HomeReply& reply, TimePoint now) {
  if (!reply.entries.empty()) settings_.entries = reply.entries;
  if (reply.members_revision > members_revision_) {
    std::vector<spread::Member> members;
    for (const auto& it : reply.members) {
      members.push_back({it.endpoint_id, it.agent_address, it.region, it.failure_domain});
    }
    members_ = std::make_shared<spread::Members>(std::move(members));
    members_revision_ = reply.members_revision;
    for (auto& [line, work] : lines_) {
      if (work.session) work.session->OnMembers(members_, now);
    }
  }
  for (const auto& it : reply.orders) {
    const rollout::Order order = codec::OrderFromWire(it);
    if (order.endpoint_id == settings_.endpoint.endpoint_id &&
        order.incarnation == settings_.endpoint.incarnation) {
      TakeOrder(order, now);
    }
  }
}

void AgentControl::TakeOrder(const rollout::Order& order, TimePoint now) {
  auto& work = lines_[config::ArtifactKey(order.model, order.adapter)];
  // An order of an earlier leader or an earlier decision may arrive late.
  if (order.token < work.order.token) return;
  const bool new_target = work.generation == 0 || order.artifact.root != work.order.artifact.root;
  work.order = order;
  if (!new_target) return;
  work.generation = next_generation_++;
  work.session.reset();
  work.manifest.reset();
  work.artifact.reset();
  work.busy = false;
  work.error.clear();
  work.retry_at = now;
  work.attempts = 0;
  const auto line = config::ArtifactKey(order.model, order.adapter);
  const auto served = reading_.served.find(line);
  if (served != reading_.served.end()) work.served_root = served->second.root;
  work.state = ReplicaState::kIdle;
  SetState(work, work.served_root == order.artifact.root ? ReplicaState::kServing
                                                         : ReplicaState::kFetching);
}

void AgentControl::StartFetching(const std::string& line, LineWork& work) {
  work.busy = true;
  std::vector<std::string> peers;
  if (members_) {
    const std::size_t n = members_->size();
    for (std::size_t i = 0; i < n && peers.size() < kManifestPeers; ++i) {
      const auto& member = (*members_)[static_cast<spread::MemberIndex>(
          (i + Hash64(settings_.endpoint.endpoint_id)) % n)];
      if (member.id != settings_.endpoint.endpoint_id) peers.push_back(member.address);
    }
  }
  effects_->FetchManifest(line, work.generation, work.order, peers);
}

void AgentControl::OnManifest(const std::string& line, std::uint64_t generation,
                              std::shared_ptr<const spread::Manifest> manifest,
                              const std::string& error, TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr) return;
  work->busy = false;
  if (!manifest) {
    // The origin may be away for long; fetching goes on as long as the order stands.
    work->error = error;
    work->retry_at = now + kRetryDelay;
    return;
  }
  work->error.clear();
  work->manifest = std::move(manifest);
  work->busy = true;
  effects_->OpenArtifact(line, generation, work->manifest);
}

void AgentControl::OnArtifact(const std::string& line, std::uint64_t generation,
                              std::shared_ptr<disk::Artifact> artifact, const std::string& error,
                              TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr) return;
  work->busy = false;
  if (!artifact) return Fail(*work, error, now);
  work->artifact = std::move(artifact);
}

void AgentControl::RunSession(const std::string& line, LineWork& work, TimePoint now) {
  if (!work.session) {
    if (!members_ || members_->Find(settings_.endpoint.endpoint_id) == spread::kNoMember) return;
    work.session = std::make_unique<spread::Session>(
        work.manifest, members_, settings_.endpoint.endpoint_id, strategy_,
        work.order.artifact.policy, spread::SessionLimits{},
        Hash64(settings_.endpoint.endpoint_id));
    for (std::size_t i = 0; i < work.artifact->chunk_count(); ++i) {
      if (work.artifact->Has(i)) work.session->MarkPresent(static_cast<spread::ChunkIndex>(i));
    }
    work.session->Start(now);
  }
  const auto step = work.session->Tick(now);
  for (const auto& it : step.fetches) {
    effects_->FetchChunk(line, work.generation, work.artifact, it, work.order.artifact.origin);
  }
  for (const auto& it : step.polls) {
    effects_->PollHave(line, work.generation, work.order.artifact.root,
                       work.manifest->chunks.size(), it);
  }
  if (work.session->Complete() && !work.busy) {
    work.busy = true;
    effects_->Seal(line, work.generation, work.artifact, work.manifest);
  }
}

void AgentControl::OnChunk(const std::string& line, std::uint64_t generation,
                           spread::ChunkIndex chunk, const std::string& source,
                           spread::ChunkResult result, TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr || !work->session) return;
  if (result == spread::ChunkResult::kCorrupt) {
    LogEvent(Event::kChunkRejected, {{"chunk", chunk}, {"source", source}});
  }
  work->session->OnChunk(chunk, source, result, now);
  if (work->state == ReplicaState::kFetching) RunSession(line, *work, now);
}

void AgentControl::OnFetchFailure(const std::string& line, std::uint64_t generation,
                                  const std::string& source,
                                  std::optional<spread::ChunkIndex> chunk,
                                  spread::FailureReason reason, Duration retry_after,
                                  TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr || !work->session) return;
  work->session->OnFailure(source, chunk, reason, retry_after, now);
}

void AgentControl::OnHave(const std::string& line, std::uint64_t generation,
                          const std::string& peer, const spread::Bitmap& have, TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr || !work->session) return;
  work->session->OnPeerHave(peer, have, now);
  if (work->state == ReplicaState::kFetching) RunSession(line, *work, now);
}

void AgentControl::OnSealed(const std::string& line, std::uint64_t generation,
                            const std::string& error, TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr) return;
  work->busy = false;
  if (!error.empty()) {
    // A damaged chunk is no longer present; a new session fetches it again.
    work->session.reset();
    return Fail(*work, error, now);
  }
  LogEvent(Event::kArtifactVerified, {{"version", work->order.artifact.version},
                                      {"root", work->order.artifact.root.Hex()},
                                      {"chunks", work->manifest->chunks.size()}});
  SetState(*work, ReplicaState::kVerified);
}

void AgentControl::StartSwap(LineWork& work, TimePoint now) {
  work.draining_since = now;
  SetState(work, ReplicaState::kDraining);
}

void AgentControl::ContinueDraining(const std::string& line, LineWork& work, TimePoint now) {
  const Duration waited = now - work.draining_since;
  const bool idle = reading_.reachable && reading_.load.running + reading_.load.waiting == 0;
  if (waited < kDrainSettle || (!idle && waited < kDrainLimit)) return;
  SetState(work, ReplicaState::kLoading);
  work.busy = true;
  effects_->Load(line, work.generation, work.order, work.artifact->path().string());
}

void AgentControl::OnLoaded(const std::string& line, std::uint64_t generation,
                            const std::string& error, TimePoint now) {
  auto* work = Find(line, generation);
  if (work == nullptr) return;
  work->busy = false;
  if (!error.empty()) {
    LogEvent(Event::kOrderFailed, {{"version", work->order.artifact.version}, {"error", error}});
    return Fail(*work, error, now);
  }
  work->error.clear();
  SetState(*work, ReplicaState::kChecking);
  // Only a reading that started after the order was carried out counts.
  reading_pending_ = false;
  next_reading_ = now;
}

void AgentControl::OnEngineReading(const EngineReading& reading, TimePoint) {
  if (!reading_pending_) return;
  reading_pending_ = false;
  reading_ = reading;
  if (!reading.reachable) return;
  for (auto& [line, work] : lines_) CheckServed(line, work);
}

void AgentControl::CheckServed(const std::string& line, LineWork& work) {
  const auto it = reading_.served.find(line);
  const Digest served = it == reading_.served.end() ? Digest{} : it->second.root;
  if (served != work.served_root) next_heartbeat_ = {};
  work.served_root = served;
  const bool on_target = served == work.order.artifact.root;
  if (work.state == ReplicaState::kChecking) {
    SetState(work, on_target ? ReplicaState::kServing : ReplicaState::kFailed);
    if (!on_target) work.error = "the engine serves another version than it was ordered to load";
  } else if (work.state == ReplicaState::kServing && !on_target) {
    // The engine was restarted or took an order from elsewhere; it is brought back to the target.
    SetState(work, ReplicaState::kFetching);
  }
}

void AgentControl::Advance(const std::string& line, LineWork& work, TimePoint now) {
  if (work.busy || now < work.retry_at) return;
  switch (work.state) {
    case ReplicaState::kFetching:
      if (!work.manifest) return StartFetching(line, work);
      if (!work.artifact) {
        work.busy = true;
        return effects_->OpenArtifact(line, work.generation, work.manifest);
      }
      return RunSession(line, work, now);
    case ReplicaState::kVerified:
      if (work.order.kind == rollout::OrderKind::kSwap) StartSwap(work, now);
      return;
    case ReplicaState::kDraining:
      return ContinueDraining(line, work, now);
    case ReplicaState::kLoading:
      work.busy = true;
      return effects_->Load(line, work.generation, work.order, work.artifact->path().string());
    default:
      return;
  }
}

void AgentControl::Tick(TimePoint now) {
  for (auto& [line, work] : lines_) Advance(line, work, now);
  if (now >= next_reading_) {
    next_reading_ = now + kReadingPeriod;
    reading_pending_ = true;
    effects_->ReadEngine();
  }
  if (now >= next_heartbeat_) {
    Heartbeat(now);
    std::vector<Digest> keep;
    for (const auto& [line, work] : lines_) {
      keep.push_back(work.order.artifact.root);
      keep.push_back(work.served_root);
    }
    effects_->Evict(keep);
  }
}

void AgentControl::Leave(TimePoint now) {
  if (leaving_) return;
  leaving_ = true;
  leaving_since_ = now;
  Heartbeat(now);
}

bool AgentControl::MayExit(TimePoint now) const {
  return leaving_ && now - leaving_since_ >= kDrainSettle;
}

std::string AgentControl::Dump(TimePoint now) const {
  nlohmann::json lines = nlohmann::json::array();
  for (const auto& [line, work] : lines_) {
    nlohmann::json row{{"line", line},
                       {"state", rollout::kReplicaStates.Name(work.state)},
                       {"version", work.order.artifact.version},
                       {"root", work.order.artifact.root.Hex()},
                       {"served_root", work.served_root.Hex()},
                       {"token", {work.order.token.term, work.order.token.revision}},
                       {"error", work.error}};
    if (work.artifact) {
      row["chunks_present"] = work.artifact->present_count();
      row["chunks"] = work.artifact->chunk_count();
    }
    if (work.session) {
      const auto& stats = work.session->stats();
      row["session"] = {{"from_origin", stats.from_origin},
                        {"from_peers", stats.from_peers},
                        {"across_regions", stats.across_regions},
                        {"corrupt", stats.corrupt},
                        {"failures", stats.failures},
                        {"takeovers", stats.takeovers},
                        {"outstanding", work.session->outstanding()}};
    }
    lines.push_back(std::move(row));
  }
  return nlohmann::json{{"process", "agent"},
                        {"endpoint", settings_.endpoint.endpoint_id},
                        {"incarnation", settings_.endpoint.incarnation},
                        {"home", HomeEntry(now)},
                        {"entries", settings_.entries},
                        {"members", members_ ? members_->size() : 0},
                        {"members_revision", members_revision_},
                        {"engine_reachable", reading_.reachable},
                        {"running", reading_.load.running},
                        {"leaving", leaving_},
                        {"lines", std::move(lines)}}
      .dump(2);
}

}  // namespace wagtailslip::process
