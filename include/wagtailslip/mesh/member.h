#pragma once

#include <cstdint>
#include <string>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::mesh {

/// A message contains an invalid value, or the listening socket cannot be opened.
class MeshError : public Error {
 public:
  using Error::Error;
};

/// Program that a process runs.
enum class MemberKind { kControl, kIngress, kSidecar };
inline constexpr EnumTable<MemberKind, 3> kMemberKinds{{{{MemberKind::kControl, "control"},
                                                         {MemberKind::kIngress, "ingress"},
                                                         {MemberKind::kSidecar, "sidecar"}}}};

/// Value of Member::protocol of processes that understand changes of member lists and summaries of
/// endpoints, and ask for the state that they lack.
inline constexpr int kMeshProtocol = 1;

/// Description of a process that it sends on its links.
struct Member {
  /// Mesh address "ip:port" that the process listens on; also its id.
  std::string process;
  MemberKind kind = MemberKind::kControl;
  std::string failure_domain;
  std::string region;
  /// Address that the process serves: for callers on an ingress process, for operators on a control
  /// process, of the engine on a sidecar.
  std::string service_address;
  /// Whether the process accepts new work.
  bool accepting = false;
  /// Distinguishes restarts of the process.
  std::int64_t incarnation = 0;
  /// What the process understands: 0 is an earlier release, kMeshProtocol this one.
  int protocol = 0;

  /// Id of the process in this incarnation.
  std::string Run() const { return process + "#" + std::to_string(incarnation); }
  bool operator==(const Member&) const = default;
};

}  // namespace wagtailslip::mesh
