#include "wagtailslip/spread/pacer.h"

#include <algorithm>
#include <cmath>

#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::spread {
namespace {

// Live latency reacts to a change of the rate within a few round trips; a shorter interval would
// decrease the rate several times for one congestion event.
constexpr Duration kAdjustInterval = std::chrono::milliseconds(100);
constexpr double kDecreaseFactor = 2.0 / 3;
// Increase of the rate per interval as a share of the link.
constexpr double kIncreaseShare = 0.02;
// The rate rises more slowly near the rate of the last decrease, so that the mean latency reaches
// its limit before the rate is far too high. If the rate gets well above that point, the live load
// has fallen and the normal increase applies again. The zone is given in multiples of that rate.
constexpr double kSlowIncreaseShare = 0.0025;
constexpr double kSlowZoneBegin = 0.85;
constexpr double kSlowZoneEnd = 1.1;
// After this time without transfers, latency samples count towards the baseline.
constexpr Duration kIdleAfter = std::chrono::seconds(1);
// After this time without latency samples, the link is taken to carry no live traffic.
constexpr Duration kStaleAfter = std::chrono::seconds(3);
constexpr double kLatencyEwmaWeight = 0.1;
// Upper bound of the baseline, and its estimate before a link without transfers has been measured,
// as a multiple of the lowest mean latency seen.
constexpr double kBaselineMargin = 1.25;
// Limit of the credit that an idle transfer accumulates: this time at the current total rate, but
// at least the given number of bytes.
constexpr double kMaxCreditSeconds = 0.05;
constexpr double kMinCreditBytes = 65536;
// Longest time that is credited at once after the caller has paused.
constexpr double kMaxStepSeconds = 0.25;

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
    return old == 0 ? sample : old + kLatencyEwmaWeight * (sample - old);
  };
  latency_ = now - latency_at_ > kStaleAfter ? sample : mean(latency_);
  latency_at_ = now;
  if (now - used_at_ >= kIdleAfter) baseline_latency_ = mean(baseline_latency_);
  // The baseline also falls when the live load has fallen, but not below the current mean.
  if (baseline_latency_ == 0) baseline_latency_ = latency_ * kBaselineMargin;
  baseline_latency_ = std::min(baseline_latency_, latency_ * kBaselineMargin);
}

void Pacer::OnQueueing(Duration delay, TimePoint now) {
  Advance(now);
  queueing_ = std::max(queueing_, delay);
}

void Pacer::Adjust(TimePoint now) {
  if (now - adjusted_at_ < kAdjustInterval) return;
  adjusted_at_ = now;
  const bool live = now - latency_at_ <= kStaleAfter;
  // The rate is decreased at half of the permitted latency increase: the mean lags behind while the
  // rate still rises, and 95% of the requests must stay below the limit.
  const double limit = 1 + (config_.latency_factor - 1) / 2;
  const bool late = live && latency_ > limit * baseline_latency_;
  const bool queued = queueing_ > config_.queueing_limit;
  queueing_ = Duration::zero();
  if (late || queued) {
    last_decrease_rate_ = rate_;
    rate_ *= kDecreaseFactor;
  } else {
    const bool slow =
        rate_ > kSlowZoneBegin * last_decrease_rate_ && rate_ < kSlowZoneEnd * last_decrease_rate_;
    rate_ += (slow ? kSlowIncreaseShare : kIncreaseShare) * config_.link_rate;
  }
  rate_ = std::clamp(rate_, config_.floor_share * config_.link_rate,
                     config_.ceiling_share * config_.link_rate);
}

double Pacer::MaxCredit() const { return std::max(kMinCreditBytes, rate_ * kMaxCreditSeconds); }

double Pacer::WeightOf(const std::string& region) const {
  const auto it = config_.region_weights.find(region);
  return it == config_.region_weights.end() ? 1 : it->second;
}

double Pacer::Distribute(std::vector<TransferEntry*>& entries, double bytes, double seconds) {
  std::stable_sort(entries.begin(), entries.end(),
                   [](const TransferEntry* a, const TransferEntry* b) {
                     return a->second.remaining < b->second.remaining;
                   });
  const double limit = MaxCredit();
  const auto grant = [&](Transfer& transfer, double amount) {
    const double granted = std::min(amount, std::max(0.0, limit - transfer.credit));
    transfer.credit += granted;
    transfer.rate += granted / seconds;
    return granted;
  };
  const double share = std::min(config_.minimum_share, 1.0 / static_cast<double>(entries.size()));
  double left = bytes;
  for (TransferEntry* entry : entries) left -= grant(entry->second, bytes * share);
  for (TransferEntry* entry : entries) left -= grant(entry->second, left);
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
  const double seconds = std::min(ToSeconds(now - advanced_at_), kMaxStepSeconds);
  advanced_at_ = now;
  Adjust(now);
  std::map<std::string, std::vector<TransferEntry*>> regions;
  double weights = 0;
  for (TransferEntry& entry : transfers_) {
    entry.second.rate = 0;
    auto& entries = regions[entry.first.second];
    if (entries.empty()) weights += WeightOf(entry.first.second);
    entries.push_back(&entry);
  }
  const double bytes = rate_ * seconds;
  double left = 0;
  for (auto& [region, entries] : regions) {
    left += Distribute(entries, bytes * WeightOf(region) / weights, seconds);
  }
  // Bandwidth that the transfers of one region cannot use goes to the other regions.
  for (auto& [region, entries] : regions) left = Distribute(entries, left, seconds);
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
  const double wanted = std::min(static_cast<double>(bytes), MaxCredit()) - it->second.credit;
  if (wanted <= 0) return Duration::zero();
  const double rate = it->second.rate > 0 ? it->second.rate : rate_ * config_.minimum_share;
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wanted / rate, 1.0)));
  return std::clamp(wait, Duration(std::chrono::milliseconds(1)), kAdjustInterval);
}

}  // namespace wagtailslip::spread
