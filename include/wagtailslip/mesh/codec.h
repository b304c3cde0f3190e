#pragma once

#include "wagtailslip/base/time.h"
#include "wagtailslip/mesh/member.h"
#include "wagtailslip/mesh/member_list.h"
#include "wagtailslip/serving/crash_judge.h"
#include "wagtailslip/serving/crash_verdicts.h"
#include "wagtailslip/serving/drained_domains.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/permits.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/retry_permits.h"
#include "wagtailslip/serving/warmup_leases.h"

namespace wagtailslip::wire {
class MeshMember;
class MemberChanges;
class InstanceSummary;
class InstanceRecord;
class InstanceReading;
class EndpointLimit;
class MeshMessage;
class Permits;
class CrashReport;
class CrashVerdict;
class CrashVerdicts;
class DrainedDomains;
class Retries;
class SuspectSubject;
class WarmupLeases;
}  // namespace wagtailslip::wire

namespace wagtailslip::mesh {

wire::MeshMember ToWire(const Member& member);
/// @throws MeshError if an enumeration has an unknown value
Member FromWire(const wire::MeshMember& member);

wire::MemberChanges ToWire(const MemberChanges& changes);
/// @throws MeshError if an enumeration has an unknown value
MemberChanges FromWire(const wire::MemberChanges& changes);

wire::InstanceSummary ToWire(const serving::EndpointSummary& summary);
/// @throws MeshError if an age is negative
serving::EndpointSummary FromWire(const wire::InstanceSummary& summary);

/// Encodes times as ages, because the clocks of two machines are not comparable.
wire::InstanceRecord ToWire(const serving::EndpointRecord& record, TimePoint now);
/// @throws MeshError if an enumeration has an unknown value
serving::EndpointRecord FromWire(const wire::InstanceRecord& record, TimePoint now);

wire::InstanceReading ToWire(const serving::EngineStatus& reading);
serving::EngineStatus FromWire(const wire::InstanceReading& reading);

wire::EndpointLimit ToWire(const serving::LimitObservation& observation, TimePoint now);
/// @throws MeshError if the limit is not a number of at least 0
serving::LimitObservation FromWire(const wire::EndpointLimit& limit, TimePoint now);

/// Encodes the rows and the limits of a request for permits.
wire::MeshMessage ToWire(const serving::PermitRequest& request, TimePoint now);
/// @param process process that sent the message
/// @throws MeshError if a limit is not a number of at least 0
serving::PermitRequest PermitRequestFromWire(const wire::MeshMessage& message,
                                             const std::string& process, TimePoint now);
wire::Retries ToWire(const serving::RetryReport& report);
/// @param process process that sent the message
/// @throws MeshError if a number is negative or too large
serving::RetryReport RetryReportFromWire(const wire::Retries& retries, const std::string& process,
                                         std::int64_t incarnation);
wire::Retries ToWire(const serving::RetryGrant& grant);
/// @throws MeshError if a number is negative or too large
serving::RetryGrant RetryGrantFromWire(const wire::Retries& retries);

wire::CrashReport ToWire(const serving::CrashReport& report, TimePoint now);
/// @throws MeshError if an age is negative, or a kind or an outcome is unknown
serving::CrashReport FromWire(const wire::CrashReport& report, TimePoint now);
wire::SuspectSubject ToWire(const serving::SuspectSubject& suspect);
/// @throws MeshError if the kind is unknown
serving::SuspectSubject FromWire(const wire::SuspectSubject& suspect);
wire::CrashVerdict ToWire(const serving::CrashVerdict& verdict);
/// @throws MeshError if the state or the kind is unknown
serving::CrashVerdict FromWire(const wire::CrashVerdict& verdict);
wire::CrashVerdicts ToWire(const serving::CrashVerdictList& list);
serving::CrashVerdictList FromWire(const wire::CrashVerdicts& list);

wire::WarmupLeases ToWire(const serving::WarmupLeaseRequest& request);
/// @param process process that sent the message, with its incarnation
serving::WarmupLeaseRequest WarmupRequestFromWire(const wire::WarmupLeases& leases,
                                                  const std::string& process);
wire::WarmupLeases ToWire(const serving::WarmupLeaseGrant& grant);
/// @throws MeshError if the lifetime is negative
serving::WarmupLeaseGrant WarmupGrantFromWire(const wire::WarmupLeases& leases);
/// Encodes the ends of drains up to serving::kDrainEndTtl ago, with their ages.
wire::DrainedDomains ToWire(const serving::DrainedDomains& drained, TimePoint now);
/// @throws MeshError if an age is negative
serving::DrainedDomains FromWire(const wire::DrainedDomains& drained, TimePoint now);

wire::Permits ToWire(const serving::PermitGrant& grant);
serving::PermitGrant PermitGrantFromWire(const wire::Permits& permits);

}  // namespace wagtailslip::mesh
