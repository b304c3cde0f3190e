#include "wagtailslip/spread/pacer.h"

#include <algorithm>
#include <cmath>

#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::spread {
namespace {

// Live latency follows the rate within a few round trips; a shorter interval would cut the rate
// several times for one cause.
constexpr Duration kAdjustInterval = std::chrono::milliseconds(100);
constexpr double kCut = 2.0 / 3;
constexpr double kRise = 0.02;
// Around the rate at which the last cut came the rate rises slowly, so that the mean latency shows
// the limit before it is passed by much. A rate well above it shows that the live load fell.
constexpr double kSlowRise = 0.0025;
constexpr double kSlowFrom = 0.85;
constexpr double kSlowTo = 1.1;
// A link without transfers for this time shows the quiet latency.
constexpr Duration kQuietAfter = std::chrono::seconds(1);
// Without samples for this time there is no live traffic to give way to.
constexpr Duration kStaleAfter = std::chrono::seconds(3);
constexpr double kLatencyWeight = 0.1;
// While no quiet latency is known, the lowest mean seen stands in for it with this margin.
constexpr double kUnknownQuietFactor = 1.25;
// A transfer that takes nothing saves up at most this much time of the rate, or one piece.
constexpr double kSavedSeconds = 0.05;
constexpr double kPieceBytes = 65536;
// After a pause of the caller only this much time is handed out.
constexpr double kLongestStepSeconds = 0.25;

}  // namespace

Pacer::Pacer(PacerConfig config) : config_(std::move(config)) {
  const auto require = [](bool condition, const char* field) {
    if (!condition) throw SpreadError(std::string("pacer: ") + field + " is out of range");
  };
  require(config_.link_rate > 0 && std::isfinite(config_.link_rate), "link_rate");
  require(config_.floor_share > 0 && config_.floor_share <= 1, "floor_share");
  require(config_.ceiling_share >= config_.floor_share && config_.ceiling_share <= 1,
          "ceiling_share");
  require(config_.latency_factor > 1, "latency_factor");
  require(config_.queueing_limit > Duration::zero(), "queueing_limit");
  require(config_.minimum_share > 0 && config_.minimum_share <= 1, "minimum_share");
  for (const auto& [region, weight] : config_.region_weights) {
    require(weight > 0 && std::isfinite(weight), "region_weights");
  }
  rate_ = config_.link_rate * config_.floor_share;
}

void Pacer::SetRemaining(const Key& key, std::uint64_t bytes, TimePoint now) {
  Advance(now);
  transfers_[key].remaining = bytes;
}

void Pacer::Remove(const Key& key, TimePoint now) {
  Advance(now);
  transfers_.erase(key);
}

void Pacer::OnLatency(Duration latency, TimePoint now) {
  Advance(now);
  const double sample = ToSeconds(latency);
  const auto mean = [&](double old) {
    return old == 0 ? sample : old + kLatencyWeight * (sample - old);
  };
  latency_ = now - latency_at_ > kStaleAfter ? sample : mean(latency_);
  latency_at_ = now;
  if (now - used_at_ >= kQuietAfter) quiet_latency_ = mean(quiet_latency_);
  // A load that fell since lowers the reference too, but never below the mean itself.
  if (quiet_latency_ == 0) quiet_latency_ = latency_ * kUnknownQuietFactor;
  quiet_latency_ = std::min(quiet_latency_, latency_ * kUnknownQuietFactor);
}

void Pacer::OnQueueing(Duration delay, TimePoint now) {
  Advance(now);
  queueing_ = std::max(queueing_, delay);
}

