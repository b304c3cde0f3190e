#include "wagtailslip/process/events.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "wagtailslip/base/error.h"
#include "wagtailslip/process/clock.h"

namespace wagtailslip::process {
namespace {

constexpr EventRow kRows[] = {
    {Event::kProcessStarted, "process.started", Severity::kInfo, "the process serves"},
    {Event::kProcessStopping, "process.stopping", Severity::kInfo,
     "a graceful stop began; requests in progress go on"},
    {Event::kProcessStopped, "process.stopped", Severity::kInfo, "the process ends"},
    {Event::kStartRefused, "process.start_refused", Severity::kError,
     "settings or stored data do not allow a start"},
    {Event::kReplicaRoleChanged, "replica.role_changed", Severity::kInfo,
     "the role in the replicated log changed"},
    {Event::kStorageFailed, "replica.storage_failed", Severity::kError,
     "the data folder failed; the replica acknowledges nothing more"},
    {Event::kRecordRejected, "config.record_rejected", Severity::kWarning,
     "a committed record was refused by the state machine"},
    {Event::kInvariantViolated, "process.invariant_violated", Severity::kError,
     "an invariant does not hold; the process ends"},
    {Event::kLeaseLost, "config.lease_lost", Severity::kWarning,
     "the configuration lease ended; only lookups are answered"},
    {Event::kLeaseGained, "config.lease_gained", Severity::kInfo,
     "the configuration lease is held; all requests are served"},
    {Event::kFrameRejected, "peer.frame_rejected", Severity::kWarning,
     "a frame from another process did not decode or was out of place"},
    {Event::kMembershipChanged, "replica.membership_changed", Severity::kInfo,
     "the members of the replicated log changed"},
    {Event::kEndpointJoined, "endpoint.joined", Severity::kInfo, "an endpoint announced itself"},
    {Event::kEndpointLeft, "endpoint.left", Severity::kInfo, "an endpoint left or was removed"},
    {Event::kEndpointSuspected, "endpoint.suspected", Severity::kWarning,
     "heartbeats are missing; the endpoint gets no new work"},
    {Event::kRolloutAdvanced, "rollout.advanced", Severity::kInfo,
     "a rollout changed its state or opened a batch"},
    {Event::kReplicaStateChanged, "replica.state_changed", Severity::kInfo,
     "an endpoint's replica changed its state in a rollout"},
    {Event::kOrderFailed, "engine.order_failed", Severity::kWarning,
     "an engine refused or did not carry out an order"},
    {Event::kChunkRejected, "spread.chunk_rejected", Severity::kWarning,
     "a chunk did not match its digest; its sender is avoided"},
    {Event::kFetchFailed, "spread.fetch_failed", Severity::kInfo, "a source did not send a chunk"},
    {Event::kArtifactVerified, "spread.artifact_verified", Severity::kInfo,
     "all chunks of a version are stored and verified"},
    {Event::kArtifactSupplied, "spread.artifact_supplied", Severity::kInfo,
     "chunks were copied from a version already stored"},
    {Event::kRequestNotRun, "request.not_run", Severity::kInfo,
     "a request was refused before any endpoint ran it"},
    {Event::kRequestUnknown, "request.unknown", Severity::kWarning,
     "the outcome of a call that may not be repeated is unknown"},
    {Event::kAnswerRejected, "request.answer_rejected", Severity::kWarning,
     "an answer did not match its request and was not passed on"},
    {Event::kStreamCut, "request.stream_cut", Severity::kWarning,
     "a started stream could not be completed; the caller got an error event"},
    {Event::kOperatorCommand, "operator.command", Severity::kInfo,
     "an operator command was accepted"},
    {Event::kOperatorRefused, "operator.refused", Severity::kWarning,
     "an operator command was refused"},
    {Event::kScheduleApplied, "schedule.applied", Severity::kInfo,
     "scheduled changes of a sheet took effect"},
};

const EventRow& FindRow(Event event) {
  for (const auto& row : kRows) {
    if (row.event == event) return row;
  }
  throw Error("event has no row in the catalogue");
}

constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::info, spdlog::level::warn,
                                                 spdlog::level::err};

std::string& ProcessName() {
  static std::string name;
  return name;
}

}  // namespace

std::span<const EventRow> EventCatalogue() { return kRows; }

void LogEvent(Event event, const nlohmann::json& fields) {
  const EventRow& row = FindRow(event);
  const auto level = kLevels[static_cast<int>(row.severity)];
  if (!spdlog::should_log(level)) return;
  nlohmann::ordered_json line{{"time", FormatUtc(UtcNow())},
                              {"process", ProcessName()},
                              {"event", static_cast<int>(event)},
                              {"name", row.name},
                              {"level", spdlog::level::to_string_view(level).data()}};
  for (const auto& [key, value] : fields.items()) line[key] = value;
  // Log fields may carry bytes of a remote party, which need not be valid UTF-8.
  spdlog::log(level, "{}",
              line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

void StartLog(std::string_view process, std::string_view level) {
  ProcessName() = process;
  auto logger = spdlog::stderr_logger_mt("wagtailslip");
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
  spdlog::set_level(level == "warning" ? spdlog::level::warn
                    : level == "error" ? spdlog::level::err
                                       : spdlog::level::info);
}

}  // namespace wagtailslip::process
