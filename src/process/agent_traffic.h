#pragma once

#include <functional>
#include <memory>
#include <string>

#include "agent_control.h"
#include "wagtailslip/disk/artifact_store.h"
#include "wagtailslip/net/http_client.h"
#include "wagtailslip/net/http_server.h"
#include "wagtailslip/net/peer_transport.h"
#include "wagtailslip/process/io_thread.h"
#include "wagtailslip/process/metrics.h"
#include "wagtailslip/process/rate_gate.h"

namespace wagtailslip::process {

/// Hands a task to the agent's control thread.
using PostToAgent = std::function<void(std::function<void(AgentControl&, TimePoint)>)>;

/// Network and disk work of an agent, on one traffic thread and one disk thread. Serves chunks to
/// peers and carries out the effects of the control state.
class AgentTraffic {
 public:
  /// @throws NetError, DiskError
  AgentTraffic(const AgentSettings& settings, Metrics& metrics);

  /// @param post set before Start
  void Start(PostToAgent post);
  /// Stops accepting; transfers in progress go on.
  void StopAccepting();
  void Stop();
  /// Effects for the control state; the object refers to this one.
  std::unique_ptr<AgentEffects> MakeEffects();

  std::string http_address() const;
  std::string peer_address() const;
  net::asio::io_context& context() { return traffic_.context(); }

 private:
  friend class TrafficEffects;

  net::Task<void> Handle(net::HttpExchange& exchange);
  net::Task<void> ServeChunk(net::HttpExchange& exchange, std::string_view hex);
  net::Task<void> ServeHave(net::HttpExchange& exchange, std::string_view hex);
  net::Task<void> ServeManifest(net::HttpExchange& exchange, std::string_view hex);
  net::Task<void> ServeDump(net::HttpExchange& exchange);
  net::Task<void> FetchManifest(std::string line, std::uint64_t generation, rollout::Order order,
                                std::vector<std::string> peers);
  net::Task<void> FetchChunk(std::string line, std::uint64_t generation,
                             std::shared_ptr<disk::Artifact> artifact, spread::Fetch fetch,
                             std::string address);
  net::Task<void> PollHave(std::string line, std::uint64_t generation, Digest root,
                           std::size_t chunks, spread::Poll poll);
  net::Task<void> Load(std::string line, std::uint64_t generation, rollout::Order order,
                       std::string path);
  net::Task<void> ReadEngine();
  void OpenArtifact(const std::string& line, std::uint64_t generation,
                    const std::shared_ptr<const spread::Manifest>& manifest);
  void Seal(const std::string& line, std::uint64_t generation,
            const std::shared_ptr<disk::Artifact>& artifact, const spread::Manifest& manifest);

  AgentSettings settings_;
  Metrics& metrics_;
  IoThread traffic_;
  IoThread disk_;
  disk::ArtifactStore store_;
  std::unique_ptr<EngineClient> engine_;
  net::HttpPool pool_;
  std::size_t uploads_ = 0;
  RateGate upload_;
  RateGate download_;
  PostToAgent post_;
  std::map<std::string, std::string> manifests_;
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<net::PeerTransport> transport_;
};

}  // namespace wagtailslip::process
