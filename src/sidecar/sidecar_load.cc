// Stages complete weights at the engine, and checks what the engine has loaded.
#include <algorithm>

#include "sidecar_node.h"
#include "wagtailslip/base/backoff.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::sidecar {
namespace {

using net::Task;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;
using serving::LoadTrust;

// Delay before a check or a reload that failed is tried again.
constexpr Duration kCheckRetryDelay = std::chrono::milliseconds(200);
// An engine may refuse to hold a part of the layers for good.
constexpr Duration kMaxDropRetryDelay = std::chrono::seconds(5);

/// Layers that need one of the chunks. Chunk i of n holds the part of the model from i/n to
/// (i + 1)/n, so a chunk at the boundary belongs to both layers.
std::set<std::uint32_t> LayersOf(const std::vector<std::uint32_t>& chunks, std::size_t chunk_count,
                                 std::uint32_t layer_count) {
  std::set<std::uint32_t> layers;
  for (const std::uint64_t it : chunks) {
    const std::uint64_t first = it * layer_count / chunk_count;
    const std::uint64_t end = ((it + 1) * layer_count + chunk_count - 1) / chunk_count;
    for (std::uint64_t layer = first; layer < end; ++layer) {
      layers.insert(static_cast<std::uint32_t>(layer));
    }
  }
  return layers;
}

}  // namespace

Task<void> SidecarNode::ReadEngineState() {
  auto state = co_await engine_.ReadState();
  // A part of the layers that begins with the first one is not complete either.
  const std::uint32_t layers = model_source_ ? model_source_->layers : 0;
  if (state.weights.end_layer && *state.weights.end_layer < layers) {
    state.weights.complete_version = 0;
  }
  engine_state_ = state;
  const auto trust = load_guard_.trust();
  load_guard_.OnReport({state.started_ms, state.weights.complete_version,
                        state.commands.value_or(0), state.command_in_progress});
  if (load_guard_.trust() == trust || trust != LoadTrust::kUsable) co_return;
  LogEvent(Event::kLoadUnchecked, {{"version", load_guard_.version()},
                                   {"engine_started_ms", state.started_ms},
                                   {"commands", state.commands.value_or(0)}});
}

Task<bool> SidecarNode::CheckLoad() {
  if (load_guard_.trust() == LoadTrust::kUsable) co_return true;
  const auto weights =
      model_source_ ? FindWeights(model_source_->model, load_guard_.version()) : nullptr;
  // Other weights are fetched, which are to replace those of the engine.
  if (!weights && (current_ || incoming_)) load_guard_.OnUncheckable();
  std::string problem;
  try {
    if (weights && weights->complete() && load_guard_.NeedsReadBack(MonotonicNow())) {
      co_await ReadBackLoad(weights);
    }
    // Newer weights replace all layers.
    const bool replaced = current_ && current_->version > load_guard_.version();
    if (load_guard_.trust() == LoadTrust::kDamaged && !replaced) co_await DropDamagedLayers();
  } catch (const Error& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    LogEvent(Event::kOrderFailed, {{"version", load_guard_.version()}, {"error", problem}});
  }
  // The read-back failed, or the engine did not take the command to drop layers.
  const bool retry = !problem.empty() || load_guard_.trust() == LoadTrust::kDamaged;
  if (retry) co_await process::Sleep(kCheckRetryDelay);
  // Until the load is checked, the staged chunks must stay those of its version. An engine without
  // complete weights has nothing to check, and weights that cannot be checked are to be replaced.
  const bool pending = load_guard_.trust() == LoadTrust::kUnchecked && weights != nullptr &&
                       engine_state_->weights.complete_version != 0;
  co_return !pending;
}

Task<void> SidecarNode::ReadBackLoad(std::shared_ptr<Weights> weights) {
  const TimePoint started = MonotonicNow();
  const auto written = co_await RepairStagedChunks(weights, true);
  if (!written) co_return;
  const std::uint32_t layer_count = std::max(model_source_->layers, 1U);
  const TimePoint now = MonotonicNow();
  load_guard_.OnReadBack(weights->version, LayersOf(*written, weights->chunks.size(), layer_count),
                         now);
  const auto trust = load_guard_.trust();
  if (trust == LoadTrust::kDamaged) metrics_.Add(process::Counter::kLoadsDamaged);
  const bool damaged = trust == LoadTrust::kDamaged || !written->empty();
  LogEvent(damaged ? Event::kLoadDamaged : Event::kLoadChecked,
           {{"version", weights->version},
            {"trust", serving::kLoadTrusts.Name(trust)},
            {"damaged_chunks", *written},
            {"damaged_layers", load_guard_.damaged_layers()},
            {"busy", engine_state_->command_in_progress},
            {"ms", ToMilliseconds(now - started)}});
}

Task<void> SidecarNode::DropDamagedLayers() {
  const auto layers = load_guard_.LayerToKeep(model_source_ ? model_source_->layers : 0);
  if (!layers || engine_state_->command_in_progress) co_return;
  platform::LoadCommand command{engine_state_->weights.model, load_guard_.version(), *layers,
                                engine_state_->commands};
  co_await SendLoadCommand(std::move(command));
}

