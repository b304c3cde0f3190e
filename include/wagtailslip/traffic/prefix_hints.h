#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::traffic {

/// Number that the router gives to an endpoint for as long as it knows it.
using EndpointNumber = std::uint32_t;

/// A change of an engine's prefix cache.
struct CacheEvent {
  /// Hash of a prompt up to the end of a block; equal prompts up to there have equal hashes.
  std::uint64_t block = 0;
  /// False if the block was evicted.
  bool stored = true;
};

/// Which endpoints probably hold which prompt prefixes. All of it is a hint: entries age, and a
/// wrong one costs time, never correctness. The size is bounded.
class PrefixHints {
 public:
  /// Endpoints remembered for one block; the oldest gives way.
  static constexpr std::size_t kHoldersPerBlock = 16;
  /// Blocks of one prompt that are remembered.
  static constexpr std::size_t kBlocksPerPrompt = 32;

  struct Holder {
    EndpointNumber endpoint = 0;
    /// Count of the endpoint's cache losses when the hint was made.
    std::uint32_t epoch = 0;
    TimePoint seen{};
  };

  struct Match {
    EndpointNumber endpoint = 0;
    std::uint32_t epoch = 0;
    /// Leading blocks of the prompt that the endpoint holds.
    std::uint32_t blocks = 0;
  };

  /// @param capacity most blocks that are remembered
  /// @param max_age time after which a hint that was not renewed is ignored
  PrefixHints(std::size_t capacity, Duration max_age);

  void Add(std::uint64_t block, EndpointNumber endpoint, std::uint32_t epoch, TimePoint now);
  void Remove(std::uint64_t block, EndpointNumber endpoint);

  /// Endpoints that hold the longest known part of a prompt.
  /// @param prefix block hashes of the prompt, from the first block on
  /// @param matches receives the result, cleared first
  void Lookup(std::span<const std::uint64_t> prefix, TimePoint now,
              std::vector<Match>& matches) const;

  std::size_t size() const { return blocks_.size(); }

 private:
  struct Entry {
    std::array<Holder, kHoldersPerBlock> holders;
    std::uint8_t count = 0;
    TimePoint renewed{};
  };

  void DropOldest();

  std::size_t capacity_;
  Duration max_age_;
  std::unordered_map<std::uint64_t, Entry> blocks_;
  /// Blocks in the order in which they were added or renewed; an outdated row is skipped.
  std::deque<std::pair<std::uint64_t, TimePoint>> order_;
};

}  // namespace wagtailslip::traffic
