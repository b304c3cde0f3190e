// Stages complete weights at the engine and sends the engine load commands.
#include <algorithm>

#include "sidecar_node.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::sidecar {
namespace {

using net::Task;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;

// Interval between two reads of the engine state.
constexpr Duration kEnginePollPeriod = std::chrono::milliseconds(120);
// The same while the engine has no weights: it serves no requests and waits for a load command.
constexpr Duration kUnloadedEnginePollPeriod = std::chrono::milliseconds(30);
constexpr Duration kMinEnginePollDelay = std::chrono::milliseconds(5);
// Staged chunks are read back and verified this long before the load command. The verification
// takes about half of this time.
constexpr Duration kVerificationLeadTime = std::chrono::milliseconds(250);
// Staged chunks can become corrupted, so chunks that were verified longer ago than this are
// verified again before the load command.
constexpr Duration kVerificationMaxAge = std::chrono::milliseconds(700);
// Time after which a load command that the engine accepted is repeated if the engine still does not
// have the weights and has no command in progress.
constexpr Duration kLoadCommandTimeout = std::chrono::seconds(7);
// Additional delay before the next attempt if staging, verification or the load command failed with
// an error. No accepted command is recorded then, so kLoadCommandTimeout does not delay the
// attempt.
constexpr Duration kLoadCommandRetryDelay = std::chrono::milliseconds(200);

}  // namespace

Task<void> SidecarNode::EngineLoop() {
  bool reachable = true;
  while (!stopping_) {
    std::string problem;
    try {
      engine_state_ = co_await engine_.ReadState();
    } catch (const Error& e) {
      problem = e.what();
    }
    if (problem.empty() != reachable) {
      reachable = problem.empty();
      LogEvent(reachable ? Event::kEngineRegained : Event::kEngineLost,
               {{"engine", settings_.engine_address}, {"error", problem}});
    }
    if (reachable) {
      co_await UpdateEngineWeights();
      SendStatus(MonotonicNow());
    }
    const Duration delay = EnginePollDelay(MonotonicNow());
    co_await process::Sleep(delay);
  }
}

bool SidecarNode::CurrentIsUncommitted() const {
  const std::int64_t version = current_->version;
  if (version != proposed_version_ || targets_.Newest(current_->model) >= version) return false;
  const auto& records = table_.endpoints();
  return std::none_of(records.begin(), records.end(),
                      [&](const auto& entry) { return entry.second.weights >= version; });
}

std::optional<TimePoint> SidecarNode::ScheduledSwapTime() const {
  // An engine without weights serves no requests, so there is no reason to delay the load.
  if (engine_state_->weights.complete_version == 0) return TimePoint{};
  if (CurrentIsUncommitted()) return std::nullopt;
  const auto since =
      targets_.EarliestNewerTargetTime(current_->model, engine_state_->weights.complete_version);
  if (!since) return TimePoint{};
  std::vector<std::string> serving;
  for (const auto& [id, record] : table_.endpoints()) {
    if (record.weights != 0) serving.push_back(record.address);
  }
  if (std::find(serving.begin(), serving.end(), settings_.engine_address) == serving.end()) {
    serving.push_back(settings_.engine_address);
  }
  const std::size_t rank = serving::SwapRank(settings_.engine_address, serving);
  const TimePoint latest =
      *since + settings_.bounds.weights_propagation - serving::LastSwapMargin();
  return serving::SwapTime(rank, serving.size(), current_complete_at_, latest);
}

bool SidecarNode::SwapPending() const {
  return engine_state_ && current_ && staged_version_ == current_->version &&
         current_->version > engine_state_->weights.complete_version &&
         load_command_version_ != current_->version;
}

Duration SidecarNode::EnginePollDelay(TimePoint now) const {
  if (!engine_state_) return kEnginePollPeriod;
  if (engine_state_->weights.complete_version == 0) return kUnloadedEnginePollPeriod;
  const auto swap_at = SwapPending() ? ScheduledSwapTime() : std::nullopt;
  if (!swap_at) return kEnginePollPeriod;
  return std::clamp(*swap_at - now, kMinEnginePollDelay, kEnginePollPeriod);
}

