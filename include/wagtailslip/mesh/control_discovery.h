#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/member.h"

namespace wagtailslip::wire {
class MeshMember;
}

namespace wagtailslip::mesh {

/// Creates the description of this process that is sent on its links.
Member MakeSelfMember(const deployment::NodeSettings& settings, MemberKind kind,
                      const std::string& service_address, std::int64_t incarnation);

/// Tracks the mesh addresses of the control processes: the configured seeds and those that linked
/// control processes report.
class ControlDiscovery {
 public:
  explicit ControlDiscovery(const deployment::NodeSettings& settings);

  /// Replaces the list of control processes reported by `from` with those in `members`.
  void UpdateFrom(const std::string& from, const std::vector<wire::MeshMember>& members);
  /// Discards the list reported by a process whose link is lost.
  void RemoveSource(const std::string& from);

  /// Mesh addresses of the seeds.
  const std::set<std::string>& seeds() const { return seeds_; }
  /// Seeds and reported processes. While no process reports a list, the addresses last returned are
  /// included as well, because the seeds may have been replaced since startup.
  std::set<std::string> Addresses();

 private:
  std::set<std::string> seeds_;
  std::map<std::string, std::set<std::string>> listed_by_source_;
  std::set<std::string> last_addresses_;
};

}  // namespace wagtailslip::mesh
