#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/tool_server.h"
#include "wagtailslip/base/digest.h"

namespace wagtailslip::tools {

/// A version of a model or adapter that the engine serves.
struct LoadedVersion {
  std::string model;
  std::string version;
  std::string kind = "model";
  /// Root digest in hexadecimal.
  std::string root;
  /// For an adapter, `model` or `model/version` of its base.
  std::string base;
  std::string path;
  std::uint64_t fencing = 0;
};
using LoadedPtr = std::shared_ptr<const LoadedVersion>;

/// Why a command was refused; an empty code means that it wasn't.
struct Refusal {
  unsigned status = 0;
  std::string code;
  std::string message;

  explicit operator bool() const { return !code.empty(); }
};

/// Reads the file of a version and checks it against its manifest where a root is given. Without
/// a root the version takes the manifest's root, or the SHA-256 of the file if it has none.
/// @param version its `root` and `base` are filled in
net::Task<Refusal> CheckFile(LoadedVersion& version);

/// The versions that an engine serves and the commands it has obeyed.
class ModelTable {
 public:
  explicit ModelTable(bool ignore_fencing) : ignore_fencing_(ignore_fencing) {}

  /// Refuses a command with a fencing number below the highest one seen in its scope, and
  /// remembers the number otherwise.
  /// @param scope name of a model, or "role"
  Refusal CheckFencing(const std::string& scope, std::uint64_t fencing);
  /// The version served, or nothing.
  /// @param model name of a model or adapter, or `model/adapter`
  LoadedPtr Find(const std::string& model) const;
  /// Refuses an adapter whose base is not loaded.
  Refusal CheckBase(const LoadedVersion& version) const;
  /// Serves a version from now on. Adapters whose base version it replaces are removed.
  void Put(LoadedVersion version);
  bool Remove(const std::string& model);
  const std::map<std::string, LoadedPtr>& versions() const { return versions_; }

 private:
  void RemoveOrphans();

  bool ignore_fencing_;
  std::map<std::string, LoadedPtr> versions_;
  std::map<std::string, std::uint64_t> fencing_;
};

}  // namespace wagtailslip::tools
