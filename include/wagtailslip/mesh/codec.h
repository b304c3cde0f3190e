#pragma once

#include "wagtailslip/base/time.h"
#include "wagtailslip/mesh/member.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/placement.h"

namespace wagtailslip::wire {
class MeshMember;
class InstanceRecord;
class InstanceReading;
}  // namespace wagtailslip::wire

namespace wagtailslip::mesh {

wire::MeshMember ToWire(const Member& member);
/// @throws MeshError if an enumeration has an unknown value
Member FromWire(const wire::MeshMember& member);

/// Encodes times as ages, because the clocks of two machines are not comparable.
wire::InstanceRecord ToWire(const serving::EndpointRecord& record, TimePoint now);
/// @throws MeshError if an enumeration has an unknown value
serving::EndpointRecord FromWire(const wire::InstanceRecord& record, TimePoint now);

wire::InstanceReading ToWire(const serving::EngineStatus& reading);
serving::EngineStatus FromWire(const wire::InstanceReading& reading);

}  // namespace wagtailslip::mesh