Task<void> SidecarNode::UpdateEngineWeights() {
  const auto weights = current_;
  const auto& state = *engine_state_;
  if (state.weights.complete_version == load_command_version_) load_command_version_ = 0;
  // A restarted engine no longer has the load command.
  if (load_command_version_ != 0 && state.started_ms != load_command_incarnation_)
    load_command_version_ = 0;
  if (!weights) co_return;
  if (state.weights.complete_version >= weights->version) co_return;
  const TimePoint now = MonotonicNow();
  if (load_command_version_ == weights->version && now - load_command_at_ < kLoadCommandTimeout)
    co_return;
  if (state.command_in_progress) co_return;
  std::string problem;
  try {
    const auto swap_at = ScheduledSwapTime();
    const bool staged = staged_version_ == weights->version;
    // Chunks are staged as soon as possible, so that only the verification remains before the
    // load command.
    const bool verify = !staged || (swap_at && now >= *swap_at - kVerificationLeadTime &&
                                    now - staged_verified_at_ >= kVerificationMaxAge);
    if (verify && !co_await StageAndVerify(weights)) co_return;
    if (!swap_at || MonotonicNow() < *swap_at) co_return;
    const TimePoint sent_at = MonotonicNow();
    const Duration verified_age = sent_at - staged_read_since_;
    const auto answer = co_await engine_.SendLoadCommand(weights->model, weights->version);
    LogEvent(Event::kSwapOrdered, {{"version", weights->version},
                                   {"held", state.weights.complete_version},
                                   {"running", state.running},
                                   {"engine_started_ms", state.started_ms},
                                   {"verified_ms", ToMilliseconds(verified_age)},
                                   {"ms", ToMilliseconds(MonotonicNow() - sent_at)},
                                   {"answer", platform::kLoadResults.Name(answer)}});
    if (answer == platform::LoadResult::kBegun || answer == platform::LoadResult::kInEffect) {
      load_command_version_ = weights->version;
      load_command_incarnation_ = state.started_ms;
      load_command_at_ = MonotonicNow();
    }
  } catch (const Error& e) {
    problem = e.what();
  }
  if (problem.empty()) co_return;
  LogEvent(Event::kOrderFailed, {{"version", weights->version}, {"error", problem}});
  co_await process::Sleep(kLoadCommandRetryDelay);
}

Task<bool> SidecarNode::StageAndVerify(std::shared_ptr<Weights> weights) {
  const TimePoint started = MonotonicNow();
  std::size_t written = 0;
  const bool staged_before = staged_version_ == weights->version;
  for (std::uint32_t i = 0; i < weights->chunks.size(); ++i) {
    std::string staged;
    if (staged_before) staged = co_await engine_.ReadStagedChunk(weights->model, i);
    if (staged_before && weights->manifest->Check(i, staged) == spread::ChunkResult::kOk) continue;
    const std::string bytes = weights->chunks[i];
    co_await engine_.StageChunk(weights->model, i, bytes);
    ++written;
    staged = co_await engine_.ReadStagedChunk(weights->model, i);
    if (weights->manifest->Check(i, staged) != spread::ChunkResult::kOk) {
      LogEvent(Event::kChunkRejected, {{"chunk", i}, {"source", "staged"}});
      co_return false;
    }
  }
  staged_version_ = weights->version;
  staged_read_since_ = started;
  staged_verified_at_ = MonotonicNow();
  const auto swap_at = ScheduledSwapTime();
  const Duration swap_in =
      std::max(swap_at.value_or(staged_verified_at_) - staged_verified_at_, Duration::zero());
  LogEvent(Event::kWeightsStaged, {{"version", weights->version},
                                   {"written", written},
                                   {"swap_in_ms", ToMilliseconds(swap_in)},
                                   {"engine_started_ms", engine_state_->started_ms},
                                   {"ms", ToMilliseconds(staged_verified_at_ - started)}});
  co_return true;
}

}  // namespace wagtailslip::sidecar
