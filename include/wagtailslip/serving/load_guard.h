#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Layers of a model, a half-open range.
struct LayerRange {
  std::uint32_t from = 0;
  std::uint32_t to = 0;

  bool operator==(const LayerRange&) const = default;
};

/// What an engine reports of its loads.
struct EngineLoadReport {
  /// Start of the incarnation in Unix milliseconds.
  std::int64_t started_ms = 0;
  /// Version of which all layers are loaded; 0 if there is none.
  std::int64_t complete_version = 0;
  /// Commands that this incarnation has accepted; 0 if the engine does not say.
  std::int64_t commands = 0;
  /// A command is being carried out.
  bool busy = false;
};

/// How far the weights that an engine has loaded may be used.
enum class LoadTrust {
  kUsable,
  kUnchecked,  ///< Loaded, or being loaded, from chunks that were not read back since.
  kDamaged,    ///< A staged chunk was damaged between the load command and the end of the load.
};
inline constexpr EnumTable<LoadTrust, 3> kLoadTrusts{{{{LoadTrust::kUsable, "usable"},
                                                       {LoadTrust::kUnchecked, "unchecked"},
                                                       {LoadTrust::kDamaged, "damaged"}}}};

/// Decides whether the weights that an engine has loaded may be used. Staged chunks can be damaged
/// at any time, and a load takes them at a time that only the engine knows, after its command. A
/// chunk stays damaged until this process writes it again, so a load is intact if all chunks still
/// match after it.
class LoadGuard {
 public:
  /// Takes an engine's report into account. A load that began without a command of this process,
  /// such as one of its predecessor or a late one, has to be checked like its own.
  void OnReport(const EngineLoadReport& report);

  /// A command to load layers is about to be sent.
  /// @param version version of the command
  /// @param layers layers that the engine is to hold
  void OnCommandSent(std::int64_t version, LayerRange layers);
  /// A command to drop weights is about to be sent. What the engine then holds is never used, so
  /// there is nothing to check, and the staged chunks may be those of another version.
  void OnDropSent();
  /// The engine has begun to carry out the last command.
  void OnCommandAccepted();
  /// The engine has answered that it does not carry out the last command.
  void OnCommandRejected();

  /// A staged chunk is about to be written. Whether an earlier load took it damaged cannot be seen
  /// afterwards.
  /// @param version version of the chunk
  /// @param layers layers that need the chunk
  void OnChunkWritten(std::int64_t version, const std::set<std::uint32_t>& layers);

  /// Whether the staged chunks have to be read back now.
  bool NeedsReadBack(TimePoint now) const;
  /// All staged chunks were read back after the last report, and those that did not match were
  /// written again.
  /// @param version version that the chunks were compared with
  /// @param damaged layers with a chunk that did not match
  void OnReadBack(std::int64_t version, const std::set<std::uint32_t>& damaged, TimePoint now);

  /// The chunks of an inherited load are not available, so that it cannot be checked.
  void OnUncheckable();

  /// Whether the load is unchecked, and had ended before this process started. The predecessor has
  /// announced whether it may be used meanwhile.
  bool inherited() const { return load_.inherited && load_.trust == LoadTrust::kUnchecked; }
  /// Whether the last command that was sent, or carried out, only dropped weights.
  bool dropping() const { return load_.dropped; }
  LoadTrust trust() const { return load_.trust; }
  /// Version of the load that is to be checked; 0 if it is not known.
  std::int64_t version() const { return load_.version; }
  const std::set<std::uint32_t>& damaged_layers() const { return load_.damaged; }
  /// The layer to keep while all others are loaded again, if the load is damaged. An engine that
  /// holds only this layer refuses requests.
  /// @param layer_count layers of the model
  /// @return nothing if the engine cannot load a part of the layers
  std::optional<LayerRange> LayerToKeep(std::uint32_t layer_count) const;

 private:
  /// The load that is to be checked, or was checked last.
  struct Load {
    LoadTrust trust = LoadTrust::kUsable;
    std::int64_t version = 0;
    std::set<std::uint32_t> damaged;
    bool inherited = false;
    bool dropped = false;
  };
  void BeginLoad(std::int64_t version, std::set<std::uint32_t> damaged = {});

  bool reported_ = false;
  EngineLoadReport report_;
  Load load_;
  /// The load before the last command, while it is not known whether that was accepted.
  std::optional<Load> before_command_;
  /// Layers of the chunks that were written since the last report or accepted command.
  std::set<std::uint32_t> written_;
  TimePoint read_back_at_{};
};

}  // namespace wagtailslip::serving
