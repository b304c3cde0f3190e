#include "wagtailslip/traffic/prefix_hints.h"

#include <algorithm>

namespace wagtailslip::traffic {
namespace {

/// A renewed block moves to the end of the order only after this part of the age limit, which
/// bounds the rows per block.
constexpr int kRenewalParts = 8;

}  // namespace

PrefixHints::PrefixHints(std::size_t capacity, Duration max_age)
    : capacity_(std::max<std::size_t>(1, capacity)), max_age_(max_age) {}

void PrefixHints::Add(std::uint64_t block, EndpointNumber endpoint, std::uint32_t epoch,
                      TimePoint now) {
  auto [it, added] = blocks_.try_emplace(block);
  Entry& entry = it->second;
  if (added || now - entry.renewed > max_age_ / kRenewalParts) {
    entry.renewed = now;
    order_.emplace_back(block, now);
  }
  Holder* place = nullptr;
  for (std::size_t i = 0; i < entry.count; ++i) {
    if (entry.holders[i].endpoint == endpoint) place = &entry.holders[i];
  }
  if (place == nullptr && entry.count < kHoldersPerBlock) place = &entry.holders[entry.count++];
  if (place == nullptr) {
    place = &*std::min_element(entry.holders.begin(), entry.holders.end(),
                               [](const Holder& a, const Holder& b) { return a.seen < b.seen; });
  }
  *place = {endpoint, epoch, now};
  // Evicted blocks leave outdated rows behind; they are dropped before they outgrow the table.
  while (blocks_.size() > capacity_ || order_.size() > 2 * capacity_) DropOldest();
}

void PrefixHints::DropOldest() {
  const auto [block, time] = order_.front();
  order_.pop_front();
  const auto it = blocks_.find(block);
  if (it != blocks_.end() && it->second.renewed == time) blocks_.erase(it);
}

void PrefixHints::Remove(std::uint64_t block, EndpointNumber endpoint) {
  const auto it = blocks_.find(block);
  if (it == blocks_.end()) return;
  Entry& entry = it->second;
  for (std::size_t i = 0; i < entry.count; ++i) {
    if (entry.holders[i].endpoint != endpoint) continue;
    entry.holders[i] = entry.holders[--entry.count];
    break;
  }
  if (entry.count == 0) blocks_.erase(it);
}

void PrefixHints::Lookup(std::span<const std::uint64_t> prefix, TimePoint now,
                         std::vector<Match>& matches) const {
  matches.clear();
  for (std::size_t depth = std::min(prefix.size(), kBlocksPerPrompt); depth > 0; --depth) {
    const auto it = blocks_.find(prefix[depth - 1]);
    if (it == blocks_.end()) continue;
    for (std::size_t i = 0; i < it->second.count; ++i) {
      const Holder& holder = it->second.holders[i];
      if (now - holder.seen > max_age_) continue;
      matches.push_back({holder.endpoint, holder.epoch, static_cast<std::uint32_t>(depth)});
    }
    if (!matches.empty()) return;
  }
}

}  // namespace wagtailslip::traffic
