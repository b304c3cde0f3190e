#pragma once

#include "wagtailslip/mesh/member.h"

namespace wagtailslip::wire {
class MeshMessage;
}

namespace wagtailslip::mesh {

/// What a process hears on its links.
class MeshListener {
 public:
  virtual ~MeshListener() = default;
  /// A process is reachable now, or described itself anew.
  virtual void OnMemberUpdated(const Member& member) = 0;
  /// The last link to a process is gone.
  virtual void OnMemberLost(const Member& member) = 0;
  virtual void OnMessage(const Member& from, const wire::MeshMessage& message) = 0;
};

}  // namespace wagtailslip::mesh
