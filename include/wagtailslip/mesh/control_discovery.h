#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/member.h"
#include "wagtailslip/mesh/member_list.h"

namespace wagtailslip::wire {
class MeshMessage;
}

namespace wagtailslip::mesh {

/// Creates the description of this process that is sent on its links.
Member MakeSelfMember(const deployment::NodeSettings& settings, MemberKind kind,
                      const std::string& service_address, std::int64_t incarnation);

/// Tracks the processes that linked control processes report, and the configured seeds.
class ControlDiscovery {
 public:
  explicit ControlDiscovery(const deployment::NodeSettings& settings);

  /// Applies the list of processes, or the changes of it, in a message.
  /// @return false if the list that the changes apply to is missing and has to be asked for
  /// @throws MeshError if an enumeration has an unknown value
  bool Update(const Member& from, const wire::MeshMessage& message);
  /// Discards the list reported by a process whose link is lost.
  void RemoveSource(const std::string& from);

  /// Mesh addresses of the seeds.
  const std::set<std::string>& seeds() const { return seeds_; }
  /// Seeds and reported processes. While no process reports a list, the addresses last returned are
  /// included as well, because the seeds may have been replaced since startup.
  std::set<std::string> Addresses();
  /// Failure domains of the reported ingress processes, by process.
  std::map<std::string, std::string> IngressDomains();

 private:
  std::set<std::string> seeds_;
  ReceivedMemberLists lists_;
};

}  // namespace wagtailslip::mesh
