#pragma once

#include <cstdint>
#include <string>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::mesh {

/// A frame that does not decode, or a link that cannot be made.
class MeshError : public Error {
 public:
  using Error::Error;
};

/// Program of a process.
enum class MemberKind { kControl, kIngress, kSidecar };
inline constexpr EnumTable<MemberKind, 3> kMemberKinds{{{{MemberKind::kControl, "control"},
                                                         {MemberKind::kIngress, "ingress"},
                                                         {MemberKind::kSidecar, "sidecar"}}}};

/// A process of the system, as it describes itself on its links.
struct Member {
  /// Address "ip:port" of its links, which is also its id.
  std::string process;
  MemberKind kind = MemberKind::kControl;
  std::string failure_domain;
  std::string region;
  /// Address for callers of an ingress process, for operators of a control process.
  std::string service_address;
  /// Whether it takes new work.
  bool accepting = false;
  /// Differs between two starts of a process.
  std::int64_t incarnation = 0;

  bool operator==(const Member&) const = default;
};

}  // namespace wagtailslip::mesh
