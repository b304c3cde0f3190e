#pragma once

#include <array>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace wagtailslip::process {

/// Log events. The number is stable: operators and alerts refer to it.
enum class Event {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kStartRefused = 1004,
  kReplicaRoleChanged = 2001,
  kStorageFailed = 2002,
  kRecordRejected = 2003,
  kInvariantViolated = 2004,
  kLeaseLost = 2005,
  kLeaseGained = 2006,
  kFrameRejected = 2007,
  kMembershipChanged = 2008,
  kServiceConfigAgreed = 2009,
  kServiceConfigInForce = 2010,
  kServiceConfigRefused = 2011,
  kCommandAcknowledged = 2012,
  kCommandUnclear = 2013,
  kLinkUp = 2014,
  kLinkLost = 2015,
  kDomainDrainBegan = 2016,
  kDomainDrainFinished = 2017,
  kEndpointJoined = 3001,
  kEndpointLeft = 3002,
  kEndpointSuspected = 3003,
  kServiceEndpointChanged = 3004,
  kServiceEndpointGone = 3005,
  kAnnouncementRefused = 3006,
  kEndpointLimitChanged = 3007,
  kEndpointLimitUnreadable = 3008,
  kPermitAllocatorLost = 3009,
  kPermitAllocatorRegained = 3010,
  kRetryAllocatorStarted = 3011,
  kRetryBlocksCommitted = 3012,
  kRetryAllocatorLost = 3013,
  kRetryAllocatorRegained = 3014,
  kAttemptEndedWithEndpoint = 3015,
  kCrashSuspectsChanged = 3016,
  kCrashSubjectJudged = 3017,
  kCrashVerdictsInForce = 3018,
  kCrashTrialEnded = 3019,
  kServiceEndpointRestored = 3020,
  kAnnouncementIgnored = 3021,
  kWarmupAllocatorStarted = 3022,
  kEndpointColdChanged = 3023,
  kWarmupLeasesAcquired = 3024,
  kRolloutAdvanced = 3101,
  kReplicaStateChanged = 3102,
  kOrderFailed = 3103,
  kWeightsNamed = 3104,
  kSwapOrdered = 3105,
  kWeightsDropped = 3106,
  kChunkRejected = 3201,
  kFetchFailed = 3202,
  kArtifactVerified = 3203,
  kArtifactSupplied = 3204,
  kWeightsStaged = 3205,
  kOriginChunk = 3206,
  kLoadUnchecked = 3207,
  kLoadChecked = 3208,
  kLoadDamaged = 3209,
  kEngineLost = 3301,
  kEngineRegained = 3302,
  kRequestNotRun = 4001,
  kRequestUnknown = 4002,
  kAnswerRejected = 4003,
  kStreamCut = 4004,
  kRequestRejected = 4005,
  kRequestEnded = 4006,
  kAttemptEnded = 4007,
  kStreamBrokenOff = 4008,
  kAnswerOvertaken = 4009,
  kOperatorCommand = 5001,
  kOperatorRefused = 5002,
  kScheduleApplied = 5003,
};

/// Severity of an event.
enum class Severity { kInfo, kWarning, kError };

/// One row of the catalogue.
struct EventRow {
  Event event;
  std::string_view name;
  Severity severity;
  std::string_view meaning;
};

/// All events in order of their numbers; docs/events.md lists the same rows.
std::span<const EventRow> EventCatalogue();

/// Writes one structured log line: a JSON object with time, event number, name and the fields.
/// @param fields JSON object with further members
void LogEvent(Event event, const nlohmann::json& fields = nlohmann::json::object());

enum class LogStream { kStandardError, kStandardOutput };

/// Starts logging. Lines of one event beyond a rate are left out and counted in the next one.
/// @param process id written on each line
/// @param level lowest severity that is written: info, warning or error
/// @param stream standard output is written without waiting; lines are lost if nobody reads it
void StartLog(std::string_view process, std::string_view level,
              LogStream stream = LogStream::kStandardError);

}  // namespace wagtailslip::process
