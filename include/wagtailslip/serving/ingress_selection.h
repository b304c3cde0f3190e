#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "wagtailslip/serving/instance_table.h"

namespace wagtailslip::serving {

/// Chooses the ingress processes that address lookups name. All of them, unless there are too few
/// endpoints for each to have some of its own (see OwnSubset): processes that share an endpoint do
/// not know its load, and use its slots twice or not at all.
///
/// The choice is a prefix of a fixed order in each failure domain, so a process that joins, leaves
/// or stops changes little. All processes compute the same choice from the same lists.
/// @param processes failure domain by process, of those that accept callers
/// @param endpoints endpoints of the largest service
std::set<std::string> SelectIngress(const std::map<std::string, std::string>& processes,
                                    std::size_t endpoints);

/// Number of serving endpoints of the service that has most of them.
std::size_t LargestServiceSize(const InstanceTable& table);

}  // namespace wagtailslip::serving
