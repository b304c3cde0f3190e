#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/pacing.h"
#include "common/tool_server.h"
#include "origin/artifact.h"

namespace wagtailslip::tools {

/// Settings of the weight store and origin.
struct OriginSettings {
  ServerSettings server;
  std::vector<ArtifactSpec> artifacts;
  std::uint64_t chunk_bytes = 1024ULL * 1024;
  std::uint64_t max_bytes = 4ULL * 1024 * 1024 * 1024;
  /// Rate of the link that all requests share; 0 means no limit.
  double link_bytes_per_second = 0;
  /// Rate of requests over which the answer is 429; 0 means no limit.
  double requests_per_second = 0;
  double request_burst = 10;
};

/// Serves manifests and chunks of synthetic artifacts over a rate-limited link.
class OriginServer : public ToolServer {
 public:
  static const std::vector<std::string_view>& FaultNames();

  /// @throws ToolError if an artifact can't be generated
  explicit OriginServer(const OriginSettings& settings);

  const ArtifactStore& store() const { return store_; }

 protected:
  Json Counters() const override;

 private:
  net::Task<void> GetManifest(net::HttpExchange& exchange);
  net::Task<void> GetChunk(net::HttpExchange& exchange);
  net::Task<bool> Admit(net::HttpExchange& exchange);
  net::Task<void> SendChunk(net::HttpExchange& exchange, std::string bytes);

  ArtifactStore store_;
  TokenBucket link_;
  TokenBucket requests_;
  std::uint64_t request_count_ = 0;
  std::uint64_t manifest_count_ = 0;
  std::uint64_t limited_count_ = 0;
  std::uint64_t corrupted_count_ = 0;
  std::uint64_t bytes_sent_ = 0;
  /// Chunks sent whole, corrupted ones included.
  std::unordered_map<Digest, std::uint64_t> chunk_sends_;
};

}  // namespace wagtailslip::tools
