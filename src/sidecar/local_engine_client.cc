#include "local_engine_client.h"

namespace wagtailslip::sidecar {
namespace {

using net::Task;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
// The largest response is a staged chunk. The limit bounds the memory that a faulty engine can make
// this process allocate.
constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{8} * 1024 * 1024;
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

}  // namespace

Task<net::HttpResponse> LocalEngineClient::Call(net::HttpRequest request) {
  net::HttpResponse response;
  for (const bool new_connection : {false, true}) {
    std::exception_ptr problem;
    try {
      auto connection = co_await pool_.Acquire(address_, kConnectTimeout, new_connection);
      connection->set_body_limit(kMaxResponseBytes);
      net::HttpRequest copy = request;
      response = co_await connection->Call(std::move(copy), kCallTimeout);
      pool_.Release(address_, std::move(connection));
      co_return response;
    } catch (const net::NetError&) {
      problem = std::current_exception();
    }
    // The engine may have closed the pooled connection, so only a failure on a new one counts.
    if (new_connection) std::rethrow_exception(problem);
  }
  co_return response;
}

Task<platform::EngineState> LocalEngineClient::ReadState() {
  const auto response = co_await Call(platform::MakeStateRequest());
  if (response.status != kOk) {
    throw net::NetError("engine state request failed with HTTP status " +
                        std::to_string(response.status));
  }
  co_return platform::DecodeEngineState(response.body);
}

Task<std::vector<std::uint32_t>> LocalEngineClient::ListStagedChunks(std::string model) {
  const auto response = co_await Call(platform::MakeStagedListRequest(model));
  if (response.status != kOk) co_return std::vector<std::uint32_t>();
  co_return platform::DecodeStagedList(response.body);
}

Task<std::string> LocalEngineClient::ReadStagedChunk(std::string model, std::uint32_t chunk) {
  auto response = co_await Call(platform::MakeStagedChunkRequest(model, chunk));
  if (response.status == kNotFound) co_return std::string();
  if (response.status != kOk) {
    throw net::NetError("reading a staged chunk from the engine failed with HTTP status " +
                        std::to_string(response.status));
  }
  co_return std::move(response.body);
}

Task<void> LocalEngineClient::StageChunk(std::string model, std::uint32_t chunk,
                                         std::string bytes) {
  auto request = platform::MakeStageRequest(model, chunk, std::move(bytes));
  const auto response = co_await Call(std::move(request));
  if (response.status / 100 != 2) {
    throw net::NetError("staging a chunk at the engine failed with HTTP status " +
                        std::to_string(response.status));
  }
}

Task<platform::LoadResult> LocalEngineClient::SendLoadCommand(platform::LoadCommand command) {
  // A pooled connection may be stale, and a command whose response is missing must not be repeated:
  // the engine may have accepted it, and may take the staged chunks again with each acceptance.
  auto connection = co_await pool_.Acquire(address_, kConnectTimeout, true);
  auto request = platform::MakeLoadRequest(command);
  const auto response = co_await connection->Call(std::move(request), kCallTimeout);
  pool_.Release(address_, std::move(connection));
  co_return platform::DecodeLoadResult(response.status);
}

}  // namespace wagtailslip::sidecar
