#include "endpoint_reports.h"

#include <algorithm>

#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/error.h"
#include "wagtailslip/config/state_machine.h"

namespace wagtailslip::process {
namespace {

// A report that is older stops new work: the agent may have begun to drain since.
constexpr Duration kReportLease = std::chrono::milliseconds(1500);

Digest ReadDigest(const std::string& bytes) {
  Digest digest;
  if (bytes.size() != digest.bytes.size()) throw codec::CodecError("report has a wrong digest");
  std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
  return digest;
}

rollout::Progress ToProgress(const wire::EndpointReport& report, const wire::LineReport& line,
                             TimePoint now) {
  constexpr int kLast = static_cast<int>(rollout::ReplicaState::kExcluded);
  if (line.replica_state < 0 || line.replica_state > kLast) {
    throw codec::CodecError("report has an unknown replica state");
  }
  rollout::Progress progress;
  progress.endpoint_id = report.endpoint_id;
  progress.incarnation = static_cast<std::uint64_t>(report.incarnation);
  progress.state = static_cast<rollout::ReplicaState>(line.replica_state);
  progress.target_root = ReadDigest(line.target_root);
  progress.chunks_present = static_cast<std::uint32_t>(line.chunks_present);
  progress.chunks_total = static_cast<std::uint32_t>(line.chunks_total);
  progress.served_root = ReadDigest(line.served_root);
  progress.error = line.error;
  progress.received_at = now;
  return progress;
}

}  // namespace

bool EndpointReports::Take(const wire::EndpointReport& report, const std::string& home,
                           TimePoint now) {
  auto& row = rows_[report.endpoint_id];
  const auto incarnation = static_cast<std::uint64_t>(report.incarnation);
  if (incarnation < row.incarnation) return false;
  if (incarnation == row.incarnation && report.report_number <= row.number) return false;
  if (incarnation > row.incarnation) {
    for (auto& [line, endpoints] : progress_) endpoints.erase(report.endpoint_id);
  }
  row.incarnation = incarnation;
  row.number = report.report_number;
  row.healthy = report.healthy;
  row.received = now;
  row.home = home;
  row.load.sequence = static_cast<std::uint64_t>(report.report_number);
  row.load.slots = static_cast<std::uint32_t>(std::max(1, report.slots));
  row.load.running = static_cast<std::uint32_t>(report.running);
  row.load.waiting = static_cast<std::uint32_t>(report.waiting);
  row.load.measured_at = now;
  for (const auto& line : report.lines) {
    progress_[config::ArtifactKey(line.model, line.adapter)][report.endpoint_id] =
        ToProgress(report, line, now);
  }
  if (home.empty()) relay_[report.endpoint_id] = report;
  return true;
}

void EndpointReports::SetAgentAddress(const std::string& endpoint, const std::string& address) {
  rows_[endpoint].agent_frame_address = address;
}

void EndpointReports::Remove(const std::string& endpoint) {
  rows_.erase(endpoint);
  relay_.erase(endpoint);
  for (auto& [line, endpoints] : progress_) endpoints.erase(endpoint);
}

const EndpointReports::Row* EndpointReports::Find(const std::string& endpoint) const {
  const auto it = rows_.find(endpoint);
  return it == rows_.end() ? nullptr : &it->second;
}

const rollout::Progress* EndpointReports::FindProgress(const std::string& line,
                                                       const std::string& endpoint) const {
  const auto it = progress_.find(line);
  if (it == progress_.end()) return nullptr;
  const auto row = it->second.find(endpoint);
  return row == it->second.end() ? nullptr : &row->second;
}

wire::LoadBatch EndpointReports::TakeRelay() {
  wire::LoadBatch batch;
  for (auto& [endpoint, report] : relay_) batch.reports.push_back(std::move(report));
  relay_.clear();
  return batch;
}

std::vector<traffic::RoutingEndpoint> EndpointReports::RoutingEndpoints(
    const config::StateMachine& machine, TimePoint now) const {
  std::vector<traffic::RoutingEndpoint> result;
  for (const auto& [id, endpoint] : machine.state().endpoints) {
    if (!endpoint.present) continue;
    // An endpoint whose report has not arrived yet is known but gets no work.
    static const Row kNoReport;
    const Row* found = Find(id);
    const Row* row = found == nullptr ? &kNoReport : found;
    traffic::RoutingEndpoint out;
    out.id = id;
    out.incarnation = endpoint.info.incarnation;
    out.kind = endpoint.info.role;
    out.address = endpoint.info.address;
    out.model = endpoint.info.model;
    out.region = endpoint.info.region;
    out.failure_domain = endpoint.info.failure_domain;
    out.load = row->load;
    out.draining = endpoint.draining;
    // A service serves no weights that could change, so an old report does not stop its work; the
    // ejector finds out whether it answers. Behind a partition this keeps lookups answered.
    const bool service = endpoint.info.role == config::EndpointRole::kService;
    const bool fresh = service || now - row->received < kReportLease;
    const bool current = row->healthy && row->incarnation == endpoint.info.incarnation && fresh;
    out.serving = current ? traffic::ServingState::kServing : traffic::ServingState::kFailed;
    if (endpoint.info.role == config::EndpointRole::kEngine) {
      const auto* progress = FindProgress(out.model, id);
      const auto* line = machine.FindVersionHistory(out.model);
      const bool loaded = progress != nullptr && progress->served_root != Digest{};
      if (loaded) out.version = progress->served_root;
      const bool allowed =
          loaded && (line == nullptr || rollout::DecideRouting(*line, endpoint, progress).allowed);
      if (current && !allowed) out.serving = traffic::ServingState::kLoading;
      for (const auto& [key, endpoints] : progress_) {
        if (!key.starts_with(out.model + "/")) continue;
        const auto adapter = endpoints.find(id);
        const auto* adapter_line =
            machine.FindVersionHistory(out.model, key.substr(out.model.size() + 1));
        if (adapter == endpoints.end() || adapter->second.served_root == Digest{}) continue;
        if (adapter_line != nullptr &&
            !rollout::DecideRouting(*adapter_line, endpoint, &adapter->second).allowed) {
          continue;
        }
        out.adapters[key.substr(out.model.size() + 1)] = adapter->second.served_root;
      }
    }
    result.push_back(std::move(out));
  }
  return result;
}

}  // namespace wagtailslip::process
