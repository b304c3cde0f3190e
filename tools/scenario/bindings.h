#pragma once

#include <lua.hpp>
#include <memory>

#include "cluster.h"

namespace wagtailslip::simulation {

/// State of one scenario run: the cluster that the script created.
struct Scenario {
  std::unique_ptr<Cluster> cluster;
  std::uint64_t expectations = 0;
};

/// Registers the scenario functions. `scenario` outlives the Lua state.
///
///   cluster{voters=3, standbys=1, seed=1, clients=4, snapshot_every=200, repair=true}
///   run(seconds)
///   crash(p)  restart(p)  lose_disk(p)  freeze(p, seconds)  isolate(p)  cut(from, to)  heal()
///   network{drop=0.1, duplicate=0.1, late=0.1}
///   propose(p, kind, member)          -- membership change; returns the status
///   leader()  lease(p)  role(p)  term(p)  applied(p)  answers()  voters()  member(p)
///   elections(p)  snapshots_installed(p)  now()
///   expect(condition, text)
///   expect_within(seconds, function, text)   -- runs until it holds
///   expect_during(seconds, function, text)   -- holds after each event
void RegisterBindings(lua_State* lua, Scenario& scenario);

}  // namespace wagtailslip::simulation
