#pragma once

#include <map>
#include <string>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/error.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/rollout/controller.h"

namespace wagtailslip::process {

/// The engine refused an order or could not be reached.
class EngineError : public Error {
 public:
  using Error::Error;
};

/// What an engine serves of one model or adapter.
struct ServedArtifact {
  std::string version;
  Digest root;
};

/// Load that an engine reports.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
};

/// Orders and readings of one endpoint. The users' own engines come with other adapters.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Orders the engine to serve an artifact.
  /// @param path file of the verified artifact
  /// @throws EngineError
  virtual net::Task<void> Load(rollout::Order order, std::string path) = 0;
  /// What the engine serves, by line key. Empty for an endpoint without weights.
  /// @throws EngineError
  virtual net::Task<std::map<std::string, ServedArtifact>> ReadState() = 0;
  /// @throws EngineError
  virtual net::Task<EngineLoad> ReadLoad() = 0;
};

/// HTTP adapter of the engine interface in docs/interfaces.md.
class HttpEngineClient final : public EngineClient {
 public:
  explicit HttpEngineClient(net::tcp::endpoint address) : address_(std::move(address)) {}
  net::Task<void> Load(rollout::Order order, std::string path) override;
  net::Task<std::map<std::string, ServedArtifact>> ReadState() override;
  net::Task<EngineLoad> ReadLoad() override;

 private:
  net::tcp::endpoint address_;
};

/// Adapter of a plain service, which has no weights.
class ServiceClient final : public EngineClient {
 public:
  explicit ServiceClient(net::tcp::endpoint address, std::uint32_t slots)
      : address_(std::move(address)), slots_(slots) {}
  net::Task<void> Load(rollout::Order order, std::string path) override;
  net::Task<std::map<std::string, ServedArtifact>> ReadState() override;
  net::Task<EngineLoad> ReadLoad() override;

 private:
  net::tcp::endpoint address_;
  std::uint32_t slots_;
};

}  // namespace wagtailslip::process
