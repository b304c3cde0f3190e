#include "bindings.h"

#include <exception>
#include <string>

namespace wagtailslip::simulation {
namespace {

using std::chrono::duration_cast;

Scenario& State(lua_State* lua) {
  return *static_cast<Scenario*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

Cluster& TheCluster(lua_State* lua) {
  Scenario& scenario = State(lua);
  if (!scenario.cluster) throw Error("the script has not called cluster{}");
  return *scenario.cluster;
}

/// Runs a binding and turns a C++ exception into a Lua error. The Lua error is raised outside of
/// the handler, because it leaves the function by longjmp.
template <int (*kFunction)(lua_State*)>
int Guarded(lua_State* lua) {
  try {
    return kFunction(lua);
  } catch (const std::exception& error) {
    lua_pushstring(lua, error.what());
  }
  return lua_error(lua);
}

Duration Seconds(lua_State* lua, int at) {
  return duration_cast<Duration>(std::chrono::duration<double>(lua_tonumber(lua, at)));
}

std::size_t Process(lua_State* lua, int at = 1) {
  const char* name = lua_tostring(lua, at);
  return TheCluster(lua).Find(name ? name : "");
}

double Field(lua_State* lua, const char* name, double fallback) {
  lua_getfield(lua, 1, name);
  double value = fallback;
  if (lua_isboolean(lua, -1)) {
    value = lua_toboolean(lua, -1);
  } else if (lua_isnumber(lua, -1)) {
    value = lua_tonumber(lua, -1);
  }
  lua_pop(lua, 1);
  return value;
}

int CreateCluster(lua_State* lua) {
  ClusterOptions options;
  options.trace_lines = 400;
  if (lua_istable(lua, 1)) {
    options.voters = static_cast<std::size_t>(Field(lua, "voters", 3));
    options.standbys = static_cast<std::size_t>(Field(lua, "standbys", 1));
    options.seed = static_cast<std::uint64_t>(Field(lua, "seed", 1));
    options.clients = static_cast<std::size_t>(Field(lua, "clients", 4));
    options.snapshot_every = static_cast<std::size_t>(Field(lua, "snapshot_every", 200));
    options.repair = Field(lua, "repair", 1) != 0;
  }
  State(lua).cluster = std::make_unique<Cluster>(options);
  return 0;
}

int Run(lua_State* lua) {
  TheCluster(lua).RunFor(Seconds(lua, 1));
  return 0;
}

template <void (Cluster::*kFault)(std::size_t)>
int Fault(lua_State* lua) {
  (TheCluster(lua).*kFault)(Process(lua));
  return 0;
}

int Freeze(lua_State* lua) {
  TheCluster(lua).Freeze(Process(lua), Seconds(lua, 2));
  return 0;
}

int Cut(lua_State* lua) {
  TheCluster(lua).Cut(Process(lua, 1), Process(lua, 2));
  return 0;
}

int Heal(lua_State* lua) {
  TheCluster(lua).HealLinks();
  return 0;
}

int Network(lua_State* lua) {
  ClusterOptions& options = TheCluster(lua).options();
  options.drop = Field(lua, "drop", 0);
  options.duplicate = Field(lua, "duplicate", 0);
  options.late = Field(lua, "late", 0);
  return 0;
}

int ProposeChange(lua_State* lua) {
  Cluster& cluster = TheCluster(lua);
  const char* kind_name = lua_tostring(lua, 2);
  const auto kind = agreement::kChangeKinds.Find(kind_name ? kind_name : "");
  if (!kind) throw Error("unknown kind of membership change");
  const auto status =
      cluster.ChangeMembership(Process(lua, 1), {*kind, cluster.node(Process(lua, 3)).id});
  const std::string_view text = agreement::kProposeStatuses.Name(status);
  lua_pushlstring(lua, text.data(), text.size());
  return 1;
}

int Leader(lua_State* lua) {
  const auto leader = TheCluster(lua).Leader();
  if (!leader) return 0;
  lua_pushstring(lua, TheCluster(lua).node(*leader).process.c_str());
  return 1;
}

int Lease(lua_State* lua) {
  lua_pushboolean(lua, TheCluster(lua).HasLease(Process(lua)));
  return 1;
}

const agreement::Replica* ReplicaOf(lua_State* lua) {
  return TheCluster(lua).node(Process(lua)).replica.get();
}

int RoleOf(lua_State* lua) {
  const agreement::Replica* replica = ReplicaOf(lua);
  const std::string_view text = replica ? agreement::kRoles.Name(replica->role()) : "stopped";
  lua_pushlstring(lua, text.data(), text.size());
  return 1;
}

int PushNumber(lua_State* lua, std::uint64_t value) {
  lua_pushinteger(lua, static_cast<lua_Integer>(value));
  return 1;
}

int TermOf(lua_State* lua) {
  const agreement::Replica* replica = ReplicaOf(lua);
  return PushNumber(lua, replica ? replica->term() : 0);
}

int Elections(lua_State* lua) {
  const agreement::Replica* replica = ReplicaOf(lua);
  return PushNumber(lua, replica ? replica->counters().elections_won : 0);
}

int SnapshotsInstalled(lua_State* lua) {
  const agreement::Replica* replica = ReplicaOf(lua);
  return PushNumber(lua, replica ? replica->counters().snapshots_installed : 0);
}

int Applied(lua_State* lua) {
  return PushNumber(lua, TheCluster(lua).node(Process(lua)).application.applied());
}

int Answers(lua_State* lua) { return PushNumber(lua, TheCluster(lua).checker().answers()); }

int Voters(lua_State* lua) {
  return PushNumber(lua, TheCluster(lua).checker().membership().voter_count());
}

int Member(lua_State* lua) {
  Cluster& cluster = TheCluster(lua);
  const auto leader = cluster.Leader();
  const auto& id = cluster.node(Process(lua)).id;
  const auto role = leader ? cluster.node(*leader).replica->membership().Role(id)
                           : cluster.checker().membership().Role(id);
  if (!role) return 0;
  const std::string_view text = agreement::kMemberRoles.Name(*role);
  lua_pushlstring(lua, text.data(), text.size());
  return 1;
}

int Now(lua_State* lua) {
  lua_pushnumber(lua, ToSeconds(TheCluster(lua).now().time_since_epoch()));
  return 1;
}

std::string Text(lua_State* lua, int at) {
  const char* text = lua_tostring(lua, at);
  return text ? text : "?";
}

int Expect(lua_State* lua) {
  ++State(lua).expectations;
  if (!lua_toboolean(lua, 1)) throw CheckFailed("expected: " + Text(lua, 2));
  return 0;
}

/// Value of the function at stack position 2.
bool Holds(lua_State* lua) {
  lua_pushvalue(lua, 2);
  if (lua_pcall(lua, 0, 1, 0) != LUA_OK) {
    const std::string error = Text(lua, -1);
    lua_pop(lua, 1);
    throw Error(error);
  }
  const bool holds = lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
  return holds;
}

int ExpectWithin(lua_State* lua) {
  ++State(lua).expectations;
  if (!TheCluster(lua).RunUntil([lua] { return Holds(lua); }, Seconds(lua, 1))) {
    throw CheckFailed("expected within " + Text(lua, 1) + " s: " + Text(lua, 3));
  }
  return 0;
}

int ExpectDuring(lua_State* lua) {
  ++State(lua).expectations;
  if (TheCluster(lua).RunUntil([lua] { return !Holds(lua); }, Seconds(lua, 1))) {
    throw CheckFailed("expected during " + Text(lua, 1) + " s: " + Text(lua, 3));
  }
  return 0;
}

constexpr luaL_Reg kBindings[] = {
    {"cluster", Guarded<CreateCluster>},
    {"run", Guarded<Run>},
    {"crash", Guarded<Fault<&Cluster::Crash>>},
    {"restart", Guarded<Fault<&Cluster::Restart>>},
    {"lose_disk", Guarded<Fault<&Cluster::LoseDisk>>},
    {"isolate", Guarded<Fault<&Cluster::Isolate>>},
    {"freeze", Guarded<Freeze>},
    {"cut", Guarded<Cut>},
    {"heal", Guarded<Heal>},
    {"network", Guarded<Network>},
    {"propose", Guarded<ProposeChange>},
    {"leader", Guarded<Leader>},
    {"lease", Guarded<Lease>},
    {"role", Guarded<RoleOf>},
    {"term", Guarded<TermOf>},
    {"applied", Guarded<Applied>},
    {"answers", Guarded<Answers>},
    {"voters", Guarded<Voters>},
    {"member", Guarded<Member>},
    {"elections", Guarded<Elections>},
    {"snapshots_installed", Guarded<SnapshotsInstalled>},
    {"now", Guarded<Now>},
    {"expect", Guarded<Expect>},
    {"expect_within", Guarded<ExpectWithin>},
    {"expect_during", Guarded<ExpectDuring>},
};

}  // namespace

void RegisterBindings(lua_State* lua, Scenario& scenario) {
  for (const luaL_Reg& row : kBindings) {
    lua_pushlightuserdata(lua, &scenario);
    lua_pushcclosure(lua, row.func, 1);
    lua_setglobal(lua, row.name);
  }
}

}  // namespace wagtailslip::simulation
