#include "engine/prefix_cache.h"

#include "wagtailslip/base/digest.h"

namespace wagtailslip::tools {
namespace {

/// Events kept for readers that come late; older ones are lost to them.
constexpr std::size_t kEventsKept = 10'000;

}  // namespace

PrefixCache::PrefixCache(const PrefixCacheSettings& settings)
    : settings_(settings), random_(settings.seed) {}

std::vector<std::uint64_t> PrefixCache::Blocks(std::string_view version,
                                               std::string_view prompt) const {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = Hash64(version);
  while (prompt.size() >= settings_.block_bytes) {
    hash = Hash64(prompt.substr(0, settings_.block_bytes), hash);
    blocks.push_back(hash);
    prompt.remove_prefix(settings_.block_bytes);
  }
  return blocks;
}

std::uint64_t PrefixCache::Use(const std::vector<std::uint64_t>& blocks, TimePoint now) {
  std::uint64_t hits = 0;
  while (hits < blocks.size() && index_.contains(blocks[hits])) ++hits;
  // Later blocks are touched first, so that a prefix outlives what builds on it.
  for (std::size_t i = blocks.size(); i-- > 0;) {
    const auto it = index_.find(blocks[i]);
    if (it != index_.end()) {
      order_.splice(order_.begin(), order_, it->second);
      continue;
    }
    order_.push_front(blocks[i]);
    index_[blocks[i]] = order_.begin();
    Publish(true, blocks[i], now);
  }
  while (order_.size() > settings_.capacity_blocks) {
    Publish(false, order_.back(), now);
    index_.erase(order_.back());
    order_.pop_back();
  }
  return hits;
}

void PrefixCache::Publish(bool stored, std::uint64_t block, TimePoint now) {
  const CacheEvent event{next_sequence_++, now, stored, block};
  if (std::uniform_real_distribution<double>(0, 1)(random_) < settings_.event_gaps) {
    ++events_dropped_;
    return;
  }
  events_.push_back(event);
  if (events_.size() > kEventsKept) events_.pop_front();
}

std::vector<CacheEvent> PrefixCache::EventsAfter(std::uint64_t sequence, TimePoint now) const {
  std::vector<CacheEvent> found;
  for (const auto& event : events_) {
    if (event.sequence > sequence && event.time + settings_.event_lag <= now) {
      found.push_back(event);
    }
  }
  return found;
}

}  // namespace wagtailslip::tools
