#pragma once

#include <string>
#include <vector>

#include "platform/engine_calls.h"
#include "platform/engine_state.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::sidecar {

/// Calls to the engine beside this process. All of them may be repeated.
class EngineClient {
 public:
  EngineClient(net::asio::any_io_executor executor, const net::tcp::endpoint& address)
      : pool_(std::move(executor)), address_(address) {}

  /// @throws net::NetError, platform::PlatformError
  net::Task<platform::EngineState> ReadState();
  net::Task<std::vector<std::uint32_t>> ListStagedChunks(std::string model);
  /// A staged chunk; empty if it is not there.
  net::Task<std::string> ReadStagedChunk(std::string model, std::uint32_t chunk);
  /// @throws net::NetError if the engine refuses
  net::Task<void> StageChunk(std::string model, std::uint32_t chunk, std::string bytes);
  net::Task<platform::OrderAnswer> OrderLoad(std::string model, std::int64_t version);

 private:
  /// Calls on a kept connection, and once more on a new one if that fails.
  net::Task<net::HttpResponse> Call(net::HttpRequest request);

  net::HttpPool pool_;
  net::tcp::endpoint address_;
};

}  // namespace wagtailslip::sidecar
