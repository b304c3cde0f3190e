#pragma once

#include "wagtailslip/mesh/member.h"

namespace wagtailslip::wire {
class MeshMessage;
}

namespace wagtailslip::mesh {

/// Receives the events of a MeshNode.
class MeshListener {
 public:
  virtual ~MeshListener() = default;
  /// A link to a process was established, or the process has sent an updated description.
  /// @param new_link messages to the process now take another link than before, so that earlier
  ///     ones may be lost
  virtual void OnMemberUpdated(const Member& member, bool new_link) = 0;
  /// The last link to a process was closed.
  virtual void OnMemberLost(const Member& member) = 0;
  virtual void OnMessage(const Member& from, const wire::MeshMessage& message) = 0;
};

}  // namespace wagtailslip::mesh
