#pragma once

#include <map>
#include <set>
#include <string>

namespace wagtailslip::serving {

/// Deterministic subsetting: assigns each endpoint to one ingress process, which prefers it to
/// others. A process then knows nearly the whole load of its own endpoints without delay. The load
/// reports of shared endpoints lag behind, so that several processes would choose the same
/// endpoint.
///
/// Subset sizes differ by at most one, and endpoints in a process's failure domain are assigned to
/// it first. With fewer endpoints than processes, each process gets one endpoint and shares it with
/// others. All processes compute the same subsets from the same lists.
/// @param processes failure domain by process
/// @param endpoints failure domain by endpoint
/// @return the endpoints of `self`; none if `self` is not in `processes`
std::set<std::string> OwnSubset(const std::string& self,
                                const std::map<std::string, std::string>& processes,
                                const std::map<std::string, std::string>& endpoints);

}  // namespace wagtailslip::serving
