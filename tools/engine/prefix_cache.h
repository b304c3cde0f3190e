#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::tools {

/// A block that entered or left the cache.
struct CacheEvent {
  std::uint64_t sequence = 0;
  TimePoint time;
  bool stored = false;
  std::uint64_t block = 0;
};

/// Limits of the prefix cache and the faults of its events.
struct PrefixCacheSettings {
  std::uint64_t block_bytes = 256;
  std::uint64_t capacity_blocks = 1024;
  /// Age at which an event is published.
  Duration event_lag = std::chrono::milliseconds(500);
  /// Share of events that are never published.
  double event_gaps = 0;
  std::uint64_t seed = 1;
};

/// Cache of prompt prefixes with least-recently-used eviction. A block's hash covers the model
/// version and all the blocks before it.
class PrefixCache {
 public:
  explicit PrefixCache(const PrefixCacheSettings& settings);

  /// Hashes of a prompt's whole blocks.
  std::vector<std::uint64_t> Blocks(std::string_view version, std::string_view prompt) const;
  /// Stores the blocks and returns how many of them were cached from the start on.
  std::uint64_t Use(const std::vector<std::uint64_t>& blocks, TimePoint now);
  /// Events after a sequence number that are old enough to be published.
  std::vector<CacheEvent> EventsAfter(std::uint64_t sequence, TimePoint now) const;
  std::uint64_t size() const { return order_.size(); }
  std::uint64_t events_dropped() const { return events_dropped_; }

 private:
  void Publish(bool stored, std::uint64_t block, TimePoint now);

  PrefixCacheSettings settings_;
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
  std::deque<CacheEvent> events_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t events_dropped_ = 0;
  std::mt19937_64 random_;
};

}  // namespace wagtailslip::tools
