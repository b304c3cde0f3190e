#include "wagtailslip/process/events.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <mutex>

#include "wagtailslip/base/error.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/log_volume.h"

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
    {Event::kServiceConfigAgreed, "service_config.agreed", Severity::kInfo,
     "a service configuration was agreed on by the control processes"},
    {Event::kServiceConfigInForce, "service_config.in_force", Severity::kInfo,
     "an ingress process routes by this version from now on"},
    {Event::kServiceConfigRefused, "service_config.refused", Severity::kWarning,
     "a service configuration is not valid and changes nothing"},
    {Event::kCommandAcknowledged, "control.command_acknowledged", Severity::kInfo,
     "a command of an operator is committed and was acknowledged"},
    {Event::kCommandUnclear, "control.command_unclear", Severity::kWarning,
     "a command of an operator was not committed in time; it may be later"},
    {Event::kLinkUp, "link.up", Severity::kInfo,
     "a link to another process is usable, or the process described itself anew"},
    {Event::kLinkLost, "link.lost", Severity::kWarning,
     "the last link to another process has ended or fallen silent"},
    {Event::kDomainDrainBegan, "drain.began", Severity::kInfo,
     "the endpoints of a failure domain get no requests any more"},
    {Event::kDomainDrainFinished, "drain.finished", Severity::kInfo,
     "the endpoints of a failure domain get requests again"},
    {Event::kEndpointJoined, "endpoint.joined", Severity::kInfo, "an endpoint announced itself"},
    {Event::kEndpointLeft, "endpoint.left", Severity::kInfo, "an endpoint left or was removed"},
    {Event::kEndpointSuspected, "endpoint.suspected", Severity::kWarning,
     "heartbeats are missing; the endpoint gets no new work"},
    {Event::kServiceEndpointChanged, "service_endpoint.changed", Severity::kInfo,
     "an endpoint announced itself, or its state, address or weights changed"},
    {Event::kServiceEndpointGone, "service_endpoint.gone", Severity::kInfo,
     "an endpoint left or was silent for too long"},
    {Event::kAnnouncementRefused, "service_endpoint.announcement_refused", Severity::kWarning,
     "an announcement cannot be read, or a field is missing or invalid; it names no endpoint"},
    {Event::kEndpointLimitChanged, "service_endpoint.limit_changed", Severity::kInfo,
     "an endpoint named another limit on the requests of all ingress processes, or none any more"},
    {Event::kEndpointLimitUnreadable, "service_endpoint.limit_unreadable", Severity::kWarning,
     "an endpoint named a limit that is no number; the one before stays in force"},
    {Event::kPermitAllocatorLost, "permits.allocator_lost", Severity::kWarning,
     "no control process grants permits; an ingress process uses its own share of the limits"},
    {Event::kPermitAllocatorRegained, "permits.allocator_regained", Severity::kInfo,
     "a control process grants permits again"},
    {Event::kRetryAllocatorStarted, "retries.allocator_started", Severity::kInfo,
     "a control process that leads grants the permits for retries from now on"},
    {Event::kRetryBlocksCommitted, "retries.blocks_committed", Severity::kInfo,
     "the log holds how many blocks of the retry budget may be in use"},
    {Event::kRetryAllocatorLost, "retries.allocator_lost", Severity::kWarning,
     "no control process grants permits for retries; an ingress process uses its own small share"},
    {Event::kRetryAllocatorRegained, "retries.allocator_regained", Severity::kInfo,
     "a control process grants permits for retries again"},
    {Event::kAttemptEndedWithEndpoint, "crashes.attempt_ended", Severity::kWarning,
     "an endpoint ended before it had generated the whole response to a request"},
    {Event::kCrashSuspectsChanged, "crashes.suspected", Severity::kWarning,
     "what several endpoints ended under and no verdict is on has changed"},
    {Event::kCrashSubjectJudged, "crashes.judged", Severity::kWarning,
     "the verdict on a part of prompts or on a request is changed"},
    {Event::kCrashVerdictsInForce, "crashes.verdicts_in_force", Severity::kInfo,
     "an ingress process judges requests by these verdicts from now on"},
    {Event::kCrashTrialEnded, "crashes.trial_ended", Severity::kInfo,
     "a granted trial of a suspect request has ended"},
    {Event::kServiceEndpointRestored, "service_endpoint.restored", Severity::kWarning,
     "an endpoint goes on announcing itself long after a call to leave and is used again"},
    {Event::kAnnouncementIgnored, "service_endpoint.announcement_ignored", Severity::kInfo,
     "an announcement is outdated, foreign or follows a call to leave, and changes nothing"},
    {Event::kWarmupAllocatorStarted, "warmup.allocator_started", Severity::kInfo,
     "a control process that leads grants the leases on cold endpoints from now on"},
    {Event::kEndpointColdChanged, "warmup.endpoint_changed", Severity::kInfo,
     "an endpoint counts as cold, and gets requests only with a lease, or is warm again"},
    {Event::kWarmupLeasesAcquired, "warmup.leases_acquired", Severity::kInfo,
     "an ingress process got leases on cold endpoints"},
    {Event::kRolloutAdvanced, "rollout.advanced", Severity::kInfo,
     "a rollout changed its state or opened a batch"},
    {Event::kReplicaStateChanged, "replica.state_changed", Severity::kInfo,
     "an endpoint's replica changed its state in a rollout"},
    {Event::kOrderFailed, "engine.order_failed", Severity::kWarning,
     "an engine refused or did not carry out an order"},
    {Event::kWeightsNamed, "weights.named", Severity::kInfo,
     "a version of weights is to be served; age_ms says how long ago it was named, delay_ms how "
     "much "
     "later this process took it to be named than the clocks say"},
    {Event::kSwapOrdered, "weights.swap_ordered", Severity::kInfo,
     "an engine was ordered to load a version"},
    {Event::kWeightsDropped, "weights.dropped", Severity::kWarning,
     "an engine is told to drop weights that newer ones have overtaken and that it still holds"},
    {Event::kChunkRejected, "spread.chunk_rejected", Severity::kWarning,
     "a chunk did not match its digest; its sender is avoided"},
    {Event::kFetchFailed, "spread.fetch_failed", Severity::kInfo, "a source did not send a chunk"},
    {Event::kArtifactVerified, "spread.artifact_verified", Severity::kInfo,
     "all chunks of a version are stored and verified"},
    {Event::kArtifactSupplied, "spread.artifact_supplied", Severity::kInfo,
     "chunks were copied from a version already stored"},
    {Event::kWeightsStaged, "weights.staged", Severity::kInfo,
     "all chunks of a version lie beside the engine and match their digests"},
    {Event::kOriginChunk, "spread.origin_chunk", Severity::kInfo,
     "a chunk arrived from the origin"},
    {Event::kLoadUnchecked, "weights.load_unchecked", Severity::kInfo,
     "an engine has begun a load, which gets no requests until the staged chunks are read back"},
    {Event::kLoadChecked, "weights.load_checked", Severity::kInfo,
     "the staged chunks of a load match their digests after the load command"},
    {Event::kLoadDamaged, "weights.load_damaged", Severity::kWarning,
     "staged chunks were damaged after the load command; layers are loaded again"},
    {Event::kEngineLost, "engine.lost", Severity::kWarning,
     "the engine beside a sidecar does not answer"},
    {Event::kEngineRegained, "engine.regained", Severity::kInfo,
     "the engine beside a sidecar answers again"},
    {Event::kRequestNotRun, "request.not_run", Severity::kInfo,
     "a request was refused before any endpoint ran it"},
    {Event::kRequestUnknown, "request.unknown", Severity::kWarning,
     "the outcome of a call that may not be repeated is unknown"},
    {Event::kAnswerRejected, "request.answer_rejected", Severity::kWarning,
     "an answer did not match its request and was not passed on"},
    {Event::kStreamCut, "request.stream_cut", Severity::kWarning,
     "a started stream could not be completed; the caller got an error event"},
    {Event::kRequestRejected, "request.rejected", Severity::kInfo,
     "a request was answered with a client error before it was sent on"},
    {Event::kRequestEnded, "request.ended_by_ingress", Severity::kInfo,
     "a request got an answer of the ingress process instead of an endpoint"},
    {Event::kAttemptEnded, "request.attempt_ended", Severity::kInfo,
     "an attempt at an endpoint ended; the entry gives what chose the endpoint and what follows"},
    {Event::kStreamBrokenOff, "request.stream_broken_off", Severity::kWarning,
     "a started stream could not be continued and the connection of the caller was closed"},
    {Event::kAnswerOvertaken, "request.answer_overtaken", Severity::kWarning,
     "an answer began on weights that were overtaken longer ago than the propagation bound"},
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

