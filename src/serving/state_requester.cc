#include "wagtailslip/serving/state_requester.h"

#include <algorithm>
#include <utility>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

// Several round trips between regions. A reply that takes longer still counts.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(300);
// After one reply, most differences are changes that are on their way to this process.
constexpr Duration kMinInterval = std::chrono::milliseconds(500);
// A control process that knows less than this one differs without having anything to tell.
constexpr Duration kRepeatInterval = std::chrono::seconds(30);

}  // namespace

void StateRequester::OnLinkUp(const std::string& source) { OnLinkLost(source); }

void StateRequester::OnLinkLost(const std::string& source) {
  sources_.erase(source);
  if (awaited_ == source) awaited_.clear();
}

void StateRequester::OnDigest(const std::string& source, const StateDigest& theirs,
                              const StateDigest& own) {
  const auto [it, first] = sources_.try_emplace(source);
  Source& known = it->second;
  // A change that is on its way makes one digest differ. The same difference twice shows that a
  // message was lost.
  const bool repeated = known.differs && known.theirs == theirs && known.own == own;
  known.theirs = theirs;
  known.own = own;
  // Ends are compared on a new link only, because processes discard them at slightly different
  // times.
  known.differs = first ? theirs != own : theirs.endpoints != own.endpoints;
  known.pending = known.differs && (first || known.pending || repeated);
}

void StateRequester::OnState(const std::string& source, TimePoint now) {
  if (awaited_ != source) return;
  awaited_.clear();
  next_at_ = now + kMinInterval;
}

bool StateRequester::any_pending() const {
  return std::any_of(sources_.begin(), sources_.end(),
                     [](const auto& it) { return it.second.pending; });
}

std::optional<std::string> StateRequester::Next(const StateDigest& own, TimePoint now) {
  if (!awaited_.empty() && now - asked_at_ < kReplyTimeout) return std::nullopt;
  awaited_.clear();
  if (now < next_at_) return std::nullopt;
  const std::pair<const std::string, Source>* best = nullptr;
  for (auto& entry : sources_) {
    Source& it = entry.second;
    if (!it.pending) continue;
    const bool asked = it.asked == std::pair(it.theirs, own) && now - it.asked_at < kRepeatInterval;
    if (it.theirs == own || asked) {
      it.pending = false;
      continue;
    }
    // Each process asks in an order of its own.
    const auto rank = [this](const std::string& source) { return Hash64(source, Hash64(self_)); };
    if (best == nullptr || rank(entry.first) < rank(best->first)) best = &entry;
  }
  if (best == nullptr) return std::nullopt;
  awaited_ = best->first;
  asked_at_ = now;
  ++requests_;
  Source& source = sources_[awaited_];
  source.pending = false;
  source.asked.emplace(source.theirs, own);
  source.asked_at = now;
  return awaited_;
}

}  // namespace wagtailslip::serving
