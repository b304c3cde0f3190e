// Runs scenario files against simulated replicas in virtual time.
#include <iostream>

#include "bindings.h"

namespace wagtailslip::simulation {
namespace {

int RunFile(const char* path) {
  Scenario scenario;
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), &lua_close);
  luaL_openlibs(lua.get());
  RegisterBindings(lua.get(), scenario);
  if (luaL_dofile(lua.get(), path) == LUA_OK && scenario.expectations > 0) {
    std::cout << path << ": " << scenario.expectations << " expectations hold\n";
    return 0;
  }
  if (scenario.cluster) {
    const Cluster& cluster = *scenario.cluster;
    for (const std::string& line : cluster.trace()) std::cerr << line << "\n";
    for (std::size_t i = 0; i < cluster.size(); ++i) std::cerr << cluster.Describe(i) << "\n";
    std::cerr << "at virtual time " << ToSeconds(cluster.now().time_since_epoch()) << " s\n";
  }
  const char* error = lua_tostring(lua.get(), -1);
  std::cerr << path << ": " << (error ? error : "no expectation was checked") << "\n";
  return 1;
}

}  // namespace
}  // namespace wagtailslip::simulation

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: scenario FILE.lua...\n";
    return 2;
  }
  int status = 0;
  for (int i = 1; i < argc && status == 0; ++i) {
    status = wagtailslip::simulation::RunFile(argv[i]);
  }
  return status;
}
