// HTTP handlers that serve chunks to other sidecars, and metrics.
#include <algorithm>

#include "gen/mesh_types.h"
#include "sidecar_node.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"

namespace wagtailslip::sidecar {
namespace {

using net::Task;
using process::MonotonicNow;

constexpr std::size_t kMaxConcurrentUploads = 4;

}  // namespace

std::shared_ptr<Weights> SidecarNode::FindWeights(std::string_view model,
                                                  std::int64_t version) const {
  for (const auto& it : {incoming_, current_, previous_}) {
    if (it && it->model == model && it->version == version) return it;
  }
  return nullptr;
}

Task<void> SidecarNode::ServeWeights(net::HttpExchange& exchange) {
  // /weights/MODEL/VERSION/(have|digests|chunks/N)
  std::vector<std::string> parts;
  std::string_view path = exchange.path();
  while (!path.empty()) {
    path.remove_prefix(1);
    const auto end = path.find('/');
    parts.emplace_back(path.substr(0, end));
    path = end == std::string_view::npos ? std::string_view() : path.substr(end);
  }
  std::shared_ptr<Weights> weights;
  if (parts.size() >= 4 && parts[0] == "weights") {
    weights = FindWeights(parts[1], std::strtoll(parts[2].c_str(), nullptr, 10));
  }
  std::string body;
  net::HttpHeaders headers;
  if (weights && parts[3] == "have") {
    body = weights->session->have().ToBytes();
    co_return co_await exchange.Respond(200, body, headers, "application/octet-stream");
  }
  if (weights && parts[3] == "digests") {
    body = EncodeDigests(*weights->manifest);
    co_return co_await exchange.Respond(200, body, headers, "text/plain");
  }
  const std::size_t chunk =
      parts.size() == 5 ? std::strtoul(parts[4].c_str(), nullptr, 10) : ~std::size_t{0};
  if (!weights || chunk >= weights->chunks.size() || weights->chunks[chunk].empty()) {
    co_return co_await exchange.Respond(404, body);
  }
  // With few concurrent uploads each of them completes sooner, and its receiver can serve the chunk
  // sooner. Status 429 tells the other peers to ask another source.
  if (active_uploads_ >= kMaxConcurrentUploads) co_return co_await exchange.Respond(429, body);
  ++active_uploads_;
  std::exception_ptr problem;
  try {
    body = weights->chunks[chunk];
    const Duration pause = upload_limiter_.ReserveStart(body.size(), MonotonicNow());
    co_await process::Sleep(pause);
    metrics_.Add(process::Counter::kServedChunkBytes, body.size());
    co_await exchange.Respond(200, body, headers, "application/octet-stream");
  } catch (const net::NetError&) {
    problem = std::current_exception();
  }
  --active_uploads_;
  last_upload_at_ = MonotonicNow();
  if (problem) std::rethrow_exception(problem);
}

Task<void> SidecarNode::ServeMetrics(net::HttpExchange& exchange) {
  net::HttpHeaders headers;
  std::string body = metrics_.Text();
  if (exchange.path() == "/debug/state") {
    body = nlohmann::json{{"name", settings_.name},
                          {"incarnation", incarnation_},
                          {"intended", IntendedVersion()},
                          {"current", current_ ? current_->version : 0},
                          {"incoming", incoming_ ? incoming_->version : 0},
                          {"present", incoming_ ? incoming_->session->present() : 0},
                          {"engine", engine_state_ ? engine_state_->weights.complete_version : 0}}
               .dump();
  }
  co_await exchange.Respond(200, body, headers, "text/plain; version=0.0.4");
}

}  // namespace wagtailslip::sidecar
