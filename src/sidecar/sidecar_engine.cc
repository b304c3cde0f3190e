// Decides when the engine loads weights.
#include <algorithm>
#include <utility>

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
// The same while the engine serves no requests: it waits for a load command, or for the check of
// its load.
constexpr Duration kUnloadedEnginePollPeriod = std::chrono::milliseconds(30);
constexpr Duration kMinEnginePollDelay = std::chrono::milliseconds(5);
// Staged chunks are read back and verified this long before the load command. The verification
// takes about half of this time.
constexpr Duration kVerificationLeadTime = std::chrono::milliseconds(250);
// Staged chunks can become corrupted, so they are verified again before the load command if one of
// them was read longer ago than this.
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
  // A process that stops does not leave a load unchecked: its successor may not have its chunks.
  while (!stopping_ || CheckPending()) {
    std::string problem;
    try {
      co_await ReadEngineState();
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
  if (version != proposed_version_ || target_sync_.targets().Newest(current_->model) >= version)
    return false;
  const auto& records = table_.endpoints();
  return std::none_of(records.begin(), records.end(),
                      [&](const auto& entry) { return entry.second.weights >= version; });
}

std::optional<TimePoint> SidecarNode::ScheduledSwapTime() const {
  // An engine without usable weights serves no requests, so there is no reason to delay the load.
  if (engine_state_->weights.complete_version == 0 ||
      load_guard_.trust() == serving::LoadTrust::kDamaged) {
    return TimePoint{};
  }
  if (CurrentIsUncommitted()) return std::nullopt;
  const auto since = target_sync_.targets().EarliestNewerTargetTime(
      current_->model, engine_state_->weights.complete_version);
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

bool SidecarNode::LoadPending() const { return load_guard_.trust() != serving::LoadTrust::kUsable; }

bool SidecarNode::CheckPending() const {
  return LoadPending() && !load_guard_.inherited() && !load_guard_.dropping();
}

bool SidecarNode::SwapPending() const {
  return engine_state_ && current_ && staged_version_ == current_->version &&
         current_->version > engine_state_->weights.complete_version &&
         load_command_version_ != current_->version;
}

Duration SidecarNode::EnginePollDelay(TimePoint now) const {
  if (!engine_state_) return kEnginePollPeriod;
  // The engine has nothing to load yet.
  if (load_guard_.dropping() && !SwapPending()) return kEnginePollPeriod;
  if (engine_state_->weights.complete_version == 0 || LoadPending()) {
    return kUnloadedEnginePollPeriod;
  }
  const auto swap_at = SwapPending() ? ScheduledSwapTime() : std::nullopt;
  if (!swap_at) return kEnginePollPeriod;
  return std::clamp(*swap_at - now, kMinEnginePollDelay, kEnginePollPeriod);
}

bool SidecarNode::Overtaken(std::int64_t version, bool newer_staged, TimePoint now) const {
  if (!model_source_) return false;
  const auto overtaken_at =
      target_sync_.targets().EarliestNewerTargetTime(model_source_->model, version);
  return overtaken_at &&
         now >=
             serving::DropTime(*overtaken_at, settings_.bounds.weights_propagation, newer_staged);
}

bool SidecarNode::DropDue(TimePoint now) const {
  // A refused command must not stand in front of a load.
  if (!engine_state_ || now < next_drop_) return false;
  const std::int64_t held = engine_state_->weights.complete_version;
  // An engine that carries out a load command begins nothing before it has the newer weights.
  if (held == 0 || engine_state_->command_in_progress || load_guard_.dropping()) return false;
  // An engine cannot hold a part of one layer. Its requests are only withdrawn before the bound.
  if (model_source_ && model_source_->layers < 2) return false;
  return Overtaken(held, SwapPending(), now);
}

Task<void> SidecarNode::UpdateEngineWeights() {
  // Not beside the rest: LoadGuard follows one command at a time.
  if (DropDue(MonotonicNow())) co_return co_await DropOvertakenWeights();
  const auto weights = current_;
  const auto& state = *engine_state_;
  if (state.weights.complete_version == load_command_version_) load_command_version_ = 0;
  // A restarted engine no longer has the load command.
  if (load_command_version_ != 0 && state.started_ms != load_command_incarnation_)
    load_command_version_ = 0;
  const bool may_load = co_await CheckLoad();
  if (!weights || !may_load) co_return;
  if (state.weights.complete_version >= weights->version) co_return;
  const TimePoint now = MonotonicNow();
  if (load_command_version_ == weights->version && now - load_command_at_ < kLoadCommandTimeout)
    co_return;
  if (state.command_in_progress && !load_guard_.dropping()) co_return;
  if (Overtaken(weights->version, false, now)) co_return;
  std::string problem;
  try {
    const auto swap_at = ScheduledSwapTime();
    const bool staged = staged_version_ == weights->version;
    // Chunks are staged as soon as possible, so that only the verification remains before the
    // load command.
    const bool verify = !staged || (swap_at && now >= *swap_at - kVerificationLeadTime &&
                                    now - staged_read_since_ >= kVerificationMaxAge);
    if (verify && !co_await StageAndVerify(weights)) co_return;
    if (!swap_at || MonotonicNow() < *swap_at) co_return;
    // The engine or this process stood still during the verification. If the second one takes as
    // long, the engine is slow, and the check after the load has to suffice.
    const bool slow = MonotonicNow() - staged_read_since_ >= kVerificationMaxAge;
    if (slow && !std::exchange(verification_slow_, true)) co_return;
    verification_slow_ = false;
    // The weights may be overtaken, or the old ones dropped, since the staging began.
    if (state.command_in_progress) co_return;
    if (Overtaken(weights->version, false, MonotonicNow())) co_return;
    platform::LoadCommand command{weights->model, weights->version, std::nullopt, state.commands};
    co_await SendLoadCommand(std::move(command));
  } catch (const Error& e) {
    problem = e.what();
  }
  if (problem.empty()) co_return;
  LogEvent(Event::kOrderFailed, {{"version", weights->version}, {"error", problem}});
  co_await process::Sleep(kLoadCommandRetryDelay);
}

}  // namespace wagtailslip::sidecar