Task<void> SidecarNode::DropOvertakenWeights() {
  const auto state = *engine_state_;
  const std::uint32_t layers = model_source_->layers;
  next_drop_ =
      MonotonicNow() + ExponentialBackoff(kCheckRetryDelay, failed_drops_, kMaxDropRetryDelay);
  ++failed_drops_;
  platform::LoadCommand command{state.weights.model, state.weights.complete_version,
                                serving::LayerRange{layers - 1, layers}, state.commands};
  std::string problem;
  try {
    co_await SendLoadCommand(std::move(command), true);
  } catch (const Error& e) {
    problem = e.what();
  }
  const std::int64_t version = state.weights.complete_version;
  if (!problem.empty()) LogEvent(Event::kOrderFailed, {{"version", version}, {"error", problem}});
  if (!load_guard_.dropping() || !problem.empty()) co_return;
  failed_drops_ = 0;
  metrics_.Add(process::Counter::kWeightsDropped);
  LogEvent(Event::kWeightsDropped, {{"version", version},
                                    {"running", state.running},
                                    {"waiting", state.waiting},
                                    {"newer", current_ ? current_->version : 0}});
}

Task<void> SidecarNode::SendLoadCommand(platform::LoadCommand command, bool drops) {
  const auto state = *engine_state_;
  const TimePoint sent_at = MonotonicNow();
  const Duration verified_age = sent_at - staged_read_since_;
  const std::uint32_t layer_count = model_source_ ? model_source_->layers : 0;
  if (drops) {
    load_guard_.OnDropSent();
  } else {
    load_guard_.OnCommandSent(command.version,
                              command.layers.value_or(serving::LayerRange{0, layer_count}));
  }
  // This process may stand still or end before the answer arrives.
  SendStatus(sent_at);
  const std::int64_t version = command.version;
  const bool all_layers = !command.layers;
  const auto answer = co_await engine_.SendLoadCommand(std::move(command));
  const bool accepted = answer == platform::LoadResult::kBegun;
  if (accepted) {
    load_guard_.OnCommandAccepted();
  } else {
    load_guard_.OnCommandRejected();
  }
  LogEvent(Event::kSwapOrdered, {{"version", version},
                                 {"all_layers", all_layers},
                                 {"held", state.weights.complete_version},
                                 {"running", state.running},
                                 {"engine_started_ms", state.started_ms},
                                 {"verified_ms", ToMilliseconds(verified_age)},
                                 {"ms", ToMilliseconds(MonotonicNow() - sent_at)},
                                 {"answer", platform::kLoadResults.Name(answer)}});
  if (!all_layers) co_return;
  if (accepted || answer == platform::LoadResult::kInEffect) {
    load_command_version_ = version;
    load_command_incarnation_ = state.started_ms;
    load_command_at_ = MonotonicNow();
  }
}

Task<std::optional<std::vector<std::uint32_t>>> SidecarNode::RepairStagedChunks(
    std::shared_ptr<Weights> weights, bool read_first) {
  std::vector<std::uint32_t> written;
  for (std::uint32_t i = 0; i < weights->chunks.size(); ++i) {
    std::string staged;
    if (read_first) staged = co_await engine_.ReadStagedChunk(weights->model, i);
    if (read_first && weights->manifest->Check(i, staged) == spread::ChunkResult::kOk) continue;
    const std::vector<std::uint32_t> chunk{i};
    const std::uint32_t layer_count = model_source_ ? std::max(model_source_->layers, 1U) : 1U;
    load_guard_.OnChunkWritten(weights->version,
                               LayersOf(chunk, weights->chunks.size(), layer_count));
    // From here on the staged chunks are not all of one version.
    if (staged_version_ != weights->version) staged_version_ = 0;
    const std::string bytes = weights->chunks[i];
    co_await engine_.StageChunk(weights->model, i, bytes);
    written.push_back(i);
    staged = co_await engine_.ReadStagedChunk(weights->model, i);
    if (weights->manifest->Check(i, staged) != spread::ChunkResult::kOk) {
      LogEvent(Event::kChunkRejected, {{"chunk", i}, {"source", "staged"}});
      co_return std::nullopt;
    }
  }
  co_return written;
}

Task<bool> SidecarNode::StageAndVerify(std::shared_ptr<Weights> weights) {
  const TimePoint started = MonotonicNow();
  const bool staged_before = staged_version_ == weights->version;
  const auto written = co_await RepairStagedChunks(weights, staged_before);
  if (!written) co_return false;
  staged_version_ = weights->version;
  staged_read_since_ = started;
  const TimePoint now = MonotonicNow();
  const auto swap_at = ScheduledSwapTime();
  const Duration swap_in = std::max(swap_at.value_or(now) - now, Duration::zero());
  LogEvent(Event::kWeightsStaged, {{"version", weights->version},
                                   {"written", written->size()},
                                   {"swap_in_ms", ToMilliseconds(swap_in)},
                                   {"engine_started_ms", engine_state_->started_ms},
                                   {"ms", ToMilliseconds(now - started)}});
  co_return true;
}

}  // namespace wagtailslip::sidecar