// A busy ingress process writes two lines for each of about 60 requests a second.
constexpr double kLinesPerSecond = 150;
constexpr double kLineBurst = 300;

/// Lines that may be written, shared by all threads of the process.
std::optional<std::uint64_t> AdmitLine(Event event) {
  static std::mutex mutex;
  static LogVolume volume(kLinesPerSecond, kLineBurst);
  const std::lock_guard lock(mutex);
  return volume.Admit(static_cast<int>(event), MonotonicNow());
}

/// Writes each line to standard output at once, and drops it if the reader is behind, because a log
/// must not hold up requests.
class StandardOutputSink final : public spdlog::sinks::base_sink<std::mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) ++dropped_;
  }
  void flush_() override {}

 private:
  std::uint64_t dropped_ = 0;
};

}  // namespace

std::span<const EventRow> EventCatalogue() { return kRows; }

void LogEvent(Event event, const nlohmann::json& fields) {
  const EventRow& row = FindRow(event);
  const auto level = kLevels[static_cast<int>(row.severity)];
  if (!spdlog::should_log(level)) return;
  const auto left_out = AdmitLine(event);
  if (!left_out) return;
  nlohmann::ordered_json line{{"time", FormatUtc(UtcNow())},
                              {"process", ProcessName()},
                              {"event", static_cast<int>(event)},
                              {"name", row.name},
                              {"level", spdlog::level::to_string_view(level).data()}};
  for (const auto& [key, value] : fields.items()) line[key] = value;
  if (*left_out > 0) line["lines_left_out"] = *left_out;
  // Log fields may carry bytes of a remote party, which need not be valid UTF-8.
  spdlog::log(level, "{}",
              line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

void StartLog(std::string_view process, std::string_view level, LogStream stream) {
  ProcessName() = process;
  std::shared_ptr<spdlog::logger> logger;
  if (stream == LogStream::kStandardOutput) {
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    logger =
        std::make_shared<spdlog::logger>("wagtailslip", std::make_shared<StandardOutputSink>());
  } else {
    logger = spdlog::stderr_logger_mt("wagtailslip");
  }
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
  spdlog::set_level(level == "warning" ? spdlog::level::warn
                    : level == "error" ? spdlog::level::err
                                       : spdlog::level::info);
}

}  // namespace wagtailslip::process
