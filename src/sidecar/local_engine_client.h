#pragma once

#include <string>
#include <vector>

#include "platform/engine_calls.h"
#include "platform/engine_state.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::sidecar {

/// HTTP client for the engine that this sidecar serves. All calls but the load command are
/// idempotent.
class LocalEngineClient {
 public:
  LocalEngineClient(net::asio::any_io_executor executor, const net::tcp::endpoint& address)
      : pool_(std::move(executor)), address_(address) {}

  /// @throws net::NetError, platform::PlatformError if the response cannot be decoded
  net::Task<platform::EngineState> ReadState();
  /// Returns the indexes of the staged chunks of a model; empty if the engine does not list them.
  /// @throws net::NetError, platform::PlatformError if the response cannot be decoded
  net::Task<std::vector<std::uint32_t>> ListStagedChunks(std::string model);
  /// Returns the bytes of a staged chunk, or an empty string if the chunk is not staged.
  /// @throws net::NetError
  net::Task<std::string> ReadStagedChunk(std::string model, std::uint32_t chunk);
  /// Stores one chunk in the staging area of the engine.
  /// @throws net::NetError, also if the engine refuses the chunk
  net::Task<void> StageChunk(std::string model, std::uint32_t chunk, std::string bytes);
  /// Sends the engine a command to load staged weights, once.
  /// @throws net::NetError; the engine may carry out the command all the same
  net::Task<platform::LoadResult> SendLoadCommand(platform::LoadCommand command);

 private:
  /// Sends a request on a pooled connection, and retries once on a new one if that fails.
  net::Task<net::HttpResponse> Call(net::HttpRequest request);

  net::HttpPool pool_;
  net::tcp::endpoint address_;
};

}  // namespace wagtailslip::sidecar
