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
    const bool empty = reachable && engine_state_->weights.whole_version == 0;
    const Duration pause = empty ? kEmptyEnginePeriod : kEnginePeriod;
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

bool SidecarNode::SwapIsDue(TimePoint now) const {
  // An engine without weights serves nobody, so nothing is gained by waiting.
  if (engine_state_->weights.whole_version == 0) return true;
  if (OnlyExpected()) return false;
  const auto since = targets_.OldestUnmet(current_->model, engine_state_->weights.whole_version);
  if (!since) return true;
  std::vector<std::string> serving;
  for (const auto& [id, record] : table_.endpoints()) {
    if (record.weights != 0) serving.push_back(record.address);
  }
  if (std::find(serving.begin(), serving.end(), settings_.engine_address) == serving.end()) {
    serving.push_back(settings_.engine_address);
  }
  const std::size_t rank = serving::SwapRank(settings_.engine_address, serving);
  return now - *since >= serving::SwapOffset(rank, serving.size(), serving::SwapSettings{});
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
    const bool fresh = staged_version_ == weights->version && now - staged_at_ < kVerifiedFor;
    if (!fresh) {
      const bool due = SwapIsDue(now);
      // Staging early leaves only the check for the moment of the order.
      if (!due && staged_version_ == weights->version) co_return;
      if (!co_await StageAndVerify(weights)) co_return;
      if (!due) co_return;
    } else if (!SwapIsDue(now)) {
      co_return;
    }
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
  LogEvent(Event::kWeightsStaged, {{"version", weights->version},
                                   {"written", written},
                                   {"ms", ToMilliseconds(staged_at_ - begun)}});
  co_return true;
}

}  // namespace wagtailslip::sidecar