void Pacer::Adjust(TimePoint now) {
  if (now - adjusted_at_ < kAdjustInterval) return;
  adjusted_at_ = now;
  const bool live = now - latency_at_ <= kStaleAfter;
  // Half of the allowed rise starts the cut: the mean lags behind and the rate still rises until
  // then, and 95 in 100 requests have to stay below the limit.
  const double limit = 1 + (config_.latency_factor - 1) / 2;
  const bool late = live && latency_ > limit * quiet_latency_;
  const bool queued = queueing_ > config_.queueing_limit;
  queueing_ = Duration::zero();
  if (late || queued) {
    last_cut_ = rate_;
    rate_ *= kCut;
  } else {
    const bool slow = rate_ > kSlowFrom * last_cut_ && rate_ < kSlowTo * last_cut_;
    rate_ += (slow ? kSlowRise : kRise) * config_.link_rate;
  }
  rate_ = std::clamp(rate_, config_.floor_share * config_.link_rate,
                     config_.ceiling_share * config_.link_rate);
}

double Pacer::CreditLimit() const { return std::max(kPieceBytes, rate_ * kSavedSeconds); }

double Pacer::WeightOf(const std::string& region) const {
  const auto it = config_.region_weights.find(region);
  return it == config_.region_weights.end() ? 1 : it->second;
}

double Pacer::Divide(std::vector<Part*>& parts, double bytes, double seconds) {
  std::stable_sort(parts.begin(), parts.end(), [](const Part* a, const Part* b) {
    return a->second.remaining < b->second.remaining;
  });
  const double limit = CreditLimit();
  const auto give = [&](Transfer& transfer, double amount) {
    const double given = std::min(amount, std::max(0.0, limit - transfer.credit));
    transfer.credit += given;
    transfer.rate += given / seconds;
    return given;
  };
  const double share = std::min(config_.minimum_share, 1.0 / static_cast<double>(parts.size()));
  double left = bytes;
  for (Part* part : parts) left -= give(part->second, bytes * share);
  for (Part* part : parts) left -= give(part->second, left);
  return left;
}

void Pacer::Advance(TimePoint now) {
  if (!started_) {
    started_ = true;
    advanced_at_ = adjusted_at_ = used_at_ = now;
    latency_at_ = now - 2 * kStaleAfter;
    return;
  }
  if (now <= advanced_at_) return;
  const double seconds = std::min(ToSeconds(now - advanced_at_), kLongestStepSeconds);
  advanced_at_ = now;
  Adjust(now);
  std::map<std::string, std::vector<Part*>> regions;
  double weights = 0;
  for (Part& part : transfers_) {
    part.second.rate = 0;
    auto& parts = regions[part.first.second];
    if (parts.empty()) weights += WeightOf(part.first.second);
    parts.push_back(&part);
  }
  const double bytes = rate_ * seconds;
  double left = 0;
  for (auto& [region, parts] : regions) {
    left += Divide(parts, bytes * WeightOf(region) / weights, seconds);
  }
  // What a region's transfers cannot use goes to the others.
  for (auto& [region, parts] : regions) left = Divide(parts, left, seconds);
}

std::uint64_t Pacer::Take(const Key& key, std::uint64_t bytes, TimePoint now) {
  Advance(now);
  const auto it = transfers_.find(key);
  if (it == transfers_.end() || it->second.credit < 1) return 0;
  Transfer& transfer = it->second;
  const auto taken = std::min(bytes, static_cast<std::uint64_t>(transfer.credit));
  transfer.credit -= static_cast<double>(taken);
  transfer.remaining -= std::min(transfer.remaining, taken);
  used_at_ = now;
  return taken;
}

Duration Pacer::Wait(const Key& key, std::uint64_t bytes) const {
  const auto it = transfers_.find(key);
  if (it == transfers_.end()) return kAdjustInterval;
  const double wanted = std::min(static_cast<double>(bytes), CreditLimit()) - it->second.credit;
  if (wanted <= 0) return Duration::zero();
  const double rate = it->second.rate > 0 ? it->second.rate : rate_ * config_.minimum_share;
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wanted / rate, 1.0)));
  return std::clamp(wait, Duration(std::chrono::milliseconds(1)), kAdjustInterval);
}

}  // namespace wagtailslip::spread
