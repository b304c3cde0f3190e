#include "origin/origin_server.h"

#include <algorithm>

namespace wagtailslip::tools {
namespace {

constexpr std::string_view kChunkPrefix = "/chunks/";
constexpr std::string_view kModelPrefix = "/models/";
constexpr std::string_view kManifestSuffix = "/manifest";
/// Piece in which concurrent answers take turns on the link.
constexpr std::size_t kPieceBytes = 64ULL * 1024;

}  // namespace

const std::vector<std::string_view>& OriginServer::FaultNames() {
  static const std::vector<std::string_view> kNames{"delay_ms", "stall", "fail",     "refuse",
                                                    "corrupt",  "die",   "die_after"};
  return kNames;
}

OriginServer::OriginServer(const OriginSettings& settings)
    : ToolServer(FaultNames(), settings.server),
      store_(settings.chunk_bytes, settings.max_bytes),
      link_(settings.link_bytes_per_second, kPieceBytes),
      requests_(settings.requests_per_second, settings.request_burst) {
  for (const auto& spec : settings.artifacts) store_.Add(spec);
  Route(net::http::verb::get, std::string(kModelPrefix),
        [this](net::HttpExchange& exchange) { return GetManifest(exchange); });
  Route(net::http::verb::get, std::string(kChunkPrefix),
        [this](net::HttpExchange& exchange) { return GetChunk(exchange); });
}

Json OriginServer::Counters() const {
  std::uint64_t sends = 0;
  std::uint64_t most = 0;
  for (const auto& [digest, n] : chunk_sends_) {
    sends += n;
    most = std::max(most, n);
  }
  Json json;
  json["requests"] = request_count_;
  json["manifests"] = manifest_count_;
  json["rate_limited"] = limited_count_;
  json["corrupted"] = corrupted_count_;
  json["bytes_sent"] = bytes_sent_;
  json["chunks_sent"] = sends;
  json["chunk_sends_max"] = most;
  json["unique_bytes"] = store_.unique_bytes();
  json["artifacts"] = Json::array();
  for (const auto& [key, manifest] : store_.manifests()) {
    std::uint64_t sent = 0;
    for (const auto& chunk : manifest.chunks) {
      const auto it = chunk_sends_.find(chunk.digest);
      if (it != chunk_sends_.end()) sent += it->second * chunk.size;
    }
    Json row;
    row["model"] = manifest.model;
    row["version"] = manifest.version;
    row["root"] = manifest.root.Hex();
    row["bytes"] = manifest.Bytes();
    row["copies_sent"] = static_cast<double>(sent) / static_cast<double>(manifest.Bytes());
    json["artifacts"].push_back(std::move(row));
  }
  return json;
}

net::Task<bool> OriginServer::Admit(net::HttpExchange& exchange) {
  ++request_count_;
  const Duration wait = requests_.TryTake(1, Now());
  if (wait > Duration::zero()) {
    ++limited_count_;
    net::HttpHeaders headers{{"Retry-After", RetryAfter(wait)}};
    co_await RespondError(exchange, 429, "rate_limited", "over the request rate limit", headers);
    co_return false;
  }
  co_return co_await PassFaults(exchange);
}

net::Task<void> OriginServer::GetManifest(net::HttpExchange& exchange) {
  std::string name(exchange.path().substr(kModelPrefix.size()));
  if (!co_await Admit(exchange)) co_return;
  const auto slash = name.find('/');
  const Manifest* manifest = nullptr;
  if (name.ends_with(kManifestSuffix) && slash != std::string::npos) {
    name.resize(name.size() - kManifestSuffix.size());
    if (slash < name.size()) {
      manifest = store_.FindManifest(name.substr(0, slash), name.substr(slash + 1));
    }
  }
  if (manifest == nullptr) {
    co_await RespondError(exchange, 404, "unknown_version", "no such model version");
    co_return;
  }
  ++manifest_count_;
  std::string body = ToJson(*manifest).dump();
  co_await Sleep(link_.Reserve(static_cast<double>(body.size()), Now()));
  bytes_sent_ += body.size();
  co_await exchange.Respond(200, std::move(body));
}

net::Task<void> OriginServer::GetChunk(net::HttpExchange& exchange) {
  const auto digest = Digest::FromHex(exchange.path().substr(kChunkPrefix.size()));
  if (!co_await Admit(exchange)) co_return;
  const std::string* found = digest ? store_.FindChunk(*digest) : nullptr;
  if (found == nullptr) {
    co_await RespondError(exchange, 404, "unknown_chunk", "no such chunk");
    co_return;
  }
  std::string bytes = *found;
  if (faults().Hit(&FaultValues::corrupt)) {
    ++corrupted_count_;
    bytes[bytes.size() / 2] ^= 1;
  }
  co_await SendChunk(exchange, std::move(bytes));
  ++chunk_sends_[*digest];
}

net::Task<void> OriginServer::SendChunk(net::HttpExchange& exchange, std::string bytes) {
  if (!link_.limited()) {
    bytes_sent_ += bytes.size();
    co_await exchange.Respond(200, std::move(bytes), {}, "application/octet-stream");
    co_return;
  }
  net::HttpHeaders headers{{"X-Content-Bytes", std::to_string(bytes.size())}};
  co_await exchange.StartStream(200, headers, "application/octet-stream");
  for (std::size_t offset = 0; offset < bytes.size(); offset += kPieceBytes) {
    // A stall that is switched on mid-transfer stops the transfers that it hits at a piece.
    if (faults().values().stall >= 1) co_await Stall();
    const auto piece = std::string_view(bytes).substr(offset, kPieceBytes);
    co_await Sleep(link_.Reserve(static_cast<double>(piece.size()), Now()));
    bytes_sent_ += piece.size();
    co_await exchange.WriteChunk(piece);
  }
  co_await exchange.EndStream();
}

}  // namespace wagtailslip::tools
