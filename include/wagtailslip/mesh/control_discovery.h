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

/// Description of this process for its links.
Member MakeSelfMember(const deployment::NodeSettings& settings, MemberKind kind,
                      const std::string& service_address, std::int64_t incarnation);

/// The control processes that this process has heard of: the seeds, and what linked control
/// processes list.
class ControlDiscovery {
 public:
  explicit ControlDiscovery(const deployment::NodeSettings& settings);

  /// Takes over the members that a control process lists.
  void UpdateFrom(const std::string& from, const std::vector<wire::MeshMember>& members);
  /// The link to a control process is gone.
  void RemoveSource(const std::string& from);

  /// Link addresses of the seeds.
  const std::set<std::string>& seeds() const { return seeds_; }
  /// Seeds and listed processes. Without any list the last known ones are kept besides the seeds,
  /// which may have been exchanged.
  std::set<std::string> Addresses();

 private:
  std::set<std::string> seeds_;
  std::map<std::string, std::set<std::string>> listed_by_;
  std::set<std::string> last_;
};

}  // namespace wagtailslip::mesh
