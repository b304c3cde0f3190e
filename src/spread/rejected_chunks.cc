#include "wagtailslip/spread/rejected_chunks.h"

#include <algorithm>

namespace wagtailslip::spread {
namespace {

// Bounds the memory if a source sends different bytes each time.
constexpr std::size_t kMaxRows = 64;
constexpr Duration kInitialDelay = std::chrono::seconds(1);
constexpr Duration kMaxDelay = std::chrono::seconds(8);

}  // namespace

void RejectedChunks::Add(ChunkIndex chunk, std::string_view body, TimePoint now) {
  const Chunk received{Sha256(body), body.size()};
  // Damage in a transfer rarely gives the same bytes twice, whereas a wrong digest rejects the same
  // bytes from every source.
  for (Row& row : rows_) {
    if (row.chunk != chunk || row.received != received) continue;
    row.repeated = true;
    if (!suspect_) next_refetch_ = now;
    suspect_ = true;
    return;
  }
  if (rows_.size() >= kMaxRows) {
    const auto oldest =
        std::find_if(rows_.begin(), rows_.end(), [](const Row& row) { return !row.repeated; });
    rows_.erase(oldest == rows_.end() ? rows_.begin() : oldest);
  }
  rows_.push_back({chunk, received, false});
}

void RejectedChunks::OnRefetch(TimePoint now) {
  delay_ = std::clamp(2 * delay_, kInitialDelay, kMaxDelay);
  next_refetch_ = now + delay_;
}

bool RejectedChunks::MatchedBy(const Manifest& manifest) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const Row& row) {
    return row.repeated && row.chunk < manifest.chunks.size() &&
           manifest.chunks[row.chunk] == row.received;
  });
}

}  // namespace wagtailslip::spread
