#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "line_work.h"
#include "wagtailslip/process/agent_settings.h"
#include "wagtailslip/process/engine_client.h"
#include "wagtailslip/spread/members.h"

namespace wagtailslip::wire {
class Frame;
class HomeReply;
}  // namespace wagtailslip::wire

namespace wagtailslip::process {

/// Work that the control state asks the traffic thread to do. Each call returns at once; the
/// results come back as calls of AgentControl's On... members on the control thread.
class AgentEffects {
 public:
  virtual ~AgentEffects() = default;
  virtual void FetchManifest(const std::string& line, std::uint64_t generation,
                             const rollout::Order& order,
                             const std::vector<std::string>& peers) = 0;
  virtual void OpenArtifact(const std::string& line, std::uint64_t generation,
                            std::shared_ptr<const spread::Manifest> manifest) = 0;
  virtual void FetchChunk(const std::string& line, std::uint64_t generation,
                          std::shared_ptr<disk::Artifact> artifact, const spread::Fetch& fetch,
                          const std::string& origin) = 0;
  virtual void PollHave(const std::string& line, std::uint64_t generation, const Digest& root,
                        std::size_t chunks, const spread::Poll& poll) = 0;
  virtual void Seal(const std::string& line, std::uint64_t generation,
                    std::shared_ptr<disk::Artifact> artifact,
                    std::shared_ptr<const spread::Manifest> manifest) = 0;
  virtual void Load(const std::string& line, std::uint64_t generation, const rollout::Order& order,
                    const std::string& path) = 0;
  virtual void ReadEngine() = 0;
  virtual void SendHeartbeat(const std::string& entry, wire::Frame frame) = 0;
  /// Removes stored versions beyond the byte limit.
  virtual void Evict(const std::vector<Digest>& keep) = 0;
};

/// Result of reading an endpoint.
struct EngineReading {
  bool reachable = false;
  std::map<std::string, ServedArtifact> served;
  EngineLoad load;
};

/// Control state of an agent: follows the orders of the leader for its endpoint. Runs on the
/// control thread.
class AgentControl {
 public:
  AgentControl(AgentSettings settings, std::unique_ptr<AgentEffects> effects);

  void Tick(TimePoint now);
  void OnFrame(const wire::Frame& frame, TimePoint now);

  void OnManifest(const std::string& line, std::uint64_t generation,
                  std::shared_ptr<const spread::Manifest> manifest, const std::string& error,
                  TimePoint now);
  void OnArtifact(const std::string& line, std::uint64_t generation,
                  std::shared_ptr<disk::Artifact> artifact, const std::string& error,
                  TimePoint now);
  void OnChunk(const std::string& line, std::uint64_t generation, spread::ChunkIndex chunk,
               const std::string& source, spread::ChunkResult result, TimePoint now);
  void OnFetchFailure(const std::string& line, std::uint64_t generation, const std::string& source,
                      std::optional<spread::ChunkIndex> chunk, spread::FailureReason reason,
                      Duration retry_after, TimePoint now);
  void OnHave(const std::string& line, std::uint64_t generation, const std::string& peer,
              const spread::Bitmap& have, TimePoint now);
  void OnSealed(const std::string& line, std::uint64_t generation, const std::string& error,
                TimePoint now);
  void OnLoaded(const std::string& line, std::uint64_t generation, const std::string& error,
                TimePoint now);
  void OnEngineReading(const EngineReading& reading, TimePoint now);

  /// Starts a graceful stop: the endpoint is announced as leaving.
  void Leave(TimePoint now);
  /// Whether the endpoint has had the time to lose its work after Leave.
  bool MayExit(TimePoint now) const;

  /// State dump as JSON text.
  std::string Dump(TimePoint now) const;

 private:
  void OnHomeReply(const wire::HomeReply& reply, TimePoint now);
  void TakeOrder(const rollout::Order& order, TimePoint now);
  void Advance(const std::string& line, LineWork& work, TimePoint now);
  void StartFetching(const std::string& line, LineWork& work);
  void RunSession(const std::string& line, LineWork& work, TimePoint now);
  void StartSwap(LineWork& work, TimePoint now);
  void ContinueDraining(const std::string& line, LineWork& work, TimePoint now);
  void CheckServed(const std::string& line, LineWork& work);
  void SetState(LineWork& work, rollout::ReplicaState state);
  void Fail(LineWork& work, const std::string& error, TimePoint now);
  void Heartbeat(TimePoint now);
  LineWork* Find(const std::string& line, std::uint64_t generation);
  std::string HomeEntry(TimePoint now) const;

  AgentSettings settings_;
  std::unique_ptr<AgentEffects> effects_;
  std::shared_ptr<const spread::Members> members_;
  std::int64_t members_revision_ = 0;
  std::map<std::string, LineWork> lines_;
  std::shared_ptr<const spread::Strategy> strategy_;
  EngineReading reading_;
  bool reading_pending_ = false;
  std::uint64_t report_number_ = 0;
  std::uint64_t next_generation_ = 1;
  TimePoint next_heartbeat_{};
  TimePoint next_reading_{};
  /// Last answer of each entry process that was asked.
  std::map<std::string, TimePoint> last_reply_;
  std::map<std::string, TimePoint> first_unanswered_;
  bool leaving_ = false;
  TimePoint leaving_since_{};
};

}  // namespace wagtailslip::process
