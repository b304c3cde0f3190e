// Stages whole weights beside the engine and orders it to load them.
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

constexpr Duration kEnginePeriod = std::chrono::milliseconds(120);
// The same while the engine serves nobody and waits for an order.
constexpr Duration kEmptyEnginePeriod = std::chrono::milliseconds(30);
constexpr Duration kShortestPause = std::chrono::milliseconds(5);
// Staged bytes are read back this long before the order, which takes about half of it.
constexpr Duration kCheckAhead = std::chrono::milliseconds(250);
// Staged bytes may go bad; an order that follows the last check later than this checks again.
constexpr Duration kVerifiedFor = std::chrono::milliseconds(700);
// Time after which an order without an effect is given again.
constexpr Duration kOrderPatience = std::chrono::seconds(7);
constexpr Duration kOrderRetry = std::chrono::milliseconds(200);

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
      co_await DriveEngine();
      SendReading(MonotonicNow());
    }
    const Duration pause = EnginePause(MonotonicNow());
    co_await process::Sleep(pause);
  }
}

bool SidecarNode::OnlyExpected() const {
  const std::int64_t version = current_->version;
  if (version != expected_version_ || targets_.Newest(current_->model) >= version) return false;
  const auto& records = table_.endpoints();
  return std::none_of(records.begin(), records.end(),
                      [&](const auto& row) { return row.second.weights >= version; });
}

std::optional<TimePoint> SidecarNode::SwapAt() const {
  // An engine without weights serves nobody, so nothing is gained by waiting.
  if (engine_state_->weights.whole_version == 0) return TimePoint{};
  if (OnlyExpected()) return std::nullopt;
  const auto since =
      targets_.EarliestNewerTargetTime(current_->model, engine_state_->weights.whole_version);
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
  return serving::SwapTime(rank, serving.size(), whole_at_, latest);
}

bool SidecarNode::SwapPrepared() const {
  return engine_state_ && current_ && staged_version_ == current_->version &&
         current_->version > engine_state_->weights.whole_version &&
         ordered_version_ != current_->version;
}

Duration SidecarNode::EnginePause(TimePoint now) const {
  if (!engine_state_) return kEnginePeriod;
  if (engine_state_->weights.whole_version == 0) return kEmptyEnginePeriod;
  const auto swap_at = SwapPrepared() ? SwapAt() : std::nullopt;
  if (!swap_at) return kEnginePeriod;
  return std::clamp(*swap_at - now, kShortestPause, kEnginePeriod);
}

Task<void> SidecarNode::DriveEngine() {
  const auto weights = current_;
  const auto& state = *engine_state_;
  if (state.weights.whole_version == ordered_version_) ordered_version_ = 0;
  // A restarted engine has forgotten its orders.
  if (ordered_version_ != 0 && state.started_ms != ordered_incarnation_) ordered_version_ = 0;
  if (!weights) co_return;
  if (state.weights.whole_version >= weights->version) co_return;
  const TimePoint now = MonotonicNow();
  if (ordered_version_ == weights->version && now - ordered_at_ < kOrderPatience) co_return;
  if (state.order_in_progress) co_return;
  std::string problem;
  try {
    const auto swap_at = SwapAt();
    const bool staged = staged_version_ == weights->version;
    // Staging early leaves only the check for the moment of the order.
    const bool check =
        !staged || (swap_at && now >= *swap_at - kCheckAhead && now - staged_at_ >= kVerifiedFor);
    if (check && !co_await StageAndVerify(weights)) co_return;
    if (!swap_at || MonotonicNow() < *swap_at) co_return;
    const auto answer = co_await engine_.Load(weights->model, weights->version);
    LogEvent(Event::kSwapOrdered, {{"version", weights->version},
                                   {"held", state.weights.whole_version},
                                   {"running", state.running},
                                   {"answer", platform::kOrderAnswers.Name(answer)}});
    if (answer == platform::OrderAnswer::kBegun || answer == platform::OrderAnswer::kInEffect) {
      ordered_version_ = weights->version;
      ordered_incarnation_ = state.started_ms;
      ordered_at_ = MonotonicNow();
    }
  } catch (const Error& e) {
    problem = e.what();
  }
  if (problem.empty()) co_return;
  LogEvent(Event::kOrderFailed, {{"version", weights->version}, {"error", problem}});
  co_await process::Sleep(kOrderRetry);
}

Task<bool> SidecarNode::StageAndVerify(std::shared_ptr<Weights> weights) {
  const TimePoint begun = MonotonicNow();
  std::size_t written = 0;
  const bool staged_before = staged_version_ == weights->version;
  for (std::uint32_t i = 0; i < weights->chunks.size(); ++i) {
    std::string held;
    if (staged_before) held = co_await engine_.ReadStaged(weights->model, i);
    if (staged_before && weights->manifest->Check(i, held) == spread::ChunkResult::kOk) continue;
    const std::string bytes = weights->chunks[i];
    co_await engine_.Stage(weights->model, i, bytes);
    ++written;
    held = co_await engine_.ReadStaged(weights->model, i);
    if (weights->manifest->Check(i, held) != spread::ChunkResult::kOk) {
      LogEvent(Event::kChunkRejected, {{"chunk", i}, {"source", "staged"}});
      co_return false;
    }
  }
  staged_version_ = weights->version;
  staged_at_ = MonotonicNow();
  const auto swap_at = SwapAt();
  const Duration swap_in = std::max(swap_at.value_or(staged_at_) - staged_at_, Duration::zero());
  LogEvent(Event::kWeightsStaged, {{"version", weights->version},
                                   {"written", written},
                                   {"swap_in_ms", ToMilliseconds(swap_in)},
                                   {"ms", ToMilliseconds(staged_at_ - begun)}});
  co_return true;
}

}  // namespace wagtailslip::sidecar
