#include "wagtailslip/serving/load_guard.h"

#include <utility>

namespace wagtailslip::serving {
namespace {

// While an engine finishes its requests before a load, its chunks are read back at this interval,
// so that damage is repaired before the load takes them.
constexpr Duration kReadBackInterval = std::chrono::milliseconds(1000);

}  // namespace

void LoadGuard::BeginLoad(std::int64_t version, std::set<std::uint32_t> damaged) {
  load_ = {LoadTrust::kUnchecked, version, std::move(damaged), false, false};
  read_back_at_ = {};
}

void LoadGuard::OnChunkWritten(std::int64_t version, const std::set<std::uint32_t>& layers) {
  written_.insert(layers.begin(), layers.end());
  // The read-back that found the damage may break off, and the next one no longer finds it.
  const bool loaded = report_.busy || report_.complete_version == version;
  if (load_.trust == LoadTrust::kUnchecked && load_.version == version && loaded) {
    load_.damaged.insert(layers.begin(), layers.end());
  }
}

void LoadGuard::OnReport(const EngineLoadReport& report) {
  // A load of which only this report tells may have taken its chunks before they were written.
  std::set<std::uint32_t> written = std::exchange(written_, {});
  const EngineLoadReport previous = report_;
  const bool first = !reported_;
  report_ = report;
  if (!reported_ || report.started_ms != previous.started_ms) {
    const bool begun = report.busy || report.commands > 0;
    load_ = Load{};
    if (begun) BeginLoad(0, written);
    before_command_.reset();
    reported_ = true;
  } else if (report.commands != previous.commands || (report.busy && !previous.busy)) {
    if (load_.trust != LoadTrust::kUnchecked) BeginLoad(0, written);
    before_command_.reset();
  } else if (!report.busy) {
    // The command got lost. If it is accepted later, the number of commands will tell.
    OnCommandRejected();
  }
  if (report.complete_version == 0 || report.busy) return;
  const bool replaced = report.complete_version != previous.complete_version;
  const bool unchecked = load_.trust == LoadTrust::kUnchecked;
  // A late command may have loaded another version than the last one that was sent.
  if (unchecked ? load_.version != report.complete_version
                : replaced && previous.started_ms == report.started_ms) {
    if (unchecked) written = load_.damaged;
    BeginLoad(report.complete_version, std::move(written));
  }
  load_.inherited = load_.inherited || first;
}

void LoadGuard::OnUncheckable() {
  if (inherited()) load_ = Load{};
}

void LoadGuard::OnCommandSent(std::int64_t version, LayerRange layers) {
  if (!before_command_) before_command_ = load_;
  const Load previous = load_;
  BeginLoad(version);
  if (version != previous.version) return;
  // Layers of the same version that the engine holds already are not taken again.
  for (const std::uint32_t it : previous.damaged) {
    if (it >= layers.from && it < layers.to) load_.damaged.insert(it);
  }
}

void LoadGuard::OnDropSent() {
  if (!before_command_) before_command_ = load_;
  BeginLoad(0);
  load_.dropped = true;
}

void LoadGuard::OnCommandAccepted() {
  before_command_.reset();
  written_.clear();
}

void LoadGuard::OnCommandRejected() {
  if (!before_command_) return;
  load_ = *std::exchange(before_command_, std::nullopt);
}

bool LoadGuard::NeedsReadBack(TimePoint now) const {
  if (load_.trust != LoadTrust::kUnchecked || load_.version == 0) return false;
  if (report_.busy) return now - read_back_at_ >= kReadBackInterval;
  return report_.complete_version == load_.version;
}

void LoadGuard::OnReadBack(std::int64_t version, const std::set<std::uint32_t>& damaged,
                           TimePoint now) {
  if (load_.trust != LoadTrust::kUnchecked || version != load_.version) return;
  load_.damaged.insert(damaged.begin(), damaged.end());
  read_back_at_ = now;
  // A load that is going on may still take chunks.
  if (report_.busy || before_command_ || report_.complete_version != version) return;
  load_.trust = load_.damaged.empty() ? LoadTrust::kUsable : LoadTrust::kDamaged;
}

std::optional<LayerRange> LoadGuard::LayerToKeep(std::uint32_t layer_count) const {
  if (load_.trust != LoadTrust::kDamaged || layer_count < 2) return std::nullopt;
  // Not the first layer if possible: a report of layers from the first on does not say whether more
  // follow.
  for (std::uint32_t i = layer_count - 1; i >= 1; --i) {
    if (!load_.damaged.contains(i)) return LayerRange{i, i + 1};
  }
  // With two layers, another reload would keep the same one.
  if (layer_count == 2 && !load_.damaged.contains(0)) return LayerRange{0, 1};
  return LayerRange{layer_count - 1, layer_count};
}

}  // namespace wagtailslip::serving
